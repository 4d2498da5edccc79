"""Invariants under pairs of faults.

Each pair of faults of the design page runs at least once, with a seed that is fixed by the
pair. A failure names the invariant and can be run again from its parameters.
"""

import itertools

import pytest

from mimosapost.core.tests.fleet import Fleet
from mimosapost.core.tests.invariants import Checker
from mimosapost.core.tests.schedules import FAULTS
from mimosapost.model.codes import Priority

PAIRS = list(itertools.combinations_with_replacement(sorted(FAULTS), 2))
START_US = 4_000_000


def run_schedule(seed, faults, queries=150, gap_us=12_000):
    """Run queries of both kinds while faults go on; return the fleet after its end."""
    fleet = Fleet(seed, check=Checker())
    fleet.run(START_US)
    for name in faults:
        FAULTS[name](fleet)
    tickets = []
    for number in range(queries):
        seat = fleet.rng.choice(sorted(fleet.nodes))
        if fleet.rng.random() < 0.3 and tickets:
            nonce, ticket = fleet.rng.choice(tickets)
            fleet.ask(seat, nonce=nonce, repeatable=False, ticket=ticket)
        else:
            priority = fleet.rng.choice(list(Priority))
            asked = fleet.ask(seat, priority=priority)
            if asked.answers and asked.answers[0].ticket:
                tickets.append((10**7 + number, asked.answers[0].ticket))
        fleet.run(gap_us)
        for asked in list(fleet.asked.values())[-20:]:
            if asked.answers and asked.answers[0].ticket and fleet.rng.random() < 0.05:
                tickets.append((10**8 + asked.query.query_id, asked.answers[0].ticket))
    fleet.run(2_500_000)
    return fleet


@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_invariants_hold_under_each_pair_of_faults(first, second):
    """Guards every invariant of the design page against two faults at once."""
    fleet = run_schedule(PAIRS.index((first, second)), {first, second})
    for (seat, _), asked in fleet.asked.items():
        if fleet.nodes[seat].alive and asked.query.query_id in fleet.nodes[seat].state.queries:
            pytest.fail(f"query {asked.query.query_id} never ended")


def test_the_schedules_reach_the_cases_they_are_for():
    """Guards against schedules that pass because nothing happens in them."""
    fleet = run_schedule(7, {"stragglers"})
    codes = {a.answers[0].code.name for a in fleet.asked.values() if a.answers}
    assert "COMPLETE" in codes
    assert any(not a.query.repeatable for a in fleet.asked.values())
    assert max(runs for runs in fleet.runs.values()) > 1, "no request was hedged"
