from dataclasses import replace
from random import Random

import pytest

from mimosapost.model.identities import SlotId
from mimosapost.routing.latency import LatencyTracker
from mimosapost.routing.slot_choice import Candidate, choose_slot

DRAWS = 4_000


def create_candidate(slot, **changes):
    base = Candidate(
        SlotId("search", "0", slot), f"10.0.0.{slot}:80", 0, 6, 6_000, 0, 0.0, 0, True
    )
    return replace(base, **changes)


def get_shares(candidates, seed=5):
    rng = Random(seed)
    counts = [0] * len(candidates)
    for _ in range(DRAWS):
        counts[choose_slot(candidates, rng)] += 1
    return [count / DRAWS for count in counts]


@pytest.mark.parametrize(
    "candidates",
    [
        pytest.param([], id="no-candidates"),
        pytest.param([create_candidate("1", in_flight=6)], id="allowance-used"),
        pytest.param(
            [create_candidate("1", allowance=0), create_candidate("2", allowance=0)],
            id="no-allowance",
        ),
        pytest.param(
            [create_candidate("1", live=False), create_candidate("2", in_flight=7)],
            id="dead-or-above-allowance",
        ),
    ],
)
def test_no_slot_without_free_allowance(candidates):
    """An instance must not exceed its allowance at a server (invariant 3 of docs/design.md).

    Fails when ``<`` becomes ``<=`` in the comparison of ``in_flight`` and ``allowance``.
    """
    assert choose_slot(candidates, Random(1)) is None


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        pytest.param(
            [create_candidate("1", live=False), create_candidate("2", latency_us=10**7)],
            1,
            id="dead-and-slow",
        ),
        pytest.param(
            [
                create_candidate("1", in_flight=6),
                create_candidate("2", latency_us=10**7),
                create_candidate("3", allowance=0),
            ],
            1,
            id="full-and-slow",
        ),
        pytest.param([create_candidate("1", allowance=1)], 0, id="single-slot"),
    ],
)
def test_only_usable_slot_is_chosen(candidates, expected):
    """A dead or full server must get no send, however slow the remaining one is.

    Fails when ``candidate.live`` is no longer checked.
    """
    rng = Random(2)
    assert {choose_slot(candidates, rng) for _ in range(200)} == {expected}


@pytest.mark.parametrize(
    ("worse", "low", "high"),
    [
        pytest.param({}, 0.45, 0.55, id="equal"),
        pytest.param({"latency_us": 12_000}, 0.03, 0.09, id="latency-doubled"),
        pytest.param({"latency_us": 120_000}, 0.0, 0.002, id="latency-20-times"),
        pytest.param({"locality_us": 24_000}, 0.0, 0.005, id="distant"),
        pytest.param({"in_flight": 3}, 0.03, 0.09, id="half-of-allowance-used"),
        pytest.param({"reported_load": 1.0}, 0.22, 0.30, id="full-load-reported"),
        pytest.param({"reported_load": 50.0}, 0.22, 0.30, id="reported-load-above-1"),
        pytest.param(
            {"reported_load": 1.0, "report_age_us": 20_000_000}, 0.45, 0.55, id="old-report"
        ),
    ],
)
def test_share_of_the_worse_slot(worse, low, high):
    """Each term of the weight must change the share of sends as specified.

    If a load report had too much weight, all instances that share it would move their sends to
    the same server at once. Fails when ``* freshness`` is dropped or
    ``_REPORTED_LOAD_EXPONENT`` is raised to ``_LATENCY_EXPONENT``.
    """
    assert low <= get_shares([create_candidate("1"), create_candidate("2", **worse)])[1] <= high


def test_own_observation_outweighs_the_report():
    """A misleading load report must not attract sends to a server that this instance sees slow.

    Fails when ``_LATENCY_EXPONENT`` becomes 1.
    """
    slow = create_candidate("1", latency_us=24_000, reported_load=0.0)
    fast = create_candidate("2", reported_load=1.0)
    assert get_shares([slow, fast])[0] < 0.02


def test_three_slots_prefer_the_near_one():
    """Sends must not go to other regions while the slot nearby is free.

    If two of three slots were first drawn uniformly, a third of all sends would go to another
    region.
    Fails when ``_LATENCY_EXPONENT`` becomes 1.
    """
    far = {"locality_us": 16_000}
    assert (
        get_shares(
            [create_candidate("1", **far), create_candidate("2"), create_candidate("3", **far)]
        )[1]
        > 0.95
    )


def test_slot_is_used_again_after_a_slow_period():
    """A slot that has recovered from a slow period must get its share of sends again.

    Fails when ``0.5 ** (idle_us / _SLOT_HALF_LIFE_US)`` in ``LatencyTracker`` becomes ``1.0``.
    """
    rng = Random(7)
    tracker = LatencyTracker()
    slots = [SlotId("search", "0", "1"), SlotId("search", "0", "2")]
    late = 0
    for number in range(12_000):
        now_us = number * 10_000
        slow_period = now_us < 20_000_000
        index = choose_slot(
            [
                create_candidate(
                    slot.slot, latency_us=tracker.get_slot_us(slot, now_us), slot_id=slot
                )
                for slot in slots
            ],
            rng,
        )
        elapsed_us = 120_000 if slow_period and index == 0 else 6_000
        tracker.record("search", slots[index], elapsed_us, now_us)
        late += index == 0 and number >= 11_000
    assert 350 < late < 650
