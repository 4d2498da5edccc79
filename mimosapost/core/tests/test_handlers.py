"""Handlers of the reducer in tables: arrival, ends of sends, forwarding and the stop."""

from dataclasses import replace

import msgspec
import pytest

from mimosapost.core.registry import list_handled
from mimosapost.core.tests.fleet import SERVICE
from mimosapost.core.tests.solo import Solo
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, MissingReason, Priority, ResultCode, RunState
from mimosapost.model.messages import Forward, ForwardAnswer, Hello, SuspectNote
from mimosapost.model.queries import Answer, Query, SubAnswer

PEER = "i1"


def meet_peer(solo):
    identity = replace(solo.state.identity, name=PEER, incarnation=7)
    solo.give(ev.PeerMessageArrived, PEER, Hello(1, identity))


def list_replies(solo):
    """Return the answers sent to peers."""
    messages = [e.message for e in solo.effects if isinstance(e, fx.SendPeer)]
    answers = [m.answer for m in messages if isinstance(m, ForwardAnswer)]
    return [msgspec.json.decode(answer, type=Answer) for answer in answers]


def test_every_event_has_a_handler():
    """Guards against an event that ends the reducer."""
    events = ev.Event.__subclasses__()
    own = {event.__name__ for event in events if event.__module__ == ev.__name__}
    assert {event.__name__ for event in list_handled()} == own


@pytest.mark.parametrize(
    ("prepare", "fields", "code"),
    [
        (lambda _: None, {"ticket": "nonsense", "repeatable": False}, "TICKET_INVALID"),
        (lambda _: None, {"repeatable": False}, "TICKET_REQUIRED"),
        (lambda _: None, {"deadline_us": 1_000}, "DEADLINE_TOO_SHORT"),
        (lambda _: None, {"deadline_us": -5}, "DEADLINE_TOO_SHORT"),
        (lambda solo: solo.state.services.clear(), {}, "UNKNOWN_SERVICE"),
        (lambda solo: solo.state.callers.clear(), {}, "UNKNOWN_CALLER"),
        (lambda solo: setattr(solo.state, "joined", False), {}, "NOT_CONFIGURED"),
        (lambda solo: setattr(solo.state, "stop_requested_us", 1), {}, "STOPPING"),
        (
            lambda solo: solo.state.suspects.merge((SuspectNote(7, 2, 10**7),), solo.now_us),
            {},
            "REQUEST_REFUSED",
        ),
    ],
)
def test_refusal_at_arrival(prepare, fields, code):
    """Guards against a send for a query that must be refused, and a wrong run state."""
    solo = Solo(leafs=1)
    prepare(solo)
    number = solo.ask(**fields)
    (answer,) = solo.list_answers(number)
    assert (answer.code.name, answer.run) == (code, RunState.NOT_RUN)
    assert not solo.list_open()
    assert not solo.state.queries


@pytest.mark.parametrize(
    ("kind", "run", "repeatable", "sends", "final_run"),
    [
        (FailureKind.REFUSED, RunState.NOT_RUN, False, 2, RunState.NOT_RUN),
        (FailureKind.SHED, RunState.NOT_RUN, False, 3, RunState.NOT_RUN),
        (FailureKind.SHED, RunState.NOT_RUN, True, 3, RunState.NOT_RUN),
        (FailureKind.SHED, RunState.UNKNOWN, False, 1, RunState.UNKNOWN),
        (FailureKind.SHED, RunState.UNKNOWN, True, 3, RunState.UNKNOWN),
        (FailureKind.RESET, RunState.UNKNOWN, False, 1, RunState.UNKNOWN),
        (FailureKind.CLOSED, RunState.UNKNOWN, False, 1, RunState.UNKNOWN),
        (FailureKind.WITHDRAWN, RunState.UNKNOWN, False, 1, RunState.UNKNOWN),
        (FailureKind.WITHDRAWN, RunState.NOT_RUN, False, 3, RunState.NOT_RUN),
        (FailureKind.MALFORMED, RunState.UNKNOWN, False, 1, RunState.UNKNOWN),
        (FailureKind.MALFORMED, RunState.UNKNOWN, True, 3, RunState.UNKNOWN),
        (FailureKind.TOO_LARGE, RunState.RAN, False, 1, RunState.RAN),
        (FailureKind.TOO_LARGE, RunState.RAN, True, 1, RunState.RAN),
    ],
)
def test_failed_send(kind, run, repeatable, sends, final_run):
    """Guards against a second run of a non-idempotent send, and a false run state."""
    solo = Solo(leafs=1, slots=2, cold_limit=20)
    ticket = "" if repeatable else solo.get_ticket()
    number = solo.ask(repeatable=repeatable, ticket=ticket)
    for _ in range(6):
        for send in solo.list_open():
            solo.fail(send, kind, run)
            assert not solo.fail(send, kind, run) or kind is FailureKind.RESET
    emitted = [e for e in solo.effects if isinstance(e, fx.EmitSend)]
    solo.tick(500_000)
    assert len(emitted) == sends
    (answer,) = solo.list_answers(number)
    assert answer.run is final_run
    assert not solo.state.sends


