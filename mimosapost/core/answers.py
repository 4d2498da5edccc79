"""Answers of backend servers: partial results, rejected snapshots and load reports."""

from __future__ import annotations

from mimosapost.core import counters, fanout, finish, leaf_progress, retries, slots
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import OpenQuery, OpenSend, State
from mimosapost.merging import find_merge
from mimosapost.model.codes import FailureKind, MissingReason, RunState
from mimosapost.model.effects import IncrementCounter
from mimosapost.model.events import LoadReported, SendAnswered, SendRejected
from mimosapost.model.identities import Snapshot
from mimosapost.planning.plans import create_replan

__all__ = ["handle_send_answered", "handle_send_rejected"]


@handles(SendAnswered)
def handle_send_answered(state: State, event: SendAnswered, effects: Effects) -> None:
    """Add the answer of a leaf to its query, unless the query no longer needs it."""
    answer, now_us = event.answer, event.now_us
    open_send = state.sends.get(event.send_id)
    if open_send is None:
        return
    state.silence.record_bytes(open_send.slot.server, event.send_id, now_us)
    send = retries.close_send(state, event.send_id, now_us)
    server = state.servers[send.slot.server]
    server.load, server.load_reported_us = answer.load, now_us
    retries.mark_up(server, answer.boot_id, now_us)
    elapsed_us = now_us - send.sent_us
    state.warmup.record_answer(server.address, answer.boot_id, elapsed_us, now_us)
    state.latency.record(send.service, retries.get_slot_id(send), elapsed_us, now_us)
    open_query = state.queries.get(send.query_id)
    if open_query is None or send.wasted:
        effects.append(IncrementCounter(counters.SENDS_WASTED))
        return
    _add_part(state, open_query, send, event, effects)


def _add_part(
    state: State, open_query: OpenQuery, send: OpenSend, event: SendAnswered, effects: Effects
) -> None:
    answer = event.answer
    leaf_state = open_query.leaf_states[send.leaf]
    snapshot = Snapshot(answer.map_version, answer.index_version)
    if answer.request_id != fanout.create_request_id(state, send.send_id):
        # The answer belongs to another request, so whether this send ran is unknown.
        kind, run = FailureKind.MALFORMED, RunState.UNKNOWN
        open_query.unknown_sends += 1
        retries.retry_leaf(state, open_query, leaf_state, kind, run, event.now_us, effects)
        return
    open_query.ran = True
    fits = answer.leaf == send.leaf and snapshot == open_query.plan.snapshot
    if not fits or not find_merge(open_query.service.merge).check_part(answer.items):
        retries.retry_leaf(
            state,
            open_query,
            leaf_state,
            FailureKind.MALFORMED,
            RunState.RAN,
            event.now_us,
            effects,
        )
        return
    if open_query.coverage.add_part(send.leaf, snapshot, answer.items):
        if not leaf_state.done:
            # A leaf that was given up while its hedge was open has already been subtracted.
            leaf_state.done = True
            open_query.open_leafs -= 1
        leaf_progress.stop_waiting(state, leaf_state)
    leaf_progress.cancel_sends(state, leaf_state, effects)
    if open_query.open_leafs == 0:
        _update_index_floor(state, open_query)
    finish.finish_if_done(state, open_query, event.now_us, effects)


def _update_index_floor(state: State, open_query: OpenQuery) -> None:
    """Record the snapshot of a complete replanned query, so that later queries start there."""
    if open_query.plan.replanned and not open_query.coverage.list_missing():
        service = state.services.get(open_query.query.service)
        if service is not None:
            service.index_floor = max(service.index_floor, tuple(open_query.plan.snapshot))


@handles(SendRejected)
def handle_send_rejected(state: State, event: SendRejected, effects: Effects) -> None:
    """Replan the query at a newer snapshot, or retry the leaf at another slot.

    If the server already holds a newer snapshot and the query cannot be replanned, the leaf is
    given up unless one of its sends is still open.
    """
    send = retries.close_send(state, event.send_id, event.now_us)
    if send is None:
        return
    retries.mark_up(state.servers[send.slot.server], event.boot_id, event.now_us)
    state.warmup.record_boot(send.slot.server, event.boot_id)
    open_query = state.queries.get(send.query_id)
    if open_query is None or send.wasted:
        return
    leaf_state = open_query.leaf_states[send.leaf]
    service = state.services.get(send.service)
    server_snapshot = Snapshot(event.map_version, event.index_version)
    plan = None
    if service is not None and open_query.query.repeatable and _has_time(state, send, event):
        plan = create_replan(open_query.plan, server_snapshot, service.settings)
    if plan is not None:
        fanout.replan_query(state, open_query, service, plan, event.now_us, effects)
    elif server_snapshot > open_query.plan.snapshot:
        if not leaf_state.open_sends:
            leaf_progress.set_missing(
                state, open_query, leaf_state, MissingReason.SNAPSHOT_GONE
            )
    else:
        retries.retry_leaf(
            state,
            open_query,
            leaf_state,
            FailureKind.SHED,
            RunState.NOT_RUN,
            event.now_us,
            effects,
            final_reason=MissingReason.SNAPSHOT_GONE,
        )
    finish.finish_if_done(state, open_query, event.now_us, effects)


def _has_time(state: State, send: OpenSend, event: SendRejected) -> bool:
    """Return whether enough time is left to answer a new plan.

    A new plan discards the partial results of the old one.
    """
    expected_us = state.latency.get_median_us(send.service)
    return event.now_us + expected_us <= send.deadline_us


@handles(LoadReported)
def handle_load_reported(state: State, event: LoadReported, effects: Effects) -> None:
    """Store a load report with its time; the choice of a slot weights it by its age."""
    server = slots.get_server(state, event.server)
    server.load, server.load_reported_us = event.load, event.now_us
