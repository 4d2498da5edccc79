"""Settings and records of stand-in backend servers."""

from __future__ import annotations

from typing import Any, Literal

import msgspec

__all__ = ["FAULTS", "Behaviour", "RunRecord"]

Fault = Literal[
    "crossed_id",
    "wrong_version",
    "wrong_leaf",
    "doubled_body",
    "doubled_answer",
    "malformed",
    "oversized",
    "slow_drip",
    "half_closed",
    "truncated",
    "close_unanswered",
    "crossed_409",
    "crossed_503",
]
FAULTS: tuple[str, ...] = Fault.__args__


class Behaviour(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How one stand-in backend server behaves; ``POST /control`` changes any field.

    Times are milliseconds. ``domain_ms`` and ``region_ms`` are one-way delays between failure
    domains of one region and between regions.

    :param median_ms: median service time.
    :param spread: standard deviation of the logarithm of the service time.
    :param straggler_probability: share of requests that take ``straggler_factor`` times longer.
    :param connections: connections accepted at a time; further ones are closed at once.
    :param connect_ms: delay before the first answer on a new connection.
    :param cold: whether the server is in cold start.
    :param cold_limit: requests that a cold server bears at a time.
    :param cold_overload: what a cold server does above that limit.
    :param warm_answers: answers after which a cold server is warm.
    :param held: pairs of (map version, index version) that the server holds; empty is all.
    :param crash_bodies: bodies that crash the server.
    :param restart_ms: time during which a crashed server refuses connections.
    :param faults: probability of each fault in an answer.
    :param next_faults: faults of the next answers, before any probability.
    :param report_lag_ms: age of the state that ``/health`` and ``/load`` report.
    :param reported_load: load that ``/load`` and answers claim, whatever the truth.
    """

    domain: str = "a"
    region: str = "r"
    domain_ms: float = 0.0
    region_ms: float = 0.0
    median_ms: float = 0.0
    spread: float = 0.0
    straggler_probability: float = 0.0
    straggler_factor: float = 20.0
    connections: int = 1_000
    connect_ms: float = 0.0
    cold: bool = False
    cold_limit: int = 2
    cold_overload: Literal["refuse", "crash"] = "crash"
    warm_answers: int = 50
    draining: bool = False
    shedding: bool = False
    held: list[tuple[int, int]] = []
    crash_bodies: list[Any] = []
    restart_ms: float = 200.0
    faults: dict[Fault, float] = {}
    next_faults: list[Fault] = []
    oversized_bytes: int = 4 * 2**20
    drip_ms: float = 20.0
    report_lag_ms: float = 0.0
    reported_load: float | None = None


class RunRecord(msgspec.Struct, kw_only=True):
    """One request that reached a server.

    :param concurrent: requests at work, this one included.
    :param cold: whether the server was in cold start.
    :param outcome: ``open``, ``answered``, ``cancelled``, ``crashed``, ``shed`` or
        ``rejected``; the last two did not run.
    """

    request_id: str
    idempotency_key: str
    service: str
    leaf: str
    repeatable: bool
    index_version: int
    started_ms: float
    concurrent: int = 0
    cold: bool = False
    outcome: str = "open"
