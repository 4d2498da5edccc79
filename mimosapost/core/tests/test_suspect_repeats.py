"""Repeats of a request that crashes servers, at all instances in the same moment.

Every instance knows that a server crashed under the request. The users allow three more runs.
"""

import pytest

from mimosapost.core.tests.simulated_fleet import Fleet, create_team
from mimosapost.model.peer_messages import SuspectNote

CRASHING = 10**9
MAX_RUNS = 3


@pytest.mark.parametrize("instances", [4, 12])
def test_repeats_of_a_suspect_at_all_instances_reach_few_servers(instances):
    fleet = Fleet(1, instances=instances, team=create_team(leafs=20))
    fleet.run(4_000_000)
    for number in range(600):
        fleet.submit_query(number % instances)
        fleet.run(3_000)
    fleet.poison_nonces.add(CRASHING)
    for instance in fleet.instances_by_seat.values():
        instance.state.suspects.merge([SuspectNote(CRASHING, 1, 0)], fleet.now_us)
    for seat in range(instances):
        fleet.submit_query(seat, nonce=CRASHING)
    fleet.run(2_000_000)
    runs = sum(n for (_, nonce), n in fleet.run_counts.items() if nonce == CRASHING)
    assert runs <= MAX_RUNS
