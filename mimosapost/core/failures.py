"""Failed sends, probes, and the detection of server crashes."""

from __future__ import annotations

from mimosapost.core import broadcasts, counters, finish, leaf_progress, retries, slots
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import OpenQuery, OpenSend, ServerState, State
from mimosapost.core.timers import TimerKind
from mimosapost.model.codes import FailureKind, MissingReason, RunState
from mimosapost.model.effects import IncrementCounter, OpenProbe, WriteLog
from mimosapost.model.events import ProbeAnswered, ProbeFailed, SendFailed
from mimosapost.suspects.tracker import SuspicionState

__all__ = [
    "forget_if_unused",
    "forget_server",
    "handle_probe_answered",
    "handle_probe_failed",
    "handle_send_failed",
    "probe_server",
    "retry_held_leafs",
]

_INITIAL_PROBE_BACKOFF_US = 100_000
_MAX_PROBE_BACKOFF_US = 2_000_000


@handles(SendFailed)
def handle_send_failed(state: State, event: SendFailed, effects: Effects) -> None:
    """Update the state of the server after a failed send, then retry or give up the leaf."""
    send = retries.close_send(state, event.send_id, event.now_us)
    if send is None:
        return
    server = state.servers[send.slot.server]
    state.warmup.record_boot(server.address, event.boot_id)
    open_query = state.queries.get(send.query_id)
    if open_query is not None and event.run is RunState.UNKNOWN and not send.wasted:
        open_query.unknown_sends += 1
    if event.kind is FailureKind.REFUSED:
        mark_down(state, server, event.now_us, effects)
    if send.wasted or event.kind is FailureKind.WITHDRAWN:
        # The latency of a send that a hedge overtook is at least the time until now. If it were
        # not recorded, the hedge delay would shrink with the truncated latency distribution.
        _record_abandoned(state, send, event.now_us)
    broken = event.kind in (FailureKind.RESET, FailureKind.CLOSED)
    expired = _is_expired(open_query, send, event.now_us)
    if broken and event.run is RunState.UNKNOWN and not expired:
        _suspect_crash(server, send, effects)
        if open_query is not None and not send.wasted and send.repeatable:
            server.leafs_awaiting_probe.append((send.query_id, send.leaf))
            return
    _retry_after_failure(state, open_query, send, event, effects)


def _is_expired(open_query: OpenQuery | None, send: OpenSend, now_us: int) -> bool:
    """Return whether a send ended by its deadline or its cancellation, not by its server."""
    if send.wasted or open_query is None:
        return True
    return now_us >= send.deadline_us


def _record_abandoned(state: State, send: OpenSend, now_us: int) -> None:
    slot_id = retries.get_slot_id(send)
    state.latency.record_abandoned(send.service, slot_id, now_us - send.sent_us, now_us)


def _retry_after_failure(
    state: State,
    open_query: OpenQuery | None,
    send: OpenSend,
    event: SendFailed,
    effects: Effects,
) -> None:
    if open_query is None or send.wasted or send.leaf not in open_query.leaf_states:
        return
    leaf_state = open_query.leaf_states[send.leaf]
    if event.kind is FailureKind.TOO_LARGE:
        open_query.ran = True
        leaf_progress.set_missing(state, open_query, leaf_state, MissingReason.ANSWER_TOO_LARGE)
        finish.finish_if_done(state, open_query, event.now_us, effects)
        return
    retries.retry_leaf(
        state, open_query, leaf_state, event.kind, event.run, event.now_us, effects
    )


def _suspect_crash(server: ServerState, send: OpenSend, effects: Effects) -> None:
    """Start a probe that distinguishes a crashed server from a broken connection.

    The requests in flight are not retried before the probe ends: one of them may have crashed
    the server, and its retry could crash the next slot of the leaf.
    """
    if not server.crash_fingerprints:
        server.crash_boot_id = server.boot_id
    server.crash_fingerprints.add(send.fingerprint)
    server.crash_ran_alone = server.crash_ran_alone or send.suspect
    if not server.probing:
        server.probing = True
        effects.append(OpenProbe(server.address))


def mark_down(state: State, server: ServerState, now_us: int, effects: Effects) -> None:
    """Mark a server as down until it answers, and return it to cold."""
    state.warmup.record_refused(server.address, now_us)
    if server.down:
        return
    server.down = True
    server.probe_backoff_us = _INITIAL_PROBE_BACKOFF_US
    server.probe_due_us = now_us + server.probe_backoff_us
    effects.append(WriteLog("server_down", (("server", server.address),)))


def probe_server(server: ServerState, now_us: int, effects: Effects) -> None:
    """Probe a server that is down, with an exponential backoff."""
    if server.probing or now_us < server.probe_due_us:
        return
    server.probing = True
    server.probe_backoff_us = min(2 * server.probe_backoff_us, _MAX_PROBE_BACKOFF_US)
    server.probe_due_us = now_us + server.probe_backoff_us
    effects.append(OpenProbe(server.address))


