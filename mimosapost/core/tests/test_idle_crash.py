"""Guards the limit in cold start after servers restarted while nothing was in flight."""

import pytest

from mimosapost.core.tests.fleet import Fleet
from mimosapost.core.tests.invariants import Checker


def test_servers_that_restarted_idle_get_no_more_than_their_cold_limit():
    """A burst after an idle restart finds the warm limit and overloads the cold servers."""
    fleet = Fleet(1, check=Checker())
    fleet.run(4_000_000)
    for number in range(600):
        fleet.ask(number % 4)
        fleet.run(3_000)
    fleet.run(1_000_000)
    if any(server.working for server in fleet.servers.values()):
        pytest.fail("the servers are not idle")
    for server in fleet.servers.values():
        fleet.crash(server, down_us=200_000)
    fleet.run(1_000_000)
    # The checker compares the work at each server with what it bears, after each event.
    for number in range(80):
        fleet.ask(number % 4)
    fleet.run(1_000_000)
