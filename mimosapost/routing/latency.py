"""Latency statistics with decay: quantiles of a service, estimates of a slot."""

from __future__ import annotations

from array import array
from math import log2

from mimosapost.model.identities import SlotId

__all__ = ["LatencyBook"]

# 16 buckets for each doubling bound the relative error of a quantile to 4.4%.
_BUCKETS_PER_OCTAVE = 16
# 28 octaves reach 268 s; the largest deadline of a service is 60 s.
_BUCKETS = 28 * _BUCKETS_PER_OCTAVE
# A half-life needs both: the time bounds the work of halving at high rates, and the number of
# records keeps enough samples for the 96th percentile at low rates.
_HALF_LIFE_US = 5_000_000
_HALF_LIFE_RECORDS = 512
# A quantile is computed again after this many records; one computation costs about 10 us.
_REFRESH_RECORDS = 64
_SLOT_HALF_LIFE_US = 10_000_000
_SLOT_GAIN = 0.125
# One straggler of 20 times the median raises an estimate by at most 25%; a server that stays
# 20 times slower is still known after 14 answers.
_SLOT_STEP = 3.0
_FIRST_GUESS_US = 10_000


class _Sketch:
    """Logarithmic-bucket counters of one service."""

    __slots__ = ("cache", "counts", "halved_us", "new_records", "records", "total")

    def __init__(self, now_us: int) -> None:
        self.counts = array("d", bytes(8 * _BUCKETS))
        self.total = 0.0
        self.records = 0
        self.new_records = 0
        self.halved_us = now_us
        self.cache: dict[float, tuple[int, int]] = {}

    def add(self, elapsed_us: int, now_us: int) -> None:
        index = int(log2(elapsed_us) * _BUCKETS_PER_OCTAVE) if elapsed_us > 1 else 0
        self.counts[index if index < _BUCKETS else _BUCKETS - 1] += 1.0
        self.total += 1.0
        self.records += 1
        self.new_records += 1
        if self.new_records >= _HALF_LIFE_RECORDS and now_us - self.halved_us >= _HALF_LIFE_US:
            self.counts = array("d", [count * 0.5 for count in self.counts])
            self.total *= 0.5
            self.new_records = 0
            self.halved_us = now_us

    def find(self, q: float) -> int:
        cached = self.cache.get(q)
        if cached is not None and self.records - cached[0] < min(
            _REFRESH_RECORDS, 1 + cached[0] // 16
        ):
            return cached[1]
        rank = q * self.total
        seen = 0.0
        place = 0.0
        for index, count in enumerate(self.counts):
            if count:
                # Without interpolation the rank of the middle of a wide bucket would decide
                # the share of hedged sends.
                place = index + min(1.0, max(0.0, rank - seen) / count)
                seen += count
                if seen >= rank:
                    break
        value = max(1, round(2.0 ** (place / _BUCKETS_PER_OCTAVE)))
        self.cache[q] = (self.records, value)
        return value


