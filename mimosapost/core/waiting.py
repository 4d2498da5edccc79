"""Leafs that wait for an allowance at a server, by priority class."""

from __future__ import annotations

from collections import deque

from mimosapost.model.codes import Priority

__all__ = ["WaitingLeafs"]

# Sends granted to a class before the next class has its turn, so that none starves.
_WEIGHTS = {Priority.URGENT: 8, Priority.NORMAL: 3, Priority.BACKGROUND: 1}


class WaitingLeafs:
    """Leafs that wait for an allowance at one server, by priority class.

    Classes take turns in the ratio 8:3:1 (weighted round robin). A leaf waits at each of its
    servers; after it was taken from one and must go on waiting, the others still hold it. So
    an entry is held once: added again at each look, it would double until the loop stalls.

    >>> waiting = WaitingLeafs()
    >>> waiting.add(Priority.BACKGROUND, (1, "a"))
    >>> waiting.add(Priority.URGENT, (2, "a"))
    >>> waiting.pop()
    (2, 'a')
    """

    __slots__ = ("_credits", "_held", "_queues")

    def __init__(self) -> None:
        self._queues: dict[Priority, deque[tuple[int, str]]] = {p: deque() for p in Priority}
        self._credits = dict(_WEIGHTS)
        self._held: set[tuple[int, str]] = set()

    def __len__(self) -> int:
        """Return the number of entries, outdated ones included."""
        return sum(len(queue) for queue in self._queues.values())

    def add(self, priority: Priority, entry: tuple[int, str]) -> None:
        """Add a leaf, named by query id and leaf name, unless it is held already."""
        if entry in self._held:
            return
        self._held.add(entry)
        self._queues[priority].append(entry)

    def pop(self) -> tuple[int, str]:
        """Remove and return the next entry.

        :raises IndexError: if there is none.
        """
        for _ in range(2):
            for priority, queue in self._queues.items():
                if queue and self._credits[priority] > 0:
                    self._credits[priority] -= 1
                    entry = queue.popleft()
                    self._held.discard(entry)
                    return entry
            self._credits = dict(_WEIGHTS)
        raise IndexError("no leaf is waiting")
