"""Quarantine of requests that crash the servers that process them (poison requests)."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

from mimosapost.model.peer_messages import SuspectNote

__all__ = ["SuspectTracker", "SuspicionState"]

# If a request was never the only one in flight at a crash, it is refused only after this number
# of crashes, and only if no other request was in flight at all of them. After two crashes, a
# harmless request that is sent often can't be distinguished from the cause.
_MIN_JOINT_CRASHES = 3
# A suspect is refused after this number of crashes while it ran alone, whatever else crashed.
_MAX_FAILED_TRIALS = 2
# Number of recent crashes that are stored, without those that a suspect running alone caused.
_MAX_UNEXPLAINED_CRASHES = 64
# Checking every entry of a full table takes about a millisecond, and each gossip message calls
# ``merge``. So expired entries are removed at most once in this time, unless the table is over
# its limit.
_EXPIRY_INTERVAL_US = 1_000_000


class SuspicionState(Enum):
    """Whether a request may run normally, only alone at a server, or not at all."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@dataclass(slots=True)
class _Entry:
    """Crashes and refusal of the request with one fingerprint.

    ``cleared_crashes`` is the number of crashes that no longer count, because the request was
    answered after them or they expired. Without it, older notes of peers would make the
    request a suspect again. ``crashes_at_refusal`` is the number of crashes at the start of the
    latest refusal, and ``refusal_us`` its length. ``local_incidents`` counts the crashes that
    this instance observed since the request became a suspect; ``common_requests`` holds the
    other requests that were in flight at all of them. ``failed_trials`` counts the crashes
    under this request alone that did not lead to a refusal, because other servers crashed at
    the same time.
    """

    crashes: int = 0
    cleared_crashes: int = 0
    crashes_at_refusal: int = 0
    refusal_us: int = 0
    refused_from_us: int = 0
    refused_until_us: int = 0
    last_crash_us: int = 0
    expires_us: int = 0
    local_incidents: int = 0
    common_requests: frozenset[int] | None = None
    failed_trials: int = 0


