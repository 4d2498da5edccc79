"""Slow start of backend servers: limits that grow from cold start to full concurrency."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from mimosapost.model.peer_messages import WarmupNote

__all__ = ["WarmupStatus", "WarmupTable"]

# Number of answers for each batch median; odd, so that the median is one of the answers.
_BATCH_SIZE = 15
# Weight of a new batch in the learned median, on a logarithmic scale. If a server stays ten
# times slower, its answers no longer count as slow after four to five batches.
_BATCH_WEIGHT = 0.25
# The peer protocol carries no longer boot id.
_MAX_NOTE_BOOT_ID_BYTES = 64


@dataclass(frozen=True, slots=True)
class WarmupStatus:
    """State of a backend server for a status page.

    :param cold: whether ``limit`` is below ``connections``.
    :param limit: current limit of requests in flight over all instances.
    :param connections: limit of the warm server.
    :param good_answers: answers in the current stage that were not slow.
    :param stage_age_us: time since the current stage began, in microseconds; 0 if none has
        begun, because there was no good answer yet.
    :param slow_streak: number of consecutive slow answers.
    :param median_us: learned median of the service time in microseconds, 0 before the first
        batch is complete.
    :param falls: number of returns to cold start that are known to this instance.
    :param cause: cause of the last return to cold start: unknown, refused, restarted, slow,
        reset or peer.
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
class _ServerState:
    """State of one server; its size is bounded by one batch of service times."""

    connections: int
    cold_limit: int
    ramp_answers: int
    ramp_interval_us: int
    limit: int
    boot_id: str = ""
    good_answers: int = 0
    stage_started_us: int | None = None
    slow_streak: int = 0
    median_us: float = 0.0
    batch: list[int] = field(default_factory=list)
    falls: int = 0
    cause: str = "unknown"
    last_evidence_us: int = 0
    last_answer_us: int = 0


