"""Table tests of the reducer's handlers: arrival, ends of sends, forwarding and the stop."""

from dataclasses import replace

import msgspec
import pytest

from mimosapost.core.registry import list_handled
from mimosapost.core.tests.harness import ReducerHarness
from mimosapost.core.tests.simulated_fleet import SERVICE
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, MissingReason, Priority, ResultCode, RunState
from mimosapost.model.peer_messages import Forward, ForwardAnswer, Hello, SuspectNote
from mimosapost.model.queries import Answer, Query, SubAnswer

PEER = "i1"


def connect_peer(harness):
    """Introduce a peer to the instance, as its first message does."""
    identity = replace(harness.state.identity, name=PEER, incarnation=7)
    harness.apply_event(ev.PeerMessageArrived, PEER, Hello(1, identity))


def list_forward_answers(harness):
    """Return the answers sent to peers."""
    messages = [e.message for e in harness.effects if isinstance(e, fx.SendPeer)]
    answers = [m.answer for m in messages if isinstance(m, ForwardAnswer)]
    return [msgspec.json.decode(answer, type=Answer) for answer in answers]


def test_every_event_has_a_handler():
    """An event type without a handler would raise in the reducer."""
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
        (lambda harness: harness.state.services.clear(), {}, "UNKNOWN_SERVICE"),
        (lambda harness: harness.state.callers.clear(), {}, "UNKNOWN_CALLER"),
        (lambda harness: setattr(harness.state, "joined", False), {}, "NOT_CONFIGURED"),
        (lambda harness: setattr(harness.state, "stop_requested_us", 1), {}, "STOPPING"),
        (
            lambda harness: harness.state.suspects.merge(
                (SuspectNote(7, 2, 10**7),), harness.now_us
            ),
            {},
            "REQUEST_REFUSED",
        ),
    ],
    ids=[
        "invalid-ticket",
        "missing-ticket",
        "short-deadline",
        "past-deadline",
        "unknown-service",
        "unknown-caller",
        "not-configured",
        "stopping",
        "refused-suspect",
    ],
)
def test_refusal_at_arrival(prepare, fields, code):
    """A query that fails a check at arrival is answered "not run" and never sent."""
    harness = ReducerHarness(leafs=1)
    prepare(harness)
    number = harness.submit_query(**fields)
    (answer,) = harness.list_answers(number)
    assert (answer.code.name, answer.run) == (code, RunState.NOT_RUN)
    assert not harness.list_open_sends()
    assert not harness.state.queries


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
    """A non-idempotent send is repeated only if it is known not to have run.

    The answer states what is known about the execution.
    """
    harness = ReducerHarness(leafs=1, slots=2, cold_limit=20)
    ticket = "" if repeatable else harness.issue_ticket()
    number = harness.submit_query(repeatable=repeatable, ticket=ticket)
    for _ in range(6):
        for send in harness.list_open_sends():
            harness.fail_send(send, kind, run)
            assert not harness.fail_send(send, kind, run) or kind is FailureKind.RESET
    emitted = [e for e in harness.effects if isinstance(e, fx.EmitSend)]
    harness.advance_time(500_000)
    assert len(emitted) == sends
    (answer,) = harness.list_answers(number)
    assert answer.run is final_run
    assert not harness.state.sends


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
    ids=[
        "valid",
        "other-leaf",
        "other-index-version",
        "other-map-version",
        "other-request-id",
        "malformed-items",
    ],
)
@pytest.mark.parametrize("repeatable", [True, False], ids=["repeatable", "non-idempotent"])
def test_answered_send(changes, covered, repeatable):
    """A crossed or malformed sub-answer is left out of the result.

    A non-idempotent request is not sent again to replace it.
    """
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=20)
    ticket = "" if repeatable else harness.issue_ticket()
    number = harness.submit_query(repeatable=repeatable, ticket=ticket)
    (send,) = harness.list_open_sends()
    harness.answer_send(send, **changes)
    harness.answer_send(send)
    if not repeatable:
        assert not harness.list_open_sends()
    harness.advance_time(500_000)
    (answer,) = harness.list_answers(number)
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
    ids=[
        "send-answered",
        "send-rejected",
        "send-failed",
        "caller-gone",
        "peer-lost",
        "probe-answered",
        "probe-failed",
        "load-reported",
        "forward-answer",
        "forward-to-other-incarnation",
        "malformed-forward",
    ],
)
def test_event_for_an_unknown_id(event_type, fields):
    """An unknown id causes no error and no answer, and leaves nothing in the state."""
    harness = ReducerHarness(leafs=1)
    harness.submit_query()
    harness.apply_event(event_type, *fields)
    harness.advance_time(50_000)
    assert len(harness.list_open_sends()) == 1
    assert not harness.list_answers()
    assert "127.7.7.7:80" not in harness.state.servers
    assert not harness.state.reply_to


