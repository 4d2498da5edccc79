"""Quorum leases on the shares of a limit.

Each seat owns a share of every limit. One part of it is fixed. The other part is leased: the
owner uses it while a majority of its witnesses acknowledges its heartbeats, and the other
members of its group use it while a majority reports the owner as lapsed.
"""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from mimosapost.limits.shares import compute_share
from mimosapost.model.messages import Heartbeat, HeartbeatAnswer

__all__ = ["LeaseStatus", "LeaseTable", "choose_group"]

_ALL_SEATS = 7
_WITNESSES = 5
# Clock rates of two instances may differ by this part; it also covers rounding.
_MARGIN_PERCENT = 5
# About 8 MB; the largest planned deployment has 13,800 slots at one current limit each.
_CACHE_ENTRIES = 32_768
_NEVER = -(2**62)
_NO_PARTS: dict[int, int] = {}


@dataclass(frozen=True, slots=True)
class LeaseStatus:
    """State of a lease table for a status page; all durations in microseconds.

    :param witnesses: seats that decide on the leases of this instance's group.
    :param majority: number of witnesses that must agree.
    :param usable_in_us: time until any allowance is given, 0 after the wait at start.
    :param answers_in_us: time until this instance acknowledges and reports, 0 after it.
    :param acknowledged_by: witnesses whose acknowledgement is valid now.
    :param lease_left_us: time for which the own leased part may still be used, 0 for none.
    :param lapsed: seats that this instance would report as lapsed.
    :param withheld: seats that get no acknowledgement, because they were reported as lapsed.
    :param reused: seats of whose leased part this instance uses a share.
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
class _Owner:
    """What this instance, as a witness, knows of a seat."""

    heard_us: int
    incarnation: int = 0
    acknowledged_us: int = _NEVER
    reported_us: int = _NEVER


def choose_group(seat: int, ceiling: int) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the seats that share lapsed leases with a seat, and the group's witnesses.

    :param seat: seat from 0 to ``ceiling - 1``.
    :param ceiling: number of seats.
    :returns: members of the group, itself included, and witnesses common to all members.

    >>> choose_group(1, 3)
    ((0, 1, 2), (0, 1, 2))
    >>> [len(part) for part in choose_group(17, 690)]
    [5, 5]

    Notes
    -----
    Above 7 seats a group has 5 to 9 members in the order of a hash of the seat, and its first
    5 members are the witnesses. Witnesses common to a group let an instance learn of lapsed
    neighbours from the answers to its own heartbeats, so that messages and state for each
    instance do not grow with ``ceiling``.
    """
    if ceiling <= _ALL_SEATS:
        seats = tuple(range(ceiling))
        return seats, seats
    order = sorted(range(ceiling), key=lambda other: xxh3_64_intdigest(b"seat %d" % other))
    groups = ceiling // _WITNESSES
    members = tuple(order[order.index(seat) % groups :: groups])
    return members, members[:_WITNESSES]


