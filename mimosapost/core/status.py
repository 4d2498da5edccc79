"""Status of an instance: its view of every leaf, slot, limit and version."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from mimosapost.core import slots
from mimosapost.core.state import ServiceState, State
from mimosapost.model.published_settings import LeafSettings, SlotSettings
from mimosapost.routing.eligibility import check_slot

__all__ = ["describe_state"]


def describe_state(state: State, now_us: int) -> dict[str, Any]:
    """Describe the state for the status page, without secrets.

    :param state: state of the instance.
    :param now_us: monotonic time in microseconds.
    :returns: JSON-compatible mapping; ages and times left are in microseconds.
    """
    return {
        "instance": asdict(state.identity),
        "ready": state.is_ready(now_us),
        "stopping": bool(state.stop_requested_us),
        "uptime_us": now_us - state.started_us,
        "ceiling": state.ceiling,
        "open_queries": len(state.queries),
        "open_sends": len(state.sends),
        "waiting_leafs": state.waiting_leafs,
        "used_tickets": len(state.tickets),
        "configs": state.configs.describe(now_us),
        "members": state.members.describe(now_us),
        "leases": asdict(state.leases.describe(now_us)),
        "services": {
            name: _describe_service(state, service, now_us)
            for name, service in sorted(state.services.items())
        },
    }


def _describe_service(state: State, service: ServiceState, now_us: int) -> dict[str, Any]:
    settings = service.settings
    limit = state.leases.get_allowance(settings.concurrency, f"service:{settings.name}", now_us)
    return {
        "team": service.team,
        "map_version": settings.map_version,
        "index_version": settings.index_version,
        "domains_out": sorted(service.view.domains_out),
        "open_queries": service.open_queries,
        "queued_queries": len(service.queue),
        "concurrency_limit": settings.concurrency,
        "concurrency_share": limit,
        "hedge_delay_us": state.hedges.get_delay_us(settings.name),
        "leafs": {
            leaf.name: _describe_leaf(state, service, leaf, now_us) for leaf in settings.leafs
        },
    }


def _describe_leaf(
    state: State, service: ServiceState, leaf: LeafSettings, now_us: int
) -> dict[str, Any]:
    return {slot.name: _describe_slot(state, service, slot, now_us) for slot in leaf.slots}


def _describe_slot(
    state: State, service: ServiceState, slot: SlotSettings, now_us: int
) -> dict[str, Any]:
    server = slots.get_server(state, slot.server)
    reason = check_slot(slot, service.view)
    return {
        "server": slot.server,
        "domain": slot.domain,
        "eligible": reason is None,
        "reason": reason.value if reason else "",
        "down": server.down,
        "in_flight": len(server.sends),
        "allowance": slots.get_server_allowance(state, server, now_us),
        "fleet_limit": state.warmup.get_limit(slot.server, now_us),
        "boot_id": server.boot_id,
        "warmup": _describe_warmup(state, slot, now_us),
        "reported_load": server.load,
        "report_age_us": now_us - server.load_reported_us if server.load_reported_us else None,
    }


def _describe_warmup(state: State, slot: SlotSettings, now_us: int) -> dict[str, Any] | None:
    status = state.warmup.describe(slot.server, now_us)
    return None if status is None else asdict(status)
