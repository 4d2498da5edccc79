"""Explanations of where a request would go now, and why, without sending it.

Load pattern: a caller's requests are refused or slow at one instance, and operators ask that
instance why, while it is under load. The admission of real requests runs on a copy of the state
with a copy of its random numbers, so that the answer is what the next request would meet.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from mimosapost.model.codes import get_http_status
from mimosapost.relay.admission import admit, admit_granted_requests
from mimosapost.relay.catalog import Catalog, Route, choose_rank, choose_regions
from mimosapost.relay.effects import SendReply
from mimosapost.relay.eligibility import is_usable
from mimosapost.relay.events import RequestArrived
from mimosapost.relay.latency_pools import LatencyPool
from mimosapost.relay.messages import GatheredReply, Refusal, RelayRequest
from mimosapost.relay.partners import list_linked_domains
from mimosapost.relay.rate_limits import is_paused, may_send
from mimosapost.relay.sends import can_start, is_restricted, list_warm
from mimosapost.relay.server_selection import ServerRecord, estimate_us
from mimosapost.relay.state import OpenRequest, Part, RelayState
from mimosapost.relay.state_copies import copy_state
from mimosapost.relay.workspaces import UnknownKeyError, find_workspace

__all__ = [
    "Explanation",
    "GatherPlan",
    "PartPlan",
    "RefusalPlan",
    "ServerPlan",
    "UnknownWorkspaceError",
    "explain_request",
    "use_workspace",
]

# Largest number of parts in an explanation, and of servers of all parts together.
_MAX_PARTS = 720
_MAX_SERVERS = 720

Reason = Callable[[RelayState, OpenRequest, ServerRecord, int], bool]


class UnknownWorkspaceError(Exception):
    """The configuration has no workspace of a name, or no key of it."""


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """A server of a part.

    :param expected_ms: expected time to the answer, before the random increase of a choice.
    :param excluded: what excludes the server now; empty for a server that may be chosen.
    :param is_last: whether the server is used only if there is no other, because it hung.
    :param wait_ms: time until the server is no longer blocked; 0 if it is not.
    """

    server: str
    address: str
    domain: str
    region: str
    expected_ms: float
    open_sends: int
    slots: int
    excluded: tuple[str, ...]
    is_last: bool
    wait_ms: int


@dataclass(frozen=True, slots=True)
class PartPlan:
    """What would happen to one part of the request.

    :param outcome: ``sent``, ``gathered``, ``waits``, ``waits_for_trial``, ``failed`` or
        ``not_sent``.
    :param reason: why the part would fail; empty otherwise.
    :param server: server to which this instance would send it, or would have the partner send.
    :param partner: instance that would gather it; it makes a choice of its own.
    :param repeats_allowed: hedges and retries that the budget of the service allows now.
    :param servers: servers, the best first; some are left out in answers on many parts.
    """

    service: str
    outcome: str
    reason: str
    server: str
    domain: str
    partner: str
    repeats_allowed: int
    servers: tuple[ServerPlan, ...]
    servers_left_out: int


@dataclass(frozen=True, slots=True)
class GatherPlan:
    """Parts that the partner of a failure domain would gather."""

    domain: str
    partner: str
    parts: int


@dataclass(frozen=True, slots=True)
class RefusalPlan:
    """Reply that the caller would get at once.

    :param retry_after_ms: time after which the caller may retry; 0 for none.
    """

    code: int
    name: str
    status: int
    retry_after_ms: int
    detail: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now.

    :param version: version of the configuration in force; 0 for none.
    :param suspicion: ``clear``, ``suspect`` or ``refused``.
    :param outcome: ``started``, ``refused``, ``held`` for the first configuration,
        ``waits_for_limit`` for the account of its workspace at another instance, or
        ``answered`` at once without any server.
    :param usable_parts: parts that have a server, now or soon enough.
    :param needed_parts: parts that need one for the request to start.
    """

    instance: str
    version: int
    route: str
    workspace: str
    rank: int | None
    suspicion: str
    outcome: str
    parts_total: int
    usable_parts: int
    needed_parts: int
    refusal: RefusalPlan | None
    gathers: tuple[GatherPlan, ...]
    parts: tuple[PartPlan, ...]


def use_workspace(state: RelayState, request: RelayRequest, name: str) -> RelayRequest:
    """Return a request with the key of a workspace.

    :raises UnknownWorkspaceError: if the configuration has no such workspace or no key of it.
    """
    rules = state.catalog.workspace_rules if state.catalog is not None else None
    if rules is None or name not in rules.workspaces:
        raise UnknownWorkspaceError(f"unknown workspace {name}")
    for digest, workspace in rules.by_digest.items():
        if workspace.name == name:
            return replace(request, key_digest=digest)
    raise UnknownWorkspaceError(f"workspace {name} has no key")


