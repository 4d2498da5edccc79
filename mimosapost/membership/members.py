"""Members of the fleet, from the platform's instance list and from peer messages."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import NO_SEAT, InstanceIdentity
from mimosapost.model.peer_messages import Gossip, MemberReport

__all__ = ["DuplicateSeat", "Member", "MemberTable"]

# The instance list lags. An instance that it does not show is kept for this time after its last
# message.
MEMBER_RETENTION_US = 60_000_000
# A replaced incarnation sends nothing more, and its messages in transit arrive within this
# time. If both incarnations are heard from this long after the newer one appeared, both run.
MAX_REPLACEMENT_OVERLAP_US = 3_000_000
_DUPLICATE_REPORT_US = 10_000_000
_MAX_MEMBERS = 4_096


@dataclass(frozen=True, slots=True)
class Member:
    """Another instance of the fleet.

    :param name: name of the instance.
    :param peer_address: ``ip:port`` on which the instance accepts peer links.
    :param identity: identity from its own messages, ``None`` if it is known from the instance
        list only.
    :param leaving: whether the instance or the list reported that it is leaving.
    """

    name: str
    peer_address: str
    identity: InstanceIdentity | None
    leaving: bool


@dataclass(frozen=True, slots=True)
class DuplicateSeat:
    """Two live incarnations with the same seat, which both use its share of each limit.

    :param instances: name and incarnation of each.
    """

    seat: int
    instances: tuple[tuple[str, int], ...]


@dataclass(slots=True)
class _PeerRecord:
    identity: InstanceIdentity
    first_heard_us: int
    last_heard_us: int
    leaving: bool = False


def _get_recency(record: _PeerRecord) -> tuple[bool, int, int]:
    return not record.leaving, record.last_heard_us, record.first_heard_us


class MemberTable:
    """Union of the platform's instance list and the peers that sent messages.

    Incarnations are stored separately, so a delayed message of an old incarnation cannot
    replace a newer one of the same name.

    :param own: identity of this instance, which is not a member of its own table.
    """

    def __init__(self, own: InstanceIdentity) -> None:
        self._own = own
        self._listed: dict[str, InstanceEntry] = {}
        self._peers: dict[tuple[str, int], _PeerRecord] = {}
        self._reported_duplicates: dict[frozenset[tuple[str, int]], int] = {}
        self._cached_members: list[Member] | None = None
        self._now_us = 0

    def record_instance_list(self, entries: Iterable[InstanceEntry], now_us: int) -> None:
        """Replace the known instance list, and delete members that are silent and not listed.

        :param entries: live and leaving instances according to the platform.
        :param now_us: monotonic time in microseconds.
        """
        previous = self._listed
        self._listed = {entry.name: entry for entry in entries if entry.name != self._own.name}
        for name, entry in self._listed.items():
            known = previous.get(name)
            if entry.leaving and not (known and known.leaving):
                self._mark_oldest_leaving(name)
        self._cached_members = None
        self.delete_silent(now_us)

    def delete_silent(self, now_us: int) -> None:
        """Delete the members that were not heard from for a minute and are not listed.

        :param now_us: monotonic time in microseconds.
        """
        current = self._find_current_records()
        for key, record in list(self._peers.items()):
            is_current = key[0] in self._listed and record is current[key[0]]
            if not is_current and now_us - record.last_heard_us > MEMBER_RETENTION_US:
                del self._peers[key]
                self._cached_members = None
        self._now_us = max(self._now_us, now_us)

    def record_hello(self, identity: InstanceIdentity, now_us: int) -> DuplicateSeat | None:
        """Record the identity from the ``Hello`` message of a peer.

        :param identity: identity that the peer stated.
        :param now_us: monotonic time in microseconds.
        :returns: a duplicate seat, the first time that this message shows it.
        """
        return self._record_peer(identity, False, now_us)

    def record_gossip(self, gossip: Gossip, now_us: int) -> DuplicateSeat | None:
        """Record the identity and the leaving flag from a gossip message.

        :param gossip: gossip message of a peer.
        :param now_us: monotonic time in microseconds.
        :returns: a duplicate seat, the first time that this message shows it.
        """
        return self._record_peer(gossip.identity, gossip.leaving, now_us)

    def record_report(self, report: MemberReport, now_us: int) -> None:
        """Record what a peer reported of another instance.

        :param report: report from a gossip message.
        :param now_us: monotonic time in microseconds.
        """
        if report.silent_us > MEMBER_RETENTION_US:
            return
        heard_us = now_us - report.silent_us
        self._record_peer(report.identity, report.leaving, now_us, heard_us)

    def list_heard(self, since_us: int) -> set[str]:
        """Return the names of the instances that sent a message since a time.

        :param since_us: monotonic time in microseconds; messages to other members count, too.
        """
        return {
            name
            for (name, _), record in self._peers.items()
            if record.last_heard_us >= since_us
        }

    def choose_reports(self, rng: Random, limit: int, now_us: int) -> tuple[MemberReport, ...]:
        """Choose random members to report to a peer.

        :param rng: seeded random numbers.
        :param limit: largest number of reports.
        :param now_us: monotonic time in microseconds.
        """
        records = list(self._find_current_records().values())
        chosen = rng.sample(records, min(limit, len(records)))
        return tuple(self._create_report(record, now_us) for record in chosen)

    def create_report(self, instance_name: str, now_us: int) -> MemberReport | None:
        """Create a report on one member, or return ``None`` if it never sent a message."""
        record = self._find_current_records().get(instance_name)
        return None if record is None else self._create_report(record, now_us)

    def list_members(self) -> list[Member]:
        """Return all members, ordered by name."""
        if self._cached_members is None:
            self._cached_members = self._list_members()
        return self._cached_members

    def choose_targets(self, rng: Random, fanout: int) -> list[Member]:
        """Choose random members for one gossip round.

        :param rng: seeded random numbers.
        :param fanout: largest number of members.
        :returns: distinct members; leaving ones are included only if there are too few others.
        """
        members = self.list_members()
        staying = [member for member in members if not member.leaving]
        chosen = rng.sample(staying, min(fanout, len(staying)))
        if len(chosen) < fanout:
            leaving = [member for member in members if member.leaving]
            chosen += rng.sample(leaving, min(fanout - len(chosen), len(leaving)))
        return chosen

    def find_incarnation(self, instance_name: str, incarnation: int) -> Member | None:
        """Return one incarnation of an instance, or ``None`` if it never sent a message.

        :param instance_name: name of the instance.
        :param incarnation: incarnation to find; other incarnations of the name are ignored.
        """
        record = self._peers.get((instance_name, incarnation))
        return None if record is None else self._create_member(record)

    def find_by_name(self, instance_name: str) -> Member | None:
        """Return the current incarnation of an instance, or its list entry if none was heard.

        :param instance_name: name of the instance.
        :returns: the member, or ``None`` if the name is unknown.
        """
        known = [
            record for record in self._peers.values() if record.identity.name == instance_name
        ]
        if known:
            return self._create_member(max(known, key=_get_recency))
        entry = self._listed.get(instance_name)
        if entry is None:
            return None
        return Member(entry.name, entry.peer_address, None, entry.leaving)

    def find_by_seat(self, seat: int) -> Member | None:
        """Return the current member that holds a seat.

        :param seat: seat of a lease witness.
        :returns: the incarnation that sent the latest message, preferring those that are not
            leaving; ``None`` if no holder sent a message or the seat is that of this instance.
        """
        if seat == self._own.seat:
            return None
        holders = [record for record in self._peers.values() if record.identity.seat == seat]
        current = max(holders, key=_get_recency, default=None)
        return None if current is None else self._create_member(current)

    def describe(self, now_us: int) -> dict[str, Any]:
        """Return members and duplicate seats for the status page.

        :param now_us: monotonic time in microseconds.
        """
        members = []
        current = self._find_current_records()
        for member in self._list_members():
            record = current.get(member.name)
            members.append(
                {
                    "name": member.name,
                    "peer_address": member.peer_address,
                    "seat": record.identity.seat if record else None,
                    "incarnation": record.identity.incarnation if record else None,
                    "listed": member.name in self._listed,
                    "leaving": member.leaving,
                    "silent_us": now_us - record.last_heard_us if record else None,
                }
            )
        duplicates = [
            {"seat": seat, "instances": sorted(f"{name}/{number}" for name, number in pair)}
            for pair, last_seen_us in self._reported_duplicates.items()
            if now_us - last_seen_us <= _DUPLICATE_REPORT_US
            for seat in [self._get_shared_seat(pair)]
        ]
        return {"members": members, "duplicate_seats": duplicates}

    def _record_peer(
        self,
        identity: InstanceIdentity,
        leaving: bool,
        now_us: int,
        heard_us: int | None = None,
    ) -> DuplicateSeat | None:
        key = (identity.name, identity.incarnation)
        if key == (self._own.name, self._own.incarnation):
            return None
        self._now_us = max(self._now_us, now_us)
        heard_us = now_us if heard_us is None else heard_us
        record = self._peers.get(key)
        if record is None:
            if len(self._peers) >= _MAX_MEMBERS:
                oldest = min(self._peers, key=lambda other: self._peers[other].last_heard_us)
                del self._peers[oldest]
            record = self._peers[key] = _PeerRecord(identity, heard_us, heard_us)
            self._cached_members = None
        record.last_heard_us = max(record.last_heard_us, heard_us)
        if leaving and not record.leaving:
            record.leaving = True
            self._cached_members = None
        return self._detect_duplicate_seat(key, record, now_us)

    def _detect_duplicate_seat(
        self, key: tuple[str, int], record: _PeerRecord, now_us: int
    ) -> DuplicateSeat | None:
        seat = record.identity.seat
        if seat == NO_SEAT:
            return None
        other_holder = None
        if (
            seat == self._own.seat
            and now_us - record.first_heard_us > MAX_REPLACEMENT_OVERLAP_US
        ):
            other_holder = (self._own.name, self._own.incarnation)
        for other_key, other in self._peers.items():
            if other_key == key or other.identity.seat != seat:
                continue
            newer_us = max(record.first_heard_us, other.first_heard_us)
            if (
                min(record.last_heard_us, other.last_heard_us) - newer_us
                > MAX_REPLACEMENT_OVERLAP_US
            ):
                other_holder = other_key
        if other_holder is None:
            return None
        pair = frozenset((key, other_holder))
        is_new = pair not in self._reported_duplicates
        self._reported_duplicates[pair] = now_us
        if len(self._reported_duplicates) > _MAX_MEMBERS:
            self._reported_duplicates.pop(next(iter(self._reported_duplicates)))
        return DuplicateSeat(seat, tuple(sorted(pair))) if is_new else None

    def _mark_oldest_leaving(self, name: str) -> None:
        # The list lags and contains no incarnations. Its leaving flag is applied to the oldest
        # known incarnation, because a replacement must not inherit it.
        known = [record for record in self._peers.values() if record.identity.name == name]
        if known:
            min(known, key=lambda record: record.first_heard_us).leaving = True

    def _find_current_records(self) -> dict[str, _PeerRecord]:
        current: dict[str, _PeerRecord] = {}
        for (name, _), record in self._peers.items():
            if name not in current or _get_recency(record) > _get_recency(current[name]):
                current[name] = record
        return current

    def _list_members(self) -> list[Member]:
        members = {
            name: self._create_member(record)
            for name, record in self._find_current_records().items()
            if name != self._own.name and not self._has_moved(record)
        }
        for name, entry in self._listed.items():
            members.setdefault(name, Member(name, entry.peer_address, None, entry.leaving))
        return [members[name] for name in sorted(members)]

    def _has_moved(self, record: _PeerRecord) -> bool:
        # A replacement may have the name but not the address of the old instance. The address
        # in the list is preferred only after a long silence, because the list lags too.
        entry = self._listed.get(record.identity.name)
        silent = self._now_us - record.last_heard_us > MEMBER_RETENTION_US
        return bool(entry) and silent and entry.peer_address != record.identity.peer_address

    def _get_shared_seat(self, pair: frozenset[tuple[str, int]]) -> int:
        for key in pair:
            if key in self._peers:
                return self._peers[key].identity.seat
        return self._own.seat

    @staticmethod
    def _create_report(record: _PeerRecord, now_us: int) -> MemberReport:
        silent_us = max(0, now_us - record.last_heard_us)
        return MemberReport(record.identity, record.leaving, silent_us)

    @staticmethod
    def _create_member(record: _PeerRecord) -> Member:
        identity = record.identity
        return Member(identity.name, identity.peer_address, identity, record.leaving)
