"""Bounded queue of queries that wait for their start."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from mimosapost.model.codes import Priority

__all__ = ["AdmissionQueue", "Waiting"]

_WEIGHTS = {Priority.URGENT: 8, Priority.NORMAL: 3, Priority.BACKGROUND: 1}
# Entries of one caller that a pop looks at. A caller whose first entries all have to wait
# holds back its own further ones, and a pop does not look at thousands of entries.
_DEPTH = 8
# Time after which an observation of the drain rate has half its weight.
_HALF_LIFE_US = 1_000_000
# Less observed busy time than this gives no drain rate.
_MIN_BUSY_US = 1_000
_MIN_RATE = 1e-9


@dataclass(frozen=True, slots=True)
class Waiting:
    """A query in the queue.

    :param cost: number of sends that it needs, at least 1.
    :param deadline_us: monotonic time by which the caller wants the answer, in microseconds.
    :param queued_us: monotonic time of arrival, in microseconds.
    """

    query_id: int
    priority: Priority
    caller: str
    cost: int
    deadline_us: int
    queued_us: int


class _Class:
    """Entries of one priority class, fair between callers (start-time fair queueing).

    Each caller has a tag that grows by the cost of its started entries, and the caller with
    the lowest tag is next. See P. Goyal, H. Vin, H. Cheng, "Start-time fair queuing", 1996.
    """

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.deficit = 0
        self.size = 0
        self.cost = 0
        self.virtual = 0
        self.serial = 0
        self.callers: dict[str, OrderedDict[int, Waiting]] = {}
        self.tags: dict[str, tuple[int, int]] = {}
        # Items that differ from ``tags`` are stale and dropped when they come first.
        self.heap: list[tuple[int, int, str]] = []
        # Tags of callers without entries. Without them a caller that offers its next query
        # after each start would always be first.
        self.finished: dict[str, int] = {}

    def add(self, entry: Waiting) -> None:
        entries = self.callers.get(entry.caller)
        if entries is None:
            entries = self.callers[entry.caller] = OrderedDict()
            self._tag(entry.caller, max(self.virtual, self.finished.pop(entry.caller, 0)))
        entries[entry.query_id] = entry
        self.size += 1
        self.cost += entry.cost

    def discard(self, entry: Waiting) -> None:
        entries = self.callers[entry.caller]
        del entries[entry.query_id]
        self.size -= 1
        self.cost -= entry.cost
        if not entries:
            del self.callers[entry.caller]
            self.finished[entry.caller] = self.tags.pop(entry.caller)[0]
        if not self.size:
            self.deficit = 0
            self.finished.clear()
            self.heap.clear()
        elif len(self.finished) > 2 * len(self.callers) + 64:
            self.finished = {c: tag for c, tag in self.finished.items() if tag > self.virtual}

    def find(self, can_start: Callable[[Waiting], bool]) -> Waiting | None:
        """Return the next entry that can start, in the order of the callers' tags."""
        blocked = []
        found = None
        while self.heap and found is None:
            tag, serial, caller = self.heap[0]
            if self.tags.get(caller) == (tag, serial):
                first = islice(self.callers[caller].values(), _DEPTH)
                found = next((entry for entry in first if can_start(entry)), None)
                if found is None:
                    blocked.append(heapq.heappop(self.heap))
            else:
                heapq.heappop(self.heap)
        for item in blocked:
            heapq.heappush(self.heap, item)
        return found

    def take(self, entry: Waiting) -> None:
        """Remove an entry that starts now and charge its caller."""
        tag, _ = self.tags[entry.caller]
        self.virtual = max(self.virtual, tag)
        self._tag(entry.caller, tag + entry.cost)
        self.discard(entry)

    def _tag(self, caller: str, tag: int) -> None:
        self.serial += 1
        self.tags[caller] = (tag, self.serial)
        heapq.heappush(self.heap, (tag, self.serial, caller))
        if len(self.heap) > 2 * len(self.tags) + 64:
            self.heap = [(t, serial, name) for name, (t, serial) in self.tags.items()]
            heapq.heapify(self.heap)