class LatencyBook:
    """Latency of services (quantile sketch) and of slots (moving average).

    Both adapt to changes: a service's counters lose half their weight every 5 s, but only
    after at least 512 new records; a slot's estimate that gets no records loses half its value
    every 10 s, so that a slot is tried again after a slow period.

    :param service_limit: largest number of services kept (3.6 kB each).
    :param slot_limit: largest number of slots kept.

    >>> book = LatencyBook()
    >>> slot_id = SlotId("search", "0", "a")
    >>> for elapsed_us in range(1_000, 2_000):
    ...     book.record("search", slot_id, elapsed_us, now_us=0)
    >>> 1_400 < book.get_median_us("search") < 1_600
    True
    """

    def __init__(self, service_limit: int = 4_096, slot_limit: int = 65_536) -> None:
        self._service_limit = service_limit
        self._slot_limit = slot_limit
        self._sketches: dict[str, _Sketch] = {}
        # Value and time of the last record, as a two-element list that is changed in place.
        self._slots: dict[SlotId, list[float]] = {}

    def record(self, service: str, slot_id: SlotId, elapsed_us: int, now_us: int) -> None:
        """Record the answer of a send.

        :param service: service that was asked.
        :param slot_id: slot that answered.
        :param elapsed_us: time from sending to the whole answer, in microseconds.
        :param now_us: monotonic time in microseconds.
        """
        self._get_sketch(service, now_us).add(elapsed_us, now_us)
        slot = self._slots.get(slot_id)
        if slot is None:
            self._add_slot(slot_id, float(elapsed_us), now_us)
            return
        value, recorded_us = slot
        gain = _SLOT_GAIN
        if now_us > recorded_us:
            # The older the last record, the less it counts against the new one.
            gain = 1.0 - (1.0 - gain) * 0.5 ** ((now_us - recorded_us) / _SLOT_HALF_LIFE_US)
        slot[0] = value + gain * (min(elapsed_us, _SLOT_STEP * value + 1.0) - value)
        slot[1] = now_us

    def record_abandoned(
        self, service: str, slot_id: SlotId, elapsed_us: int, now_us: int
    ) -> None:
        """Record a send that was cancelled or ran out of time before its answer.

        Its true latency is at least ``elapsed_us``. If the sends that a hedge overtakes were
        left out, the delay quantile would follow the shortened distribution downwards and the
        share of hedged sends would grow.

        :param service: service that was asked.
        :param slot_id: slot that did not answer in time.
        :param elapsed_us: time from sending to the cancellation, in microseconds.
        :param now_us: monotonic time in microseconds.
        """
        slot = self._slots.get(slot_id)
        if slot is not None and elapsed_us <= slot[0]:
            # Shorter than the estimate: the lower bound says nothing about this slot.
            self._get_sketch(service, now_us).add(elapsed_us, now_us)
            return
        self.record(service, slot_id, elapsed_us, now_us)

    def get_quantile_us(self, service: str, q: float) -> int:
        """Return a latency quantile of a service.

        :param service: name of the service.
        :param q: quantile from 0 to 1.
        :returns: latency in microseconds within 4.4%, 0 without records.
        """
        sketch = self._sketches.get(service)
        return sketch.find(q) if sketch is not None else 0

    def get_median_us(self, service: str) -> int:
        """Return the median latency of a service in microseconds, 0 without records.

        :param service: name of the service.
        """
        return self.get_quantile_us(service, 0.5)

    def get_records(self, service: str) -> int:
        """Return how many answers of a service were recorded in all.

        :param service: name of the service.
        """
        sketch = self._sketches.get(service)
        return sketch.records if sketch is not None else 0

    def get_slot_us(self, slot_id: SlotId, now_us: int) -> int:
        """Return the latency estimate of a slot for the choice between slots.

        A slot without records starts at the median of its service; this first look is
        remembered, so that its estimate falls with time like that of any other slot.

        :param slot_id: slot.
        :param now_us: monotonic time in microseconds.
        :returns: estimate in microseconds, at least 1; lower than the truth for a slot that
            was not used for long. For the expected time of a send use the service's median.
        """
        slot = self._slots.get(slot_id)
        if slot is None:
            value = self.get_median_us(slot_id.service) or _FIRST_GUESS_US
            self._add_slot(slot_id, float(value), now_us)
            return value
        idle_us = now_us - slot[1]
        if idle_us <= 0:
            return max(1, int(slot[0]))
        return max(1, int(slot[0] * 0.5 ** (idle_us / _SLOT_HALF_LIFE_US)))

    def _get_sketch(self, service: str, now_us: int) -> _Sketch:
        sketch = self._sketches.get(service)
        if sketch is None:
            if len(self._sketches) >= self._service_limit:
                del self._sketches[next(iter(self._sketches))]
            sketch = self._sketches[service] = _Sketch(now_us)
        return sketch

    def _add_slot(self, slot_id: SlotId, value: float, now_us: int) -> None:
        if len(self._slots) >= self._slot_limit:
            # The oldest key, not the least used: moving keys at each record would cost more
            # than learning a slot anew.
            del self._slots[next(iter(self._slots))]
        self._slots[slot_id] = [value, now_us]
