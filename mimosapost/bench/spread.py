"""Measures how a configuration change spreads: gossip rounds, bytes, and a load-ordered tree.

Run as ``python -m mimosapost.bench.spread --seed 1``. Time is simulated in rounds of 0.5 s.
The bytes are those of encoded frames with their 4-byte lengths.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import process_time

import defopt
from returns.result import Success

from mimosapost.membership.codec import decode_message, encode_message
from mimosapost.membership.config_store import ConfigStore
from mimosapost.membership.gossip_choices import FANOUT
from mimosapost.membership.gossip_exchange import GossipExchange
from mimosapost.membership.members import MemberTable
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import InstanceEntry
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import Hello
from mimosapost.model.published_settings import TeamTree

__all__ = ["Fleet", "main", "measure_backlog", "measure_gossip", "measure_tree"]

ROUND_US = 500_000
_STEADY_ROUNDS = 4
_MAX_ROUNDS = 60
# A link that carried nothing for 3 heartbeats is closed, so a target met later costs a
# greeting in both directions again.
_LINK_ROUNDS = 3


class Fleet:
    """Instances that gossip in one process.

    :param size: number of instances.
    :param teams: number of published subtrees.
    :param seed: seed of all random choices.
    :param lost: share of messages that are lost.
    :param dead: share of instances that are listed but do not run.
    :param at_once: whether an accepted change is announced before the next round.
    """

    def __init__(
        self,
        size: int,
        teams: int,
        seed: int,
        lost: float = 0.0,
        dead: float = 0.0,
        at_once: bool = True,
    ) -> None:
        self.rng = Random(seed)
        self.lost = lost
        self.at_once = at_once
        self.now_us = 0
        self.sent_bytes = 0
        self.greeting_bytes = 0
        self.exchanges: dict[str, GossipExchange] = {}
        self.configs: dict[str, ConfigStore] = {}
        self._links: dict[tuple[str, str], int] = {}
        names = [f"entry-{index:03}" for index in range(size)]
        entries = [
            InstanceEntry(name, f"10.0.{index // 250}.{index % 250}:7000", False)
            for index, name in enumerate(names)
        ]
        down = set(self.rng.sample(names[1:], int(dead * size)))
        for index, entry in enumerate(entries):
            if entry.name not in down:
                self._add_instance(index, entry, entries, teams)

    def run_round(self) -> None:
        """Let every instance start one round and deliver all messages that follow."""
        self.now_us += ROUND_US
        queue: deque[tuple[str, SendPeer]] = deque()
        for name, exchange in self.exchanges.items():
            queue.extend((name, send) for send in exchange.start_round(self.now_us))
        self.deliver(queue)

    def publish(self, version: int, teams: int = 1) -> None:
        """Publish a version of some subtrees to the first instance only."""
        name = next(iter(self.exchanges))
        text = b"x" * 20_000 + str(version).encode()
        for team in range(teams):
            outcome = self.exchanges[name].offer(f"team-{team:03}", version, text, self.now_us)
            if self.at_once:
                self.deliver(deque((name, send) for send in outcome.sends))

    def deliver(self, queue: deque[tuple[str, SendPeer]]) -> None:
        """Deliver messages and the messages that answer them."""
        while queue:
            source, send = queue.popleft()
            body = encode_message(send.message)
            self._count_greeting(source, send.peer)
            self.sent_bytes += len(body) + 4
            if send.peer not in self.exchanges or self.rng.random() < self.lost:
                continue
            message = decode_message(body)
            outcome = self.exchanges[send.peer].handle(source, message, self.now_us)
            if self.at_once or not outcome.team:
                queue.extend((send.peer, answer) for answer in outcome.sends)

    def count_holders(self, version: int, teams: int = 1) -> int:
        """Return how many instances hold the version of the first subtrees."""
        return sum(
            all(entry.version >= version for entry in book.list_versions()[:teams])
            for book in self.configs.values()
        )

    def _add_instance(
        self, index: int, entry: InstanceEntry, entries: list[InstanceEntry], teams: int
    ) -> None:
        identity = InstanceIdentity(
            entry.name, index + 1, index, f"zone-{index % 11}", "north", entry.peer_address
        )
        members = MemberTable(identity)
        members.record_instance_list(entries, 0)
        configs = ConfigStore(lambda team, _: Success(TeamTree(team=team, version=1)))
        for team in range(teams):
            configs.offer(f"team-{team:03}", 1, b"x", 0)
        self.configs[entry.name] = configs
        self.exchanges[entry.name] = GossipExchange(identity, members, configs, self.rng)
        self._hello_bytes = len(encode_message(Hello(1, identity))) + 4

    def _count_greeting(self, source: str, target: str) -> None:
        used_us = self._links.get((source, target))
        if used_us is None or self.now_us - used_us > _LINK_ROUNDS * ROUND_US:
            self.greeting_bytes += 2 * self._hello_bytes
        self._links[source, target] = self.now_us


@dataclass(frozen=True, slots=True)
class Spread:
    """Result of one change."""

    rounds: int
    steady_bytes: float
    greeting_bytes: float
    change_bytes: float
    core_share: float


def measure_gossip(create: Callable[[], Fleet]) -> Spread:
    """Measure steady traffic, then rounds until every instance holds a change.

    :param create: creates the fleet.
    :returns: rounds to convergence; bytes sent by an instance per second of gossip and of
        greetings without a change; bytes of the change above that in total; processor time
        of gossip, encoding and decoding as a share of one core.
    """
    fleet = create()
    size = len(fleet.exchanges)
    started_s = process_time()
    for _ in range(_STEADY_ROUNDS):
        fleet.run_round()
    seconds = _STEADY_ROUNDS * ROUND_US / 1e6
    core_share = (process_time() - started_s) / size / seconds
    steady = fleet.sent_bytes / size / seconds
    greeting = fleet.greeting_bytes / size / seconds
    fleet.sent_bytes = 0
    fleet.publish(2)
    rounds = 0
    while fleet.count_holders(2) < size and rounds < _MAX_ROUNDS:
        fleet.run_round()
        rounds += 1
    extra = fleet.sent_bytes / size - steady * rounds * ROUND_US / 1e6
    return Spread(rounds, steady, greeting, extra, core_share)


def measure_backlog(fleet: Fleet, teams: int) -> int:
    """Count rounds after which all hold many changes, as when a partition heals.

    :param fleet: fleet in which one instance learnt the changes while it reached nobody.
    :param teams: number of subtrees that changed.
    """
    at_once, fleet.at_once = fleet.at_once, False
    fleet.publish(2, teams)
    fleet.at_once = at_once
    rounds = 0
    while fleet.count_holders(2, teams) < len(fleet.exchanges) and rounds < _MAX_ROUNDS:
        fleet.run_round()
        rounds += 1
    return rounds


def measure_tree(
    size: int, seed: int, lost: float, dead: float, disagreement: float
) -> tuple[int, float, float]:
    """Spread a change down a tree in which less loaded instances stand nearer to the root.

    Each instance derives the tree from its own view of the loads and sends to its children.

    :param size: number of instances.
    :param seed: seed of loads and faults.
    :param lost: share of messages that are lost.
    :param dead: share of instances that do not run and that nobody noticed yet.
    :param disagreement: standard deviation of the error of each instance's view of a load.
    :returns: hops, share of live instances reached, largest number of texts one instance sent.
    """
    rng = Random(seed)
    loads = [rng.random() for _ in range(size)]
    down = set(rng.sample(range(size), int(dead * size)))
    root = min((index for index in range(size) if index not in down), key=loads.__getitem__)
    reached, front, hops, most = {root}, [root], 0, 0
    while front:
        following = []
        for sender in front:
            view = [load + rng.gauss(0, disagreement) for load in loads]
            order = sorted(range(size), key=view.__getitem__)
            at = order.index(sender)
            children = order[at * FANOUT + 1 : at * FANOUT + 1 + FANOUT]
            most = max(most, len(children))
            for child in children:
                if child not in down and child not in reached and rng.random() >= lost:
                    reached.add(child)
                    following.append(child)
        front = following
        hops += bool(front)
    return hops, len(reached) / (size - len(down)), most


def main(*, seed: int = 1, teams: int = 30) -> None:
    """Print the measurements.

    :param seed: seed of all random choices.
    :param teams: number of published subtrees.
    """
    for size in (4, 40, 200, 690):
        for at_once in (False, True):
            spread = measure_gossip(lambda s=size, a=at_once: Fleet(s, teams, seed, at_once=a))
            print(
                f"gossip members={size} teams={teams} seed={seed} at_once={at_once} "
                f"rounds={spread.rounds} steady_bytes_per_s={spread.steady_bytes:.0f} "
                f"greeting_bytes_per_s={spread.greeting_bytes:.0f} "
                f"change_bytes={spread.change_bytes:.0f} core_share={spread.core_share:.4f}"
            )
    for lost, dead, disagreement in ((0, 0, 0), (0.01, 0, 0), (0, 0.02, 0), (0, 0, 0.01)):
        reached = [measure_tree(690, seed + i, lost, dead, disagreement) for i in range(5)]
        shares = [result[1] for result in reached]
        print(
            f"tree members=690 seeds={seed}..{seed + 4} lost={lost} dead={dead} "
            f"disagreement={disagreement} hops={max(r[0] for r in reached)} "
            f"reached_min={min(shares):.3f} reached_mean={sum(shares) / 5:.3f}"
        )
    for lost, dead in ((0.01, 0.0), (0.0, 0.02), (0.2, 0.1)):
        spread = measure_gossip(lambda x=lost, y=dead: Fleet(690, teams, seed, x, y, False))
        print(f"gossip members=690 lost={lost} dead={dead} rounds={spread.rounds}")
    for size in (4, 40, 200, 690):
        changes = min(teams, 20)
        rounds = [
            measure_backlog(Fleet(size, teams, seed, at_once=at_once), changes)
            for at_once in (False, True)
        ]
        print(
            f"backlog members={size} changes={changes} seed={seed} "
            f"rounds_by_timer={rounds[0]} rounds_at_once={rounds[1]}"
        )


if __name__ == "__main__":
    defopt.run(main)
