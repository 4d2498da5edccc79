"""Limits on the rate of requests that hold for all instances together.

Load pattern: the limit of a customer is small compared with the number of instances, so that
equal parts of it would be useless: its requests come through a few instances at one moment and
through others at the next. One account holds the limit. The other instances may run some
requests ahead of their entry in the account; the tolerance of the limit pays for these.
"""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.limits.shares import compute_share

__all__ = [
    "FleetLimit",
    "LimitRules",
    "TokenBucket",
    "compute_advance",
    "compute_headroom",
    "compute_side_share",
    "compute_substitute_share",
]

# Part of the headroom, relative to itself, that the burst of a limit adds to the advance: what
# runs ahead is charged to the account, which the burst fills.
_BURST_ADVANCE = 0.2
# Part of the advance that instances use which may have used it before a restart.
_NEW_ADVANCE = 0.5
# Largest part of a limit that an account gives out in place of a better one, and the part of
# the tolerance that it may use.
_MAX_SUBSTITUTE_SHARE = 0.75
_SUBSTITUTE_TOLERANCE = 0.6
# Instances whose part of the limit one instance brings along that asks in place of them.
_INSTANCES_PER_ASKER = 4
_ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class LimitRules:
    """Tolerance of limits over all instances.

    In each window a limit of ``r`` requests per second with burst ``b`` allows
    ``(r * window + b) * (1 + excess) + slack`` requests.

    :param window_us: length of the sliding window in microseconds.
    :param excess: tolerated excess, as a share of the limit in a window.
    :param slack: tolerated requests beyond that in a window.
    """

    window_us: int = 5_000_000
    excess: float = 0.25
    slack: float = 20.0


@dataclass(frozen=True, slots=True)
class FleetLimit:
    """Limit over all instances together.

    :param per_second: requests per second; above 0.
    :param burst: requests beyond that rate that may come at once.
    """

    per_second: float
    burst: float


def compute_headroom(limit: FleetLimit, rules: LimitRules) -> float:
    """Return the number of requests beyond a limit that are tolerated in a window.

    >>> compute_headroom(FleetLimit(5, 5), LimitRules())
    27.5
    """
    return rules.excess * _compute_sum(limit, rules) + rules.slack


def compute_advance(
    limit: FleetLimit, rules: LimitRules, seat: int, instances: int, key: str, *, is_new: bool
) -> int:
    """Return the requests that one instance may run before the account confirms them.

    :param seat: position of the instance among all known ones, from 0.
    :param instances: number of all known instances.
    :param key: name of the limit; its hash decides which instances get the remainder.
    :param is_new: whether an earlier process of the instance may have used its part lately.
    :returns: part of the instance. The parts of all instances sum to the tolerance at most.

    >>> rules = LimitRules()
    >>> [compute_advance(FleetLimit(5, 5), rules, 0, n, "a", is_new=False) for n in (1, 8, 32)]
    [32, 4, 1]
    """
    headroom = compute_headroom(limit, rules)
    total = headroom + min(limit.burst, _BURST_ADVANCE * headroom)
    if is_new:
        total *= _NEW_ADVANCE
    return compute_share(int(total), seat, instances, key)


def compute_side_share(seen: int, known: int, excess: float) -> float:
    """Return the part of a limit that one side of a split may give out.

    A majority also uses the tolerated excess: at most one side has it, and the shares of the
    other sides sum to less than what it lacks.

    :param seen: instances that this side sees, with itself.
    :param known: all instances that did not leave; at least ``seen``.
    :param excess: tolerated excess, as a share of the limit.

    >>> [compute_side_share(seen, 32, 0.25) for seen in (32, 24, 20, 16, 1)]
    [1.0, 1.0, 0.875, 0.5, 0.03125]
    """
    share = seen / known
    return min(1.0, share + excess) if share > 0.5 else share


def compute_substitute_share(
    limit: FleetLimit, rules: LimitRules, askers: int, known: int
) -> float:
    """Return the part of a limit that an account gives out while a better one may do so too.

    :param askers: instances that lately asked here because the better account did not reply.
    :param known: all instances that did not leave.

    >>> limit, rules = FleetLimit(5, 5), LimitRules()
    >>> [round(compute_substitute_share(limit, rules, n, 32), 3) for n in (1, 3, 9)]
    [0.125, 0.375, 0.55]
    """
    tolerated = compute_headroom(limit, rules) / _compute_sum(limit, rules)
    highest = min(_MAX_SUBSTITUTE_SHARE, _SUBSTITUTE_TOLERANCE * tolerated)
    return min(highest, askers * _INSTANCES_PER_ASKER / known)


def _compute_sum(limit: FleetLimit, rules: LimitRules) -> float:
    """Return the number of requests in a window that a limit allows without any tolerance."""
    return limit.per_second * rules.window_us / 1e6 + limit.burst


class TokenBucket:
    """Token bucket whose rate and capacity may change at any time, and that may be in debt.

    :param tokens: tokens at first.
    :param now_us: monotonic time in microseconds.

    >>> bucket = TokenBucket(1.0, 0)
    >>> bucket.charge(3, floor=-1.0)
    >>> bucket.refill(2.0, 5.0, 1_500_000)
    >>> bucket.tokens
    2.0
    """

    __slots__ = ("_updated_us", "tokens")

    def __init__(self, tokens: float, now_us: int) -> None:
        self.tokens = tokens
        self._updated_us = now_us

    def refill(self, per_second: float, capacity: float, now_us: int) -> None:
        """Add the tokens since the last call, up to the capacity."""
        elapsed_seconds = max(0, now_us - self._updated_us) / 1e6
        self.tokens = min(capacity, self.tokens + per_second * elapsed_seconds)
        self._updated_us = max(self._updated_us, now_us)

    def take(self, wanted: int) -> int:
        """Take up to ``wanted`` whole tokens and return their number."""
        taken = max(0, min(wanted, int(self.tokens + _ROUNDING)))
        self.tokens -= taken
        return taken

    def charge(self, count: int, floor: float) -> None:
        """Take tokens that were used already, down to a debt of ``floor``."""
        self.tokens = max(min(self.tokens, floor), self.tokens - count)

    def get_wait_us(self, per_second: float) -> int:
        """Return the time until a whole token is there, in microseconds."""
        return max(0, int((1 - self.tokens) / per_second * 1e6))