@pytest.mark.parametrize(
    ("end", "code", "run"),
    [
        (
            lambda harness: harness.apply_event(ev.PeerLost, PEER),
            "ISSUER_UNREACHABLE",
            "unknown",
        ),
        (lambda harness: harness.advance_time(500_000), "ISSUER_UNREACHABLE", "unknown"),
        (
            lambda harness: deliver_forward_answer(
                harness, PEER, Answer(ResultCode.COMPLETE, RunState.RAN, [1])
            ),
            "COMPLETE",
            "ran",
        ),
        (
            lambda harness: deliver_forward_answer(
                harness, PEER, Answer(ResultCode.OVERLOADED, RunState.NOT_RUN)
            ),
            "OVERLOADED",
            "not_run",
        ),
        (
            lambda harness: deliver_forward_answer(
                harness, "i2", Answer(ResultCode.OVERLOADED, RunState.NOT_RUN)
            ),
            "COMPLETE",
            "ran",
        ),
    ],
    ids=["peer-lost", "deadline", "complete", "not-run", "answer-of-other-peer"],
)
def test_forwarded_query_ends_once(end, code, run):
    """A forwarded query gets exactly one answer, with a correct run state."""
    harness = ReducerHarness(leafs=1)
    connect_peer(harness)
    number = harness.submit_query(repeatable=False, ticket=f"{PEER}~{7:x}~1~9~00")
    sent = [e.message for e in harness.effects if isinstance(e, fx.SendPeer)]
    assert sum(isinstance(message, Forward) for message in sent) == 1
    end(harness)
    deliver_forward_answer(harness, PEER, Answer(ResultCode.COMPLETE, RunState.RAN, [2]))
    harness.advance_time(500_000)
    (answer,) = harness.list_answers(number)
    assert (answer.code.name, answer.run.value) == (code, run)
    assert not harness.state.forwards
    assert not harness.list_open_sends()


def deliver_forward_answer(harness, peer, answer):
    """Deliver a peer's answer to the newest forwarded query."""
    number = max(harness.state.forwards, default=1)
    harness.apply_event(
        ev.PeerMessageArrived, peer, ForwardAnswer(number, msgspec.json.encode(answer))
    )


@pytest.mark.parametrize(
    ("fields", "incarnation", "code"),
    [
        ({}, 100, ResultCode.COMPLETE),
        ({}, 99, None),
        ({"caller": "other"}, 100, ResultCode.UNKNOWN_CALLER),
        ({"ticket": f"i2~{3:x}~1~9~00"}, 100, ResultCode.ISSUER_UNREACHABLE),
    ],
    ids=["runs", "earlier-incarnation-never-runs", "unknown-caller", "other-issuer"],
)
def test_query_forwarded_to_this_instance(fields, incarnation, code):
    """A forwarded query runs once, only on the incarnation it was sent to.

    It is never forwarded a second time.
    """
    harness = ReducerHarness(leafs=1)
    connect_peer(harness)
    query = Query(3, SERVICE, "school", {}, 7, Priority.NORMAL, 0, False)
    query = replace(query, **({"ticket": harness.issue_ticket()} | fields))
    message = Forward(3, incarnation, msgspec.json.encode(query), 400_000)
    for _ in range(2):
        harness.apply_event(ev.PeerMessageArrived, PEER, message)
    for send in harness.list_open_sends():
        harness.answer_send(send)
    harness.advance_time(500_000)
    assert [reply.code for reply in list_forward_answers(harness)] == ([code] if code else [])
    assert not harness.state.reply_to
    emitted = [e for e in harness.effects if isinstance(e, fx.EmitSend)]
    assert len(emitted) == (code is ResultCode.COMPLETE)


