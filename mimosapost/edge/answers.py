"""Decoding and checking of what backend servers answer."""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

import msgspec

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.queries import SubAnswer, SubRequest

__all__ = ["Judgement", "Rejection", "judge_response", "parse_answer", "parse_rejection"]

# Status with which a server answers a request that was cancelled.
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
    """Body of an answer other than 200, as far as it is known."""

    request_id: str = ""
    held_map_version: int = 0
    held_index_version: int = 0
    boot_id: _BootId = ""


_decode_answer = msgspec.json.Decoder(_WireAnswer).decode
_decode_rejection = msgspec.json.Decoder(Rejection).decode
# RecursionError: msgspec bounds the nesting of untyped values by the interpreter's limit.
_FAULTS = (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError)


def parse_answer(raw: bytes, request: SubRequest) -> SubAnswer | None:
    """Decode an answer and check that it belongs to a request.

    :param raw: body of the answer.
    :param request: request that was sent on the same connection.
    :returns: the answer, or ``None`` if it is malformed or belongs to another request.
    """
    try:
        wire = _decode_answer(raw)
    except _FAULTS:
        return None
    if (
        wire.request_id != request.request_id
        or wire.leaf != request.leaf
        or wire.map_version != request.map_version
        or wire.index_version != request.index_version
    ):
        return None
    items = wire.items if wire.items is not msgspec.UNSET else wire.value
    if items is msgspec.UNSET:
        return None
    load = min(1.0, max(0.0, wire.load))
    return SubAnswer(
        wire.request_id,
        wire.leaf,
        wire.map_version,
        wire.index_version,
        wire.boot_id,
        load,
        items,
    )


def parse_rejection(raw: bytes, request_id: str) -> Rejection | None:
    """Decode the body of a refusal.

    :param raw: body of the answer, which may be empty.
    :param request_id: request that was sent on the same connection.
    :returns: the refusal, or ``None`` if it names another request. An answer to another
        request proves nothing about this one. A body that is no JSON object counts as empty.
    """
    try:
        rejection = _decode_rejection(raw)
    except _FAULTS:
        return Rejection()
    if rejection.request_id not in ("", request_id):
        return None
    return rejection


class Judgement(NamedTuple):
    """What a response means.

    :param outcome: the answer, a rejection that names what the server holds, or a failure.
    :param run: what the response proves of the execution.
    :param boot_id: incarnation of the server, where the response names it.
    """

    outcome: SubAnswer | Rejection | FailureKind
    run: RunState
    boot_id: str = ""


def judge_response(
    status: int, raw: bytes | None, request: SubRequest, proven: bool, cancelled: bool
) -> Judgement:
    """Return what a response to a sub-request means.

    :param status: status of the response.
    :param raw: its body; ``None`` if it exceeds the limit.
    :param request: the sub-request.
    :param proven: the response states that the server did not run the request.
    :param cancelled: the server was told to cancel the request.
    """
    if raw is None:
        return Judgement(FailureKind.TOO_LARGE, RunState.UNKNOWN)
    if status == 200:
        answer = parse_answer(raw, request)
        return Judgement(answer or FailureKind.MALFORMED, RunState.UNKNOWN)
    if status == _CANCELLED_STATUS and cancelled:
        return Judgement(FailureKind.WITHDRAWN, RunState.UNKNOWN)
    rejection = parse_rejection(raw, request.request_id)
    if rejection is None:
        return Judgement(FailureKind.MALFORMED, RunState.UNKNOWN)
    if status == 409:
        if rejection.held_index_version > 0:
            return Judgement(rejection, RunState.NOT_RUN)
        return Judgement(FailureKind.MALFORMED, RunState.NOT_RUN, rejection.boot_id)
    if status == 503:
        run = RunState.NOT_RUN if proven else RunState.UNKNOWN
        return Judgement(FailureKind.SHED, run, rejection.boot_id)
    return Judgement(FailureKind.MALFORMED, RunState.UNKNOWN, rejection.boot_id)
