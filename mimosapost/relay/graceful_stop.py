"""Graceful stop: readiness fails first, open requests complete, then the process ends."""

from __future__ import annotations

from mimosapost.model.effects import StopServing, WriteLog
from mimosapost.model.events import StopRequested
from mimosapost.relay.registry import Effects, TimerKind, handles, handles_timer
from mimosapost.relay.state import RelayState

__all__: list[str] = []

_STOP_CHECK_INTERVAL_US = 50_000


@handles(StopRequested)
def begin_stop(state: RelayState, event: StopRequested, effects: Effects) -> None:
    """Start the graceful stop; further stop requests have no effect."""
    if state.stop_requested_us:
        return
    state.stop_requested_us = event.now_us
    effects.append(WriteLog("stop_begun", (("open_requests", len(state.requests)),)))
    state.timers.add(event.now_us + state.instance_settings.drain_us, TimerKind.STOP)


@handles_timer(TimerKind.STOP)
def end_stop(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Stop serving once no request is open, or when the time for the stop is over."""
    if state.requests and now_us < state.stop_requested_us + state.instance_settings.stop_us:
        state.timers.add(now_us + _STOP_CHECK_INTERVAL_US, TimerKind.STOP)
        return
    effects.append(WriteLog("stop_ended", (("open_requests", len(state.requests)),)))
    effects.append(StopServing())
