"""Regression tests of the reducer; each one reproduces a single fault of the decision path."""

from dataclasses import replace

import msgspec
import pytest

from mimosapost.core.tests.harness import ReducerHarness
from mimosapost.core.tests.simulated_fleet import SERVICE, encode_subtree
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, MissingReason, Priority, ResultCode, RunState
from mimosapost.model.peer_messages import Forward, ForwardAnswer, Hello, SuspectNote
from mimosapost.model.queries import Query
from mimosapost.suspects.tracker import SuspicionState


def test_waiting_entries_do_not_multiply():
    """Each attempt to send a waiting suspect used to add its queue entries once more."""
    harness = ReducerHarness(leafs=1, cold_limit=50, connections=240)
    harness.state.suspects.record_crash("127.0.0.1:80", (7,), harness.now_us)
    for _ in range(4):
        harness.submit_query(fingerprint=1)
    assert {send.server for send in harness.list_open_sends()} == set(harness.state.servers)
    harness.submit_query(fingerprint=7)
    for _ in range(6):
        harness.advance_time(50_000)
        queued = [len(server.waiting) for server in harness.state.servers.values()]
        assert max(queued) <= 1, queued


def test_queue_of_a_server_without_allowance_does_not_grow():
    """A query that expires while it waits at a full server leaves no entry in its queue."""
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=1)
    harness.submit_query(deadline_us=1_900_000)
    for number in range(20):
        harness.submit_query(fingerprint=number, deadline_us=60_000)
        harness.advance_time(100_000)
    queued = [len(server.waiting) for server in harness.state.servers.values()]
    assert max(queued) <= 1, queued


def test_leaf_given_up_with_an_open_hedge_is_counted_once():
    """A leaf whose first send fails for good and whose hedge is answered is subtracted once.

    Subtracting it twice from the open leafs ends the query while another leaf is still open.
    """
    harness = ReducerHarness(leafs=2, cold_limit=20)
    number = harness.submit_query(deadline_us=1_000_000)
    harness.advance_time(400_000)
    first, hedge = [send for send in harness.list_open_sends() if send.request.leaf == "leaf0"][
        :2
    ]
    harness.fail_send(first, FailureKind.TOO_LARGE, RunState.RAN)
    harness.answer_send(hedge)
    assert not harness.list_answers(number), "the query was answered while leaf1 is still open"
    harness.answer_send(
        next(send for send in harness.list_open_sends() if send.request.leaf == "leaf1")
    )
    (answer,) = harness.list_answers(number)
    assert answer.covered == ("leaf0", "leaf1")


def test_refusal_after_a_replan_counts_the_old_sends():
    """An answer must not say "not run" if a send of the plan before the replan may have run."""
    harness = ReducerHarness(leafs=2, cold_limit=20)
    number = harness.submit_query()
    old, rejected = harness.list_open_sends()
    harness.apply_event(ev.SendRejected, rejected.send_id, 1, 2, "boot")
    for _ in range(10):
        for send in harness.list_open_sends():
            if send.send_id > rejected.send_id:
                harness.fail_send(send, FailureKind.REFUSED, RunState.NOT_RUN)
        harness.advance_time(50_000)
    (answer,) = harness.list_answers(number)
    assert answer.run is RunState.UNKNOWN, (answer, old)


def test_no_send_after_the_deadline_when_a_pause_ends():
    """A queued send is not started if its query expired while the process was paused."""
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=1)
    harness.submit_query(deadline_us=1_900_000)
    late = harness.submit_query(deadline_us=300_000)
    (send,) = harness.list_open_sends()
    before = len(harness.effects)
    harness.now_us += 900_000
    harness.answer_send(send)
    emitted = [e for e in harness.effects[before:] if isinstance(e, fx.EmitSend)]
    assert not emitted
    assert harness.list_answers(late)[0].run is RunState.NOT_RUN


def test_retry_after_the_deadline_is_not_sent():
    """A send is not retried if a late process learns of its failure after the deadline."""
    harness = ReducerHarness(leafs=1, cold_limit=20)
    harness.submit_query(deadline_us=300_000, repeatable=False, ticket=harness.issue_ticket())
    (send,) = harness.list_open_sends()
    before = len(harness.effects)
    harness.now_us += 320_000
    harness.fail_send(send, FailureKind.REFUSED, RunState.NOT_RUN)
    assert not [e for e in harness.effects[before:] if isinstance(e, fx.EmitSend)]


