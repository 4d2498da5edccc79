"""Measure the time and memory of lease tables, admission queues and warm-up tables.

Run it with ``python -m mimosapost.bench.measure_limits``.
"""

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

# One address for each slot of the largest planned deployment: 4,600 leafs of 3 slots each.
_ADDRESSES = [f"10.{number >> 8}.{number & 255}.1:8080" for number in range(13_800)]
# Far enough from 0 that the wait of a lease table after its start is over and that no queued
# query reaches its deadline.
_FAR_FUTURE_US = 60_000_000


def _time_us(workload: Callable[[], object], calls: int) -> float:
    started = time.perf_counter()
    workload()
    return (time.perf_counter() - started) / calls * 1e6


def _create_table(ceiling: int) -> LeaseTable:
    return LeaseTable(0, 1, ceiling, 0, 1_000_000, 2_000_000)


def _exchange_heartbeat(table: LeaseTable, now_us: int, lapsed: tuple[int, ...] = ()) -> None:
    """Send a heartbeat to the witnesses, which acknowledge it and report the lapsed seats."""
    heartbeat = table.create_heartbeat(now_us)
    for witness in table.list_other_witnesses():
        if witness not in lapsed:
            answer = HeartbeatAnswer(witness, 5, 0, 1, heartbeat.number, True, lapsed)
            table.record_answer(answer, now_us)


def _read_allowances(table: LeaseTable, now_us: int) -> None:
    for key in _ADDRESSES:
        table.get_allowance(25, key, now_us)


def measure_leases(ceiling: int) -> str:
    """Return the time and memory of a lease table as one line of text.

    :param ceiling: number of seats.
    """
    neighbours = [seat for seat in choose_group(0, ceiling)[0] if seat]
    lapsed = (neighbours[0],)

    tracemalloc.start()
    table = _create_table(ceiling)
    _exchange_heartbeat(table, _FAR_FUTURE_US)
    empty_bytes = tracemalloc.get_traced_memory()[0]
    _read_allowances(table, _FAR_FUTURE_US)
    cached_bytes = tracemalloc.get_traced_memory()[0]
    _exchange_heartbeat(table, _FAR_FUTURE_US + 1, lapsed)
    _read_allowances(table, _FAR_FUTURE_US + 1)
    reusing_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    misses, hits, reuse_misses, reuse_hits = [], [], [], []
    for _ in range(7):
        table = _create_table(ceiling)
        _exchange_heartbeat(table, _FAR_FUTURE_US)
        misses.append(
            _time_us(lambda t=table: _read_allowances(t, _FAR_FUTURE_US), len(_ADDRESSES))
        )
        hits.append(
            _time_us(lambda t=table: _read_allowances(t, _FAR_FUTURE_US), len(_ADDRESSES))
        )
        _exchange_heartbeat(table, _FAR_FUTURE_US + 1, lapsed)
        for costs in (reuse_misses, reuse_hits):
            costs.append(
                _time_us(
                    lambda t=table: _read_allowances(t, _FAR_FUTURE_US + 1), len(_ADDRESSES)
                )
            )
    peer = LeaseTable(neighbours[0], 9, ceiling, 0, 1_000_000, 2_000_000)
    heartbeat = peer.create_heartbeat(0)
    answering = _time_us(
        lambda: [table.answer_heartbeat(heartbeat, _FAR_FUTURE_US + n) for n in range(5_000)],
        5_000,
    )
    return (
        f"ceiling {ceiling}: get_allowance {min(hits):.2f} us, first {min(misses):.2f} us, "
        f"with a lapsed neighbour {min(reuse_hits):.2f} us, first {min(reuse_misses):.2f} us; "
        f"answer {answering:.2f} us; "
        f"memory {empty_bytes / 1024:.0f} KB empty, {cached_bytes / 1024:.0f} KB with "
        f"{len(_ADDRESSES)} keys, "
        f"{reusing_bytes / 1024:.0f} KB with a lapsed neighbour"
    )


def measure_queue(size: int, callers: int) -> str:
    """Return the time of the operations of an admission queue as one line of text.

    :param size: number of waiting queries.
    :param callers: number of callers.
    """
    offers, pops, blocked_pops = [], [], []
    for _ in range(5):
        queue = AdmissionQueue(size, caller_share=1.0)
        entries = [
            WaitingQuery(
                n, Priority(n % 3), f"caller{n % callers}", 1 + n % 7, _FAR_FUTURE_US, 0
            )
            for n in range(size)
        ]
        offers.append(
            _time_us(lambda q=queue, e=entries: [q.offer(item, 0) for item in e], size)
        )
        half = size // 2
        pops.append(
            _time_us(lambda q=queue, h=half: [q.pop(n, lambda _: True) for n in range(h)], half)
        )
        blocked_pops.append(_time_us(lambda q=queue, h=half: q.pop(h, lambda _: False), 1))
    return (
        f"{size} entries of {callers} callers: offer {min(offers):.2f} us, "
        f"pop {min(pops):.2f} us, pop with all blocked {min(blocked_pops):.0f} us"
    )


def measure_warmup() -> str:
    """Return the time and memory of a warm-up table as one line of text."""
    tracemalloc.start()
    table = WarmupTable()
    for key in _ADDRESSES:
        table.configure(key, 25, 2, 20, 0)
        for number in range(14):
            table.record_answer(key, "boot", 4_000 + number, number)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    cost_us = _time_us(
        lambda: [table.record_answer(_ADDRESSES[0], "boot", 4_000, n) for n in range(20_000)],
        20_000,
    )
    return (
        f"warm-up: record_answer {cost_us:.2f} us; {memory_bytes / 2**20:.1f} MiB, "
        f"{len(_ADDRESSES)} servers"
    )


if __name__ == "__main__":
    for seats in (4, 40, 690):
        print(measure_leases(seats))
    for waiting, clients in ((100, 5), (10_000, 5), (10_000, 500)):
        print(measure_queue(waiting, clients))
    print(measure_warmup())
