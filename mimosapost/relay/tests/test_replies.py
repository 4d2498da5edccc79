"""Checks replies to callers.

Wrong replies come from parts of another request, from a refusal that claims that a request did
not run although a server may have run it, and from a write that is sent twice.
"""

import pytest

from mimosapost.model.codes import FailureKind, ResultCode, RunState
from mimosapost.relay.events import CallerLeft
from mimosapost.relay.messages import ForwardedReply, GatheredReply, Refusal
from mimosapost.relay.tests.relay_harness import create_gathered_relay, create_single_relay

RESET = (FailureKind.RESET, RunState.UNKNOWN)
REFUSED = (FailureKind.REFUSED, RunState.NOT_RUN)


def test_gathered_reply_merges_one_part_of_each_shard():
    relay = create_gathered_relay()
    request_number = relay.request()
    sends = relay.pop_sends()
    assert sorted(send.server.service for send in sends) == ["s0", "s1", "s2", "s3"]
    for value, send in enumerate(sends):
        relay.answer(send, body=bytes([65 + value]) * 16)
    reply = relay.get_reply(request_number)
    assert reply.code is ResultCode.COMPLETE
    assert reply.missing == 0
    assert len(set(reply.signatures)) == 4
    assert reply.body == b"D" * 16 + b"C" * 16 + b"B" * 16


@pytest.mark.parametrize(
    ("answered", "expected"),
    [
        pytest.param(4, (GatheredReply, ResultCode.COMPLETE, 0), id="all parts"),
        pytest.param(3, (GatheredReply, ResultCode.PARTIAL, 1), id="enough parts"),
        pytest.param(2, (type(None), None, 0), id="too few parts"),
    ],
)
def test_at_the_goal_enough_parts_are_a_success(answered, expected):
    relay = create_gathered_relay()
    request_number = relay.request()
    for send in relay.pop_sends()[:answered]:
        relay.answer(send)
    relay.advance(99)
    reply = relay.get_reply(request_number)
    kind, code, missing = expected
    assert type(reply) is kind
    assert getattr(reply, "code", None) is code
    assert getattr(reply, "missing", 0) == missing


def test_after_the_goal_the_reply_leaves_with_the_first_sufficient_part():
    relay = create_gathered_relay()
    request_number = relay.request()
    sends = relay.pop_sends()
    relay.answer(sends[0])
    relay.answer(sends[1])
    relay.advance(150)
    assert relay.get_reply(request_number) is None
    relay.answer(sends[2])
    assert relay.get_reply(request_number).missing == 1


def test_stragglers_of_a_route_that_may_run_once_are_not_hedged():
    relay = create_gathered_relay(repeatable=False)
    relay.request()
    for send in relay.pop_sends()[:3]:
        relay.answer(send)
    relay.advance(400)
    assert not relay.pop_sends()


def test_large_parts_are_cut_to_the_records_that_can_be_used():
    """Parts are kept until the reply, so their size must not depend on the server."""
    relay = create_gathered_relay(max_records=3)
    request_number = relay.request()
    records = [bytes([value]) * 16 for value in range(1, 101)]
    first, *rest = relay.pop_sends()
    relay.answer(first, body=b"".join(records) + b"remainder")
    (part,) = [p for p in relay.state.requests[request_number].parts if p.answer is not None]
    assert len(part.answer.body) == 3 * 16
    for send in rest:
        relay.answer(send, body=b"")
    assert relay.get_reply(request_number).body == b"".join(records[:-4:-1])


def test_a_late_part_reaches_no_other_request():
    relay = create_gathered_relay()
    first = relay.request()
    sends = relay.pop_sends()
    for send in sends[:3]:
        relay.answer(send)
    relay.advance(99)
    assert relay.get_reply(first).missing == 1
    second = relay.request()
    relay.answer(sends[3])
    assert relay.get_reply(second) is None


@pytest.mark.parametrize(
    ("repeatable", "ends", "code", "sends"),
    [
        (True, [RESET, RESET], ResultCode.OUTCOME_UNKNOWN, 2),
        (True, [REFUSED, RESET, RESET], ResultCode.OUTCOME_UNKNOWN, 3),
        (False, [RESET], ResultCode.OUTCOME_UNKNOWN, 1),
        (False, [REFUSED, RESET], ResultCode.OUTCOME_UNKNOWN, 2),
        (False, [REFUSED, REFUSED, REFUSED], ResultCode.OVERLOADED, 3),
        (True, [REFUSED, REFUSED, REFUSED], ResultCode.OVERLOADED, 3),
    ],
    ids=[
        "repeatable: two resets",
        "repeatable: refused, then two resets",
        "write: reset",
        "write: refused, then reset",
        "write: refused three times",
        "repeatable: refused three times",
    ],
)
def test_a_refusal_says_not_run_only_if_no_send_may_have_run(repeatable, ends, code, sends):
    relay = create_single_relay(("a1", "b1", "c1"), repeatable=repeatable)
    request_number = relay.request("/look/x")
    seen = 0
    for kind, run in ends:
        for send in relay.pop_sends():
            seen += 1
            relay.fail(send, kind, run)
    reply = relay.get_reply(request_number)
    assert isinstance(reply, Refusal)
    assert reply.code is code
    assert seen == sends
    assert bool(reply.retry_after_us) == (code is ResultCode.OVERLOADED)


def test_a_write_that_hangs_is_sent_once_and_ends_unknown():
    relay = create_single_relay(repeatable=False)
    request_number = relay.request("/look/x")
    assert len(relay.pop_sends()) == 1
    relay.advance(700)
    assert relay.pop_sends() == []
    assert relay.get_reply(request_number).code is ResultCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize("status", [200, 201, 404, 409])
