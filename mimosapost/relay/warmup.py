"""Rate limit for the requests that an instance sends to a cold server.

When a server starts or becomes cold, every instance may have requests for it. The limit keeps
the sum over all instances within the rate that the server can handle.
"""

from __future__ import annotations

import random

__all__ = ["ASSUMED_INSTANCES", "ColdAllowance"]

#: Number of instances assumed to share a cold server, because they do not coordinate. The
#: largest known deployment has 33, and 6 more may be added.
ASSUMED_INSTANCES = 40


class ColdAllowance:
    """Allowance of this instance for sends to one cold server.

    Each instance may send once per interval, in which the server can handle one request from
    every instance. The first send is allowed after a random share of the interval, because all
    instances learn of the server at the same time.

    :param per_second: requests per second that the server can handle from all instances;
        greater than 0.
    :param now_us: monotonic time in microseconds.
    :param rng: source of the random delay of the first send.

    >>> allowance = ColdAllowance(20.0, 0, random.Random(1))
    >>> [allowance.try_take(now_us) for now_us in (0, 1_900_000, 2_000_000, 4_000_000)]
    [False, True, False, True]
    """

    __slots__ = ("_interval_us", "_next_us")

    def __init__(self, per_second: float, now_us: int, rng: random.Random) -> None:
        self._interval_us = int(ASSUMED_INSTANCES / per_second * 1e6)
        self._next_us = now_us + int(self._interval_us * rng.random())

    def try_take(self, now_us: int) -> bool:
        """Consume the allowance of this interval and return whether a send is allowed."""
        if now_us < self._next_us:
            return False
        self._next_us = now_us + self._interval_us
        return True
