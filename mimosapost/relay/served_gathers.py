"""Gathers for other instances: send each part once, merge the answers and report the rest.

Load pattern: of the many servers here some pause or fail in most queries. The other instance
holds the remaining send of each part, so it is told of the answers at the time at which this
instance would hedge, of failures at once, and of each later answer as it arrives.
"""

from __future__ import annotations

from dataclasses import replace

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import Gather, GatherAnswer, GatherCancel, ServerNotes
from mimosapost.relay.catalog import Route
from mimosapost.relay.completion import CRASHED_REASON, fail_part, report_outcomes
from mimosapost.relay.messages import RelayRequest
from mimosapost.relay.registry import Effects, TimerKind, handles_message, handles_timer
from mimosapost.relay.repeats import get_hedge_delay_us, get_report_delay_us
from mimosapost.relay.sends import StartResult, abandon_request, start_send
from mimosapost.relay.server_notes import LAST_STAGE, create_suspect_notes
from mimosapost.relay.state import OpenRequest, Part, RelayState, ServedGather
from mimosapost.suspects.tracker import SuspicionState

__all__ = ["cancel_gathers_for"]

# Gathers that may be open at once; a burst at the largest deployment opens some hundreds.
_MAX_SERVED = 1_000


@handles_message(Gather)
def serve_gather(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Send a query to the requested shards, or refuse it before anything is sent."""
    message, now_us = event.message, event.now_us
    member = state.peers.members.find_by_name(event.peer)
    if member is None or (event.peer, message.gather_id) in state.served_gathers:
        effects.append(WriteLog("gather_ignored", (("peer", event.peer),)))
        return
    route = _find_gather_route(state, message)
    refusal = _find_refusal(state, message, route, now_us)
    if route is None or refusal:
        notes = create_suspect_notes(state, {message.fingerprint}, now_us)
        if notes:
            # The other instance learns why before it sends the parts itself.
            told = ServerNotes(LAST_STAGE, (), notes)
            effects.append(SendPeer(event.peer, member.peer_address, told))
        answer = GatherAnswer(message.gather_id, refusal=refusal)
        effects.append(SendPeer(event.peer, member.peer_address, answer))
        fields = (
            ("request", message.request_id),
            ("peer", event.peer),
            ("reason", refusal),
            ("version", message.version),
        )
        effects.append(WriteLog("gather_not_served", fields))
        _count(effects, "refused")
        return
    served = ServedGather(
        message.gather_id,
        event.peer,
        member.peer_address,
        message.shards,
        message.is_hedge,
    )
    _start_served(state, message, route, served, now_us, effects)


def _find_gather_route(state: RelayState, message: Gather) -> Route | None:
    if state.catalog is None:
        return None
    return next(
        (
            route
            for routes in state.catalog.hosts.values()
            for route in routes
            if route.name == message.route and route.shards
        ),
        None,
    )


def _find_refusal(state: RelayState, message: Gather, route: Route | None, now_us: int) -> str:
    """Return why a gather is refused, or an empty string."""
    if state.catalog is None or not state.servers_listed:
        return "not_configured"
    if state.catalog.version != message.version or route is None:
        return "other_version"
    if state.catalog.workspace_rules is not None and (
        message.workspace not in state.catalog.workspaces and not route.is_public
    ):
        return "unknown_workspace"
    if not message.shards or message.shards[-1] >= len(route.shards):
        return "unknown_shard"
    if state.stop_requested_us:
        return "stopping"
    if len(state.served_gathers) >= _MAX_SERVED:
        return "too_many_gathers"
    suspicion = state.suspects.classify(message.fingerprint, now_us)
    if suspicion is SuspicionState.REFUSED:
        return CRASHED_REASON
    return "suspect" if suspicion is SuspicionState.SUSPECT else ""


def _start_served(
    state: RelayState,
    message: Gather,
    route: Route,
    served: ServedGather,
    now_us: int,
    effects: Effects,
) -> None:
    number, state.next_served_number = state.next_served_number, state.next_served_number - 1
    deadline_us = now_us + message.remaining_us
    request = RelayRequest(
        number,
        message.request_id,
        route.host,
        route.prefix,
        deadline_us,
        message.head,
        message.body,
        message.fingerprint,
    )
    parts = [Part(route.shards[index], shard=index) for index in message.shards]
    open_request = OpenRequest(
        request, replace(route, max_sends=1), message.version, now_us, deadline_us, parts
    )
    open_request.open_parts = len(parts)
    open_request.served = served
    open_request.workspace = state.catalog.workspaces.get(message.workspace)
    state.requests[number] = open_request
    state.served_gathers[served.peer, served.gather_id] = number
    _count(effects, "served")
    pool = state.get_pools(route)[0]
    report_us = min(get_hedge_delay_us(pool, route.goal_us), get_report_delay_us(route.goal_us))
    served.overdue_us = now_us + report_us
    state.timers.add(deadline_us, TimerKind.DEADLINE, number)
    state.timers.add(served.overdue_us, TimerKind.REPORT, number)
    for part in parts:
        # The instance that asks counts the parts in its own budget for repeats.
        part.is_counted = True
        if start_send(state, open_request, part, now_us, effects) is StartResult.NO_SERVER:
            fail_part(state, open_request, part, "no_server", now_us, effects)


@handles_timer(TimerKind.REPORT)
def report_gather(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Report the outcomes so far."""
    open_request = state.requests.get(key)
    if open_request is not None and open_request.served is not None:
        report_outcomes(open_request, now_us, effects, last=False)


@handles_message(GatherCancel)
def cancel_gather(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Abandon the sends of a gather whose request has ended."""
    number = state.served_gathers.get((event.peer, event.message.gather_id))
    if number is not None:
        _cancel(state, state.requests[number], event.now_us, effects)


def cancel_gathers_for(state: RelayState, peer: str, now_us: int, effects: Effects) -> None:
    """Abandon the sends of all gathers for an instance that can't be reached."""
    for (name, _), number in list(state.served_gathers.items()):
        if name == peer:
            _cancel(state, state.requests[number], now_us, effects)


def _cancel(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    del state.requests[open_request.request.request_number]
    abandon_request(state, open_request, now_us, effects)
    fields = (
        ("request", open_request.request.request_id),
        ("peer", open_request.served.peer),
        ("answered", open_request.answered),
        ("parts", len(open_request.parts)),
        ("elapsed_ms", (now_us - open_request.arrived_us) // 1_000),
    )
    effects.append(WriteLog("gather_cancelled", fields))
    _count(effects, "cancelled")


def _count(effects: Effects, outcome: str) -> None:
    effects.append(
        IncrementCounter("mimosapost_relay_served_gathers_total", (("outcome", outcome),))
    )
