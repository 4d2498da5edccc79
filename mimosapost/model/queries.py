"""Queries of callers, sub-requests to slots, and their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mimosapost.model.codes import MissingReason, Priority, ResultCode, RunState
from mimosapost.model.identities import Snapshot

__all__ = ["Answer", "MissingLeaf", "Query", "SubAnswer", "SubRequest"]


@dataclass(frozen=True, slots=True)
class Query:
    """One request of a caller, checked by the edge.

    :param query_id: number of the query, unique within an incarnation.
    :param service: service that is asked.
    :param caller: authenticated identity of the caller.
    :param body: request body passed to each leaf, decoded JSON.
    :param fingerprint: hash of service and body, equal for a request sent again.
    :param priority: priority class.
    :param deadline_us: monotonic time by which the caller wants the answer, in microseconds.
    :param repeatable: whether the request may run more than once (idempotent).
    :param min_coverage: smallest share of leafs the caller accepts, from 0 to 1; 1 is whole.
    :param limit: number of items the caller wants, 0 for all.
    :param ticket: ticket for a request that must not be repeated.
    :param idempotency_key: the caller's own key, passed on to backend servers.
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
    """One message to one slot; ``request_id`` is echoed by the server."""

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
    """Answer of a slot. ``load`` is the server's own report, from 0 (idle) to 1 (full)."""

    request_id: str
    leaf: str
    map_version: int
    index_version: int
    boot_id: str
    load: float
    items: Any


@dataclass(frozen=True, slots=True)
class MissingLeaf:
    """A leaf that an answer does not cover, and why."""

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
    :param missing: every other leaf of the shard map, with its reason.
    :param ticket: spare ticket for a later request of the same caller.
    :param detail: short explanation for people.
    """

    code: ResultCode
    run: RunState
    result: Any = None
    snapshot: Snapshot | None = None
    covered: tuple[str, ...] = ()
    missing: tuple[MissingLeaf, ...] = ()
    ticket: str = ""
    detail: str = ""
