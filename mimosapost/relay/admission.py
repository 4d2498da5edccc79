"""Admission of requests.

A request starts at once if its services have enough usable servers; otherwise it is refused at
once, or held until the first configuration is read.
"""

from __future__ import annotations

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.catalog import Catalog, Route, choose_rank
from mimosapost.relay.completion import check_progress, end_request, fail_part, refuse_request
from mimosapost.relay.events import CallerLeft, RequestArrived
from mimosapost.relay.gathers import PlannedPart, assign_domains, start_gather
from mimosapost.relay.graceful_stop import STOP_RETRY_US, can_finish, get_last_reply_us
from mimosapost.relay.messages import Refusal, RelayRequest
from mimosapost.relay.partners import find_partner, list_linked_domains
from mimosapost.relay.registry import Effects, TimerKind, handles, handles_timer
from mimosapost.relay.reply_times import plan_reply, record_timer_delay
from mimosapost.relay.retry_after import get_retry_after_us
from mimosapost.relay.sends import (
    StartResult,
    abandon_request,
    can_start,
    emit_send,
    is_restricted,
    rank_warm_servers,
    start_send,
)
from mimosapost.relay.shortage import admit_within_room
from mimosapost.relay.startup_hold import hold_request, refuse_not_configured
from mimosapost.relay.state import OpenRequest, Part, RelayState
from mimosapost.relay.weighted_round_robin import WeightedRoundRobin
from mimosapost.relay.workspace_limits import check_limit, pop_granted
from mimosapost.relay.workspaces import (
    UnknownKeyError,
    find_workspace,
    refuse_unknown_key,
    settle_head,
)
from mimosapost.suspects.tracker import SuspicionState

__all__ = ["admit", "admit_granted_requests", "admit_held_requests"]

# Reserved before the caller's deadline for writing the reply and its way to the caller.
_REPLY_MARGIN_US = 12_000
# A request with less time left than this is refused, because no server can answer in time.
_MIN_REMAINING_US = 3_000


@handles(RequestArrived)
def admit(state: RelayState, event: RequestArrived, effects: Effects) -> None:
    """Start a request, hold it until the first configuration, or refuse it."""
    if not state.can_admit():
        hold_request(state, event.request, event.now_us, effects)
        return
    _admit(state, state.catalog, event.request, event.now_us, effects)


def admit_held_requests(state: RelayState, now_us: int, effects: Effects) -> None:
    """Start the requests held for the start of this instance, the most urgent first.

    They are refused if the configuration source has failed or has listed the servers without
    a configuration.
    """
    catalog = state.catalog
    if not state.held_requests or not state.is_introduced:
        return
    if not (state.servers_listed or state.source_lost_us):
        return
    held_requests, state.held_requests = list(state.held_requests.values()), {}
    if catalog is None or not state.servers_listed:
        for request in held_requests:
            refuse_not_configured(state, request, now_us, effects)
        return

    def get_rank(request: RelayRequest) -> int:
        route = catalog.find_route(request.host, request.target)
        try:
            workspace = find_workspace(catalog, route, request)
        except UnknownKeyError:
            return 0
        return choose_rank(route, workspace) if route is not None else 0

    for request in sorted(held_requests, key=get_rank):
        _admit(state, catalog, request, now_us, effects)


def admit_granted_requests(state: RelayState, now_us: int, effects: Effects) -> None:
    """Start the requests that waited for the account of their workspace."""
    for request, arrived_us in pop_granted(state):
        state.limits.resumed = request.request_number
        _admit(state, state.catalog, request, now_us, effects, arrived_us)
        state.limits.resumed = 0


