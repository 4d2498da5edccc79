"""Contract of the member table."""

from dataclasses import replace
from random import Random

from mimosapost.membership.members import (
    MAX_REPLACEMENT_OVERLAP_US,
    MEMBER_RETENTION_US,
    MemberTable,
)
from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.messages import Gossip

OWN = InstanceIdentity("own", 1, 0, "a", "r", "127.0.0.1:1")
PEER = InstanceIdentity("peer", 7, 1, "a", "r", "127.0.0.1:2")
LISTED = InstanceEntry("peer", "127.0.0.1:2", False)


def names(table):
    return [member.name for member in table.choose_targets(Random(1), 100)]


def test_lagging_list():
    # Guards against dropping a new instance that the list does not show yet, and against
    # keeping a dead one without end.
    table = MemberTable(OWN)
    table.record_list([InstanceEntry("old", "127.0.0.1:9", False)], 0)
    table.record_hello(PEER, 10)
    table.record_list([InstanceEntry("own", "127.0.0.1:1", False)], 20)
    assert names(table) == ["peer"]
    table.record_list([], 11 + MEMBER_RETENTION_US)
    assert names(table) == []


def test_leaving_mark_is_kept_for_its_incarnation():
    # Guards against a late message, or a list that went back, undoing the mark.
    table = MemberTable(OWN)
    staying = Gossip(PEER, False, (), (), False)
    table.record_gossip(replace(staying, leaving=True), 1)
    table.record_gossip(staying, 2)
    table.record_list([LISTED], 3)
    assert table.find("peer", 7).leaving
    table.record_hello(replace(PEER, incarnation=8), 4)
    assert not table.find("peer", 8).leaving
    # The list's late mark means the old incarnation.
    table.record_list([replace(LISTED, leaving=True)], 5)
    assert not table.find("peer", 8).leaving


def test_mark_of_the_list_is_kept():
    table = MemberTable(OWN)
    table.record_hello(PEER, 1)
    table.record_list([replace(LISTED, leaving=True)], 2)
    table.record_list([LISTED], 3)
    assert table.find("peer", 7).leaving


def test_find_takes_only_the_named_incarnation():
    # Guards against a ticket of a dead incarnation reaching its replacement.
    table = MemberTable(OWN)
    table.record_hello(PEER, 1)
    assert table.find("peer", 8) is None
    assert table.find("peer", 7).identity == PEER


def test_seat_of_a_replacement():
    # Guards against lease heartbeats that go on to the dead holder of a seat.
    table = MemberTable(OWN)
    table.record_hello(PEER, 1)
    replacement = replace(PEER, name="peer-2", incarnation=9)
    assert table.record_hello(replacement, 100) is None
    assert table.find_seat(1).name == "peer-2"
    assert table.find_seat(0) is None
    assert table.record_hello(replacement, 100 + 2 * MAX_REPLACEMENT_OVERLAP_US) is None


def test_duplicate_seat_is_reported_once():
    # Guards against two live holders of one seat going unnoticed.
    table = MemberTable(OWN)
    other = replace(PEER, name="other", incarnation=9)
    table.record_hello(PEER, 0)
    table.record_hello(other, 1)
    late = 2 * MAX_REPLACEMENT_OVERLAP_US
    table.record_hello(PEER, late)
    found = table.record_hello(other, late)
    assert (found.seat, found.instances) == (1, (("other", 9), ("peer", 7)))
    assert table.record_hello(other, late + 1) is None
    assert table.describe(late)["duplicate_seats"] == [
        {"seat": 1, "instances": ["other/9", "peer/7"]}
    ]


def test_own_seat_taken_by_another():
    table = MemberTable(OWN)
    twin = replace(PEER, seat=0)
    assert table.record_hello(twin, 0) is None
    assert table.record_hello(twin, 2 * MAX_REPLACEMENT_OVERLAP_US).seat == 0


def test_targets_are_distinct_and_prefer_staying_members():
    table = MemberTable(OWN)
    table.record_list(
        [InstanceEntry(f"m{i}", f"127.0.0.1:{i + 10}", i < 3) for i in range(6)], 0
    )
    chosen = table.choose_targets(Random(3), 3)
    assert sorted(member.name for member in chosen) == ["m3", "m4", "m5"]
    assert len({member.name for member in table.choose_targets(Random(3), 9)}) == 6


def test_moved_member():
    # Guards against gossip that goes on to the address of a replaced instance.
    table = MemberTable(OWN)
    table.record_hello(PEER, 0)
    table.record_list([replace(LISTED, peer_address="127.0.0.1:3")], 1)
    assert table.choose_targets(Random(1), 1)[0].peer_address == "127.0.0.1:2"
    table.record_list([replace(LISTED, peer_address="127.0.0.1:3")], MEMBER_RETENTION_US + 2)
    assert table.choose_targets(Random(1), 1)[0].peer_address == "127.0.0.1:3"
