"""Decoding and validation of the responses of backend servers."""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

import msgspec

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.queries import SubAnswer, SubRequest

__all__ = [
    "ClassifiedResponse",
    "Rejection",
    "classify_response",
    "parse_answer",
    "parse_rejection",
]

# Status of the response to a cancelled request ("client closed request").
_CANCELLED_STATUS = 499

_BootId = Annotated[str, msgspec.Meta(max_length=128)]


class _WireAnswer(msgspec.Struct):
    request_id: str
    leaf: str
    map_version: int
    index_version: int
    boot_id: _BootId
    load: float = 0.0
    items: Any = msgspec.UNSET
    value: Any = msgspec.UNSET


class Rejection(msgspec.Struct):
    """Body of a response whose status is not 200; absent fields have default values."""

    request_id: str = ""
    held_map_version: int = 0
    held_index_version: int = 0
    boot_id: _BootId = ""


_decode_answer = msgspec.json.Decoder(_WireAnswer).decode
_decode_rejection = msgspec.json.Decoder(Rejection).decode
# msgspec limits the nesting of untyped values only by the interpreter's recursion limit, and
# raises RecursionError beyond it.
_DECODE_ERRORS = (
    msgspec.DecodeError,
    msgspec.ValidationError,
    RecursionError,
    UnicodeDecodeError,
)


def parse_answer(raw: bytes, request: SubRequest) -> SubAnswer | None:
    """Decode an answer and check that it belongs to the given sub-request.

    :param raw: body of the response.
    :param request: sub-request that was sent on the same connection.
    :returns: the answer, or ``None`` if it is malformed or belongs to another request.
    """
    try:
        wire_answer = _decode_answer(raw)
    except _DECODE_ERRORS:
        return None
    if (
        wire_answer.request_id != request.request_id
        or wire_answer.leaf != request.leaf
        or wire_answer.map_version != request.map_version
        or wire_answer.index_version != request.index_version
    ):
        return None
    items = wire_answer.items if wire_answer.items is not msgspec.UNSET else wire_answer.value
    if items is msgspec.UNSET:
        return None
    load = min(1.0, max(0.0, wire_answer.load))
    return SubAnswer(
        wire_answer.request_id,
        wire_answer.leaf,
        wire_answer.map_version,
        wire_answer.index_version,
        wire_answer.boot_id,
        load,
        items,
    )


def parse_rejection(raw: bytes, request_id: str) -> Rejection | None:
    """Decode the body of a rejection.

    :param raw: body of the response, which may be empty.
    :param request_id: id of the request that was sent on the same connection.
    :returns: the rejection, or ``None`` if it names another request, because it then proves
        nothing about this one. A body that cannot be decoded is treated as an empty object.
    """
    try:
        rejection = _decode_rejection(raw)
    except _DECODE_ERRORS:
        return Rejection()
    if rejection.request_id not in ("", request_id):
        return None
    return rejection


class ClassifiedResponse(NamedTuple):
    """Outcome and run state that follow from a response.

    :param outcome: the answer, a rejection that names the snapshot the server holds, or a
        kind of failure.
    :param run: whether the response proves that the request ran or did not run.
    :param boot_id: incarnation of the server if the response names it, else empty.
    """

    outcome: SubAnswer | Rejection | FailureKind
    run: RunState
    boot_id: str = ""


def classify_response(
    status: int,
    raw: bytes | None,
    request: SubRequest,
    not_run_proven: bool,
    cancel_requested: bool,
    may_be_copy: bool = False,
) -> ClassifiedResponse:
    """Derive outcome and run state from the response to a sub-request.

    :param status: HTTP status of the response.
    :param raw: body of the response; ``None`` if it exceeds the size limit.
    :param request: the sub-request.
    :param not_run_proven: whether a header states that the server did not run the request.
    :param cancel_requested: whether a cancellation of the request was sent to the server.
    :param may_be_copy: whether the connection has carried other requests, so that a response
        that names none may be a copy of the response to one of these.
    """
    if raw is None:
        return ClassifiedResponse(FailureKind.TOO_LARGE, RunState.UNKNOWN)
    if status == 200:
        answer = parse_answer(raw, request)
        return ClassifiedResponse(answer or FailureKind.MALFORMED, RunState.UNKNOWN)
    if status == _CANCELLED_STATUS and cancel_requested:
        return ClassifiedResponse(FailureKind.WITHDRAWN, RunState.UNKNOWN)
    rejection = parse_rejection(raw, request.request_id)
    if rejection is None:
        return ClassifiedResponse(FailureKind.MALFORMED, RunState.UNKNOWN)
    if may_be_copy and not rejection.request_id:
        return ClassifiedResponse(FailureKind.MALFORMED, RunState.UNKNOWN, rejection.boot_id)
    if status == 409:
        if rejection.held_index_version > 0:
            return ClassifiedResponse(rejection, RunState.NOT_RUN)
        return ClassifiedResponse(FailureKind.MALFORMED, RunState.NOT_RUN, rejection.boot_id)
    if status == 503:
        run = RunState.NOT_RUN if not_run_proven else RunState.UNKNOWN
        return ClassifiedResponse(FailureKind.SHED, run, rejection.boot_id)
    return ClassifiedResponse(FailureKind.MALFORMED, RunState.UNKNOWN, rejection.boot_id)
