"""Hedges: second sends of parts that were not answered in the usual time.

Load pattern: of the dozens of servers of a query some pause, so most queries hedge several
parts at the same moment, and the other servers of these shards are often in another region. The
hedges of a moment are decided together, so that those for one failure domain share one message
to an instance there.

A query that no server has answered may be the cause itself: it may crash or hang each server
that runs it. Only one of its hedges is sent then, and the others follow its first answer.
"""

from __future__ import annotations

from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.gathers import PlannedPart, assign_domains, start_gather
from mimosapost.relay.partners import find_partner, list_linked_domains
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.sends import (
    emit_send,
    queue_hedge,
    rank_warm_servers,
)
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.state import HedgeDue, OpenRequest, Part, RelayState
from mimosapost.suspects.tracker import SuspicionState

__all__ = ["start_hedges"]


@handles_timer(TimerKind.HEDGE)
def hedge_send(state: RelayState, key: int, now_us: int, _effects: Effects) -> None:
    """Hedge a part if its send has not been answered within the hedge delay."""
    send = state.sends.get(key)
    open_request = state.requests.get(send.request_number) if send is not None else None
    if send is None or open_request is None or send.part.done or send.abandoned_us:
        return
    server_id, waited_us = send.record.server.server_id, now_us - send.sent_us
    queue_hedge(state, open_request, send.part, server_id, waited_us, send.pool.slow_us)


def start_hedges(state: RelayState, now_us: int, effects: Effects) -> None:
    """Start the hedges that became due with the current event."""
    while state.hedges_due:
        due_by_request, state.hedges_due = state.hedges_due, {}
        for request_number, due in due_by_request.items():
            open_request = state.requests.get(request_number)
            if open_request is not None:
                _hedge_parts(state, open_request, due, now_us, effects)


def _hedge_parts(
    state: RelayState,
    open_request: OpenRequest,
    due: list[HedgeDue],
    now_us: int,
    effects: Effects,
) -> None:
    fingerprint = open_request.request.fingerprint
    if state.suspects.classify(fingerprint, now_us) is not SuspicionState.CLEAR:
        return
    can_gather = state.peers is not None and bool(open_request.route.shards)
    linked_domains = list_linked_domains(state.peers, now_us) if can_gather else ()
    due_by_shard: dict[int, HedgeDue] = {}
    gathered: list[PlannedPart] = []
    direct: list[tuple[Part, ServerRecord]] = []
    for hedge in due:
        part = hedge.part
        if part.shard in due_by_shard or not _may_hedge(open_request, part):
            continue
        if _is_unanswered_query(open_request) and (open_request.hedges or due_by_shard):
            open_request.held_hedges.append(hedge)
            continue
        choices = rank_warm_servers(state, open_request, part, linked_domains, now_us)
        if not choices or not state.get_budget(part.service).try_spend():
            continue
        due_by_shard[part.shard] = hedge
        if hedge.is_direct or not can_gather:
            direct.append((part, choices[0]))
        else:
            gathered.append(PlannedPart(part, choices))
    open_request.hedges += len(due_by_shard)
    domains, rest = assign_domains(
        state.instance_settings.domain,
        gathered,
        lambda domain: find_partner(state.peers, domain, now_us) is not None,
    )
    for domain, entries in domains.items():
        start_gather(state, open_request, domain, entries, now_us, effects, is_hedge=True)
    for part, record in (*direct, *rest):
        hedge = due_by_shard[part.shard]
        _log_hedge(state, open_request, hedge, record, effects)
        emit_send(state, open_request, part, record, now_us, effects)
    labels = (("reason", "hedge"),)
    for _ in due_by_shard:
        effects.append(IncrementCounter("mimosapost_relay_repeats_total", labels))


def _is_unanswered_query(open_request: OpenRequest) -> bool:
    return len(open_request.parts) > 1 and not open_request.answered


def _may_hedge(open_request: OpenRequest, part: Part) -> bool:
    return (
        open_request.route.repeatable
        and not open_request.past_goal
        and not part.done
        and len(part.sends) + len(part.gather_ids) < 2
        and part.possible_runs < open_request.route.max_sends
    )


def _log_hedge(
    state: RelayState,
    open_request: OpenRequest,
    hedge: HedgeDue,
    record: ServerRecord,
    effects: Effects,
) -> None:
    fields = (
        ("request", open_request.request.request_id),
        ("server", hedge.server_id),
        ("next_server", record.server.server_id),
        ("waited_ms", hedge.waited_us // 1_000),
        ("usual_ms", hedge.usual_us // 1_000),
        ("budget", state.get_budget(hedge.part.service).available),
    )
    effects.append(WriteLog("send_hedged", fields))