class WarmupTable:
    """Deployment-wide limit of each backend server, low while the server is in cold start.

    :param slow_multiple: an answer is slow if its service time is above this multiple of the
        learned median; above 1.
    :param slow_streak_limit: number of consecutive slow answers that return a server to cold
        start, at least 1.
    :param evidence_lifetime_us: time in microseconds without an answer of a server or a peer's
        note on it after which the server is treated as cold. A restart that this instance does
        not observe takes longer than this time.
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
    A cold server is recognised by several slow answers in a row, because single stragglers are
    slow as well. If 1 answer in 100 is slow by chance, 5 in a row occur once in 10**10 answers,
    whereas the first 5 answers of a server in cold start are all slow.

    An instance whose share of a cold limit is 0 sends no requests to the server and gets no
    answers. It learns the limit from other instances by :meth:`export_notes` and
    :meth:`merge_notes`.
    """

    def __init__(
        self,
        *,
        slow_multiple: float = 4.0,
        slow_streak_limit: int = 5,
        evidence_lifetime_us: int = 1_000_000,
    ) -> None:
        if slow_multiple <= 1 or slow_streak_limit < 1:
            raise ValueError(
                f"slow_multiple {slow_multiple}, slow_streak_limit {slow_streak_limit}: "
                "expected slow_multiple > 1 and slow_streak_limit >= 1"
            )
        self._slow_multiple = slow_multiple
        self._slow_streak_limit = slow_streak_limit
        self._evidence_lifetime_us = evidence_lifetime_us
        self._servers: dict[str, _ServerState] = {}
        self._export_order: list[str] = []
        self._export_position = 0
        # Servers whose state changed since its last export; the dict serves as an ordered set.
        self._changed: dict[str, None] = {}

    def configure(
        self,
        server: str,
        connections: int,
        cold_limit: int,
        ramp_answers: int,
        ramp_interval_us: int,
    ) -> None:
        """Set or change the settings of a server; a ramp in progress continues.

        :param server: address of the server.
        :param connections: limit of the warm server, at least 1.
        :param cold_limit: limit in cold start, at least 1; capped at ``connections``.
        :param ramp_answers: good answers needed to end a stage, which doubles the limit.
        :param ramp_interval_us: minimum duration of a stage in microseconds.
        :raises ValueError: if a limit is below 1 or a ramp setting negative.
        """
        if min(connections, cold_limit) < 1 or min(ramp_answers, ramp_interval_us) < 0:
            raise ValueError(
                f"settings of server {server} are out of range: expected connections "
                f"{connections} and cold_limit {cold_limit} at least 1, ramp_answers "
                f"{ramp_answers} and ramp_interval_us {ramp_interval_us} at least 0"
            )
        cold_limit = min(cold_limit, connections)
        state = self._servers.get(server)
        if state is None:
            self._servers[server] = _ServerState(
                connections, cold_limit, ramp_answers, ramp_interval_us, cold_limit
            )
            self._export_order.append(server)
            return
        # A server in its first stage stays in it, also with another cold limit.
        in_first_stage = state.limit == state.cold_limit
        state.connections, state.cold_limit = connections, cold_limit
        state.ramp_answers, state.ramp_interval_us = ramp_answers, ramp_interval_us
        state.limit = cold_limit if in_first_stage else min(state.limit, connections)

    def forget(self, server: str) -> None:
        """Delete the state of a server that no shard map contains any more.

        :param server: address of the server; an unknown one is ignored.
        """
        if self._servers.pop(server, None) is not None:
            self._export_order.remove(server)
            self._changed.pop(server, None)

    def get_limit(self, server: str, now_us: int) -> int:
        """Return the limit of requests in flight to a server over all instances.

        :param server: address of the server.
        :param now_us: monotonic time in microseconds.
        :returns: limit, 0 for a server that is not configured.
        """
        state = self._servers.get(server)
        if state is None:
            return 0
        if (
            state.limit > state.cold_limit
            and now_us - state.last_evidence_us > self._evidence_lifetime_us
        ):
            # The server may have restarted without this instance noticing. ``falls`` does not
            # rise, because peers with recent answers of the server keep their limit, and the
            # next note of one of them restores it here.
            state.limit = state.cold_limit
            state.good_answers, state.stage_started_us = 0, None
        return state.limit

    def is_cold(self, server: str) -> bool:
        """Return whether a server is unknown or has less than its full limit."""
        state = self._servers.get(server)
        return state is None or state.limit < state.connections

    def record_answer(
        self, server: str, boot_id: str, service_time_us: int, now_us: int
    ) -> None:
        """Record an answer of a server and raise or lower its limit accordingly.

        :param server: address of the server; an unknown one is ignored.
        :param boot_id: identity of the server's run, empty if the answer carries none.
        :param service_time_us: time from send to answer, in microseconds.
        :param now_us: monotonic time in microseconds.
        """
        state = self._servers.get(server)
        if state is None:
            return
        self.record_boot(server, boot_id)
        state.last_evidence_us = state.last_answer_us = now_us
        slow = state.median_us > 0 and service_time_us > self._slow_multiple * state.median_us
        self._update_median(state, service_time_us)
        if slow:
            state.slow_streak += 1
            if state.slow_streak >= self._slow_streak_limit and state.limit > state.cold_limit:
                self._return_to_cold(server, state, "slow")
            return
        state.slow_streak = 0
        if state.limit >= state.connections:
            return
        if state.stage_started_us is None:
            state.stage_started_us = now_us
        state.good_answers += 1
        if (
            state.good_answers >= state.ramp_answers
            and now_us - state.stage_started_us >= state.ramp_interval_us
        ):
            state.limit = min(2 * state.limit, state.connections)
            state.good_answers = 0
            state.stage_started_us = now_us
            self._changed[server] = None

    def record_boot(self, server: str, boot_id: str) -> None:
        """Record the boot id of a server; a changed boot id returns the server to cold start.

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
        """Return a server to cold start after it refused a connection or a request.

        :param server: address of the server; an unknown one is ignored.
        :param now_us: monotonic time in microseconds.
        """
        state = self._servers.get(server)
        if state is not None:
            self._return_to_cold(server, state, "refused")

    def reset(self, server: str) -> None:
        """Return a server to cold start, because its failure domain is in use again.

        :param server: address of the server; an unknown one is ignored.
        """
        state = self._servers.get(server)
        if state is not None:
            self._return_to_cold(server, state, "reset")

    def export_notes(
        self, now_us: int, count: int = 64, unchanged: int = 64
    ) -> tuple[WarmupNote, ...]:
        """Return notes for other instances: changed servers first, then others in rotation.

        A limit above the cold limit is exported only while the last answer of the server to
        this instance is no older than the evidence lifetime.

        :param now_us: monotonic time in microseconds.
        :param count: largest number of notes.
        :param unchanged: largest number of notes on servers that did not change.
        """
        names = list(self._changed)[:count]
        for name in names:
            del self._changed[name]
        for _ in range(min(unchanged, min(count, len(self._export_order)) - len(names))):
            self._export_position = (self._export_position + 1) % len(self._export_order)
            names.append(self._export_order[self._export_position])
        notes = []
        for name in dict.fromkeys(names):
            state = self._servers[name]
            # A boot id that is too long for the peer protocol is not sent. Peers learn the
            # state of its server only from their own answers.
            known = state.boot_id or state.falls
            fresh = now_us - state.last_answer_us <= self._evidence_lifetime_us
            if (
                known
                and (fresh or state.limit == state.cold_limit)
                and len(state.boot_id.encode()) <= _MAX_NOTE_BOOT_ID_BYTES
            ):
                notes.append(WarmupNote(name, state.boot_id, state.falls, state.limit))
        return tuple(notes)

    def merge_notes(self, notes: Iterable[WarmupNote], now_us: int) -> None:
        """Merge the notes of another instance into the state of this one.

        A note that counts more returns to cold start than this instance knows replaces the
        state. With equal counts and the same boot id, or no boot id known here, the higher
        limit wins. Other notes are ignored.

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
                    state.last_evidence_us = now_us
                continue
            state.boot_id = note.boot_id or state.boot_id
            state.limit, state.last_evidence_us = limit, now_us
            state.good_answers, state.stage_started_us = 0, None
            self._changed[note.server] = None

    def describe(self, server: str, now_us: int) -> WarmupStatus | None:
        """Return the state of a server for a status page, or ``None`` if it is unknown.

        :param server: address of the server.
        :param now_us: monotonic time in microseconds.
        """
        state = self._servers.get(server)
        if state is None:
            return None
        since_us = now_us if state.stage_started_us is None else state.stage_started_us
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

    def _return_to_cold(self, server: str, state: _ServerState, cause: str) -> None:
        # The learned median is kept, so that slow answers are recognised during the next ramp.
        state.limit = state.cold_limit
        state.good_answers, state.slow_streak = 0, 0
        state.stage_started_us = None
        state.falls += 1
        state.cause = cause
        self._changed[server] = None

    @staticmethod
    def _update_median(state: _ServerState, service_time_us: int) -> None:
        state.batch.append(max(1, service_time_us))
        if len(state.batch) < _BATCH_SIZE:
            return
        batch_us = median(state.batch)
        state.batch.clear()
        # The weighted geometric mean adapts to a server that stays slow within a few batches.
        # Otherwise all its answers would count as slow, and it would stay cold for ever.
        known_us = state.median_us or batch_us
        state.median_us = known_us * (batch_us / known_us) ** _BATCH_WEIGHT
