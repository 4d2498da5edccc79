"""Tickets for the at-most-once execution of non-idempotent requests.

A non-idempotent request runs only on the instance incarnation that issued its ticket. Only the
memory of that one process decides whether the request may run, so neither a network partition
nor a pause of the process can lead to two processes that both decide.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

import msgspec

from mimosapost.model.codes import ResultCode
from mimosapost.model.queries import Answer

__all__ = ["Ticket", "TicketDecision", "TicketState", "TicketStore", "parse_ticket"]

_SEPARATOR = "~"
_MAC_BYTES = 16
MAX_TICKET_CHARACTERS = 256


class TicketState(Enum):
    """Result of checking the ticket of a request.

    ``BEGAN`` lets the request run. ``RUNNING`` and ``FINISHED`` mean that the same request used
    the ticket before, ``REUSED`` that another request did. ``FOREIGN`` is a ticket of another
    incarnation, and ``FULL`` means that the table or the share of the caller is full.
    """

    BEGAN = "began"
    RUNNING = "running"
    FINISHED = "finished"
    FOREIGN = "foreign"
    EXPIRED = "expired"
    INVALID = "invalid"
    REUSED = "reused"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Represent a parsed ticket, whose authenticity is not checked yet.

    :param issuer: name of the issuing instance.
    :param incarnation: incarnation of the issuer.
    :param number: number of the ticket within that incarnation.
    :param expires_us: expiry on the issuer's monotonic clock, in microseconds.
    :param mac: message authentication code over the number, the expiry and the caller, keyed
        with the secret of the incarnation.
    """

    issuer: str
    incarnation: int
    number: int
    expires_us: int
    mac: str


@dataclass(frozen=True, slots=True)
class TicketDecision:
    """Result of checking a ticket.

    :param state: whether the request may run, and if not, why.
    :param number: number of the ticket, if this incarnation issued it and it was used.
    :param answer: stored answer, if the request of the ticket has finished.
    :param issuer: name of the issuing instance, for a ticket of another incarnation.
    :param incarnation: incarnation of that issuer.
    """

    state: TicketState
    number: int = 0
    answer: Answer | None = None
    issuer: str = ""
    incarnation: int = 0


def parse_ticket(text: str) -> Ticket | None:
    """Parse a ticket without checking its authenticity.

    :param text: ticket as the caller sent it.
    :returns: the ticket, or ``None`` if it is malformed.

    >>> parse_ticket("front-1~00000000000000ff~7~900~ab").number
    7
    >>> parse_ticket("nonsense") is None
    True
    """
    parts = text.split(_SEPARATOR)
    if len(text) > MAX_TICKET_CHARACTERS or len(parts) != 5:
        return None
    issuer, incarnation, number, expires_us, mac = parts
    is_decimal = number.isascii() and number.isdigit() and expires_us.isascii()
    if not (is_decimal and expires_us.isdigit()):
        return None
    try:
        return Ticket(issuer, int(incarnation, 16), int(number), int(expires_us), mac)
    except ValueError:
        return None


@dataclass(slots=True)
class _Entry:
    caller: str
    fingerprint: int
    expires_us: int
    running: bool
    answer: Answer | None
    result_bytes: int


