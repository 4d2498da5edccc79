"""Queue of leafs that wait for an allowance at a server."""

from __future__ import annotations

from collections import OrderedDict

from mimosapost.model.codes import Priority

__all__ = ["LeafQueue"]

# Leafs taken from a class in each round of the round robin, so that no class starves.
_WEIGHTS = {Priority.URGENT: 8, Priority.NORMAL: 3, Priority.BACKGROUND: 1}


class LeafQueue:
    """Leafs that wait for an allowance at one server, by priority class.

    The classes are served in the ratio 8:3:1 by weighted round robin. A leaf is in the queue at
    most once and is removed when it stops waiting, so the size never exceeds the number of
    waiting leafs.

    >>> waiting = LeafQueue()
    >>> waiting.add(Priority.BACKGROUND, (1, "a"))
    >>> waiting.add(Priority.URGENT, (2, "a"))
    >>> waiting.pop()
    (2, 'a')
    """

    __slots__ = ("_credits", "_queues")

    def __init__(self) -> None:
        # An OrderedDict removes its first entry and any other entry in constant time.
        self._queues: dict[Priority, OrderedDict[tuple[int, str], None]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._credits = dict(_WEIGHTS)

    def __len__(self) -> int:
        """Return the number of leafs that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def add(self, priority: Priority, entry: tuple[int, str]) -> None:
        """Add a leaf, identified by its query id and leaf name."""
        self._queues[priority].setdefault(entry)

    def remove(self, entry: tuple[int, str]) -> None:
        """Remove a leaf that no longer waits; do nothing if it is not in the queue."""
        for queue in self._queues.values():
            queue.pop(entry, None)

    def pop(self) -> tuple[int, str]:
        """Remove and return the next leaf, as its query id and leaf name.

        :raises IndexError: if no leaf is waiting.
        """
        for _ in range(2):
            for priority, queue in self._queues.items():
                if queue and self._credits[priority] > 0:
                    self._credits[priority] -= 1
                    return queue.popitem(last=False)[0]
            self._credits = dict(_WEIGHTS)
        raise IndexError("no leaf is waiting")