class SuspectTracker:
    """Track the requests that were in flight when servers crashed.

    One crash makes a request a suspect. A suspect is refused if a server crashes while the
    suspect is the only request in flight there, or after three crashes if no other request was
    in flight at all of them.

    :param limit: largest number of fingerprints that are stored.
    :param refuse_us: how long a request is refused for the first time, in microseconds. Each
        further refusal lasts twice as long as the one before.
    :param max_refuse_us: longest refusal in microseconds.
    :param suspect_us: time without a further crash after which a suspect is clear, in
        microseconds. After a longer refusal it is the length of that refusal.
    :param incident_us: time within which several crashes of a request count as one, in
        microseconds. When a rack fails, many connections break at once, and several instances
        observe the same crash.

    >>> tracker = SuspectTracker()
    >>> tracker.record_crash("10.0.0.1:80", (7, 8), now_us=0)
    >>> tracker.classify(7, now_us=0)
    <SuspicionState.SUSPECT: 'suspect'>
    >>> tracker.record_answered(8, now_us=1)
    >>> tracker.classify(8, now_us=1)
    <SuspicionState.CLEAR: 'clear'>
    """

    def __init__(
        self,
        limit: int = 4_096,
        refuse_us: int = 60_000_000,
        max_refuse_us: int = 3_600_000_000,
        suspect_us: int = 120_000_000,
        incident_us: int = 1_000_000,
    ) -> None:
        self._limit = limit
        self._refuse_us = refuse_us
        self._max_refuse_us = max_refuse_us
        self._suspect_us = suspect_us
        self._incident_us = incident_us
        self._entries: dict[int, _Entry] = {}
        self._last_expiry_us = 0
        # Time and requests in flight of each recent crash that was not caused by a suspect
        # running alone.
        self._unexplained: deque[tuple[int, frozenset[int]]] = deque(
            maxlen=_MAX_UNEXPLAINED_CRASHES
        )

    def record_crash(
        self,
        server: str,  # noqa: ARG002 - part of the interface, for logs and later rules
        fingerprints: Collection[int],
        now_us: int,
        ran_alone: bool = False,
    ) -> None:
        """Record that a server crashed: it broke its connections with requests in flight.

        Call this method once for each crash, with all requests that this instance had in flight
        at the server. Leave out refused requests, because they did not run.

        :param server: address of the server.
        :param fingerprints: fingerprints of the requests in flight; may be empty.
        :param now_us: monotonic time in microseconds.
        :param ran_alone: whether the only request in flight was sent alone because it was a
            suspect. Such a request was sent after the first crash, so the new crash is never
            part of the same incident.
        """
        in_flight = frozenset(fingerprints)
        if any(self.classify(key, now_us) is SuspicionState.REFUSED for key in in_flight):
            # A refused request that was still running is taken as the cause of the crash.
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
                entry.local_incidents = 0
                entry.common_requests = None
            entry.crashes += 1
            entry.last_crash_us = now_us
            entry.expires_us = now_us + self._suspect_us
            entry.local_incidents += 1
            others = in_flight - {key}
            entry.common_requests = (
                others if entry.common_requests is None else entry.common_requests & others
            )
            if alone and was_suspect:
                explained = True
                if not self._has_other_crash(key, now_us):
                    self._refuse(entry, now_us)
            elif entry.local_incidents >= _MIN_JOINT_CRASHES and not entry.common_requests:
                self._refuse(entry, now_us)
        if not explained:
            self._unexplained.append((now_us, in_flight))
        self._expire_and_evict(now_us)

    def record_answered(self, fingerprint: int, now_us: int) -> None:
        """Clear a request that ran alone as a suspect and was answered.

        Call this method after every leaf that the request could run on has answered, not after
        a single sub-answer, because a request may crash the servers of one leaf only.

        :param fingerprint: fingerprint of the request.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or now_us < entry.refused_until_us:
            return
        entry.cleared_crashes = entry.crashes
        entry.local_incidents = 0
        entry.common_requests = None
        entry.failed_trials = 0
        entry.refusal_us = 0
        entry.expires_us = now_us + self._suspect_us

    def record_failed_trial(self, fingerprint: int, now_us: int) -> None:
        """Record that a suspect that ran alone was not refused although its server crashed.

        Another crash at the same time excuses it once: a request that crashes many servers is
        itself the cause of the others.

        :param fingerprint: fingerprint of the request.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or now_us < entry.refused_until_us:
            return
        entry.failed_trials += 1
        if entry.failed_trials >= _MAX_FAILED_TRIALS:
            self._refuse(entry, now_us)

    def classify(self, fingerprint: int, now_us: int) -> SuspicionState:
        """Return whether a request is clear, suspect or refused now.

        :param fingerprint: fingerprint of the request.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return SuspicionState.CLEAR
        if now_us < entry.refused_until_us:
            return SuspicionState.REFUSED
        return (
            SuspicionState.SUSPECT if self._is_suspect(entry, now_us) else SuspicionState.CLEAR
        )

    def export(self, now_us: int, limit: int = 32) -> tuple[SuspectNote, ...]:
        """Return notes for peers, refused requests first, each group by latest crash.

        :param now_us: monotonic time in microseconds.
        :param limit: largest number of notes; with 32, gossip stays under 5 kB/s.
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
        """Merge notes of a peer, in any order and any number of times.

        Crash counts merge by maximum, so a crash that several peers report counts once. A
        refusal ends at the latest after its length, counted from the moment at which this
        instance first received it, so that notes that circulate between peers can't prolong it.

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
        self._expire_and_evict(now_us)

    def _merge_refusal(self, entry: _Entry, note: SuspectNote, now_us: int) -> None:
        remaining_us = min(note.refused_for_us, self._max_refuse_us)
        if note.crashes > entry.crashes_at_refusal:
            entry.crashes_at_refusal = note.crashes
            entry.refused_from_us = now_us
        elif now_us >= entry.refused_until_us:
            # This instance already ended this refusal; the note is a late copy of it.
            return
        entry.refusal_us = max(entry.refusal_us, remaining_us)
        until_us = min(now_us + remaining_us, entry.refused_from_us + entry.refusal_us)
        self._set_refusal(entry, max(entry.refused_until_us, until_us))

    def _refuse(self, entry: _Entry, now_us: int) -> None:
        entry.crashes_at_refusal = entry.crashes
        entry.refused_from_us = now_us
        entry.refusal_us = min(max(self._refuse_us, 2 * entry.refusal_us), self._max_refuse_us)
        self._set_refusal(entry, now_us + entry.refusal_us)

    def _set_refusal(self, entry: _Entry, until_us: int) -> None:
        entry.refused_until_us = until_us
        suspect_us = max(self._suspect_us, entry.refusal_us)
        entry.expires_us = max(entry.expires_us, until_us + suspect_us)

    def _is_suspect(self, entry: _Entry, now_us: int) -> bool:
        return entry.crashes > entry.cleared_crashes and now_us < entry.expires_us

    def _has_other_crash(self, key: int, now_us: int) -> bool:
        """Return whether a recent crash happened without this request in flight."""
        return any(
            now_us - at_us < self._incident_us and key not in in_flight
            for at_us, in_flight in self._unexplained
        )

    def _expire_and_evict(self, now_us: int) -> None:
        if (
            len(self._entries) <= self._limit
            and now_us - self._last_expiry_us < _EXPIRY_INTERVAL_US
        ):
            return
        self._last_expiry_us = now_us
        # An expired entry is stored for a further ``suspect_us``: peers expire theirs slightly
        # later, and until then their notes must not make the request a suspect again.
        for key, entry in list(self._entries.items()):
            if now_us >= entry.expires_us + self._suspect_us:
                del self._entries[key]
            elif now_us >= max(entry.expires_us, entry.refused_until_us):
                entry.cleared_crashes = entry.crashes
                entry.refusal_us = 0
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