def explain_request(state: RelayState, request: RelayRequest, now_us: int) -> Explanation:
    """Explain what this instance would do with a request that arrives now.

    The state is not changed.

    :param request: the request; its number is replaced.
    """
    tried, effects = copy_state(state), []
    # No other request has this number, and 0 stands for none.
    request = replace(request, request_number=tried.next_served_number)
    catalog, number = tried.catalog, request.request_number
    route = catalog.find_route(request.host, request.target) if catalog is not None else None
    services, usable = {}, set()
    open_request = None
    if route is not None:
        open_request = _open_request(catalog, route, request, now_us)
        usable = _list_usable_services(tried, open_request, now_us)
        # Described before the request takes tokens and connections.
        for part in open_request.parts[:_MAX_PARTS]:
            services[part.service] = _describe_service(tried, open_request, part, now_us)
    suspicion = tried.suspects.classify(request.fingerprint, now_us).value
    admit(tried, RequestArrived(now_us, request), effects)
    # Where this instance keeps the account of the workspace, it answers at once.
    admit_granted_requests(tried, now_us, effects)
    open_request = tried.requests.get(number, open_request)
    parts = open_request.parts if open_request is not None else []
    workspace = open_request.workspace if open_request is not None else None
    reply = next((e.reply for e in effects if isinstance(e, SendReply)), None)
    return Explanation(
        instance=tried.instance_settings.name,
        version=catalog.version if catalog is not None else 0,
        route=route.name if route is not None else "",
        workspace=workspace.name if workspace is not None else "",
        rank=choose_rank(route, workspace) if route is not None else None,
        suspicion=suspicion,
        outcome=_get_outcome(tried, number, reply),
        parts_total=len(parts),
        usable_parts=sum(part.service in usable for part in parts),
        needed_parts=_count_needed(route, len(parts)),
        refusal=_describe_refusal(reply) if isinstance(reply, Refusal) else None,
        gathers=_list_gathers(tried, open_request),
        parts=tuple(
            _describe_part(tried, open_request, part, services[part.service])
            for part in parts[:_MAX_PARTS]
        ),
    )


def _open_request(
    catalog: Catalog, route: Route, request: RelayRequest, now_us: int
) -> OpenRequest:
    """Return the request with a part for each service that its route may use."""
    services = route.shards or tuple(name for name, _ in route.split)
    parts = [Part(service, shard=shard) for shard, service in enumerate(services)]
    opened = OpenRequest(request, route, catalog.version, now_us, request.deadline_us, parts)
    try:
        opened.workspace = find_workspace(catalog, route, request)
    except UnknownKeyError:
        opened.workspace = None
    return opened


def _list_usable_services(
    tried: RelayState, open_request: OpenRequest, now_us: int
) -> set[str]:
    return {
        part.service
        for part in open_request.parts
        if can_start(tried, open_request, part, now_us)
    }


def _get_outcome(tried: RelayState, number: int, reply: Refusal | GatheredReply | None) -> str:
    if reply is not None:
        return "refused" if isinstance(reply, Refusal) else "answered"
    if number in tried.limits.held:
        return "waits_for_limit"
    return "held" if number in tried.held_requests else "started"


def _count_needed(route: Route | None, parts: int) -> int:
    if route is None:
        return 0
    return max(1, math.ceil(parts * route.min_coverage - 1e-9))


def _describe_refusal(refusal: Refusal) -> RefusalPlan:
    return RefusalPlan(
        code=int(refusal.code),
        name=refusal.code.name,
        status=get_http_status(refusal.code),
        retry_after_ms=refusal.retry_after_us // 1_000,
        detail=refusal.detail,
    )


def _list_gathers(
    tried: RelayState, open_request: OpenRequest | None
) -> tuple[GatherPlan, ...]:
    gathers = [tried.gathers[i] for i in open_request.gather_ids] if open_request else []
    return tuple(
        GatherPlan(
            next(iter(gather.parts.values()))[1].server.domain, gather.peer, len(gather.parts)
        )
        for gather in gathers
    )


