"""Guards against leafs that multiply while they wait for servers that are down."""

from mimosapost.core.tests.fleet import Fleet
from mimosapost.core.waiting import WaitingLeafs
from mimosapost.model.codes import Priority, ResultCode


def test_waiting_leafs_do_not_multiply_while_all_servers_are_down():
    """Each look at a waiting leaf doubled its entries and blocked the instance for seconds."""
    fleet = Fleet(1, instances=1)
    fleet.run(4_000_000)
    for server in fleet.servers.values():
        server.up = False
    asked = fleet.ask(0, deadline_us=2_000_000)
    state = fleet.nodes[0].state
    for _ in range(400):
        fleet.run(2_000)
        # Checked often, because doubled entries take minutes to process soon after.
        assert max(len(server.waiting) for server in state.servers.values()) <= 1
    assert state.waiting_leafs > 0
    for server in fleet.servers.values():
        server.up = True
    fleet.run(1_100_000)
    assert [answer.code for answer in asked.answers] == [ResultCode.COMPLETE]


def test_an_entry_waits_once_and_may_come_back():
    """Guards against a leaf that is lost because an earlier entry is remembered."""
    waiting = WaitingLeafs()
    for _ in range(3):
        waiting.add(Priority.NORMAL, (1, "a"))
    waiting.add(Priority.NORMAL, (1, "b"))
    assert len(waiting) == 2
    assert waiting.pop() == (1, "a")
    waiting.add(Priority.NORMAL, (1, "a"))
    assert [waiting.pop(), waiting.pop()] == [(1, "b"), (1, "a")]
    assert len(waiting) == 0
