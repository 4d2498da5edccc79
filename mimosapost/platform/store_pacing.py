"""Waits of the store reader's watches, and its pauses between them."""

from __future__ import annotations

__all__ = ["FEED_AGE_SHARE", "get_idle_seconds", "get_next_pause", "get_watch_limits"]

# Part of the detection time that is reserved for detecting a lost answer and reading the whole
# list again; a watch waits for changes during the rest.
_RECOVERY_MS = 1_200
_MIN_WATCH_WAIT_MS = 200
# The reader pauses after a watch that returned changes, so that the next watch returns several
# changes together. The first pause is short, because a single change should take effect at
# once. Each further watch in a burst of changes doubles the pause.
_FIRST_PAUSE_SECONDS = 0.1
# Longest pause, as a share of the time within which a change must take effect. The rest is left
# for reading the change and for a second attempt after a failure.
_MAX_PAUSE_SHARE = 1 / 3
#: Age of an update from which the store is read instead, as a share of the time within which a
#: change must take effect.
FEED_AGE_SHARE = 0.6
# Longest wait of a watch and longest pause after it while other instances follow, as shares of
# the same time. The wait and the pause together stay below the age.
_FED_WAIT_SHARE = 0.24
_FED_PAUSE_SHARE = 0.2
# Idle time after which a connection is not used again, as a share of the same time: longer than
# any pause between calls, shorter than the time for which a feed lasts without an update.
_IDLE_SHARE = 0.45
# A watch that takes longer than this ends a burst of changes.
_BURST_GAP_US = 1_500_000


def get_next_pause(pause_seconds: float, quiet_us: int, max_pause_seconds: float) -> float:
    """Return the pause after a watch that returned changes, in seconds.

    :param pause_seconds: previous pause.
    :param quiet_us: time from the end of that pause to this answer, in microseconds.
    :param max_pause_seconds: upper limit of the pauses in a burst of changes.

    >>> get_next_pause(0.4, 5_000, 1.0), get_next_pause(0.8, 5_000, 1.0)
    (0.8, 1.0)
    >>> get_next_pause(1.0, 2_000_000, 1.0)
    0.1
    """
    if quiet_us > _BURST_GAP_US:
        return _FIRST_PAUSE_SECONDS
    return min(max(2 * pause_seconds, _FIRST_PAUSE_SECONDS), max_pause_seconds)


def get_idle_seconds(apply_limit_ms: int) -> float:
    """Return the idle time in seconds after which a connection to the store is not used again.

    An open connection may have gone silent, and a call on it would take a whole time limit.

    :param apply_limit_ms: time in milliseconds within which a change must take effect.

    >>> get_idle_seconds(3_000)
    1.35
    """
    return max(_FIRST_PAUSE_SECONDS, apply_limit_ms / 1e3 * _IDLE_SHARE)


def get_watch_limits(
    detection_limit_ms: int, apply_limit_ms: int, is_followed: bool
) -> tuple[int, float]:
    """Return the wait of a watch in milliseconds and the longest pause in seconds.

    :param detection_limit_ms: time in milliseconds within which a silent connection or a lost
        answer must be detected.
    :param apply_limit_ms: time in milliseconds within which a change must take effect.
    :param is_followed: whether other instances follow this one.

    >>> get_watch_limits(6_000, 5_000, is_followed=True)
    (1200, 1.0)
    """
    watch_wait_ms = max(_MIN_WATCH_WAIT_MS, detection_limit_ms - _RECOVERY_MS)
    if not is_followed:
        longest = max(_FIRST_PAUSE_SECONDS, apply_limit_ms / 1e3 * _MAX_PAUSE_SHARE)
        return watch_wait_ms, longest
    wait_ms = min(watch_wait_ms, int(apply_limit_ms * _FED_WAIT_SHARE))
    return wait_ms, max(_FIRST_PAUSE_SECONDS, apply_limit_ms / 1e3 * _FED_PAUSE_SHARE)
