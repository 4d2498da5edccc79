"""Fan-out of a query: first sends, hedges and retries, each checked just before it is sent."""

from __future__ import annotations

from dataclasses import replace

from mimosapost.core import counters, finish
from mimosapost.core.leaf_progress import cancel_sends, set_missing, stop_waiting
from mimosapost.core.registry import Effects
from mimosapost.core.slots import (
    choose_eligible,
    get_server,
    get_server_allowance,
    list_eligible,
)
from mimosapost.core.state import (
    LeafState,
    OpenQuery,
    OpenSend,
    ServerState,
    ServiceState,
    State,
)
from mimosapost.core.timers import TimerKind
from mimosapost.model.codes import MissingReason
from mimosapost.model.effects import EmitSend, IncrementCounter, OpenProbe
from mimosapost.model.published_settings import SlotSettings
from mimosapost.model.queries import SubRequest
from mimosapost.planning.coverage import Coverage
from mimosapost.planning.plans import Plan, create_plan
from mimosapost.routing.hedges import HedgeContext
from mimosapost.suspects.tracker import SuspicionState

__all__ = [
    "create_request_id",
    "hedge_send",
    "replan_query",
    "send_all_waiting_leafs",
    "send_leaf",
    "send_waiting_leafs",
    "start_query",
]


def start_query(
    state: State, open_query: OpenQuery, service: ServiceState, now_us: int, effects: Effects
) -> None:
    """Pin the snapshot of an admitted query and send to each leaf."""
    map_version, index_version = service.index_floor
    floor = index_version if map_version == service.settings.map_version else 0
    _start_plan(
        state, open_query, service, create_plan(service.settings, floor), now_us, effects
    )


def replan_query(
    state: State,
    open_query: OpenQuery,
    service: ServiceState,
    plan: Plan,
    now_us: int,
    effects: Effects,
) -> None:
    """Discard the partial results of the old plan and send the query at a newer snapshot."""
    for leaf_state in open_query.leaf_states.values():
        # The new plan does not track the sends of the old one, but they may have run.
        open_query.unknown_sends += len(leaf_state.open_sends)
        cancel_sends(state, leaf_state, effects)
        stop_waiting(state, leaf_state)
    effects.append(IncrementCounter(counters.QUERIES_REPLANNED))
    _start_plan(state, open_query, service, plan, now_us, effects)


def _start_plan(
    state: State,
    open_query: OpenQuery,
    service: ServiceState,
    plan: Plan,
    now_us: int,
    effects: Effects,
) -> None:
    open_query.plan = plan
    open_query.service = service.settings
    open_query.coverage = Coverage(plan)
    open_query.hedge_delay_us = state.hedges.get_delay_us(service.settings.name)
    query_id = open_query.query.query_id
    open_query.leaf_states = {
        leaf.name: LeafState(leaf, (query_id, leaf.name)) for leaf in plan.leafs
    }
    open_query.open_leafs = len(plan.leafs)
    for leaf_state in list(open_query.leaf_states.values()):
        send_leaf(state, open_query, leaf_state, now_us, effects)
    service.hedge_budget.earn(len(plan.leafs))
    service.retry_budget.earn(len(plan.leafs))
    finish.finish_if_done(state, open_query, now_us, effects)


