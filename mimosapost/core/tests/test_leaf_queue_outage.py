"""Leafs that wait while all their servers are down."""

from mimosapost.core.leaf_queue import LeafQueue
from mimosapost.core.tests.simulated_fleet import Fleet
from mimosapost.model.codes import Priority, ResultCode


def test_waiting_leafs_do_not_multiply_while_all_servers_are_down():
    """Duplicated entries of a waiting leaf must not block the instance.

    Each attempt to send a waiting leaf doubled its entries, which blocked the instance for
    seconds.
    """
    fleet = Fleet(1, instances=1)
    fleet.run(4_000_000)
    for server in fleet.servers.values():
        server.up = False
    submitted = fleet.submit_query(0, deadline_us=2_000_000)
    state = fleet.instances_by_seat[0].state
    for _ in range(400):
        fleet.run(2_000)
        # Checks every 2 ms, because duplicated entries soon take minutes to process.
        assert max(len(server.waiting) for server in state.servers.values()) <= 1
    assert state.waiting_leafs > 0
    for server in fleet.servers.values():
        server.up = True
    fleet.run(1_100_000)
    assert [answer.code for answer in submitted.answers] == [ResultCode.COMPLETE]


def test_popped_entry_can_be_added_again():
    """A leaf that was removed from the queue can be added again and is not lost."""
    waiting = LeafQueue()
    for _ in range(3):
        waiting.add(Priority.NORMAL, (1, "a"))
    waiting.add(Priority.NORMAL, (1, "b"))
    assert len(waiting) == 2
    assert waiting.pop() == (1, "a")
    waiting.add(Priority.NORMAL, (1, "a"))
    assert [waiting.pop(), waiting.pop()] == [(1, "b"), (1, "a")]
    assert len(waiting) == 0
