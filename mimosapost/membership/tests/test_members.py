"""Members from a lagging instance list and from peer messages."""

from dataclasses import replace
from random import Random

from mimosapost.membership.members import (
    MAX_REPLACEMENT_OVERLAP_US,
    MEMBER_RETENTION_US,
    MemberTable,
)
from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import Gossip

OWN = InstanceIdentity("own", 1, 0, "a", "r", "127.0.0.1:1")
PEER = InstanceIdentity("peer", 7, 1, "a", "r", "127.0.0.1:2")
LISTED = InstanceEntry("peer", "127.0.0.1:2", False)


def list_names(table):
    return [member.name for member in table.choose_targets(Random(1), 100)]


def test_unlisted_instance_is_kept_for_a_limited_time():
    # The list lags: it does not show a new instance yet, which must stay a member. An instance
    # that never returns to the list must not stay a member forever.
    table = MemberTable(OWN)
    table.record_instance_list([InstanceEntry("old", "127.0.0.1:9", False)], 0)
    table.record_hello(PEER, 10)
    table.record_instance_list([InstanceEntry("own", "127.0.0.1:1", False)], 20)
    assert list_names(table) == ["peer"]
    table.record_instance_list([], 11 + MEMBER_RETENTION_US)
    assert list_names(table) == []


def test_leaving_flag_is_kept_for_its_incarnation():
    # Neither a delayed message nor an older list may revoke that an instance is leaving.
    table = MemberTable(OWN)
    staying = Gossip(PEER, False, (), (), False)
    table.record_gossip(replace(staying, leaving=True), 1)
    table.record_gossip(staying, 2)
    table.record_instance_list([LISTED], 3)
    assert table.find_incarnation("peer", 7).leaving
    table.record_hello(replace(PEER, incarnation=8), 4)
    assert not table.find_incarnation("peer", 8).leaving
    # The list lags, so its leaving flag refers to the old incarnation.
    table.record_instance_list([replace(LISTED, leaving=True)], 5)
    assert not table.find_incarnation("peer", 8).leaving


def test_leaving_flag_of_the_list_is_kept():
    table = MemberTable(OWN)
    table.record_hello(PEER, 1)
    table.record_instance_list([replace(LISTED, leaving=True)], 2)
    table.record_instance_list([LISTED], 3)
    assert table.find_incarnation("peer", 7).leaving


def test_find_returns_only_the_named_incarnation():
    # A ticket that an ended incarnation issued must not be forwarded to its replacement, which
    # does not know it.
    table = MemberTable(OWN)
    table.record_hello(PEER, 1)
    assert table.find_incarnation("peer", 8) is None
    assert table.find_incarnation("peer", 7).identity == PEER


def test_seat_is_found_at_the_replacement():
    # Lease heartbeats must not be sent to the ended holder of a seat any more.
    table = MemberTable(OWN)
    table.record_hello(PEER, 1)
    replacement = replace(PEER, name="peer-2", incarnation=9)
    assert table.record_hello(replacement, 100) is None
    assert table.find_by_seat(1).name == "peer-2"
    assert table.find_by_seat(0) is None
    assert table.record_hello(replacement, 100 + 2 * MAX_REPLACEMENT_OVERLAP_US) is None


def test_duplicate_seat_is_reported_once():
    # Two live holders of one seat both use its share of each limit, so they must be detected.
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


def test_duplicate_of_the_own_seat_is_reported():
    table = MemberTable(OWN)
    other_holder = replace(PEER, seat=0)
    assert table.record_hello(other_holder, 0) is None
    assert table.record_hello(other_holder, 2 * MAX_REPLACEMENT_OVERLAP_US).seat == 0


def test_targets_are_distinct_and_prefer_staying_members():
    table = MemberTable(OWN)
    table.record_instance_list(
        [InstanceEntry(f"m{i}", f"127.0.0.1:{i + 10}", i < 3) for i in range(6)], 0
    )
    chosen = table.choose_targets(Random(3), 3)
    assert sorted(member.name for member in chosen) == ["m3", "m4", "m5"]
    assert len({member.name for member in table.choose_targets(Random(3), 9)}) == 6


def test_address_of_a_silent_member_is_taken_from_the_list():
    # A replacement may have the name but not the address of the old instance. Gossip must not
    # be sent to the old address forever.
    table = MemberTable(OWN)
    table.record_hello(PEER, 0)
    table.record_instance_list([replace(LISTED, peer_address="127.0.0.1:3")], 1)
    assert table.choose_targets(Random(1), 1)[0].peer_address == "127.0.0.1:2"
    table.record_instance_list(
        [replace(LISTED, peer_address="127.0.0.1:3")], MEMBER_RETENTION_US + 2
    )
    assert table.choose_targets(Random(1), 1)[0].peer_address == "127.0.0.1:3"