def _admit(
    state: RelayState,
    catalog: Catalog,
    request: RelayRequest,
    now_us: int,
    effects: Effects,
    arrived_us: int | None = None,
) -> None:
    arrived_us = now_us if arrived_us is None else arrived_us
    route = catalog.find_route(request.host, request.target)
    if route is None:
        refusal = Refusal(ResultCode.UNKNOWN_SERVICE, 0, f"no route for {request.host}")
        refuse_request(state, request.request_number, request.request_id, refusal, effects)
        return
    try:
        workspace = find_workspace(catalog, route, request)
    except UnknownKeyError as error:
        refuse_unknown_key(state, request, error, effects)
        return
    if workspace is not None and not state.limits.resumed:
        labels = (("workspace", workspace.name),)
        effects.append(IncrementCounter("mimosapost_relay_workspace_requests_total", labels))
    request = settle_head(catalog, request)
    if state.suspects.classify(request.fingerprint, now_us) is SuspicionState.REFUSED:
        refusal = Refusal(ResultCode.REQUEST_REFUSED, 0, "crashed servers")
        refuse_request(state, request.request_number, request.request_id, refusal, effects)
        return
    deadline_us = min(request.deadline_us, arrived_us + route.timeout_us) - _REPLY_MARGIN_US
    if state.stop_requested_us:
        last_reply_us = get_last_reply_us(state.instance_settings, state.stop_requested_us)
        deadline_us = min(deadline_us, last_reply_us)
        if not can_finish(last_reply_us, route.goal_us, now_us):
            refusal = Refusal(ResultCode.STOPPING, STOP_RETRY_US, "the instance is stopping")
            refuse_request(state, request.request_number, request.request_id, refusal, effects)
            return
    services = route.shards or (_choose_service(state, route),)
    parts = [Part(service, shard=shard) for shard, service in enumerate(services)]
    open_request = OpenRequest(request, route, catalog.version, arrived_us, deadline_us, parts)
    open_request.workspace = workspace
    open_request.open_parts = len(parts)
    if deadline_us - now_us < _MIN_REMAINING_US:
        refusal = Refusal(ResultCode.DEADLINE_TOO_SHORT, _MIN_REMAINING_US, "no time left")
        refuse_request(state, request.request_number, request.request_id, refusal, effects)
        return
    usable_parts = sum(can_start(state, open_request, part, now_us) for part in parts)
    if usable_parts < max(1.0, len(parts) * route.min_coverage - 1e-9):
        retry_us = get_retry_after_us(state, open_request, now_us)
        refusal = Refusal(
            ResultCode.OVERLOADED, retry_us, f"{usable_parts} of {len(parts)} usable"
        )
        refuse_request(state, request.request_number, request.request_id, refusal, effects)
        return
    # A request that waited for a grant found room before.
    if not state.limits.resumed and not admit_within_room(
        state, open_request, usable_parts, now_us, effects
    ):
        return
    if not check_limit(state, open_request, now_us, effects):
        return
    state.requests[request.request_number] = open_request
    state.timers.add(deadline_us, TimerKind.DEADLINE, request.request_number)
    if route.shards:
        open_request.reply_due_us = plan_reply(state, request, route.goal_us, arrived_us)
        state.timers.add(open_request.reply_due_us, TimerKind.GOAL, request.request_number)
    _start_parts(state, open_request, now_us, effects)


def _start_parts(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    for part in _start_planned(state, open_request, now_us, effects):
        if start_send(state, open_request, part, now_us, effects) is StartResult.NO_SERVER:
            fail_part(state, open_request, part, "no_server", now_us, effects)
            if open_request.request.request_number not in state.requests:
                return


def _start_planned(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> list[Part]:
    """Start the parts that have a warm server, here or at another instance.

    :returns: the other parts.
    """
    if (
        state.peers is None
        or not open_request.route.shards
        or is_restricted(state, open_request, now_us)
    ):
        return open_request.parts
    linked_domains = list_linked_domains(state.peers, now_us)
    rest, planned = [], []
    for part in open_request.parts:
        choices = rank_warm_servers(state, open_request, part, linked_domains, now_us)
        if choices:
            planned.append(PlannedPart(part, choices))
        else:
            rest.append(part)
    domains, direct = assign_domains(
        state.instance_settings.domain,
        planned,
        lambda domain: find_partner(state.peers, domain, now_us) is not None,
    )
    for domain, entries in domains.items():
        start_gather(state, open_request, domain, entries, now_us, effects)
    for part, record in direct:
        emit_send(state, open_request, part, record, now_us, effects)
    return rest


def _choose_service(state: RelayState, route: Route) -> str:
    if len(route.split) == 1:
        return route.split[0][0]
    entry = state.round_robins.get(route.name)
    if entry is None or entry[0].split != route.split:
        entry = state.round_robins[route.name] = (route, WeightedRoundRobin(route.split))
    return entry[1].take()


@handles_timer(TimerKind.GOAL)
def handle_goal(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Reply in time for the latency goal if the parts answered so far are sufficient."""
    open_request = state.requests.get(key)
    if open_request is not None:
        record_timer_delay(state, open_request.reply_due_us, now_us)
        open_request.past_goal = True
        check_progress(state, open_request, now_us, effects)


@handles_timer(TimerKind.DEADLINE)
def handle_deadline(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """End a request at its deadline with the parts answered so far."""
    open_request = state.requests.get(key)
    if open_request is not None:
        end_request(state, open_request, now_us, effects)


@handles(CallerLeft)
def handle_caller_left(state: RelayState, event: CallerLeft, effects: Effects) -> None:
    """Abandon the sends of a request whose caller closed the connection."""
    state.held_requests.pop(event.request_number, None)
    state.limits.held.pop(event.request_number, None)
    open_request = state.requests.pop(event.request_number, None)
    if open_request is None:
        return
    fields = (
        ("request", open_request.request.request_id),
        ("elapsed_ms", (event.now_us - open_request.arrived_us) // 1_000),
        ("answered", open_request.answered),
    )
    effects.append(WriteLog("caller_left", fields))
    abandon_request(state, open_request, event.now_us, effects)