def test_joined_query_ends_at_its_own_deadline():
    """A copy that joined a running request is answered at its own, earlier deadline."""
    harness = ReducerHarness(leafs=1)
    ticket = harness.issue_ticket()
    harness.submit_query(repeatable=False, ticket=ticket, deadline_us=1_500_000)
    again = harness.submit_query(repeatable=False, ticket=ticket, deadline_us=200_000)
    harness.advance_time(250_000)
    (answer,) = harness.list_answers(again)
    assert answer.run is RunState.UNKNOWN
    (send,) = harness.list_open_sends()
    harness.answer_send(send)
    assert len(harness.list_answers(again)) == 1


def test_copies_that_join_a_running_request_are_bounded():
    """Without a bound, memory grows with the copies of one request that wait for its answer."""
    harness = ReducerHarness(leafs=1)
    ticket = harness.issue_ticket()
    numbers = [harness.submit_query(repeatable=False, ticket=ticket) for _ in range(70)]
    refused = [number for number in numbers if harness.list_answers(number)]
    assert refused == numbers[65:]
    assert {harness.list_answers(number)[0].run for number in refused} == {RunState.UNKNOWN}


@pytest.mark.parametrize("stopping", [False, True], ids=["serving", "stopping"])
def test_stopping_instance_issues_no_tickets(stopping):
    """A stopping instance issues no tickets: it ends before the caller can use them."""
    harness = ReducerHarness(leafs=1)
    if stopping:
        harness.apply_event(ev.StopRequested)
    number = harness.submit_query()
    harness.answer_send(harness.list_open_sends()[0])
    assert bool(harness.list_answers(number)[0].ticket) is not stopping


def test_queries_of_a_republished_service_are_counted():
    """A query that outlives the removal of its service must not make the open count negative.

    The service is removed and published again while the query runs.
    """
    harness = ReducerHarness(leafs=1, cold_limit=20)
    harness.submit_query(deadline_us=1_500_000)
    tree = harness.team
    harness.publish(replace(tree, version=2, services=(), callers=()))
    harness.publish(replace(tree, version=3))
    assert harness.state.services[SERVICE].open_queries == 1
    harness.answer_send(harness.list_open_sends()[0])
    assert harness.state.services[SERVICE].open_queries == 0


def test_queued_query_of_a_removed_service_is_refused_at_once():
    """A queued query of a removed service must not stay unanswered until its deadline."""
    harness = ReducerHarness(leafs=1, concurrency=1)
    harness.submit_query(deadline_us=1_500_000)
    queued = harness.submit_query(deadline_us=1_500_000)
    harness.publish(replace(harness.team, version=2, services=(), callers=()))
    (answer,) = harness.list_answers(queued)
    assert (answer.code, answer.run) == (ResultCode.UNKNOWN_SERVICE, RunState.NOT_RUN)


def test_refused_request_is_logged_with_its_caller():
    """Operators find a refused poison request in the log by its fingerprint."""
    harness = ReducerHarness(leafs=1)
    harness.state.suspects.merge([SuspectNote(7, 2, 60_000_000)], harness.now_us)
    number = harness.submit_query(fingerprint=7)
    assert harness.list_answers(number)[0].code is ResultCode.REQUEST_REFUSED
    logged = [e for e in harness.effects if isinstance(e, fx.WriteLog)]
    assert dict(logged[-1].fields)["fingerprint"] == "0000000000000007"
    assert logged[-1].event == "request_refused"


def test_refused_request_does_not_leave_the_queue():
    """A poison request that is confirmed while it is queued is refused instead of run."""
    harness = ReducerHarness(leafs=1, concurrency=1, cold_limit=20)
    harness.submit_query(fingerprint=1, deadline_us=900_000)
    queued = harness.submit_query(fingerprint=7, deadline_us=900_000)
    harness.state.suspects.merge((SuspectNote(7, 2, 60_000_000),), harness.now_us)
    harness.answer_send(harness.list_open_sends()[0])
    (answer,) = harness.list_answers(queued)
    assert (answer.code, answer.run) == (ResultCode.REQUEST_REFUSED, RunState.NOT_RUN)


