"""Single faults of the decision path, each with the failure that it guards against."""

from dataclasses import replace

import msgspec
import pytest

from mimosapost.core.tests.fleet import SERVICE, encode
from mimosapost.core.tests.solo import Solo
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, MissingReason, Priority, ResultCode, RunState
from mimosapost.model.messages import Forward, ForwardAnswer, Hello, SuspectNote
from mimosapost.model.queries import Query
from mimosapost.suspects.book import Standing


def test_waiting_entries_do_not_multiply():
    """Guards against a suspect that waits and doubles its queue entries at each look."""
    solo = Solo(leafs=1, cold_limit=50, connections=240)
    solo.state.suspects.record_crash("127.0.0.1:80", (7,), solo.now_us)
    for _ in range(4):
        solo.ask(fingerprint=1)
    assert {send.server for send in solo.list_open()} == set(solo.state.servers)
    solo.ask(fingerprint=7)
    for _ in range(6):
        solo.tick(50_000)
        queued = [len(server.waiting) for server in solo.state.servers.values()]
        assert max(queued) <= 1, queued


def test_queue_of_a_server_without_allowance_does_not_grow():
    """Guards against memory that grows with each query that waited at a full server."""
    solo = Solo(leafs=1, slots=1, cold_limit=1)
    solo.ask(deadline_us=1_900_000)
    for number in range(20):
        solo.ask(fingerprint=number, deadline_us=60_000)
        solo.tick(100_000)
    queued = [len(server.waiting) for server in solo.state.servers.values()]
    assert max(queued) <= 1, queued


def test_leaf_given_up_with_an_open_hedge_is_counted_once():
    """Guards against a query that ends early because one leaf was subtracted twice."""
    solo = Solo(leafs=2, cold_limit=20)
    number = solo.ask(deadline_us=1_000_000)
    solo.tick(400_000)
    first, hedge = [send for send in solo.list_open() if send.request.leaf == "leaf0"][:2]
    solo.fail(first, FailureKind.TOO_LARGE, RunState.RAN)
    solo.answer(hedge)
    assert not solo.list_answers(number), "leaf1 is still open"
    solo.answer(next(send for send in solo.list_open() if send.request.leaf == "leaf1"))
    (answer,) = solo.list_answers(number)
    assert answer.covered == ("leaf0", "leaf1")


def test_refusal_after_a_replan_counts_the_old_sends():
    """Guards against "not run" while a send of the plan before may have run."""
    solo = Solo(leafs=2, cold_limit=20)
    number = solo.ask()
    old, rejected = solo.list_open()
    solo.give(ev.SendRejected, rejected.send_id, 1, 2, "boot")
    for _ in range(10):
        for send in solo.list_open():
            if send.send_id > rejected.send_id:
                solo.fail(send, FailureKind.REFUSED, RunState.NOT_RUN)
        solo.tick(50_000)
    (answer,) = solo.list_answers(number)
    assert answer.run is RunState.UNKNOWN, (answer, old)


def test_no_send_after_the_deadline_when_a_pause_ends():
    """Guards against a queued send that starts after its query's deadline."""
    solo = Solo(leafs=1, slots=1, cold_limit=1)
    solo.ask(deadline_us=1_900_000)
    late = solo.ask(deadline_us=300_000)
    (send,) = solo.list_open()
    before = len(solo.effects)
    solo.now_us += 900_000
    solo.answer(send)
    emitted = [e for e in solo.effects[before:] if isinstance(e, fx.EmitSend)]
    assert not emitted
    assert solo.list_answers(late)[0].run is RunState.NOT_RUN


def test_retry_after_the_deadline_is_not_sent():
    """Guards against a retry whose deadline passed while the process was late."""
    solo = Solo(leafs=1, cold_limit=20)
    solo.ask(deadline_us=300_000, repeatable=False, ticket=solo.get_ticket())
    (send,) = solo.list_open()
    before = len(solo.effects)
    solo.now_us += 320_000
    solo.fail(send, FailureKind.REFUSED, RunState.NOT_RUN)
    assert not [e for e in solo.effects[before:] if isinstance(e, fx.EmitSend)]


