"""Admission of queries: checks, tickets, limits and the admission queue."""

from __future__ import annotations

from dataclasses import replace

from mimosapost.core import fanout, finish, forwarding
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import OpenQuery, ServiceState, State
from mimosapost.core.timers import TimerKind
from mimosapost.limits.admission_queue import WaitingQuery
from mimosapost.model.codes import ResultCode, RunState
from mimosapost.model.effects import WriteLog
from mimosapost.model.events import CallerGone, QueryArrived
from mimosapost.model.queries import Answer, Query
from mimosapost.suspects.tracker import SuspicionState
from mimosapost.tickets.store import TicketState

__all__ = ["accept_query", "start_queued_queries"]


# Duplicates of one request that may wait for the answer of its running attempt. A caller that
# sends more is faulty, and each further duplicate is answered with OUTCOME_UNKNOWN.
MAX_JOINED_QUERIES = 64


@handles(QueryArrived)
def handle_query_arrived(state: State, event: QueryArrived, effects: Effects) -> None:
    """Admit, queue, forward or refuse a query."""
    accept_query(state, event.query, event.now_us, effects)


@handles(CallerGone)
def handle_caller_gone(state: State, event: CallerGone, effects: Effects) -> None:
    """Stop the work for a caller that disconnected.

    Non-idempotent work continues, so that its answer is stored under its ticket.
    """
    finish.remove_joined(state, event.query_id)
    forwarded = state.forwards.pop(event.query_id, None)
    open_query = state.queries.get(event.query_id)
    if forwarded is not None or open_query is None or not open_query.query.repeatable:
        return
    finish.refuse_open(state, open_query, ResultCode.CALLER_GONE, event.now_us, effects)


def accept_query(state: State, query: Query, now_us: int, effects: Effects) -> None:
    """Check a query, then start, queue or refuse it.

    A deadline beyond the longest allowed one is shortened to it.

    :param query: query of an authenticated caller, or one that a peer forwarded.
    """
    latest_us = now_us + state.policy.max_deadline_us
    if query.deadline_us > latest_us:
        # The lease table relies on no send being in flight for longer than max_deadline_us.
        query = replace(query, deadline_us=latest_us)
    service = state.services.get(query.service)
    refusal = _check_query(state, query, service, now_us)
    if refusal is ResultCode.REQUEST_REFUSED:
        fields = (
            ("fingerprint", f"{query.fingerprint:016x}"),
            ("caller", query.caller),
            ("service", query.service),
        )
        effects.append(WriteLog("request_refused", fields))
    if refusal is not None:
        finish.refuse(state, query, refusal, now_us, effects)
        return
    ticket_number = 0
    if not query.repeatable:
        ticket_number = _begin_ticket(state, query, now_us, effects)
        if ticket_number == 0:
            return
    open_query = OpenQuery(query, service.settings, now_us, ticket_number=ticket_number)
    state.queries[query.query_id] = open_query
    if ticket_number:
        state.query_ids_by_ticket[ticket_number] = query.query_id
    suspicion = state.suspects.classify(query.fingerprint, now_us)
    open_query.suspect = suspicion is SuspicionState.SUSPECT
    _add_deadline_timer(state, query)
    _admit(state, open_query, service, now_us, effects)


def _check_query(
    state: State, query: Query, service: ServiceState | None, now_us: int
) -> ResultCode | None:
    if state.stopped or (state.is_draining(now_us) and not query.forwarded_by):
        return ResultCode.STOPPING
    if state.configs.get_fleet() is None or not state.joined:
        return ResultCode.NOT_CONFIGURED
    if service is None:
        return ResultCode.UNKNOWN_SERVICE
    caller = state.callers.get(query.caller)
    if caller is None:
        return ResultCode.UNKNOWN_CALLER
    if query.service not in caller.services:
        return ResultCode.CALLER_NOT_ALLOWED
    if state.suspects.classify(query.fingerprint, now_us) is SuspicionState.REFUSED:
        return ResultCode.REQUEST_REFUSED
    expected_us = state.latency.get_median_us(query.service) + state.policy.answer_margin_us
    if query.deadline_us - now_us < expected_us:
        return ResultCode.DEADLINE_TOO_SHORT
    return None


