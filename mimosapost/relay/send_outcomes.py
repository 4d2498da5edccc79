"""Outcomes of sends: handles answers and failures and decides on retries."""

from __future__ import annotations

from dataclasses import replace

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import IncrementCounter, ObserveDuration, WriteLog
from mimosapost.relay.catalog import Route
from mimosapost.relay.completion import check_progress, fail_part
from mimosapost.relay.crashes import (
    REFUSAL_WINDOW_US,
    hold_for_probe,
    record_crash,
    record_survival,
    record_unanswered,
)
from mimosapost.relay.events import AnswerArrived, ExchangeFailed, ProbeEnded, ProbeOutcome
from mimosapost.relay.messages import ServerAnswer
from mimosapost.relay.paced_servers import observe_answer, observe_failure
from mimosapost.relay.record_merge import RECORD_BYTES, merge_records
from mimosapost.relay.registry import Effects, TimerKind, handles, handles_timer
from mimosapost.relay.sends import (
    StartResult,
    abandon_sends,
    hedge_stragglers,
    queue_held_hedges,
    start_send,
)
from mimosapost.relay.server_loads import explain_extra_us
from mimosapost.relay.server_notes import note_server
from mimosapost.relay.server_selection import (
    record_failure,
    record_hang,
    record_latency,
    record_success,
)
from mimosapost.relay.shortage import record_answer, record_rejection
from mimosapost.relay.signal_recording import record_signals
from mimosapost.relay.state import OpenRequest, OpenSend, Part, RelayState
from mimosapost.relay.trials import start_parts_after_trial

__all__ = ["retry_or_fail"]

# Delay before another send of a part that servers rejected more than once, and the number of
# rejections after which the part fails.
_RETRY_DELAY_US = 15_000
_MAX_REJECTIONS = 4
# A server counts as hung if a send was given up after both this time and this multiple of the
# 0.9 quantile of the answer times. Pauses of healthy servers last up to 250 ms.
_MIN_HANG_US = 350_000
_HANG_RATIO = 4
# A part of a gathered request is cut to the records that can be used if it has this many times
# as many. Cutting smaller parts would cost more time than the memory is worth.
_SURPLUS_RATIO = 4


@handles(AnswerArrived)
def handle_answer(state: RelayState, event: AnswerArrived, effects: Effects) -> None:
    """Apply an answer to its part and to the record of its server."""
    send = _close_send(state, event.send_id)
    _apply_answer(state, send, event, effects)
    note_server(state, send.record, event.now_us)


def _apply_answer(
    state: RelayState, send: OpenSend, event: AnswerArrived, effects: Effects
) -> None:
    answer, now_us = event.answer, event.now_us
    record = send.record
    if answer.load is not None:
        record.load, record.load_us = answer.load, now_us
        if answer.load.is_odd:
            effects.append(IncrementCounter("mimosapost_relay_odd_loads_total"))
    if answer.misdirected:
        record.misdirected = True
        _log_server(effects, "server_misdirected", send, answer.status)
    else:
        record_signals(state, send, answer, now_us, effects)
    if answer.not_run:
        if not answer.misdirected:
            record_survival(state, send)
        send.part.possible_runs -= 1
        send.part.rejections += 1
        # A rejection is not a fault of the server. It is recorded as a failure so that further
        # sends prefer other servers, because each retry after a rejection spends budget that
        # a hedge or another retry would need.
        record_failure(record, now_us)
        if not answer.misdirected:
            record_rejection(state, send, now_us)
            observe_failure(record, "rejected", now_us, effects)
        _retry_or_fail(state, send, "rejected", now_us, effects)
        return
    record_survival(state, send)
    if not answer.closing:
        record.connection_used_us = now_us
    elapsed_us = now_us - send.sent_us
    extra_us = explain_extra_us(elapsed_us, answer.load, send.work_us)
    record_latency(record, send.pool, elapsed_us, now_us, extra_us)
    record_answer(state, send, answer, elapsed_us, now_us)
    if not send.abandoned_us:
        send.pool.record(elapsed_us)
        distance = str(record.distance)
        effects.append(ObserveDuration("mimosapost_relay_send_seconds", distance, elapsed_us))
    if not answer.signature or answer.status >= 500:
        record_failure(record, now_us)
        observe_failure(record, "failed", now_us, effects)
        open_request = state.requests.get(send.request_number)
        if open_request is not None and answer.signature:
            open_request.failed_answer = answer
        _retry_or_fail(state, send, "server_failed", now_us, effects)
        return
    record_success(record)
    usual_us, elapsed_us = send.pool.median_us, now_us - send.sent_us
    observe_answer(record, usual_us, elapsed_us, answer.load, now_us, effects)
    _complete_part(state, send, answer, now_us, effects)


