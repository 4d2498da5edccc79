"""Slots of a leaf: eligibility in the newest configuration, allowance and choice."""

from __future__ import annotations

from mimosapost.core.state import LeafState, OpenQuery, ServerState, ServiceState, State
from mimosapost.model.identities import SlotId
from mimosapost.model.published_settings import SlotSettings
from mimosapost.routing.eligibility import check_slot
from mimosapost.routing.slot_choice import Candidate, choose_slot

__all__ = [
    "choose_eligible",
    "get_server",
    "get_server_allowance",
    "is_server_eligible",
    "list_eligible",
]

# Measured latencies already include the network. The penalty only lets the choice prefer the
# nearest of several slots that have not been measured yet.
LOCALITY_PENALTY_US = {"domain": 0, "region": 500, "other": 2_000}


def get_server(state: State, address: str) -> ServerState:
    """Return the state of a backend server, creating it on first use."""
    server = state.servers.get(address)
    if server is None:
        server = state.servers[address] = ServerState(address)
    return server


def get_server_allowance(
    state: State, server: ServerState, now_us: int, *, suspect: bool = False
) -> int:
    """Return how many requests this instance may have in flight at a server.

    The warm-up limit applies to the whole fleet; the lease table gives this instance's share
    of it. A suspect request runs alone: its server must be idle and gets no other request
    meanwhile.

    :param suspect: whether the next request is a suspect.
    """
    if server.exclusive or (suspect and server.sends):
        return 0
    limit = state.warmup.get_limit(server.address, now_us)
    return state.leases.get_allowance(limit, server.address, now_us)


def is_server_eligible(state: State, server: ServerState) -> bool:
    """Return whether any service may send new work to a server."""
    for service in state.services.values():
        slot = service.slots.get(server.address)
        if slot is not None and check_slot(slot, service.view) is None:
            return True
    return False


def list_eligible(service: ServiceState, leaf_state: LeafState) -> list[SlotSettings]:
    """Return the slots of a leaf that may get new work under the newest configuration."""
    slots = []
    for planned in leaf_state.settings.slots:
        slot = service.slots.get(planned.server)
        if check_slot(slot, service.view) is None:
            slots.append(slot)
    return slots


def choose_eligible(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    slots: list[SlotSettings],
    now_us: int,
) -> SlotSettings | None:
    """Choose a slot, preferring servers that the leaf has not tried.

    A suspect request is not sent to a server that was tried while untried ones are eligible.

    :returns: the slot, or ``None`` if no allowance is free.
    """
    untried = [slot for slot in slots if slot.server not in leaf_state.tried_servers]
    for group in (untried, slots):
        if not group:
            continue
        candidates = [
            _create_candidate(state, open_query, leaf_state, slot, now_us) for slot in group
        ]
        index = choose_slot(candidates, state.rng)
        if index is not None:
            return group[index]
        if open_query.suspect:
            return None
    return None


def _create_candidate(
    state: State,
    open_query: OpenQuery,
    leaf_state: LeafState,
    slot: SlotSettings,
    now_us: int,
) -> Candidate:
    server = get_server(state, slot.server)
    slot_id = SlotId(open_query.query.service, leaf_state.settings.name, slot.name)
    return Candidate(
        slot_id=slot_id,
        server=slot.server,
        in_flight=len(server.sends),
        allowance=get_server_allowance(state, server, now_us, suspect=open_query.suspect),
        latency_us=state.latency.get_slot_us(slot_id, now_us),
        locality_us=_get_locality_us(state, slot.domain),
        reported_load=server.load,
        report_age_us=now_us - server.load_reported_us if server.load_reported_us else 1 << 40,
        live=not server.down,
    )


def _get_locality_us(state: State, domain: str) -> int:
    if domain == state.identity.domain:
        return LOCALITY_PENALTY_US["domain"]
    if state.regions.get(domain) == state.identity.region:
        return LOCALITY_PENALTY_US["region"]
    return LOCALITY_PENALTY_US["other"]
