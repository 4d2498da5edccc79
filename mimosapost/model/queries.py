"""Queries of callers, sub-requests to slots, and their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mimosapost.model.codes import MissingReason, Priority, ResultCode, RunState
from mimosapost.model.identities import Snapshot

__all__ = ["Answer", "MissingLeaf", "Query", "SubAnswer", "SubRequest"]


@dataclass(frozen=True, slots=True)
class Query:
    """One request of a caller, already validated by the edge.

    :param query_id: number of the query, unique within an incarnation.
    :param service: name of the requested service.
    :param caller: authenticated identity of the caller.
    :param body: request body passed to each leaf, decoded JSON.
    :param fingerprint: hash of service and body, the same when the request is sent again.
    :param priority: priority class.
    :param deadline_us: monotonic time by which the caller wants the answer, in microseconds.
    :param repeatable: whether the request may run more than once (idempotent).
    :param min_coverage: smallest share of covered leafs that the caller accepts, from 0 to 1
        (all leafs).
    :param limit: largest number of items that the caller wants, 0 for all.
    :param ticket: ticket of a request that must not run twice, or an empty string.
    :param idempotency_key: key chosen by the caller, passed on to backend servers.
    :param traceparent: W3C trace context of the query's span, or an empty string.
    :param forwarded_by: name of the instance that forwarded the query, or an empty string.
    """

    query_id: int
    service: str
    caller: str
    body: Any
    fingerprint: int
    priority: Priority
    deadline_us: int
    repeatable: bool
    min_coverage: float = 0.0
    limit: int = 0
    ticket: str = ""
    idempotency_key: str = ""
    traceparent: str = ""
    forwarded_by: str = ""


@dataclass(frozen=True, slots=True)
class SubRequest:
    """Request of a query to one slot; the server echoes ``request_id``."""

    request_id: str
    service: str
    leaf: str
    map_version: int
    index_version: int
    deadline_ms: int
    body: Any
    repeatable: bool
    idempotency_key: str = ""
    limit: int = 0


@dataclass(frozen=True, slots=True)
class SubAnswer:
    """Answer of a slot; the server reports its ``load``, from 0 (idle) to 1 (full)."""

    request_id: str
    leaf: str
    map_version: int
    index_version: int
    boot_id: str
    load: float
    items: Any


@dataclass(frozen=True, slots=True)
class MissingLeaf:
    """Leaf that an answer does not cover, with the reason."""

    leaf: str
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Answer:
    """Final answer to a caller.

    :param code: result code.
    :param run: whether the request ran on any backend server.
    :param result: merged result, or ``None`` where there is none.
    :param snapshot: snapshot that the result reflects, ``None`` for a refusal before planning.
    :param covered: names of the leafs that the result covers, in shard-map order.
    :param missing: all other leafs of the shard map, each with the reason.
    :param ticket: spare ticket for a later request of the same caller.
    :param detail: short explanation for human readers.
    """

    code: ResultCode
    run: RunState
    result: Any = None
    snapshot: Snapshot | None = None
    covered: tuple[str, ...] = ()
    missing: tuple[MissingLeaf, ...] = ()
    ticket: str = ""
    detail: str = ""
