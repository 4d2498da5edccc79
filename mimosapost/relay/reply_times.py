"""Time at which a gathered reply must leave so that its caller has it at the latency goal.

Load pattern: callers are 1 to 6 ms away, on new and on kept connections, and some instances
have a slow processor or link. A reply that leaves a fixed time before the goal is late for some
callers and leaves parts out needlessly for others.

The way of the caller comes with each request. The delays of the instance itself are learned
from its replies: how late its timers fire, how long it writes, and how much longer than a round
trip a reply takes until the caller has acknowledged it.
"""

from __future__ import annotations

from mimosapost.model.effects import ObserveDuration
from mimosapost.relay.events import ReplyDelivered
from mimosapost.relay.messages import CallerPath, RelayRequest
from mimosapost.relay.registry import Effects, handles
from mimosapost.relay.state import RelayState

__all__ = ["plan_reply", "record_timer_delay"]

# Bounds on the time between the departure and the latency goal after the arrival, as the least
# time in microseconds and as the largest share of the goal.
_MIN_RESERVE_US = 2_000
_MAX_RESERVE_SHARE = 0.5


def plan_reply(state: RelayState, request: RelayRequest, goal_us: int, now_us: int) -> int:
    """Return the time at which the reply to a gathered request must leave.

    :param goal_us: latency objective of the route in microseconds, from the moment at which
        the caller begins.
    :param now_us: monotonic time of the admission in microseconds.
    :returns: monotonic time in microseconds.
    """
    path = request.caller_path or CallerPath(now_us, is_new=True)
    settings, delays = state.instance_settings, state.reply_delays
    round_trip_us = path.round_trip_us or settings.caller_round_trip_us
    # A new connection is set up in one round trip before the request is on its way.
    ways = 4 if path.is_new else 2
    reserve_us = (
        now_us
        - min(path.received_us, now_us)
        + ways * round_trip_us // 2
        + path.variation_us
        + delays.get_way_delays(round_trip_us).estimate_us(settings.reply_delay_us, now_us)
        + delays.timer_delays.estimate_us(settings.reply_delay_us, now_us)
        + delays.write_delays.estimate_us(0, now_us)
    )
    reserve_us = min(max(_MIN_RESERVE_US, reserve_us), int(goal_us * _MAX_RESERVE_SHARE))
    return now_us + goal_us - reserve_us


def record_timer_delay(state: RelayState, due_us: int, now_us: int) -> None:
    """Record how late the timer of a reply fired, because the instance was busy."""
    state.reply_delays.timer_delays.record(now_us - due_us, now_us)


@handles(ReplyDelivered)
def record_delivery(state: RelayState, event: ReplyDelivered, effects: Effects) -> None:
    """Record how long a reply took to its caller."""
    delays = state.reply_delays
    delays.write_delays.record(event.written_us - event.decided_us, event.now_us)
    if not event.round_trip_us:
        return
    way_us = event.acknowledged_us - event.written_us - event.round_trip_us
    delays.get_way_delays(event.round_trip_us).record(way_us, event.now_us)
    effects.append(
        ObserveDuration(
            "mimosapost_relay_reply_way_seconds",
            "new" if event.is_new else "kept",
            event.acknowledged_us - event.decided_us,
        )
    )
