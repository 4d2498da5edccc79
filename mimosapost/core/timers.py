"""Timers of the reducer: a heap of due times, each with a kind and a key."""

from __future__ import annotations

import heapq
from enum import IntEnum

__all__ = ["TimerKind", "Timers"]


class TimerKind(IntEnum):
    """What a timer is for."""

    QUERY_DEADLINE = 1
    HEDGE = 2
    HOUSEKEEPING = 3
    HEARTBEAT = 4
    GOSSIP = 5
    FORWARD_DEADLINE = 6
    RETRY = 7


class Timers:
    """Heap of ``(due_us, kind, key)``.

    A timer is not removed when its query ends; its handler finds that the key is no longer in
    use and does nothing. This is cheaper than removal, and no timer stays in the heap for
    longer than the longest deadline.
    """

    __slots__ = ("_heap", "armed_us")

    def __init__(self) -> None:
        self._heap: list[tuple[int, TimerKind, int]] = []
        self.armed_us = 0

    def __len__(self) -> int:
        """Return the number of timers."""
        return len(self._heap)

    def add(self, due_us: int, kind: TimerKind, key: int = 0) -> None:
        """Add a timer.

        :param due_us: time at which the timer fires, in microseconds.
        :param key: what the timer is for, such as a query id or a send id.
        """
        heapq.heappush(self._heap, (due_us, kind, key))

    def pop_due(self, now_us: int) -> tuple[TimerKind, int] | None:
        """Remove and return the next timer that is due, or ``None``."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        _, kind, key = heapq.heappop(self._heap)
        return kind, key

    def get_next_due_us(self) -> int | None:
        """Return the due time of the next timer, or ``None`` if there is none."""
        return self._heap[0][0] if self._heap else None
