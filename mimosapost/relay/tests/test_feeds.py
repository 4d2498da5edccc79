"""Checks feeds: who reads the source for whom, and what reaches the followers.

Load pattern: dozens of instances of a region watch the same entries, and the platform charges
for every call. A reader that is lost, silent or stopping must not keep its followers from
reading the source themselves.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from mimosapost.membership.members import Member
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import PeerMessageArrived, StopRequested
from mimosapost.model.identities import NO_SEAT, InstanceIdentity
from mimosapost.model.peer_messages import FeedRequest, FeedUpdate, Hello, SourceEntry
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import SourceRead
from mimosapost.relay.feed_choices import choose_reader
from mimosapost.relay.source_entries import pack_entries, unpack_entries
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import MS, create_route, create_servers

ENTRY = SourceEntry("servers/i-1", 11, b"{}")


def create_member(number, domain="a1", leaving=False):
    region = {"a1": "north", "a2": "north", "b1": "south"}[domain]
    address = f"10.0.{number // 250}.{number % 250}:7380"
    identity = InstanceIdentity(f"n{number}", 1, NO_SEAT, domain, region, address)
    return Member(identity.name, address, identity, leaving)


def choose_all(members, blocked=()):
    """Return the name of the reader of each instance, or ``None`` where it reads itself."""
    chosen = {}
    for own in members:
        others = [member for member in members if member is not own]
        reader = choose_reader(own.identity, others, blocked)
        chosen[own.name] = reader.name if reader is not None else None
    return chosen


@pytest.mark.parametrize(
    ("instances", "readers"),
    [
        pytest.param(1, 1, id="alone"),
        pytest.param(3, 3, id="too few to follow"),
        pytest.param(4, 1, id="fewest with a reader"),
        pytest.param(26, 1, id="a region of 78 instances"),
        pytest.param(100, 4, id="a region of 300 instances"),
        pytest.param(230, 8, id="a region of 690 instances"),
    ],
)
def test_few_instances_read_the_source_and_each_has_few_followers(instances, readers):
    chosen = choose_all([create_member(n) for n in range(instances)])
    reading = [name for name, reader in chosen.items() if reader is None]
    assert len(reading) == readers
    followers = [reader for reader in chosen.values() if reader is not None]
    assert set(followers) <= set(reading)
    # A hash spreads the followers; no reader has more than twice its share of them.
    assert all(followers.count(name) < 64 for name in reading)


def test_instances_with_different_views_never_follow_in_a_circle():
    members = [create_member(n) for n in range(40)]
    chosen = {}
    for index, own in enumerate(members):
        # Each knows another half of the fleet.
        known = [m for n, m in enumerate(members) if m is not own and (n * 7 + index) % 2]
        reader = choose_reader(own.identity, known, ())
        chosen[own.name] = reader.name if reader is not None else None
    for name in chosen:
        seen = [name]
        while (name := chosen[name]) is not None:
            assert name not in seen
            seen.append(name)


def test_leaving_and_blocked_instances_and_other_regions_are_not_followed():
    members = [create_member(n) for n in range(6)]
    first = next(name for name, reader in choose_all(members).items() if reader is None)
    assert first not in choose_all(members, blocked={first}).values()
    leaving = [replace(m, leaving=m.name == first) for m in members]
    assert first not in choose_all(leaving).values()
    elsewhere = [create_member(n, "b1") for n in range(10, 20)]
    chosen = choose_all([*members, *elsewhere])
    assert {chosen[m.name] for m in members} == {None, first}


def create_fleet(instances=6):
    """Return a fleet whose instances have read the source at revision 10 and met each other."""
    servers = [s for n in range(4) for s in create_servers(f"s{n}")]
    fleet = Fleet(["a1"] * instances, [create_route()], servers, delay_ms=1.0)
    for relay in fleet.relays.values():
        relay.apply_event(SourceRead(fleet.now_us, 0, 10, (), fleet.now_us))
    for _ in range(8):
        advance_and_read(fleet)
    clear(fleet)
    return fleet


def advance_and_read(fleet, milliseconds=1_000):
    """Advance the clock; then the instances without a reader read the source."""
    fleet.advance(milliseconds)
    for relay in fleet.relays.values():
        if relay.state.feed.reader is None:
            relay.apply_event(SourceRead(fleet.now_us, 10, 10, (), fleet.now_us))
    fleet.advance(5)


def clear(fleet):
    fleet.messages.clear()
    for relay in fleet.relays.values():
        relay.effects.clear()


def find_reader(fleet):
    readers = {name for name, relay in fleet.relays.items() if relay.state.feed.reader is None}
    assert len(readers) == 1
    return readers.pop()


def read_source(fleet, name, after=10, as_of=11, entries=(ENTRY,), **changes):
    """Report changes that an instance read from the source, and deliver its updates."""
    now_us = fleet.now_us
    fleet[name].apply_event(SourceRead(now_us, after, as_of, entries, now_us, **changes))
    fleet.advance(2)


def list_applied(relay):
    return [effect for effect in relay.effects if isinstance(effect, ApplyFeed)]


def test_changes_reach_all_followers_with_their_age():
    fleet = create_fleet()
    reader = find_reader(fleet)
    started_us = fleet.now_us
    now_us = fleet.now_us
    fleet[reader].apply_event(SourceRead(now_us, 10, 11, (ENTRY,), now_us - 300 * MS))
    fleet.advance(2)
    for name, relay in fleet.relays.items():
        if name == reader:
            assert list_applied(relay) == []
            continue
        (effect,) = list_applied(relay)
        assert (effect.after, effect.as_of, effect.entries) == (10, 11, (ENTRY,))
        # The way of the request, 1 ms here, counts as age; the way of the update is known.
        assert effect.confirmed_us == started_us - 301 * MS
    assert fleet.count_messages(FeedUpdate) == len(fleet.relays) - 1


@pytest.mark.parametrize(
    ("delay_ms", "paused_ms"),
    [
        pytest.param(1, 0, id="usual"),
        pytest.param(900, 0, id="slow link"),
        pytest.param(1, 2_500, id="reader paused, its clock stood still"),
        pytest.param(900, 2_500, id="both"),
    ],
)
def test_no_update_is_taken_for_newer_than_it_is(delay_ms, paused_ms):
    """Followers believed updates that had waited for seconds on a link with 20 Mbit/s."""
    fleet = create_fleet()
    reader = find_reader(fleet)
    follower = next(name for name in fleet.relays if name != reader)
    confirmed_us = fleet.now_us
    read = SourceRead(confirmed_us, 10, 11, (ENTRY,), confirmed_us)
    update = next(
        effect.message
        for effect in fleet[reader].apply_event(read)
        if isinstance(effect, SendPeer) and effect.peer == follower
    )
    # While the reader is paused, its clock does not advance, but that of the follower does.
    arrived_us = fleet.now_us + (delay_ms + paused_ms) * MS
    effects = fleet[follower].apply_event(PeerMessageArrived(arrived_us, reader, update))
    (effect,) = [effect for effect in effects if isinstance(effect, ApplyFeed)]
    assert effect.confirmed_us <= confirmed_us
    assert effect.confirmed_us >= confirmed_us - 10 * MS


def test_an_update_without_a_time_of_the_follower_keeps_the_stated_age():
    """An instance of an earlier release returns no time."""
    fleet = create_fleet()
    reader = find_reader(fleet)
    follower = next(name for name in fleet.relays if name != reader)
    update = FeedUpdate(10, 11, pack_entries((ENTRY,)), 300 * MS)
    event = PeerMessageArrived(fleet.now_us, reader, update)
    effects = fleet[follower].apply_event(event)
    (effect,) = [effect for effect in effects if isinstance(effect, ApplyFeed)]
    assert effect.confirmed_us == fleet.now_us - 300 * MS


def test_a_follower_passes_updates_on_to_those_that_know_no_better_reader():
    fleet = create_fleet()
    reader = find_reader(fleet)
    middle, last = [name for name in fleet.relays if name != reader][:2]
    request = PeerMessageArrived(fleet.now_us, last, FeedRequest(10))
    fleet[middle].apply_event(request)
    assert last in fleet[middle].state.feed.followers
    clear(fleet)
    effect = SourceRead(fleet.now_us, 10, 11, (ENTRY,), fleet.now_us - 700 * MS)
    sent = [e for e in fleet[middle].apply_event(effect) if isinstance(e, SendPeer)]
    assert [(e.peer, e.message.age_us) for e in sent] == [(last, 700 * MS)]


@pytest.mark.parametrize(
    ("revision", "after", "keys"),
    [
        pytest.param(13, 13, [], id="nothing missing"),
        pytest.param(12, 12, ["c"], id="one change missing"),
        pytest.param(10, 10, ["a", "b", "c"], id="all kept changes missing"),
        pytest.param(9, 13, [], id="more changes missing than are kept"),
        pytest.param(15, 13, [], id="ahead"),
    ],
)
def test_a_follower_that_is_behind_gets_the_changes_since_its_revision(revision, after, keys):
    """A follower that lost an update may be unable to read the source itself."""
    fleet = create_fleet()
    relay = fleet[find_reader(fleet)]
    relay.state.feed.reads.clear()
    for number, key in enumerate("abc", 11):
        entries = (SourceEntry(key, number, b"{}"),)
        event = SourceRead(fleet.now_us, number - 1, number, entries, fleet.now_us)
        relay.apply_event(event)
    follower = next(iter(relay.state.feed.followers))
    request = PeerMessageArrived(fleet.now_us, follower, FeedRequest(revision))
    sent = [e.message for e in relay.apply_event(request) if isinstance(e, SendPeer)]
    if revision >= 13:
        assert sent == []
        return
    (update,) = sent
    assert (update.after, update.as_of) == (after, 13)
    entries = unpack_entries(update.packed_entries, update.after, update.as_of)
    assert [entry.key for entry in entries] == keys


@pytest.mark.parametrize(
    ("after", "entries"),
    [
        pytest.param(0, (), id="first list"),
        pytest.param(
            10,
            (SourceEntry("op/config", 11, random.Random(1).randbytes(40_000)),),
            id="large entry",
        ),
        pytest.param(
            10,
            tuple(SourceEntry(f"k{n * 7**20}", 11, b"") for n in range(3_000)),
            id="many entries",
        ),
    ],
)
def test_changes_that_are_not_fed_leave_a_gap(after, entries):
    fleet = create_fleet()
    read_source(fleet, find_reader(fleet), after, 11, entries)
    updates = [message for _, _, message in fleet.messages if isinstance(message, FeedUpdate)]
    assert updates
    # A follower at revision 10 sees that it lacks a change, and reads the source.
    assert {(u.after, u.as_of, u.packed_entries) for u in updates} == {(11, 11, b"")}


def test_a_large_configuration_is_fed_compressed():
    fleet = create_fleet()
    reader = find_reader(fleet)
    entry = SourceEntry("op/config", 11, b'{"name":"r-1","service":"one"},' * 8_000)
    read_source(fleet, reader, entries=(entry,))
    name = next(name for name in fleet.relays if name != reader)
    assert list_applied(fleet[name])[0].entries == (entry,)


def test_the_servers_of_a_new_set_of_shards_are_fed_together():
    """Replay a change to other shards at a region of 33 instances, with 405 new servers."""
    entry = (
        b'{"service":"baye%dj","address":"10.2.%d.14:8546","zone":"flo-a","version":"v1",'
        b'"slots":2,"state":"ready","seq":1,"warmupLeftMs":0,"born":17709055%d}'
    )
    numbers = random.Random(1)
    fleet = create_fleet()
    reader = find_reader(fleet)
    entries = tuple(
        SourceEntry(
            f"servers/i-{numbers.getrandbits(40):x}", 11 + n, entry % (n // 3, n, n * n)
        )
        for n in range(405)
    )
    read_source(fleet, reader, 10, 415, entries)
    name = next(name for name in fleet.relays if name != reader)
    assert list_applied(fleet[name])[0].entries == entries


def test_a_malformed_update_is_refused_and_its_sender_asked_no_more():
    fleet = create_fleet()
    reader = find_reader(fleet)
    relay = next(relay for name, relay in fleet.relays.items() if name != reader)
    update = FeedUpdate(10, 11, b"malformed", 0)
    relay.apply_event(PeerMessageArrived(fleet.now_us, reader, update))
    assert list_applied(relay) == []
    fleet.advance(1_100)
    assert relay.state.feed.reader is None or relay.state.feed.reader.name != reader


def test_a_recovered_source_is_told_to_the_followers():
    fleet = create_fleet()
    reader = find_reader(fleet)
    read_source(fleet, reader, is_regained=True)
    relay = next(relay for name, relay in fleet.relays.items() if name != reader)
    assert list_applied(relay)[0].is_regained


def test_updates_are_applied_only_if_they_were_asked_for():
    fleet = create_fleet()
    reader = find_reader(fleet)
    name, other = [name for name in fleet.relays if name != reader][:2]
    update = FeedUpdate(10, 11, pack_entries([ENTRY]), 0)
    fleet[name].apply_event(PeerMessageArrived(fleet.now_us, other, update))
    fleet[reader].apply_event(PeerMessageArrived(fleet.now_us, name, update))
    assert list_applied(fleet[name]) == list_applied(fleet[reader]) == []


def test_a_new_follower_learns_the_revision_at_once():
    fleet = create_fleet()
    relay = fleet[find_reader(fleet)]
    confirmed_us = relay.state.feed.confirmed_us
    identity = create_member(9).identity
    relay.apply_event(PeerMessageArrived(fleet.now_us, "n9", Hello(1, identity)))
    request = PeerMessageArrived(fleet.now_us, "n9", FeedRequest(7))
    effects = relay.apply_event(request)
    sent = [effect.message for effect in effects if isinstance(effect, SendPeer)]
    assert sent == [FeedUpdate(10, 10, b"", fleet.now_us - confirmed_us)]
    request = PeerMessageArrived(fleet.now_us, "n9", FeedRequest(10))
    assert not [e for e in relay.apply_event(request) if isinstance(e, SendPeer)]


def lose_link(fleet, reader):
    for name in fleet.relays:
        if name != reader:
            fleet.lose(name, reader)


def silence(fleet, reader):
    fleet.cut |= {(reader, name) for name in fleet.relays}


def stop(fleet, reader):
    fleet[reader].apply_event(StopRequested(fleet.now_us))


@pytest.mark.parametrize(
    ("fault", "seconds"),
    [
        pytest.param(lose_link, 1, id="link lost"),
        pytest.param(silence, 8, id="silent or without the source"),
        pytest.param(stop, 1, id="stopping"),
    ],
)
def test_another_reader_is_chosen_for_one_that_fails(fault, seconds):
    fleet = create_fleet()
    reader = find_reader(fleet)
    fault(fleet, reader)
    for _ in range(seconds):
        advance_and_read(fleet, 1_100)
    others = [relay.state.feed for name, relay in fleet.relays.items() if name != reader]
    chosen = {feed.reader.name for feed in others if feed.reader is not None}
    assert len(chosen) == 1
    assert reader not in chosen
    assert sum(feed.reader is None for feed in others) == 1


def test_followers_that_ask_no_more_are_forgotten():
    fleet = create_fleet()
    reader = find_reader(fleet)
    gone = next(name for name in fleet.relays if name != reader)
    fleet.cut.add((gone, reader))
    for _ in range(5):
        advance_and_read(fleet)
    clear(fleet)
    read_source(fleet, reader)
    receivers = {receiver for _, receiver, m in fleet.messages if isinstance(m, FeedUpdate)}
    assert receivers == fleet.relays.keys() - {reader, gone}