def forget_server(state: State, address: str) -> None:
    """Remove the state of a server that the configuration no longer lists.

    If the server is listed again, it starts cold.
    """
    state.servers.pop(address, None)
    state.dirty_servers.discard(address)
    state.warmup.forget(address)
    state.silence.remove_server(address)


def forget_if_unused(state: State, server: ServerState) -> bool:
    """Remove a server that is not configured and has no open send, waiting leaf or probe.

    :returns: whether the server was removed.
    """
    in_use = (
        server.sends or server.probing or server.leafs_awaiting_probe or len(server.waiting)
    )
    if in_use or server.address in state.published_servers:
        return False
    forget_server(state, server.address)
    return True


@handles(ProbeAnswered)
def handle_probe_answered(state: State, event: ProbeAnswered, effects: Effects) -> None:
    """Mark a server as up and check by its boot id whether it restarted."""
    server = slots.get_server(state, event.server)
    server.probing = False
    state.silence.record_probe(server.address, True, event.now_us)
    # The restarted server may have answered a send before the probe, and that answer has
    # replaced its boot id.
    before = server.crash_boot_id if server.crash_fingerprints else server.boot_id
    restarted = bool(before) and before != event.boot_id
    if restarted:
        _confirm_crash(state, server, event.now_us, effects)
        state.warmup.record_refused(server.address, event.now_us)
    if server.down:
        effects.append(WriteLog("server_up", (("server", server.address),)))
    retries.mark_up(server, event.boot_id, event.now_us)
    server.crash_fingerprints.clear()
    server.crash_ran_alone = False
    state.dirty_servers.add(server.address)
    _hold_leafs(state, server, event.now_us, effects)


@handles(ProbeFailed)
def handle_probe_failed(state: State, event: ProbeFailed, effects: Effects) -> None:
    """Mark a server as down and make the requests that it dropped suspects of a crash."""
    server = slots.get_server(state, event.server)
    server.probing = False
    state.silence.record_probe(server.address, False, event.now_us)
    mark_down(state, server, event.now_us, effects)
    state.dirty_servers.add(server.address)
    _confirm_crash(state, server, event.now_us, effects)
    _hold_leafs(state, server, event.now_us, effects)


def _confirm_crash(state: State, server: ServerState, now_us: int, effects: Effects) -> None:
    if not server.crash_fingerprints:
        return
    fingerprints = tuple(sorted(server.crash_fingerprints))
    ran_alone, server.crash_ran_alone = server.crash_ran_alone, False
    server.crash_fingerprints.clear()
    state.suspects.record_crash(server.address, fingerprints, now_us, ran_alone)
    broadcasts.broadcast_suspects(state, now_us, effects)
    effects.append(IncrementCounter(counters.SERVER_CRASHES))
    effects.append(
        WriteLog(
            "server_crashed",
            (("server", server.address), ("requests_in_flight", len(fingerprints))),
        )
    )
    for fingerprint in fingerprints:
        suspicion = state.suspects.classify(fingerprint, now_us)
        effects.append(
            WriteLog(
                "request_suspect",
                (("fingerprint", f"{fingerprint:016x}"), ("standing", suspicion.value)),
            )
        )


def _hold_leafs(state: State, server: ServerState, now_us: int, effects: Effects) -> None:
    """Schedule the retry of the leafs that waited for a probe.

    After a crash the retry is delayed by ``suspect_notice_us``, so that peers know the suspect
    before its caller has an answer and can send the request again.
    """
    waiting, server.leafs_awaiting_probe = server.leafs_awaiting_probe, []
    if not waiting:
        return
    suspect = any(
        query_id in state.queries
        and state.suspects.classify(state.queries[query_id].query.fingerprint, now_us)
        is not SuspicionState.CLEAR
        for query_id, _ in waiting
    )
    hold_id = state.next_hold_id
    state.next_hold_id += 1
    state.held_leafs[hold_id] = waiting
    delay_us = state.policy.suspect_notice_us if suspect else 0
    state.timers.add(now_us + delay_us, TimerKind.RETRY, hold_id)


def retry_held_leafs(state: State, hold_id: int, now_us: int, effects: Effects) -> None:
    """Retry the leafs whose sends were in flight when a server broke its connections."""
    for query_id, leaf in state.held_leafs.pop(hold_id, ()):
        open_query = state.queries.get(query_id)
        if open_query is None or leaf not in open_query.leaf_states:
            continue
        suspicion = state.suspects.classify(open_query.query.fingerprint, now_us)
        open_query.suspect = suspicion is not SuspicionState.CLEAR
        leaf_state = open_query.leaf_states[leaf]
        if suspicion is SuspicionState.REFUSED:
            leaf_progress.set_missing(
                state, open_query, leaf_state, MissingReason.REQUEST_SUSPECT
            )
            finish.finish_if_done(state, open_query, now_us, effects)
            continue
        retries.retry_leaf(
            state, open_query, leaf_state, FailureKind.RESET, RunState.UNKNOWN, now_us, effects
        )
