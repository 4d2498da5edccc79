"""Graceful stop: report not ready, serve until the load balancer has drained, then end."""

from __future__ import annotations

from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import State
from mimosapost.model.effects import StopServing, WriteLog
from mimosapost.model.events import StopRequested

__all__ = ["finish_stop", "handle_stop_requested"]


@handles(StopRequested)
def handle_stop_requested(state: State, event: StopRequested, effects: Effects) -> None:
    """Begin the graceful stop; a second request changes nothing."""
    if not state.stop_requested_us:
        state.stop_requested_us = event.now_us
        effects.append(WriteLog("stop_requested", (("open_queries", len(state.queries)),)))


def finish_stop(state: State, now_us: int, effects: Effects) -> None:
    """Stop serving when the drain time has passed and no query is in progress.

    After ``stop_us`` it stops serving even if queries are still in progress.
    """
    if state.stopped or not state.is_draining(now_us):
        return
    idle = not state.queries and not state.forwards
    if idle or now_us >= state.stop_requested_us + state.policy.stop_us:
        state.stopped = True
        fields = (("open_queries", len(state.queries)), ("open_sends", len(state.sends)))
        effects.append(WriteLog("instance_stopped", fields))
        effects.append(StopServing())
