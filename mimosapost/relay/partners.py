"""Other instances: who they are, and which of them gathers in another failure domain.

The partner of a failure domain receives the parts of queries whose servers are there. Each
instance prefers another partner, so that the load is spread over a domain, and keeps it while
it answers, so that its link stays open.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from mimosapost.membership.members import Member, MemberTable
from mimosapost.model.identities import InstanceIdentity

__all__ = [
    "PeerState",
    "choose_partner",
    "describe_peers",
    "find_partner",
    "list_linked_domains",
    "record_gathered",
    "record_heard",
    "record_peer_failure",
]

# A partner that was not heard from for this time gets no gathers. It answers pings that are
# sent once a second.
READY_US = 2_500_000
# Time without gathers after a partner failed: the first one, and the bound to which it doubles.
_INITIAL_BLOCK_US = 500_000
_MAX_BLOCK_US = 8_000_000
# Pings to a partner continue for this time after the last query that had parts for it.
DEMAND_US = 20_000_000


@dataclass(slots=True)
class _Health:
    blocked_until_us: int = 0
    block_us: int = 0


@dataclass(slots=True)
class PeerState:
    """What an instance knows of the others.

    :param own: identity of this instance.
    :param regions: region of each failure domain.
    :param seed_addresses: peer addresses of some instances, which may be out of date.
    :param partners: partner of each domain that queries lately had parts for.
    :param demanded_us: time of the last query with parts for a domain, by domain.
    :param expected_domains: domains for which gathered routes demand a partner at any time.
    :param expected_version: version of the configuration that they were looked up in.
    :param heard_us: time of the last answer of an instance, by name. An answer shows that
        messages pass in both directions.
    :param pinged_us: time of the last ping from an instance, by name.
    """

    own: InstanceIdentity
    regions: Mapping[str, str]
    seed_addresses: tuple[str, ...]
    members: MemberTable
    partners: dict[str, Member] = field(default_factory=dict)
    demanded_us: dict[str, int] = field(default_factory=dict)
    expected_domains: frozenset[str] = frozenset()
    expected_version: int = -1
    heard_us: dict[str, int] = field(default_factory=dict)
    pinged_us: dict[str, int] = field(default_factory=dict)
    health: dict[str, _Health] = field(default_factory=dict)
    round_number: int = 0

    def belongs(self, identity: InstanceIdentity) -> bool:
        """Return whether an identity can be another instance of this deployment."""
        port = self.own.peer_address.rpartition(":")[2]
        return (
            identity.name != self.own.name
            and self.regions.get(identity.domain) == identity.region
            and identity.peer_address.rpartition(":")[2] == port
        )

    def is_blocked(self, name: str, now_us: int) -> bool:
        """Return whether an instance gets no gathers because it failed lately."""
        health = self.health.get(name)
        return health is not None and now_us < health.blocked_until_us


def choose_partner(peers: PeerState, domain: str, now_us: int) -> Member | None:
    """Choose the instance that gathers in a failure domain.

    Load pattern: all instances of a region without servers of their own gather in the same few
    domains. A hash of both names spreads them over the instances there.

    :param domain: domain of the servers. If it has no instance, an instance elsewhere in its
        region is chosen, unless that is also the region of this instance.
    :returns: the partner, or ``None`` if no instance that may be used is known.
    """
    region = peers.regions.get(domain, "")
    candidates = [
        member
        for member in peers.members.list_members()
        if member.identity is not None
        and not member.leaving
        and not peers.is_blocked(member.name, now_us)
        and member.identity.region == region
    ]
    within = [member for member in candidates if member.identity.domain == domain]
    if not within and region != peers.own.region:
        within = candidates
    return max(
        within,
        key=lambda member: xxhash.xxh3_64_intdigest(f"{peers.own.name} {member.name}".encode()),
        default=None,
    )


def find_partner(peers: PeerState, domain: str, now_us: int) -> Member | None:
    """Return the partner of a domain if it answered lately, and record the demand for it."""
    peers.demanded_us[domain] = now_us
    partner = peers.partners.get(domain)
    if partner is None or peers.is_blocked(partner.name, now_us):
        return None
    heard_us = peers.heard_us.get(partner.name)
    return partner if heard_us is not None and now_us - heard_us < READY_US else None


def list_linked_domains(peers: PeerState, now_us: int) -> set[str]:
    """Return the failure domains whose partner answered lately."""
    return {
        domain
        for domain, partner in peers.partners.items()
        if not peers.is_blocked(partner.name, now_us)
        and now_us - peers.heard_us.get(partner.name, now_us - READY_US) < READY_US
    }


def record_heard(peers: PeerState, name: str, now_us: int) -> None:
    """Record an answer of an instance."""
    peers.heard_us[name] = now_us


def record_gathered(peers: PeerState, name: str) -> None:
    """Record that an instance gathered parts, which ends its block."""
    peers.health.pop(name, None)


def record_peer_failure(peers: PeerState, name: str, now_us: int) -> None:
    """Block an instance that did not answer, for a time that doubles with each failure."""
    health = peers.health.setdefault(name, _Health())
    if now_us >= health.blocked_until_us:
        health.block_us = min(max(2 * health.block_us, _INITIAL_BLOCK_US), _MAX_BLOCK_US)
        health.blocked_until_us = now_us + health.block_us
    peers.heard_us.pop(name, None)
    for domain in [d for d, partner in peers.partners.items() if partner.name == name]:
        del peers.partners[domain]


def describe_peers(peers: PeerState, now_us: int) -> dict[str, Any]:
    """Return the known instances and the partner of each domain, for the status page."""
    linked_domains = list_linked_domains(peers, now_us)
    members = [
        {
            "name": member.name,
            "peer_address": member.peer_address,
            "domain": member.identity.domain if member.identity is not None else "",
            "leaving": member.leaving,
            "blocked": peers.is_blocked(member.name, now_us),
            "heard_ms": _get_silence_ms(peers, member.name, now_us),
        }
        for member in peers.members.list_members()
    ]
    partners = [
        {"domain": domain, "name": partner.name, "ready": domain in linked_domains}
        for domain, partner in sorted(peers.partners.items())
    ]
    return {"members": members, "partners": partners}


def _get_silence_ms(peers: PeerState, name: str, now_us: int) -> int | None:
    heard_us = peers.heard_us.get(name)
    return None if heard_us is None else (now_us - heard_us) // 1_000
