"""Guards against a straggler that stays without a hedge because the budget was once empty."""

import pytest

from mimosapost.core.tests.fleet import SERVICE, Fleet, create_team


def ask_with_empty_budget(seed=1):
    """Ask one query of slow servers, with an empty budget, and run past its hedge delay."""
    fleet = Fleet(seed, instances=1, team=create_team(cold_limit=24))
    # Alone of four seats, the instance has no lease; its fixed share is enough.
    fleet.run(5_000_000)
    service = fleet.nodes[0].state.services[SERVICE]
    while service.hedge_budget.try_spend():
        pass
    for server in fleet.servers.values():
        server.median_us = 450_000
    fleet.ask(0)
    # 3 first sends earn 0.15 tokens, too little for a hedge at 100 ms.
    fleet.run(150_000)
    return fleet, service


@pytest.mark.parametrize(("earned", "hedges"), [(0, False), (10_000, True)])
def test_hedge_waits_for_the_budget(earned, hedges):
    fleet, service = ask_with_empty_budget()
    assert len(fleet.emitted) == 3
    service.hedge_budget.earn(earned)
    fleet.run(200_000)
    assert (len(fleet.emitted) > 3) is hedges


def test_deferred_hedges_end_with_their_query():
    """Guards against a timer that re-arms itself for a send that has ended."""
    fleet, _ = ask_with_empty_budget()
    fleet.run(3_000_000)
    events = fleet.events
    state = fleet.nodes[0].state
    assert not state.queries
    assert not state.sends
    fleet.run(10_000_000)
    # One housekeeping tick in 50 ms, a heartbeat and a gossip in 500 ms each.
    assert fleet.events - events <= 10 * (20 + 2 + 2) + 5
