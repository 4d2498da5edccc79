"""Checks that suspects run once at a time in the fleet, whatever happens to its instances.

Load pattern: a server has crashed under a request, all instances know of it, and the request
comes at several of them in the same moment.
"""

from __future__ import annotations

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.peer_messages import SuspectNote, TrialMessage, TrialStep
from mimosapost.relay.crashes import RESTART_WINDOW_US, record_crash
from mimosapost.relay.messages import Refusal
from mimosapost.relay.state import UnansweredSend
from mimosapost.relay.tests.relay_harness import MS
from mimosapost.relay.tests.test_crashing_queries import SHARDS, create_simulation
from mimosapost.relay.tests.test_crashing_requests import CRASHING, LARGE, SMALL
from mimosapost.suspects.tracker import SuspicionState

HARMLESS = 7
REPLY_MS = 250
PERMIT_MS = 5_000
HOLD_MS = 5_000


def create_suspects(domains=SMALL, fingerprint=CRASHING, **changes):
    """Return a fleet in which all instances know that a server crashed under a request."""
    simulation = create_simulation(domains, crashing=[CRASHING], **changes)
    for relay in simulation.fleet.relays.values():
        relay.state.suspects.merge([SuspectNote(fingerprint, 1, 0)], relay.now_us)
    return simulation


def request_everywhere(simulation, path, fingerprint, deadline_ms=600):
    """Send a request to each instance in the same moment; return them with their numbers."""
    return [
        (name, relay.request(path, deadline_ms, fingerprint))
        for name, relay in simulation.fleet.relays.items()
    ]


def find_coordinator(simulation, fingerprint):
    """Return the name of the instance that was asked for the permit first."""
    sent = [
        (sender, receiver)
        for sender, receiver, message in simulation.fleet.messages
        if isinstance(message, TrialMessage)
        and message.step is TrialStep.REQUESTED
        and message.fingerprint == fingerprint
    ]
    return sent[0][1]


def cut_off(simulation, *names):
    """Lose all messages between some instances and the others."""
    everyone = simulation.fleet.relays
    simulation.fleet.cut = {
        pair
        for name in names
        for other in everyone
        if other not in names
        for pair in ((name, other), (other, name))
    }


def get_standings(simulation, fingerprint):
    now_us = simulation.fleet.now_us
    relays = simulation.fleet.relays.values()
    return {relay.state.suspects.classify(fingerprint, now_us) for relay in relays}


