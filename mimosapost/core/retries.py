"""Completion of sends and retries of leafs."""

from __future__ import annotations

from mimosapost.core import counters, fanout, finish, leaf_progress
from mimosapost.core.registry import Effects
from mimosapost.core.state import LeafState, OpenQuery, OpenSend, ServerState, State
from mimosapost.model.codes import FailureKind, MissingReason, RunState
from mimosapost.model.effects import IncrementCounter
from mimosapost.model.identities import SlotId

__all__ = ["close_send", "get_slot_id", "mark_up", "retry_leaf"]

_MISSING_REASONS = {
    FailureKind.REFUSED: MissingReason.CONNECTION_FAILED,
    FailureKind.RESET: MissingReason.CONNECTION_FAILED,
    FailureKind.CLOSED: MissingReason.CONNECTION_FAILED,
    FailureKind.SHED: MissingReason.SERVER_REFUSED,
    FailureKind.MALFORMED: MissingReason.MALFORMED_ANSWER,
    FailureKind.TOO_LARGE: MissingReason.ANSWER_TOO_LARGE,
    FailureKind.WITHDRAWN: MissingReason.TIMED_OUT,
}


def close_send(state: State, send_id: int, now_us: int) -> OpenSend | None:
    """Remove a send whose end the edge confirmed and free its allowance.

    :returns: the send, or ``None`` if its end was confirmed before.
    """
    send = state.sends.pop(send_id, None)
    if send is None:
        return None
    address = send.slot.server
    server = state.servers[address]
    server.sends.discard(send_id)
    if send.suspect:
        server.exclusive = False
    state.silence.record_done(address, send_id, now_us)
    state.dirty_servers.add(address)
    open_query = state.queries.get(send.query_id)
    if open_query is not None:
        leaf_state = open_query.leaf_states.get(send.leaf)
        if leaf_state is not None and send_id in leaf_state.open_sends:
            leaf_state.open_sends.remove(send_id)
    return send


def get_slot_id(send: OpenSend) -> SlotId:
    """Return the slot that a send went to."""
    return SlotId(send.service, send.leaf, send.slot.name)


def mark_up(server: ServerState, boot_id: str, now_us: int) -> None:
    """Mark a server as up after an answer and record its boot id."""
    server.down = False
    server.last_answer_us = now_us
    server.probe_backoff_us = 0
    if boot_id:
        server.boot_id = boot_id


def retry_leaf(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    kind: FailureKind,
    run: RunState,
    now_us: int,
    effects: Effects,
    final_reason: MissingReason | None = None,
) -> None:
    """Retry a leaf after a failed send, or give it up.

    A leaf of a non-idempotent query is retried only if the failed send was proven not to have
    run.

    :param kind: how the send failed.
    :param run: whether the server ran the failed send, as far as known.
    :param final_reason: reason to report if the leaf is given up, instead of that of ``kind``.
    """
    if leaf_state.done:
        return
    reason = final_reason or _MISSING_REASONS[kind]
    if run is not RunState.NOT_RUN and not open_query.query.repeatable:
        unknown = run is RunState.UNKNOWN
        leaf_progress.set_missing(
            state, open_query, leaf_state, MissingReason.OUTCOME_UNKNOWN if unknown else reason
        )
    elif not leaf_state.open_sends and not leaf_state.waiting:
        _retry_or_give_up(state, open_query, leaf_state, reason, now_us, effects)
    finish.finish_if_done(state, open_query, now_us, effects)


def _retry_or_give_up(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    reason: MissingReason,
    now_us: int,
    effects: Effects,
) -> None:
    service = state.services.get(open_query.query.service)
    allowed = service is not None and leaf_state.attempts < state.policy.max_attempts
    if allowed and service.retry_budget.try_spend():
        effects.append(IncrementCounter(counters.SENDS_RETRIED))
        fanout.send_leaf(state, open_query, leaf_state, now_us, effects)
        return
    leaf_progress.set_missing(state, open_query, leaf_state, reason)