def test_an_answer_to_one_server_is_passed_unchanged(status):
    relay = create_single_relay()
    request_number = relay.request("/look/x")
    relay.answer(relay.pop_sends()[0], status=status, body=b"b")
    reply = relay.get_reply(request_number)
    assert isinstance(reply, ForwardedReply)
    assert (reply.answer.status, reply.answer.body) == (status, b"b")


def test_the_failure_of_the_last_server_is_passed_on():
    relay = create_single_relay()
    request_number = relay.request("/look/x")
    for _ in range(2):
        relay.answer(relay.pop_sends()[0], status=500)
    assert relay.get_reply(request_number).answer.status == 500


def test_an_answer_without_signature_is_no_success():
    relay = create_single_relay(repeatable=False)
    request_number = relay.request("/look/x")
    relay.answer(relay.pop_sends()[0], signature="")
    assert relay.get_reply(request_number).code is ResultCode.OUTCOME_UNKNOWN


# An answer whose status tells callers "not run" although its server does not state it.
UNPROVEN = {"status": 503, "unproven_refusal": True}


@pytest.mark.parametrize(
    ("repeatable", "answers", "expected"),
    [
        pytest.param(False, [UNPROVEN], ResultCode.OUTCOME_UNKNOWN, id="write"),
        pytest.param(
            False, [UNPROVEN | {"status": 429}], ResultCode.OUTCOME_UNKNOWN, id="write: 429"
        ),
        pytest.param(
            False, [UNPROVEN | {"status": 408}], ResultCode.OUTCOME_UNKNOWN, id="write: 408"
        ),
        pytest.param(
            False,
            [UNPROVEN | {"signature": ""}],
            ResultCode.OUTCOME_UNKNOWN,
            id="write: without a signature",
        ),
        pytest.param(
            False,
            [{"status": 503, "not_run": True}, UNPROVEN],
            ResultCode.OUTCOME_UNKNOWN,
            id="write: rejected, then may have run",
        ),
        pytest.param(
            False, [{"status": 503, "not_run": True}] * 4, ResultCode.OVERLOADED, id="rejected"
        ),
        pytest.param(
            False,
            [{"status": 421, "not_run": True, "misdirected": True}] * 4,
            ResultCode.OVERLOADED,
            id="write: misdirected",
        ),
        pytest.param(False, [{"status": 500}], 500, id="write: 500"),
        pytest.param(True, [UNPROVEN] * 2, 503, id="repeatable: 503 of both servers"),
        pytest.param(True, [UNPROVEN | {"status": 429}], 429, id="repeatable: 429"),
    ],
)
def test_no_answer_says_not_run_of_a_write_that_may_have_run(repeatable, answers, expected):
    """A server's own 503 after a run told callers to repeat writes, which then ran twice.

    A repeatable request may be repeated after any failure, so that its caller gets the server's
    own answer. A proven rejection must still be reported as such, with a time to return.
    """
    relay = create_single_relay(("a1", "b1", "c1"), repeatable=repeatable, timeout_us=2_000_000)
    request_number = relay.request("/look/x")
    for answer in answers:
        relay.advance(20)
        for send in relay.pop_sends():
            relay.answer(send, **answer)
    reply = relay.get_reply(request_number)
    if isinstance(expected, ResultCode):
        assert isinstance(reply, Refusal)
        assert reply.code is expected
        assert bool(reply.retry_after_us) == (expected is ResultCode.OVERLOADED)
    else:
        assert reply.answer.status == expected


def test_a_withheld_answer_is_logged_with_its_status():
    relay = create_single_relay(repeatable=False)
    relay.request("/look/x")
    relay.answer(relay.pop_sends()[0], **UNPROVEN)
    (line,) = [e for e in relay.effects if getattr(e, "event", "") == "answer_withheld"]
    assert ("status", 503) in line.fields


def test_a_rejected_write_is_sent_to_another_server():
    relay = create_single_relay(repeatable=False)
    request_number = relay.request("/look/x")
    first = relay.pop_sends()[0]
    relay.answer(first, status=503, signature="", not_run=True)
    second = relay.pop_sends()[0]
    assert second.server != first.server
    relay.answer(second)
    assert isinstance(relay.get_reply(request_number), ForwardedReply)


def test_work_stops_within_half_a_second_when_the_caller_leaves():
    relay = create_gathered_relay()
    request_number = relay.request()
    sends = relay.pop_sends()
    relay.apply_event(CallerLeft(relay.now_us, request_number))
    assert sorted(relay.list_abandoned()) == sorted(send.send_id for send in sends)
    ends = [e.until_us for e in relay.effects if hasattr(e, "until_us")]
    assert all(end <= relay.now_us + 500_000 for end in ends)
    assert relay.get_reply(request_number) is None


@pytest.mark.parametrize(
    ("path", "code"),
    [("/nowhere/x", ResultCode.UNKNOWN_SERVICE), ("/search", ResultCode.UNKNOWN_SERVICE)],
)
def test_a_request_without_a_route_is_refused_at_once(path, code):
    relay = create_gathered_relay()
    assert relay.get_reply(relay.request(path)).code is code


def test_nothing_is_refused_as_unknown_before_there_is_a_catalog():
    relay = create_gathered_relay()
    relay.state.catalog = None
    reply = relay.get_reply(relay.request("/nowhere/x"))
    assert reply.code is ResultCode.NOT_CONFIGURED
    assert reply.retry_after_us > 0