class AdmissionQueue:
    """Queue with priority classes, fair between the callers of a class.

    :param limit: largest number of waiting queries. An eighth of it is reserved for each
        class, so that a flood of one class leaves room for the others.
    :param caller_share: largest part of ``limit`` that one caller fills in a class.
    :raises ValueError: if a parameter is out of range.

    >>> queue = AdmissionQueue(10)
    >>> queue.offer(Waiting(1, Priority.NORMAL, "desk", 4, 9_000, 0), 0)
    True
    >>> queue.pop(5, lambda entry: True).query_id
    1

    Notes
    -----
    Classes are served by deficit round robin with weights 8:3:1, counted in sends. The rounds
    that no class can use are skipped by arithmetic. See M. Shreedhar and G. Varghese,
    "Efficient fair queuing using deficit round-robin", 1996.
    """

    def __init__(self, limit: int, *, caller_share: float = 0.5) -> None:
        if limit < 0 or not 0 < caller_share <= 1:
            raise ValueError(f"limit {limit}, caller_share {caller_share} out of range")
        self._caller_share = caller_share
        self.set_limit(limit)
        self._classes = {priority: _Class(weight) for priority, weight in _WEIGHTS.items()}
        self._entries: dict[int, Waiting] = {}
        self._deadlines: list[tuple[int, int]] = []
        self._expired: list[Waiting] = []
        self._run_us = 0
        self._observed_us = 0
        self._busy_us = 0.0
        self._drained = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def set_limit(self, limit: int) -> None:
        """Change the largest number of waiting queries; those that wait already stay.

        :param limit: largest number of waiting queries, at least 0.
        """
        self._limit = limit
        self._reserved = limit // 8
        self._caller_limit = max(1, int(limit * self._caller_share))

    def set_run_time(self, run_us: int) -> None:
        """Set the time that a query is expected to need from its start to its answer.

        :param run_us: duration in microseconds; queries with less time left do not start.
        """
        self._run_us = run_us

    def offer(self, entry: Waiting, now_us: int) -> bool:
        """Add a query, unless there is no room or it cannot finish before its deadline.

        :param entry: query to add.
        :param now_us: monotonic time in microseconds.
        :returns: whether the query waits now; a refused one did not run.
        :raises ValueError: if the query id already waits or the cost is below 1.
        """
        if entry.query_id in self._entries or entry.cost < 1:
            raise ValueError(f"query {entry.query_id} of cost {entry.cost} waits or is invalid")
        self._expire(now_us)
        wait_us = self.estimate_wait_us(entry.priority, now_us)
        if now_us + wait_us + self._run_us >= entry.deadline_us or not self._has_room(entry):
            return False
        self._entries[entry.query_id] = entry
        self._classes[entry.priority].add(entry)
        heapq.heappush(self._deadlines, (entry.deadline_us, entry.query_id))
        return True

    def pop(self, now_us: int, can_start: Callable[[Waiting], bool]) -> Waiting | None:
        """Remove and return the next query that can start.

        :param now_us: monotonic time in microseconds.
        :param can_start: free of effects; called for several entries, of each caller for at
            most the first eight.
        :returns: query to start now, or ``None`` if none of those can start.
        """
        self._expire(now_us)
        self._observe(now_us)
        candidates = []
        for group in self._classes.values():
            entry = group.find(can_start)
            if entry is not None:
                rounds = max(0, -((group.deficit - entry.cost) // group.weight))
                candidates.append((rounds, group, entry))
                if not rounds:
                    break
        if not candidates:
            return None
        rounds, chosen, entry = min(candidates, key=lambda candidate: candidate[0])
        if rounds:
            for _, group, _ in candidates:
                group.deficit += rounds * group.weight
        chosen.deficit -= entry.cost
        if entry.queued_us < now_us:
            self._drained += entry.cost
        chosen.take(entry)
        del self._entries[entry.query_id]
        return entry

    def drop_expired(self, now_us: int) -> list[Waiting]:
        """Remove and return the queries that can no longer finish before their deadline.

        :param now_us: monotonic time in microseconds.
        :returns: queries to refuse; they did not run.
        """
        self._expire(now_us)
        expired, self._expired = self._expired, []
        return expired

    def remove(self, query_id: int) -> bool:
        """Remove a query whose caller is gone.

        :param query_id: number of the query.
        :returns: whether it was waiting.
        """
        entry = self._entries.pop(query_id, None)
        if entry is None:
            return False
        self._classes[entry.priority].discard(entry)
        if len(self._deadlines) > 2 * len(self._entries) + 64:
            self._deadlines = [(e.deadline_us, e.query_id) for e in self._entries.values()]
            heapq.heapify(self._deadlines)
        return True

    def estimate_wait_us(self, priority: Priority, now_us: int) -> int:
        """Estimate how long a query that is offered now waits for its start.

        :param priority: priority class of the query.
        :param now_us: monotonic time in microseconds.
        :returns: duration in microseconds, 0 without entries or observations.

        Notes
        -----
        The class waits for its own entries at its guaranteed part of the observed drain rate,
        and never longer than all entries need together.
        """
        self._observe(now_us)
        own = self._classes[priority]
        if not self._entries or self._busy_us < _MIN_BUSY_US or not self._drained:
            return 0
        rate = max(self._drained / self._busy_us, _MIN_RATE)
        groups = self._classes.values()
        weights = sum(group.weight for group in groups if group.size or group is own)
        all_cost = sum(group.cost for group in groups)
        return int(min(all_cost, own.cost * weights / own.weight) / rate)

    def _has_room(self, entry: Waiting) -> bool:
        groups = self._classes.values()
        own = self._classes[entry.priority]
        if len(own.callers.get(entry.caller, ())) >= self._caller_limit:
            return False
        if own.size < self._reserved:
            return True
        shared = sum(max(0, group.size - self._reserved) for group in groups)
        return shared < self._limit - len(groups) * self._reserved

    def _expire(self, now_us: int) -> None:
        due_us = now_us + self._run_us
        while self._deadlines and self._deadlines[0][0] <= due_us:
            deadline_us, query_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(query_id)
            if entry is not None and entry.deadline_us == deadline_us:
                self.remove(query_id)
                self._expired.append(entry)

    def _observe(self, now_us: int) -> None:
        """Count the time during which queries waited; older observations fade."""
        elapsed_us = now_us - self._observed_us
        self._observed_us = now_us
        if self._entries and elapsed_us > 0:
            kept = 0.5 ** (elapsed_us / _HALF_LIFE_US)
            self._busy_us = self._busy_us * kept + elapsed_us
            self._drained *= kept
