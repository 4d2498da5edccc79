"""Selection of the server that is expected to answer a send first.

The estimates account for servers that pause briefly, a server of a shard that is several times
slower than the others, servers that stop answering, servers that fail quickly, and bursts that
fill the nearest server while a farther one is idle.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from mimosapost.limits.rates import SendRate
from mimosapost.relay.latency_pools import LatencyPool, get_work_us
from mimosapost.relay.messages import BackendServer, LoadReport
from mimosapost.relay.pace import Pace, list_withheld
from mimosapost.relay.server_loads import get_extra_work_us
from mimosapost.relay.server_signals import NO_SIGNALS, ServerSignals

__all__ = [
    "ServerRecord",
    "adopt_observation",
    "choose_server",
    "estimate_us",
    "get_trouble_level",
    "rank_servers",
    "record_failure",
    "record_hang",
    "record_latency",
    "record_success",
]

# Observations lose half of their weight in this time, so that a recovered server receives
# sends again within seconds.
_OBSERVATION_HALF_LIFE_US = 3_000_000
_EWMA_WEIGHT = 0.4
# An answer counts as slow from this multiple of the median. Pauses of 120 to 250 ms reach
# 8 times the usual time, and servers that become slow reach 4 to 10 times.
_SLOW_RATIO = 2.5
# A load report is ignored after this time, in which the work that it counted is mostly done.
_LOAD_REPORT_VALID_US = 100_000
# Added for a server whose sends all fail: each costs another send and some of the budget for
# repeats.
_FAILURE_PENALTY_US = 100_000
# Added if no idle connection to the server is open, for the round trip and the server's work on
# the handshake, in microseconds by distance class.
_CONNECT_PENALTY_US = (7_000, 9_000, 24_000)
# An idle connection counts as open for this time. Servers close idle ones after about 10 s.
_IDLE_CONNECTION_US = 8_000_000
# Largest random increase of an estimate, as a share, so that servers with about equal
# estimates share the load.
_SCORE_JITTER = 0.1
# Servers whose estimates are within this ratio of the lowest one count as about as quick.
_EQUAL_RATIO = 1.3
# Time without sends after a server was unreachable: the first one, and the bound to which it
# doubles.
_INITIAL_BLOCK_US = 300_000
_MAX_BLOCK_US = 1_200_000
# Time for which a server that hung is used last. Healthy servers pause for less than the wait
# after which a send counts as hung, so the server is slow or does not answer at all.
_HANG_US = 1_500_000
# A server that its pace withholds from a send counts as this many times as slow, so that it is
# used where the others have no room either.
_WITHHELD_RATIO = 4.0
_NONE_WITHHELD: frozenset[str] = frozenset()
# Observed answer times and failures from which a server counts as worse than usual and as much
# worse. A server whose sends all fail counts as one that is five times as slow.
_TROUBLE_RATIOS = (2.5, 8.0)
_FAILURE_RATIO = 4.0


@dataclass(slots=True)
class ServerRecord:
    """Observations of one server, by this instance or adopted from others.

    :param latency_ratio: EWMA of the answer times, relative to the median of the route in the
        same distance class.
    :param consecutive_slow_answers: number of slow answers in a row; those of sends that were
        open at the same time count as one, because one pause of the server delays all of them.
    :param last_slow_us: time of the last slow answer that was counted.
    :param failure_rate: EWMA of the share of failed sends.
    :param observed_us: time of the last observation in the two averages.
    :param connection_used_us: time of the last answer that left its connection open.
    :param open_sends: start time of each open send by its number, oldest first.
    :param cold_until_us: time until which the server is cold; 0 if it is warm.
    :param noted_level: trouble level that other instances were last told, or told this one.
    :param noted_us: time of that note.
    :param send_rate: rate of the sends of this instance; ``None`` before the server's limit
        was first considered.
    :param reserved_until_us: time until which a request that may crash servers runs alone
        there.
    :param pace: pace of a server that has started or recovered; ``None`` if it carries its
        whole share.
    :param pace_ended_us: time of the evidence that ended the last pace; 0 if there was none.
    :param noted_share: share that other instances were last told, or told this one.
    :param signals: what the server has asked for in its answers.
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
    noted_level: int = 0
    noted_us: int = 0
    send_rate: SendRate | None = None
    reserved_until_us: int = 0
    pace: Pace | None = None
    pace_ended_us: int = 0
    noted_share: float = 1.0
    misdirected: bool = False
    signals: ServerSignals = NO_SIGNALS

    def is_blocked(self, now_us: int) -> bool:
        """Return whether the server receives no sends because it was unreachable lately."""
        return now_us < self.blocked_until_us

    def is_hung(self, now_us: int) -> bool:
        """Return whether a send to the server was lately given up after a long wait."""
        return now_us < self.hung_until_us