def test_joined_query_ends_at_its_own_deadline():
    """Guards against a re-sent query that stays open after its deadline."""
    solo = Solo(leafs=1)
    ticket = solo.get_ticket()
    solo.ask(repeatable=False, ticket=ticket, deadline_us=1_500_000)
    again = solo.ask(repeatable=False, ticket=ticket, deadline_us=200_000)
    solo.tick(250_000)
    (answer,) = solo.list_answers(again)
    assert answer.run is RunState.UNKNOWN
    (send,) = solo.list_open()
    solo.answer(send)
    assert len(solo.list_answers(again)) == 1


def test_copies_that_join_a_running_request_are_bounded():
    """Guards against memory that grows with the copies of one request."""
    solo = Solo(leafs=1)
    ticket = solo.get_ticket()
    numbers = [solo.ask(repeatable=False, ticket=ticket) for _ in range(70)]
    refused = [number for number in numbers if solo.list_answers(number)]
    assert refused == numbers[65:]
    assert {solo.list_answers(number)[0].run for number in refused} == {RunState.UNKNOWN}


@pytest.mark.parametrize("stopping", [False, True])
def test_only_an_instance_that_stays_issues_tickets(stopping):
    """Guards against tickets whose issuer is gone before the caller can use them."""
    solo = Solo(leafs=1)
    if stopping:
        solo.give(ev.StopRequested)
    number = solo.ask()
    solo.answer(solo.list_open()[0])
    assert bool(solo.list_answers(number)[0].ticket) is not stopping


def test_queries_of_a_service_that_returns_are_counted():
    """Guards against a negative count of open queries after a service was published again."""
    solo = Solo(leafs=1, cold_limit=20)
    solo.ask(deadline_us=1_500_000)
    tree = solo.team
    solo.publish(replace(tree, version=2, services=(), callers=()))
    solo.publish(replace(tree, version=3))
    assert solo.state.services[SERVICE].open_queries == 1
    solo.answer(solo.list_open()[0])
    assert solo.state.services[SERVICE].open_queries == 0


def test_queued_query_of_a_removed_service_is_refused_at_once():
    """Guards against a queued query that nobody looks at before its deadline."""
    solo = Solo(leafs=1, concurrency=1)
    solo.ask(deadline_us=1_500_000)
    queued = solo.ask(deadline_us=1_500_000)
    solo.publish(replace(solo.team, version=2, services=(), callers=()))
    (answer,) = solo.list_answers(queued)
    assert (answer.code, answer.run) == (ResultCode.UNKNOWN_SERVICE, RunState.NOT_RUN)


def test_refused_request_is_logged_with_its_caller():
    """Guards against a poison request that operators cannot find in the log."""
    solo = Solo(leafs=1)
    solo.state.suspects.merge([SuspectNote(7, 2, 60_000_000)], solo.now_us)
    number = solo.ask(fingerprint=7)
    assert solo.list_answers(number)[0].code is ResultCode.REQUEST_REFUSED
    logged = [e for e in solo.effects if isinstance(e, fx.WriteLog)]
    assert dict(logged[-1].fields)["fingerprint"] == "0000000000000007"
    assert logged[-1].event == "request_refused"


def test_refused_request_does_not_leave_the_queue():
    """Guards against a confirmed poison request that runs because it was queued before."""
    solo = Solo(leafs=1, concurrency=1, cold_limit=20)
    solo.ask(fingerprint=1, deadline_us=900_000)
    queued = solo.ask(fingerprint=7, deadline_us=900_000)
    solo.state.suspects.merge((SuspectNote(7, 2, 60_000_000),), solo.now_us)
    solo.answer(solo.list_open()[0])
    (answer,) = solo.list_answers(queued)
    assert (answer.code, answer.run) == (ResultCode.REQUEST_REFUSED, RunState.NOT_RUN)


