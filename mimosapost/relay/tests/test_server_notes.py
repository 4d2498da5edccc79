"""Checks notes on servers in trouble, which instances near the servers send to all others.

Load pattern: dozens of instances each send to a server about once a second. Many servers turn
slow or dark at once, and each instance alone needs two late queries until it avoids them.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import ServerNote, ServerNotes
from mimosapost.relay.events import ServerListed, SourceRead
from mimosapost.relay.server_selection import get_trouble_level
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import MS, create_servers, create_single_route

DARK = "one-0"
SOUND = "one-1"


def create_fleet(domains=("a1",) * 6, server_domains=("a1", "a1")):
    """Return a fleet whose instances know each other and follow a reader of their region."""
    servers = create_servers("one", server_domains)
    fleet = Fleet(list(domains), [create_single_route()], servers, delay_ms=1.0)
    for relay in fleet.relays.values():
        relay.apply_event(SourceRead(fleet.now_us, 0, 10, (), fleet.now_us))
    for _ in range(8):
        fleet.advance(1_000)
        for relay in fleet.relays.values():
            if relay.state.feed.reader is None:
                relay.apply_event(SourceRead(fleet.now_us, 10, 10, (), fleet.now_us))
    for relay in fleet.relays.values():
        relay.effects.clear()
    fleet.messages.clear()
    return fleet


def get_record(fleet, name, server_id=DARK):
    return fleet[name].state.servers[server_id]


def hang(fleet, name, server_id=DARK):
    """Let a server not answer an instance, and its hedge be answered by the other server."""
    relay = fleet[name]
    other = replace_busy(relay, server_id)
    number = relay.request("/look/x")
    first = relay.pop_sends()[0]
    assert first.server.server_id == server_id
    other.open_sends.clear()
    fleet.advance(120)
    (hedge,) = relay.pop_sends()
    relay.answer(hedge)
    assert relay.get_reply(number)
    fleet.advance(300)
    relay.fail(first, FailureKind.WITHDRAWN, RunState.UNKNOWN)


def replace_busy(relay, server_id):
    """Make the other servers look busy, so that the next send goes to the given one."""
    others = [r for r in relay.state.servers.values() if r.server.server_id != server_id]
    for record in others:
        record.open_sends = {-n: relay.now_us - 900 * MS for n in range(1, 4)}
    return others[0]


def choose(fleet, name):
    """Return the server that an instance would send a request to now."""
    relay = fleet[name]
    relay.request("/look/x")
    return relay.pop_sends()[0].server.server_id


@pytest.mark.parametrize("observer", ["reader", "follower"])
def test_one_late_request_is_enough_for_the_whole_fleet(observer):
    fleet = create_fleet()
    reader = next(name for name, r in fleet.relays.items() if r.state.feed.reader is None)
    followers = [name for name in fleet.relays if name != reader]
    name = reader if observer == "reader" else followers[0]
    hang(fleet, name)
    fleet.advance(250)
    for other in fleet.relays:
        assert get_record(fleet, other).is_hung(fleet.now_us)
        assert {choose(fleet, other) for _ in range(5)} == {SOUND}


def test_a_server_that_answers_again_is_told_too():
    fleet = create_fleet()
    hang(fleet, "n1")
    fleet.advance(250)
    relay = fleet["n1"]
    record = get_record(fleet, "n1")
    record.hung_until_us = 0
    replace_busy(relay, DARK)
    relay.request("/look/x")
    (send,) = relay.pop_sends()
    fleet.advance(5)
    relay.answer(send)
    fleet.advance(250)
    assert get_trouble_level(record, fleet.now_us) == 0
    assert not any(get_record(fleet, name).is_hung(fleet.now_us) for name in fleet.relays)


def test_notes_reach_other_regions_over_their_readers():
    domains = ("a1",) * 4 + ("b1",) * 4 + ("c1",) * 2
    fleet = create_fleet(domains)
    hang(fleet, "n1")
    fleet.advance(300)
    assert all(get_record(fleet, name).is_hung(fleet.now_us) for name in fleet.relays)
    senders = [sender for sender, _, m in fleet.messages if isinstance(m, ServerNotes)]
    # One message to each follower, reader of a region and instance without a reader.
    assert len(senders) <= 2 * len(domains)
    assert max(senders.count(name) for name in fleet.relays) <= 6


def test_servers_of_other_regions_are_not_noted():
    """A cut link to a region makes all servers there look dark, although they are not."""
    fleet = create_fleet(server_domains=("b1", "b1"))
    hang(fleet, "n1")
    fleet.advance(500)
    assert fleet.count_messages(ServerNotes) == 0
    assert not get_record(fleet, "n2").is_hung(fleet.now_us)


def test_a_single_slow_answer_is_not_noted():
    fleet = create_fleet()
    relay = fleet["n1"]
    relay.request("/look/x")
    (send,) = relay.pop_sends()[:1]
    fleet.advance(100)
    relay.answer(send)
    fleet.advance(500)
    assert fleet.count_messages(ServerNotes) == 0


def apply_note(fleet, name, **changes):
    started_ms = get_record(fleet, name).server.process_started_ms
    fields = {
        "server_id": DARK,
        "process_started_ms": started_ms,
        "latency_percent": 900,
        "failure_percent": 0,
        "hung_ms": 1_000,
        "age_ms": 10,
    }
    note = ServerNote(**(fields | changes))
    message = ServerNotes(2, (note,))
    fleet[name].apply_event(PeerMessageArrived(fleet.now_us, "n2", message))
    return get_record(fleet, name).is_hung(fleet.now_us)


def test_a_note_on_another_process_or_an_unknown_server_is_ignored():
    fleet = create_fleet()
    assert not apply_note(fleet, "n1", process_started_ms=7)
    assert not apply_note(fleet, "n1", server_id="gone")
    restarted = replace(get_record(fleet, "n1").server, process_started_ms=9)
    assert apply_note(fleet, "n1")
    fleet["n1"].apply_event(ServerListed(fleet.now_us, restarted))
    assert not get_record(fleet, "n1").is_hung(fleet.now_us)


def test_newer_own_observations_are_kept():
    fleet = create_fleet()
    relay = fleet["n1"]
    replace_busy(relay, DARK)
    relay.request("/look/x")
    (send,) = relay.pop_sends()
    fleet.advance(5)
    relay.answer(send)
    fleet.advance(50)
    assert not apply_note(fleet, "n1", age_ms=100)
    assert apply_note(fleet, "n1", age_ms=10)


def test_a_final_note_is_not_passed_on():
    fleet = create_fleet()
    reader = next(name for name, r in fleet.relays.items() if r.state.feed.reader is None)
    assert apply_note(fleet, reader)
    fleet.advance(500)
    sent = [e for e in fleet[reader].effects if isinstance(e, SendPeer)]
    assert not [e for e in sent if isinstance(e.message, ServerNotes)]
    assert fleet.count_messages(ServerNotes) == 0


def test_a_server_that_stays_dark_is_noted_again():
    fleet = create_fleet()
    hang(fleet, "n1")
    fleet.advance(1_200)
    hang(fleet, "n1")
    fleet.advance(1_000)
    assert get_record(fleet, "n2").is_hung(fleet.now_us)