class TicketStore:
    """Issue tickets and store the used ones until they expire.

    An issued ticket needs no memory, because its authentication code proves that it is genuine.
    Used tickets are stored until they expire; when the table is full, another ticket is refused
    before its request runs. When the stored results exceed their size limit, the oldest results
    are dropped, but not the record that their requests ran.

    :param issuer: name of this instance.
    :param incarnation: incarnation of this instance.
    :param secret: random key of this incarnation, for the authentication codes.
    :param lifetime_us: lifetime of a ticket in microseconds.
    :param capacity: largest number of used tickets that are stored.
    :param caller_share: largest share of ``capacity`` that one caller may use, from 0 to 1, so
        that a caller that sends far more than usual leaves capacity for the others.
    :param result_capacity_bytes: largest total size of the stored results, as JSON.

    >>> store = TicketStore("front-1", 1, b"k" * 32, lifetime_us=1_000_000)
    >>> text = store.issue("desk", now_us=0)
    >>> store.begin(text, "desk", fingerprint=5, now_us=10).state
    <TicketState.BEGAN: 'began'>
    >>> store.begin(text, "desk", fingerprint=5, now_us=20).state
    <TicketState.RUNNING: 'running'>
    """

    def __init__(
        self,
        issuer: str,
        incarnation: int,
        secret: bytes,
        lifetime_us: int = 120_000_000,
        capacity: int = 20_000,
        result_capacity_bytes: int = 16 * 2**20,
        caller_share: float = 0.5,
    ) -> None:
        self._issuer = issuer
        self._incarnation = incarnation
        self._secret = secret
        self._lifetime_us = lifetime_us
        self._capacity = capacity
        self._result_capacity_bytes = result_capacity_bytes
        self._caller_capacity = max(1, int(capacity * caller_share))
        self._used_by_caller: Counter[str] = Counter()
        self._next_number = 1
        self._entries: OrderedDict[int, _Entry] = OrderedDict()
        self._result_bytes = 0

    def __len__(self) -> int:
        """Return the number of used tickets that are stored."""
        return len(self._entries)

    def issue(self, caller: str, now_us: int) -> str | None:
        """Issue a ticket for a caller.

        :param caller: identity of the caller; no other caller can use the ticket.
        :param now_us: monotonic time in microseconds.
        :returns: the ticket, or ``None`` if the table is full or the caller has used its share.
        """
        self._drop_expired(now_us)
        if not self._has_capacity(caller):
            return None
        number = self._next_number
        self._next_number += 1
        expires_us = now_us + self._lifetime_us
        mac = self._compute_mac(caller, number, expires_us)
        fields = (self._issuer, f"{self._incarnation:016x}", str(number), str(expires_us), mac)
        return _SEPARATOR.join(fields)

    def begin(self, text: str, caller: str, fingerprint: int, now_us: int) -> TicketDecision:
        """Check the ticket of a request and, if it is valid and unused, mark it as used.

        :param text: ticket as the caller sent it.
        :param caller: identity of the caller.
        :param fingerprint: hash of service and body; a ticket is valid for one request only.
        :param now_us: monotonic time in microseconds.
        :returns: ``BEGAN`` if the request may run now, at most once for a ticket unless
            :meth:`release` makes it usable again; otherwise why the request must not run.
        """
        ticket = parse_ticket(text)
        if ticket is None:
            return TicketDecision(TicketState.INVALID)
        if (ticket.issuer, ticket.incarnation) != (self._issuer, self._incarnation):
            return TicketDecision(
                TicketState.FOREIGN, issuer=ticket.issuer, incarnation=ticket.incarnation
            )
        expected = self._compute_mac(caller, ticket.number, ticket.expires_us)
        if not hmac.compare_digest(expected.encode(), ticket.mac.encode()):
            return TicketDecision(TicketState.INVALID)
        entry = self._entries.get(ticket.number)
        if entry is not None:
            return self._decide_repeated(ticket.number, entry, fingerprint)
        # The entry of an expired ticket may have been dropped, so it is not known whether the
        # ticket was used.
        if ticket.expires_us <= now_us:
            return TicketDecision(TicketState.EXPIRED)
        self._drop_expired(now_us)
        if not self._has_capacity(caller):
            return TicketDecision(TicketState.FULL)
        self._used_by_caller[caller] += 1
        self._entries[ticket.number] = _Entry(
            caller, fingerprint, ticket.expires_us, running=True, answer=None, result_bytes=0
        )
        return TicketDecision(TicketState.BEGAN, number=ticket.number)

    def finish(self, number: int, answer: Answer) -> None:
        """Store the final answer to a request.

        :param number: number of the ticket of the request.
        :param answer: answer to return when the request is sent again.
        """
        entry = self._entries.get(number)
        if entry is None:
            return
        entry.running = False
        entry.answer = answer
        if answer.result is not None:
            entry.result_bytes = len(msgspec.json.encode(answer.result))
        self._result_bytes += entry.result_bytes
        self._drop_oldest_results()

    def release(self, number: int) -> None:
        """Make a ticket usable again because its request is known not to have run.

        :param number: number of the ticket of the request.
        """
        entry = self._entries.pop(number, None)
        if entry is None:
            return
        self._result_bytes -= entry.result_bytes
        self._used_by_caller[entry.caller] -= 1
        if not self._used_by_caller[entry.caller]:
            del self._used_by_caller[entry.caller]

    def _has_capacity(self, caller: str) -> bool:
        within_share = self._used_by_caller[caller] < self._caller_capacity
        return within_share and len(self._entries) < self._capacity

    def _decide_repeated(self, number: int, entry: _Entry, fingerprint: int) -> TicketDecision:
        if entry.fingerprint != fingerprint:
            return TicketDecision(TicketState.REUSED, number=number)
        if entry.running:
            return TicketDecision(TicketState.RUNNING, number=number)
        return TicketDecision(TicketState.FINISHED, number=number, answer=entry.answer)

    def _compute_mac(self, caller: str, number: int, expires_us: int) -> str:
        text = f"{number}{_SEPARATOR}{expires_us}{_SEPARATOR}{caller}"
        digest = hashlib.blake2b(text.encode(), key=self._secret, digest_size=_MAC_BYTES)
        return digest.hexdigest()

    def _drop_expired(self, now_us: int) -> None:
        # Entries are in order of first use, not of expiry. An entry that expires later than its
        # successors delays their removal, but all tickets have the same lifetime, so the delay
        # is bounded.
        while self._entries:
            number, entry = next(iter(self._entries.items()))
            if entry.running or entry.expires_us > now_us:
                return
            self.release(number)

    def _drop_oldest_results(self) -> None:
        if self._result_bytes <= self._result_capacity_bytes:
            return
        for entry in self._entries.values():
            if entry.answer is not None and entry.result_bytes:
                entry.answer = _drop_result(entry.answer)
                self._result_bytes -= entry.result_bytes
                entry.result_bytes = 0
            if self._result_bytes <= self._result_capacity_bytes:
                return


def _drop_result(answer: Answer) -> Answer:
    # Result codes of answers with a result state a coverage, which is wrong without the result.
    return Answer(
        code=ResultCode.ANSWER_TOO_LARGE,
        run=answer.run,
        snapshot=answer.snapshot,
        covered=(),
        missing=answer.missing,
        detail="the request ran; its result is no longer stored",
    )
