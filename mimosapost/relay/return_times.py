"""Order in which refused callers come back.

Load pattern: many callers are refused within a second, and each comes back once, at the time
that it is told. Told the same time, they would all meet the same queue. The times that an
instance gives out follow each other at the pace at which room is expected, each rank behind the
times given to the more urgent ones. A time that is later than a third of the caller's remaining
time would not be kept, so none is given.

A caller that comes back before its time is recognized by its request and its deadline. It is
refused again without any further work, behind those that wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mimosapost.relay.messages import RelayRequest

__all__ = ["MAX_RETURN_SHARE", "MIN_RETURN_US", "ReturnTimes", "is_early", "plan_return"]

#: Largest share of a caller's remaining time after which it still comes back as it is told.
MAX_RETURN_SHARE = 1 / 3
#: Shortest time after which a refused caller comes back, in microseconds.
MIN_RETURN_US = 50_000
# A caller that is this much too early has kept to its time, in microseconds.
_EARLY_TOLERANCE_US = 10_000
# Attempts of one caller have deadlines that differ by less than this, in microseconds: the time
# left is told in whole milliseconds and passes the network each time.
_DEADLINE_TOLERANCE_US = 30_000
# Number of refused requests that are remembered.
_MAX_TOLD = 2_048


@dataclass(slots=True)
class ReturnTimes:
    """Times that this instance has given to refused callers.

    :param next_us: first time that is still free, by group of services and rank.
    :param told: time and deadline of each refused request, by its fingerprint, oldest first.
    """

    next_us: dict[tuple[str, int], int] = field(default_factory=dict)
    told: dict[int, tuple[int, int]] = field(default_factory=dict)


def plan_return(
    times: ReturnTimes,
    group: str,
    rank: int,
    request: RelayRequest,
    room_us: int,
    per_second: float,
    now_us: int,
    is_early: bool = False,
) -> int:
    """Choose when the caller of a refused request comes back.

    :param group: name of the services that the callers compete for.
    :param room_us: time until room is expected, in microseconds.
    :param per_second: requests of this rank that find room then.
    :param is_early: whether the caller did not wait; it takes no time from others.
    :returns: time from now, in microseconds.
    """
    latest_us = now_us + int((request.deadline_us - now_us) * MAX_RETURN_SHARE)
    due_us = now_us + max(room_us, MIN_RETURN_US)
    for (other_group, other_rank), next_us in times.next_us.items():
        if other_group == group and other_rank <= rank:
            due_us = max(due_us, next_us)
    due_us = max(min(due_us, latest_us), now_us + MIN_RETURN_US)
    if not is_early:
        times.next_us[group, rank] = min(due_us + int(1e6 / per_second), latest_us)
    times.told.pop(request.fingerprint, None)
    times.told[request.fingerprint] = (due_us, request.deadline_us)
    if len(times.told) > _MAX_TOLD:
        del times.told[next(iter(times.told))]
    return due_us - now_us


def is_early(times: ReturnTimes, request: RelayRequest, now_us: int) -> bool:
    """Return whether a request is repeated before the time that its caller was told."""
    told = times.told.get(request.fingerprint)
    if told is None:
        return False
    due_us, deadline_us = told
    if now_us >= due_us - _EARLY_TOLERANCE_US:
        del times.told[request.fingerprint]
        return False
    return abs(request.deadline_us - deadline_us) <= _DEADLINE_TOLERANCE_US
