"""Quorum leases on the shares of a limit.

Each seat owns a share of every limit. A share has a fixed part, which only its owner uses, and
a leased part. The owner uses the leased part while a majority of the witnesses of its group
acknowledges its heartbeats. The other members of the group use it while a majority of the
witnesses reports the owner as lapsed, i.e. as not having sent heartbeats for too long.
"""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from mimosapost.limits.shares import compute_share
from mimosapost.model.peer_messages import Heartbeat, HeartbeatAnswer

__all__ = ["LeaseStatus", "LeaseTable", "choose_group"]

# Up to this number of seats, all seats form one group and all are its witnesses.
_MAX_SINGLE_GROUP_SEATS = 7
_WITNESSES_PER_GROUP = 5
# Waits are prolonged by this percentage, because the clock rates of two instances may differ by
# up to 5 %. The margin also covers rounding.
_CLOCK_MARGIN_PERCENT = 5
# Limit of each of the two caches of computed shares; this many entries take about 8 MB. The
# largest planned deployment needs 13,800 entries: it has that many slots, each with one current
# limit.
_MAX_CACHE_ENTRIES = 32_768
_NEVER = -(2**62)
_NOTHING_REUSABLE: dict[int, int] = {}


@dataclass(frozen=True, slots=True)
class LeaseStatus:
    """State of a lease table for a status page; all durations in microseconds.

    :param witnesses: seats that decide on the leases of this instance's group.
    :param majority: number of witnesses that must agree.
    :param usable_in_us: time until this instance has an allowance, 0 once the wait after its
        start is over.
    :param answers_in_us: time until this instance, as a witness, acknowledges heartbeats and
        reports lapsed seats, 0 once the wait after its start is over.
    :param acknowledged_by: witnesses whose acknowledgement is valid now.
    :param lease_left_us: time for which this instance may still use the leased part of its own
        share, 0 without a valid lease.
    :param lapsed: seats that this instance would report as lapsed.
    :param withheld: seats whose heartbeats this instance does not acknowledge, because it
        recently reported them as lapsed.
    :param reused: lapsed seats whose leased part this instance uses in part.
    :param seat_conflicts: heartbeats received from another incarnation of the own seat.
    """

    seat: int
    incarnation: int
    witnesses: tuple[int, ...]
    majority: int
    usable_in_us: int
    answers_in_us: int
    acknowledged_by: tuple[int, ...]
    lease_left_us: int
    lapsed: tuple[int, ...]
    withheld: tuple[int, ...]
    reused: tuple[int, ...]
    seat_conflicts: int


@dataclass(slots=True)
class _OwnerState:
    """What a witness has recorded of another seat of its group; monotonic times."""

    last_heartbeat_us: int
    incarnation: int = 0
    last_acknowledged_us: int = _NEVER
    last_reported_lapsed_us: int = _NEVER