def estimate_us(
    record: ServerRecord,
    pool: LatencyPool,
    now_us: int,
    is_linked: bool = False,
    work_us: float = 0.0,
) -> float:
    """Return the expected time to the answer of a send to a server, in microseconds.

    :param record: observations of the server.
    :param pool: answer times of the route in the server's distance class.
    :param now_us: monotonic time in microseconds.
    :param is_linked: whether an instance near the server would send to it over a connection of
        its own.
    :param work_us: usual time of the work at a server, which its machine may prolong.
    """
    weight = 0.5 ** ((now_us - record.observed_us) / _OBSERVATION_HALF_LIFE_US)
    typical = pool.median_us
    expected = typical * (1 + (record.latency_ratio - 1) * weight)
    extra_us = get_extra_work_us(record.load, now_us - record.load_us, work_us)
    # The work is only a part of the expected time.
    expected = max(expected + extra_us, expected / 2)
    if record.open_sends:
        # The age of the oldest open send is newer evidence than earlier answers.
        expected = max(expected, float(now_us - next(iter(record.open_sends.values()))))
    if not is_linked and now_us - record.connection_used_us >= _IDLE_CONNECTION_US:
        expected += _CONNECT_PENALTY_US[record.distance]
    busy = len(record.open_sends)
    if record.load is not None and now_us - record.load_us < _LOAD_REPORT_VALID_US:
        busy = max(busy, record.load.running + record.load.waiting)
    excess_load = busy + 1 - record.server.slots
    if excess_load > 0:
        expected += expected * excess_load / record.server.slots
    return expected + record.failure_rate * weight * _FAILURE_PENALTY_US


def choose_server(
    records: Collection[ServerRecord],
    pools: tuple[LatencyPool, ...],
    now_us: int,
    rng: random.Random,
    is_assigned: bool = False,
) -> ServerRecord | None:
    """Return the server with the lowest estimate of its answer time.

    Servers that hung lately are chosen only if there is no other. They are not excluded,
    because they may only be slow and the only capacity left.

    :param records: eligible servers of one service.
    :param pools: answer times of the route by distance class.
    :param now_us: monotonic time in microseconds.
    :param rng: source of the random increases of the estimates.
    :param is_assigned: whether another instance has already taken the paces of the servers into
        account.
    :returns: the server, or ``None`` if ``records`` is empty.
    """
    withheld = _list_withheld(records, now_us, None if is_assigned else rng)
    best, best_score = None, 0.0
    for record in records:
        is_withheld = bool(withheld) and record.server.server_id in withheld
        score = _score(record, pools, now_us, rng, is_withheld)
        if best is None or score < best_score:
            best, best_score = record, score
    return best


def rank_servers(
    records: Collection[ServerRecord],
    pools: tuple[LatencyPool, ...],
    linked_domains: Collection[str],
    now_us: int,
    rng: random.Random,
) -> tuple[ServerRecord, ...]:
    """Return the server that :func:`choose_server` would choose and those about as quick.

    The others are in the same distance class, so that a choice among them does not cost the
    caller time.

    :param linked_domains: failure domains with an instance that can send to the servers there.
    :returns: servers, the one with the lowest estimate first.
    """
    withheld = _list_withheld(records, now_us, rng)
    scores = []
    for record in records:
        is_withheld = bool(withheld) and record.server.server_id in withheld
        is_linked = record.server.domain in linked_domains
        scores.append((_score(record, pools, now_us, rng, is_withheld, is_linked), record))
    if not scores:
        return ()
    scores.sort(key=lambda entry: entry[0])
    best_score, best = scores[0]
    return tuple(
        record
        for score, record in scores
        if record.distance == best.distance and score <= best_score * _EQUAL_RATIO
    )


