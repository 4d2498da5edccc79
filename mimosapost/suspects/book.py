"""Quarantine of requests that crash the servers that run them (poison requests)."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

from mimosapost.model.messages import SuspectNote

__all__ = ["Standing", "SuspectBook"]

# Crashes in which a request was never alone confirm it only from this number on, and only if
# no other request was in flight at all of them. After two, a popular innocent request looks
# the same as a guilty one.
_JOINT_CRASHES = 3
_RECENT_CRASHES = 64
# Going through a full table takes about a millisecond, and each gossip message merges.
_TRIM_INTERVAL_US = 1_000_000


class Standing(Enum):
    """How a request may be run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclass(slots=True)
class _Entry:
    """What is known of one fingerprint.

    ``settled`` is the number of crashes that no longer count, because the request was answered
    since or the time is over. It keeps older notes of peers from making the request a suspect
    again.
    """

    crashes: int = 0
    settled: int = 0
    refused_crashes: int = 0
    refused_from_us: int = 0
    refused_until_us: int = 0
    last_crash_us: int = 0
    expires_us: int = 0
    own_incidents: int = 0
    common: frozenset[int] | None = None


class SuspectBook:
    """Requests that were in flight when servers crashed.

    One crash makes a request a suspect. It is refused after a crash while it ran alone as a
    suspect, or after three crashes that no other request in flight explains.

    :param limit: largest number of fingerprints kept.
    :param refuse_us: time of refusal after confirmation.
    :param suspect_us: time after which a suspect without a further crash is clear.
    :param incident_us: crashes of a request within this time count as one. A rack that fails
        breaks many connections at once, and several instances see the same crash.

    >>> book = SuspectBook()
    >>> book.record_crash("10.0.0.1:80", (7, 8), now_us=0)
    >>> book.classify(7, now_us=0)
    <Standing.SUSPECT: 'suspect'>
    >>> book.record_answered(8, now_us=1)
    >>> book.classify(8, now_us=1)
    <Standing.CLEAR: 'clear'>
    """

    def __init__(
        self,
        limit: int = 4_096,
        refuse_us: int = 60_000_000,
        suspect_us: int = 120_000_000,
        incident_us: int = 1_000_000,
    ) -> None:
        self._limit = limit
        self._refuse_us = refuse_us
        self._suspect_us = suspect_us
        self._incident_us = incident_us
        self._entries: dict[int, _Entry] = {}
        self._trimmed_us = 0
        # Crashes that no suspect running alone explains, with the requests in flight.
        self._unexplained: deque[tuple[int, frozenset[int]]] = deque(maxlen=_RECENT_CRASHES)

    def record_crash(
        self,
        server: str,  # noqa: ARG002 - the interface names it for logs and later rules
        fingerprints: Collection[int],
        now_us: int,
        ran_alone: bool = False,
    ) -> None:
        """Record that a server broke its connections while requests were in flight.

        Call it once for each crash, with all requests of this instance in flight at that
        server. A request that was refused did not run and must not be included.

        :param server: address of the server.
        :param fingerprints: fingerprints of the requests in flight; may be empty.
        :param now_us: monotonic time in microseconds.
        :param ran_alone: the only request in flight was sent alone because it was a suspect.
            Such a run began after the first crash, so it is never part of the same incident.
        """
        in_flight = frozenset(fingerprints)
        if any(self.classify(key, now_us) is Standing.REFUSED for key in in_flight):
            # A refused request that was still running explains the crash.
            return
        alone = len(in_flight) == 1
        explained = False
        for key in in_flight:
            entry = self._entries.get(key)
            if entry is None:
                entry = self._entries[key] = _Entry()
            was_suspect = self._is_suspect(entry, now_us)
            same_incident = now_us - entry.last_crash_us < self._incident_us
            if was_suspect and same_incident and not (alone and ran_alone):
                continue
            if not was_suspect:
                entry.own_incidents = 0
                entry.common = None
            entry.crashes += 1
            entry.last_crash_us = now_us
            entry.expires_us = now_us + self._suspect_us
            entry.own_incidents += 1
            others = in_flight - {key}
            entry.common = others if entry.common is None else entry.common & others
            if alone and was_suspect:
                explained = True
                if not self._has_other_crash(key, now_us):
                    self._refuse(entry, now_us)
            elif entry.own_incidents >= _JOINT_CRASHES and not entry.common:
                self._refuse(entry, now_us)
        if not explained:
            self._unexplained.append((now_us, in_flight))
        self._trim(now_us)

    def record_answered(self, fingerprint: int, now_us: int) -> None:
        """Clear a request that ran alone as a suspect and was answered.

        Call it when all leafs of the query that it could run on were answered, not for one
        sub-answer: a request may crash the servers of one leaf only.

        :param fingerprint: fingerprint of the request.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or now_us < entry.refused_until_us:
            return
        entry.settled = entry.crashes
        entry.own_incidents = 0
        entry.common = None
        entry.expires_us = now_us + self._suspect_us

    def classify(self, fingerprint: int, now_us: int) -> Standing:
        """Return how a request may be run now.

        :param fingerprint: fingerprint of the request.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return Standing.CLEAR
        if now_us < entry.refused_until_us:
            return Standing.REFUSED
        return Standing.SUSPECT if self._is_suspect(entry, now_us) else Standing.CLEAR

    def export(self, now_us: int, limit: int = 32) -> tuple[SuspectNote, ...]:
        """Return notes for peers: refused requests first, then the latest suspects.

        :param now_us: monotonic time in microseconds.
        :param limit: largest number of notes; 32 keep gossip under 5 kB/s.
        """
        live = [
            (entry.refused_until_us > now_us, entry.last_crash_us, key, entry)
            for key, entry in self._entries.items()
            if entry.refused_until_us > now_us or self._is_suspect(entry, now_us)
        ]
        live.sort(key=lambda item: item[:3], reverse=True)
        return tuple(
            SuspectNote(key, entry.crashes, max(0, entry.refused_until_us - now_us))
            for _, _, key, entry in live[:limit]
        )

    def merge(self, notes: Iterable[SuspectNote], now_us: int) -> None:
        """Merge notes of a peer; the order and the number of repetitions do not matter.

        Counts merge by maximum, so one crash told by several peers stays one. A refusal lasts
        at most its full time from the moment this instance learned of it, so that notes that
        travel in circles cannot prolong it.

        :param notes: notes of a peer.
        :param now_us: monotonic time in microseconds.
        """
        for note in notes:
            if note.crashes <= 0:
                continue
            entry = self._entries.get(note.fingerprint)
            if entry is None:
                entry = self._entries[note.fingerprint] = _Entry()
            if note.crashes > entry.crashes:
                entry.crashes = note.crashes
                entry.last_crash_us = now_us
                entry.expires_us = now_us + self._suspect_us
            if note.refused_for_us > 0:
                self._merge_refusal(entry, note, now_us)
        self._trim(now_us)

    def _merge_refusal(self, entry: _Entry, note: SuspectNote, now_us: int) -> None:
        if note.crashes > entry.refused_crashes:
            entry.refused_crashes = note.crashes
            entry.refused_from_us = now_us
        elif now_us >= entry.refused_until_us:
            # This refusal ended here; the note is a late copy of it.
            return
        until_us = min(now_us + note.refused_for_us, entry.refused_from_us + self._refuse_us)
        entry.refused_until_us = max(entry.refused_until_us, until_us)
        entry.expires_us = max(entry.expires_us, until_us + self._suspect_us)

    def _refuse(self, entry: _Entry, now_us: int) -> None:
        entry.refused_crashes = entry.crashes
        entry.refused_from_us = now_us
        entry.refused_until_us = now_us + self._refuse_us
        entry.expires_us = entry.refused_until_us + self._suspect_us

    def _is_suspect(self, entry: _Entry, now_us: int) -> bool:
        return entry.crashes > entry.settled and now_us < entry.expires_us

    def _has_other_crash(self, key: int, now_us: int) -> bool:
        """Return whether servers crash now that this request cannot have crashed."""
        return any(
            now_us - at_us < self._incident_us and key not in in_flight
            for at_us, in_flight in self._unexplained
        )

    def _trim(self, now_us: int) -> None:
        if len(self._entries) <= self._limit and now_us - self._trimmed_us < _TRIM_INTERVAL_US:
            return
        self._trimmed_us = now_us
        # An expired entry stays as long again: peers expire it a little later, and their notes
        # must not bring it back.
        for key, entry in list(self._entries.items()):
            if now_us >= entry.expires_us + self._suspect_us:
                del self._entries[key]
            elif now_us >= max(entry.expires_us, entry.refused_until_us):
                entry.settled = entry.crashes
        excess = len(self._entries) - self._limit
        if excess > 0:
            order = sorted(
                self._entries,
                key=lambda key: (
                    self._entries[key].refused_until_us > now_us,
                    self._is_suspect(self._entries[key], now_us),
                    self._entries[key].last_crash_us,
                ),
            )
            for key in order[:excess]:
                del self._entries[key]
