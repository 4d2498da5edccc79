"""Published configuration: its acceptance, and the server eligibility derived from it."""

from __future__ import annotations

from mimosapost.core import counters, failures, finish
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import (
    BUDGET_BURST,
    HEDGE_BUDGET_RATIO,
    RETRY_BUDGET_RATIO,
    ServiceState,
    State,
    create_leases,
)
from mimosapost.limits.admission_queue import AdmissionQueue
from mimosapost.limits.budgets import SendBudget
from mimosapost.limits.leases import LeaseTable
from mimosapost.membership.config_store import Accepted, Refused
from mimosapost.membership.gossip_exchange import ExchangeResult
from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.model.events import ConfigRead, InstancesListed
from mimosapost.model.published_settings import (
    CallerSettings,
    FleetTree,
    ServiceSettings,
    TeamTree,
)
from mimosapost.routing.eligibility import EligibilityView

# Added to the current time, it gives a time that is never reached.
_FAR_FUTURE_US = 1 << 60

__all__ = ["apply_outcome", "handle_config_read", "handle_instances_listed"]


@handles(ConfigRead)
def handle_config_read(state: State, event: ConfigRead, effects: Effects) -> None:
    """Pass a subtree from the configuration service to the exchange and apply the outcome."""
    outcome = state.exchange.offer(event.team, event.version, event.text, event.now_us)
    apply_outcome(state, outcome, event.now_us, effects)


def apply_outcome(state: State, outcome: ExchangeResult, now_us: int, effects: Effects) -> None:
    """Apply an accepted subtree; log a refused subtree and a seat that is held twice."""
    effects.extend(outcome.sends)
    if outcome.duplicate is not None:
        effects.append(WriteLog("seat_held_twice", (("seat", outcome.duplicate.seat),)))
    match outcome.offered:
        case Accepted(tree=FleetTree() as fleet):
            _apply_fleet(state, fleet, now_us, effects)
        case Accepted(tree=TeamTree() as tree):
            _apply_team(state, tree, now_us, effects)
        case Refused(faults=faults, repeated=False):
            text = "; ".join(str(fault) for fault in faults[:5])
            effects.append(
                WriteLog("config_refused", (("team", outcome.team), ("faults", text)))
            )
            return
        case _:
            return
    version = outcome.offered.tree.version
    effects.append(WriteLog("config_accepted", (("team", outcome.team), ("version", version))))
    effects.append(IncrementCounter(counters.CONFIG_ACCEPTED))


def _apply_fleet(state: State, fleet: FleetTree, now_us: int, effects: Effects) -> None:
    state.regions = dict(fleet.regions)
    state.fleet_domains_out = frozenset(fleet.domains_out)
    if fleet.instance_ceiling != state.ceiling:
        state.ceiling = fleet.instance_ceiling
        state.leases = _replace_leases(state, now_us, effects)
    _refresh_views(state)


def _replace_leases(state: State, now_us: int, effects: Effects) -> LeaseTable:
    seat = state.identity.seat
    if seat < state.ceiling:
        return create_leases(state.identity, state.ceiling, now_us, state.policy)
    # The new ceiling gives all shares to other seats. A lease table whose start time is never
    # reached gives no allowance, so the instance is not ready.
    effects.append(WriteLog("seat_above_ceiling", (("seat", seat),)))
    return create_leases(state.identity, seat + 1, now_us + _FAR_FUTURE_US, state.policy)


def _apply_team(state: State, tree: TeamTree, now_us: int, effects: Effects) -> None:
    """Apply the subtree of a team.

    A service or caller name that several teams publish belongs to the team whose name sorts
    first, so that all instances agree, in whatever order they receive the subtrees.
    """
    state.teams[tree.team] = tree
    services: dict[str, tuple[str, ServiceSettings]] = {}
    callers: dict[str, CallerSettings] = {}
    for team in sorted(state.teams):
        for settings in state.teams[team].services:
            services.setdefault(settings.name, (team, settings))
        for caller in state.teams[team].callers:
            callers.setdefault(caller.name, caller)
    for name in state.services.keys() - services.keys():
        del state.services[name]
        _refuse_queued(state, name, now_us, effects)
    for team, settings in services.values():
        current = state.services.get(settings.name)
        if current is None or current.settings is not settings:
            _apply_service(state, team, settings)
    _update_servers(state)
    state.callers = callers
    state.caller_digests = {caller.token_digest: caller for caller in callers.values()}
    _refresh_views(state)


