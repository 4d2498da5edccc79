from dataclasses import replace

import pytest

from mimosapost.bench.hedging import measure_hedging
from mimosapost.model.identities import SlotId
from mimosapost.routing.hedges import HedgeContext, HedgePolicy
from mimosapost.routing.latency import LatencyBook

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
        ({}, True),
        ({"hedges_sent": 1, "sends_open": 2}, True),
        ({"hedges_sent": 2, "sends_open": 3}, False),
        ({"repeatable": False}, False),
        ({"suspect": True}, False),
        ({"overloaded": True}, False),
        ({"sends_open": 0}, False),
        ({"remaining_us": 6_000}, False),
        ({"remaining_us": -1}, False),
    ],
)
def test_decide(changes, expected):
    """Guards invariant 7 (a doubled request), load in overload and useless hedges.

    Fails when ``context.repeatable`` becomes ``True``, and likewise for each other line.
    """
    policy = HedgePolicy(LatencyBook())
    assert policy.decide(replace(ALLOWED, **changes)) is expected


@pytest.mark.parametrize(
    ("samples", "hedges_sent", "low_us", "high_us"),
    [
        ([], 0, 100_000, 100_000),
        ([6_000] * 20, 0, 46_000, 50_000),
        ([6_000] * 1_000, 0, 7_300, 7_700),
        ([6_000] * 95 + [12_000] * 5, 0, 11_700, 12_300),
        ([6_000] * 90 + [120_000] * 10, 0, 46_000, 50_000),
        ([6_000] * 90 + [120_000] * 10, 1, 5_800, 6_200),
        ([10] * 1_000, 0, 500, 500),
    ],
)
def test_delay(samples, hedges_sent, low_us, high_us):
    """Guards the bounds of the delay; fails when ``floor_us`` or ``ceiling_us`` is dropped."""
    book = LatencyBook()
    for elapsed_us in samples:
        book.record("search", SLOT, elapsed_us, 0)
    delay_us = HedgePolicy(book).get_delay_us("search", hedges_sent)
    assert low_us <= delay_us <= high_us


@pytest.mark.parametrize("spread", [0.1, 0.3])
def test_tail_target(spread):
    """Guards the target: p99 at most a quarter of naive with at most 5% extra sends.

    Fails when ``_MAX_HEDGES`` becomes 1 (ratio 1.0).
    """
    result = measure_hedging(spread, queries=1_000)
    assert result.hedged_us <= result.naive_us / 4
    assert result.extra <= 0.05


def test_abandoned_sends_keep_the_hedge_rate():
    """Guards against the loop in which hedges shorten the distribution that sets their delay.

    Fails when ``record_abandoned`` returns at once.
    """
    kept = measure_hedging(0.3, queries=1_000)
    lost = measure_hedging(0.3, queries=1_000, keep_abandoned=False)
    assert kept.first < 0.04
    assert lost.first > kept.first * 1.1
