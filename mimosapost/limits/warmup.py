"""Limits of backend servers in cold start (slow start)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from mimosapost.model.messages import WarmupNote

__all__ = ["WarmupStatus", "WarmupTable"]

# Answers of which one median is taken; odd, so that the median is one of them.
_BATCH = 15
# Weight of a new batch in the learned median, on a logarithmic scale. Four to five slow batches
# turn a server that stays ten times slower into the normal case.
_BATCH_WEIGHT = 0.25
_NOTE_BOOT_ID_BYTES = 64


@dataclass(frozen=True, slots=True)
class WarmupStatus:
    """State of a server for a status page.

    :param limit: limit of the whole deployment now.
    :param connections: limit of the warm server.
    :param good_answers: good answers at this stage.
    :param stage_age_us: time since the first answer of this stage, in microseconds.
    :param slow_streak: answers in a row above the threshold.
    :param median_us: learned median of the service time, 0 before the first batch.
    :param falls: returns to cold start known so far.
    :param cause: cause of the last return: unknown, refused, restarted, slow, reset or peer.
    """

    server: str
    boot_id: str
    cold: bool
    limit: int
    connections: int
    good_answers: int
    stage_age_us: int
    slow_streak: int
    median_us: int
    falls: int
    cause: str


@dataclass(slots=True)
class _Server:
    """Bounded state of one server: a few numbers and at most one batch."""

    connections: int
    cold_limit: int
    ramp_answers: int
    ramp_interval_us: int
    limit: int
    boot_id: str = ""
    good_answers: int = 0
    stage_since_us: int | None = None
    slow_streak: int = 0
    median_us: float = 0.0
    batch: list[int] = field(default_factory=list)
    falls: int = 0
    cause: str = "unknown"
    heard_us: int = 0
    answered_us: int = 0


class WarmupTable:
    """Fleet-wide limit of each backend server, small while it is in cold start.

    :param cold_jump: a service time above this multiple of the learned median is slow.
    :param cold_streak: slow answers in a row that mean a fall-back into cold start.
    :param evidence_us: time without an answer or a peer's note after which a server is treated
        as cold, in microseconds. A server that restarts unseen takes longer than this.
    :raises ValueError: if a parameter is out of range.

    >>> table = WarmupTable()
    >>> table.configure("10.0.0.1:80", 25, 2, 1, 0)
    >>> table.get_limit("10.0.0.1:80", 0)
    2
    >>> table.record_answer("10.0.0.1:80", "boot-1", 4_000, 10)
    >>> table.get_limit("10.0.0.1:80", 10)
    4

    Notes
    -----
    A single straggler is slow, too. With 1 answer in 100 slow by chance, 5 in a row occur once
    in 10**10 answers, while a server in cold start reaches them with its first 5 answers.

    An instance whose share of a cold limit is 0 sends nothing and learns nothing. It follows
    the other instances by :meth:`export_notes` and :meth:`merge_notes`.
    """

    def __init__(
        self,
        *,
        cold_jump: float = 4.0,
        cold_streak: int = 5,
        evidence_us: int = 1_000_000,
    ) -> None:
        if cold_jump <= 1 or cold_streak < 1:
            raise ValueError(f"cold_jump {cold_jump} <= 1 or cold_streak {cold_streak} < 1")
        self._cold_jump = cold_jump
        self._cold_streak = cold_streak
        self._evidence_us = evidence_us
        self._servers: dict[str, _Server] = {}
        self._order: list[str] = []
        self._position = 0
        # Servers whose state changed since it was last exported, as an ordered set.
        self._changed: dict[str, None] = {}

    def configure(
        self,
        server: str,
        connections: int,
        cold_limit: int,
        ramp_answers: int,
        ramp_interval_us: int,
    ) -> None:
        """Set or change the settings of a server; a ramp in progress goes on.

        :param server: address of the server.
        :param connections: limit of the warm server, at least 1.
        :param cold_limit: limit in cold start; a higher value than ``connections`` has no
            effect.
        :param ramp_answers: good answers that end a stage.
        :param ramp_interval_us: shortest duration of a stage in microseconds.
        :raises ValueError: if a limit is below 1 or a ramp setting negative.
        """
        if min(connections, cold_limit) < 1 or min(ramp_answers, ramp_interval_us) < 0:
            raise ValueError(f"settings of server {server} are out of range")
        cold_limit = min(cold_limit, connections)
        state = self._servers.get(server)
        if state is None:
            self._servers[server] = _Server(
                connections, cold_limit, ramp_answers, ramp_interval_us, cold_limit
            )
            self._order.append(server)
            return
        # A server that was in its first stage stays there.
        in_first_stage = state.limit == state.cold_limit
        state.connections, state.cold_limit = connections, cold_limit
        state.ramp_answers, state.ramp_interval_us = ramp_answers, ramp_interval_us
        state.limit = cold_limit if in_first_stage else min(state.limit, connections)

    def forget(self, server: str) -> None:
        """Drop the state of a server that no shard map names any more.

        :param server: address of the server; an unknown one is ignored.
        """
        if self._servers.pop(server, None) is not None:
            self._order.remove(server)
            self._changed.pop(server, None)

    def get_limit(self, server: str, now_us: int) -> int:
        """Return the limit of requests in flight over all instances.

        :param server: address of the server.
        :param now_us: monotonic time in microseconds.
        :returns: limit, 0 for a server that was never configured.
        """
        state = self._servers.get(server)
        if state is None:
            return 0
        if state.limit > state.cold_limit and now_us - state.heard_us > self._evidence_us:
            # The server may have restarted since. This is no fall: peers that heard from it
            # keep what they know, and their next note restores the limit here.
            state.limit = state.cold_limit
            state.good_answers, state.stage_since_us = 0, None
        return state.limit

    def is_cold(self, server: str) -> bool:
        """Return whether a server is below its full limit, or unknown."""
        state = self._servers.get(server)
        return state is None or state.limit < state.connections

    def record_answer(
        self, server: str, boot_id: str, service_time_us: int, now_us: int
    ) -> None:
        """Record an answer of a server.

        :param server: address of the server; an unknown one is ignored.
        :param boot_id: identity of the server's run, empty where the answer has none.
        :param service_time_us: time from send to answer, in microseconds.
        :param now_us: monotonic time in microseconds.
        """
        state = self._servers.get(server)
        if state is None:
            return
        self.record_boot(server, boot_id)
        state.heard_us = state.answered_us = now_us
        slow = state.median_us > 0 and service_time_us > self._cold_jump * state.median_us
        self._learn(state, service_time_us)
        if slow:
            state.slow_streak += 1
            if state.slow_streak >= self._cold_streak and state.limit > state.cold_limit:
                self._return_to_cold(server, state, "slow")
            return
        state.slow_streak = 0
        if state.limit >= state.connections:
            return
        if state.stage_since_us is None:
            state.stage_since_us = now_us
        state.good_answers += 1
        if (
            state.good_answers >= state.ramp_answers
            and now_us - state.stage_since_us >= state.ramp_interval_us
        ):
            state.limit = min(2 * state.limit, state.connections)
            state.good_answers = 0
            state.stage_since_us = now_us
            self._changed[server] = None

    def record_boot(self, server: str, boot_id: str) -> None:
        """Record a server's boot id from any source; a changed one returns it to cold.

        :param server: address of the server; an unknown one is ignored.
        :param boot_id: identity of the server's run; an empty one is ignored.
        """
        state = self._servers.get(server)
        if state is None or not boot_id or state.boot_id == boot_id:
            return
        known, state.boot_id = state.boot_id, boot_id
        if known:
            self._return_to_cold(server, state, "restarted")

    def record_refused(self, server: str, now_us: int) -> None:  # noqa: ARG002
        """Return a server to cold after a refused connection or refused work.

        :param server: address of the server; an unknown one is ignored.
        :param now_us: monotonic time in microseconds.
        """
        state = self._servers.get(server)
        if state is not None:
            self._return_to_cold(server, state, "refused")

    def reset(self, server: str) -> None:
        """Return a server to cold, because its failure domain comes back.

        :param server: address of the server; an unknown one is ignored.
        """
        state = self._servers.get(server)
        if state is not None:
            self._return_to_cold(server, state, "reset")

    def export_notes(
        self, now_us: int, count: int = 64, unchanged: int = 64
    ) -> tuple[WarmupNote, ...]:
        """Return notes for other instances: changes first, then further servers in turn.

        A limit is passed on only while the own evidence for it is fresh.

        :param now_us: monotonic time in microseconds.
        :param count: largest number of notes.
        :param unchanged: largest number of notes on servers that did not change.
        """
        names = list(self._changed)[:count]
        for name in names:
            del self._changed[name]
        for _ in range(min(unchanged, min(count, len(self._order)) - len(names))):
            self._position = (self._position + 1) % len(self._order)
            names.append(self._order[self._position])
        notes = []
        for name in dict.fromkeys(names):
            state = self._servers[name]
            # A longer boot id does not fit the peer protocol; its server is learned by answers.
            known = state.boot_id or state.falls
            fresh = now_us - state.answered_us <= self._evidence_us
            if (
                known
                and (fresh or state.limit == state.cold_limit)
                and len(state.boot_id.encode()) <= _NOTE_BOOT_ID_BYTES
            ):
                notes.append(WarmupNote(name, state.boot_id, state.falls, state.limit))
        return tuple(notes)

    def merge_notes(self, notes: Iterable[WarmupNote], now_us: int) -> None:
        """Take over newer knowledge of another instance.

        A note with more returns to cold replaces the own state. With equally many, the
        higher limit holds if the boot id is the same. Others are ignored.

        :param notes: notes from :meth:`export_notes` of another instance.
        :param now_us: monotonic time in microseconds.
        """
        for note in notes:
            state = self._servers.get(note.server)
            if state is None or note.falls < state.falls:
                continue
            newer = note.falls > state.falls
            if not newer and state.boot_id not in ("", note.boot_id):
                continue
            limit = max(state.cold_limit, min(note.limit, state.connections))
            if newer:
                state.falls, state.cause, state.slow_streak = note.falls, "peer", 0
            elif limit <= state.limit:
                if limit == state.limit:
                    state.heard_us = now_us
                continue
            state.boot_id = note.boot_id or state.boot_id
            state.limit, state.heard_us = limit, now_us
            state.good_answers, state.stage_since_us = 0, None
            self._changed[note.server] = None

    def describe(self, server: str, now_us: int) -> WarmupStatus | None:
        """Return the state of a server for a status page, ``None`` for an unknown one.

        :param server: address of the server.
        :param now_us: monotonic time in microseconds.
        """
        state = self._servers.get(server)
        if state is None:
            return None
        since_us = now_us if state.stage_since_us is None else state.stage_since_us
        return WarmupStatus(
            server=server,
            boot_id=state.boot_id,
            cold=state.limit < state.connections,
            limit=state.limit,
            connections=state.connections,
            good_answers=state.good_answers,
            stage_age_us=now_us - since_us,
            slow_streak=state.slow_streak,
            median_us=round(state.median_us),
            falls=state.falls,
            cause=state.cause,
        )

    def _return_to_cold(self, server: str, state: _Server, cause: str) -> None:
        # The learned median stays: it tells slow answers of the next ramp from good ones.
        state.limit = state.cold_limit
        state.good_answers, state.slow_streak = 0, 0
        state.stage_since_us = None
        state.falls += 1
        state.cause = cause
        self._changed[server] = None

    @staticmethod
    def _learn(state: _Server, service_time_us: int) -> None:
        state.batch.append(max(1, service_time_us))
        if len(state.batch) < _BATCH:
            return
        batch_us = median(state.batch)
        state.batch.clear()
        # The geometric mean lets a server that stays slow become the normal case after a few
        # batches; otherwise its answers would never be good and it would stay cold for ever.
        known_us = state.median_us or batch_us
        state.median_us = known_us * (batch_us / known_us) ** _BATCH_WEIGHT
