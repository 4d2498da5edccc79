"""Ends of requests: the reply, its truth about execution, and when to come back."""

from __future__ import annotations

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import Count, Observe, WriteLog
from mimosapost.relay.effects import SendReply
from mimosapost.relay.exchanges import GatheredReply, PassedReply, Refusal, Reply
from mimosapost.relay.record_merge import merge_records
from mimosapost.relay.registry import Effects
from mimosapost.relay.retry_after import get_retry_after_us
from mimosapost.relay.sends import abandon_sends
from mimosapost.relay.state import OpenRequest, Part, RelayState

__all__ = ["check_progress", "end_request", "fail_part", "is_sufficient", "refuse_request"]


def is_sufficient(opened: OpenRequest) -> bool:
    """Return whether the parts that were answered make a success."""
    wanted = len(opened.parts) * opened.route.min_coverage
    # A share such as 0.9 of 10 parts must not need an eleventh because of rounding.
    return opened.answered > 0 and opened.answered >= wanted - 1e-9


def fail_part(
    state: RelayState,
    opened: OpenRequest,
    part: Part,
    reason: str,
    now_us: int,
    effects: Effects,
) -> None:
    """Give up a part, and the request if it cannot succeed without it."""
    part.done = True
    part.reason = reason
    opened.open_parts -= 1
    abandon_sends(state, part, now_us, effects)
    check_progress(state, opened, now_us, effects)


def check_progress(
    state: RelayState, opened: OpenRequest, now_us: int, effects: Effects
) -> None:
    """Reply as soon as waiting longer cannot help the caller."""
    route = opened.route
    if not route.shards:
        if not opened.open_parts:
            end_request(state, opened, now_us, effects)
        return
    reachable = opened.answered + opened.open_parts
    cannot_suffice = reachable < len(opened.parts) * route.min_coverage - 1e-9
    late = opened.past_goal and is_sufficient(opened)
    if not opened.open_parts or cannot_suffice or late:
        end_request(state, opened, now_us, effects)


def end_request(state: RelayState, opened: OpenRequest, now_us: int, effects: Effects) -> None:
    """Reply with what there is."""
    reply = _create_reply(state, opened, now_us)
    number = opened.request.number
    del state.requests[number]
    for part in opened.parts:
        if part.sends:
            abandon_sends(state, part, now_us, effects)
    effects.append(SendReply(number, reply))
    _log_end(opened, reply, now_us, effects)


def _create_reply(state: RelayState, opened: OpenRequest, now_us: int) -> Reply:
    route = opened.route
    if route.shards and is_sufficient(opened):
        answers = [part.answer for part in opened.parts if part.answer is not None]
        missing = len(opened.parts) - len(answers)
        body = merge_records((answer.body for answer in answers), route.top)
        code = ResultCode.PARTIAL if missing else ResultCode.COMPLETE
        return GatheredReply(code, tuple(a.signature for a in answers), missing, body)
    if not route.shards:
        answer = opened.parts[0].answer or opened.failed_answer
        if answer is not None:
            return PassedReply(ResultCode.COMPLETE, answer)
    may_have_run = any(part.possible_runs for part in opened.parts)
    expired = now_us >= opened.deadline_us
    if may_have_run:
        code = ResultCode.DEADLINE_EXCEEDED if expired else ResultCode.OUTCOME_UNKNOWN
        return Refusal(code, 0, _describe_missing_parts(opened))
    code = ResultCode.DEADLINE_TOO_SHORT if expired else ResultCode.OVERLOADED
    return Refusal(
        code, get_retry_after_us(state, opened, now_us), _describe_missing_parts(opened)
    )


def refuse_request(
    state: RelayState,
    number: int,
    request_id: str,
    refusal: Refusal,
    effects: Effects,
    fields: tuple[tuple[str, str | int], ...] = (),
) -> None:
    """Refuse a request before any send."""
    effects.append(SendReply(number, refusal))
    version = state.catalog.version if state.catalog is not None else 0
    line = (
        ("request", request_id),
        ("code", int(refusal.code)),
        ("detail", refusal.detail),
        ("version", version),
        ("retry_after_ms", refusal.retry_after_us // 1_000),
    )
    effects.append(WriteLog("request_refused", line + fields))
    labels = (("code", str(int(refusal.code))),)
    effects.append(Count("mimosapost_relay_replies_total", labels))


def _describe_missing_parts(opened: OpenRequest) -> str:
    reasons = sorted({part.reason or "open" for part in opened.parts if part.answer is None})
    return ",".join(reasons)


def _describe_part(part: Part) -> str:
    return f"{part.service}:{part.reason or 'open'}:{'/'.join(part.tried_servers)}"


def _get_median_ms(opened: OpenRequest) -> int:
    times = sorted(part.answered_us for part in opened.parts if part.answer is not None)
    return (times[len(times) // 2] - opened.arrived_us) // 1_000 if times else 0


def _describe_slowest(opened: OpenRequest) -> str:
    answered = [part for part in opened.parts if part.answer is not None]
    if not answered:
        return ""
    last = max(answered, key=lambda part: part.answered_us)
    elapsed_ms = (last.answered_us - opened.arrived_us) // 1_000
    return f"{last.service}:{elapsed_ms}:{'/'.join(last.tried_servers)}"


def _log_end(opened: OpenRequest, reply: Reply, now_us: int, effects: Effects) -> None:
    missing = [part for part in opened.parts if part.answer is None]
    status = reply.answer.status if isinstance(reply, PassedReply) else 0
    fields = (
        ("request", opened.request.request_id),
        ("route", opened.route.name),
        ("version", opened.version),
        ("code", int(reply.code)),
        ("status", status),
        ("elapsed_ms", (now_us - opened.arrived_us) // 1_000),
        ("left_ms", (opened.request.deadline_us - now_us) // 1_000),
        ("parts", len(opened.parts)),
        ("answered", opened.answered),
        ("hedges", opened.hedges),
        ("retries", opened.retries),
        ("median_ms", _get_median_ms(opened)),
        ("slowest", _describe_slowest(opened)),
        ("missing", " ".join(_describe_part(part) for part in missing[:4])),
    )
    effects.append(WriteLog("request_ended", fields))
    elapsed_us = now_us - opened.arrived_us
    effects.append(Observe("mimosapost_relay_request_seconds", opened.route.name, elapsed_us))
    labels = (("code", str(int(reply.code))),)
    effects.append(Count("mimosapost_relay_replies_total", labels))
