"""Checks that a request that crashes servers stops reaching them, and that others don't suffer.

Load pattern: the same request comes again and again, at any instance, beside other traffic.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.relay.events import SourceRead
from mimosapost.relay.messages import Refusal
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import (
    MS,
    create_route,
    create_servers,
    create_single_route,
)
from mimosapost.relay.tests.server_simulation import SimulatedServers

CRASHING = 666
SHARDS = tuple(f"s{n}" for n in range(8))
# Time within which the instances must know of a third crash, and the number of requests that
# may still reach a server after it: the users' rule.
CONTACT_US = 4_000 * MS
MAX_LATE_ARRIVALS = 3
SMALL = ("a1", "b1", "c1", "a1")
LARGE = ("a1", "b1", "c1") * 4


def create_simulation(domains, **changes) -> SimulatedServers:
    """Return a fleet that has met, with two servers of each shard and three of a service."""
    servers = [s for shard in SHARDS for s in create_servers(shard)]
    servers += create_servers("one", ("a1", "b1", "c1"))
    servers = [replace(s, address=f"10.1.{n}.1:80") for n, s in enumerate(servers)]
    routes = [
        create_route(shards=SHARDS, min_coverage=0.75),
        create_single_route(),
        create_single_route("order", repeatable=False),
    ]
    fleet = Fleet(list(domains), routes, servers, delay_ms=1.0)
    simulation = SimulatedServers(fleet, servers, **changes)
    for second in range(4):
        for relay in fleet.relays.values():
            if not second or relay.state.feed.reader is None:
                after = 10 if second else 0
                relay.apply_event(SourceRead(fleet.now_us, after, 10, (), fleet.now_us))
        simulation.advance(1_000)
    return simulation


def send_traffic(simulation, path, seconds, interval_ms=300, others_per_second=40, seed=1):
    """Send the crashing request and others to random instances.

    :returns: instance and number of each of the other requests.
    """
    rng = random.Random(seed)
    names = sorted(simulation.fleet.relays)
    others = []
    for at_ms in range(0, seconds * 1_000, 5):
        if path and at_ms % interval_ms == 0:
            simulation.fleet[rng.choice(names)].request(path, fingerprint=CRASHING)
        if rng.random() < others_per_second * 0.005:
            name = rng.choice(names)
            kind = rng.choice(("/search/y", "/look/y"))
            number = simulation.fleet[name].request(kind, fingerprint=10_000 + len(others))
            others.append((name, number))
        simulation.advance(5)
    simulation.advance(700)
    return others


def list_refused(simulation, requests):
    """Return the requests that were refused because they crash servers."""
    replies = [simulation.replies[request] for request in requests]
    return [
        reply
        for reply in replies
        if isinstance(reply, Refusal) and reply.code is ResultCode.REQUEST_REFUSED
    ]


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
@pytest.mark.parametrize("domains", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("path", ["/look/x", "/search/x", "/order/x"])
def test_a_crashing_request_stops_reaching_servers_of_the_whole_fleet(path, domains, is_silent):
    simulation = create_simulation(domains, crashing=[CRASHING], is_silent=is_silent)
    others = send_traffic(simulation, path, 12)
    assert len(simulation.crash_times_us) >= 2, "the request crashed no servers"
    late_us = sorted(simulation.crash_times_us)[2:3]
    late = simulation.count_arrivals(CRASHING, late_us[0] + CONTACT_US) if late_us else 0
    assert late <= MAX_LATE_ARRIVALS
    assert list_refused(simulation, others) == []
