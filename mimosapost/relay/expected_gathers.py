"""Partners that are found before the first query needs them.

Load pattern: many small instances, each of which gets a query every few seconds. A query that
arrives before partners are known opens connections to all servers itself, which takes a small
instance longer than the latency goal, and every instance has such a first query.
"""

from __future__ import annotations

import itertools
from collections import Counter

from mimosapost.relay.gathers import MIN_GATHERED_PARTS
from mimosapost.relay.latency_pools import get_distance
from mimosapost.relay.state import RelayState

__all__ = ["expect_gathers"]

# Rounds of gossip after which the domains with servers are looked up again.
_REFRESH_ROUNDS = 16


def expect_gathers(state: RelayState, now_us: int) -> None:
    """Record a demand for partners in the domains whose servers the gathered routes name.

    Without gathered routes, or with all servers in the domain of the instance, there is none.
    """
    peers, catalog = state.peers, state.catalog
    if catalog is None or not state.servers_listed:
        return
    is_changed = peers.expected_version != catalog.version
    if is_changed or not peers.round_number % _REFRESH_ROUNDS:
        peers.expected_version = catalog.version
        peers.expected_domains = _list_domains(state)
    for domain in peers.expected_domains:
        peers.demanded_us[domain] = now_us


def _list_domains(state: RelayState) -> frozenset[str]:
    """Return the other failure domains with servers of enough shards of one route."""
    own, found = state.peers.own, set()
    for route in itertools.chain.from_iterable(state.catalog.hosts.values()):
        parts = Counter(
            domain
            for shard in route.shards
            for domain in {r.server.domain for r in state.by_service.get(shard, ())}
        )
        for domain, count in parts.items():
            region = state.peers.regions.get(domain, "")
            distance = get_distance(own.domain, own.region, domain, region)
            if domain != own.domain and count >= MIN_GATHERED_PARTS[distance]:
                found.add(domain)
    return frozenset(found)
