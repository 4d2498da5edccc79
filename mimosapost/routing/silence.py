"""Detection of silent connections, told apart from slow and dead servers."""

from __future__ import annotations

from enum import Enum
from itertools import islice

__all__ = ["SilenceAction", "SilenceBook"]

# While other answers arrive, a quiet send is more likely a straggler than a silent connection:
# then it takes several quiet sends and a longer time.
_ANSWERING_FACTOR = 2
_ANSWERING_SENDS = 2
# A send may take this many times the slowest recent first byte before it counts as quiet.
_SLOW_FACTOR = 3
# The slowest first byte is forgotten by time and not by answers, because a few heavy requests
# may be mixed with very many light ones.
_SLOW_HALF_LIFE_US = 60_000_000
# A probe whose result was never recorded is asked for again after this time.
_PROBE_LOST_US = 5_000_000


class SilenceAction(Enum):
    """What to do about a server's connections."""

    NONE = "none"
    PROBE = "probe"
    CLOSE = "close"
    DEAD = "dead"


class _Server:
    """Open sends of one server and the state of its probe."""

    __slots__ = (
        "answered_us",
        "asked_us",
        "bytes_us",
        "dead",
        "late",
        "open",
        "quiet_since_us",
        "quiet_us",
        "seen_us",
        "silent",
        "slowest_at_us",
        "slowest_us",
        "watched",
    )

    def __init__(self) -> None:
        # Sends without a byte so far, in the order of sending, with their time of sending.
        self.open: dict[int, int] = {}
        # Sends that were given up as silent; a byte on one shows that the server is slow.
        self.late: dict[int, int] = {}
        self.bytes_us = -1
        self.slowest_us = 0.0
        self.slowest_at_us = 0
        # Time with open sends and without any byte: of ended spells, and start of this one.
        self.quiet_us = 0
        self.quiet_since_us = 0
        self.seen_us = 0
        # A probe is out from ``asked_us`` until ``answered_us`` is set.
        self.asked_us: int | None = None
        self.answered_us: int | None = None
        # Sends that were quiet when the probe was asked for.
        self.watched: set[int] = set()
        # Sends that the last ``CLOSE`` was about.
        self.silent: tuple[int, ...] = ()
        self.dead = False

    def get_slowest_us(self, now_us: int) -> float:
        return self.slowest_us * 0.5 ** ((now_us - self.slowest_at_us) / _SLOW_HALF_LIFE_US)

    def clear_probe(self) -> None:
        self.asked_us = self.answered_us = None
        self.watched = set()


