"""Instances of the fleet: the platform's list joined with the peers heard from."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.messages import Gossip

__all__ = ["DuplicateSeat", "Member", "MemberTable"]

# An instance that the lagging list does not show stays this long after it was last heard.
RETENTION_US = 60_000_000
# A replacement makes the old incarnation silent. Both heard this long after the newer one
# appeared means that both run; messages on the way are younger.
OVERLAP_US = 3_000_000
_DUPLICATE_SHOWN_US = 10_000_000
_MAX_MEMBERS = 4_096


@dataclass(frozen=True, slots=True)
class Member:
    """Another instance.

    :param name: name of the instance.
    :param peer_address: ``ip:port`` on which it takes peer links.
    :param identity: identity it stated itself, ``None`` while only the list names it.
    :param leaving: whether it or the list said that it leaves.
    """

    name: str
    peer_address: str
    identity: InstanceIdentity | None
    leaving: bool


@dataclass(frozen=True, slots=True)
class DuplicateSeat:
    """Two live incarnations that hold one seat, so that both use its share of each limit."""

    seat: int
    instances: tuple[tuple[str, int], ...]


@dataclass(slots=True)
class _Heard:
    identity: InstanceIdentity
    first_us: int
    last_us: int
    leaving: bool = False


def _rank(heard: _Heard) -> tuple[bool, int, int]:
    return not heard.leaving, heard.last_us, heard.first_us


class MemberTable:
    """Union of the instance list and the peers heard from.

    Incarnations are kept apart, so a late message of an old one cannot replace a newer one
    of the same name.

    :param own: identity of this instance, which is never a member of its own table.
    """

    def __init__(self, own: InstanceIdentity) -> None:
        self._own = own
        self._listed: dict[str, InstanceEntry] = {}
        self._heard: dict[tuple[str, int], _Heard] = {}
        self._reported: dict[frozenset[tuple[str, int]], int] = {}
        self._targets: list[Member] | None = None
        self._now_us = 0

    def record_list(self, entries: Iterable[InstanceEntry], now_us: int) -> None:
        """Take a reading of the platform's instance list.

        :param entries: live and leaving instances according to the list.
        :param now_us: monotonic time in microseconds.
        """
        before = self._listed
        self._listed = {entry.name: entry for entry in entries if entry.name != self._own.name}
        for name, entry in self._listed.items():
            known = before.get(name)
            if entry.leaving and not (known and known.leaving):
                self._mark_leaving(name)
        current = self._find_current()
        for key, heard in list(self._heard.items()):
            kept = key[0] in self._listed and heard is current[key[0]]
            if not kept and now_us - heard.last_us > RETENTION_US:
                del self._heard[key]
        self._now_us = max(self._now_us, now_us)
        self._targets = None

    def record_hello(self, identity: InstanceIdentity, now_us: int) -> DuplicateSeat | None:
        """Take the greeting of a peer.

        :param identity: identity that the peer stated.
        :param now_us: monotonic time in microseconds.
        :returns: a duplicate seat, the first time that this message shows it.
        """
        return self._record(identity, False, now_us)

    def record_gossip(self, gossip: Gossip, now_us: int) -> DuplicateSeat | None:
        """Take identity and leaving mark from a gossip message.

        :param gossip: message of a peer about itself.
        :param now_us: monotonic time in microseconds.
        :returns: a duplicate seat, the first time that this message shows it.
        """
        return self._record(gossip.identity, gossip.leaving, now_us)

    def choose_targets(self, rng: Random, fanout: int) -> list[Member]:
        """Choose random members for one gossip round.

        :param rng: seeded random numbers.
        :param fanout: largest number of members.
        :returns: members without repetition; leaving ones only if there are too few others.
        """
        if self._targets is None:
            self._targets = self._list_members()
        staying = [member for member in self._targets if not member.leaving]
        chosen = rng.sample(staying, min(fanout, len(staying)))
        if len(chosen) < fanout:
            leaving = [member for member in self._targets if member.leaving]
            chosen += rng.sample(leaving, min(fanout - len(chosen), len(leaving)))
        return chosen

    def find(self, instance_name: str, incarnation: int) -> Member | None:
        """Return one incarnation of an instance, if it was heard from.

        :param instance_name: name of the instance.
        :param incarnation: incarnation that is wanted; any other one does not count.
        """
        heard = self._heard.get((instance_name, incarnation))
        return None if heard is None else self._create_member(heard)

    def find_name(self, instance_name: str) -> Member | None:
        """Return the current incarnation of an instance, to answer a message of it.

        :param instance_name: name of the instance.
        """
        known = [
            heard for heard in self._heard.values() if heard.identity.name == instance_name
        ]
        if known:
            return self._create_member(max(known, key=_rank))
        entry = self._listed.get(instance_name)
        if entry is None:
            return None
        return Member(entry.name, entry.peer_address, None, entry.leaving)

    def find_seat(self, seat: int) -> Member | None:
        """Return the other instance that holds a seat.

        :param seat: seat of a lease witness.
        :returns: the incarnation that was heard last, a staying one before a leaving one, or
            ``None`` if none was heard from or the seat is the own one.
        """
        if seat == self._own.seat:
            return None
        holders = [heard for heard in self._heard.values() if heard.identity.seat == seat]
        current = max(holders, key=_rank, default=None)
        return None if current is None else self._create_member(current)

    def describe(self, now_us: int) -> dict[str, Any]:
        """Return members and duplicate seats for the status page.

        :param now_us: monotonic time in microseconds.
        """
        members = []
        current = self._find_current()
        for member in self._list_members():
            heard = current.get(member.name)
            members.append(
                {
                    "name": member.name,
                    "peer_address": member.peer_address,
                    "seat": heard.identity.seat if heard else None,
                    "incarnation": heard.identity.incarnation if heard else None,
                    "listed": member.name in self._listed,
                    "leaving": member.leaving,
                    "silent_us": now_us - heard.last_us if heard else None,
                }
            )
        duplicates = [
            {"seat": seat, "instances": sorted(f"{name}/{number}" for name, number in pair)}
            for pair, last_us in self._reported.items()
            if now_us - last_us <= _DUPLICATE_SHOWN_US
            for seat in [self._get_seat(pair)]
        ]
        return {"members": members, "duplicate_seats": duplicates}

    def _record(
        self, identity: InstanceIdentity, leaving: bool, now_us: int
    ) -> DuplicateSeat | None:
        key = (identity.name, identity.incarnation)
        if key == (self._own.name, self._own.incarnation):
            return None
        self._now_us = max(self._now_us, now_us)
        heard = self._heard.get(key)
        if heard is None:
            if len(self._heard) >= _MAX_MEMBERS:
                oldest = min(self._heard, key=lambda other: self._heard[other].last_us)
                del self._heard[oldest]
            heard = self._heard[key] = _Heard(identity, now_us, now_us)
            self._targets = None
        heard.last_us = max(heard.last_us, now_us)
        if leaving and not heard.leaving:
            heard.leaving = True
            self._targets = None
        return self._detect_duplicate(key, heard, now_us)

    def _detect_duplicate(
        self, key: tuple[str, int], heard: _Heard, now_us: int
    ) -> DuplicateSeat | None:
        seat = heard.identity.seat
        found = None
        if seat == self._own.seat and now_us - heard.first_us > OVERLAP_US:
            found = (self._own.name, self._own.incarnation)
        for other_key, other in self._heard.items():
            if other_key == key or other.identity.seat != seat:
                continue
            newer_us = max(heard.first_us, other.first_us)
            if min(heard.last_us, other.last_us) - newer_us > OVERLAP_US:
                found = other_key
        if found is None:
            return None
        pair = frozenset((key, found))
        new = pair not in self._reported
        self._reported[pair] = now_us
        if len(self._reported) > _MAX_MEMBERS:
            self._reported.pop(next(iter(self._reported)))
        return DuplicateSeat(seat, tuple(sorted(pair))) if new else None

    def _mark_leaving(self, name: str) -> None:
        # The list lags and names no incarnation. Its mark means the oldest incarnation known,
        # because a replacement must not inherit it.
        known = [heard for heard in self._heard.values() if heard.identity.name == name]
        if known:
            min(known, key=lambda heard: heard.first_us).leaving = True

    def _find_current(self) -> dict[str, _Heard]:
        current: dict[str, _Heard] = {}
        for (name, _), heard in self._heard.items():
            if name not in current or _rank(heard) > _rank(current[name]):
                current[name] = heard
        return current

    def _list_members(self) -> list[Member]:
        members = {
            name: self._create_member(heard)
            for name, heard in self._find_current().items()
            if name != self._own.name and not self._is_moved(heard)
        }
        for name, entry in self._listed.items():
            members.setdefault(name, Member(name, entry.peer_address, None, entry.leaving))
        return [members[name] for name in sorted(members)]

    def _is_moved(self, heard: _Heard) -> bool:
        # A replacement may have the name but not the address of the old instance. The list's
        # address is used only after a long silence, because the list lags too.
        entry = self._listed.get(heard.identity.name)
        silent = self._now_us - heard.last_us > RETENTION_US
        return bool(entry) and silent and entry.peer_address != heard.identity.peer_address

    def _get_seat(self, pair: frozenset[tuple[str, int]]) -> int:
        for key in pair:
            if key in self._heard:
                return self._heard[key].identity.seat
        return self._own.seat

    @staticmethod
    def _create_member(heard: _Heard) -> Member:
        identity = heard.identity
        return Member(identity.name, identity.peer_address, identity, heard.leaving)
