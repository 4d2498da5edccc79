"""Requests that a cold server receives.

Load pattern that it answers: servers that start, or fall cold, while every instance has work
for them; the sum over all instances stays within what the server bears.
"""

from __future__ import annotations

import random

__all__ = ["ASSUMED_INSTANCES", "ColdAllowance"]

#: Instances that may use a cold server without knowing of each other; the largest known
#: deployment has 33 and 6 more that may be added.
ASSUMED_INSTANCES = 40


class ColdAllowance:
    """Sends of this instance to one cold server.

    Each instance sends once in the time in which the server bears one request of every
    instance. The first send comes at a random moment of that time, because all instances learn
    of the server at once.

    :param per_second: requests a second that the server bears from all instances, above 0.
    :param now_us: monotonic time in microseconds.
    :param rng: chooses the moment of the first send.

    >>> allowance = ColdAllowance(20.0, 0, random.Random(1))
    >>> [allowance.try_take(now_us) for now_us in (0, 1_900_000, 2_000_000, 4_000_000)]
    [False, True, False, True]
    """

    __slots__ = ("_interval_us", "_next_us")

    def __init__(self, per_second: float, now_us: int, rng: random.Random) -> None:
        self._interval_us = int(ASSUMED_INSTANCES / per_second * 1e6)
        self._next_us = now_us + int(self._interval_us * rng.random())

    def try_take(self, now_us: int) -> bool:
        """Take one send, if its time has come."""
        if now_us < self._next_us:
            return False
        self._next_us = now_us + self._interval_us
        return True