class SilenceBook:
    """Decides whether quiet sends mean a silent connection, a slow or a dead server.

    A server whose sends stay without a byte is probed over a new connection. No answer to the
    probe means a dead server. An answer, while the sends that were quiet before the probe stay
    quiet, means silent connections. A byte on one of those sends means a slow server.

    :param silence_us: time without any byte after which a server is probed.
    :param confirm_us: time that the old connections get after the answer to a probe.
    :param reprobe_us: interval between probes of a dead server.

    >>> book = SilenceBook(silence_us=500_000)
    >>> book.record_sent("10.0.0.1:80", 1, now_us=0)
    >>> book.decide("10.0.0.1:80", now_us=600_000)
    <SilenceAction.PROBE: 'probe'>
    """

    def __init__(
        self,
        silence_us: int = 500_000,
        confirm_us: int = 100_000,
        reprobe_us: int = 1_000_000,
    ) -> None:
        self._silence_us = silence_us
        self._confirm_us = confirm_us
        self._reprobe_us = reprobe_us
        self._servers: dict[str, _Server] = {}

    def record_sent(self, server: str, send_id: int, now_us: int) -> None:
        """Record that a send was emitted.

        :param server: address of the server.
        :param send_id: number of the send.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._servers.get(server)
        if entry is None:
            entry = self._servers[server] = _Server()
        entry.seen_us = now_us
        if not entry.open:
            entry.quiet_since_us = now_us
        entry.open[send_id] = now_us

    def record_bytes(self, server: str, send_id: int, now_us: int) -> None:
        """Record that bytes of an answer to a send arrived.

        :param server: address of the server.
        :param send_id: number of the send.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._servers.get(server)
        if entry is None:
            return
        entry.seen_us = entry.bytes_us = entry.quiet_since_us = now_us
        entry.quiet_us = 0
        sent_us = entry.open.pop(send_id, None)
        if sent_us is None:
            sent_us = entry.late.pop(send_id, None)
        if sent_us is not None:
            fading_us = entry.get_slowest_us(now_us)
            if now_us - sent_us >= fading_us:
                entry.slowest_us = float(now_us - sent_us)
                entry.slowest_at_us = now_us
        if entry.dead or send_id in entry.watched:
            entry.dead = False
            entry.clear_probe()

    def record_done(self, server: str, send_id: int, now_us: int | None = None) -> None:
        """Record that a send ended: answered, failed or withdrawn.

        :param server: address of the server.
        :param send_id: number of the send.
        :param now_us: monotonic time in microseconds; without it the time of the last call
            for this server counts.
        """
        entry = self._servers.get(server)
        if entry is None:
            return
        if now_us is not None:
            entry.seen_us = now_us
        entry.late.pop(send_id, None)
        if entry.open.pop(send_id, None) is not None and not entry.open:
            # Hedges withdraw sends before they are old enough, so the quiet time of several
            # sends in a row adds up.
            entry.quiet_us += max(0, entry.seen_us - entry.quiet_since_us)

    def record_probe(self, server: str, answered: bool, now_us: int) -> None:
        """Record the result of a probe over a new connection.

        :param server: address of the server.
        :param answered: whether the probe was answered.
        :param now_us: monotonic time in microseconds.
        """
        entry = self._servers.get(server)
        if entry is None or entry.asked_us is None:
            return
        entry.seen_us = now_us
        entry.dead = not answered
        if answered:
            entry.answered_us = now_us

    def decide(self, server: str, now_us: int) -> SilenceAction:
        """Decide what to do about a server; call it at each tick for each watched server.

        ``PROBE`` and ``CLOSE`` are returned once for each occasion. ``DEAD`` is returned as
        long as the server is dead, but for one ``PROBE`` in each interval.

        :param server: address of the server.
        :param now_us: monotonic time in microseconds.
        :returns: action for the edge.
        """
        entry = self._servers.get(server)
        if entry is None:
            return SilenceAction.NONE
        entry.seen_us = now_us
        if entry.dead:
            if entry.asked_us is not None and now_us - entry.asked_us < self._reprobe_us:
                return SilenceAction.DEAD
            entry.asked_us = now_us
            return SilenceAction.PROBE
        if entry.answered_us is not None:
            if now_us - entry.answered_us < self._confirm_us:
                return SilenceAction.NONE
            entry.silent = tuple(sorted(entry.watched & entry.open.keys()))
            for send_id in entry.silent:
                entry.late[send_id] = entry.open.pop(send_id)
            entry.clear_probe()
            entry.quiet_us = 0
            entry.quiet_since_us = now_us
            return SilenceAction.CLOSE
        if entry.asked_us is not None and now_us - entry.asked_us >= _PROBE_LOST_US:
            entry.clear_probe()
        if entry.asked_us is None and self._is_quiet(entry, now_us):
            entry.asked_us = now_us
            entry.watched = set(entry.open)
            return SilenceAction.PROBE
        return SilenceAction.NONE

    def take_silent(self, server: str) -> tuple[int, ...]:
        """Return the sends that the last ``CLOSE`` was about, once.

        :param server: address of the server.
        """
        entry = self._servers.get(server)
        if entry is None:
            return ()
        silent, entry.silent = entry.silent, ()
        return silent

    def is_dead(self, server: str) -> bool:
        """Return whether the last probe of a server failed and no byte arrived since.

        :param server: address of the server.
        """
        entry = self._servers.get(server)
        return entry is not None and entry.dead

    def get_watched(self) -> tuple[str, ...]:
        """Return the servers for which ``decide`` could return more than ``NONE``."""
        return tuple(
            server
            for server, entry in self._servers.items()
            if entry.open
            or entry.dead
            or entry.asked_us is not None
            or entry.quiet_us >= self._silence_us
        )

    def forget(self, server: str) -> None:
        """Forget a server that the configuration no longer names.

        :param server: address of the server.
        """
        self._servers.pop(server, None)

    def _is_quiet(self, entry: _Server, now_us: int) -> bool:
        limit_us = max(self._silence_us, int(_SLOW_FACTOR * entry.get_slowest_us(now_us)))
        if entry.open:
            oldest_us = next(iter(entry.open.values()))
            if entry.bytes_us > oldest_us:
                limit_us = max(self._silence_us * _ANSWERING_FACTOR, limit_us)
                quiet = islice(entry.open.values(), _ANSWERING_SENDS - 1, None)
                return now_us - next(quiet, now_us) >= limit_us
            return entry.quiet_us + now_us - entry.quiet_since_us >= limit_us
        return entry.quiet_us >= limit_us
