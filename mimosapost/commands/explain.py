"""``mimosapost explain``: show what published settings mean for queries of a service."""

from __future__ import annotations

import sys
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from mimosapost.commands.registry import CommandError, command
from mimosapost.model.published_settings import (
    FleetTree,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.settings.subtree_directory import check_tree

__all__ = ["LeafPlan", "ServicePlan", "Share", "SlotPlan", "explain", "plan_service"]

ComputeShare = Callable[[int, int, int, str], int]


@dataclass(frozen=True, slots=True)
class Share:
    """Limit for the whole fleet and the share of one seat.

    :param limit: limit for the whole fleet.
    :param share: part of the limit that belongs to the seat.
    :param leased: part of the share that requires a valid lease (half, rounded down).
    """

    limit: int
    share: int
    leased: int


@dataclass(frozen=True, slots=True)
class SlotPlan:
    """Slot of a leaf, with the reason if queries do not use it.

    :param locality: distance from the instance; ``unknown`` if its domain is not given.
    :param left_out: reason for which the slot is not used; empty if it is used.
    """

    slot: str
    server: str
    domain: str
    locality: str
    left_out: str
    connections: Share
    cold_limit: Share


@dataclass(frozen=True, slots=True)
class LeafPlan:
    """Slots of a leaf in order of locality, the nearest first.

    :param covered: whether at least one slot is used.
    """

    leaf: str
    covered: bool
    slots: tuple[SlotPlan, ...]


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """Leafs, limits and shares that the settings alone determine for a service."""

    service: str
    team: str
    map_version: int
    index_version: int
    seat: int
    instance_ceiling: int
    concurrency: Share
    callers: dict[str, Share]
    queue_limit: int
    max_deadline_ms: int
    leafs: tuple[LeafPlan, ...]


@command("explain")
def explain(
    tree: Path,
    *,
    service: str,
    domain: str = "",
    out: tuple[str, ...] = (),
    seat: int = 0,
    json: bool = False,
) -> int:
    """Show leafs, slots, limits and shares of a service according to published settings.

    Health, warm-up and load are not considered, because only running instances know them.

    :param tree: directory with ``fleet.json`` and ``teams/``.
    :param service: name of the service.
    :param domain: failure domain of the instance, which orders slots by locality.
    :param out: failure domains to treat as out of service, in addition to the published ones.
    :param seat: seat of the instance, which determines its shares.
    :param json: print JSON instead of text.
    """
    from mimosapost.limits.shares import compute_share

    report = check_tree(tree)
    if report.faults:
        raise CommandError(f"{report.faults[0]} (mimosapost check lists all faults)")
    fleet = report.fleet
    for name in filter(None, (domain, *out)):
        if name not in fleet.regions:
            known = ", ".join(sorted(fleet.regions))
            raise CommandError(f"unknown failure domain {name}; expected one of {known}")
    if not 0 <= seat < fleet.instance_ceiling:
        raise CommandError(f"seat {seat}: expected 0 to {fleet.instance_ceiling - 1}")
    for team in report.teams:
        for settings in team.services:
            if settings.name == service:
                plan = plan_service(fleet, team, settings, domain, out, seat, compute_share)
                sys.stdout.write(_format_json(plan) if json else _format_text(plan))
                return 0
    raise CommandError(f"no team publishes a service {service}")


def plan_service(
    fleet: FleetTree,
    team: TeamTree,
    service: ServiceSettings,
    domain: str,
    out: Collection[str],
    seat: int,
    compute_share: ComputeShare,
) -> ServicePlan:
    """Determine from settings alone what queries of a service use.

    :param fleet: the fleet's subtree.
    :param team: subtree of the team that publishes the service.
    :param service: settings of the service.
    :param domain: failure domain of the instance; an empty string if unknown.
    :param out: failure domains to treat as out of service, in addition to the published ones.
    :param seat: seat of the instance.
    :param compute_share: function that divides a limit among the seats.
    :returns: the plan.
    """

    def compute_seat_share(limit: int, key: str) -> Share:
        share = compute_share(limit, seat, fleet.instance_ceiling, key)
        return Share(limit, share, share // 2)

    def find_exclusion_reason(slot: SlotSettings) -> str:
        if slot.domain in fleet.domains_out:
            return "domain out for the fleet"
        if slot.domain in team.domains_out:
            return f"domain out for team {team.team}"
        if slot.domain in out:
            return "domain out by option"
        return "server leaving" if slot.leaving else ""

    def rank_locality(slot: SlotSettings) -> int:
        if slot.domain == domain:
            return 0
        region = fleet.regions.get(slot.domain)
        return 1 if region is not None and region == fleet.regions.get(domain) else 2

    def plan_slot(slot: SlotSettings) -> SlotPlan:
        locality = ("same domain", "same region", "other region")[rank_locality(slot)]
        return SlotPlan(
            slot=slot.name,
            server=slot.server,
            domain=slot.domain,
            locality=locality if domain else "unknown",
            left_out=find_exclusion_reason(slot),
            connections=compute_seat_share(service.connections, slot.server),
            cold_limit=compute_seat_share(service.cold_limit, slot.server),
        )

    leafs = []
    for leaf in service.leafs:
        slots = tuple(plan_slot(slot) for slot in sorted(leaf.slots, key=rank_locality))
        leafs.append(LeafPlan(leaf.name, not all(slot.left_out for slot in slots), slots))
    callers = {
        caller.name: compute_seat_share(caller.concurrency, f"caller:{caller.name}")
        for caller in team.callers
        if service.name in caller.services
    }
    return ServicePlan(
        service=service.name,
        team=team.team,
        map_version=service.map_version,
        index_version=service.index_version,
        seat=seat,
        instance_ceiling=fleet.instance_ceiling,
        concurrency=compute_seat_share(service.concurrency, f"service:{service.name}"),
        callers=callers,
        queue_limit=service.queue_limit,
        max_deadline_ms=service.max_deadline_ms,
        leafs=tuple(leafs),
    )


def _format_json(plan: ServicePlan) -> str:
    return msgspec.json.format(msgspec.json.encode(plan)).decode() + "\n"


def _format_text(plan: ServicePlan) -> str:
    return "\n".join(_format_lines(plan)) + "\n"


def _format_lines(plan: ServicePlan) -> Iterator[str]:
    yield f"service {plan.service} of team {plan.team}"
    yield f"  snapshot: map_version {plan.map_version}, index_version {plan.index_version}"
    yield f"  shares of seat {plan.seat} of {plan.instance_ceiling} (leased part in brackets)"
    yield f"  open queries: {_format_share(plan.concurrency)}"
    for name, share in plan.callers.items():
        yield f"  open queries of caller {name}: {_format_share(share)}"
    yield f"  queue: {plan.queue_limit} queries; longest deadline: {plan.max_deadline_ms} ms"
    covered = sum(leaf.covered for leaf in plan.leafs)
    yield f"  covered: {covered} of {len(plan.leafs)} leafs"
    for leaf in plan.leafs:
        yield f"leaf {leaf.leaf}{'' if leaf.covered else ': NO ELIGIBLE SLOT'}"
        for slot in leaf.slots:
            state = f"left out: {slot.left_out}" if slot.left_out else "used"
            yield (
                f"  {slot.slot} {slot.server} {slot.domain} ({slot.locality}): {state}; "
                f"connections {_format_share(slot.connections)}, "
                f"while cold {_format_share(slot.cold_limit)}"
            )


def _format_share(share: Share) -> str:
    return f"{share.share} of {share.limit} [{share.leased}]"
