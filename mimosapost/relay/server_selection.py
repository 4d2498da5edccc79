"""Choice of a server: where a send is expected to be answered first.

Load patterns that it answers: servers that pause for a moment, one server of a shard that is
several times slower than the others, servers that fall silent, servers that fail quickly, and
bursts in which the nearest server is full while a farther one is idle.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from mimosapost.relay.exchanges import BackendServer, LoadReport
from mimosapost.relay.latency_pools import LatencyPool

__all__ = [
    "ServerRecord",
    "choose_server",
    "estimate_us",
    "record_failure",
    "record_hang",
    "record_success",
    "record_latency",
]

# An observation loses half of its weight in this time, so that a server that recovers is
# tried again within seconds.
_OBSERVATION_HALF_LIFE_US = 3_000_000
_EWMA_WEIGHT = 0.4
# Answers that took this many times the median are slow: pauses of 120 to 250 ms are 8 times
# the usual time, servers that turn slow 4 to 10 times.
_SLOW_RATIO = 2.5
# A reported queue is about as old as the work in it after this time.
_LOAD_REPORT_VALID_US = 100_000
# A send that fails quickly costs a second one, and a part of the budget for it.
_FAILURE_PENALTY_US = 100_000
# A server without a kept connection costs a round trip and its work on the handshake more, in
# microseconds by distance.
_CONNECT_PENALTY_US = (7_000, 9_000, 24_000)
# Servers close idle connections after about 10 s.
_IDLE_CONNECTION_US = 8_000_000
# Servers at one distance whose estimates differ less than this share are used alike.
_SCORE_JITTER = 0.1
# First wait after a server could not be reached, and its bounds.
_INITIAL_BLOCK_US = 300_000
_MAX_BLOCK_US = 1_200_000


@dataclass(slots=True)
class ServerRecord:
    """What this instance knows of one server.

    :param slowness: answer times relative to the median of its route at its distance.
    :param slow_answers: slow answers in a row; those of sends that were open together count
        as one, because one pause of the server delays all of them.
    :param slow_us: time of the last slow answer that was counted.
    :param failure: smoothed share of failed sends.
    :param open_sends: time of each send without an answer, oldest first.
    :param linked_us: time of the last answer, whose connection is kept for the next send.
    :param cold_until_us: time until which the server is cold; 0 if it is warm.
    :param broken: fingerprints of requests whose connections broke, with the time.
    """

    server: BackendServer
    distance: int
    region: str
    latency_ratio: float = 1.0
    consecutive_slow_answers: int = 0
    last_slow_us: int = 0
    failure_rate: float = 0.0
    observed_us: int = 0
    connection_used_us: int = -_IDLE_CONNECTION_US
    open_sends: dict[int, int] = field(default_factory=dict)
    load: LoadReport | None = None
    load_us: int = 0
    blocked_until_us: int = 0
    hung_until_us: int = 0
    block_us: int = 0
    cold_until_us: int = 0
    broken_us_by_fingerprint: dict[int, int] = field(default_factory=dict)
    misdirected: bool = False

    def is_blocked(self, now_us: int) -> bool:
        """Return whether the server could not be reached a moment ago."""
        return now_us < self.blocked_until_us

    def is_hung(self, now_us: int) -> bool:
        """Return whether a send to the server was waited for in vain a moment ago."""
        return now_us < self.hung_until_us


def estimate_us(record: ServerRecord, pool: LatencyPool, now_us: int) -> float:
    """Return the time in which a send to a server is expected to be answered.

    :param record: what is known of the server.
    :param pool: answer times of the route at the server's distance.
    :param now_us: monotonic time in microseconds.
    """
    weight = 0.5 ** ((now_us - record.observed_us) / _OBSERVATION_HALF_LIFE_US)
    typical = pool.median_us
    expected = typical * (1 + (record.latency_ratio - 1) * weight)
    if record.open_sends:
        # A send that has waited longer than usual says more than older answers.
        expected = max(expected, float(now_us - next(iter(record.open_sends.values()))))
    if now_us - record.connection_used_us >= _IDLE_CONNECTION_US:
        expected += _CONNECT_PENALTY_US[record.distance]
    busy = len(record.open_sends)
    if record.load is not None and now_us - record.load_us < _LOAD_REPORT_VALID_US:
        busy = max(busy, record.load.running + record.load.waiting)
    excess_load = busy + 1 - record.server.slots
    if excess_load > 0:
        expected += expected * excess_load / record.server.slots
    return expected + record.failure_rate * weight * _FAILURE_PENALTY_US


def choose_server(
    records: Iterable[ServerRecord],
    pools: tuple[LatencyPool, ...],
    now_us: int,
    rng: random.Random,
) -> ServerRecord | None:
    """Return the server that is expected to answer first.

    Servers that hung lately are used only if there is no other: they may be slow, and then
    they are all the room that there is.

    :param records: eligible servers of one service.
    :param pools: answer times of the route by distance.
    :param now_us: monotonic time in microseconds.
    :param rng: breaks ties between servers that are about equal.
    """
    best, best_score = None, 0.0
    for record in records:
        score = estimate_us(record, pools[record.distance], now_us)
        score *= 1 + _SCORE_JITTER * rng.random()
        if record.is_hung(now_us):
            score += _MAX_BLOCK_US
        if best is None or score < best_score:
            best, best_score = record, score
    return best


def record_latency(
    record: ServerRecord, pool: LatencyPool, elapsed_us: int, now_us: int
) -> None:
    """Record the time of an answer, or the time that a send was waited for in vain.

    A single slow answer says nothing of the next one: the server may have paused, and is as
    quick as before. A second one in a row shows that it is slow.
    """
    ratio = elapsed_us / max(1, pool.median_us)
    times = 1
    if ratio < _SLOW_RATIO:
        record.consecutive_slow_answers = 0
    elif now_us - elapsed_us >= record.last_slow_us:
        record.consecutive_slow_answers += 1
        record.last_slow_us = now_us
        # The second slow answer counts for the first as well.
        times = 2 if record.consecutive_slow_answers == 2 else 1
    if record.consecutive_slow_answers == 1:
        return
    for _ in range(times):
        record.latency_ratio += _EWMA_WEIGHT * (ratio - record.latency_ratio)
    record.observed_us = now_us


def record_success(record: ServerRecord) -> None:
    """Record that a server answered as it should."""
    record.failure_rate -= _EWMA_WEIGHT * record.failure_rate
    record.block_us = 0
    record.blocked_until_us = 0
    record.hung_until_us = 0


def record_hang(record: ServerRecord, now_us: int) -> None:
    """Record that a send was waited for in vain."""
    record.hung_until_us = now_us + _INITIAL_BLOCK_US


def record_failure(record: ServerRecord, now_us: int, unreachable: bool = False) -> None:
    """Record a failed send.

    :param unreachable: no connection could be opened, so the server gets no sends for a time
        that doubles up to a bound.
    """
    record.failure_rate += _EWMA_WEIGHT * (1 - record.failure_rate)
    record.observed_us = now_us
    if unreachable and not record.is_blocked(now_us):
        record.block_us = min(max(2 * record.block_us, _INITIAL_BLOCK_US), _MAX_BLOCK_US)
        record.blocked_until_us = now_us + record.block_us