def _list_withheld(
    records: Collection[ServerRecord], now_us: int, rng: random.Random | None
) -> frozenset[str]:
    # A plain loop, because this check is all that a send to warm servers pays for paces.
    for record in records:
        if record.pace is not None:
            break
    else:
        return _NONE_WITHHELD
    paces = ((r.server.server_id, r.pace, len(r.open_sends), r.server.slots) for r in records)
    return list_withheld(paces, now_us, rng)


def _score(
    record: ServerRecord,
    pools: tuple[LatencyPool, ...],
    now_us: int,
    rng: random.Random,
    is_withheld: bool,
    is_linked: bool = False,
) -> float:
    work_us = get_work_us(pools) if record.load is not None else 0.0
    score = estimate_us(record, pools[record.distance], now_us, is_linked, work_us)
    score *= 1 + _SCORE_JITTER * rng.random()
    if is_withheld:
        score *= _WITHHELD_RATIO
    return score + _MAX_BLOCK_US if record.is_hung(now_us) else score


def record_latency(
    record: ServerRecord, pool: LatencyPool, elapsed_us: int, now_us: int, extra_us: int = 0
) -> None:
    """Record the time to an answer, or the time after which an unanswered send was given up.

    A single slow answer does not change the estimate, because the server may only have paused.
    A second one in a row shows that the server is slow.

    :param extra_us: share of the time that the load of the server's machine explains.
    """
    ratio = (elapsed_us - extra_us) / max(1, pool.median_us)
    times = 1
    if ratio < _SLOW_RATIO:
        record.consecutive_slow_answers = 0
    elif now_us - elapsed_us >= record.last_slow_us:
        record.consecutive_slow_answers += 1
        record.last_slow_us = now_us
        # The second slow answer is counted twice, because the first one was left out.
        times = 2 if record.consecutive_slow_answers == 2 else 1
    if record.consecutive_slow_answers == 1:
        return
    for _ in range(times):
        record.latency_ratio += _EWMA_WEIGHT * (ratio - record.latency_ratio)
    record.observed_us = now_us


def record_success(record: ServerRecord) -> None:
    """Record a successful answer and end the times without sends."""
    record.failure_rate -= _EWMA_WEIGHT * record.failure_rate
    record.block_us = 0
    record.blocked_until_us = 0
    record.hung_until_us = 0


def record_hang(record: ServerRecord, now_us: int) -> None:
    """Record that a send was given up after a long wait."""
    record.hung_until_us = now_us + _HANG_US
    record.observed_us = now_us


def record_failure(record: ServerRecord, now_us: int, unreachable: bool = False) -> None:
    """Record a failed send.

    :param unreachable: whether no connection could be opened; if so, the server receives no
        sends for a time that doubles with each such failure up to a bound.
    """
    record.failure_rate += _EWMA_WEIGHT * (1 - record.failure_rate)
    record.observed_us = now_us
    if unreachable and not record.is_blocked(now_us):
        record.block_us = min(max(2 * record.block_us, _INITIAL_BLOCK_US), _MAX_BLOCK_US)
        record.blocked_until_us = now_us + record.block_us


def get_trouble_level(record: ServerRecord, now_us: int) -> int:
    """Return how much worse than usual a server is: 0 usual, 1 worse, 2 much worse."""
    if record.is_hung(now_us) or record.is_blocked(now_us):
        return len(_TROUBLE_RATIOS)
    ratio = record.latency_ratio + _FAILURE_RATIO * record.failure_rate
    return sum(ratio >= limit for limit in _TROUBLE_RATIOS)


def adopt_observation(
    record: ServerRecord,
    latency_ratio: float,
    failure_rate: float,
    hung_until_us: int,
    observed_us: int,
) -> bool:
    """Adopt what another instance observed, unless own observations are newer.

    Load pattern: at dozens of instances each one sends to a server about once a second, so
    alone it takes seconds until a slow or silent server is avoided.

    :returns: whether the observation was adopted.
    """
    if observed_us <= record.observed_us:
        return False
    record.latency_ratio = latency_ratio
    record.failure_rate = failure_rate
    record.hung_until_us = hung_until_us
    record.observed_us = observed_us
    return True
