"""Convergence of the configuration by gossip, under faults from seeded random numbers."""

import heapq
from random import Random

import pytest
from returns.result import Failure, Success

from mimosapost.membership.codec import decode_message, encode_message
from mimosapost.membership.config_store import ConfigStore, compute_digest
from mimosapost.membership.gossip_choices import choose_announced
from mimosapost.membership.gossip_exchange import GossipExchange
from mimosapost.membership.members import MemberTable
from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import Gossip, SubtreeRequest, TreeVersion
from mimosapost.model.published_settings import TeamTree

ROUND_US = 500_000
TEAMS = [f"team{index}" for index in range(5)]


def check(team, text):
    if text.startswith(b"bad"):
        return Failure(("fault",))
    return Success(TeamTree(team=team, version=1))


class Node:
    """One instance: its member table, its accepted subtrees and its gossip."""

    def __init__(self, seat, incarnation, entries, rng):
        self.identity = InstanceIdentity(
            f"m{seat}", incarnation, seat, "a", "r", f"127.0.0.1:{1000 + seat}"
        )
        self.members = MemberTable(self.identity)
        self.members.record_instance_list(entries, 0)
        self.configs = ConfigStore(check)
        self.exchange = GossipExchange(self.identity, self.members, self.configs, rng)
        self.seen = {}

    def check_monotonic(self):
        for entry in self.configs.list_versions():
            rank = (entry.version, entry.digest)
            assert rank >= self.seen.get(entry.team, rank)
            self.seen[entry.team] = rank


class Fleet:
    """Nodes on a simulated clock, with message delay, loss, duplication and partition."""

    def __init__(self, size, seed):
        self.rng = Random(seed)
        self.entries = [
            InstanceEntry(f"m{seat}", f"127.0.0.1:{1000 + seat}", False) for seat in range(size)
        ]
        self.nodes = {
            f"m{seat}": Node(seat, seat + 1, self.entries, self.rng) for seat in range(size)
        }
        self.now_us = 0
        self.messages_in_transit = []
        self.count = 0
        self.faulty = True
        self.partitioned = False

    def send(self, source, sends):
        for send in sends:
            side = self.nodes[source].identity.seat % 2
            crosses = side != self.nodes[send.peer].identity.seat % 2
            if (self.partitioned and crosses) or (self.faulty and self.rng.random() < 0.2):
                continue
            for _ in range(2 if self.faulty and self.rng.random() < 0.1 else 1):
                delay = self.rng.randrange(1_000, 2_000_000 if self.faulty else 20_000)
                self.count += 1
                data = encode_message(send.message)
                item = (self.now_us + delay, self.count, source, send.peer, data)
                heapq.heappush(self.messages_in_transit, item)

    def run_round(self):
        for name, node in self.nodes.items():
            self.send(name, node.exchange.start_round(self.now_us))
        end_us = self.now_us + ROUND_US
        while self.messages_in_transit and self.messages_in_transit[0][0] <= end_us:
            self.now_us, _, source, target, data = heapq.heappop(self.messages_in_transit)
            node = self.nodes[target]
            outcome = node.exchange.handle(source, decode_message(data), self.now_us)
            node.check_monotonic()
            self.send(target, outcome.sends)
        self.now_us = end_us

    def publish(self, team, version, text):
        name = self.rng.choice(sorted(self.nodes))
        outcome = self.nodes[name].exchange.offer(team, version, text, self.now_us)
        self.send(name, outcome.sends)

    def replace(self):
        seat = self.rng.randrange(len(self.nodes))
        incarnation = 10_000 + self.count
        self.nodes[f"m{seat}"] = Node(seat, incarnation, self.entries, self.rng)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("size", [2, 4, 40])