def _begin_ticket(state: State, query: Query, now_us: int, effects: Effects) -> int:
    """Begin the attempt that a ticket allows.

    :returns: number of the ticket, or 0 if the query must not run. The query was then answered,
        refused, forwarded or joined to the running attempt.
    """
    if not query.ticket:
        finish.refuse(state, query, ResultCode.TICKET_REQUIRED, now_us, effects)
        return 0
    decision = state.tickets.begin(query.ticket, query.caller, query.fingerprint, now_us)
    match decision.state:
        case TicketState.BEGAN:
            return decision.number
        case TicketState.RUNNING:
            _join_running(state, decision.number, query, now_us, effects)
        case TicketState.FINISHED:
            finish.deliver(state, query, decision.answer, now_us, effects)
        case TicketState.FOREIGN:
            forwarding.forward_query(
                state, query, decision.issuer, decision.incarnation, now_us, effects
            )
        case TicketState.EXPIRED:
            answer = Answer(ResultCode.TICKET_EXPIRED, RunState.UNKNOWN)
            finish.deliver(state, query, answer, now_us, effects)
        case TicketState.REUSED:
            finish.refuse(state, query, ResultCode.TICKET_REUSED, now_us, effects)
        case TicketState.FULL:
            finish.refuse(state, query, ResultCode.TICKETS_EXHAUSTED, now_us, effects)
        case _:
            finish.refuse(state, query, ResultCode.TICKET_INVALID, now_us, effects)
    return 0


def _join_running(
    state: State, ticket_number: int, query: Query, now_us: int, effects: Effects
) -> None:
    running = state.queries.get(state.query_ids_by_ticket.get(ticket_number, 0))
    if running is None or len(running.joined_queries) >= MAX_JOINED_QUERIES:
        answer = Answer(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        finish.deliver(state, query, answer, now_us, effects)
        return
    running.joined_queries[query.query_id] = query
    state.joined_to[query.query_id] = running.query.query_id
    _add_deadline_timer(state, query)


def _add_deadline_timer(state: State, query: Query) -> None:
    due_us = query.deadline_us - state.policy.answer_margin_us
    state.timers.add(due_us, TimerKind.QUERY_DEADLINE, query.query_id)


def _admit(
    state: State, open_query: OpenQuery, service: ServiceState, now_us: int, effects: Effects
) -> None:
    query = open_query.query
    if len(service.queue) == 0 and can_start(state, service, query.caller, now_us):
        _start(state, open_query, service, now_us, effects)
        return
    if state.open_queries_by_caller.get(query.caller, 0) >= _get_caller_limit(
        state, query.caller, now_us
    ):
        code = ResultCode.CALLER_LIMIT
    else:
        code = ResultCode.OVERLOADED
    expected_us = state.latency.get_median_us(query.service) + state.policy.answer_margin_us
    service.queue.set_run_time(expected_us)
    entry = WaitingQuery(
        query.query_id,
        query.priority,
        query.caller,
        len(service.settings.leafs),
        query.deadline_us,
        now_us,
    )
    queued = service.queue.offer(entry, now_us)
    if service.queue.has_expired:
        # At the end of this event ``start_queued_queries`` refuses the expired queries.
        state.dirty_services.add(query.service)
    if not queued:
        finish.refuse_open(state, open_query, code, now_us, effects)


def can_start(state: State, service: ServiceState, caller: str, now_us: int) -> bool:
    """Return whether this instance's shares of the service and caller limits allow a query.

    :param service: service that the query is for.
    :param caller: identity of the caller.
    """
    if not _is_below_service_limit(state, service, now_us):
        return False
    return state.open_queries_by_caller.get(caller, 0) < _get_caller_limit(
        state, caller, now_us
    )


def _is_below_service_limit(state: State, service: ServiceState, now_us: int) -> bool:
    name = service.settings.name
    limit = state.leases.get_allowance(service.settings.concurrency, f"service:{name}", now_us)
    return service.open_queries < limit


def _get_caller_limit(state: State, caller: str, now_us: int) -> int:
    settings = state.callers.get(caller)
    if settings is None:
        return 0
    return state.leases.get_allowance(settings.concurrency, f"caller:{caller}", now_us)


def _start(
    state: State, open_query: OpenQuery, service: ServiceState, now_us: int, effects: Effects
) -> None:
    service.open_queries += 1
    caller = open_query.query.caller
    state.open_queries_by_caller[caller] = state.open_queries_by_caller.get(caller, 0) + 1
    fanout.start_query(state, open_query, service, now_us, effects)


def start_queued_queries(
    state: State, service: ServiceState, now_us: int, effects: Effects
) -> None:
    """Refuse queued queries that cannot finish in time, then start as many as limits allow."""
    for entry in service.queue.drop_expired(now_us):
        open_query = state.queries.get(entry.query_id)
        if open_query is not None:
            code = ResultCode.DEADLINE_TOO_SHORT
            finish.refuse_open(state, open_query, code, now_us, effects)
    while len(service.queue) and _is_below_service_limit(state, service, now_us):
        entry = service.queue.pop(
            now_us, lambda waiting: can_start(state, service, waiting.caller, now_us)
        )
        if entry is None:
            return
        open_query = state.queries.get(entry.query_id)
        if open_query is not None:
            _start(state, open_query, service, now_us, effects)
