"""Invariants under pairs of faults.

Each pair of faults of the design page runs at least once, with a seed that is fixed by the
pair. A failure names the invariant and can be run again from its parameters.
"""

import itertools

import pytest

from mimosapost.core.tests.schedules import FAULTS, MERGES, run_schedule

PAIRS = list(itertools.combinations_with_replacement(sorted(FAULTS), 2))


@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_invariants_hold_under_each_pair_of_faults(first, second):
    """Guards every invariant of the design page against two faults at once."""
    number = PAIRS.index((first, second))
    run_schedule(number, {first, second}, merge=MERGES[number % 3])


@pytest.mark.parametrize("instances", [1, 2, 8])
@pytest.mark.parametrize("name", sorted(FAULTS))
def test_invariants_hold_in_fleets_of_other_sizes(name, instances):
    """Guards against decisions that are right for 4 instances only."""
    faults = {name, "doubled_events", "delayed_messages", "lossy_links"}
    run_schedule(instances, faults, queries=80, instances=instances)


@pytest.mark.parametrize("lasting", ["domain_out", "leaving_server"])
@pytest.mark.parametrize("name", sorted(FAULTS))
def test_nothing_is_sent_3s_after_a_domain_or_server_left(name, lasting):
    """Guards against an instance that goes on sending to what was taken out of service."""
    fleet = run_schedule(3, {name, lasting}, queries=180, gap_us=25_000)
    assert max(fleet.now_us - since_us for since_us in fleet.out_since.values()) > 6_000_000


@pytest.mark.parametrize(("seed", "instances"), [(4, 2), (6, 1), (7, 4)])
def test_suspects_stay_confined_among_stragglers(seed, instances):
    """Guards against a suspect that is sent to a server that works on other requests."""
    run_schedule(seed, ("resent_suspects", "stragglers"), instances=instances)


@pytest.mark.parametrize("seed", range(4))
def test_a_graceful_stop_under_load_interrupts_nothing(seed):
    """Guards against an instance that ends while slow queries are open."""
    run_schedule(seed, ("graceful_stop", "stragglers"), queries=340)


def test_the_schedules_reach_the_cases_they_are_for():
    """Guards against schedules that pass because nothing happens in them."""
    fleet = run_schedule(7, {"stragglers"})
    codes = {a.answers[0].code.name for a in fleet.asked.values() if a.answers}
    assert "COMPLETE" in codes
    assert any(not a.query.repeatable for a in fleet.asked.values())
    assert max(runs for runs in fleet.runs.values()) > 1, "no request was hedged"