@pytest.mark.parametrize(
    ("changes", "covered"),
    [
        ({}, True),
        ({"leaf": "leaf9"}, False),
        ({"index_version": 2}, False),
        ({"map_version": 2}, False),
        ({"request_id": "64-9"}, False),
        ({"items": {"not": "a list"}}, False),
    ],
)
@pytest.mark.parametrize("repeatable", [True, False])
def test_answered_send(changes, covered, repeatable):
    """Guards against a crossed or malformed sub-answer in a result, or run twice for it."""
    solo = Solo(leafs=1, slots=1, cold_limit=20)
    ticket = "" if repeatable else solo.get_ticket()
    number = solo.ask(repeatable=repeatable, ticket=ticket)
    (send,) = solo.list_open()
    solo.answer(send, **changes)
    solo.answer(send)
    if not repeatable:
        assert not solo.list_open()
    solo.tick(500_000)
    (answer,) = solo.list_answers(number)
    assert bool(answer.covered) is covered
    assert answer.run is not RunState.NOT_RUN


@pytest.mark.parametrize(
    ("event_type", "fields"),
    [
        (ev.SendAnswered, (99, SubAnswer("64-99", "leaf0", 1, 1, "b", 0.0, []))),
        (ev.SendRejected, (99, 1, 2, "b")),
        (ev.SendFailed, (99, FailureKind.RESET, RunState.UNKNOWN)),
        (ev.CallerGone, (99,)),
        (ev.PeerLost, ("nobody",)),
        (ev.ProbeAnswered, ("127.7.7.7:80", "b")),
        (ev.ProbeFailed, ("127.7.7.7:80",)),
        (ev.LoadReported, ("127.7.7.7:80", 0.5)),
        (ev.PeerMessageArrived, ("nobody", ForwardAnswer(99, b"{}"))),
        (ev.PeerMessageArrived, ("nobody", Forward(1, 5, b"{}", 1))),
        (ev.PeerMessageArrived, ("nobody", Forward(1, 100, b"{}", 1))),
    ],
)
def test_event_for_an_unknown_id(event_type, fields):
    """Guards against an error, an answer or lasting memory from an unknown id."""
    solo = Solo(leafs=1)
    solo.ask()
    solo.give(event_type, *fields)
    solo.tick(50_000)
    assert len(solo.list_open()) == 1
    assert not solo.list_answers()
    assert "127.7.7.7:80" not in solo.state.servers
    assert not solo.state.reply_to


@pytest.mark.parametrize(
    ("end", "code", "run"),
    [
        (lambda solo: solo.give(ev.PeerLost, PEER), "ISSUER_UNREACHABLE", "unknown"),
        (lambda solo: solo.tick(500_000), "ISSUER_UNREACHABLE", "unknown"),
        (lambda solo: give_answer(solo, PEER, Answer(ResultCode.COMPLETE, RunState.RAN, [1])),
         "COMPLETE", "ran"),
        (lambda solo: give_answer(solo, PEER, Answer(ResultCode.OVERLOADED, RunState.NOT_RUN)),
         "OVERLOADED", "not_run"),
        (lambda solo: give_answer(solo, "i2", Answer(ResultCode.OVERLOADED, RunState.NOT_RUN)),
         "COMPLETE", "ran"),
    ],
)  # fmt: skip
def test_forwarded_query_ends_once(end, code, run):
    """Guards against a forwarded query with no answer, two answers or a false run state."""
    solo = Solo(leafs=1)
    meet_peer(solo)
    number = solo.ask(repeatable=False, ticket=f"{PEER}~{7:x}~1~9~00")
    sent = [e.message for e in solo.effects if isinstance(e, fx.SendPeer)]
    assert sum(isinstance(message, Forward) for message in sent) == 1
    end(solo)
    give_answer(solo, PEER, Answer(ResultCode.COMPLETE, RunState.RAN, [2]))
    solo.tick(500_000)
    (answer,) = solo.list_answers(number)
    assert (answer.code.name, answer.run.value) == (code, run)
    assert not solo.state.forwards
    assert not solo.list_open()


def give_answer(solo, peer, answer):
    number = max(solo.state.forwards, default=1)
    solo.give(ev.PeerMessageArrived, peer, ForwardAnswer(number, msgspec.json.encode(answer)))


