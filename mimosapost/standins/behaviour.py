"""Settings of stand-in backend servers, and records of the requests they receive.

Faults whose names need an explanation:

- ``crossed_id``, ``crossed_409`` and ``crossed_503``: the answer, the 409 or the 503 carries
  the identifier of another request.
- ``doubled_body``: the body contains the answer twice.
- ``doubled_answer``: two complete responses with the same answer are sent.
- ``slow_drip``: the body is sent byte by byte, with a pause of ``drip_ms`` after each.
- ``half_closed`` and ``truncated``: half of the body is sent, then the sending side or the
  whole connection is closed.
- ``close_unanswered``: the connection is closed without an answer.
"""

from __future__ import annotations

from typing import Any, Literal

import msgspec

__all__ = ["FAULTS", "Behaviour", "RequestRecord"]

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
    """Settings of one stand-in backend server; ``POST /control`` changes any field.

    Times are in milliseconds.

    :param domain: failure domain of the server.
    :param region: region of the server.
    :param domain_ms: one-way delay between failure domains of one region.
    :param region_ms: one-way delay between regions.
    :param median_ms: median service time.
    :param spread: standard deviation of the logarithm of the service time.
    :param straggler_probability: share of requests that take ``straggler_factor`` times as
        long.
    :param connections: largest number of open connections; further ones are closed at once.
    :param connect_ms: additional delay of the first request on a new connection.
    :param cold: whether the server is in cold start.
    :param cold_limit: largest number of requests that a cold server runs at a time.
    :param cold_overload: what a cold server does with a request above ``cold_limit``: answer
        it with a 503 (``refuse``) or crash.
    :param warm_answers: number of answers after which a cold server becomes warm; with 0, a
        crash leaves ``cold`` unchanged.
    :param draining: whether the server answers search requests with a 503.
    :param shedding: the same as ``draining``.
    :param held: pairs of (map version, index version) that the server holds; requests for
        others are answered with a 409. An empty list stands for all versions.
    :param crash_bodies: request bodies that crash the server.
    :param restart_ms: time during which a crashed server refuses connections.
    :param faults: probability of each fault; every request draws for them in their order and
        gets the first one that occurs.
    :param next_faults: faults of the next requests, used up before any fault is drawn.
    :param oversized_bytes: size of the item in an answer with the fault ``oversized``.
    :param drip_ms: pause after each byte of an answer with the fault ``slow_drip``.
    :param report_lag_ms: age of the state that ``/health`` and ``/load`` report.
    :param reported_load: load in answers and ``/load`` in place of the real one.
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


class RequestRecord(msgspec.Struct, kw_only=True):
    """Record of one request that reached a server.

    :param started_ms: time of arrival on the clock of the event loop.
    :param concurrent: number of requests that the server was running, this one included.
    :param cold: whether the server was in cold start.
    :param outcome: ``open``, ``answered``, ``cancelled``, ``crashed``, ``shed`` (503) or
        ``rejected`` (409). Shed and rejected requests were not run.
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
