"""Cold limit of servers that restart while no request is in flight.

No send fails then, so the instances do not notice the restart by a broken connection.
"""

import pytest

from mimosapost.core.tests.invariants import InvariantChecker
from mimosapost.core.tests.simulated_fleet import Fleet


def test_servers_that_restarted_idle_get_no_more_than_their_cold_limit():
    """A burst after the restart must not be sent with the warm limit to cold servers."""
    fleet = Fleet(1, check=InvariantChecker())
    fleet.run(4_000_000)
    for number in range(600):
        fleet.submit_query(number % 4)
        fleet.run(3_000)
    fleet.run(1_000_000)
    if any(server.in_flight for server in fleet.servers.values()):
        pytest.fail("a server still has requests in flight; expected all to be idle")
    for server in fleet.servers.values():
        fleet.crash(server, down_us=200_000)
    fleet.run(1_000_000)
    # After each event, the checker compares the requests in flight at each server with the
    # server's capacity.
    for number in range(80):
        fleet.submit_query(number % 4)
    fleet.run(1_000_000)
