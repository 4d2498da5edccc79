"""Tests of requests around a planned stop.

Load pattern: callers keep sending on their open connections until the process is gone, also in
the last moments of the time that the process has. A request that is passed on then and cut at
the end gets no answer, although it may have run.
"""

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import StopServing
from mimosapost.model.events import StopRequested
from mimosapost.relay.messages import ForwardedReply
from mimosapost.relay.tests.relay_harness import (
    MS,
    create_gathered_relay,
    create_single_relay,
)

# The end of the stop in these tests, and the time before it at which all requests have ended.
STOP_MS = 5_400
LAST_REPLY_MS = STOP_MS - 100


def begin_stop(relay) -> None:
    relay.apply_event(StopRequested(relay.now_us))


def has_stopped(relay) -> bool:
    return any(isinstance(effect, StopServing) for effect in relay.effects)


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize(
    ("after_ms", "sent"),
    [
        pytest.param(100, True, id="begin"),
        pytest.param(3_100, True, id="middle"),
        pytest.param(LAST_REPLY_MS - 310, True, id="goal fits"),
        pytest.param(LAST_REPLY_MS - 250, False, id="goal does not fit"),
        pytest.param(LAST_REPLY_MS + 50, False, id="after the last reply"),
    ],
)
def test_late_requests_are_sent_only_if_they_can_be_answered(repeatable, after_ms, sent):
    relay = create_single_relay(repeatable=repeatable, goal_us=300 * MS)
    # A request that stays open keeps the process from ending early.
    relay.request("/look/x", deadline_ms=60_000)
    relay.pop_sends()
    begin_stop(relay)
    relay.advance(after_ms)
    relay.pop_sends()
    request_number = relay.request("/look/x", deadline_ms=6_000)
    assert bool(relay.pop_sends()) is sent
    reply = relay.get_reply(request_number)
    if not sent:
        assert reply.code is ResultCode.STOPPING
        assert 0 < reply.retry_after_us <= 200 * MS


def test_gathered_requests_are_refused_late_too():
    relay = create_gathered_relay(timeout_us=60_000 * MS)
    relay.request(deadline_ms=60_000)
    begin_stop(relay)
    relay.advance(LAST_REPLY_MS - 50)
    relay.pop_sends()
    request_number = relay.request()
    assert not relay.pop_sends()
    assert relay.get_reply(request_number).code is ResultCode.STOPPING


@pytest.mark.parametrize("begin_ms", [-100, 100, 3_000, LAST_REPLY_MS - 310])
def test_open_requests_are_answered_before_the_end(begin_ms):
    """What may have run is answered with "unknown" and never cut or called "not run"."""
    relay = create_single_relay(
        repeatable=False, goal_us=300 * MS, timeout_us=60_000 * MS, max_sends=1
    )
    if begin_ms < 0:
        request_number = relay.request("/look/x", deadline_ms=60_000)
    begin_stop(relay)
    if begin_ms > 0:
        keep_open = relay.request("/look/x", deadline_ms=60_000)
        relay.advance(begin_ms)
        request_number = relay.request("/look/x", deadline_ms=60_000)
        assert relay.get_reply(keep_open) is None
    (*_, send) = relay.pop_sends()
    assert send.deadline_us <= 1_000_000 + STOP_MS * MS or begin_ms < 0
    relay.advance(LAST_REPLY_MS - max(0, begin_ms) - 10)
    assert relay.get_reply(request_number) is None
    relay.advance(20)
    assert relay.get_reply(request_number).code is ResultCode.DEADLINE_EXCEEDED
    relay.advance(100)
    assert has_stopped(relay)


def test_a_request_that_is_answered_in_time_is_forwarded():
    relay = create_single_relay(repeatable=False, timeout_us=60_000 * MS)
    request_number = relay.request("/look/x", deadline_ms=60_000)
    (send,) = relay.pop_sends()
    begin_stop(relay)
    relay.advance(5_000)
    relay.answer(send)
    assert isinstance(relay.get_reply(request_number), ForwardedReply)


def test_a_waiting_request_is_refused_as_not_run_at_the_end():
    relay = create_single_relay(
        domains=("a1",), timeout_us=60_000 * MS, repeatable=False, goal_us=300 * MS
    )
    numbers = [relay.request("/look/x", deadline_ms=60_000) for _ in range(100)]
    unsent = [n for n in numbers if not relay.state.requests[n].parts[0].sends]
    assert unsent
    begin_stop(relay)
    relay.advance(LAST_REPLY_MS + 10)
    for number in unsent:
        assert relay.get_reply(number).code is ResultCode.STOPPING


def test_a_stop_waits_for_requests_that_wait_for_an_account():
    relay = create_single_relay()
    relay.state.limits.held[99] = (None, relay.now_us)
    begin_stop(relay)
    relay.advance(LAST_REPLY_MS - 100)
    assert not any(isinstance(effect, StopServing) for effect in relay.effects)
    relay.state.limits.held.clear()
    relay.advance(200)
    assert any(isinstance(effect, StopServing) for effect in relay.effects)
