"""Completion of queries: the answer, its run state, and the release of limits."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from mimosapost.core import leaf_progress
from mimosapost.core.registry import Effects
from mimosapost.core.state import OpenQuery, State
from mimosapost.merging import find_merge
from mimosapost.model.codes import MissingReason, ResultCode, RunState
from mimosapost.model.effects import AnswerCaller, SendPeer
from mimosapost.model.peer_messages import ForwardAnswer
from mimosapost.model.queries import Answer, MissingLeaf, Query

__all__ = [
    "deliver",
    "expire_joined",
    "finish_at_deadline",
    "finish_if_done",
    "refuse",
    "refuse_open",
    "remove_joined",
]


def refuse(state: State, query: Query, code: ResultCode, now_us: int, effects: Effects) -> None:
    """Refuse a query for which no send was emitted."""
    deliver(state, query, Answer(code, RunState.NOT_RUN), now_us, effects)


def refuse_open(
    state: State, open_query: OpenQuery, code: ResultCode, now_us: int, effects: Effects
) -> None:
    """Refuse an open query and report what is known about the execution of its sends."""
    run = get_run_state(open_query)
    missing = open_query.coverage.list_missing() if open_query.coverage else ()
    snapshot = open_query.plan.snapshot if open_query.plan else None
    answer = Answer(code, run, snapshot=snapshot, missing=missing)
    _close_query(state, open_query, answer, now_us, effects)


def finish_if_done(state: State, open_query: OpenQuery, now_us: int, effects: Effects) -> None:
    """Answer a query when no leaf is open, or refuse it when its coverage stays too low."""
    if open_query.query.query_id not in state.queries or open_query.coverage is None:
        return
    if open_query.open_leafs == 0:
        _answer_query(state, open_query, now_us, effects)
        return
    reachable = open_query.coverage.covered_count + open_query.open_leafs
    # Divide as the final check does: in floating point, 0.07 * 100 is greater than 7.
    share = reachable / len(open_query.plan.leafs)
    # Non-idempotent work continues, because cancelling it would only make its outcome unknown.
    if share < open_query.query.min_coverage and open_query.query.repeatable:
        refuse_open(state, open_query, ResultCode.COVERAGE_TOO_LOW, now_us, effects)


def finish_at_deadline(
    state: State, open_query: OpenQuery, now_us: int, effects: Effects
) -> None:
    """Answer a query at its deadline with the partial results that have arrived."""
    if open_query.coverage is None:
        refuse_open(state, open_query, ResultCode.DEADLINE_EXCEEDED, now_us, effects)
        return
    for leaf_state in open_query.leaf_states.values():
        if not leaf_state.done:
            reason = _choose_missing_reason(open_query, leaf_state)
            leaf_progress.set_missing(state, open_query, leaf_state, reason)
    _answer_query(state, open_query, now_us, effects)


def remove_joined(state: State, query_id: int) -> Query | None:
    """Remove a query from those that wait for a running attempt with the same ticket.

    :returns: the query, or ``None`` if it does not wait for an attempt.
    """
    running_id = state.joined_to.pop(query_id, None)
    return (
        None if running_id is None else state.queries[running_id].joined_queries.pop(query_id)
    )


def expire_joined(state: State, query_id: int, now_us: int, effects: Effects) -> None:
    """Answer a joined query whose deadline comes before the running attempt has ended."""
    query = remove_joined(state, query_id)
    if query is not None:
        answer = Answer(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        deliver(state, query, answer, now_us, effects)


def _choose_missing_reason(
    open_query: OpenQuery, leaf_state: leaf_progress.LeafState
) -> MissingReason:
    if leaf_state.waiting and not leaf_state.open_sends:
        return MissingReason.LIMIT_REACHED
    if leaf_state.open_sends and not open_query.query.repeatable:
        return MissingReason.OUTCOME_UNKNOWN
    return MissingReason.TIMED_OUT


def get_run_state(open_query: OpenQuery) -> RunState:
    """Return what is known about the execution of an open query.

    ``NOT_RUN`` requires that every send was confirmed not to have run. The outcome of an
    emitted send that the edge has not confirmed is unknown.
    """
    in_flight = sum(
        len(leaf_state.open_sends) for leaf_state in open_query.leaf_states.values()
    )
    unknown = open_query.unknown_sends + in_flight
    if unknown and not (open_query.ran and open_query.query.repeatable):
        return RunState.UNKNOWN
    return RunState.RAN if open_query.ran else RunState.NOT_RUN


def _answer_query(state: State, open_query: OpenQuery, now_us: int, effects: Effects) -> None:
    query, coverage = open_query.query, open_query.coverage
    if coverage.covered_count == 0:
        refuse_open(
            state, open_query, _choose_refusal_code(coverage.list_missing()), now_us, effects
        )
        return
    if coverage.covered_share < query.min_coverage and query.repeatable:
        refuse_open(state, open_query, ResultCode.COVERAGE_TOO_LOW, now_us, effects)
        return
    merge = find_merge(open_query.service.merge)
    try:
        result = msgspec.json.encode(merge.merge_parts(coverage.list_parts(), query.limit))
    except (ValueError, OverflowError):
        _refuse_parts(state, open_query, now_us, effects)
        return
    if len(result) > open_query.service.max_answer_bytes:
        refuse_open(state, open_query, ResultCode.ANSWER_TOO_LARGE, now_us, effects)
        return
    missing = coverage.list_missing()
    if open_query.suspect and not missing:
        state.suspects.record_answered(query.fingerprint, now_us)
    answer = Answer(
        ResultCode.PARTIAL if missing else ResultCode.COMPLETE,
        get_run_state(open_query),
        msgspec.Raw(result),
        open_query.plan.snapshot,
        coverage.list_covered(),
        missing,
    )
    _close_query(state, open_query, answer, now_us, effects)


def _refuse_parts(state: State, open_query: OpenQuery, now_us: int, effects: Effects) -> None:
    """Refuse a query whose partial results are each well formed but cannot be merged."""
    reason = MissingReason.MALFORMED_ANSWER
    refused = tuple(MissingLeaf(leaf, reason) for leaf in open_query.coverage.list_covered())
    answer = Answer(
        ResultCode.COVERAGE_TOO_LOW,
        get_run_state(open_query),
        snapshot=open_query.plan.snapshot,
        missing=refused + open_query.coverage.list_missing(),
    )
    _close_query(state, open_query, answer, now_us, effects)


_NO_PART_CODES = {
    MissingReason.OUTCOME_UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
    MissingReason.TIMED_OUT: ResultCode.DEADLINE_EXCEEDED,
    MissingReason.LIMIT_REACHED: ResultCode.OVERLOADED,
    MissingReason.REQUEST_SUSPECT: ResultCode.REQUEST_REFUSED,
}


def _choose_refusal_code(missing: tuple[MissingLeaf, ...]) -> ResultCode:
    reasons = {leaf.reason for leaf in missing}
    for reason, code in _NO_PART_CODES.items():
        if reason in reasons:
            return code
    return ResultCode.COVERAGE_TOO_LOW


def _close_query(
    state: State, open_query: OpenQuery, answer: Answer, now_us: int, effects: Effects
) -> None:
    query = open_query.query
    del state.queries[query.query_id]
    for leaf_state in open_query.leaf_states.values():
        leaf_progress.stop_waiting(state, leaf_state)
        leaf_progress.cancel_sends(state, leaf_state, effects)
    service = state.services.get(query.service)
    if open_query.plan is not None:
        state.open_queries_by_caller[query.caller] -= 1
        if not state.open_queries_by_caller[query.caller]:
            del state.open_queries_by_caller[query.caller]
        if service is not None:
            service.open_queries -= 1
            state.dirty_services.add(query.service)
    elif service is not None:
        service.queue.remove(query.query_id)
    if open_query.ticket_number:
        _close_ticket(state, open_query, answer)
    deliver(state, query, answer, now_us, effects)
    for joined in open_query.joined_queries.values():
        del state.joined_to[joined.query_id]
        deliver(state, joined, answer, now_us, effects)


def _close_ticket(state: State, open_query: OpenQuery, answer: Answer) -> None:
    number = open_query.ticket_number
    state.query_ids_by_ticket.pop(number, None)
    if answer.run is RunState.NOT_RUN:
        state.tickets.release(number)
    else:
        state.tickets.finish(number, answer)


def deliver(state: State, query: Query, answer: Answer, now_us: int, effects: Effects) -> None:
    """Send an answer to the caller, or to the instance that forwarded the query."""
    reply_to = state.reply_to.pop(query.query_id, None)
    if reply_to is not None:
        peer, forward_id = reply_to
        message = ForwardAnswer(forward_id, msgspec.json.encode(answer))
        effects.append(SendPeer(peer, state.peer_addresses.get(peer, ""), message))
        return
    # A ticket is valid only while its issuer runs, so a stopping instance issues none.
    stopping = bool(state.stop_requested_us)
    ticket = "" if stopping else state.tickets.issue(query.caller, now_us) or ""
    effects.append(AnswerCaller(query.query_id, replace(answer, ticket=ticket)))