def _complete_part(
    state: RelayState, send: OpenSend, answer: ServerAnswer, now_us: int, effects: Effects
) -> None:
    open_request = state.requests.get(send.request_number)
    part = send.part
    if open_request is None or part.done:
        return
    if open_request.route.shards and not 200 <= answer.status < 300:
        _retry_or_fail(state, send, "server_failed", now_us, effects)
        return
    part.answer = _discard_surplus_records(open_request.route, answer)
    part.answered_us = now_us
    part.done = True
    open_request.answered += 1
    open_request.open_parts -= 1
    abandon_sends(state, part, now_us, effects)
    if part is open_request.trial:
        open_request.passed_trial = True
    check_progress(state, open_request, now_us, effects)
    hedge_stragglers(state, open_request, now_us)
    queue_held_hedges(state, open_request)
    if open_request.passed_trial:
        start_parts_after_trial(state, open_request, now_us, effects)


def _discard_surplus_records(route: Route, answer: ServerAnswer) -> ServerAnswer:
    """Return a part that holds no more records than the merged reply can use."""
    if (
        not route.shards
        or len(answer.body) <= _SURPLUS_RATIO * route.max_records * RECORD_BYTES
    ):
        return answer
    return replace(answer, body=merge_records((answer.body,), route.max_records))


