"""Requests that arrive before the first configuration.

Load pattern that it answers: all instances start again at once under traffic. The source of
the configuration answers within some tens of milliseconds, so a short wait serves callers whose
one repeat would otherwise meet another instance that has just started. Where the source is
known to fail, waiting cannot help.
"""

from __future__ import annotations

from mimosapost.model.codes import ResultCode
from mimosapost.relay.exchanges import Refusal, RelayRequest
from mimosapost.relay.finish import refuse
from mimosapost.relay.refusals import NOT_CONFIGURED_RETRY_US
from mimosapost.relay.registry import Effects, TimerKind, fires
from mimosapost.relay.state import RelayState

__all__ = ["hold_early", "refuse_early"]

# A healthy source sends the list within 100 ms of the first call, a slow one within 250 ms.
_HOLD_US = 200_000
# A caller that is refused needs most of its time for the next attempt.
_HOLD_SHARE = 0.25
# Requests that wait; those of a burst beyond them would all start at one moment.
_MOST_EARLY = 100


def hold_early(state: RelayState, request: RelayRequest, now_us: int, effects: Effects) -> None:
    """Let a request wait for the first configuration, or refuse it where that is in vain."""
    left_us = request.deadline_us - now_us
    in_vain = state.listed or state.source_lost_us or state.stop_requested_us
    if in_vain or left_us <= 0 or len(state.early) >= _MOST_EARLY:
        refuse_early(state, request, effects)
        return
    state.early[request.number] = request
    until_us = now_us + min(_HOLD_US, int(left_us * _HOLD_SHARE))
    state.timers.add(until_us, TimerKind.EARLY, request.number)


def refuse_early(state: RelayState, request: RelayRequest, effects: Effects) -> None:
    """Refuse a request for want of a configuration."""
    refusal = Refusal(ResultCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_US, "no catalog")
    refuse(state, request.number, request.request_id, refusal, effects)


@fires(TimerKind.EARLY)
def end_hold(state: RelayState, key: int, _now_us: int, effects: Effects) -> None:
    """Refuse a request that waited for the configuration for long enough."""
    request = state.early.pop(key, None)
    if request is not None:
        refuse_early(state, request, effects)