def _describe_part(
    tried: RelayState,
    open_request: OpenRequest,
    part: Part,
    service: tuple[int, list[ServerPlan]],
) -> PartPlan:
    outcome, record, partner = _find_destination(tried, open_request, part)
    server_id = record.server.server_id if record is not None else ""
    repeats_allowed, plans = service
    # The server that would be used is listed first.
    plans = sorted(plans, key=lambda plan: plan.server != server_id)
    limit = max(1, _MAX_SERVERS // min(len(open_request.parts), _MAX_PARTS))
    return PartPlan(
        service=part.service,
        outcome=outcome,
        reason=part.reason,
        server=server_id,
        domain=record.server.domain if record is not None else "",
        partner=partner,
        repeats_allowed=repeats_allowed,
        servers=tuple(plans[:limit]),
        servers_left_out=max(0, len(plans) - limit),
    )


def _find_destination(
    tried: RelayState, open_request: OpenRequest, part: Part
) -> tuple[str, ServerRecord | None, str]:
    """Return the outcome of a part, its server, and the instance that would gather it."""
    if part.sends:
        return "sent", tried.sends[part.sends[0]].record, ""
    if part.gather_ids:
        gather = tried.gathers[part.gather_ids[0]]
        return "gathered", gather.parts[part.shard][1], gather.peer
    if part.waiting:
        is_held = any(part is other for other in open_request.parts_after_trial)
        return "waits_for_trial" if is_held else "waits", None, ""
    return "failed" if part.done else "not_sent", None, ""


def _describe_service(
    view: RelayState, open_request: OpenRequest, part: Part, now_us: int
) -> tuple[int, list[ServerPlan]]:
    """Return the allowed repeats at a service, and its servers.

    Servers that may be chosen are first, those expected to answer earlier before the others.
    """
    records = view.by_service.get(part.service, ())
    warm = {r.server.server_id for r in list_warm(view, part, list(records), now_us)}
    is_gathering = (
        view.peers is not None
        and bool(open_request.route.shards)
        and not is_restricted(view, open_request, now_us)
    )
    linked = list_linked_domains(view.peers, now_us) if is_gathering else ()
    pools = view.get_pools(open_request.route)
    plans = [
        _describe_server(
            record,
            pools,
            linked,
            _list_reasons(view, open_request, record, warm, now_us),
            now_us,
        )
        for record in records
    ]
    plans.sort(key=lambda p: (bool(p.excluded), p.is_last, p.expected_ms))
    return view.get_budget(part.service).available, plans


def _describe_server(
    record: ServerRecord,
    pools: tuple[LatencyPool, ...],
    linked_domains: Collection[str],
    excluded: tuple[str, ...],
    now_us: int,
) -> ServerPlan:
    server = record.server
    expected_us = estimate_us(
        record, pools[record.distance], now_us, server.domain in linked_domains
    )
    return ServerPlan(
        server=server.server_id,
        address=server.address,
        domain=server.domain,
        region=record.region,
        expected_ms=round(expected_us / 1_000, 1),
        open_sends=len(record.open_sends),
        slots=server.slots,
        excluded=excluded,
        is_last=record.is_hung(now_us),
        wait_ms=max(0, record.blocked_until_us - now_us) // 1_000,
    )


def _is_outside(
    _state: RelayState, open_request: OpenRequest, record: ServerRecord, _now_us: int
) -> bool:
    regions = choose_regions(open_request.route, open_request.workspace)
    return regions is not None and record.region not in regions


def _is_cold(
    state: RelayState, _open_request: OpenRequest, record: ServerRecord, now_us: int
) -> bool:
    rules = state.catalog.services.get(record.server.service)
    has_limit = rules is not None and bool(rules.cold_per_second)
    return has_limit and record.cold_until_us > now_us


# What excludes a server, by the word that names it. A cold server still gets a few sends while
# no warm one has room, and a busy one is left to a suspect only where no other is idle.
_REASONS: tuple[tuple[str, Reason], ...] = (
    ("draining", lambda _state, _request, record, _now: record.server.draining),
    (
        "leaving",
        lambda _state, _request, record, _now: record.signals.leaving_us is not None,
    ),
    ("misdirected", lambda _state, _request, record, _now: record.misdirected),
    (
        "domain_out",
        lambda state, _request, record, _now: record.server.domain in state.domains_out,
    ),
    ("blocked", lambda _state, _request, record, now_us: record.is_blocked(now_us)),
    ("region", _is_outside),
    ("cold", _is_cold),
    ("reserved", lambda _state, _request, record, now_us: record.reserved_until_us > now_us),
    ("paused", lambda _state, _request, record, now_us: is_paused(record, now_us)),
    (
        "named_limit",
        lambda state, _request, record, now_us: (
            not is_paused(record, now_us) and not may_send(state, record, now_us)
        ),
    ),
    (
        "busy_for_suspect",
        lambda state, request, record, now_us: (
            bool(record.open_sends) and is_restricted(state, request, now_us)
        ),
    ),
)


def _list_reasons(
    state: RelayState,
    open_request: OpenRequest,
    record: ServerRecord,
    warm: Collection[str],
    now_us: int,
) -> tuple[str, ...]:
    reasons = [name for name, holds in _REASONS if holds(state, open_request, record, now_us)]
    if not reasons and record.server.server_id not in warm:
        reasons.append("no_room")
    if not reasons and not is_usable(state, record, now_us):
        reasons.append("not_usable")
    return tuple(reasons)
