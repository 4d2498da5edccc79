"""Rates of sends to one server, as a share of a limit that holds for all instances together."""

from __future__ import annotations

import random

__all__ = ["SendRate"]

# Unused sends are kept for this time, so that an uneven stream can use its whole share.
_BURST_SECONDS = 1.0
# Sums of floating-point refills may miss a whole token by rounding.
_ROUNDING = 1e-6
# Bound of a wait for rates next to 0: a day.
_MAX_WAIT_US = 86_400e6


class SendRate:
    """Token bucket of this instance for one server, with a rate that may change at any time.

    All instances learn of a limit at about the same time, so the bucket starts with a random
    part of a token: the first sends of the instances are spread over the interval in which each
    of them may send once.

    :param now_us: monotonic time in microseconds.
    :param rng: source of the random part.

    >>> rate = SendRate(0, random.Random(1))
    >>> [rate.try_take(0.5, now_us) for now_us in (0, 1_700_000, 1_800_000, 3_800_000)]
    [False, False, True, True]
    """

    __slots__ = ("_tokens", "_updated_us")

    def __init__(self, now_us: int, rng: random.Random) -> None:
        self._tokens = rng.random()
        self._updated_us = now_us

    def get_wait_us(self, per_second: float, now_us: int) -> int:
        """Return the time until a send is allowed, in microseconds.

        :param per_second: current rate of this instance in requests per second; above 0.
        :param now_us: monotonic time in microseconds.
        """
        self._refill(per_second, now_us)
        missing = 1 - self._tokens - _ROUNDING
        if missing <= 0:
            return 0
        return int(min(missing / per_second * 1e6, _MAX_WAIT_US)) + 1

    def try_take(self, per_second: float, now_us: int) -> bool:
        """Take the token of one send, and return whether there was one.

        :param per_second: current rate of this instance in requests per second; above 0.
        :param now_us: monotonic time in microseconds.
        """
        if self.get_wait_us(per_second, now_us):
            return False
        self._tokens -= 1
        return True

    def _refill(self, per_second: float, now_us: int) -> None:
        elapsed_seconds = max(0, now_us - self._updated_us) / 1e6
        capacity = max(1.0, per_second * _BURST_SECONDS)
        self._tokens = min(capacity, self._tokens + per_second * elapsed_seconds)
        self._updated_us = now_us
