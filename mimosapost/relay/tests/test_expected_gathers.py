"""Replays the first query of an instance, at which small instances used to be late."""

from __future__ import annotations

import pytest

from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import (
    create_route,
    create_servers,
    create_single_route,
)

SHARDS = tuple(f"s{n}" for n in range(8))


@pytest.mark.parametrize(
    ("domains", "route", "expected"),
    [
        pytest.param(("c1", "a1"), create_route(shards=SHARDS), {"a1"}, id="partner"),
        pytest.param(("c1",), create_route(shards=SHARDS), set(), id="no other instance"),
        pytest.param(("c1", "a1"), create_route(shards=SHARDS[:1]), set(), id="few parts"),
        pytest.param(
            ("c1", "a1"), create_single_route(split=(("s0", 1.0),)), set(), id="single servers"
        ),
        pytest.param(
            ("a1", "c1"), create_route(shards=SHARDS), set(), id="servers in own domain"
        ),
    ],
)
def test_partners_are_known_before_the_first_query(domains, route, expected):
    servers = [s for shard in SHARDS for s in create_servers(shard, ("a1",))]
    fleet = Fleet(domains, [route], servers)
    fleet.advance(2_500)
    relay = fleet["n1"]
    assert set(relay.state.peers.partners) == expected
    relay.request(path=f"{route.prefix}x")
    assert len(relay.state.gathers) == len(expected)


def test_a_partner_that_fell_silent_before_the_first_query_gets_no_parts():
    servers = [s for shard in SHARDS for s in create_servers(shard, ("a1",))]
    fleet = Fleet(("c1", "a1", "a1"), [create_route(shards=SHARDS)], servers)
    fleet.advance(2_500)
    relay = fleet["n1"]
    silent = relay.state.peers.partners["a1"].name
    fleet.cut |= {("n1", silent), (silent, "n1")}
    fleet.advance(4_000)
    relay.request()
    assert silent not in {gather.peer for gather in relay.state.gathers.values()}
    assert len(relay.pop_sends()) + len(relay.state.gathers) >= 1