@pytest.mark.parametrize(
    ("fields", "incarnation", "code"),
    [
        ({}, 100, ResultCode.COMPLETE),
        ({}, 99, None),  # for an earlier incarnation: never run
        ({"caller": "other"}, 100, ResultCode.UNKNOWN_CALLER),
        ({"ticket": f"i2~{3:x}~1~9~00"}, 100, ResultCode.ISSUER_UNREACHABLE),
    ],
)
def test_query_forwarded_to_this_instance(fields, incarnation, code):
    """Guards against a run by the wrong incarnation, and a second forward."""
    solo = Solo(leafs=1)
    meet_peer(solo)
    query = Query(3, SERVICE, "school", {}, 7, Priority.NORMAL, 0, False)
    query = replace(query, **({"ticket": solo.get_ticket()} | fields))
    message = Forward(3, incarnation, msgspec.json.encode(query), 400_000)
    for _ in range(2):
        solo.give(ev.PeerMessageArrived, PEER, message)
    for send in solo.list_open():
        solo.answer(send)
    solo.tick(500_000)
    assert [reply.code for reply in list_replies(solo)] == ([code] if code else [])
    assert not solo.state.reply_to
    emitted = [e for e in solo.effects if isinstance(e, fx.EmitSend)]
    assert len(emitted) == (code is ResultCode.COMPLETE)


@pytest.mark.parametrize("repeatable", [True, False])
def test_caller_that_leaves(repeatable):
    """Guards against work for nobody, and a non-idempotent request whose end is lost."""
    solo = Solo(leafs=1)
    ticket = "" if repeatable else solo.get_ticket()
    number = solo.ask(repeatable=repeatable, ticket=ticket)
    effects = solo.give(ev.CallerGone, number)
    assert any(isinstance(e, fx.CancelSend) for e in effects) is repeatable
    if repeatable:
        assert not solo.state.queries
        return
    solo.answer(solo.list_open()[0])
    again = solo.ask(repeatable=False, ticket=ticket)
    assert solo.list_answers(again)[0].code is ResultCode.COMPLETE


@pytest.mark.parametrize("state", ["running", "queued", "forwarded"])
def test_stop_waits_for(state):
    """Guards against a graceful stop that interrupts a query, and a stop that never ends."""
    solo = Solo(leafs=1, concurrency=1, cold_limit=20)
    meet_peer(solo)
    solo.give(ev.StopRequested)
    solo.tick(2_500_000)
    if state == "forwarded":
        solo.ask(repeatable=False, ticket=f"{PEER}~{7:x}~1~9~00", deadline_us=1_500_000)
    else:
        solo.ask(deadline_us=1_500_000, fingerprint=1)
    if state == "queued":
        solo.ask(deadline_us=1_900_000, fingerprint=2)
    solo.tick(600_000)
    solo.give(ev.StopRequested)
    refused = solo.ask(fingerprint=3)
    assert solo.list_answers(refused)[0].code is ResultCode.STOPPING
    solo.tick(300_000)
    assert not solo.state.stopped
    solo.tick(2_000_000)
    assert sum(isinstance(e, fx.StopServing) for e in solo.effects) == 1
    assert all(answer.missing or answer.code for answer in solo.list_answers())
    assert not solo.state.queries


def test_leaf_without_eligible_slot_is_missing_with_its_reason():
    """Guards against a covered claim or a wrong reason for a leaf that is out of service."""
    solo = Solo(leafs=2, slots=1, cold_limit=20)
    out = (solo.team.services[0].leafs[0].slots[0].domain,)
    solo.publish(replace(solo.team, version=2, domains_out=out))
    number = solo.ask()
    (send,) = solo.list_open()
    solo.answer(send)
    (answer,) = solo.list_answers(number)
    assert answer.code is ResultCode.PARTIAL
    assert [(m.leaf, m.reason) for m in answer.missing] == [
        ("leaf0", MissingReason.NO_ELIGIBLE_SLOT)
    ]


@pytest.mark.parametrize("silent", [True, False])
def test_silent_connection(silent):
    """Guards against sends that stay open on a connection that went silent."""
    solo = Solo(leafs=1, slots=1, cold_limit=20)
    solo.ask(deadline_us=1_900_000)
    (send,) = solo.list_open()
    solo.tick(800_000)
    probes = [e for e in solo.effects if isinstance(e, fx.OpenProbe)]
    assert len(probes) == 1
    event = (ev.ProbeAnswered, "boot") if silent else (ev.ProbeFailed,)
    solo.give(event[0], send.server, *event[1:])
    solo.tick(200_000)
    closed = [e for e in solo.effects if isinstance(e, fx.CancelSend) and e.close]
    assert [e.send_id for e in closed if e.send_id == send.send_id] == [send.send_id]


def test_suspect_runs_alone():
    """Guards against a suspect beside other work, and other work beside a suspect."""
    solo = Solo(leafs=1, slots=2, cold_limit=50, connections=240)
    solo.state.suspects.record_crash("127.0.9.9:80", (7,), solo.now_us)
    for fingerprint in range(100, 110):
        solo.ask(fingerprint=fingerprint)
    busy = solo.list_open()
    assert {send.server for send in busy} == set(solo.state.servers)
    suspect = solo.ask(fingerprint=7, deadline_us=1_500_000)
    assert solo.list_open() == busy
    for send in busy:
        solo.answer(send)
    (alone,) = solo.list_open()
    assert solo.state.sends[alone.send_id].query_id == suspect
    for fingerprint in range(100, 120):
        solo.ask(fingerprint=fingerprint)
    beside = [send for send in solo.list_open() if send.server == alone.server]
    assert beside == [alone]
