"""Identities of slots, snapshots and instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["NO_SEAT", "InstanceIdentity", "SlotId", "Snapshot"]

#: Seat of an instance on a platform that assigns none.
NO_SEAT = 2**32 - 1


class SlotId(NamedTuple):
    """Identifier of a slot, which is one replica of a leaf.

    A named tuple, because it is hashed on every send.
    """

    service: str
    leaf: str
    slot: str


class Snapshot(NamedTuple):
    """Versions of the shard map and of the indexed data that an answer reflects."""

    map_version: int
    index_version: int


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Identity of an instance, from its settings and its process start.

    :param name: name of the instance, unique in the deployment.
    :param incarnation: random 64-bit number drawn at process start.
    :param seat: fixed number assigned to the instance, from 0 to ``instance_ceiling - 1``,
        or :data:`NO_SEAT`.
    :param domain: failure domain that the instance runs in.
    :param region: region of that domain.
    :param peer_address: ``ip:port`` on which the instance accepts peer links.
    """

    name: str
    incarnation: int
    seat: int
    domain: str
    region: str
    peer_address: str
