"""Plans: the snapshot and the leafs that a query is pinned to."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.identities import Snapshot
from mimosapost.model.published import LeafSettings, ServiceSettings

__all__ = ["Plan", "create_plan", "create_replan"]


@dataclass(frozen=True, slots=True)
class Plan:
    """What a query asks for, fixed when it is planned.

    :param snapshot: pair of versions that every sub-request carries.
    :param leafs: every leaf of the shard map, in its order.
    :param replanned: whether this plan replaced an earlier one.
    """

    snapshot: Snapshot
    leafs: tuple[LeafSettings, ...]
    replanned: bool = False


def create_plan(service: ServiceSettings, index_floor: int = 0) -> Plan:
    """Pin a query to the newest known snapshot of a service.

    :param service: newest accepted settings of the service.
    :param index_floor: index version that all leafs of this shard map served completely, as
        seen in an answer; it may be ahead of the published one.
    """
    index_version = max(service.index_version, index_floor)
    return Plan(Snapshot(service.map_version, index_version), service.leafs)


def create_replan(plan: Plan, held: Snapshot, service: ServiceSettings) -> Plan | None:
    """Plan a query again after a leaf refused the pinned snapshot.

    :param plan: the plan in force.
    :param held: newest snapshot that the refusing leaf holds.
    :param service: newest accepted settings of the service.
    :returns: a plan at a newer snapshot, or ``None`` if none is known or the query was
        replanned already. A leaf that is merely behind gives ``None``: another slot of it
        may hold the pinned snapshot.

    Notes: one replan bounds the extra work to one more fan-out; a second change of version
    within one query's deadline is reported as missing coverage instead.
    """
    if plan.replanned:
        return None
    target = Snapshot(service.map_version, service.index_version)
    if held.map_version == service.map_version:
        target = Snapshot(service.map_version, max(service.index_version, held.index_version))
    if target <= plan.snapshot:
        return None
    return Plan(target, service.leafs, replanned=True)
