"""Retry-after times for callers whose requests did not run.

They cover services whose servers are all unreachable for a known time, and overload, in which
callers that all retry at once would meet the same queue again.
"""

from __future__ import annotations

from mimosapost.relay.eligibility import is_leaving
from mimosapost.relay.rate_limits import get_pause_us, get_rate_wait_us
from mimosapost.relay.return_times import MAX_RETURN_SHARE
from mimosapost.relay.state import OpenRequest, RelayState

__all__ = ["NOT_CONFIGURED_RETRY_US", "get_retry_after_us", "get_unconfigured_retry_us"]

# The first configuration is usually read within this time after the start of the process.
NOT_CONFIGURED_RETRY_US = 250_000
_MIN_RETRY_AFTER_US = 50_000
_MAX_RETRY_AFTER_US = 1_000_000
# The wait is lengthened by a random share up to this one, so that callers do not retry at once.
_RETRY_JITTER = 0.5


def get_unconfigured_retry_us(left_us: int, is_source_silent: bool) -> int:
    """Return the time after which an instance may have read its first configuration.

    Nobody knows when a silent source returns, and most callers come back only once. The latest
    time that a caller keeps to gives the source the most time to return.

    :param left_us: time until the caller's deadline, in microseconds.

    >>> get_unconfigured_retry_us(900_000, False), get_unconfigured_retry_us(900_000, True)
    (250000, 300000)
    """
    if not is_source_silent:
        return NOT_CONFIGURED_RETRY_US
    return max(int(left_us * MAX_RETURN_SHARE), _MIN_RETRY_AFTER_US)


def get_retry_after_us(state: RelayState, open_request: OpenRequest, now_us: int) -> int:
    """Return the time after which a server is expected to have room.

    :returns: microseconds, randomized so that callers refused together retry at different
        times.
    """
    waits: list[float] = []
    longest_us = _MAX_RETRY_AFTER_US
    for part in open_request.parts:
        if part.is_answered:
            continue
        records = [r for r in state.by_service.get(part.service, ()) if not is_leaving(r)]
        queued = len(state.waiting.get(part.service, ()))
        limited_us = get_rate_wait_us(state, records, queued, now_us)
        if limited_us is not None:
            waits.append(limited_us)
            # A caller that came back before the end of a pause would be refused again.
            longest_us = max(longest_us, get_pause_us(records, now_us))
            continue
        for record in records:
            if record.is_blocked(now_us):
                waits.append(record.blocked_until_us - now_us)
            else:
                pool = state.get_pools(open_request.route)[record.distance]
                queued = len(record.open_sends) / max(1, record.server.slots)
                waits.append(pool.median_us * queued)
    wait_us = min(waits) if waits else NOT_CONFIGURED_RETRY_US
    wait_us = min(max(wait_us, _MIN_RETRY_AFTER_US), longest_us)
    return int(wait_us * (1 + _RETRY_JITTER * state.rng.random()))
