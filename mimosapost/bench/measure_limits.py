"""Measure cost and memory of the limits: ``python -m mimosapost.bench.measure_limits``."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

from mimosapost.limits.admission_queue import AdmissionQueue, WaitingQuery
from mimosapost.limits.leases import LeaseTable, choose_group
from mimosapost.limits.warmup import WarmupTable
from mimosapost.model.codes import Priority
from mimosapost.model.peer_messages import HeartbeatAnswer

__all__ = ["measure_leases", "measure_queue", "measure_warmup"]

# 4,600 leafs of 3 slots each.
_KEYS = [f"10.{number >> 8}.{number & 255}.1:8080" for number in range(13_800)]
_LATER_US = 60_000_000


def _time_us(run: Callable[[], object], calls: int) -> float:
    started = time.perf_counter()
    run()
    return (time.perf_counter() - started) / calls * 1e6


def _build(ceiling: int) -> LeaseTable:
    return LeaseTable(0, 1, ceiling, 0, 1_000_000, 2_000_000)


def _exchange(table: LeaseTable, now_us: int, lapsed: tuple[int, ...] = ()) -> None:
    heartbeat = table.create_heartbeat(now_us)
    for witness in table.choose_witnesses():
        if witness not in lapsed:
            answer = HeartbeatAnswer(witness, 5, 0, 1, heartbeat.number, True, lapsed)
            table.record_answer(answer, now_us)


def _read_all(table: LeaseTable, now_us: int) -> None:
    for key in _KEYS:
        table.get_allowance(25, key, now_us)


def measure_leases(ceiling: int) -> str:
    """Return cost and memory of a lease table as one line.

    :param ceiling: number of seats.
    """
    neighbours = [seat for seat in choose_group(0, ceiling)[0] if seat]
    gone = (neighbours[0],)

    tracemalloc.start()
    table = _build(ceiling)
    _exchange(table, _LATER_US)
    empty = tracemalloc.get_traced_memory()[0]
    _read_all(table, _LATER_US)
    cached = tracemalloc.get_traced_memory()[0]
    _exchange(table, _LATER_US + 1, gone)
    _read_all(table, _LATER_US + 1)
    reusing = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    misses, hits, first_reuses, reuses = [], [], [], []
    for _ in range(7):
        table = _build(ceiling)
        _exchange(table, _LATER_US)
        misses.append(_time_us(lambda t=table: _read_all(t, _LATER_US), len(_KEYS)))
        hits.append(_time_us(lambda t=table: _read_all(t, _LATER_US), len(_KEYS)))
        _exchange(table, _LATER_US + 1, gone)
        for costs in (first_reuses, reuses):
            costs.append(_time_us(lambda t=table: _read_all(t, _LATER_US + 1), len(_KEYS)))
    peer = LeaseTable(neighbours[0], 9, ceiling, 0, 1_000_000, 2_000_000)
    heartbeat = peer.create_heartbeat(0)
    answering = _time_us(
        lambda: [table.answer_heartbeat(heartbeat, _LATER_US + n) for n in range(5_000)], 5_000
    )
    return (
        f"ceiling {ceiling}: get_allowance {min(hits):.2f} us, first {min(misses):.2f} us, "
        f"with a lapsed neighbour {min(reuses):.2f} us, first {min(first_reuses):.2f} us; "
        f"answer {answering:.2f} us; "
        f"memory {empty / 1024:.0f} KB empty, {cached / 1024:.0f} KB with {len(_KEYS)} keys, "
        f"{reusing / 1024:.0f} KB with a lapsed neighbour"
    )


def measure_queue(size: int, callers: int) -> str:
    """Return the cost of an admission queue as one line.

    :param size: number of waiting queries.
    :param callers: number of callers.
    """
    offers, pops, blocked = [], [], []
    for _ in range(5):
        queue = AdmissionQueue(size, caller_share=1.0)
        entries = [
            WaitingQuery(n, Priority(n % 3), f"caller{n % callers}", 1 + n % 7, _LATER_US, 0)
            for n in range(size)
        ]
        offers.append(
            _time_us(lambda q=queue, e=entries: [q.offer(item, 0) for item in e], size)
        )
        half = size // 2
        pops.append(
            _time_us(lambda q=queue, h=half: [q.pop(n, lambda _: True) for n in range(h)], half)
        )
        blocked.append(_time_us(lambda q=queue, h=half: q.pop(h, lambda _: False), 1))
    return (
        f"{size} entries of {callers} callers: offer {min(offers):.2f} us, "
        f"pop {min(pops):.2f} us, pop with all blocked {min(blocked):.0f} us"
    )


def measure_warmup() -> str:
    """Return cost and memory of a warm-up table as one line."""
    tracemalloc.start()
    table = WarmupTable()
    for key in _KEYS:
        table.configure(key, 25, 2, 20, 0)
        for number in range(14):
            table.record_answer(key, "boot", 4_000 + number, number)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    cost = _time_us(
        lambda: [table.record_answer(_KEYS[0], "boot", 4_000, n) for n in range(20_000)], 20_000
    )
    return (
        f"warm-up: record_answer {cost:.2f} us; {memory / 2**20:.1f} MiB, {len(_KEYS)} servers"
    )


if __name__ == "__main__":
    for seats in (4, 40, 690):
        print(measure_leases(seats))
    for waiting, clients in ((100, 5), (10_000, 5), (10_000, 500)):
        print(measure_queue(waiting, clients))
    print(measure_warmup())
