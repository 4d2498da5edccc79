"""Bounded admission queue with priority classes and fair queueing between callers."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from mimosapost.model.codes import Priority

__all__ = ["AdmissionQueue", "WaitingQuery"]

_CLASS_WEIGHTS = {Priority.URGENT: 8, Priority.NORMAL: 3, Priority.BACKGROUND: 1}
# Number of entries of one caller that a pop examines, so that it does not scan thousands. If
# none of them can start, the caller's later entries wait, even those that could start.
_MAX_SCANNED_PER_CALLER = 8
# An observation of the drain rate loses half its weight in this time.
_DRAIN_RATE_HALF_LIFE_US = 1_000_000
# Until the queue has been non-empty for this long, the drain rate is unknown and the estimated
# wait is 0.
_MIN_BUSY_US = 1_000
_MIN_RATE_PER_US = 1e-9


@dataclass(frozen=True, slots=True)
class WaitingQuery:
    """A query in the admission queue.

    :param cost: number of sends that the query needs, at least 1.
    :param deadline_us: monotonic time by which the caller needs the answer, in microseconds.
    :param queued_us: monotonic time at which the query arrived, in microseconds.
    """

    query_id: int
    priority: Priority
    caller: str
    cost: int
    deadline_us: int
    queued_us: int


class _ClassQueue:
    """Queue of one priority class, fair between callers (start-time fair queueing).

    Each caller has a start tag, which grows by the cost of each of its entries that starts.
    The caller with the lowest tag is served next. See P. Goyal, H. Vin, H. Cheng, "Start-time
    fair queuing", 1996.
    """

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.deficit = 0
        self.size = 0
        self.cost = 0
        self.virtual_time = 0
        self.tag_serial = 0
        self.callers: dict[str, OrderedDict[int, WaitingQuery]] = {}
        self.tags: dict[str, tuple[int, int]] = {}
        # Items that differ from ``tags`` are stale and are dropped when they reach the top.
        self.heap: list[tuple[int, int, str]] = []
        # Tags of callers without entries. If they were dropped, a caller that offers its next
        # query only after the previous one started would always be served first.
        self.idle_tags: dict[str, int] = {}

    def add(self, entry: WaitingQuery) -> None:
        entries = self.callers.get(entry.caller)
        if entries is None:
            entries = self.callers[entry.caller] = OrderedDict()
            self._tag(entry.caller, max(self.virtual_time, self.idle_tags.pop(entry.caller, 0)))
        entries[entry.query_id] = entry
        self.size += 1
        self.cost += entry.cost

    def discard(self, entry: WaitingQuery) -> None:
        entries = self.callers[entry.caller]
        del entries[entry.query_id]
        self.size -= 1
        self.cost -= entry.cost
        if not entries:
            del self.callers[entry.caller]
            self.idle_tags[entry.caller] = self.tags.pop(entry.caller)[0]
        if not self.size:
            self.deficit = 0
            self.idle_tags.clear()
            self.heap.clear()
        elif len(self.idle_tags) > 2 * len(self.callers) + 64:
            self.idle_tags = {
                c: tag for c, tag in self.idle_tags.items() if tag > self.virtual_time
            }

    def find_startable(self, can_start: Callable[[WaitingQuery], bool]) -> WaitingQuery | None:
        """Return the first entry that can start, trying callers in the order of their tags."""
        blocked = []
        found = None
        while self.heap and found is None:
            tag, tag_serial, caller = self.heap[0]
            if self.tags.get(caller) == (tag, tag_serial):
                scanned = islice(self.callers[caller].values(), _MAX_SCANNED_PER_CALLER)
                found = next((entry for entry in scanned if can_start(entry)), None)
                if found is None:
                    blocked.append(heapq.heappop(self.heap))
            else:
                heapq.heappop(self.heap)
        for item in blocked:
            heapq.heappush(self.heap, item)
        return found

    def dequeue(self, entry: WaitingQuery) -> None:
        """Remove an entry that starts now and add its cost to its caller's tag."""
        tag, _ = self.tags[entry.caller]
        self.virtual_time = max(self.virtual_time, tag)
        self._tag(entry.caller, tag + entry.cost)
        self.discard(entry)

    def _tag(self, caller: str, tag: int) -> None:
        self.tag_serial += 1
        self.tags[caller] = (tag, self.tag_serial)
        heapq.heappush(self.heap, (tag, self.tag_serial, caller))
        if len(self.heap) > 2 * len(self.tags) + 64:
            self.heap = [(t, tag_serial, name) for name, (t, tag_serial) in self.tags.items()]
            heapq.heapify(self.heap)