def _update_servers(state: State) -> None:
    """Remove the records of servers that no service lists any more.

    A server in ``state.servers`` may still be in use; housekeeping removes it when it is not.
    """
    published = frozenset(
        address for service in state.services.values() for address in service.slots
    )
    for address in state.published_servers - published:
        if address not in state.servers:
            failures.forget_server(state, address)
    state.published_servers = published


def _refuse_queued(state: State, name: str, now_us: int, effects: Effects) -> None:
    """Refuse the queued queries of a removed service; its admission queue is removed too."""
    for open_query in list(state.queries.values()):
        if open_query.query.service == name and open_query.plan is None:
            finish.refuse_open(state, open_query, ResultCode.UNKNOWN_SERVICE, now_us, effects)


def _apply_service(state: State, team: str, settings: ServiceSettings) -> None:
    slots = {slot.server: slot for leaf in settings.leafs for slot in leaf.slots}
    # Probes open connections outside the pool. Without connections reserved for them, a server
    # whose connections are all in use would refuse the probe and be marked down.
    reserved = min(state.ceiling, settings.connections // 5)
    for server in slots:
        state.warmup.configure(
            server,
            settings.connections - reserved,
            settings.cold_limit,
            settings.ramp_answers,
            settings.ramp_interval_ms * 1000,
        )
    current = state.services.get(settings.name)
    if current is not None:
        current.team, current.settings, current.slots = team, settings, slots
        current.queue.set_limit(settings.queue_limit)
        return
    # Queries that started before the service was removed may still run when it is added again.
    running = sum(
        open_query.plan is not None and open_query.query.service == settings.name
        for open_query in state.queries.values()
    )
    state.services[settings.name] = ServiceState(
        team,
        settings,
        EligibilityView(frozenset(), frozenset()),
        slots,
        AdmissionQueue(settings.queue_limit),
        SendBudget(HEDGE_BUDGET_RATIO, BUDGET_BURST),
        SendBudget(RETRY_BUDGET_RATIO, BUDGET_BURST),
        running,
    )


def _refresh_views(state: State) -> None:
    """Recompute which servers may get new work.

    The servers of a domain that is in service again start cold.
    """
    # Several slots may name one server; it is leaving if any of them is marked so.
    leaving = {
        team: state.leaving_addresses.union(
            slot.server
            for service in tree.services
            for leaf in service.leafs
            for slot in leaf.slots
            if slot.leaving
        )
        for team, tree in state.teams.items()
    }
    for service in state.services.values():
        team_out = state.teams[service.team].domains_out
        domains_out = state.fleet_domains_out.union(team_out)
        returned = service.view.domains_out - domains_out
        for server, slot in service.slots.items():
            if slot.domain in returned:
                state.warmup.reset(server)
        service.view = EligibilityView(domains_out, leaving[service.team])


@handles(InstancesListed)
def handle_instances_listed(state: State, event: InstancesListed, effects: Effects) -> None:
    """Record the platform's list of instances, which also marks servers that are leaving."""
    state.members.record_instance_list(event.entries, event.now_us)
    for entry in event.entries:
        state.peer_addresses.setdefault(entry.name, entry.peer_address)
    # A replacement has a new name, so the addresses of former instances would accumulate.
    listed = {entry.name for entry in event.entries}
    for name in state.peer_addresses.keys() - listed:
        if state.members.find_by_name(name) is None:
            del state.peer_addresses[name]
    leaving = frozenset(entry.peer_address for entry in event.entries if entry.leaving)
    if leaving != state.leaving_addresses:
        state.leaving_addresses = leaving
        _refresh_views(state)