def test_request_that_became_suspect_is_not_hedged():
    """A query that becomes a suspect after its first send gets no hedge."""
    harness = ReducerHarness(leafs=1, cold_limit=20)
    harness.submit_query(deadline_us=900_000)
    harness.state.suspects.merge((SuspectNote(7, 1, 0),), harness.now_us)
    harness.advance_time(300_000)
    assert len(harness.list_open_sends()) == 1


def test_two_slots_of_one_server_are_one_live_slot():
    """A suspect is not sent to the last live server of a leaf.

    Two slots at the same address count as one server.
    """
    harness = ReducerHarness(leafs=1, cold_limit=20)
    service = harness.team.services[0]
    slot = service.leafs[0].slots[0]
    leaf = replace(service.leafs[0], slots=(slot, replace(slot, name="other")))
    harness.publish(harness.team, leafs=(leaf,), map_version=2)
    harness.state.suspects.record_crash("127.0.9.9:80", (7,), harness.now_us)
    number = harness.submit_query()
    assert not harness.list_open_sends()
    assert harness.list_answers(number)[0].missing[0].reason is MissingReason.REQUEST_SUSPECT


def test_leaving_slot_excludes_its_server():
    """A server that one slot marks as leaving gets no work through another slot either."""
    harness = ReducerHarness(leafs=2, slots=1, cold_limit=20)
    first, second = harness.team.services[0].leafs
    slot = first.slots[0]
    leafs = (
        replace(first, slots=(replace(slot, leaving=True),)),
        replace(second, slots=(replace(slot, name="t0"),)),
    )
    harness.publish(harness.team, leafs=leafs, map_version=2)
    number = harness.submit_query()
    assert not harness.list_open_sends()
    assert harness.list_answers(number)[0].run is RunState.NOT_RUN


def test_stopped_instance_runs_no_forwarded_query():
    """No work starts after ``StopServing``, because the process may end at any time then."""
    harness = ReducerHarness(leafs=1, cold_limit=20)
    ticket = harness.issue_ticket()
    for _ in range(2):
        harness.apply_event(ev.StopRequested)
    harness.advance_time(3_200_000)
    assert sum(isinstance(e, fx.StopServing) for e in harness.effects) == 1
    harness.submit_query(repeatable=False, ticket=ticket, forwarded_by="i1")
    assert not harness.list_open_sends()


def test_changed_queue_limit_applies_to_existing_service():
    """A changed queue limit also applies to a service that exists already."""
    harness = ReducerHarness(leafs=1, concurrency=1)
    harness.publish(harness.team, queue_limit=0)
    harness.submit_query()
    second = harness.submit_query()
    assert harness.list_answers(second)[0].run is RunState.NOT_RUN


@pytest.mark.parametrize(
    ("merge", "parts"),
    [("sum", (1, {"a": 1})), ("sum", (1e308, 1e308)), ("sum", ({"a": 1e308}, {"a": 1e308}))],
    ids=["different-types", "infinite-sum", "infinite-sum-of-a-key"],
)
def test_parts_that_cannot_be_merged_end_the_query(merge, parts):
    """Sub-answers of different types, or with an infinite sum, must not raise an error."""
    harness = ReducerHarness(leafs=2, cold_limit=20, merge=merge)
    number = harness.submit_query()
    for send, items in zip(harness.list_open_sends(), parts, strict=True):
        harness.answer_send(send, items)
    (answer,) = harness.list_answers(number)
    assert answer.result is None
    assert answer.run is RunState.RAN


def test_coverage_share_is_compared_without_rounding_error():
    """Seven of 100 leafs reach a minimum coverage of 0.07.

    The product 0.07 * 100 rounds to a number above 7, which used to refuse the query early.
    """
    harness = ReducerHarness(leafs=100, slots=1, cold_limit=20)
    number = harness.submit_query(min_coverage=0.07)
    sends = harness.list_open_sends()
    for send in sends[7:]:
        harness.fail_send(send, FailureKind.TOO_LARGE, RunState.RAN)
    for send in sends[:7]:
        harness.answer_send(send)
    assert harness.list_answers(number)[0].code is ResultCode.PARTIAL


