"""Choices of feeds: which instance reads the source for this one, and which updates fit.

Load pattern: hundreds of instances watch the same entries, and the platform charges for every
call. A few instances of each region read the source, and the others follow them. An instance
follows only one of a lower rank, so that feeds have no circle, and each update states how old
the source's confirmation is, so that the followers of an instance that lost the source, was
paused or was cut off read the source themselves once that age passes their limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Container, Iterable
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from mimosapost.membership.members import Member
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import SourceRead

__all__ = [
    "FeedState",
    "Fit",
    "Follower",
    "choose_reader",
    "classify_update",
    "find_changes_since",
    "has_followers",
    "list_followers",
    "list_readers",
]

# Smaller groups read the source themselves: a reader with followers watches in shorter calls,
# which costs as many calls as three instances need.
_MIN_INSTANCES = 4
# Instances of a region for each one that reads the source. It bounds the messages of a reader.
_INSTANCES_PER_READER = 32
# Reads whose changes are kept for followers that are behind: new ones, and those that lost an
# update.
_KEPT_READS = 16
# Time after its last request for which an instance gets updates; requests come once a second.
_FOLLOWER_US = 3_500_000


@dataclass(frozen=True, slots=True)
class Follower:
    """Instance that asked for updates.

    :param asked_us: time at which its last request arrived.
    :param request_sent_us: its own time at which it sent this request; 0 if it stated none.
    """

    peer_address: str
    asked_us: int
    request_sent_us: int = 0


@dataclass(slots=True)
class FeedState:
    """What an instance has read of the source and whom it reads it from.

    :param revision: revision up to which the changes of the source were applied.
    :param confirmed_us: time at which the source stated that nothing newer existed.
    :param reader: instance that is asked for updates, or ``None``.
    :param heard_us: time of the last update of the reader, or of the first request to it.
    :param followers: instances that asked for updates, by name.
    :param blocked_until_us: time until which an instance is not asked, by name.
    :param reads: the last reads with known changes, with ascending revisions.
    """

    revision: int = 0
    confirmed_us: int = 0
    reader: Member | None = None
    heard_us: int = 0
    followers: dict[str, Follower] = field(default_factory=dict)
    blocked_until_us: dict[str, int] = field(default_factory=dict)
    reads: deque[SourceRead] = field(default_factory=lambda: deque(maxlen=_KEPT_READS))


class Fit(Enum):
    """How an update fits to the revision that was applied."""

    NEXT = "next"
    OLD = "old"
    GAP = "gap"


def choose_reader(
    own: InstanceIdentity, members: Iterable[Member], blocked: Container[str]
) -> Member | None:
    """Choose the instance that reads the source for this one.

    :param own: identity of this instance.
    :param members: the other instances.
    :param blocked: names of instances that are not asked.
    :returns: an instance of the same region with a lower rank, or ``None`` if this instance
        reads the source itself.
    """
    candidates = _group_by_region(members, blocked).get(own.region, {})
    readers = _find_readers([own.name, *candidates])
    if own.name in readers:
        return None
    return candidates[max(readers, key=lambda name: _get_rank(f"{own.name} {name}"))]


def list_readers(
    own: InstanceIdentity, members: Iterable[Member], blocked: Container[str]
) -> list[Member]:
    """Return the instances of all regions that read the source themselves.

    :param own: identity of this instance, which is left out.
    :param members: the other instances.
    :param blocked: names of instances that are left out.
    """
    readers = []
    for region, candidates in sorted(_group_by_region(members, blocked).items()):
        names = [own.name, *candidates] if region == own.region else candidates
        readers += [candidates[name] for name in _find_readers(names) if name != own.name]
    return readers


def _group_by_region(
    members: Iterable[Member], blocked: Container[str]
) -> dict[str, dict[str, Member]]:
    regions: dict[str, dict[str, Member]] = {}
    for member in members:
        if member.identity is not None and not member.leaving and member.name not in blocked:
            regions.setdefault(member.identity.region, {})[member.name] = member
    return regions


def _find_readers(names: Collection[str]) -> list[str]:
    """Return the instances of a region that read the source, lowest rank first."""
    if len(names) < _MIN_INSTANCES:
        return list(names)
    return sorted(names, key=_get_rank)[: -(-len(names) // _INSTANCES_PER_READER)]


def _get_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def classify_update(update: ApplyFeed, revision: int) -> Fit:
    """Return whether an update continues from the revision that was applied.

    >>> update = ApplyFeed(5, 8, (), 0)
    >>> [classify_update(update, revision).value for revision in (4, 5, 8, 9)]
    ['gap', 'next', 'next', 'old']
    """
    if update.as_of < revision:
        return Fit.OLD
    return Fit.NEXT if update.after <= revision else Fit.GAP


def find_changes_since(feed: FeedState, revision: int) -> tuple[int, tuple[SourceEntry, ...]]:
    """Return the changes between a revision and the one that was reached.

    :returns: revision from which the changes start, and the entries. If the changes since the
        given revision are not known, they start at the revision that was reached.
    """
    since = [read for read in feed.reads if read.as_of > revision]
    if not since or since[0].after > revision:
        return feed.revision, ()
    entries = (entry for read in since for entry in read.entries)
    return revision, tuple(entry for entry in entries if entry.revision > revision)


def list_followers(feed: FeedState, now_us: int) -> list[tuple[str, Follower]]:
    """Return the instances that follow this one, with their names."""
    return [
        (name, follower)
        for name, follower in feed.followers.items()
        if now_us - follower.asked_us < _FOLLOWER_US
    ]


def has_followers(feed: FeedState, now_us: int) -> bool:
    """Return whether any instance follows this one."""
    return bool(list_followers(feed, now_us))
