"""Queues of waiting leafs: entries used to be duplicated at each attempt to send."""

from mimosapost.core.leaf_queue import LeafQueue
from mimosapost.core.tests.test_invariants import run_schedule
from mimosapost.model.codes import Priority


def test_repeated_add_keeps_one_entry_in_order():
    """Adding a waiting leaf again neither duplicates nor moves its entry."""
    waiting = LeafQueue()
    for leaf in ("a", "b", "a"):
        waiting.add(Priority.URGENT, (1, leaf))
    assert len(waiting) == 2
    assert [waiting.pop(), waiting.pop()] == [(1, "a"), (1, "b")]
    waiting.add(Priority.URGENT, (1, "a"))
    assert len(waiting) == 1


def test_waiting_suspects_do_not_multiply(monkeypatch):
    """Suspects that wait for an idle server are added again at each attempt to send them."""
    lengths = []
    add = LeafQueue.add

    def record(self, priority, entry):
        add(self, priority, entry)
        lengths.append(len(self))

    monkeypatch.setattr(LeafQueue, "add", record)
    fleet = run_schedule(4, {"lost_replica", "poison_request"}, queries=60)
    leafs = len(fleet.team.services[0].leafs)
    assert max(lengths) > 1, "at most one leaf waited at a server; expected at least two"
    assert max(lengths) <= leafs * len(fleet.submitted_queries)