def test_replan_only_where_the_deadline_allows():
    """A replan shortly before the deadline would drop parts and leave no time for new ones."""
    harness = ReducerHarness(leafs=2, cold_limit=20)
    for _ in range(30):
        harness.submit_query()
        for send in harness.list_open_sends():
            harness.now_us += 20_000
            harness.answer_send(send)
    number = harness.submit_query(deadline_us=400_000)
    harness.advance_time(390_000, step_us=390_000)
    first, second = harness.list_open_sends()[:2]
    harness.answer_send(first)
    harness.apply_event(ev.SendRejected, second.send_id, 1, 2, "boot")
    harness.advance_time(20_000)
    assert len(harness.list_answers(number)[0].covered) == 1


def test_answer_of_another_send_is_discarded():
    """A crossed answer with the right leaf and snapshot is recognised by its request id."""
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=20)
    number = harness.submit_query(deadline_us=300_000)
    harness.answer_send(harness.list_open_sends()[0], request_id="64-999")
    harness.advance_time(400_000)
    assert all(not answer.covered for answer in harness.list_answers(number))


def test_unused_servers_and_peers_are_removed():
    """Without removal, memory grows with each replaced server and instance."""
    harness = ReducerHarness(leafs=1, cold_limit=20)
    for version in range(2, 30):
        leaf = harness.team.services[0].leafs[0]
        slot = replace(leaf.slots[0], server=f"127.1.0.{version}:80")
        harness.publish(
            harness.team, leafs=(replace(leaf, slots=(slot,)),), map_version=version
        )
        harness.answer_send(harness.list_open_sends()[0]) if harness.submit_query() else None
        name, address = f"p{version}", f"127.9.1.{version}:9"
        entry = ev.InstanceEntry(name, address, False)
        harness.apply_event(ev.InstancesListed, (entry,))
        harness.advance_time(100_000)
    assert len(harness.state.servers) <= 2
    assert len(harness.state.peer_addresses) <= 2


def test_restart_seen_by_a_rejection_returns_the_server_to_cold():
    """A new boot id in a rejection resets the warm-up limit, as it does in an answer.

    Otherwise a restarted server would get full load while it is cold.
    """
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=2)
    for _ in range(12):
        harness.submit_query()
        harness.answer_send(harness.list_open_sends()[0])
        harness.advance_time(100_000)
    server = next(iter(harness.state.servers))
    assert harness.state.warmup.get_limit(server, harness.now_us) > 2
    harness.submit_query()
    harness.apply_event(
        ev.SendRejected, harness.list_open_sends()[0].send_id, 1, 1, "other boot"
    )
    assert harness.state.warmup.get_limit(server, harness.now_us) == 2


def test_malformed_forward_answer_is_ignored():
    """A malformed or deeply nested peer answer must not raise in the reducer."""
    harness = ReducerHarness(leafs=1)
    peer = replace(harness.state.identity, name="i1", incarnation=7, seat=0)
    harness.apply_event(ev.PeerMessageArrived, "i1", Hello(1, peer))
    number = harness.submit_query(repeatable=False, ticket=f"i1~{7:016x}~1~9~00")
    assert number in harness.state.forwards
    for text in (b"", b"[]", b'"\xff"', b'{"code":1}', b"[" * 9_000 + b"]" * 9_000):
        for forward_id in (number, 999):
            harness.apply_event(ev.PeerMessageArrived, "i1", ForwardAnswer(forward_id, text))
    nested = b'{"code":1000,"run":"ran","result":' + b"[" * 9_000 + b"]" * 9_000 + b"}"
    harness.apply_event(ev.PeerMessageArrived, "i1", ForwardAnswer(number, nested))
    harness.advance_time(500_000)
    (answer,) = harness.list_answers(number)
    assert answer.run is RunState.UNKNOWN


