"""Convergence of gossiping instances under seeded faults."""

import heapq
from random import Random

import pytest
from returns.result import Failure, Success

from mimosapost.membership.codec import decode_message, encode_message
from mimosapost.membership.configs import ConfigBook, compute_digest
from mimosapost.membership.exchange import Exchange
from mimosapost.membership.gossip import choose_announced
from mimosapost.membership.members import MemberTable
from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.messages import Gossip, SubtreeRequest, TreeVersion
from mimosapost.model.published import TeamTree

ROUND_US = 500_000
TEAMS = [f"team{index}" for index in range(5)]


def check(team, text):
    if text.startswith(b"bad"):
        return Failure(("fault",))
    return Success(TeamTree(team=team, version=1))


class Node:
    def __init__(self, seat, incarnation, entries, rng):
        self.identity = InstanceIdentity(
            f"m{seat}", incarnation, seat, "a", "r", f"127.0.0.1:{1000 + seat}"
        )
        self.members = MemberTable(self.identity)
        self.members.record_list(entries, 0)
        self.configs = ConfigBook(check)
        self.exchange = Exchange(self.identity, self.members, self.configs, rng)
        self.seen = {}

    def check_monotonic(self):
        for entry in self.configs.versions():
            rank = (entry.version, entry.digest)
            assert rank >= self.seen.get(entry.team, rank)
            self.seen[entry.team] = rank


class Fleet:
    """Runs nodes on a simulated clock with delay, loss, duplication and partition."""

    def __init__(self, size, seed):
        self.rng = Random(seed)
        self.entries = [
            InstanceEntry(f"m{seat}", f"127.0.0.1:{1000 + seat}", False) for seat in range(size)
        ]
        self.nodes = {
            f"m{seat}": Node(seat, seat + 1, self.entries, self.rng) for seat in range(size)
        }
        self.now_us = 0
        self.wire = []
        self.count = 0
        self.faulty = True
        self.split = False

    def send(self, source, sends):
        for send in sends:
            side = self.nodes[source].identity.seat % 2
            crosses = side != self.nodes[send.peer].identity.seat % 2
            if (self.split and crosses) or (self.faulty and self.rng.random() < 0.2):
                continue
            for _ in range(2 if self.faulty and self.rng.random() < 0.1 else 1):
                delay = self.rng.randrange(1_000, 2_000_000 if self.faulty else 20_000)
                self.count += 1
                data = encode_message(send.message)
                item = (self.now_us + delay, self.count, source, send.peer, data)
                heapq.heappush(self.wire, item)

    def run_round(self):
        for name, node in self.nodes.items():
            self.send(name, node.exchange.start_round(self.now_us))
        end_us = self.now_us + ROUND_US
        while self.wire and self.wire[0][0] <= end_us:
            self.now_us, _, source, target, data = heapq.heappop(self.wire)
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
    # Guards against a fleet that settles on different configurations, reverts one, or
    # accepts a faulty one, after delay, loss, duplication, partition and replacement.
    fleet = Fleet(size, seed)
    newest = {}
    for number in range(30):
        fleet.split = 8 <= number < 16
        team = fleet.rng.choice(TEAMS)
        # Versions arrive out of order, twice with different texts, and some are faulty.
        version = max(1, number + fleet.rng.randrange(-4, 2))
        text = fleet.rng.choice([b"bad%d", b"good%d", b"also%d"]) % number
        fleet.publish(team, version, text)
        if not text.startswith(b"bad"):
            rank = (version, compute_digest(text), text)
            newest[team] = max(newest.get(team, rank), rank)
        if number % 7 == 3:
            holders = [node.configs.versions() for node in fleet.nodes.values()]
            # A replacement may lose the only copy, so only a spread version is expected.
            if all(versions == holders[0] for versions in holders):
                fleet.replace()
        fleet.run_round()
    fleet.faulty = fleet.split = False
    for number in range(30):
        if number == 15:
            fleet.replace()
        fleet.run_round()
    wanted = tuple(TreeVersion(team, *newest[team][:2]) for team in sorted(newest))
    for node in fleet.nodes.values():
        assert node.configs.versions() == wanted
        assert all(node.configs.get_text(team) == newest[team][2] for team in newest)


def test_one_request_for_a_text_that_many_announce():
    # Guards against 1 MB texts sent several times to one instance within a round.
    fleet = Fleet(4, 1)
    node = fleet.nodes["m0"]
    news = (TreeVersion("desk", 3, 9),)
    requests = []
    for seat in (1, 2, 3):
        sender = fleet.nodes[f"m{seat}"].identity
        outcome = node.exchange.handle(
            sender.name, Gossip(sender, False, news, (), False), 1_000
        )
        requests += [s for s in outcome.sends if isinstance(s.message, SubtreeRequest)]
    assert [s.peer for s in requests] == ["m1"]
    # A lost request is made again after a while.
    node.exchange.start_round(1_200_000)
    outcome = node.exchange.handle("m2", Gossip(sender, False, news, (), False), 1_200_001)
    assert outcome.sends


def test_refused_text_is_not_requested_again():
    # Guards against a faulty 1 MB text that crosses every link at every round.
    fleet = Fleet(2, 1)
    node = fleet.nodes["m0"]
    sender = fleet.nodes["m1"].identity
    node.exchange.offer("desk", 3, b"bad", 0)
    news = (TreeVersion("desk", 3, compute_digest(b"bad")),)
    assert not node.exchange.handle("m1", Gossip(sender, False, news, (), False), 1).sends
    assert choose_announced(node.configs.versions(), (), 1) == ()


def test_request_of_a_peer_known_from_the_list_only():
    # Guards against a text that is never sent because its receiver was not heard before.
    fleet = Fleet(2, 1)
    fleet.nodes["m0"].exchange.offer("desk", 3, b"good", 0)
    outcome = fleet.nodes["m0"].exchange.handle("m1", SubtreeRequest(("desk",)), 1)
    assert [(s.peer, s.message.text) for s in outcome.sends] == [("m1", b"good")]


def test_new_instance_gets_everything_before_its_first_round():
    # Guards against a new instance that serves without the subtrees its peers hold.
    fleet = Fleet(4, 1)
    fleet.faulty = False
    teams = [f"team-{index:02}" for index in range(30)]
    for name in ("m0", "m1", "m2"):
        for team in teams:
            fleet.nodes[name].configs.offer(team, 5, b"good", 0)
    node = fleet.nodes["m3"]
    fleet.send("m3", node.exchange.request_all())
    while fleet.wire:
        fleet.now_us, _, source, target, data = heapq.heappop(fleet.wire)
        receiver = fleet.nodes[target].exchange
        fleet.send(target, receiver.handle(source, decode_message(data), fleet.now_us).sends)
    assert [entry.team for entry in node.configs.versions()] == teams
