"""Detection of half-open connections, as opposed to slow and dead servers.

A silent connection is one that is still open here but delivers no bytes any more.
"""

from __future__ import annotations

from enum import Enum
from itertools import islice

__all__ = ["SilenceAction", "SilenceDetector"]

# While the server answers other sends, a send without any byte is more likely a straggler than
# on a silent connection. A probe then needs several such sends, and they must be quiet for a
# longer time.
_ANSWERING_SILENCE_FACTOR = 2
_ANSWERING_MIN_SENDS = 2
# A send may wait this many times as long as the slowest recent first byte took before the send
# counts as quiet.
_SLOWEST_FACTOR = 3
# The slowest first byte decays with time and not with the number of answers, because very many
# light requests may run between a few heavy ones.
_SLOWEST_HALF_LIFE_US = 60_000_000
# If no result of a probe was recorded within this time, another probe is requested.
_PROBE_RESULT_TIMEOUT_US = 5_000_000


class SilenceAction(Enum):
    """Result of :meth:`SilenceDetector.choose_action` for a server.

    ``PROBE`` asks for a probe over a new connection, ``CLOSE`` for closing the silent
    connections, and ``DEAD`` states that the last probe was not answered.
    """

    NONE = "none"
    PROBE = "probe"
    CLOSE = "close"
    DEAD = "dead"


class _Server:
    """State of one server: its open sends and its probe."""

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
        # Maps each send without any byte so far to the time when it was sent, in that order.
        self.open: dict[int, int] = {}
        # Sends whose connections were reported as silent, with their time of sending. A byte
        # for one of them shows that the server was only slow.
        self.late: dict[int, int] = {}
        # Time of the last byte of any answer; -1 before the first one.
        self.bytes_us = -1
        # Slowest recent first byte at ``slowest_at_us``; the value decays from then on.
        self.slowest_us = 0.0
        self.slowest_at_us = 0
        # Time with open sends but without any byte: the sum of the completed periods, and the
        # start of the current one.
        self.quiet_us = 0
        self.quiet_since_us = 0
        # Time of the last call for this server.
        self.seen_us = 0
        # A probe is in flight while ``asked_us`` is set and ``answered_us`` is not.
        self.asked_us: int | None = None
        self.answered_us: int | None = None
        # Sends that had no byte yet when the probe was requested.
        self.watched: set[int] = set()
        # Sends whose connections the last ``CLOSE`` concerned.
        self.silent: tuple[int, ...] = ()
        self.dead = False

    def get_slowest_us(self, now_us: int) -> float:
        return self.slowest_us * 0.5 ** ((now_us - self.slowest_at_us) / _SLOWEST_HALF_LIFE_US)

    def clear_probe(self) -> None:
        self.asked_us = self.answered_us = None
        self.watched = set()


class SilenceDetector:
    """Decide whether quiet sends mean silent connections, a slow or a dead server.

    A server that delivers no byte for its open sends is probed over a new connection:

    - If the probe is not answered, the server is dead.
    - If the probe is answered and the sends that were quiet before it stay quiet, their
      connections are silent.
    - If a byte arrives for one of these sends, the server is slow.

    :param silence_us: time without any byte after which a server is probed, in microseconds.
    :param confirm_us: time for which the old connections may still deliver a byte after the
        answer to a probe, in microseconds.
    :param reprobe_us: interval between probes of a dead server, in microseconds.

    >>> detector = SilenceDetector(silence_us=500_000)
    >>> detector.record_sent("10.0.0.1:80", 1, now_us=0)
    >>> detector.choose_action("10.0.0.1:80", now_us=600_000)
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
        """Record the start of a send to a server.

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
        """Record that bytes of the answer to a send arrived.

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
            decayed_slowest_us = entry.get_slowest_us(now_us)
            if now_us - sent_us >= decayed_slowest_us:
                entry.slowest_us = float(now_us - sent_us)
                entry.slowest_at_us = now_us
        if entry.dead or send_id in entry.watched:
            entry.dead = False
            entry.clear_probe()

    def record_done(self, server: str, send_id: int, now_us: int | None = None) -> None:
        """Record the end of a send: it was answered, failed or was withdrawn.

        :param server: address of the server.
        :param send_id: number of the send.
        :param now_us: monotonic time in microseconds; ``None`` for the time of the last
            call for this server.
        """
        entry = self._servers.get(server)
        if entry is None:
            return
        if now_us is not None:
            entry.seen_us = now_us
        entry.late.pop(send_id, None)
        if entry.open.pop(send_id, None) is not None and not entry.open:
            # When a hedge is answered first, the original send is withdrawn, often before it
            # is quiet for long enough. So the quiet times of consecutive sends are added up.
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

    def choose_action(self, server: str, now_us: int) -> SilenceAction:
        """Decide what to do about the connections to a server.

        Call this method at each tick for each server of :meth:`list_watched_servers`. It
        returns ``PROBE`` once for each probe that is due and ``CLOSE`` once for each detected
        silence. For a dead server it returns ``DEAD``, except for one ``PROBE`` in each
        ``reprobe_us``.

        :param server: address of the server.
        :param now_us: monotonic time in microseconds.
        :returns: action that the edge must carry out.
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
        if entry.asked_us is not None and now_us - entry.asked_us >= _PROBE_RESULT_TIMEOUT_US:
            entry.clear_probe()
        if entry.asked_us is None and self._needs_probe(entry, now_us):
            entry.asked_us = now_us
            entry.watched = set(entry.open)
            return SilenceAction.PROBE
        return SilenceAction.NONE

    def pop_silent_sends(self, server: str) -> tuple[int, ...]:
        """Remove and return the sends whose connections the last ``CLOSE`` concerned.

        :param server: address of the server.
        """
        entry = self._servers.get(server)
        if entry is None:
            return ()
        silent, entry.silent = entry.silent, ()
        return silent

    def is_dead(self, server: str) -> bool:
        """Return whether the last probe of a server failed and no byte has arrived since.

        :param server: address of the server.
        """
        entry = self._servers.get(server)
        return entry is not None and entry.dead

    def list_watched_servers(self) -> tuple[str, ...]:
        """Return the servers for which ``choose_action`` can return an action but ``NONE``."""
        return tuple(
            server
            for server, entry in self._servers.items()
            if entry.open
            or entry.dead
            or entry.asked_us is not None
            or entry.quiet_us >= self._silence_us
        )

    def remove_server(self, server: str) -> None:
        """Remove a server that the configuration no longer contains.

        :param server: address of the server.
        """
        self._servers.pop(server, None)

    def _needs_probe(self, entry: _Server, now_us: int) -> bool:
        silence_limit_us = max(
            self._silence_us, int(_SLOWEST_FACTOR * entry.get_slowest_us(now_us))
        )
        if entry.open:
            oldest_us = next(iter(entry.open.values()))
            if entry.bytes_us > oldest_us:
                silence_limit_us = max(
                    self._silence_us * _ANSWERING_SILENCE_FACTOR, silence_limit_us
                )
                sent_times_us = islice(entry.open.values(), _ANSWERING_MIN_SENDS - 1, None)
                return now_us - next(sent_times_us, now_us) >= silence_limit_us
            return entry.quiet_us + now_us - entry.quiet_since_us >= silence_limit_us
        return entry.quiet_us >= silence_limit_us