def test_fleet_converges_and_never_reverts(size, seed):
    # After messages are delayed, lost and duplicated, the network is partitioned and instances
    # are replaced, all instances must hold the newest valid subtrees, and none may ever have
    # reverted to an older one or accepted an invalid one.
    fleet = Fleet(size, seed)
    newest = {}
    for number in range(30):
        fleet.partitioned = 8 <= number < 16
        team = fleet.rng.choice(TEAMS)
        # Versions are published out of order or twice with different texts; some are invalid.
        version = max(1, number + fleet.rng.randrange(-4, 2))
        text = fleet.rng.choice([b"bad%d", b"good%d", b"also%d"]) % number
        fleet.publish(team, version, text)
        if not text.startswith(b"bad"):
            rank = (version, compute_digest(text), text)
            newest[team] = max(newest.get(team, rank), rank)
        if number % 7 == 3:
            holders = [node.configs.list_versions() for node in fleet.nodes.values()]
            # A replaced instance may hold the only copy of a version. An instance is therefore
            # replaced only while all of them hold the same versions.
            if all(versions == holders[0] for versions in holders):
                fleet.replace()
        fleet.run_round()
    fleet.faulty = fleet.partitioned = False
    for number in range(30):
        if number == 15:
            fleet.replace()
        fleet.run_round()
    expected = tuple(TreeVersion(team, *newest[team][:2]) for team in sorted(newest))
    for node in fleet.nodes.values():
        assert node.configs.list_versions() == expected
        assert all(node.configs.get_text(team) == newest[team][2] for team in newest)


def test_text_announced_by_many_peers_is_requested_once():
    # If each announcement led to a request, an instance would receive a text of 1 MB several
    # times within one round.
    fleet = Fleet(4, 1)
    node = fleet.nodes["m0"]
    announcement = (TreeVersion("desk", 3, 9),)
    requests = []
    for seat in (1, 2, 3):
        sender = fleet.nodes[f"m{seat}"].identity
        outcome = node.exchange.handle(
            sender.name, Gossip(sender, False, announcement, (), False), 1_000
        )
        requests += [s for s in outcome.sends if isinstance(s.message, SubtreeRequest)]
    assert [s.peer for s in requests] == ["m1"]
    # The request may have been lost, so it is made again after a timeout.
    node.exchange.start_round(1_200_000)
    outcome = node.exchange.handle(
        "m2", Gossip(sender, False, announcement, (), False), 1_200_001
    )
    assert outcome.sends


def test_refused_text_is_not_requested_again():
    # Otherwise an invalid text of 1 MB would be sent over every link in every round.
    fleet = Fleet(2, 1)
    node = fleet.nodes["m0"]
    sender = fleet.nodes["m1"].identity
    node.exchange.offer("desk", 3, b"bad", 0)
    announcement = (TreeVersion("desk", 3, compute_digest(b"bad")),)
    assert not node.exchange.handle(
        "m1", Gossip(sender, False, announcement, (), False), 1
    ).sends
    assert choose_announced(node.configs.list_versions(), (), 1) == ()


def test_request_of_a_peer_known_from_the_list_only():
    # A request may be the first message of a peer. The address of the peer is then known from
    # the instance list only, and the text must be sent nevertheless.
    fleet = Fleet(2, 1)
    fleet.nodes["m0"].exchange.offer("desk", 3, b"good", 0)
    outcome = fleet.nodes["m0"].exchange.handle("m1", SubtreeRequest(("desk",)), 1)
    assert [(s.peer, s.message.text) for s in outcome.sends] == [("m1", b"good")]


def test_new_instance_gets_all_subtrees_before_its_first_round():
    # A gossip message announces only a part of the versions, so a new instance that waited for
    # gossip would start to serve without some subtrees.
    fleet = Fleet(4, 1)
    fleet.faulty = False
    teams = [f"team-{index:02}" for index in range(30)]
    for name in ("m0", "m1", "m2"):
        for team in teams:
            fleet.nodes[name].configs.offer(team, 5, b"good", 0)
    node = fleet.nodes["m3"]
    fleet.send("m3", node.exchange.request_all_subtrees())
    while fleet.messages_in_transit:
        fleet.now_us, _, source, target, data = heapq.heappop(fleet.messages_in_transit)
        receiver = fleet.nodes[target].exchange
        fleet.send(target, receiver.handle(source, decode_message(data), fleet.now_us).sends)
    assert [entry.team for entry in node.configs.list_versions()] == teams
