"""Checks that a request that crashes servers stops reaching them, and that others don't suffer.

Load pattern: the same request comes again and again, at any instance, beside other traffic.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import ServerNotes, SuspectNote
from mimosapost.relay.events import ProbeEnded, ProbeOutcome, SourceRead
from mimosapost.relay.messages import Refusal
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import (
    MS,
    create_route,
    create_servers,
    create_single_route,
)
from mimosapost.relay.tests.server_simulation import SimulatedServers
from mimosapost.suspects.tracker import SuspicionState

CRASHING = 666
SHARDS = tuple(f"s{n}" for n in range(8))
# Time within which the instances must know of a third crash, and the number of requests that
# may still reach a server after it: the users' rule.
CONTACT_US = 4_000 * MS
MAX_LATE_ARRIVALS = 3
SMALL = ("a1", "b1", "c1", "a1")
LARGE = ("a1", "b1", "c1") * 4
# An instance that needs no permit of another one to run a suspect.
ALONE = ("a1",)


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


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
@pytest.mark.parametrize("domain", ["a1", "b1"])
def test_crashes_of_a_rack_under_traffic_refuse_no_request(domain, is_silent):
    simulation = create_simulation(SMALL, is_silent=is_silent)
    others = []
    for seed in range(3):
        others += send_traffic(simulation, "", 1, others_per_second=100, seed=seed)
        others += send_traffic(simulation, "", 1, others_per_second=100, seed=10 + seed)
        for address, server in list(simulation.running.items()):
            if server.domain == domain:
                simulation.crash(address)
        others += send_traffic(simulation, "", 3, others_per_second=100, seed=20 + seed)
    replies = [simulation.replies[request] for request in others]
    refused = [reply for reply in replies if isinstance(reply, Refusal)]
    assert [r for r in refused if r.code is ResultCode.REQUEST_REFUSED] == []
    assert len(refused) <= 0.02 * len(replies)


def test_an_instance_that_missed_the_notes_learns_by_gossip():
    simulation = create_simulation(SMALL, crashing=[CRASHING])
    names = sorted(simulation.fleet.relays)
    simulation.fleet.cut = {(a, b) for a in names for b in names if "n4" in (a, b)}
    for name in ("n1", "n2", "n3", "n1"):
        simulation.fleet[name].request("/look/x", fingerprint=CRASHING)
        simulation.advance(1_500)
    suspects = simulation.fleet["n4"].state.suspects
    assert suspects.classify(CRASHING, simulation.fleet.now_us) is SuspicionState.CLEAR
    simulation.fleet.cut = set()
    simulation.advance(4_000)
    assert suspects.classify(CRASHING, simulation.fleet.now_us) is SuspicionState.REFUSED


@pytest.mark.parametrize(
    ("answered", "standing"),
    [(8, SuspicionState.CLEAR), (7, SuspicionState.SUSPECT), (1, SuspicionState.SUSPECT)],
)
def test_a_suspect_is_cleared_by_the_answers_of_all_its_servers(answered, standing):
    simulation = create_simulation(ALONE)
    relay = simulation.fleet["n1"]
    relay.state.suspects.record_crash("10.1.0.1:80", [7], relay.now_us)
    relay.request(fingerprint=7)
    sends = relay.pop_sends()
    assert len(sends) == 1, "the other parts must wait for the first"
    relay.answer(sends[0])
    rest = relay.pop_sends()
    assert len(rest) == 7
    for send in rest[: answered - 1]:
        relay.answer(send)
    relay.advance(700)
    assert relay.state.suspects.classify(7, relay.now_us) is standing


@pytest.mark.parametrize("path", ["/look/x", "/search/x"])
def test_requests_that_are_open_at_the_refusal_end(path):
    simulation = create_simulation(SMALL)
    relay = simulation.fleet["n1"]
    number = relay.request(path, fingerprint=7)
    sends = relay.pop_sends()
    notes = ServerNotes(2, (), (SuspectNote(7, 2, 50_000_000),))
    relay.apply_event(PeerMessageArrived(relay.now_us, "n2", notes))
    assert relay.get_reply(number).code is ResultCode.OUTCOME_UNKNOWN
    assert sorted(relay.list_abandoned()) == sorted(send.send_id for send in sends)
    assert relay.get_reply(relay.request(path, fingerprint=7)).retry_after_us == 0


@pytest.mark.parametrize("outcome", list(ProbeOutcome))
def test_a_part_is_repeated_only_after_the_probe_of_its_server(outcome):
    relay = create_simulation(ALONE).fleet["n1"]
    relay.request("/look/x", fingerprint=7)
    (send,) = relay.pop_sends()
    relay.fail(send)
    assert relay.pop_sends() == []
    relay.apply_event(ProbeEnded(relay.now_us, send.server, outcome))
    (repeat,) = relay.pop_sends()
    assert repeat.server.server_id != send.server.server_id
    is_crash = outcome is ProbeOutcome.REFUSED
    standing = SuspicionState.SUSPECT if is_crash else SuspicionState.CLEAR
    assert relay.state.suspects.classify(7, relay.now_us) is standing
    assert relay.state.sends[repeat.send_id].ran_alone == is_crash


def test_a_suspect_is_never_sent_to_the_last_server_of_a_service():
    relay = create_simulation(ALONE).fleet["n1"]
    records = relay.state.by_service["one"]
    for record in records[1:]:
        record.blocked_until_us = relay.now_us + 10_000 * MS
    relay.state.suspects.record_crash("10.1.0.1:80", [7], relay.now_us)
    number = relay.request("/look/x", fingerprint=7)
    assert relay.pop_sends() == []
    assert relay.get_reply(number).code is ResultCode.OVERLOADED


def test_unanswered_sends_are_forgotten_after_a_time():
    relay = create_simulation(SMALL).fleet["n1"]
    relay.probe_outcome = ProbeOutcome.SILENT
    for fingerprint in range(200):
        relay.request("/order/x", fingerprint=fingerprint)
        (send,) = relay.pop_sends()
        relay.fail(send)
        relay.advance(1_000)
    assert sum(len(entries) for entries in relay.state.unanswered.values()) <= 16
