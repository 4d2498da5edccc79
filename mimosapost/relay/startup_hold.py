"""Hold of requests that arrive before the instance can send them.

It needs the configuration, and to hear from another instance which requests crash servers.

If all instances restart at once under traffic, a refused caller's only retry would reach
another instance that has just started. The configuration source answers within some tens of
milliseconds, so a short hold lets these callers be served. Requests are not held if the source
is known to be unreachable, because a hold cannot help then.
"""

from __future__ import annotations

from mimosapost.model.codes import ResultCode
from mimosapost.relay.completion import refuse_request
from mimosapost.relay.messages import Refusal, RelayRequest
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.retry_after import NOT_CONFIGURED_RETRY_US
from mimosapost.relay.state import RelayState

__all__ = ["hold_request", "refuse_not_configured"]

# A healthy source sends the server list within 100 ms of the first call, a slow one within
# 250 ms.
_MAX_HOLD_US = 200_000
# Largest share of the remaining time that a request is held; a refused caller needs most of it
# for the next attempt.
_MAX_HOLD_SHARE = 0.25
# Further requests are refused, because all held requests start at the same moment.
_MAX_HELD_REQUESTS = 100


def hold_request(
    state: RelayState, request: RelayRequest, now_us: int, effects: Effects
) -> None:
    """Hold a request until the first configuration, or refuse it if a hold cannot help."""
    left_us = request.deadline_us - now_us
    is_unread = state.servers_listed and state.is_introduced
    cannot_succeed = is_unread or state.source_lost_us or state.stop_requested_us
    if cannot_succeed or left_us <= 0 or len(state.held_requests) >= _MAX_HELD_REQUESTS:
        refuse_not_configured(state, request, effects)
        return
    state.held_requests[request.request_number] = request
    until_us = now_us + min(_MAX_HOLD_US, int(left_us * _MAX_HOLD_SHARE))
    state.timers.add(until_us, TimerKind.HOLD, request.request_number)


def refuse_not_configured(state: RelayState, request: RelayRequest, effects: Effects) -> None:
    """Refuse a request because no configuration has been read."""
    refusal = Refusal(ResultCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_US, "no catalog")
    refuse_request(state, request.request_number, request.request_id, refusal, effects)


@handles_timer(TimerKind.HOLD)
def expire_hold(state: RelayState, key: int, _now_us: int, effects: Effects) -> None:
    """Refuse a held request whose hold time is over."""
    request = state.held_requests.pop(key, None)
    if request is not None:
        refuse_not_configured(state, request, effects)
