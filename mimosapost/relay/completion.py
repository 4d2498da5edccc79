"""Completion of requests.

The reply states whether the request may have run, and a refusal of a request that did not run
also states when the caller may retry.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, ObserveDuration, SendPeer, WriteLog
from mimosapost.model.peer_messages import GatherAnswer
from mimosapost.relay.effects import SendReply
from mimosapost.relay.messages import (
    ForwardedReply,
    GatheredReply,
    Refusal,
    Reply,
    ServerAnswer,
)
from mimosapost.relay.record_merge import merge_records
from mimosapost.relay.registry import Effects, TimerKind
from mimosapost.relay.retry_after import get_retry_after_us
from mimosapost.relay.sends import abandon_request, abandon_sends
from mimosapost.relay.state import GatheredParts, OpenRequest, Part, RelayState

__all__ = [
    "CRASHED_REASON",
    "check_progress",
    "choose_gathered",
    "count_answered",
    "end_request",
    "fail_part",
    "fail_unsent_parts",
    "is_sufficient",
    "refuse_request",
    "report_outcomes",
]

#: Reason of parts that were not sent because the request crashes servers.
CRASHED_REASON = "crashed_servers"
# Outcomes of a gather that follow each other within this time are reported together, because
# several servers often fail at once.
_REPORT_DELAY_US = 4_000


def choose_gathered(batches: list[GatheredParts]) -> list[GatheredParts]:
    """Return the gathered answers that a reply is merged from, so that no shard is in two.

    Load pattern: both the instance that gathered a part first and the one that hedged it
    answer. The larger of two answers with a common shard is used.
    """
    chosen: list[GatheredParts] = []
    for batch in sorted(batches, key=lambda batch: -len(batch.shards)):
        if all(batch.shards.isdisjoint(other.shards) for other in chosen):
            chosen.append(batch)
    return chosen


def count_answered(open_request: OpenRequest) -> int:
    """Return the number of parts that a reply would include now."""
    chosen = choose_gathered(open_request.gathered_parts)
    covered = frozenset().union(*(batch.shards for batch in chosen))
    own = sum(
        1
        for part in open_request.parts
        if part.answer is not None and part.shard not in covered
    )
    return len(covered) + own


def is_sufficient(open_request: OpenRequest) -> bool:
    """Return whether enough parts were answered for a successful reply."""
    required = len(open_request.parts) * open_request.route.min_coverage
    # Rounding of a product such as 0.9 * 10 must not raise the required number of parts by one.
    return open_request.answered > 0 and open_request.answered >= required - 1e-9


def fail_part(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    reason: str,
    now_us: int,
    effects: Effects,
) -> None:
    """Mark a part as failed, and end the request if it can no longer succeed."""
    part.done = True
    part.reason = reason
    open_request.open_parts -= 1
    abandon_sends(state, part, now_us, effects)
    if part is open_request.trial:
        for other in open_request.parts_after_trial:
            other.done, other.reason = True, "trial_failed"
            open_request.open_parts -= 1
        open_request.parts_after_trial = []
    if open_request.served is not None:
        _schedule_report(state, open_request, now_us)
    check_progress(state, open_request, now_us, effects)


def fail_unsent_parts(state: RelayState, now_us: int, effects: Effects) -> None:
    """Mark the waiting parts as failed that turned out to have no server."""
    while state.unsent_parts:
        request_number, part = state.unsent_parts.pop()
        open_request = state.requests.get(request_number)
        if open_request is not None and not part.done:
            fail_part(state, open_request, part, "no_server", now_us, effects)


def check_progress(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    """End a request as soon as further waiting cannot improve its reply.

    A gathered request past its latency goal ends as soon as its parts are sufficient.
    """
    if open_request.served is not None:
        if not open_request.open_parts:
            end_request(state, open_request, now_us, effects)
        elif open_request.served.is_reported:
            _schedule_report(state, open_request, now_us)
        return
    route = open_request.route
    if not route.shards:
        if not open_request.open_parts:
            end_request(state, open_request, now_us, effects)
        return
    reachable = open_request.answered + open_request.open_parts
    cannot_suffice = reachable < len(open_request.parts) * route.min_coverage - 1e-9
    sufficient_past_goal = open_request.past_goal and is_sufficient(open_request)
    if not open_request.open_parts or cannot_suffice or sufficient_past_goal:
        end_request(state, open_request, now_us, effects)


def end_request(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    """Reply with the parts answered so far and abandon the open sends."""
    request_number = open_request.request.request_number
    if open_request.served is not None:
        report_outcomes(open_request, now_us, effects, last=True)
        del state.requests[request_number]
        abandon_request(state, open_request, now_us, effects)
        _record_served(open_request, now_us, effects)
        return
    if open_request.answered == len(open_request.parts):
        _record_answered(state, open_request, now_us)
    _record_withheld(open_request, effects)
    reply = _create_reply(state, open_request, now_us)
    del state.requests[request_number]
    abandon_request(state, open_request, now_us, effects)
    decided_us = now_us if isinstance(reply, GatheredReply) else 0
    effects.append(SendReply(request_number, reply, decided_us))
    _record_end(open_request, reply, now_us, effects)


def _record_answered(state: RelayState, open_request: OpenRequest, now_us: int) -> None:
    """Clear a suspect that all its servers have answered."""
    fingerprint = open_request.request.fingerprint
    if open_request.passed_trial:
        state.suspects.record_answered(fingerprint, now_us)
    for entries in state.unanswered.values():
        entry = entries.get(fingerprint)
        if entry is not None and entry.ended_us < open_request.arrived_us:
            del entries[fingerprint]


def _schedule_report(state: RelayState, open_request: OpenRequest, now_us: int) -> None:
    served = open_request.served
    if not served.report_due:
        served.report_due = True
        number = open_request.request.request_number
        state.timers.add(now_us + _REPORT_DELAY_US, TimerKind.REPORT, number)


def report_outcomes(
    open_request: OpenRequest, now_us: int, effects: Effects, last: bool
) -> None:
    """Report the outcomes of a gather that were not reported yet to the other instance.

    Once parts are overdue, a report is sent even without any outcome, because it shows the
    other instance that this one works on the parts and that they are due for a hedge.

    :param last: whether no further outcome follows; parts without one are reported as failed.
    """
    served = open_request.served
    served.report_due = False
    answers, failed, not_run = {}, [], []
    for position, part in enumerate(open_request.parts):
        if position in served.reported or not (part.done or last):
            continue
        served.reported.add(position)
        index = served.shards[position]
        # A signature with a comma could not be told apart from two.
        if part.answer is not None and "," not in part.answer.signature:
            answers[index] = part.answer
            continue
        failed.append(index)
        if not part.possible_runs:
            not_run.append(index)
    is_overdue = now_us >= served.overdue_us
    if served.is_reported:
        while len(answers) > 1 or (answers and failed):
            index, answer = answers.popitem()
            _send_report(open_request, {index: answer}, (), (), False, True, effects)
    if not (answers or failed or last or (is_overdue and not served.is_reported)):
        return
    served.is_reported |= is_overdue
    _send_report(open_request, answers, failed, not_run, last, is_overdue, effects)


def _send_report(
    open_request: OpenRequest,
    answers: Mapping[int, ServerAnswer],
    failed: Sequence[int],
    not_run: Sequence[int],
    last: bool,
    is_overdue: bool,
    effects: Effects,
) -> None:
    served = open_request.served
    message = GatherAnswer(
        served.gather_id,
        tuple(sorted(answers)),
        tuple(answers[index].signature for index in sorted(answers)),
        merge_records((a.body for a in answers.values()), open_request.route.max_records),
        tuple(failed),
        tuple(not_run),
        last,
        is_overdue=is_overdue,
    )
    effects.append(SendPeer(served.peer, served.peer_address, message))


def _record_served(open_request: OpenRequest, now_us: int, effects: Effects) -> None:
    missing = [part for part in open_request.parts if part.answer is None]
    fields = (
        ("request", open_request.request.request_id),
        ("peer", open_request.served.peer),
        ("version", open_request.version),
        ("elapsed_ms", (now_us - open_request.arrived_us) // 1_000),
        ("parts", len(open_request.parts)),
        ("answered", open_request.answered),
        ("median_ms", _get_median_answer_ms(open_request)),
        ("slowest", _describe_slowest(open_request)),
        ("missing", " ".join(_describe_part(part) for part in missing[:4])),
    )
    effects.append(WriteLog("gather_served", fields))


def _create_reply(state: RelayState, open_request: OpenRequest, now_us: int) -> Reply:
    route = open_request.route
    if route.shards and is_sufficient(open_request):
        gathered = choose_gathered(open_request.gathered_parts)
        covered = frozenset().union(*(batch.shards for batch in gathered))
        answers = [
            part.answer
            for part in open_request.parts
            if part.answer is not None and part.shard not in covered
        ]
        signatures = [answer.signature for answer in answers]
        for batch in gathered:
            signatures += batch.signatures
        bodies = [*(a.body for a in answers), *(batch.records for batch in gathered)]
        missing = len(open_request.parts) - len(signatures)
        code = ResultCode.PARTIAL if missing else ResultCode.COMPLETE
        body = merge_records(bodies, route.max_records)
        return GatheredReply(code, tuple(signatures), missing, body)
    answer = _find_server_answer(open_request)
    if answer is not None and not _is_withheld(open_request, answer):
        return ForwardedReply(ResultCode.COMPLETE, answer)
    may_have_run = any(part.possible_runs for part in open_request.parts)
    expired = now_us >= open_request.deadline_us
    if may_have_run:
        code = ResultCode.DEADLINE_EXCEEDED if expired else ResultCode.OUTCOME_UNKNOWN
        return Refusal(code, 0, _join_missing_reasons(open_request))
    if any(part.reason == CRASHED_REASON for part in open_request.parts):
        return Refusal(ResultCode.REQUEST_REFUSED, 0, CRASHED_REASON)
    code = ResultCode.DEADLINE_TOO_SHORT if expired else ResultCode.OVERLOADED
    if expired and state.stop_requested_us:
        code = ResultCode.STOPPING
    return Refusal(
        code,
        max(get_retry_after_us(state, open_request, now_us), open_request.retry_after_us),
        _join_missing_reasons(open_request),
    )


def _find_server_answer(open_request: OpenRequest) -> ServerAnswer | None:
    """Return the signed answer or failure of the server of a request to one server."""
    if open_request.route.shards:
        return None
    return open_request.parts[0].answer or open_request.failed_answer


def _is_withheld(open_request: OpenRequest, answer: ServerAnswer) -> bool:
    """Return whether an answer is replaced, because callers would take it for a proven refusal.

    A request that may run once is repeated only after such a refusal. Callers repeat all others
    after any failure, so that the server's own status and body are of more use to them.
    """
    return answer.unproven_refusal and not open_request.route.repeatable


def _record_withheld(open_request: OpenRequest, effects: Effects) -> None:
    answer = _find_server_answer(open_request)
    if answer is None or not _is_withheld(open_request, answer):
        return
    fields = (
        ("request", open_request.request.request_id),
        ("route", open_request.route.name),
        ("status", answer.status),
        ("server", open_request.parts[0].tried_servers[-1]),
    )
    effects.append(WriteLog("answer_withheld", fields))
    effects.append(IncrementCounter("mimosapost_relay_withheld_answers_total"))


def refuse_request(
    state: RelayState,
    request_number: int,
    request_id: str,
    refusal: Refusal,
    effects: Effects,
    fields: tuple[tuple[str, str | int], ...] = (),
) -> None:
    """Refuse a request that was not sent to any server.

    :param request_number: number of the request, unique within this process.
    :param request_id: id that the caller gave this attempt, for the log.
    :param fields: further fields of the log line.
    """
    effects.append(SendReply(request_number, refusal))
    version = state.catalog.version if state.catalog is not None else 0
    common_fields = (
        ("request", request_id),
        ("code", int(refusal.code)),
        ("detail", refusal.detail),
        ("version", version),
        ("retry_after_ms", refusal.retry_after_us // 1_000),
    )
    effects.append(WriteLog("request_refused", common_fields + fields))
    labels = (("code", str(int(refusal.code))),)
    effects.append(IncrementCounter("mimosapost_relay_replies_total", labels))


def _join_missing_reasons(open_request: OpenRequest) -> str:
    reasons = sorted(
        {part.reason or "open" for part in open_request.parts if not part.is_answered}
    )
    return ",".join(reasons)


def _describe_part(part: Part) -> str:
    return f"{part.service}:{part.reason or 'open'}:{'/'.join(part.tried_servers)}"


def _get_median_answer_ms(open_request: OpenRequest) -> int:
    times = sorted(part.answered_us for part in open_request.parts if part.is_answered)
    return (times[len(times) // 2] - open_request.arrived_us) // 1_000 if times else 0


def _describe_slowest(open_request: OpenRequest) -> str:
    answered = [part for part in open_request.parts if part.is_answered]
    if not answered:
        return ""
    slowest = max(answered, key=lambda part: part.answered_us)
    elapsed_ms = (slowest.answered_us - open_request.arrived_us) // 1_000
    return f"{slowest.service}:{elapsed_ms}:{'/'.join(slowest.tried_servers)}"


def _record_end(open_request: OpenRequest, reply: Reply, now_us: int, effects: Effects) -> None:
    missing = [part for part in open_request.parts if not part.is_answered]
    status = reply.answer.status if isinstance(reply, ForwardedReply) else 0
    fields = (
        ("request", open_request.request.request_id),
        ("route", open_request.route.name),
        ("version", open_request.version),
        ("code", int(reply.code)),
        ("status", status),
        ("elapsed_ms", (now_us - open_request.arrived_us) // 1_000),
        ("due_ms", max(0, open_request.reply_due_us - open_request.arrived_us) // 1_000),
        ("left_ms", (open_request.request.deadline_us - now_us) // 1_000),
        ("parts", len(open_request.parts)),
        ("answered", open_request.answered),
        ("gathers", len(open_request.gather_ids)),
        ("hedges", open_request.hedges),
        ("retries", open_request.retries),
        ("median_ms", _get_median_answer_ms(open_request)),
        ("slowest", _describe_slowest(open_request)),
        ("missing", " ".join(_describe_part(part) for part in missing[:4])),
    )
    effects.append(WriteLog("request_ended", fields))
    elapsed_us = now_us - open_request.arrived_us
    effects.append(
        ObserveDuration("mimosapost_relay_request_seconds", open_request.route.name, elapsed_us)
    )
    labels = (("code", str(int(reply.code))),)
    effects.append(IncrementCounter("mimosapost_relay_replies_total", labels))
    if open_request.workspace is not None:
        labels = (("workspace", open_request.workspace.name), *labels)
        effects.append(IncrementCounter("mimosapost_relay_workspace_replies_total", labels))
