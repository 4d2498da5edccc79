"""Latency statistics with decay: quantiles for a service, an EWMA for a slot."""

from __future__ import annotations

from array import array
from math import log2

from mimosapost.model.identities import SlotId

__all__ = ["LatencyTracker"]

# 16 buckets per doubling of the latency limit the relative error of a quantile to 4.4%.
_BUCKETS_PER_OCTAVE = 16
# 28 octaves cover latencies up to 268 s; the longest deadline that a service can have is 60 s.
_BUCKET_COUNT = 28 * _BUCKETS_PER_OCTAVE
# The counters are halved after this time and this number of records, whichever comes later. The
# time limits how often they are halved at high rates; the number of records leaves enough
# samples for the 96th percentile at low rates.
_HALF_LIFE_US = 5_000_000
_HALF_LIFE_RECORDS = 512
# A cached quantile is computed again after this many records, because one computation takes
# about 10 us.
_QUANTILE_REFRESH_RECORDS = 64
_SLOT_HALF_LIFE_US = 10_000_000
_SLOT_EWMA_GAIN = 0.125
# A record counts as at most this multiple of the estimate. A straggler with 20 times the median
# latency therefore raises the estimate by at most 25%, while a server that stays 20 times
# slower is still recognised after 14 answers.
_MAX_SLOT_RATIO = 3.0
_DEFAULT_LATENCY_US = 10_000


class _Sketch:
    """Histogram of the latency of one service, with logarithmic buckets."""

    __slots__ = ("cache", "counts", "halved_us", "new_records", "records", "total")

    def __init__(self, now_us: int) -> None:
        self.counts = array("d", bytes(8 * _BUCKET_COUNT))
        self.total = 0.0
        self.records = 0
        self.new_records = 0
        self.halved_us = now_us
        self.cache: dict[float, tuple[int, int]] = {}

    def add(self, elapsed_us: int, now_us: int) -> None:
        index = int(log2(elapsed_us) * _BUCKETS_PER_OCTAVE) if elapsed_us > 1 else 0
        self.counts[index if index < _BUCKET_COUNT else _BUCKET_COUNT - 1] += 1.0
        self.total += 1.0
        self.records += 1
        self.new_records += 1
        if self.new_records >= _HALF_LIFE_RECORDS and now_us - self.halved_us >= _HALF_LIFE_US:
            self.counts = array("d", [count * 0.5 for count in self.counts])
            self.total *= 0.5
            self.new_records = 0
            self.halved_us = now_us

    def compute_quantile_us(self, q: float) -> int:
        cached = self.cache.get(q)
        if cached is not None and self.records - cached[0] < min(
            _QUANTILE_REFRESH_RECORDS, 1 + cached[0] // 16
        ):
            return cached[1]
        rank = q * self.total
        seen = 0.0
        position = 0.0
        for index, count in enumerate(self.counts):
            if count:
                # Interpolates within the bucket. Without that, every rank in a wide bucket
                # would give the middle of the bucket, and the position of that middle among
                # the records would determine the share of hedged sends.
                position = index + min(1.0, max(0.0, rank - seen) / count)
                seen += count
                if seen >= rank:
                    break
        value = max(1, round(2.0 ** (position / _BUCKETS_PER_OCTAVE)))
        self.cache[q] = (self.records, value)
        return value


class LatencyTracker:
    """Track the latency of services (quantile sketch) and of slots (EWMA).

    Both adapt to changes. The counters of a service are halved every 5 s, but only after at
    least 512 new records. The estimate of a slot without new records halves every 10 s, so that
    the slot is tried again after a slow period.

    :param service_limit: largest number of services that are tracked (3.6 kB each).
    :param slot_limit: largest number of slots that are tracked.

    >>> tracker = LatencyTracker()
    >>> slot_id = SlotId("search", "0", "a")
    >>> for elapsed_us in range(1_000, 2_000):
    ...     tracker.record("search", slot_id, elapsed_us, now_us=0)
    >>> 1_400 < tracker.get_median_us("search") < 1_600
    True
    """

    def __init__(self, service_limit: int = 4_096, slot_limit: int = 65_536) -> None:
        self._service_limit = service_limit
        self._slot_limit = slot_limit
        self._sketches: dict[str, _Sketch] = {}
        # Each list holds the estimate and the time of the last record, both in microseconds.
        # It is updated in place.
        self._slots: dict[SlotId, list[float]] = {}

    def record(self, service: str, slot_id: SlotId, elapsed_us: int, now_us: int) -> None:
        """Record the latency of an answered send.

        :param service: name of the service.
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
        gain = _SLOT_EWMA_GAIN
        if now_us > recorded_us:
            # The older the last record is, the more weight the new one gets.
            gain = 1.0 - (1.0 - gain) * 0.5 ** ((now_us - recorded_us) / _SLOT_HALF_LIFE_US)
        slot[0] = value + gain * (min(elapsed_us, _MAX_SLOT_RATIO * value + 1.0) - value)
        slot[1] = now_us

    def record_abandoned(
        self, service: str, slot_id: SlotId, elapsed_us: int, now_us: int
    ) -> None:
        """Record a send that was cancelled or ran out of time before its answer.

        The true latency of such a send is at least ``elapsed_us``. If sends that are cancelled
        because their hedge was answered first were left out, long latencies would be missing
        from the distribution. The hedge delay, a quantile of it, would shrink, and the share of
        hedged sends would grow.

        :param service: name of the service.
        :param slot_id: slot that did not answer in time.
        :param elapsed_us: time from sending to the cancellation, in microseconds.
        :param now_us: monotonic time in microseconds.
        """
        slot = self._slots.get(slot_id)
        if slot is not None and elapsed_us <= slot[0]:
            # A lower bound below the estimate carries no information about this slot.
            self._get_sketch(service, now_us).add(elapsed_us, now_us)
            return
        self.record(service, slot_id, elapsed_us, now_us)

    def get_quantile_us(self, service: str, q: float) -> int:
        """Return a latency quantile of a service.

        :param service: name of the service.
        :param q: quantile from 0 to 1.
        :returns: latency in microseconds with a relative error of at most 4.4%, or 0 if the
            service has no records.
        """
        sketch = self._sketches.get(service)
        return sketch.compute_quantile_us(q) if sketch is not None else 0

    def get_median_us(self, service: str) -> int:
        """Return the median latency of a service in microseconds, or 0 without records.

        :param service: name of the service.
        """
        return self.get_quantile_us(service, 0.5)

    def get_record_count(self, service: str) -> int:
        """Return the total number of records of a service, abandoned sends included.

        :param service: name of the service.
        """
        sketch = self._sketches.get(service)
        return sketch.records if sketch is not None else 0

    def get_slot_us(self, slot_id: SlotId, now_us: int) -> int:
        """Return the latency estimate that slot selection uses for a slot.

        A slot without records starts at the median of its service. This call stores that
        estimate, so that it decays with time like the estimate of any other slot.

        :param slot_id: identity of the slot.
        :param now_us: monotonic time in microseconds.
        :returns: estimate in microseconds, at least 1. It is too low for a slot that was not
            used for a long time; use the median of the service as the expected time of a send.
        """
        slot = self._slots.get(slot_id)
        if slot is None:
            value = self.get_median_us(slot_id.service) or _DEFAULT_LATENCY_US
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
            # Evicts the slot that was added first, not the least recently used one: reordering
            # the keys at each record would cost more than estimating an evicted slot again.
            del self._slots[next(iter(self._slots))]
        self._slots[slot_id] = [value, now_us]
