from dataclasses import replace
from random import Random

import pytest

from mimosapost.model.identities import SlotId
from mimosapost.routing.choice import Candidate, choose_slot
from mimosapost.routing.latency import LatencyBook

DRAWS = 4_000


def make(slot, **changes):
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
        [],
        [make("1", in_flight=6)],
        [make("1", allowance=0), make("2", allowance=0)],
        [make("1", live=False), make("2", in_flight=7)],
    ],
)
def test_nothing_without_free_allowance(candidates):
    """Guards invariant 3: a send above the allowance. Fails when ``<`` becomes ``<=``."""
    assert choose_slot(candidates, Random(1)) is None


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ([make("1", live=False), make("2", latency_us=10**7)], 1),
        ([make("1", in_flight=6), make("2", latency_us=10**7), make("3", allowance=0)], 1),
        ([make("1", allowance=1)], 0),
    ],
)
def test_only_usable_slot_is_chosen(candidates, expected):
    """Guards against a send to a dead or full server; fails without ``candidate.live``."""
    rng = Random(2)
    assert {choose_slot(candidates, rng) for _ in range(200)} == {expected}


@pytest.mark.parametrize(
    ("worse", "low", "high"),
    [
        ({}, 0.45, 0.55),
        ({"latency_us": 12_000}, 0.03, 0.09),
        ({"latency_us": 120_000}, 0.0, 0.002),
        ({"locality_us": 24_000}, 0.0, 0.005),
        ({"in_flight": 3}, 0.03, 0.09),
        ({"reported_load": 1.0}, 0.22, 0.30),
        ({"reported_load": 50.0}, 0.22, 0.30),
        ({"reported_load": 1.0, "report_age_us": 20_000_000}, 0.45, 0.55),
    ],
)
def test_share_of_the_worse_slot(worse, low, high):
    """Guards the weight of each term, and herding on a report that several instances share.

    Fails when ``* fresh`` is dropped or ``_REPORT_POWER`` is raised to ``_OWN_POWER``.
    """
    assert low <= get_shares([make("1"), make("2", **worse)])[1] <= high


def test_own_observation_outweighs_the_report():
    """Guards against following a misleading load report to a slow server.

    Fails when ``_OWN_POWER`` becomes 1.
    """
    slow = make("1", latency_us=24_000, reported_load=0.0)
    fast = make("2", reported_load=1.0)
    assert get_shares([slow, fast])[0] < 0.02


def test_three_slots_prefer_the_near_one():
    """Guards against sends to other regions while the near slot is free.

    A uniform draw of two of three slots would send a third of all sends to another region.
    Fails when ``_OWN_POWER`` becomes 1.
    """
    far = {"locality_us": 16_000}
    assert get_shares([make("1", **far), make("2"), make("3", **far)])[1] > 0.95


def test_slot_is_used_again_after_a_slow_period():
    """Guards against starving a slot that has recovered.

    Fails when ``0.5 ** (idle_us / _SLOT_HALF_LIFE_US)`` in ``LatencyBook`` becomes ``1.0``.
    """
    rng = Random(7)
    book = LatencyBook()
    slots = [SlotId("search", "0", "1"), SlotId("search", "0", "2")]
    late = 0
    for number in range(12_000):
        now_us = number * 10_000
        slow_period = now_us < 20_000_000
        index = choose_slot(
            [
                make(slot.slot, latency_us=book.get_slot_us(slot, now_us), slot_id=slot)
                for slot in slots
            ],
            rng,
        )
        elapsed_us = 120_000 if slow_period and index == 0 else 6_000
        book.record("search", slots[index], elapsed_us, now_us)
        late += index == 0 and number >= 11_000
    assert 350 < late < 650