@pytest.mark.parametrize("repeatable", [True, False], ids=["repeatable", "non-idempotent"])
def test_caller_disconnects(repeatable):
    """When the caller disconnects, repeatable work is cancelled.

    Non-idempotent work runs to its end, so that the caller can fetch the stored answer.
    """
    harness = ReducerHarness(leafs=1)
    ticket = "" if repeatable else harness.issue_ticket()
    number = harness.submit_query(repeatable=repeatable, ticket=ticket)
    effects = harness.apply_event(ev.CallerGone, number)
    assert any(isinstance(e, fx.CancelSend) for e in effects) is repeatable
    if repeatable:
        assert not harness.state.queries
        return
    harness.answer_send(harness.list_open_sends()[0])
    again = harness.submit_query(repeatable=False, ticket=ticket)
    assert harness.list_answers(again)[0].code is ResultCode.COMPLETE


@pytest.mark.parametrize("state", ["running", "queued", "forwarded"])
def test_graceful_stop_waits_for_open_query(state):
    """A graceful stop waits for open queries, and ends once none is left."""
    harness = ReducerHarness(leafs=1, concurrency=1, cold_limit=20)
    connect_peer(harness)
    harness.apply_event(ev.StopRequested)
    harness.advance_time(2_500_000)
    if state == "forwarded":
        harness.submit_query(
            repeatable=False, ticket=f"{PEER}~{7:x}~1~9~00", deadline_us=1_500_000
        )
    else:
        harness.submit_query(deadline_us=1_500_000, fingerprint=1)
    if state == "queued":
        harness.submit_query(deadline_us=1_900_000, fingerprint=2)
    harness.advance_time(600_000)
    harness.apply_event(ev.StopRequested)
    refused = harness.submit_query(fingerprint=3)
    assert harness.list_answers(refused)[0].code is ResultCode.STOPPING
    harness.advance_time(300_000)
    assert not harness.state.stopped
    harness.advance_time(2_000_000)
    assert sum(isinstance(e, fx.StopServing) for e in harness.effects) == 1
    assert all(answer.missing or answer.code for answer in harness.list_answers())
    assert not harness.state.queries


def test_leaf_without_eligible_slot_is_missing_with_its_reason():
    """A leaf whose only slot is out of service is reported as missing, with that reason."""
    harness = ReducerHarness(leafs=2, slots=1, cold_limit=20)
    out = (harness.team.services[0].leafs[0].slots[0].domain,)
    harness.publish(replace(harness.team, version=2, domains_out=out))
    number = harness.submit_query()
    (send,) = harness.list_open_sends()
    harness.answer_send(send)
    (answer,) = harness.list_answers(number)
    assert answer.code is ResultCode.PARTIAL
    assert [(m.leaf, m.reason) for m in answer.missing] == [
        ("leaf0", MissingReason.NO_ELIGIBLE_SLOT)
    ]


@pytest.mark.parametrize("silent", [True, False], ids=["probe-answered", "probe-failed"])
def test_silent_connection(silent):
    """Sends on a silent connection are closed when the probe ends, whatever its outcome."""
    harness = ReducerHarness(leafs=1, slots=1, cold_limit=20)
    harness.submit_query(deadline_us=1_900_000)
    (send,) = harness.list_open_sends()
    harness.advance_time(800_000)
    probes = [e for e in harness.effects if isinstance(e, fx.OpenProbe)]
    assert len(probes) == 1
    event = (ev.ProbeAnswered, "boot") if silent else (ev.ProbeFailed,)
    harness.apply_event(event[0], send.server, *event[1:])
    harness.advance_time(200_000)
    closed = [e for e in harness.effects if isinstance(e, fx.CancelSend) and e.close]
    assert [e.send_id for e in closed if e.send_id == send.send_id] == [send.send_id]


def test_suspect_runs_alone():
    """A suspect waits for an idle server, and nothing else is sent there while it runs."""
    harness = ReducerHarness(leafs=1, slots=2, cold_limit=50, connections=240)
    harness.state.suspects.record_crash("127.0.9.9:80", (7,), harness.now_us)
    for fingerprint in range(100, 110):
        harness.submit_query(fingerprint=fingerprint)
    busy = harness.list_open_sends()
    assert {send.server for send in busy} == set(harness.state.servers)
    suspect = harness.submit_query(fingerprint=7, deadline_us=1_500_000)
    assert harness.list_open_sends() == busy
    for send in busy:
        harness.answer_send(send)
    (alone,) = harness.list_open_sends()
    assert harness.state.sends[alone.send_id].query_id == suspect
    for fingerprint in range(100, 120):
        harness.submit_query(fingerprint=fingerprint)
    beside = [send for send in harness.list_open_sends() if send.server == alone.server]
    assert beside == [alone]
