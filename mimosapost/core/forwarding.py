"""Forwarding of non-idempotent queries to the instance that issued their ticket."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from mimosapost.core import counters, finish
from mimosapost.core.registry import Effects
from mimosapost.core.state import ForwardedQuery, State
from mimosapost.core.timers import TimerKind
from mimosapost.model.codes import ResultCode, RunState
from mimosapost.model.effects import IncrementCounter, SendPeer
from mimosapost.model.peer_messages import Forward, ForwardAnswer
from mimosapost.model.queries import Answer, Query

__all__ = [
    "expire_forward",
    "fail_forwards",
    "forward_query",
    "read_forward",
    "read_forward_answer",
]

# Subtracted from the remaining time of a forwarded query, so that the answer can travel between
# regions before the caller's deadline.
_RETURN_MARGIN_US = 15_000
# A forward is recorded for this many times max_deadline_us to detect a duplicate; its query
# ends long before that.
_DUPLICATE_WINDOW_DEADLINES = 4
# The decoder raises RecursionError for deeply nested JSON.
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError)


def forward_query(
    state: State, query: Query, issuer: str, incarnation: int, now_us: int, effects: Effects
) -> None:
    """Forward a query to the issuer of its ticket.

    Only the issuer knows whether the ticket was used. If it cannot be reached, the outcome of
    an earlier attempt is unknown and the query is not run.
    """
    member = state.members.find_incarnation(issuer, incarnation)
    if member is None or query.forwarded_by:
        _answer_unreachable(state, query, now_us, effects)
        return
    state.forwards[query.query_id] = ForwardedQuery(query, issuer)
    state.timers.add(
        query.deadline_us - state.policy.answer_margin_us,
        TimerKind.FORWARD_DEADLINE,
        query.query_id,
    )
    remaining_us = query.deadline_us - now_us - _RETURN_MARGIN_US
    message = Forward(
        query.query_id, incarnation, msgspec.json.encode(query), max(0, remaining_us)
    )
    effects.append(SendPeer(issuer, member.peer_address, message))
    effects.append(IncrementCounter(counters.QUERIES_FORWARDED))


def _answer_unreachable(state: State, query: Query, now_us: int, effects: Effects) -> None:
    answer = Answer(
        ResultCode.ISSUER_UNREACHABLE,
        RunState.UNKNOWN,
        detail="outcome unknown, not repeated: the issuer of the ticket cannot be reached",
    )
    finish.deliver(state, query, answer, now_us, effects)


def expire_forward(state: State, query_id: int, now_us: int, effects: Effects) -> None:
    """Answer a forwarded query whose issuer did not answer in time."""
    forwarded = state.forwards.pop(query_id, None)
    if forwarded is not None:
        _answer_unreachable(state, forwarded.query, now_us, effects)


def fail_forwards(state: State, peer: str, now_us: int, effects: Effects) -> None:
    """Answer all queries that were forwarded to a peer whose link is lost."""
    lost = [key for key, forwarded in state.forwards.items() if forwarded.peer == peer]
    for query_id in lost:
        expire_forward(state, query_id, now_us, effects)


def read_forward(state: State, peer: str, message: Forward, now_us: int) -> Query | None:
    """Decode a forwarded query as a query of this instance.

    :returns: the query, or ``None`` if it is for another incarnation, malformed or a duplicate;
        the sender then answers "outcome unknown" at its deadline.
    """
    if message.target_incarnation != state.identity.incarnation:
        return None
    try:
        query = msgspec.json.decode(message.query, type=Query)
    except _DECODE_ERRORS:
        return None
    if _is_duplicate_forward(state, peer, message, now_us):
        return None
    query_id = state.next_internal_id
    state.next_internal_id -= 1
    state.reply_to[query_id] = (peer, message.forward_id)
    return replace(
        query,
        query_id=query_id,
        deadline_us=now_us + message.remaining_us,
        forwarded_by=peer,
    )


def _is_duplicate_forward(state: State, peer: str, message: Forward, now_us: int) -> bool:
    """Return whether a forward repeats one that was accepted before.

    A duplicate could run a query that the caller was told had not run: a refusal of the first
    copy as "not run" makes its ticket usable again.
    """
    seen = state.forwards_seen
    while seen and next(iter(seen.values())) <= now_us:
        del seen[next(iter(seen))]
    member = state.members.find_by_name(peer)
    identity = member.identity if member is not None else None
    key = (peer, identity.incarnation if identity else 0, message.forward_id)
    if key in seen:
        return True
    seen[key] = now_us + _DUPLICATE_WINDOW_DEADLINES * state.policy.max_deadline_us
    return False


def read_forward_answer(
    state: State, peer: str, message: ForwardAnswer, now_us: int, effects: Effects
) -> None:
    """Deliver the issuer's answer to the caller that sent the query to this instance."""
    forwarded = state.forwards.get(message.forward_id)
    if forwarded is None or forwarded.peer != peer:
        return
    try:
        answer = msgspec.json.decode(message.answer, type=Answer)
        if answer.result is not None:
            answer = replace(answer, result=msgspec.Raw(msgspec.json.encode(answer.result)))
    except _DECODE_ERRORS:
        return
    del state.forwards[message.forward_id]
    finish.deliver(state, forwarded.query, answer, now_us, effects)
