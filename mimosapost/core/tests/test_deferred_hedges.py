"""Hedges that are deferred because the hedge budget is empty.

A hedge that is only tried once, at its delay, is lost when the budget is empty at that moment,
and the straggler then delays the answer.
"""

import pytest

from mimosapost.core.tests.simulated_fleet import SERVICE, Fleet, create_team


def submit_with_empty_budget(seed=1):
    """Submit a query to slow servers, with an empty hedge budget, and pass its hedge delay."""
    fleet = Fleet(seed, instances=1, team=create_team(cold_limit=24))
    # Only one of four seats is taken, so the instance gets no lease; its fixed share is enough.
    fleet.run(5_000_000)
    service = fleet.instances_by_seat[0].state.services[SERVICE]
    while service.hedge_budget.try_spend():
        pass
    for server in fleet.servers.values():
        server.median_us = 450_000
    fleet.submit_query(0)
    # The 3 first sends earn 0.15 tokens, which is not enough for a hedge at 100 ms.
    fleet.run(150_000)
    return fleet, service


@pytest.mark.parametrize(
    ("earned", "hedges"), [(0, False), (10_000, True)], ids=["empty", "refilled"]
)
def test_hedge_waits_for_the_budget(earned, hedges):
    """The hedge is sent once the budget holds a token, and not before."""
    fleet, service = submit_with_empty_budget()
    assert len(fleet.emitted_sends) == 3
    service.hedge_budget.earn(earned)
    fleet.run(200_000)
    assert (len(fleet.emitted_sends) > 3) is hedges


def test_deferred_hedges_end_with_their_query():
    """A deferred hedge's timer must not be set again after the send has ended."""
    fleet, _ = submit_with_empty_budget()
    fleet.run(3_000_000)
    event_count = fleet.event_count
    state = fleet.instances_by_seat[0].state
    assert not state.queries
    assert not state.sends
    fleet.run(10_000_000)
    # In 10 s an idle instance handles a housekeeping timer every 50 ms, and a heartbeat and
    # a gossip timer every 500 ms.
    assert fleet.event_count - event_count <= 10 * (20 + 2 + 2) + 5
