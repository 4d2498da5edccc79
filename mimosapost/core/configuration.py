"""Published configuration: acceptance, and the views that decisions use."""

from __future__ import annotations

from mimosapost.core import counters
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import (
    BUDGET_BURST,
    HEDGE_BUDGET_RATIO,
    RETRY_BUDGET_RATIO,
    ServiceState,
    State,
    create_leases,
)
from mimosapost.limits.admission import AdmissionQueue
from mimosapost.limits.budgets import Budget
from mimosapost.membership.configs import Accepted, Refused
from mimosapost.membership.exchange import Outcome
from mimosapost.model.effects import Count, WriteLog
from mimosapost.model.events import ConfigRead, InstancesListed
from mimosapost.model.published import FleetTree, ServiceSettings, TeamTree
from mimosapost.routing.eligibility import EligibilityView

__all__ = ["apply_outcome", "handle_config_read", "handle_instances_listed"]


@handles(ConfigRead)
def handle_config_read(state: State, event: ConfigRead, effects: Effects) -> None:
    """Offer a subtree that was read from the configuration service."""
    outcome = state.exchange.offer(event.team, event.version, event.text, event.now_us)
    apply_outcome(state, outcome, event.now_us, effects)


def apply_outcome(state: State, outcome: Outcome, now_us: int, effects: Effects) -> None:
    """Put an accepted subtree in force, and report what was refused or found."""
    effects.extend(outcome.sends)
    if outcome.duplicate is not None:
        effects.append(WriteLog("seat_held_twice", (("seat", outcome.duplicate.seat),)))
    match outcome.offered:
        case Accepted(tree=FleetTree() as fleet):
            _apply_fleet(state, fleet, now_us)
        case Accepted(tree=TeamTree() as tree):
            _apply_team(state, tree)
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
    effects.append(Count(counters.CONFIG_ACCEPTED))


def _apply_fleet(state: State, fleet: FleetTree, now_us: int) -> None:
    state.regions = dict(fleet.regions)
    state.fleet_domains_out = frozenset(fleet.domains_out)
    if fleet.instance_ceiling != state.ceiling:
        state.ceiling = fleet.instance_ceiling
        state.leases = create_leases(state.identity, state.ceiling, now_us, state.policy)
    _refresh_views(state)


def _apply_team(state: State, tree: TeamTree) -> None:
    for name, service in list(state.services.items()):
        if service.team == tree.team and all(s.name != name for s in tree.services):
            del state.services[name]
    for settings in tree.services:
        _apply_service(state, tree.team, settings)
    _apply_callers(state, tree)
    state.team_domains_out[tree.team] = frozenset(tree.domains_out)
    _refresh_views(state)


def _apply_callers(state: State, tree: TeamTree) -> None:
    """Replace the callers of a team; the first team that published a name keeps it."""
    for name in [name for name, team in state.caller_teams.items() if team == tree.team]:
        del state.callers[name], state.caller_teams[name]
    for caller in tree.callers:
        if caller.name not in state.callers:
            state.callers[caller.name] = caller
            state.caller_teams[caller.name] = tree.team
    state.caller_digests = {c.token_digest: c for c in state.callers.values()}


def _apply_service(state: State, team: str, settings: ServiceSettings) -> None:
    current = state.services.get(settings.name)
    if current is not None and current.team != team:
        # The first team that published a service name keeps it.
        return
    slots = {slot.server: slot for leaf in settings.leafs for slot in leaf.slots}
    # Probes open connections outside the pool; without room for them a server whose
    # connections are all in use would refuse the probe and count as down.
    reserved = min(state.ceiling, settings.connections // 5)
    for server in slots:
        state.warmup.configure(
            server,
            settings.connections - reserved,
            settings.cold_limit,
            settings.ramp_answers,
            settings.ramp_interval_ms * 1000,
        )
    if current is not None:
        current.settings, current.slots = settings, slots
        return
    state.services[settings.name] = ServiceState(
        team,
        settings,
        EligibilityView(frozenset(), frozenset()),
        slots,
        AdmissionQueue(settings.queue_limit),
        Budget(HEDGE_BUDGET_RATIO, BUDGET_BURST),
        Budget(RETRY_BUDGET_RATIO, BUDGET_BURST),
    )


def _refresh_views(state: State) -> None:
    """Recompute who may get new work; servers of a returning domain start cold."""
    for service in state.services.values():
        team_out = state.team_domains_out.get(service.team, frozenset())
        domains_out = state.fleet_domains_out | team_out
        returned = service.view.domains_out - domains_out
        for server, slot in service.slots.items():
            if slot.domain in returned:
                state.warmup.reset(server)
        service.view = EligibilityView(domains_out, state.leaving_addresses)


@handles(InstancesListed)
def handle_instances_listed(state: State, event: InstancesListed, effects: Effects) -> None:
    """Take the platform's list: our own instances, and servers that are leaving."""
    state.members.record_list(event.entries, event.now_us)
    for entry in event.entries:
        state.peer_addresses.setdefault(entry.name, entry.peer_address)
    leaving = frozenset(entry.peer_address for entry in event.entries if entry.leaving)
    if leaving != state.leaving_addresses:
        state.leaving_addresses = leaving
        _refresh_views(state)