def test_request_that_became_suspect_is_not_hedged():
    """Guards against hedges of a query that became a suspect after its first send."""
    solo = Solo(leafs=1, cold_limit=20)
    solo.ask(deadline_us=900_000)
    solo.state.suspects.merge((SuspectNote(7, 1, 0),), solo.now_us)
    solo.tick(300_000)
    assert len(solo.list_open()) == 1


def test_two_slots_of_one_server_are_one_live_slot():
    """Guards against a suspect on the last live server of a leaf with two slots there."""
    solo = Solo(leafs=1, cold_limit=20)
    service = solo.team.services[0]
    slot = service.leafs[0].slots[0]
    leaf = replace(service.leafs[0], slots=(slot, replace(slot, name="other")))
    solo.publish(solo.team, leafs=(leaf,), map_version=2)
    solo.state.suspects.record_crash("127.0.9.9:80", (7,), solo.now_us)
    number = solo.ask()
    assert not solo.list_open()
    assert solo.list_answers(number)[0].missing[0].reason is MissingReason.REQUEST_SUSPECT


def test_leaving_mark_of_one_slot_holds_for_its_server():
    """Guards against work for a leaving server through another slot of the same address."""
    solo = Solo(leafs=2, slots=1, cold_limit=20)
    first, second = solo.team.services[0].leafs
    slot = first.slots[0]
    leafs = (
        replace(first, slots=(replace(slot, leaving=True),)),
        replace(second, slots=(replace(slot, name="t0"),)),
    )
    solo.publish(solo.team, leafs=leafs, map_version=2)
    number = solo.ask()
    assert not solo.list_open()
    assert solo.list_answers(number)[0].run is RunState.NOT_RUN


def test_stopped_instance_takes_no_forwarded_query():
    """Guards against work that starts after the process was told that it may end."""
    solo = Solo(leafs=1, cold_limit=20)
    ticket = solo.get_ticket()
    for _ in range(2):
        solo.give(ev.StopRequested)
    solo.tick(3_200_000)
    assert sum(isinstance(e, fx.StopServing) for e in solo.effects) == 1
    solo.ask(repeatable=False, ticket=ticket, forwarded_by="i1")
    assert not solo.list_open()


def test_new_queue_limit_is_in_force():
    """Guards against an accepted queue limit that only new services take over."""
    solo = Solo(leafs=1, concurrency=1)
    solo.publish(solo.team, queue_limit=0)
    solo.ask()
    second = solo.ask()
    assert solo.list_answers(second)[0].run is RunState.NOT_RUN


@pytest.mark.parametrize(
    ("merge", "parts"),
    [("sum", (1, {"a": 1})), ("sum", (1e308, 1e308)), ("sum", ({"a": 1e308}, {"a": 1e308}))],
)
def test_parts_that_cannot_be_merged_end_the_query(merge, parts):
    """Guards against an exception in the reducer from two answers that do not fit."""
    solo = Solo(leafs=2, cold_limit=20, merge=merge)
    number = solo.ask()
    for send, items in zip(solo.list_open(), parts, strict=True):
        solo.answer(send, items)
    (answer,) = solo.list_answers(number)
    assert answer.result is None
    assert answer.run is RunState.RAN


def test_coverage_share_is_compared_without_rounding_error():
    """Guards against an early refusal of a share that 0.07 * 100 rounds above 7."""
    solo = Solo(leafs=100, slots=1, cold_limit=20)
    number = solo.ask(min_coverage=0.07)
    sends = solo.list_open()
    for send in sends[7:]:
        solo.fail(send, FailureKind.TOO_LARGE, RunState.RAN)
    for send in sends[:7]:
        solo.answer(send)
    assert solo.list_answers(number)[0].code is ResultCode.PARTIAL


