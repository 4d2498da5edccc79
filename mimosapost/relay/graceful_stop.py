"""Graceful stop: readiness fails first, open requests complete, then the process ends.

Callers keep sending on their open connections until the process is gone. A request that could
not be answered before the end is refused unsent, and a request that is still open near the end
is answered then, so that no connection closes under a request.
"""

from __future__ import annotations

from mimosapost.model.effects import StopServing, WriteLog
from mimosapost.model.events import StopRequested
from mimosapost.relay.gossip import announce_leaving
from mimosapost.relay.registry import Effects, TimerKind, handles, handles_timer
from mimosapost.relay.state import InstanceSettings, RelayState

__all__ = ["STOP_RETRY_US", "can_finish", "get_last_reply_us"]

_STOP_CHECK_INTERVAL_US = 50_000
# Time between the last replies and the end of the process, in which they reach their callers.
_REPLY_FLUSH_US = 100_000
#: A refused caller connects again, and the load balancer sends it to another instance.
STOP_RETRY_US = 50_000


def get_last_reply_us(instance_settings: InstanceSettings, stop_requested_us: int) -> int:
    """Return the monotonic time by which all requests must have a reply.

    :param stop_requested_us: time of the stop request in microseconds.
    """
    return stop_requested_us + instance_settings.stop_us - _REPLY_FLUSH_US


def can_finish(last_reply_us: int, goal_us: int, now_us: int) -> bool:
    """Return whether a request that arrives during a stop can be answered before its end.

    Load pattern: callers send until the last moment. A server usually answers within the
    latency goal; a request that has less time might be cut although it runs.

    :param last_reply_us: time by which all requests must have a reply.
    :param goal_us: latency objective of the route in microseconds.
    """
    return now_us + goal_us <= last_reply_us


@handles(StopRequested)
def begin_stop(state: RelayState, event: StopRequested, effects: Effects) -> None:
    """Start the graceful stop; further stop requests have no effect."""
    if state.stop_requested_us:
        return
    state.stop_requested_us = event.now_us
    effects.append(WriteLog("stop_begun", (("open_requests", len(state.requests)),)))
    announce_leaving(state, event.now_us, effects)
    state.timers.add(event.now_us + state.instance_settings.drain_us, TimerKind.STOP)
    last_reply_us = get_last_reply_us(state.instance_settings, event.now_us)
    for request_number, open_request in state.requests.items():
        if open_request.deadline_us > last_reply_us:
            open_request.deadline_us = last_reply_us
            state.timers.add(last_reply_us, TimerKind.DEADLINE, request_number)


@handles_timer(TimerKind.STOP)
def end_stop(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Stop serving once no request is open, or when the time for the stop is over."""
    is_busy = bool(state.requests or state.limits.held)
    if is_busy and now_us < state.stop_requested_us + state.instance_settings.stop_us:
        state.timers.add(now_us + _STOP_CHECK_INTERVAL_US, TimerKind.STOP)
        return
    effects.append(WriteLog("stop_ended", (("open_requests", len(state.requests)),)))
    effects.append(StopServing())