class LeaseTable:
    """Allowances of one instance, and its answers as a witness.

    :param seat: own seat from 0 to ``ceiling - 1``.
    :param incarnation: random number of this run of the process.
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
    That witness waits for the lease, the longest deadline and a margin between its last
    acknowledgement and its first report, and again between its last report and its next
    acknowledgement. Leased work of the owner and of others therefore never overlaps. A new
    witness waits as long after its start, because its predecessor may have answered.

    A new incarnation gives no allowance before work of its predecessor has passed its
    deadline. See C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
    distributed file cache consistency", SOSP 1989.
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
            raise ValueError(f"seat {seat} of {ceiling}, leased_fraction {leased_fraction}")
        if lease_us <= 0 or max_deadline_us <= 0:
            raise ValueError(f"lease_us {lease_us}, max_deadline_us {max_deadline_us}")
        self.seat = seat
        self.incarnation = incarnation
        self._ceiling = ceiling
        self._lease_us = lease_us
        self._leased_fraction = leased_fraction
        self._members, self._witnesses = choose_group(seat, ceiling)
        self._majority = len(self._witnesses) // 2 + 1
        self._is_witness = seat in self._witnesses
        self._wait_us = _add_margin(lease_us + max_deadline_us)
        self._answers_from_us = started_us + self._wait_us
        self._usable_from_us = started_us + _add_margin(max_deadline_us)
        self._owners = {
            other: _Owner(heard_us=started_us) for other in self._members if other != seat
        }
        self._number = 0
        self._sent: dict[int, int] = {}
        self._acknowledged: dict[int, int] = {}
        self._reported: dict[int, dict[int, int]] = {}
        self._lease_until_us = _NEVER
        self._reuse_until_us: dict[int, int] = {}
        self._shares: dict[tuple[int, str], tuple[int, int]] = {}
        self._parts: dict[tuple[int, str], dict[int, int]] = {}
        self._seat_conflicts = 0

    def choose_witnesses(self) -> tuple[int, ...]:
        """Return the seats to which heartbeats go, without the own seat."""
        return tuple(other for other in self._witnesses if other != self.seat)

    def create_heartbeat(self, now_us: int) -> Heartbeat:
        """Create the next heartbeat; the same message goes to each witness.

        :param now_us: monotonic time in microseconds, read before the message is sent.
        :returns: message for the seats of :meth:`choose_witnesses`.
        """
        self._number += 1
        expired_us = now_us - self._lease_us
        self._sent = {n: sent for n, sent in self._sent.items() if sent > expired_us}
        self._sent[self._number] = now_us
        self._reuse_until_us = {
            other: until for other, until in self._reuse_until_us.items() if until > now_us
        }
        if self._is_witness and now_us >= self._answers_from_us:
            self._record(self.seat, now_us, True, self._report_lapsed(now_us))
        return Heartbeat(self.seat, self.incarnation, self._number)

    def answer_heartbeat(self, heartbeat: Heartbeat, now_us: int) -> HeartbeatAnswer:
        """Answer a heartbeat as a witness.

        :param heartbeat: message of another instance.
        :param now_us: monotonic time in microseconds.
        :returns: answer for its sender.
        """
        acknowledged, lapsed = False, ()
        owner = self._owners.get(heartbeat.seat)
        if heartbeat.seat == self.seat and heartbeat.incarnation != self.incarnation:
            self._seat_conflicts += 1
        if owner is not None and self._is_witness:
            owner.heard_us = now_us
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
        """Record the answer of a witness; crossed, late and unknown answers are ignored.

        :param answer: answer to a heartbeat of this instance.
        :param now_us: monotonic time in microseconds.
        """
        sent_us = self._sent.get(answer.number)
        if (
            (answer.seat, answer.incarnation) != (self.seat, self.incarnation)
            or answer.witness_seat not in self._witnesses
            or answer.witness_seat == self.seat
            or sent_us is None
            or sent_us + self._lease_us <= now_us
        ):
            return
        self._record(answer.witness_seat, sent_us, answer.acknowledged, answer.lapsed)

    def get_allowance(self, limit: int, key: str, now_us: int) -> int:
        """Return how much of a limit this instance may use now.

        :param limit: limit of the whole deployment.
        :param key: name of the limited resource.
        :param now_us: monotonic time in microseconds, read at the moment of sending.
        :returns: largest number of requests in flight from this instance.

        Notes
        -----
        For one key the allowances of all instances, and requests in flight from earlier
        allowances, never sum above the largest limit that any of them passes.
        """
        if now_us < self._usable_from_us:
            return 0
        fixed, leased = self._shares.get((limit, key)) or self._add_shares(limit, key)
        if now_us < self._lease_until_us:
            fixed += leased
        if self._reuse_until_us:
            parts = self._parts.get((limit, key))
            if parts is None:
                parts = self._add_parts(limit, key)
            for other, until_us in self._reuse_until_us.items():
                if now_us < until_us:
                    fixed += parts.get(other, 0)
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
                sorted(s for s, sent in self._acknowledged.items() if sent > valid_from_us)
            ),
            lease_left_us=max(0, self._lease_until_us - now_us),
            lapsed=tuple(s for s, owner in owners if self._is_lapsed(owner, now_us)),
            withheld=tuple(
                s for s, owner in owners if now_us < owner.reported_us + self._wait_us
            ),
            reused=tuple(
                sorted(s for s, until in self._reuse_until_us.items() if now_us < until)
            ),
            seat_conflicts=self._seat_conflicts,
        )

    def _acknowledge(self, owner: _Owner, incarnation: int, now_us: int) -> bool:
        if now_us < owner.reported_us + self._wait_us:
            return False
        if owner.incarnation != incarnation and now_us < owner.acknowledged_us + self._wait_us:
            return False
        owner.incarnation = incarnation
        owner.acknowledged_us = now_us
        return True

    def _is_lapsed(self, owner: _Owner, now_us: int) -> bool:
        # Counts from the last heartbeat received, acknowledged or not. Otherwise a seat that
        # came back would be reported again and again and never be acknowledged.
        return now_us >= owner.heard_us + self._wait_us

    def _report_lapsed(self, now_us: int) -> tuple[int, ...]:
        lapsed = []
        for seat, owner in self._owners.items():
            if self._is_lapsed(owner, now_us):
                owner.reported_us = now_us
                lapsed.append(seat)
        return tuple(lapsed)

    def _record(
        self, witness: int, sent_us: int, acknowledged: bool, lapsed: tuple[int, ...]
    ) -> None:
        if acknowledged:
            self._keep_latest(self._acknowledged, witness, sent_us)
            self._lease_until_us = self._compute_until(self._acknowledged)
        for seat in lapsed:
            if seat in self._owners:
                reports = self._reported.setdefault(seat, {})
                self._keep_latest(reports, witness, sent_us)
                until_us = self._compute_until(reports)
                if until_us != _NEVER:
                    self._reuse_until_us[seat] = until_us

    @staticmethod
    def _keep_latest(times: dict[int, int], witness: int, sent_us: int) -> None:
        # Answers may arrive in another order than the heartbeats were sent.
        times[witness] = max(sent_us, times.get(witness, _NEVER))

    def _compute_until(self, times: dict[int, int]) -> int:
        if len(times) < self._majority:
            return _NEVER
        return sorted(times.values(), reverse=True)[self._majority - 1] + self._lease_us

    def _split(self, limit: int, seat: int, key: str) -> tuple[int, int]:
        share = compute_share(limit, seat, self._ceiling, key)
        leased = int(share * self._leased_fraction)
        return share - leased, leased

    def _add_shares(self, limit: int, key: str) -> tuple[int, int]:
        if len(self._shares) >= _CACHE_ENTRIES:
            self._shares.clear()
        shares = self._split(limit, self.seat, key)
        self._shares[limit, key] = shares
        return shares

    def _add_parts(self, limit: int, key: str) -> dict[int, int]:
        """Compute the own share of the leased part of each other member, where there is one."""
        if len(self._parts) >= _CACHE_ENTRIES:
            self._parts.clear()
        parts = {}
        for other in self._owners:
            _, leased = self._split(limit, other, key)
            if leased:
                heirs = [member for member in self._members if member != other]
                position = heirs.index(self.seat)
                parts[other] = compute_share(leased, position, len(heirs), f"{key} {other}")
        # Most limits of a large deployment leave no leased part; these keys share one value.
        self._parts[limit, key] = parts = parts or _NO_PARTS
        return parts


def _add_margin(duration_us: int) -> int:
    return -(-duration_us * (100 + _MARGIN_PERCENT) // 100)