@pytest.mark.parametrize("path", ["/look/x", "/search/x"])
@pytest.mark.parametrize("domains", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
def test_a_crashing_suspect_reaches_one_server_and_is_refused(path, domains, is_silent):
    simulation = create_suspects(domains, is_silent=is_silent, crash_delay_ms=(30, 120))
    requests = request_everywhere(simulation, path, CRASHING)
    simulation.advance(1_200)
    assert simulation.count_arrivals(CRASHING) == 1
    assert get_standings(simulation, CRASHING) == {SuspicionState.REFUSED}
    ran = [r for r in requests if simulation.replies[r].code is ResultCode.OUTCOME_UNKNOWN]
    assert len(ran) <= 1, "only the request that ran may have an unknown outcome"


@pytest.mark.parametrize("path", ["/look/x", "/search/x"])
@pytest.mark.parametrize("domains", [SMALL, LARGE], ids=["small", "large"])
def test_a_harmless_suspect_is_answered_everywhere_after_one_trial(path, domains):
    simulation = create_suspects(domains, HARMLESS)
    requests = request_everywhere(simulation, path, HARMLESS)
    simulation.advance(200)
    replies = [simulation.replies[request] for request in requests]
    assert [reply for reply in replies if isinstance(reply, Refusal)] == []
    first = simulation.arrivals[0]
    early = [a for a in simulation.arrivals if a.at_us < first.at_us + 10 * MS]
    assert len(early) == 1, "the others must wait for the first answer"


@pytest.mark.parametrize("path", ["/look/x", "/search/x"])
def test_a_silent_coordinator_is_passed_over(path):
    simulation = create_suspects(fingerprint=HARMLESS)
    simulation.fleet["n1"].request(path, 600, HARMLESS)
    simulation.fleet["n2"].request(path, 600, HARMLESS)
    simulation.advance(100)
    coordinator = find_coordinator(simulation, HARMLESS)
    cut_off(simulation, coordinator)
    for relay in simulation.fleet.relays.values():
        relay.state.suspects.merge([SuspectNote(HARMLESS, 2, 0)], relay.now_us)
    name = next(name for name in simulation.fleet.relays if name != coordinator)
    number = simulation.fleet[name].request(path, 600, HARMLESS)
    simulation.advance(REPLY_MS + 100)
    assert not isinstance(simulation.replies[name, number], Refusal)


def test_an_instance_that_hears_from_no_coordinator_refuses_with_a_time():
    simulation = create_suspects(LARGE, HARMLESS)
    for name in simulation.fleet.relays:
        if name != "n1":
            simulation.fleet.cut |= {(name, "n1")}
    number = simulation.fleet["n1"].request("/look/x", 1_000, HARMLESS)
    simulation.advance(2 * REPLY_MS + 50)
    reply = simulation.replies["n1", number]
    assert reply.code is ResultCode.OVERLOADED
    assert reply.retry_after_us >= REPLY_MS * MS
    assert simulation.count_arrivals(HARMLESS) == 0


def test_a_trial_whose_instance_is_lost_holds_the_request_for_some_seconds():
    simulation = create_suspects(LARGE, crash_delay_ms=(30, 120))
    simulation.fleet["n1"].request("/look/x", 600, CRASHING)
    simulation.advance(10)
    assert simulation.count_arrivals(CRASHING) == 1
    cut_off(simulation, "n1")
    simulation.advance(PERMIT_MS // 2)
    names = [name for name in simulation.fleet.relays if name != "n1"]
    waiting = [(n, simulation.fleet[n].request("/look/x", 600, CRASHING)) for n in names]
    simulation.advance(PERMIT_MS)
    assert all(isinstance(simulation.replies[request], Refusal) for request in waiting)
    held = [(n, simulation.fleet[n].request("/look/x", 600, CRASHING)) for n in names]
    simulation.advance(400)
    assert simulation.count_arrivals(CRASHING) == 1
    retry_us = [simulation.replies[request].retry_after_us for request in held]
    # The permit was lost 2.5 s ago.
    assert min(retry_us) >= (HOLD_MS - 2_600) * MS


def test_another_crash_excuses_a_suspect_once():
    simulation = create_suspects(is_silent=False, crash_delay_ms=(30, 30))
    spare = [server for server in simulation.running.values() if server.service == "s0"]
    for count, standing in ((1, SuspicionState.SUSPECT), (2, SuspicionState.REFUSED)):
        simulation.fleet["n1"].request("/look/x", 600, CRASHING)
        relay = simulation.fleet["n1"]
        relay.state.suspects.record_crash(spare[0].address, [5_000 + count], relay.now_us)
        simulation.advance(500)
        assert simulation.count_arrivals(CRASHING) == count
        assert standing in get_standings(simulation, CRASHING)
        request = ("n1", relay.request("/look/x", 600, CRASHING))
        simulation.advance(500)
        assert simulation.count_arrivals(CRASHING) == count, "the request must be held"
        assert isinstance(simulation.replies[request], Refusal)
        simulation.advance(HOLD_MS)


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
def test_a_query_that_crashes_one_shard_spares_its_second_server(is_silent):
    simulation = create_suspects(
        is_silent=is_silent, crash_delay_ms=(30, 120), crashing_services=[SHARDS[7]]
    )
    request_everywhere(simulation, "/search/x", CRASHING)
    simulation.advance(2_000)
    assert len(simulation.crash_times_us) == 1


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
def test_a_split_fleet_runs_one_trial_in_each_part(is_silent):
    simulation = create_suspects(LARGE, is_silent=is_silent, crash_delay_ms=(30, 120))
    cut_off(simulation, *list(simulation.fleet.relays)[:6])
    for _ in range(8):
        request_everywhere(simulation, "/look/x", CRASHING)
        simulation.advance(1_000)
    assert simulation.count_arrivals(CRASHING) <= 2


@pytest.mark.parametrize("path", ["/look/x", "/search/x"])
def test_an_instance_that_restarts_refuses_at_once_what_the_others_refuse(path):
    simulation = create_suspects(crash_delay_ms=(30, 120))
    simulation.fleet["n2"].request(path, 600, CRASHING)
    simulation.advance(4_000)
    arrivals = simulation.count_arrivals(CRASHING)
    relay = simulation.restart("n3")
    early = ("n3", relay.request(path, 600, CRASHING))
    other = ("n3", relay.request(path, 600, HARMLESS))
    simulation.advance(700)
    assert simulation.count_arrivals(CRASHING) == arrivals
    assert simulation.replies[early].code is ResultCode.REQUEST_REFUSED
    assert not isinstance(simulation.replies[other], Refusal)


def test_an_instance_that_restarts_without_others_serves_soon():
    simulation = create_simulation(SMALL)
    relay = simulation.restart("n3")
    cut_off(simulation, "n3")
    request = ("n3", relay.request("/look/x", 900, HARMLESS))
    simulation.advance(200)
    assert not isinstance(simulation.replies[request], Refusal)


def test_a_trial_outlives_the_deadline_of_its_caller():
    simulation = create_suspects(is_silent=True, crash_delay_ms=(30, 120))
    simulation.fleet["n1"].request("/look/x", 40, CRASHING)
    simulation.advance(400)
    assert simulation.count_arrivals(CRASHING) == 1
    assert get_standings(simulation, CRASHING) == {SuspicionState.REFUSED}


def test_late_evidence_of_an_earlier_crash_does_not_fail_a_trial():
    simulation = create_suspects(fingerprint=HARMLESS)
    relay = simulation.fleet["n1"]
    address = next(iter(simulation.running))
    old = UnansweredSend(relay.now_us - 1_000 * MS, relay.now_us - 1_500 * MS, False, False)
    relay.state.unanswered[address] = {HARMLESS: old}
    first = ("n1", relay.request("/search/x", 600, HARMLESS))
    simulation.advance(5)
    record_crash(
        relay.state, address, "restarted", RESTART_WINDOW_US, relay.now_us, relay.effects
    )
    simulation.advance(300)
    later = [
        (name, r.request("/look/x", 600, HARMLESS))
        for name, r in simulation.fleet.relays.items()
    ]
    simulation.advance(300)
    replies = [simulation.replies[request] for request in (first, *later)]
    assert [reply for reply in replies if isinstance(reply, Refusal)] == []