def choose_group(seat: int, ceiling: int) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the group of a seat and the witnesses of that group.

    The members of a group use the leased part of a member that has lapsed.

    :param seat: seat from 0 to ``ceiling - 1``.
    :param ceiling: number of seats.
    :returns: members of the group, including ``seat``, and the witnesses of all members.

    >>> choose_group(1, 3)
    ((0, 1, 2), (0, 1, 2))
    >>> [len(part) for part in choose_group(17, 690)]
    [5, 5]

    Notes
    -----
    With up to 7 seats, all seats form one group and all are witnesses. With more seats, they
    are ordered by a hash and divided into groups of 5 to 9 members, and the first 5 members of
    a group are its witnesses. Because all members have the same witnesses, an instance learns
    of lapsed members from the answers to its own heartbeats. Messages and state for each
    instance therefore do not grow with ``ceiling``.
    """
    if ceiling <= _MAX_SINGLE_GROUP_SEATS:
        seats = tuple(range(ceiling))
        return seats, seats
    order = sorted(range(ceiling), key=lambda other: xxh3_64_intdigest(b"seat %d" % other))
    groups = ceiling // _WITNESSES_PER_GROUP
    members = tuple(order[order.index(seat) % groups :: groups])
    return members, members[:_WITNESSES_PER_GROUP]


class LeaseTable:
    """Allowances of one instance for each limit, and its answers to heartbeats as a witness.

    :param seat: own seat from 0 to ``ceiling - 1``.
    :param incarnation: random number that identifies this run of the process.
    :param ceiling: number of seats, equal on all instances.
    :param started_us: monotonic start time in microseconds.
    :param lease_us: time for which an acknowledged heartbeat is valid, in microseconds.
    :param max_deadline_us: longest time that any send may be in flight, in microseconds,
        equal on all instances.
    :param leased_fraction: part of each share that is leased, from 0 to below 1.
    :raises ValueError: if a parameter is out of range.

    >>> table = LeaseTable(0, 7, 1, 0, 1_000_000, 2_000_000)
    >>> table.get_allowance(10, "10.0.0.1:80", 0)
    0
    >>> table.get_allowance(10, "10.0.0.1:80", 2_100_000)
    5

    Notes
    -----
    Any majority of acknowledgements and any majority of reports have a witness in common.
    Between its last acknowledgement and its first report, and between its last report and its
    next acknowledgement, that witness waits for the lease, the longest deadline and a margin.
    Requests that the owner and others send under the same leased part therefore never overlap.
    A witness also waits this long after its start, because its predecessor on the same seat
    may have acknowledged or reported shortly before.

    A new incarnation has no allowance until the requests of its predecessor on the same seat
    have passed their deadline. See C. Gray and D. Cheriton, "Leases: an efficient
    fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.
    """

    def __init__(
        self,
        seat: int,
        incarnation: int,
        ceiling: int,
        started_us: int,
        lease_us: int,
        max_deadline_us: int,
        *,
        leased_fraction: float = 0.5,
    ) -> None:
        if not 0 <= seat < ceiling or not 0 <= leased_fraction < 1:
            raise ValueError(
                f"seat {seat}, leased_fraction {leased_fraction}: "
                f"expected 0 <= seat < {ceiling} and 0 <= leased_fraction < 1"
            )
        if lease_us <= 0 or max_deadline_us <= 0:
            raise ValueError(
                f"lease_us {lease_us}, max_deadline_us {max_deadline_us}: expected both above 0"
            )
        self.seat = seat
        self.incarnation = incarnation
        self._ceiling = ceiling
        self._lease_us = lease_us
        self._leased_fraction = leased_fraction
        self._members, self._witnesses = choose_group(seat, ceiling)
        self._majority = len(self._witnesses) // 2 + 1
        self._is_witness = seat in self._witnesses
        self._handover_wait_us = _add_margin(lease_us + max_deadline_us)
        self._answers_from_us = started_us + self._handover_wait_us
        self._usable_from_us = started_us + _add_margin(max_deadline_us)
        self._owners = {
            other: _OwnerState(last_heartbeat_us=started_us)
            for other in self._members
            if other != seat
        }
        self._heartbeat_number = 0
        self._sent_times_us: dict[int, int] = {}
        self._ack_times_us: dict[int, int] = {}
        self._report_times_us: dict[int, dict[int, int]] = {}
        self._lease_until_us = _NEVER
        self._reuse_until_us: dict[int, int] = {}
        self._split_cache: dict[tuple[int, str], tuple[int, int]] = {}
        self._reusable_cache: dict[tuple[int, str], dict[int, int]] = {}
        self._seat_conflicts = 0

    def list_other_witnesses(self) -> tuple[int, ...]:
        """Return the witnesses that get heartbeats of this instance, without its own seat."""
        return tuple(other for other in self._witnesses if other != self.seat)

    def create_heartbeat(self, now_us: int) -> Heartbeat:
        """Create the next heartbeat, one message for all witnesses.

        :param now_us: monotonic time in microseconds, read before the message is sent.
        :returns: message to send to the seats that :meth:`list_other_witnesses` returns.
        """
        self._heartbeat_number += 1
        expired_us = now_us - self._lease_us
        self._sent_times_us = {
            n: sent for n, sent in self._sent_times_us.items() if sent > expired_us
        }
        self._sent_times_us[self._heartbeat_number] = now_us
        self._reuse_until_us = {
            other: until for other, until in self._reuse_until_us.items() if until > now_us
        }
        if self._is_witness and now_us >= self._answers_from_us:
            self._record_witness_answer(self.seat, now_us, True, self._report_lapsed(now_us))
        return Heartbeat(self.seat, self.incarnation, self._heartbeat_number)

    def answer_heartbeat(self, heartbeat: Heartbeat, now_us: int) -> HeartbeatAnswer:
        """Answer a heartbeat as a witness.

        :param heartbeat: message of another instance.
        :param now_us: monotonic time in microseconds.
        :returns: answer to the sender of the heartbeat.
        """
        acknowledged, lapsed = False, ()
        owner = self._owners.get(heartbeat.seat)
        if heartbeat.seat == self.seat and heartbeat.incarnation != self.incarnation:
            self._seat_conflicts += 1
        if owner is not None and self._is_witness:
            owner.last_heartbeat_us = now_us
            if now_us >= self._answers_from_us:
                acknowledged = self._acknowledge(owner, heartbeat.incarnation, now_us)
                lapsed = self._report_lapsed(now_us)
        return HeartbeatAnswer(
            self.seat,
            self.incarnation,
            heartbeat.seat,
            heartbeat.incarnation,
            heartbeat.number,
            acknowledged,
            lapsed,
        )

    def record_answer(self, answer: HeartbeatAnswer, now_us: int) -> None:
        """Record the answer of a witness.

        Ignores answers that are addressed to another seat or incarnation, that come from a
        seat that is no witness, and those whose heartbeat is older than the lease or unknown.

        :param answer: answer to a heartbeat of this instance.
        :param now_us: monotonic time in microseconds.
        """
        sent_us = self._sent_times_us.get(answer.number)
        if (
            (answer.seat, answer.incarnation) != (self.seat, self.incarnation)
            or answer.witness_seat not in self._witnesses
            or answer.witness_seat == self.seat
            or sent_us is None
            or sent_us + self._lease_us <= now_us
        ):
            return
        self._record_witness_answer(
            answer.witness_seat, sent_us, answer.acknowledged, answer.lapsed
        )

    def get_allowance(self, limit: int, key: str, now_us: int) -> int:
        """Return the part of a limit that this instance may use now.

        :param limit: limit of the whole deployment.
        :param key: name of the limited resource.
        :param now_us: monotonic time in microseconds, read at the moment of sending.
        :returns: largest number of requests in flight from this instance.

        Notes
        -----
        For one key, the allowances of all instances, and the requests that are still in flight
        under earlier allowances, never sum to more than the largest ``limit`` that any
        instance passes.
        """
        if now_us < self._usable_from_us:
            return 0
        fixed, leased = self._split_cache.get((limit, key)) or self._cache_split(limit, key)
        if now_us < self._lease_until_us:
            fixed += leased
        if self._reuse_until_us:
            reusable = self._reusable_cache.get((limit, key))
            if reusable is None:
                reusable = self._cache_reusable(limit, key)
            for other, until_us in self._reuse_until_us.items():
                if now_us < until_us:
                    fixed += reusable.get(other, 0)
        return fixed

    def describe(self, now_us: int) -> LeaseStatus:
        """Return the state for a status page.

        :param now_us: monotonic time in microseconds.
        """
        valid_from_us = now_us - self._lease_us
        answering = self._is_witness and now_us >= self._answers_from_us
        owners = sorted(self._owners.items()) if answering else []
        return LeaseStatus(
            seat=self.seat,
            incarnation=self.incarnation,
            witnesses=self._witnesses,
            majority=self._majority,
            usable_in_us=max(0, self._usable_from_us - now_us),
            answers_in_us=max(0, self._answers_from_us - now_us),
            acknowledged_by=tuple(
                sorted(s for s, sent in self._ack_times_us.items() if sent > valid_from_us)
            ),
            lease_left_us=max(0, self._lease_until_us - now_us),
            lapsed=tuple(s for s, owner in owners if self._is_lapsed(owner, now_us)),
            withheld=tuple(
                s
                for s, owner in owners
                if now_us < owner.last_reported_lapsed_us + self._handover_wait_us
            ),
            reused=tuple(
                sorted(s for s, until in self._reuse_until_us.items() if now_us < until)
            ),
            seat_conflicts=self._seat_conflicts,
        )

    def _acknowledge(self, owner: _OwnerState, incarnation: int, now_us: int) -> bool:
        if now_us < owner.last_reported_lapsed_us + self._handover_wait_us:
            return False
        if (
            owner.incarnation != incarnation
            and now_us < owner.last_acknowledged_us + self._handover_wait_us
        ):
            return False
        owner.incarnation = incarnation
        owner.last_acknowledged_us = now_us
        return True

    def _is_lapsed(self, owner: _OwnerState, now_us: int) -> bool:
        # The time counts from the last heartbeat received, acknowledged or not. If only
        # acknowledged ones counted, a seat that resumes its heartbeats would be reported as
        # lapsed again and again, and so never be acknowledged.
        return now_us >= owner.last_heartbeat_us + self._handover_wait_us

    def _report_lapsed(self, now_us: int) -> tuple[int, ...]:
        lapsed = []
        for seat, owner in self._owners.items():
            if self._is_lapsed(owner, now_us):
                owner.last_reported_lapsed_us = now_us
                lapsed.append(seat)
        return tuple(lapsed)

    def _record_witness_answer(
        self, witness: int, sent_us: int, acknowledged: bool, lapsed: tuple[int, ...]
    ) -> None:
        if acknowledged:
            self._update_latest(self._ack_times_us, witness, sent_us)
            self._lease_until_us = self._compute_quorum_expiry(self._ack_times_us)
        for seat in lapsed:
            if seat in self._owners:
                reports = self._report_times_us.setdefault(seat, {})
                self._update_latest(reports, witness, sent_us)
                until_us = self._compute_quorum_expiry(reports)
                if until_us != _NEVER:
                    self._reuse_until_us[seat] = until_us

    @staticmethod
    def _update_latest(times: dict[int, int], witness: int, sent_us: int) -> None:
        # Answers may arrive in another order than the heartbeats were sent.
        times[witness] = max(sent_us, times.get(witness, _NEVER))

    def _compute_quorum_expiry(self, times: dict[int, int]) -> int:
        if len(times) < self._majority:
            return _NEVER
        return sorted(times.values(), reverse=True)[self._majority - 1] + self._lease_us

    def _split_share(self, limit: int, seat: int, key: str) -> tuple[int, int]:
        share = compute_share(limit, seat, self._ceiling, key)
        leased = int(share * self._leased_fraction)
        return share - leased, leased

    def _cache_split(self, limit: int, key: str) -> tuple[int, int]:
        if len(self._split_cache) >= _MAX_CACHE_ENTRIES:
            self._split_cache.clear()
        shares = self._split_share(limit, self.seat, key)
        self._split_cache[limit, key] = shares
        return shares

    def _cache_reusable(self, limit: int, key: str) -> dict[int, int]:
        """Compute and cache this instance's share of the leased part of each other member."""
        if len(self._reusable_cache) >= _MAX_CACHE_ENTRIES:
            self._reusable_cache.clear()
        reusable = {}
        for other in self._owners:
            _, leased = self._split_share(limit, other, key)
            if leased:
                recipients = [member for member in self._members if member != other]
                position = recipients.index(self.seat)
                reusable[other] = compute_share(
                    leased, position, len(recipients), f"{key} {other}"
                )
        # In a large deployment most shares are too small to have a leased part. Their keys
        # refer to one empty dict.
        self._reusable_cache[limit, key] = reusable = reusable or _NOTHING_REUSABLE
        return reusable


def _add_margin(duration_us: int) -> int:
    return -(-duration_us * (100 + _CLOCK_MARGIN_PERCENT) // 100)