def test_replan_only_where_the_deadline_allows():
    """Guards against a late replan that drops parts and leaves no time for new ones."""
    solo = Solo(leafs=2, cold_limit=20)
    for _ in range(30):
        solo.ask()
        for send in solo.list_open():
            solo.now_us += 20_000
            solo.answer(send)
    number = solo.ask(deadline_us=400_000)
    solo.tick(390_000, step_us=390_000)
    first, second = solo.list_open()[:2]
    solo.answer(first)
    solo.give(ev.SendRejected, second.send_id, 1, 2, "boot")
    solo.tick(20_000)
    assert len(solo.list_answers(number)[0].covered) == 1


def test_answer_of_another_send_is_discarded():
    """Guards against a crossed answer that fits by leaf and snapshot only."""
    solo = Solo(leafs=1, slots=1, cold_limit=20)
    number = solo.ask(deadline_us=300_000)
    solo.answer(solo.list_open()[0], request_id="64-999")
    solo.tick(400_000)
    assert all(not answer.covered for answer in solo.list_answers(number))


def test_servers_and_peers_without_use_are_forgotten():
    """Guards against memory that grows with replaced servers and instances."""
    solo = Solo(leafs=1, cold_limit=20)
    for version in range(2, 30):
        leaf = solo.team.services[0].leafs[0]
        slot = replace(leaf.slots[0], server=f"127.1.0.{version}:80")
        solo.publish(solo.team, leafs=(replace(leaf, slots=(slot,)),), map_version=version)
        solo.answer(solo.list_open()[0]) if solo.ask() else None
        name, address = f"p{version}", f"127.9.1.{version}:9"
        entry = ev.InstanceEntry(name, address, False)
        solo.give(ev.InstancesListed, (entry,))
        solo.tick(100_000)
    assert len(solo.state.servers) <= 2
    assert len(solo.state.peer_addresses) <= 2


def test_restart_seen_by_a_rejection_returns_the_server_to_cold():
    """Guards against full load for a server whose restart only a refusal showed."""
    solo = Solo(leafs=1, slots=1, cold_limit=2)
    for _ in range(12):
        solo.ask()
        solo.answer(solo.list_open()[0])
        solo.tick(100_000)
    server = next(iter(solo.state.servers))
    assert solo.state.warmup.get_limit(server, solo.now_us) > 2
    solo.ask()
    solo.give(ev.SendRejected, solo.list_open()[0].send_id, 1, 1, "other boot")
    assert solo.state.warmup.get_limit(server, solo.now_us) == 2


def test_malformed_forward_answer_is_ignored():
    """Guards against a nested or broken peer answer that ends the reducer."""
    solo = Solo(leafs=1)
    peer = replace(solo.state.identity, name="i1", incarnation=7, seat=0)
    solo.give(ev.PeerMessageArrived, "i1", Hello(1, peer))
    number = solo.ask(repeatable=False, ticket=f"i1~{7:016x}~1~9~00")
    assert number in solo.state.forwards
    for text in (b"", b"[]", b'"\xff"', b'{"code":1}', b"[" * 9_000 + b"]" * 9_000):
        for forward_id in (number, 999):
            solo.give(ev.PeerMessageArrived, "i1", ForwardAnswer(forward_id, text))
    nested = b'{"code":1000,"run":"ran","result":' + b"[" * 9_000 + b"]" * 9_000 + b"}"
    solo.give(ev.PeerMessageArrived, "i1", ForwardAnswer(number, nested))
    solo.tick(500_000)
    (answer,) = solo.list_answers(number)
    assert answer.run is RunState.UNKNOWN


