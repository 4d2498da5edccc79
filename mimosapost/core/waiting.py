"""Leafs that wait for an allowance at a server, by priority class."""

from __future__ import annotations

from mimosapost.model.codes import Priority

__all__ = ["WaitingLeafs"]

# Sends granted to a class before the next class has its turn, so that none starves.
_WEIGHTS = {Priority.URGENT: 8, Priority.NORMAL: 3, Priority.BACKGROUND: 1}


class WaitingLeafs:
    """Leafs that wait for an allowance at one server, by priority class.

    Classes take turns in the ratio 8:3:1 (weighted round robin). A leaf is in it at most once,
    and is removed when it stops waiting, so the size is bounded by the leafs that wait.

    >>> waiting = WaitingLeafs()
    >>> waiting.add(Priority.BACKGROUND, (1, "a"))
    >>> waiting.add(Priority.URGENT, (2, "a"))
    >>> waiting.pop()
    (2, 'a')
    """

    __slots__ = ("_credits", "_queues")

    def __init__(self) -> None:
        # Dictionaries keep the order of arrival and remove any entry in constant time.
        self._queues: dict[Priority, dict[tuple[int, str], None]] = {p: {} for p in Priority}
        self._credits = dict(_WEIGHTS)

    def __len__(self) -> int:
        """Return the number of leafs that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def add(self, priority: Priority, entry: tuple[int, str]) -> None:
        """Add a leaf, named by query id and leaf name."""
        self._queues[priority][entry] = None

    def remove(self, entry: tuple[int, str]) -> None:
        """Remove a leaf that no longer waits; does nothing if it is not there."""
        for queue in self._queues.values():
            queue.pop(entry, None)

    def pop(self) -> tuple[int, str]:
        """Remove and return the next entry.

        :raises IndexError: if there is none.
        """
        for _ in range(2):
            for priority, queue in self._queues.items():
                if queue and self._credits[priority] > 0:
                    self._credits[priority] -= 1
                    entry = next(iter(queue))
                    del queue[entry]
                    return entry
            self._credits = dict(_WEIGHTS)
        raise IndexError("no leaf is waiting")
