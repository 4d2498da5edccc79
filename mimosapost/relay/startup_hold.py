"""Requests that arrive before the first configuration.

Load pattern that it answers: all instances start again at once under traffic. The source of
the configuration answers within some tens of milliseconds, so a short wait serves callers whose
one repeat would otherwise meet another instance that has just started. Where the source is
known to fail, waiting cannot help.
"""

from __future__ import annotations

from mimosapost.model.codes import ResultCode
from mimosapost.relay.completion import refuse_request
from mimosapost.relay.exchanges import Refusal, RelayRequest
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.retry_after import NOT_CONFIGURED_RETRY_US
from mimosapost.relay.state import RelayState

__all__ = ["hold_request", "refuse_not_configured"]

# A healthy source sends the list within 100 ms of the first call, a slow one within 250 ms.
_MAX_HOLD_US = 200_000
# A caller that is refused needs most of its time for the next attempt.
_MAX_HOLD_SHARE = 0.25
# Requests that wait; those of a burst beyond them would all start at one moment.
_MAX_HELD_REQUESTS = 100


def hold_request(
    state: RelayState, request: RelayRequest, now_us: int, effects: Effects
) -> None:
    """Let a request wait for the first configuration, or refuse it where that is in vain."""
    left_us = request.deadline_us - now_us
    cannot_succeed = state.servers_listed or state.source_lost_us or state.stop_requested_us
    if cannot_succeed or left_us <= 0 or len(state.held_requests) >= _MAX_HELD_REQUESTS:
        refuse_not_configured(state, request, effects)
        return
    state.held_requests[request.number] = request
    until_us = now_us + min(_MAX_HOLD_US, int(left_us * _MAX_HOLD_SHARE))
    state.timers.add(until_us, TimerKind.HOLD, request.number)


def refuse_not_configured(state: RelayState, request: RelayRequest, effects: Effects) -> None:
    """Refuse a request for want of a configuration."""
    refusal = Refusal(ResultCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_US, "no catalog")
    refuse_request(state, request.number, request.request_id, refusal, effects)


@handles_timer(TimerKind.HOLD)
def expire_hold(state: RelayState, key: int, _now_us: int, effects: Effects) -> None:
    """Refuse a request that waited for the configuration for long enough."""
    request = state.held_requests.pop(key, None)
    if request is not None:
        refuse_not_configured(state, request, effects)