def test_duplicated_forward_does_not_run_after_a_refusal():
    """A duplicate of a forward is not run after the first copy was answered "not run"."""
    harness = ReducerHarness(leafs=1, slots=1, concurrency=1, queue_limit=0)
    peer = replace(harness.state.identity, name="i1", incarnation=7, seat=0)
    harness.apply_event(ev.PeerMessageArrived, "i1", Hello(1, peer))
    harness.submit_query(fingerprint=1)
    query = Query(
        5, SERVICE, "school", {}, 7, Priority.NORMAL, 0, False, ticket=harness.issue_ticket()
    )
    message = Forward(5, 100, msgspec.json.encode(query), 400_000)
    harness.apply_event(ev.PeerMessageArrived, "i1", message)
    replies = [e.message for e in harness.effects if isinstance(e, fx.SendPeer)]
    assert b'"not_run"' in replies[-1].answer
    harness.answer_send(harness.list_open_sends()[0])
    harness.apply_event(ev.PeerMessageArrived, "i1", message)
    assert not harness.list_open_sends()


def test_restart_seen_before_the_probe_confirms_the_crash():
    """A crash is confirmed also if an answer shows the new boot id before the probe does."""
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=20)
    harness.submit_query(fingerprint=1)
    harness.answer_send(harness.list_open_sends()[0])
    harness.submit_query(fingerprint=7)
    harness.fail_send(harness.list_open_sends()[0])
    harness.submit_query(fingerprint=2)
    harness.answer_send(harness.list_open_sends()[0], boot_id="next boot")
    harness.apply_event(ev.ProbeAnswered, next(iter(harness.state.servers)), "next boot")
    assert harness.state.suspects.classify(7, harness.now_us) is SuspicionState.SUSPECT


def test_deadline_beyond_the_leases_is_shortened():
    """A send must end before other instances may reuse its share of the limits."""
    harness = ReducerHarness(leafs=1)
    harness.submit_query(deadline_us=60_000_000)
    (send,) = harness.list_open_sends()
    assert send.deadline_us <= harness.now_us + harness.state.policy.max_deadline_us


def test_leaf_that_waits_after_a_replan_is_sent_once():
    """A probe that ends while a replanned leaf waits must not start a second send."""
    harness = ReducerHarness(leafs=2, slots=1, cold_limit=20)
    harness.submit_query()
    first, second = harness.list_open_sends()
    harness.fail_send(first)
    harness.submit_query(fingerprint=8)
    harness.fail_send(harness.list_open_sends()[1], FailureKind.REFUSED, RunState.NOT_RUN)
    harness.apply_event(ev.SendRejected, second.send_id, 1, 2, "boot")
    harness.apply_event(ev.ProbeAnswered, first.server, "boot")
    versions = [(s.request.leaf, s.request.index_version) for s in harness.list_open_sends()]
    assert versions.count(("leaf0", 2)) == 1


def test_instance_above_the_ceiling_does_no_work():
    """An instance whose seat is above the ceiling has no share of the limits and sends nothing.

    It must not raise in the reducer, and it works once the ceiling is raised.
    """
    harness = ReducerHarness(leafs=1, cold_limit=20)
    fleet = harness.state.configs.get_fleet()
    harness.state.identity = replace(harness.state.identity, seat=3)
    for version, ceiling, sends in ((2, 2, 0), (3, 4, 1)):
        tree = replace(fleet, version=version, instance_ceiling=ceiling)
        harness.apply_event(ev.ConfigRead, "fleet", version, encode_subtree(tree))
        harness.advance_time(10_000_000)
        number = harness.submit_query()
        assert len(harness.list_open_sends()) == sends
        assert harness.state.is_ready(harness.now_us) is bool(sends)
        harness.advance_time(500_000)
        if not sends:
            assert harness.list_answers(number)[0].run is RunState.NOT_RUN


def test_query_that_expires_at_an_arrival_is_refused_at_once():
    """A queued query found expired when another one arrives is answered at that moment.

    Removing it from the queue without an answer leaves it open until its deadline.
    """
    harness = ReducerHarness(leafs=1, cold_limit=20, concurrency=1)
    for _ in range(30):
        harness.submit_query()
        harness.now_us += 20_000
        harness.answer_send(harness.list_open_sends()[0])
    harness.submit_query(deadline_us=1_500_000)
    queued = harness.submit_query(deadline_us=100_000)
    harness.now_us += 85_000
    harness.submit_query(deadline_us=1_500_000)
    (answer,) = harness.list_answers(queued)
    assert (answer.code, answer.run) == (ResultCode.DEADLINE_TOO_SHORT, RunState.NOT_RUN)
