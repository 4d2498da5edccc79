"""JSON codec of the caller interface: strict decoding of queries, encoding of answers."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
import xxhash

from mimosapost.model.codes import ResultCode
from mimosapost.model.queries import Answer

__all__ = [
    "MAX_NESTING",
    "QueryFault",
    "WireCoverage",
    "WireQuery",
    "compute_fingerprint",
    "decode_query",
    "encode_answer",
]

MAX_NESTING = 32


class QueryFault(Exception):
    """A request that is refused before it reaches the core.

    :param code: result code of the refusal.
    :param detail: short explanation for the caller's developers.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class WireCoverage(msgspec.Struct, forbid_unknown_fields=True):
    """Coverage that a caller accepts; ``share`` belongs to the mode of that name."""

    mode: Literal["any", "whole", "share"] = "any"
    share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] | None = None

    def __post_init__(self) -> None:
        if (self.mode == "share") != (self.share is not None):
            raise ValueError("share is needed with mode share and allowed only there")

    @property
    def min_coverage(self) -> float:
        """Smallest accepted share of covered leafs, from 0 to 1."""
        return {"any": 0.0, "whole": 1.0, "share": self.share or 0.0}[self.mode]


class WireQuery(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/services/{service}/query``."""

    request: Any
    priority: Literal["urgent", "normal", "background"] = "normal"
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)] | None = None
    repeatable: bool = False
    ticket: Annotated[str, msgspec.Meta(max_length=512)] = ""
    idempotency_key: Annotated[str, msgspec.Meta(max_length=256)] = ""
    coverage: WireCoverage = msgspec.field(default_factory=WireCoverage)
    limit: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


_decode = msgspec.json.Decoder(WireQuery).decode
_encode = msgspec.json.Encoder().encode
_encode_sorted = msgspec.json.Encoder(order="sorted").encode


def decode_query(raw: bytes) -> WireQuery:
    """Decode and validate the body of a query.

    :param raw: request body, whose size the caller of this function has limited.
    :raises QueryFault: if the body is not a valid query.

    >>> decode_query(b'{"request": {"term": "tutu"}, "limit": 3}').limit
    3
    """
    try:
        wire = _decode(raw)
        # Some numbers can be decoded but not encoded again. They must be refused here, not
        # when a sub-request is sent.
        _encode(wire.request)
    except (msgspec.MsgspecError, UnicodeDecodeError, OverflowError, ValueError) as error:
        raise QueryFault(ResultCode.MALFORMED_REQUEST, str(error)[:200]) from None
    except RecursionError:
        raise _create_nesting_fault() from None
    _check_nesting(wire.request)
    return wire


def _create_nesting_fault() -> QueryFault:
    return QueryFault(
        ResultCode.MALFORMED_REQUEST, f"values must not nest deeper than {MAX_NESTING}"
    )


def _check_nesting(value: Any) -> None:
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(MAX_NESTING):
        deeper: list[Any] = []
        for container in level:
            inner = container.values() if isinstance(container, dict) else container
            deeper.extend(item for item in inner if isinstance(item, dict | list))
        if not deeper:
            return
        level = deeper
    raise _create_nesting_fault()


def compute_fingerprint(service: str, body: Any) -> int:
    """Return a hash of a service name and a request body.

    The order of keys in the body does not change the hash.

    :returns: 64-bit number; a repeated request has the same one.
    """
    return xxhash.xxh64_intdigest(_encode_sorted([service, body]))


def encode_answer(answer: Answer) -> bytes:
    """Return an answer encoded as JSON of the caller interface."""
    snapshot = answer.snapshot
    return _encode(
        {
            "code": int(answer.code),
            "run": answer.run.value,
            "result": answer.result,
            "snapshot": snapshot
            and {
                "map_version": snapshot.map_version,
                "index_version": snapshot.index_version,
            },
            "coverage": {
                "covered": answer.covered,
                "missing": [
                    {"leaf": missing.leaf, "reason": int(missing.reason)}
                    for missing in answer.missing
                ],
            },
            "ticket": answer.ticket,
            "detail": answer.detail,
        }
    )
