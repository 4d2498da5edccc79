"""Choices of the gossip protocol and the configuration reads, as pure functions.

A gossip message announces versions. The receiver requests the texts that it lacks and announces
the versions that the sender lacks, so a text is sent only to an instance that requested it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import TypeVar

from mimosapost.model.peer_messages import TreeVersion

__all__ = [
    "FANOUT",
    "MAX_ANNOUNCED_VERSIONS",
    "MAX_FLEET_READS_PER_S",
    "choose_announced",
    "choose_newer_versions",
    "choose_requests",
    "compute_config_read_interval_s",
    "should_read_config",
]

FANOUT = 3
MAX_FLEET_READS_PER_S = 20
_MAX_SEATS_ALL_READING = 8
# A message with 8 versions has about 0.5 KB. An instance sends and receives 6 such messages a
# second, each over a new link in a large fleet; its control traffic may reach 14 KB/s.
MAX_ANNOUNCED_VERSIONS = 8
# The reply for each team can have 1 MB of text. Replies that are dropped because the queue of
# the link is full are requested again.
_MAX_REQUESTED_TEAMS = 8


T = TypeVar("T")


def choose_announced(
    versions: Sequence[TreeVersion],
    recent: Sequence[str],
    round_number: int,
    limit: int = MAX_ANNOUNCED_VERSIONS,
) -> tuple[TreeVersion, ...]:
    """Choose the versions that one gossip message announces.

    A quarter of the message holds the newest changes, half of it rotates through the other
    recent changes, and the remainder rotates through all teams. A single change is therefore
    announced in every round, many changes after a partition are announced within a few rounds,
    and each team is announced eventually.

    :param versions: own accepted versions, ordered by team.
    :param recent: teams whose subtree changed lately, newest first.
    :param round_number: number of the gossip round, which selects the offset of each rotation.
    :param limit: largest number of versions.
    :returns: all versions if they fit, otherwise ``limit`` of them.
    """
    if len(versions) <= limit:
        return tuple(versions)
    by_team = {entry.team: entry for entry in versions}
    newest_count, recent_count, all_count = (
        limit // 4,
        limit // 2,
        limit - limit // 4 - limit // 2,
    )
    older = recent[newest_count:]
    candidates = (
        *recent[:newest_count],
        *_rotate(older, round_number * recent_count)[:recent_count],
        *(entry.team for entry in _rotate(versions, round_number * all_count)),
    )
    chosen = [by_team[team] for team in dict.fromkeys(candidates) if team in by_team]
    return tuple(chosen[:limit])


def choose_requests(
    own: Iterable[TreeVersion],
    theirs: Iterable[TreeVersion],
    is_unwanted: Callable[[TreeVersion], bool] = lambda _: False,
    limit: int = _MAX_REQUESTED_TEAMS,
) -> tuple[str, ...]:
    """Choose the teams whose texts are to be requested from a peer.

    :param own: all own accepted versions.
    :param theirs: versions that the peer announced.
    :param is_unwanted: whether a version must not be requested, because it was refused or is
        requested already.
    :param limit: largest number of teams.
    :returns: teams of which the peer holds a newer version, without repetition.
    """
    held = {entry.team: _rank(entry) for entry in own}
    newer = (
        entry.team
        for entry in theirs
        if _rank(entry) > held.get(entry.team, (-1, 0)) and not is_unwanted(entry)
    )
    return tuple(dict.fromkeys(newer))[:limit]


def choose_newer_versions(
    own: Iterable[TreeVersion],
    theirs: Sequence[TreeVersion],
    limit: int = MAX_ANNOUNCED_VERSIONS,
) -> tuple[TreeVersion, ...]:
    """Choose the own versions to announce to a peer that has older ones or none.

    :param own: all own accepted versions.
    :param theirs: versions that the peer announced. A list shorter than ``limit`` is taken as
        complete, so the peer has no version of a team that is absent from it.
    :param limit: largest number of versions in a message, the same for both instances.
    :returns: newer own versions, at most ``limit``.
    """
    peer_ranks = {entry.team: _rank(entry) for entry in theirs}
    complete = len(peer_ranks) < limit
    newer_versions = (
        entry
        for entry in own
        if (entry.team in peer_ranks or complete)
        and _rank(entry) > peer_ranks.get(entry.team, (-1, 0))
    )
    return tuple(newer_versions)[:limit]


def should_read_config(seat: int, ceiling: int, rng: Random) -> bool:
    """Return whether an instance reads the configuration service in this interval.

    The length of the interval is given by :func:`compute_config_read_interval_s`. In a fleet of
    up to 8 seats every instance reads in each interval. In a larger one each instance reads
    with probability 20 / ceiling, so the whole fleet makes at most about 20 reads a second.

    :param seat: seat of this instance.
    :param ceiling: number of seats of the fleet.
    :param rng: seeded random numbers.
    :returns: whether to read. An instance whose seat is not below the ceiling never reads,
        because the limit is divided among the seats below it.
    """
    if not 0 <= seat < ceiling:
        return False
    return ceiling <= _MAX_SEATS_ALL_READING or rng.random() * ceiling < MAX_FLEET_READS_PER_S


def compute_config_read_interval_s(ceiling: int) -> float:
    """Return the interval at which an instance calls :func:`should_read_config`.

    :param ceiling: number of seats of the fleet.
    :returns: interval in seconds. Up to 8 seats, which read in each interval, share 20 reads a
        second evenly.

    >>> compute_config_read_interval_s(4)
    0.2
    """
    return max(ceiling, 1) / MAX_FLEET_READS_PER_S if ceiling <= _MAX_SEATS_ALL_READING else 1.0


def _rotate(values: Sequence[T], start: int) -> Sequence[T]:
    offset = start % len(values) if values else 0
    return (*values[offset:], *values[:offset])


def _rank(entry: TreeVersion) -> tuple[int, int]:
    return entry.version, entry.digest
