from random import Random

import pytest

from mimosapost.model.identities import SlotId
from mimosapost.routing.latency import LatencyTracker

SLOT = SlotId("search", "0", "a")
SECOND_US = 1_000_000


def record_latencies(tracker, value_us, count, now_us, step_us=0):
    for _ in range(count):
        tracker.record("search", SLOT, value_us, now_us)
        now_us += step_us
    return now_us


@pytest.mark.parametrize("q", [0.05, 0.5, 0.9, 0.965, 0.99])
def test_quantile_is_within_bucket_error(q):
    """A quantile must come from the right bucket and rank.

    Fails when ``seen += count`` becomes ``+= 1``.
    """
    rng = Random(3)
    tracker = LatencyTracker()
    values = [int(6_000 * rng.lognormvariate(0.0, 0.5)) for _ in range(20_000)]
    for value_us in values:
        tracker.record("search", SLOT, value_us, 0)
    exact = sorted(values)[int(q * len(values))]
    assert abs(tracker.get_quantile_us("search", q) / exact - 1.0) < 0.0125


@pytest.mark.parametrize(("before_us", "after_us"), [(6_000, 60_000), (60_000, 6_000)])
@pytest.mark.parametrize("step_us", [200, 20_000])
def test_quantiles_follow_a_change(before_us, after_us, step_us):
    """Old latencies must lose their weight after the latency of a service has changed.

    Fails when ``count * 0.5`` becomes ``count``.
    """
    tracker = LatencyTracker()
    now_us = record_latencies(tracker, before_us, 200_000, 0, step_us)
    # Six half-lives: each takes 5 s or 512 records, whichever is later.
    records = 6 * max(512, 5 * SECOND_US // step_us)
    record_latencies(tracker, after_us, records, now_us, step_us)
    assert abs(tracker.get_quantile_us("search", 0.965) / after_us - 1.0) < 0.045
    assert abs(tracker.get_median_us("search") / after_us - 1.0) < 0.045


def test_unknown_service_has_no_quantile():
    assert LatencyTracker().get_median_us("search") == 0


@pytest.mark.parametrize("elapsed_us", [-5, 0, 1, 2**40])
def test_extreme_values_are_bounded(elapsed_us):
    """A very small or large latency must not give a bucket index outside the counters.

    Fails without ``else _BUCKET_COUNT - 1``.
    """
    tracker = LatencyTracker()
    tracker.record("search", SLOT, elapsed_us, 0)
    assert 1 <= tracker.get_median_us("search") < 2**28


def test_one_straggler_raises_a_slot_estimate_only_slightly():
    """A healthy slot must stay in use after one slow answer.

    Fails when ``min(elapsed_us, _MAX_SLOT_RATIO * value + 1.0)`` becomes ``elapsed_us``.
    """
    tracker = LatencyTracker()
    record_latencies(tracker, 6_000, 100, 0)
    record_latencies(tracker, 120_000, 1, 0)
    assert tracker.get_slot_us(SLOT, 0) < 6_000 * 1.3
    record_latencies(tracker, 120_000, 20, 0)
    assert tracker.get_slot_us(SLOT, 0) > 6_000 * 10


def test_slow_estimate_decays_and_recovers():
    """A slot must be tried again after a slow period, so its estimate has to decay.

    Fails when ``0.5 ** (idle_us / _SLOT_HALF_LIFE_US)`` becomes ``1.0``.
    """
    tracker = LatencyTracker()
    record_latencies(tracker, 120_000, 100, 0)
    assert tracker.get_slot_us(SLOT, 0) > 100_000
    assert tracker.get_slot_us(SLOT, 50 * SECOND_US) < 6_000
    # After a long time without records, one fast answer determines nearly the whole estimate.
    tracker.record("search", SLOT, 6_000, 50 * SECOND_US)
    assert tracker.get_slot_us(SLOT, 50 * SECOND_US) < 12_000


def test_persistent_slowness_is_remembered():
    """A slot that stays slow must not be tried again at short intervals.

    Fails when the decayed value is stored instead of ``slot[0]``.
    """
    tracker = LatencyTracker()
    record_latencies(tracker, 120_000, 100, 0)
    tracker.record("search", SLOT, 120_000, 50 * SECOND_US)
    assert tracker.get_slot_us(SLOT, 50 * SECOND_US) > 100_000


def test_unknown_slot_starts_at_the_median_and_decays():
    """A new slot must be tried in the end, even if another slot of its leaf is fast.

    Fails when ``self._add_slot`` in ``get_slot_us`` is dropped.
    """
    tracker = LatencyTracker()
    record_latencies(tracker, 6_000, 100, 0)
    other = SlotId("search", "0", "b")
    assert 5_800 < tracker.get_slot_us(other, 0) < 6_200
    assert tracker.get_slot_us(other, 20 * SECOND_US) < 2_000


def test_abandoned_send_never_lowers_a_slot():
    """Sends cancelled early must not make a slow slot look fast.

    Fails when ``elapsed_us <= slot[0]`` becomes ``elapsed_us < 0``.
    """
    tracker = LatencyTracker()
    record_latencies(tracker, 50_000, 100, 0)
    for _ in range(100):
        tracker.record_abandoned("search", SLOT, 8_000, 0)
    assert tracker.get_slot_us(SLOT, 0) >= 49_999
    tracker.record_abandoned("search", SLOT, 100_000, 0)
    assert tracker.get_slot_us(SLOT, 0) > 50_000


def test_memory_is_bounded():
    """Memory must not grow with each new name of a service or slot.

    Fails when ``del self._slots[...]`` or ``del self._sketches[...]`` is dropped.
    """
    tracker = LatencyTracker(service_limit=4, slot_limit=8)
    for number in range(100):
        service = f"s{number}"
        tracker.record(service, SlotId(service, "0", "a"), 1_000, 0)
    assert len(tracker._sketches) == 4
    assert len(tracker._slots) == 8
