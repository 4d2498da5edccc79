"""Decisions of the gossip protocol, as pure functions.

A gossip message announces versions. The receiver requests what it lacks and announces back
what the sender lacks, so a text crosses a link only after its receiver asked for it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TypeVar

from mimosapost.model.messages import TreeVersion

__all__ = [
    "FANOUT",
    "MAX_ANNOUNCED",
    "READS_PER_S",
    "choose_announced",
    "choose_pushes",
    "choose_reader",
    "choose_requests",
    "compute_read_interval_s",
]

FANOUT = 3
READS_PER_S = 20
_ALWAYS_READING = 8
# 8 versions make a message of about 0.5 KB. An instance sends and receives 6 such messages a
# second, each over a new link in a large fleet, out of 14 KB/s of control traffic allowed.
MAX_ANNOUNCED = 8
# Each team may be answered with 1 MB of text; what a full link drops is requested again.
_MAX_REQUESTED = 8


T = TypeVar("T")


def choose_announced(
    versions: Sequence[TreeVersion],
    recent: Sequence[str],
    round_number: int,
    limit: int = MAX_ANNOUNCED,
) -> tuple[TreeVersion, ...]:
    """Choose the versions that one gossip message announces.

    A quarter of the message holds the newest changes, half of it rotates through the recent
    ones, and the rest rotates through all teams. So a single change spreads at every round,
    many changes after a partition follow within a few rounds, and nothing is left out.

    :param versions: own accepted versions, ordered by team.
    :param recent: teams whose subtree changed lately, newest first.
    :param round_number: number of the gossip round, which selects the rotating parts.
    :param limit: largest number of versions.
    :returns: all versions if they fit, otherwise ``limit`` of them.
    """
    if len(versions) <= limit:
        return tuple(versions)
    by_team = {entry.team: entry for entry in versions}
    newest, changed, rest = limit // 4, limit // 2, limit - limit // 4 - limit // 2
    older = recent[newest:]
    candidates = (
        *recent[:newest],
        *_rotate(older, round_number * changed)[:changed],
        *(entry.team for entry in _rotate(versions, round_number * rest)),
    )
    chosen = [by_team[team] for team in dict.fromkeys(candidates) if team in by_team]
    return tuple(chosen[:limit])


def choose_requests(
    own: Iterable[TreeVersion],
    theirs: Iterable[TreeVersion],
    is_unwanted: Callable[[TreeVersion], bool] = lambda _: False,
    limit: int = _MAX_REQUESTED,
) -> tuple[str, ...]:
    """Choose the teams whose text to request from a peer.

    :param own: all own accepted versions.
    :param theirs: versions that the peer announced.
    :param is_unwanted: tells which versions were refused or are already requested.
    :param limit: largest number of teams.
    :returns: teams of which the peer holds something newer.
    """
    held = {entry.team: _rank(entry) for entry in own}
    newer = (
        entry.team
        for entry in theirs
        if _rank(entry) > held.get(entry.team, (-1, 0)) and not is_unwanted(entry)
    )
    return tuple(dict.fromkeys(newer))[:limit]


def choose_pushes(
    own: Iterable[TreeVersion],
    theirs: Sequence[TreeVersion],
    limit: int = MAX_ANNOUNCED,
) -> tuple[TreeVersion, ...]:
    """Choose the versions to announce to a peer because it lacks them.

    :param own: all own accepted versions.
    :param theirs: versions that the peer announced. A list shorter than ``limit`` is complete,
        so a team absent from it is unknown to the peer.
    :param limit: largest number of versions, the same for both sides.
    :returns: own versions that are newer than the peer's.
    """
    told = {entry.team: _rank(entry) for entry in theirs}
    complete = len(told) < limit
    lacking = (
        entry
        for entry in own
        if (entry.team in told or complete) and _rank(entry) > told.get(entry.team, (-1, 0))
    )
    return tuple(lacking)[:limit]


def choose_reader(seat: int, ceiling: int, rng: Random) -> bool:
    """Decide whether an instance may make one configuration read in this interval.

    The interval is that of :func:`compute_read_interval_s`. With up to 8 instances all may
    read; above that each may with probability 20 / ceiling, so the fleet makes about 20 reads
    a second at most.

    :param seat: seat of this instance.
    :param ceiling: number of seats of the fleet.
    :param rng: seeded random numbers.
    :returns: whether to read. A seat outside the ceiling never reads, because the bound counts
        only the seats below it.
    """
    if not 0 <= seat < ceiling:
        return False
    return ceiling <= _ALWAYS_READING or rng.random() * ceiling < READS_PER_S


def compute_read_interval_s(ceiling: int) -> float:
    """Return the interval at which an instance asks :func:`choose_reader`.

    :param ceiling: number of seats of the fleet.
    :returns: seconds. Up to 8 instances, which all read, share 20 reads a second evenly.

    >>> compute_read_interval_s(4)
    0.2
    """
    return max(ceiling, 1) / READS_PER_S if ceiling <= _ALWAYS_READING else 1.0


def _rotate(values: Sequence[T], start: int) -> Sequence[T]:
    at = start % len(values) if values else 0
    return (*values[at:], *values[:at])


def _rank(entry: TreeVersion) -> tuple[int, int]:
    return entry.version, entry.digest
