from dataclasses import replace

import pytest

from mimosapost.bench.hedging import measure_hedging
from mimosapost.model.identities import SlotId
from mimosapost.routing.hedges import HedgeContext, HedgePolicy
from mimosapost.routing.latency import LatencyTracker

SLOT = SlotId("search", "0", "a")
ALLOWED = HedgeContext(
    repeatable=True,
    suspect=False,
    overloaded=False,
    sends_open=1,
    hedges_sent=0,
    remaining_us=50_000,
    expected_us=6_000,
)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        pytest.param({}, True, id="allowed"),
        pytest.param({"hedges_sent": 1, "sends_open": 2}, True, id="second-hedge"),
        pytest.param({"hedges_sent": 2, "sends_open": 3}, False, id="third-hedge"),
        pytest.param({"repeatable": False}, False, id="not-repeatable"),
        pytest.param({"suspect": True}, False, id="suspect"),
        pytest.param({"overloaded": True}, False, id="overloaded"),
        pytest.param({"sends_open": 0}, False, id="no-open-send"),
        pytest.param({"remaining_us": 6_000}, False, id="too-little-time"),
        pytest.param({"remaining_us": -1}, False, id="after-deadline"),
    ],
)
def test_decide(changes, expected):
    """A hedge must not repeat a non-idempotent request or a suspect.

    The former is invariant 7 of docs/design.md. A hedge must not add load in overload either,
    and not be sent if its answer can't arrive in time. Fails when ``context.repeatable``
    becomes ``True``, and likewise for each other condition.
    """
    policy = HedgePolicy(LatencyTracker())
    assert policy.allows_hedge(replace(ALLOWED, **changes)) is expected


@pytest.mark.parametrize(
    ("samples", "hedges_sent", "low_us", "high_us"),
    [
        pytest.param([], 0, 100_000, 100_000, id="no-records"),
        pytest.param([6_000] * 20, 0, 46_000, 50_000, id="few-records"),
        pytest.param([6_000] * 1_000, 0, 7_300, 7_700, id="equal-latencies"),
        pytest.param([6_000] * 95 + [12_000] * 5, 0, 11_700, 12_300, id="quantile"),
        pytest.param(
            [6_000] * 90 + [120_000] * 10, 0, 46_000, 50_000, id="10-percent-stragglers"
        ),
        pytest.param([6_000] * 90 + [120_000] * 10, 1, 5_800, 6_200, id="second-hedge"),
        pytest.param([10] * 1_000, 0, 500, 500, id="below-minimum"),
    ],
)
def test_delay(samples, hedges_sent, low_us, high_us):
    """The delay must stay within its bounds for even latencies and for many stragglers.

    Fails when ``floor_us`` or ``ceiling_us`` is dropped.
    """
    tracker = LatencyTracker()
    for elapsed_us in samples:
        tracker.record("search", SLOT, elapsed_us, 0)
    delay_us = HedgePolicy(tracker).get_delay_us("search", hedges_sent)
    assert low_us <= delay_us <= high_us


@pytest.mark.parametrize("spread", [0.1, 0.3])
def test_tail_target(spread):
    """Hedging must cut p99 to a quarter of p99 without hedges, at 5% extra sends at most.

    Fails when ``_MAX_HEDGES`` becomes 1, because p99 is then as high as without hedges (ratio
    1.0).
    """
    result = measure_hedging(spread, queries=1_000)
    assert result.hedged_us <= result.naive_us / 4
    assert result.extra <= 0.05


def test_abandoned_sends_keep_the_hedge_rate():
    """Sends that are cancelled after a hedge must count in the latency distribution.

    Otherwise hedges remove long latencies from the distribution that their own delay is
    computed from, and the share of hedged sends grows. Fails when ``record_abandoned`` returns
    at once.
    """
    kept = measure_hedging(0.3, queries=1_000)
    lost = measure_hedging(0.3, queries=1_000, keep_abandoned=False)
    assert kept.first < 0.04
    assert lost.first > kept.first * 1.1
