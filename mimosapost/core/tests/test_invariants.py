"""Invariants under combinations of faults.

Each pair of faults of the design page runs at least once, with a seed that is fixed by the
pair. A failure names the invariant and is reproduced by running the test with the same
parameters.
"""

import itertools

import pytest

from mimosapost.core.tests.fault_schedules import FAULTS, MERGES, run_schedule

PAIRS = list(itertools.combinations_with_replacement(sorted(FAULTS), 2))


@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_invariants_hold_under_each_pair_of_faults(first, second):
    """Two faults at once break no invariant of the design page."""
    number = PAIRS.index((first, second))
    run_schedule(number, {first, second}, merge=MERGES[number % 3])


@pytest.mark.parametrize("instances", [1, 2, 8])
@pytest.mark.parametrize("name", sorted(FAULTS))
def test_invariants_hold_in_fleets_of_other_sizes(name, instances):
    """Decisions that are correct for the default of 4 instances are so for other sizes too."""
    faults = {name, "doubled_events", "delayed_messages", "lossy_links"}
    run_schedule(instances, faults, queries=80, instances=instances)


@pytest.mark.parametrize("lasting", ["domain_out", "leaving_server"])
@pytest.mark.parametrize("name", sorted(FAULTS))
def test_nothing_is_sent_3s_after_a_domain_or_server_left(name, lasting):
    """No instance sends to a domain or server 3 s after it was taken out of service."""
    fleet = run_schedule(3, {name, lasting}, queries=180, gap_us=25_000)
    assert (
        max(fleet.now_us - since_us for since_us in fleet.out_of_service_since_us.values())
        > 6_000_000
    )


@pytest.mark.parametrize(("seed", "instances"), [(4, 2), (6, 1), (7, 4)])
def test_suspects_stay_confined_among_stragglers(seed, instances):
    """A suspect is never sent to a server that has other requests in flight."""
    run_schedule(seed, ("resent_suspects", "stragglers"), instances=instances)


@pytest.mark.parametrize("seed", range(4))
def test_a_graceful_stop_under_load_interrupts_nothing(seed):
    """An instance does not end by a graceful stop while slow queries are open."""
    run_schedule(seed, ("graceful_stop", "stragglers"), queries=340)


def test_schedules_produce_answers_tickets_and_hedges():
    """The schedules produce complete answers, non-idempotent queries and hedges.

    Without these, the invariants would hold because there is nothing to check.
    """
    fleet = run_schedule(7, {"stragglers"})
    codes = {
        submitted.answers[0].code.name
        for submitted in fleet.submitted_queries.values()
        if submitted.answers
    }
    assert "COMPLETE" in codes
    assert any(not submitted.query.repeatable for submitted in fleet.submitted_queries.values())
    assert max(runs for runs in fleet.run_counts.values()) > 1, "no request was hedged"
