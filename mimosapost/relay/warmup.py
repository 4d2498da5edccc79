"""Requests that a cold server receives.

Load pattern that it answers: servers that start, or fall cold, while every instance has work
for them; the sum over all instances stays within what the server bears.
"""

from __future__ import annotations

__all__ = ["ColdAllowance"]

_SECOND_US = 1_000_000
# Instances that may use a cold server at the same time without knowing of each other.
ASSUMED_INSTANCES = 8


class ColdAllowance:
    """Sends of this instance to one cold server, at most ``per_second`` in any second.

    :param per_second: requests a second that the server bears from all instances.
    :param instances: instances that share it.

    >>> allowance = ColdAllowance(8.0, instances=4)
    >>> [allowance.try_take(now_us) for now_us in (0, 1, 2, 1_000_001)]
    [True, True, False, True]
    """

    __slots__ = ("_limit", "_sent_us")

    def __init__(self, per_second: float, instances: int = ASSUMED_INSTANCES) -> None:
        self._limit = max(1, int(per_second / instances))
        self._sent_us: list[int] = []

    def try_take(self, now_us: int) -> bool:
        """Take one send, if the last second leaves room for it."""
        self._sent_us = [at_us for at_us in self._sent_us if now_us - at_us < _SECOND_US]
        if len(self._sent_us) >= self._limit:
            return False
        self._sent_us.append(now_us)
        return True
