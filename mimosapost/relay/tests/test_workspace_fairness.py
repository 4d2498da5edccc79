"""Checks that a workspace that sends many times its usual doesn't delay the others.

Load pattern: a service has room for two requests of this instance; one workspace sends twelve
at once, the others one each.
"""

from __future__ import annotations

import pytest

from mimosapost.relay.catalog import ServiceRules, Workspace
from mimosapost.relay.tests.relay_harness import create_single_relay

HOT = Workspace("hot")


def request_for(relay, workspace):
    """Let a request of a workspace arrive; return its number."""
    number = relay.request("/look/x", deadline_ms=590)
    relay.state.requests[number].workspace = workspace
    return number


@pytest.mark.parametrize(
    ("hot", "others", "turns"),
    [(HOT, [Workspace("small")], [0, 1]), (None, [None], None)],
    ids=["workspaces", "none"],
)
def test_the_next_free_server_takes_a_request_of_another_workspace(hot, others, turns):
    relay = create_single_relay(("a1",), [ServiceRules("one", 8)], slots=2)
    burst = [request_for(relay, hot) for _ in range(12)]
    late = [request_for(relay, workspace) for workspace in others]
    sends = relay.pop_sends()
    order = []
    for _ in range(len(burst) + len(late) - len(sends)):
        relay.advance(1)
        relay.answer(sends.pop(0))
        sends += relay.pop_sends()
        order.append(sends[-1].request.request_number)
    assert sorted(order) == sorted(burst[2:] + late)
    if turns is None:
        assert order == burst[2:] + late
    else:
        assert late[0] in [order[turn] for turn in turns]