def send_leaf(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    now_us: int,
    effects: Effects,
    *,
    hedge: bool = False,
) -> bool:
    """Choose a slot of a leaf and emit a send, or queue the leaf until an allowance is free.

    :param hedge: whether the send is a hedge; a hedge is never queued.
    :returns: whether a send was emitted.
    """
    if now_us >= open_query.query.deadline_us - state.policy.answer_margin_us:
        # After a pause or a late tick, the timer of the deadline may not have fired yet.
        if not leaf_state.open_sends:
            set_missing(state, open_query, leaf_state, MissingReason.TIMED_OUT)
        return False
    service = state.services.get(open_query.query.service)
    if service is None:
        set_missing(state, open_query, leaf_state, MissingReason.NO_ELIGIBLE_SLOT)
        return False
    suspicion = state.suspects.classify(open_query.query.fingerprint, now_us)
    open_query.suspect = suspicion is SuspicionState.SUSPECT
    if suspicion is SuspicionState.REFUSED or (hedge and open_query.suspect):
        if not leaf_state.open_sends:
            set_missing(state, open_query, leaf_state, MissingReason.REQUEST_SUSPECT)
        return False
    slots = list_eligible(service, leaf_state)
    if not slots:
        if not hedge and not leaf_state.open_sends:
            set_missing(state, open_query, leaf_state, MissingReason.NO_ELIGIBLE_SLOT)
        return False
    if open_query.suspect and not _may_run_suspect(
        state, open_query, leaf_state, slots, now_us, effects
    ):
        return False
    slot = choose_eligible(state, open_query, leaf_state, slots, now_us)
    if slot is None:
        if not hedge:
            _enqueue_leaf(state, open_query, leaf_state, slots)
        return False
    _emit_send(state, open_query, leaf_state, service, slot, now_us, effects, hedge=hedge)
    return True


def _may_run_suspect(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    slots: list[SlotSettings],
    now_us: int,
    effects: Effects,
) -> bool:
    """Return whether a leaf keeps a live slot even if a suspect request crashes one.

    Recent answers must show that at least two servers are live. Servers whose last answer is
    too old are probed while the leaf waits, because another instance may have just seen one of
    them crash.
    """
    if leaf_state.open_sends:
        return False
    addresses = sorted({slot.server for slot in slots})
    servers = [get_server(state, address) for address in addresses]
    live = [server for server in servers if not server.down]
    if len(live) < 2:
        set_missing(state, open_query, leaf_state, MissingReason.REQUEST_SUSPECT)
        return False
    limit_us = now_us - state.policy.live_evidence_us
    stale = [server for server in live if server.last_answer_us < limit_us]
    if len(live) - len(stale) >= 2:
        return True
    for server in stale:
        if not server.probing:
            server.probing = True
            effects.append(OpenProbe(server.address))
    _enqueue_leaf(state, open_query, leaf_state, slots)
    return False


def _emit_send(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    service: ServiceState,
    slot: SlotSettings,
    now_us: int,
    effects: Effects,
    *,
    hedge: bool,
) -> None:
    query = open_query.query
    deadline_us = query.deadline_us - state.policy.answer_margin_us
    send_id = state.next_send_id
    state.next_send_id += 1
    send = OpenSend(
        send_id,
        query.query_id,
        query.service,
        leaf_state.settings.name,
        slot,
        now_us,
        deadline_us,
        query.fingerprint,
        query.repeatable,
        open_query.suspect,
        hedge,
    )
    state.sends[send_id] = send
    server = get_server(state, slot.server)
    server.sends.add(send_id)
    server.exclusive = server.exclusive or open_query.suspect
    leaf_state.open_sends.append(send_id)
    leaf_state.tried_servers.append(slot.server)
    if hedge:
        leaf_state.hedges += 1
    else:
        leaf_state.attempts += 1
    effects.append(
        EmitSend(
            send_id=send_id,
            server=slot.server,
            request=_create_sub_request(
                state, open_query, leaf_state, send_id, deadline_us - now_us
            ),
            deadline_us=deadline_us,
            connections=state.leases.get_allowance(
                service.settings.connections, slot.server, now_us
            ),
            max_answer_bytes=service.settings.max_answer_bytes,
            traceparent=query.traceparent,
        )
    )
    state.silence.record_sent(slot.server, send_id, now_us)
    if query.repeatable and state.policy.hedge and leaf_state.hedges < state.policy.max_hedges:
        delay_us = open_query.hedge_delay_us
        if leaf_state.hedges:
            delay_us = state.hedges.get_delay_us(query.service, leaf_state.hedges)
        state.timers.add(now_us + delay_us, TimerKind.HEDGE, send_id)


