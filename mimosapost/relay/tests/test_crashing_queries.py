"""Checks that a query that crashes the servers of all shards stops reaching them.

Load pattern: several callers send the same query at the same moment, at several instances, and
again as soon as the servers are back, beside other traffic.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from mimosapost.relay.events import SourceRead
from mimosapost.relay.messages import Refusal
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import (
    create_route,
    create_servers,
    create_single_route,
)
from mimosapost.relay.tests.server_simulation import SimulatedServers
from mimosapost.relay.tests.test_crashing_requests import (
    CONTACT_US,
    CRASHING,
    LARGE,
    MAX_LATE_ARRIVALS,
    SMALL,
    list_refused,
)

SHARDS = tuple(f"s{n}" for n in range(20))
ONE_SERVICE = ("a1", "a1", "a1", "b1", "b1", "c1", "c1")
# Crashed servers are back after 3 s, and the query comes again when they are.
REPEAT_MS = 5_100
FULL_DEADLINES_MS = (600,)
DEADLINES_MS = (22, 80, 200, 400, 600)


def create_simulation(domains, **changes) -> SimulatedServers:
    """Return a fleet that has met, with two servers of each of 20 shards."""
    servers = [s for shard in SHARDS for s in create_servers(shard)]
    servers += create_servers("one", ONE_SERVICE)
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


def send_repeats(
    simulation,
    path,
    seconds,
    copies,
    repeat_ms=REPEAT_MS,
    deadlines_ms=FULL_DEADLINES_MS,
    seed=1,
):
    """Send copies of one request at the same moment, again and again, and other requests.

    :returns: instance and number of each of the other requests.
    """
    rng = random.Random(seed)
    names = sorted(simulation.fleet.relays)
    others = []
    for at_ms in range(0, seconds * 1_000, 5):
        if at_ms % repeat_ms == 0:
            for _ in range(copies):
                relay = simulation.fleet[rng.choice(names)]
                relay.request(path, rng.choice(deadlines_ms), CRASHING)
        if rng.random() < 0.2:
            name = rng.choice(names)
            kind = rng.choice(("/search/y", "/look/y"))
            number = simulation.fleet[name].request(kind, fingerprint=10_000 + len(others))
            others.append((name, number))
        simulation.advance(5)
    simulation.advance(700)
    return others


def count_late_arrivals(simulation) -> int:
    """Return the arrivals that are later than the instances must know of the third crash."""
    third_us = sorted(simulation.crash_times_us)[2]
    return simulation.count_arrivals(CRASHING, third_us + CONTACT_US)


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
@pytest.mark.parametrize("domains", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize(
    ("copies", "deadlines_ms"),
    [(4, DEADLINES_MS), (6, FULL_DEADLINES_MS), (6, DEADLINES_MS)],
    ids=["four-mixed", "six", "six-mixed"],
)
def test_repeats_at_several_instances_at_once_stop_reaching_servers(
    copies, deadlines_ms, domains, is_silent
):
    simulation = create_simulation(
        domains, crashing=[CRASHING], is_silent=is_silent, crash_delay_ms=(30, 120)
    )
    others = send_repeats(simulation, "/search/x", 22, copies, deadlines_ms=deadlines_ms)
    assert count_late_arrivals(simulation) <= MAX_LATE_ARRIVALS
    assert list_refused(simulation, others) == []


def test_repeats_after_a_refusal_stay_within_the_bound():
    simulation = create_simulation(SMALL, crashing=[CRASHING], crash_delay_ms=(50, 300))
    others = send_repeats(simulation, "/look/x", 260, 4, repeat_ms=250)
    assert count_late_arrivals(simulation) <= MAX_LATE_ARRIVALS
    assert list_refused(simulation, others) == []


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
@pytest.mark.parametrize("domains", [SMALL, LARGE], ids=["small", "large"])
def test_a_query_that_crashes_servers_spares_the_second_server_of_a_shard(domains, is_silent):
    simulation = create_simulation(
        domains, crashing=[CRASHING], is_silent=is_silent, crash_delay_ms=(30, 120)
    )
    send_repeats(simulation, "/search/x", 2, 1)
    assert len(SHARDS) <= len(simulation.crash_times_us) <= len(SHARDS) + 2


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
@pytest.mark.parametrize("domain", ["a1", "b1", ""], ids=["rack", "other-rack", "all"])
@pytest.mark.parametrize("copies", [1, 4])
def test_crashes_under_a_frequent_harmless_query_refuse_no_request(copies, domain, is_silent):
    simulation = create_simulation(SMALL, is_silent=is_silent)
    for seed in range(3):
        send_repeats(simulation, "/search/x", 2, copies, repeat_ms=50, seed=seed)
        for address, server in list(simulation.running.items()):
            if not domain or server.domain == domain:
                simulation.crash(address)
        send_repeats(simulation, "/search/x", 5, copies, repeat_ms=50, seed=10 + seed)
    assert list_refused(simulation, simulation.replies) == []
    simulation.replies.clear()
    send_repeats(simulation, "/search/x", 1, copies, repeat_ms=50)
    refused = [reply for reply in simulation.replies.values() if isinstance(reply, Refusal)]
    assert refused == []


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
@pytest.mark.parametrize("domains", [SMALL, LARGE], ids=["small", "large"])
def test_repeats_of_requests_that_a_failing_rack_dropped_are_served(domains, is_silent):
    simulation = create_simulation(domains, is_silent=is_silent)
    names = sorted(simulation.fleet.relays)
    rng = random.Random(1)
    first, repeats = {}, []
    for at_ms in range(4_000):
        if at_ms == 1_003:
            for address, server in list(simulation.running.items()):
                if server.domain == "a1":
                    simulation.crash(address)
        for _ in range(40 if at_ms == 1_000 else at_ms % 10 == 0):
            name, path = rng.choice(names), rng.choice(("/search/y", "/look/y", "/order/y"))
            fingerprint = 10_000 + len(first) + len(repeats)
            number = simulation.fleet[name].request(path, fingerprint=fingerprint)
            first[name, number] = (path, fingerprint)
        for request in [r for r in first if isinstance(simulation.replies.get(r), Refusal)]:
            path, fingerprint = first.pop(request)
            name = rng.choice([name for name in names if name != request[0]])
            number = simulation.fleet[name].request(path, fingerprint=fingerprint)
            repeats.append((name, number))
        simulation.advance(1)
    simulation.advance(700)
    assert list_refused(simulation, simulation.replies) == []
    assert len(repeats) >= 3
    failed = [r for r in repeats if isinstance(simulation.replies[r], Refusal)]
    assert len(failed) <= 0.1 * len(repeats), f"{len(failed)} of {len(repeats)}"
