"""Pin a query to a snapshot and to the leafs of a shard map."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.identities import Snapshot
from mimosapost.model.published_settings import LeafSettings, ServiceSettings

__all__ = ["Plan", "create_plan", "create_replan"]


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the snapshot and the leafs that a query is pinned to.

    :param snapshot: versions of shard map and index that every sub-request carries.
    :param leafs: every leaf of the shard map, in shard-map order.
    :param replanned: whether this plan replaced an earlier plan of the query.
    """

    snapshot: Snapshot
    leafs: tuple[LeafSettings, ...]
    replanned: bool = False


def create_plan(service: ServiceSettings, index_floor: int = 0) -> Plan:
    """Pin a query to the newest known snapshot of a service.

    :param service: newest accepted settings of the service.
    :param index_floor: index version at which all leafs of this shard map have answered a query
        completely; it may be newer than the published version. The plan uses it as a minimum.
    :returns: plan at the newer of the published index version and ``index_floor``.
    """
    index_version = max(service.index_version, index_floor)
    return Plan(Snapshot(service.map_version, index_version), service.leafs)


def create_replan(plan: Plan, held: Snapshot, service: ServiceSettings) -> Plan | None:
    """Plan a query again after a leaf refused the pinned snapshot.

    :param plan: current plan of the query.
    :param held: newest snapshot that the leaf holds, as stated in its refusal.
    :param service: newest accepted settings of the service.
    :returns: a plan at a newer snapshot, or ``None`` if no newer one is known or the query was
        replanned before. If the leaf holds only an older snapshot, the result is ``None``,
        because another slot of the leaf may hold the pinned one.

    A query is replanned at most once, which limits the extra work to one more fan-out. If the
    version changes a second time before the deadline of the query, the leafs are reported as
    missing instead.
    """
    if plan.replanned:
        return None
    target = Snapshot(service.map_version, service.index_version)
    if held.map_version == service.map_version:
        target = Snapshot(service.map_version, max(service.index_version, held.index_version))
    if target <= plan.snapshot:
        return None
    return Plan(target, service.leafs, replanned=True)