@handles(ExchangeFailed)
def handle_failure(state: RelayState, event: ExchangeFailed, effects: Effects) -> None:
    """Apply a send that ended without an answer to its part and to the record of its server."""
    send = _close_send(state, event.send_id)
    now_us = event.now_us
    waited_us = now_us - send.sent_us
    if event.run is RunState.NOT_RUN:
        send.part.possible_runs -= 1
        send.part.rejections += 1
        # Nothing reached the server, so the next send is the first one that the service gets.
        state.get_budget(send.part.service).refund()
    record = send.record
    if event.kind is FailureKind.WITHDRAWN:
        record_latency(record, send.pool, waited_us, now_us)
        if waited_us > max(_HANG_RATIO * send.pool.slow_us, _MIN_HANG_US):
            if not record.is_hung(now_us):
                _log_server(effects, "server_hung", send, waited_us // 1_000)
            record_hang(record, now_us)
            observe_failure(record, "hung", now_us, effects, is_lost=True)
    else:
        unreachable = event.kind is FailureKind.REFUSED
        if unreachable and not record.is_blocked(now_us):
            _log_server(effects, "server_blocked", send, event.kind.value)
        record_failure(record, now_us, unreachable)
        observe_failure(record, event.kind.value, now_us, effects, is_lost=unreachable)
        if unreachable:
            address = record.server.address
            record_crash(
                state, address, "refused", REFUSAL_WINDOW_US, now_us, effects, broken_only=True
            )
    record_unanswered(state, send, event, effects)
    note_server(state, record, now_us)
    effects.append(
        IncrementCounter("mimosapost_relay_send_failures_total", (("kind", event.kind.value),))
    )
    if not hold_for_probe(state, send, event, effects):
        _retry_or_fail(state, send, event.kind.value, now_us, effects)


@handles(ProbeEnded)
def handle_probe(state: RelayState, event: ProbeEnded, effects: Effects) -> None:
    """Record whether a server crashed, and retry the parts that waited for that."""
    server, now_us = event.server, event.now_us
    record = state.servers.get(server.server_id)
    effects.append(
        IncrementCounter("mimosapost_relay_probes_total", (("outcome", event.outcome.value),))
    )
    if event.outcome is ProbeOutcome.OPEN:
        state.unanswered.pop(server.address, None)
    elif event.outcome is ProbeOutcome.REFUSED:
        if record is not None:
            record_failure(record, now_us, unreachable=True)
            observe_failure(record, "refused", now_us, effects, is_lost=True)
            note_server(state, record, now_us)
        record_crash(state, server.address, "refused", REFUSAL_WINDOW_US, now_us, effects)
    for held in state.held_parts.pop(server.address, ()):
        open_request = state.requests.get(held.request_number)
        held.part.waiting = False
        if open_request is None or held.part.done or held.part.is_sent:
            continue
        retry_or_fail(
            state,
            open_request,
            held.part,
            held.server_id,
            held.waited_us,
            held.reason,
            now_us,
            effects,
        )


def _close_send(state: RelayState, send_id: int) -> OpenSend:
    send = state.sends.pop(send_id)
    send.record.open_sends.pop(send_id, None)
    send.part.sends.remove(send_id)
    if send.ran_alone:
        send.record.reserved_until_us = 0
    if state.waiting.get(send.part.service):
        state.services_to_dispatch.add(send.part.service)
    return send


def _retry_or_fail(
    state: RelayState, send: OpenSend, reason: str, now_us: int, effects: Effects
) -> None:
    open_request = state.requests.get(send.request_number)
    part = send.part
    if open_request is None or part.done or part.is_sent or part.waiting:
        return
    server_id, waited_us = send.record.server.server_id, now_us - send.sent_us
    retry_or_fail(state, open_request, part, server_id, waited_us, reason, now_us, effects)


def retry_or_fail(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    server_id: str,
    waited_us: int,
    reason: str,
    now_us: int,
    effects: Effects,
) -> None:
    """Retry a part after a send without a usable answer, or mark the part as failed.

    :param server_id: server that the part was last sent to.
    :param waited_us: time since that send, in microseconds.
    """
    route = open_request.route
    may_run_again = route.repeatable or not part.possible_runs
    allowed = part.possible_runs < route.max_sends and part.rejections < _MAX_REJECTIONS
    # Parts that are gathered for another instance are retried there.
    is_served = open_request.served is not None
    budget = state.get_budget(part.service)
    if is_served or not (may_run_again and allowed and budget.try_spend()):
        fail_part(state, open_request, part, reason, now_us, effects)
        return
    open_request.retries += 1
    effects.append(IncrementCounter("mimosapost_relay_repeats_total", (("reason", "retry"),)))
    effects.append(
        WriteLog(
            "send_retried",
            (
                ("request", open_request.request.request_id),
                ("server", server_id),
                ("reason", reason),
                ("elapsed_ms", waited_us // 1_000),
                ("runs", part.possible_runs),
            ),
        )
    )
    if part.rejections > 1 and reason == "rejected":
        # All servers of the service may be full now, but one may have room after a short delay.
        key, state.next_timer_key = state.next_timer_key, state.next_timer_key + 1
        state.parts_to_retry[key] = (open_request.request.request_number, part)
        state.timers.add(now_us + _RETRY_DELAY_US, TimerKind.RETRY, key)
        part.waiting = True
        return
    if start_send(state, open_request, part, now_us, effects) is StartResult.NO_SERVER:
        fail_part(state, open_request, part, reason, now_us, effects)


@handles_timer(TimerKind.RETRY)
def retry_part(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Retry a part that servers rejected, after its delay."""
    request_number, part = state.parts_to_retry.pop(key)
    open_request = state.requests.get(request_number)
    part.waiting = False
    if open_request is None or part.done:
        return
    if start_send(state, open_request, part, now_us, effects) is StartResult.NO_SERVER:
        fail_part(state, open_request, part, "rejected", now_us, effects)


def _log_server(effects: Effects, event: str, send: OpenSend, detail: str | int) -> None:
    server = send.record.server
    fields = (
        ("server", server.server_id),
        ("address", server.address),
        ("service", server.service),
        ("detail", detail),
        ("block_ms", send.record.block_us // 1_000),
    )
    effects.append(WriteLog(event, fields))