class AdmissionQueue:
    """Admission queue with priority classes, fair between the callers of a class.

    :param limit: largest number of waiting queries. An eighth of it is reserved for each
        class, so that a flood of one class leaves room for the others.
    :param caller_share: largest part of ``limit`` that one caller may occupy in a class, above
        0 and at most 1.
    :raises ValueError: if a parameter is out of range.

    >>> queue = AdmissionQueue(10)
    >>> queue.offer(WaitingQuery(1, Priority.NORMAL, "desk", 4, 9_000, 0), 0)
    True
    >>> queue.pop(5, lambda entry: True).query_id
    1

    Notes
    -----
    Classes are served by deficit round robin with weights 8:3:1, counted in sends. Rounds in
    which no class has enough deficit are computed and added at once instead of iterated.
    See M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round-robin", 1996.
    """

    def __init__(self, limit: int, *, caller_share: float = 0.5) -> None:
        if limit < 0 or not 0 < caller_share <= 1:
            raise ValueError(
                f"admission queue limit {limit} (expected at least 0) or caller_share "
                f"{caller_share} (expected above 0, at most 1) is out of range"
            )
        self._caller_share = caller_share
        self.set_limit(limit)
        self._classes = {
            priority: _ClassQueue(weight) for priority, weight in _CLASS_WEIGHTS.items()
        }
        self._entries: dict[int, WaitingQuery] = {}
        self._deadlines: list[tuple[int, int]] = []
        self._expired: list[WaitingQuery] = []
        self._run_time_us = 0
        self._observed_us = 0
        self._busy_us = 0.0
        self._drained_cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def has_pending_work(self) -> bool:
        """Whether any query is queued, or expired and not yet returned by ``drop_expired``."""
        return bool(self._entries or self._expired)

    @property
    def has_expired(self) -> bool:
        """Whether expired queries exist that ``drop_expired`` has not returned yet."""
        return bool(self._expired)

    def set_limit(self, limit: int) -> None:
        """Set the largest number of waiting queries; queries already queued stay queued.

        :param limit: largest number of waiting queries, at least 0.
        """
        self._limit = limit
        self._reserved_per_class = limit // 8
        self._caller_limit = max(1, int(limit * self._caller_share))

    def set_run_time(self, run_time_us: int) -> None:
        """Set the expected time from the start of a query to its answer.

        :param run_time_us: duration in microseconds; a query starts only if more time than
            this is left before its deadline.
        """
        self._run_time_us = run_time_us

    def offer(self, entry: WaitingQuery, now_us: int) -> bool:
        """Queue a query, unless the queue is full or the query cannot meet its deadline.

        :param entry: query to add.
        :param now_us: monotonic time in microseconds.
        :returns: whether the query was queued; a refused query has not run.
        :raises ValueError: if the query id is already queued or the cost is below 1.
        """
        if entry.query_id in self._entries or entry.cost < 1:
            raise ValueError(
                f"query {entry.query_id} of cost {entry.cost} cannot be queued: expected an id "
                "that is not queued yet and a cost of at least 1"
            )
        self._expire(now_us)
        wait_us = self.estimate_wait_us(entry.priority, now_us)
        if now_us + wait_us + self._run_time_us >= entry.deadline_us or not self._has_room(
            entry
        ):
            return False
        self._entries[entry.query_id] = entry
        self._classes[entry.priority].add(entry)
        heapq.heappush(self._deadlines, (entry.deadline_us, entry.query_id))
        return True

    def pop(
        self, now_us: int, can_start: Callable[[WaitingQuery], bool]
    ) -> WaitingQuery | None:
        """Remove and return the next query that can start.

        :param now_us: monotonic time in microseconds.
        :param can_start: predicate without side effects; called for several entries, at most
            for the first eight of each caller.
        :returns: query to start now, or ``None`` if no examined query can start.
        """
        self._expire(now_us)
        self._update_drain_rate(now_us)
        candidates = []
        for class_queue in self._classes.values():
            entry = class_queue.find_startable(can_start)
            if entry is not None:
                rounds = max(0, -((class_queue.deficit - entry.cost) // class_queue.weight))
                candidates.append((rounds, class_queue, entry))
                if not rounds:
                    break
        if not candidates:
            return None
        rounds, chosen, entry = min(candidates, key=lambda candidate: candidate[0])
        if rounds:
            for _, class_queue, _ in candidates:
                class_queue.deficit += rounds * class_queue.weight
        chosen.deficit -= entry.cost
        if entry.queued_us < now_us:
            self._drained_cost += entry.cost
        chosen.dequeue(entry)
        del self._entries[entry.query_id]
        return entry

    def drop_expired(self, now_us: int) -> list[WaitingQuery]:
        """Remove and return the queries that can no longer finish before their deadline.

        :param now_us: monotonic time in microseconds.
        :returns: queries to refuse; none of them has run.
        """
        self._expire(now_us)
        expired, self._expired = self._expired, []
        return expired

    def remove(self, query_id: int) -> bool:
        """Remove a query whose caller no longer waits for the answer.

        :param query_id: number of the query.
        :returns: whether the query was queued.
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
        """Estimate how long a query that is offered now waits in the queue.

        :param priority: priority class of the query.
        :param now_us: monotonic time in microseconds.
        :returns: duration in microseconds, 0 if the queue is empty or the drain rate unknown.

        Notes
        -----
        The estimate divides the queued cost of the class by the part of the observed drain
        rate that its weight guarantees. It is at most the time that the whole queue needs at
        the full rate.
        """
        self._update_drain_rate(now_us)
        own_class = self._classes[priority]
        if not self._entries or self._busy_us < _MIN_BUSY_US or not self._drained_cost:
            return 0
        rate = max(self._drained_cost / self._busy_us, _MIN_RATE_PER_US)
        class_queues = self._classes.values()
        weights = sum(
            class_queue.weight
            for class_queue in class_queues
            if class_queue.size or class_queue is own_class
        )
        all_cost = sum(class_queue.cost for class_queue in class_queues)
        return int(min(all_cost, own_class.cost * weights / own_class.weight) / rate)

    def _has_room(self, entry: WaitingQuery) -> bool:
        class_queues = self._classes.values()
        own_class = self._classes[entry.priority]
        if len(own_class.callers.get(entry.caller, ())) >= self._caller_limit:
            return False
        if own_class.size < self._reserved_per_class:
            return True
        shared = sum(
            max(0, class_queue.size - self._reserved_per_class) for class_queue in class_queues
        )
        return shared < self._limit - len(class_queues) * self._reserved_per_class

    def _expire(self, now_us: int) -> None:
        due_us = now_us + self._run_time_us
        while self._deadlines and self._deadlines[0][0] <= due_us:
            deadline_us, query_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(query_id)
            if entry is not None and entry.deadline_us == deadline_us:
                self.remove(query_id)
                self._expired.append(entry)

    def _update_drain_rate(self, now_us: int) -> None:
        """Add the time since the last call if queries waited; older observations decay."""
        elapsed_us = now_us - self._observed_us
        self._observed_us = now_us
        if self._entries and elapsed_us > 0:
            decay = 0.5 ** (elapsed_us / _DRAIN_RATE_HALF_LIFE_US)
            self._busy_us = self._busy_us * decay + elapsed_us
            self._drained_cost *= decay