def test_doubled_forward_does_not_run_after_a_refusal():
    """Guards against a second copy of a forward that runs after the first was "not run"."""
    solo = Solo(leafs=1, slots=1, concurrency=1, queue_limit=0)
    peer = replace(solo.state.identity, name="i1", incarnation=7, seat=0)
    solo.give(ev.PeerMessageArrived, "i1", Hello(1, peer))
    solo.ask(fingerprint=1)
    query = Query(
        5, SERVICE, "school", {}, 7, Priority.NORMAL, 0, False, ticket=solo.get_ticket()
    )
    message = Forward(5, 100, msgspec.json.encode(query), 400_000)
    solo.give(ev.PeerMessageArrived, "i1", message)
    replies = [e.message for e in solo.effects if isinstance(e, fx.SendPeer)]
    assert b'"not_run"' in replies[-1].answer
    solo.answer(solo.list_open()[0])
    solo.give(ev.PeerMessageArrived, "i1", message)
    assert not solo.list_open()


def test_restart_seen_before_the_probe_confirms_the_crash():
    """Guards against a crash that is forgotten because an answer showed the new boot first."""
    solo = Solo(leafs=1, slots=1, cold_limit=20)
    solo.ask(fingerprint=1)
    solo.answer(solo.list_open()[0])
    solo.ask(fingerprint=7)
    solo.fail(solo.list_open()[0])
    solo.ask(fingerprint=2)
    solo.answer(solo.list_open()[0], boot_id="next boot")
    solo.give(ev.ProbeAnswered, next(iter(solo.state.servers)), "next boot")
    assert solo.state.suspects.classify(7, solo.now_us) is Standing.SUSPECT


def test_deadline_beyond_the_leases_is_shortened():
    """Guards against a send that outlives the time after which its share is reused."""
    solo = Solo(leafs=1)
    solo.ask(deadline_us=60_000_000)
    (send,) = solo.list_open()
    assert send.deadline_us <= solo.now_us + solo.state.policy.max_deadline_us


def test_leaf_that_waits_after_a_replan_is_sent_once():
    """Guards against a doubled send when a probe ends while the replanned leaf waits."""
    solo = Solo(leafs=2, slots=1, cold_limit=20)
    solo.ask()
    first, second = solo.list_open()
    solo.fail(first)
    solo.ask(fingerprint=8)
    solo.fail(solo.list_open()[1], FailureKind.REFUSED, RunState.NOT_RUN)
    solo.give(ev.SendRejected, second.send_id, 1, 2, "boot")
    solo.give(ev.ProbeAnswered, first.server, "boot")
    versions = [(s.request.leaf, s.request.index_version) for s in solo.list_open()]
    assert versions.count(("leaf0", 2)) == 1


def test_instance_above_the_ceiling_does_no_work():
    """Guards against an error in the reducer, and work without a share of the limits."""
    solo = Solo(leafs=1, cold_limit=20)
    fleet = solo.state.configs.get_fleet()
    solo.state.identity = replace(solo.state.identity, seat=3)
    for version, ceiling, sends in ((2, 2, 0), (3, 4, 1)):
        tree = replace(fleet, version=version, instance_ceiling=ceiling)
        solo.give(ev.ConfigRead, "fleet", version, encode(tree))
        solo.tick(10_000_000)
        number = solo.ask()
        assert len(solo.list_open()) == sends
        assert solo.state.is_ready(solo.now_us) is bool(sends)
        solo.tick(500_000)
        if not sends:
            assert solo.list_answers(number)[0].run is RunState.NOT_RUN


def test_query_that_expires_at_an_arrival_is_refused_at_once():
    """Guards against an expired entry that left the queue and waits for its deadline."""
    solo = Solo(leafs=1, cold_limit=20, concurrency=1)
    for _ in range(30):
        solo.ask()
        solo.now_us += 20_000
        solo.answer(solo.list_open()[0])
    solo.ask(deadline_us=1_500_000)
    queued = solo.ask(deadline_us=100_000)
    solo.now_us += 85_000
    solo.ask(deadline_us=1_500_000)
    (answer,) = solo.list_answers(queued)
    assert (answer.code, answer.run) == (ResultCode.DEADLINE_TOO_SHORT, RunState.NOT_RUN)
