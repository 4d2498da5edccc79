"""Hold of requests that arrive before the instance can send them.

It needs the configuration, and to hear from another instance which requests crash servers.

If all instances restart at once under traffic, a refused caller's only retry would reach
another instance that has just started. The configuration source answers within some tens of
milliseconds, so a short hold lets these callers be served. Requests are not held if the source
is known to be unreachable, or once it has been silent for longer than a slow one takes, because
a hold cannot help then. Their callers are told at once to come back as late as they can.
"""

from __future__ import annotations

from mimosapost.model.codes import ResultCode
from mimosapost.relay.completion import refuse_request
from mimosapost.relay.messages import Refusal, RelayRequest
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.retry_after import get_unconfigured_retry_us
from mimosapost.relay.state import RelayState

__all__ = ["hold_request", "is_source_silent", "refuse_not_configured"]

# A healthy source sends the server list within 100 ms of the first call, a slow one within
# 250 ms.
_MAX_HOLD_US = 200_000
# Time after the first held request from which the source counts as silent, in microseconds.
_SILENT_SOURCE_US = 400_000
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
    if not state.first_held_us:
        state.first_held_us = now_us
    cannot_succeed = cannot_succeed or is_source_silent(state, now_us)
    if cannot_succeed or left_us <= 0 or len(state.held_requests) >= _MAX_HELD_REQUESTS:
        refuse_not_configured(state, request, now_us, effects)
        return
    state.held_requests[request.request_number] = request
    until_us = now_us + min(_MAX_HOLD_US, int(left_us * _MAX_HOLD_SHARE))
    state.timers.add(until_us, TimerKind.HOLD, request.request_number)


def is_source_silent(state: RelayState, now_us: int) -> bool:
    """Return whether the source has failed, or has sent nothing for longer than a slow one."""
    if state.source_lost_us:
        return True
    is_unread = not state.servers_listed and state.first_held_us > 0
    return is_unread and now_us - state.first_held_us >= _SILENT_SOURCE_US


def refuse_not_configured(
    state: RelayState, request: RelayRequest, now_us: int, effects: Effects
) -> None:
    """Refuse a request because no configuration has been read."""
    left_us = request.deadline_us - now_us
    retry_us = get_unconfigured_retry_us(left_us, is_source_silent(state, now_us))
    refusal = Refusal(ResultCode.NOT_CONFIGURED, retry_us, "no catalog")
    refuse_request(state, request.request_number, request.request_id, refusal, effects)


@handles_timer(TimerKind.HOLD)
def expire_hold(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Refuse a held request whose hold time is over."""
    request = state.held_requests.pop(key, None)
    if request is not None:
        refuse_not_configured(state, request, now_us, effects)
