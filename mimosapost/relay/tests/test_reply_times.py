"""Replays callers at several distances, and instances whose replies are delayed.

A reply is in time if it leaves so early that it reaches its caller at the latency goal, counted
from the moment at which the caller began.
"""

from __future__ import annotations

import pytest

from mimosapost.relay.events import ReplyDelivered
from mimosapost.relay.messages import CallerPath
from mimosapost.relay.tests.relay_harness import MS, Relay, create_route, create_servers

GOAL_MS = 100


def create_relay(**settings) -> Relay:
    """Return a relay whose gathered route has a goal of 100 ms."""
    route = create_route(goal_us=GOAL_MS * MS)
    servers = [server for shard in route.shards for server in create_servers(shard)]
    return Relay([route], servers, **settings)


def deliver(relay: Relay, way_us: int, write_us: int = 200, round_trip_us=6_000):
    """Apply the delivery of a reply that took ``way_us`` to its acknowledgement."""
    written_us = relay.now_us + write_us
    acknowledged_us = written_us + way_us
    relay.apply_event(
        ReplyDelivered(
            acknowledged_us, relay.now_us, written_us, acknowledged_us, round_trip_us, True
        )
    )


def measure_departure_ms(relay: Relay, **path) -> float:
    """Return the time from the arrival of a request to its partial reply."""
    relay.pop_sends()
    arrived_us = relay.now_us
    waited_us = path.pop("waited_us", 0)
    number = relay.request(caller_path=CallerPath(arrived_us - waited_us, **path))
    for send in relay.pop_sends()[:3]:
        relay.answer(send)
    while relay.get_reply(number) is None:
        relay.advance(0.1)
        assert relay.now_us - arrived_us < 2 * GOAL_MS * MS, "no reply"
    return (relay.now_us - arrived_us) / MS


@pytest.mark.parametrize(
    ("one_way_ms", "is_new", "link_ms"),
    [
        pytest.param(1, False, 0, id="near, kept"),
        pytest.param(1, True, 0, id="near, new"),
        pytest.param(6, False, 0, id="far, kept"),
        pytest.param(6, True, 0, id="far, new"),
        pytest.param(3, True, 4, id="slow link"),
    ],
)
def test_replies_reach_callers_in_time_and_not_needlessly_early(one_way_ms, is_new, link_ms):
    relay = create_relay()
    round_trip_us = 2 * one_way_ms * MS
    for _ in range(8):
        way_us = round_trip_us + link_ms * MS
        deliver(relay, way_us, round_trip_us=round_trip_us)
        relay.state.reply_delays.timer_delays.record(0, relay.now_us)
    departure_ms = measure_departure_ms(relay, round_trip_us=round_trip_us, is_new=is_new)
    ways = 4 if is_new else 2
    total_ms = departure_ms + ways * one_way_ms + link_ms
    assert GOAL_MS - 5 <= total_ms <= GOAL_MS


def test_the_time_in_which_a_request_waited_to_be_read_counts():
    early = measure_departure_ms(create_relay(), round_trip_us=2_000)
    waited = measure_departure_ms(create_relay(), round_trip_us=2_000, waited_us=10_000)
    assert early - waited == pytest.approx(10, abs=0.2)


def test_way_delays_of_far_callers_do_not_count_for_near_ones():
    relay = create_relay(reply_delay_us=1_000)
    before = measure_departure_ms(relay, round_trip_us=2_000)
    for _ in range(8):
        deliver(relay, 12_000 + 9_000, round_trip_us=12_000)
    assert measure_departure_ms(relay, round_trip_us=2_000) == pytest.approx(before, abs=0.5)


def test_late_timers_are_reserved_for_and_forgotten():
    relay = create_relay(reply_delay_us=0)
    before = measure_departure_ms(relay, round_trip_us=2_000)
    for _ in range(8):
        relay.state.reply_delays.timer_delays.record(8_000, relay.now_us)
    busy = measure_departure_ms(relay, round_trip_us=2_000)
    assert before - busy == pytest.approx(8, abs=0.5)
    relay.advance(31_000)
    assert measure_departure_ms(relay, round_trip_us=2_000) == pytest.approx(before, abs=0.5)


@pytest.mark.parametrize(
    ("delays", "path"),
    [
        pytest.param((), {}, id="no observation, no round trip"),
        pytest.param((600_000_000,) * 30, {"round_trip_us": 2_000}, id="replies never arrive"),
        pytest.param((-5_000,) * 30, {"round_trip_us": 2_000}, id="earlier than a round trip"),
        pytest.param((), {"round_trip_us": 900_000, "is_new": True}, id="other continent"),
        pytest.param((), {"waited_us": 10**9}, id="waited long"),
        pytest.param((), {"waited_us": -(10**9)}, id="received in the future"),
    ],
)
def test_the_departure_is_bounded_whatever_was_observed(delays, path):
    relay = create_relay()
    for delay_us in delays:
        deliver(relay, delay_us, round_trip_us=2_000)
    assert GOAL_MS / 2 <= measure_departure_ms(relay, **path) <= GOAL_MS - 2 + 0.2