def create_request_id(state: State, send_id: int) -> str:
    """Return the request id of a send, unique among all instances and incarnations."""
    return f"{state.identity.incarnation:x}-{send_id}"


def _create_sub_request(
    state: State, open_query: OpenQuery, leaf_state: LeafState, send_id: int, remaining_us: int
) -> SubRequest:
    query = open_query.query
    snapshot = open_query.plan.snapshot
    return SubRequest(
        request_id=create_request_id(state, send_id),
        service=query.service,
        leaf=leaf_state.settings.name,
        map_version=snapshot.map_version,
        index_version=snapshot.index_version,
        deadline_ms=max(1, remaining_us // 1000),
        body=query.body,
        repeatable=query.repeatable,
        idempotency_key=query.idempotency_key,
        limit=query.limit,
    )


def hedge_send(state: State, send_id: int, now_us: int, effects: Effects) -> None:
    """Hedge a send that is still open after the hedge delay, if policy and budget allow it.

    Overload, an empty budget or a lack of allowance defers the hedge instead of dropping it.
    """
    send = state.sends.get(send_id)
    open_query = state.queries.get(send.query_id) if send is not None else None
    if open_query is None or send.wasted:
        return
    service = state.services.get(send.service)
    leaf_state = open_query.leaf_states.get(send.leaf)
    if (
        service is None
        or leaf_state is None
        or leaf_state.done
        or send_id not in leaf_state.open_sends
    ):
        return
    context = HedgeContext(
        repeatable=open_query.query.repeatable,
        suspect=open_query.suspect,
        overloaded=state.waiting_leafs > 0 or len(service.queue) > 0,
        sends_open=len(leaf_state.open_sends),
        hedges_sent=leaf_state.hedges,
        remaining_us=open_query.query.deadline_us - now_us,
        expected_us=state.latency.get_median_us(send.service),
    )
    if (
        state.hedges.allows_hedge(context)
        and service.hedge_budget.available
        and send_leaf(state, open_query, leaf_state, now_us, effects, hedge=True)
    ):
        service.hedge_budget.try_spend()
        effects.append(IncrementCounter(counters.SENDS_HEDGED))
    elif state.hedges.allows_hedge(replace(context, overloaded=False)):
        # The obstacle is temporary: a stall of many leafs empties the budget at once, and most
        # of these leafs answer without a hedge. The delay doubles each time, so that a send is
        # checked only a few times.
        delay_us = max(open_query.hedge_delay_us, now_us - send.sent_us)
        state.timers.add(now_us + delay_us, TimerKind.HEDGE, send_id)


def _enqueue_leaf(
    state: State, open_query: OpenQuery, leaf_state: LeafState, slots: list[SlotSettings]
) -> None:
    if leaf_state.waiting:
        return
    leaf_state.waiting = True
    state.waiting_leafs += 1
    leaf_state.waiting_servers = [slot.server for slot in slots]
    for address in leaf_state.waiting_servers:
        get_server(state, address).waiting.add(open_query.query.priority, leaf_state.entry)


def send_waiting_leafs(
    state: State, server: ServerState, now_us: int, effects: Effects
) -> None:
    """Send the leafs that wait for a server while its allowance lasts."""
    # Each entry is tried once. A leaf that has to wait again is queued again, and without this
    # bound the loop would not end.
    for _ in range(len(server.waiting)):
        if len(server.sends) >= get_server_allowance(state, server, now_us):
            return
        if not len(server.waiting):
            return
        query_id, leaf = server.waiting.pop()
        open_query = state.queries[query_id]
        leaf_state = open_query.leaf_states[leaf]
        stop_waiting(state, leaf_state)
        send_leaf(state, open_query, leaf_state, now_us, effects)
        finish.finish_if_done(state, open_query, now_us, effects)


def send_all_waiting_leafs(state: State, now_us: int, effects: Effects) -> None:
    """Send waiting leafs of all servers, because an allowance may have grown."""
    if state.waiting_leafs:
        for server in list(state.servers.values()):
            if server.waiting:
                send_waiting_leafs(state, server, now_us, effects)
