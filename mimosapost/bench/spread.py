"""Simulations of how a configuration change spreads: by gossip, and down a load-ordered tree.

Run them with ``python -m mimosapost.bench.spread --seed 1``. Time is simulated in rounds of
0.5 s. The bytes are those of encoded messages with their 4-byte length prefixes.
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
# A link is closed after 3 heartbeat intervals without a message. The next message to the same
# peer then needs a new link, with a greeting in both directions.
_LINK_IDLE_ROUNDS = 3


class Fleet:
    """Simulated instances that exchange gossip in one process.

    :param size: number of instances.
    :param teams: number of published subtrees.
    :param seed: seed of all random choices.
    :param loss_rate: share of messages that are lost.
    :param dead_share: share of instances that are listed but do not run.
    :param at_once: whether an instance announces a change as soon as it has accepted it, and
        not only in its next round.
    """

    def __init__(
        self,
        size: int,
        teams: int,
        seed: int,
        loss_rate: float = 0.0,
        dead_share: float = 0.0,
        at_once: bool = True,
    ) -> None:
        self.rng = Random(seed)
        self.loss_rate = loss_rate
        self.at_once = at_once
        self.now_us = 0
        self.sent_bytes = 0
        self.greeting_bytes = 0
        self.exchanges: dict[str, GossipExchange] = {}
        self.configs: dict[str, ConfigStore] = {}
        self._last_used_us: dict[tuple[str, str], int] = {}
        names = [f"entry-{index:03}" for index in range(size)]
        entries = [
            InstanceEntry(name, f"10.0.{index // 250}.{index % 250}:7000", False)
            for index, name in enumerate(names)
        ]
        stopped = set(self.rng.sample(names[1:], int(dead_share * size)))
        for index, entry in enumerate(entries):
            if entry.name not in stopped:
                self._start_instance(index, entry, entries, teams)

    def run_round(self) -> None:
        """Start one gossip round on every instance and deliver the messages that result."""
        self.now_us += ROUND_US
        queue: deque[tuple[str, SendPeer]] = deque()
        for name, exchange in self.exchanges.items():
            queue.extend((name, send) for send in exchange.start_round(self.now_us))
        self.deliver(queue)

    def publish(self, version: int, teams: int = 1) -> None:
        """Offer a version of the first subtrees to the first instance only.

        :param version: version of the subtrees.
        :param teams: number of subtrees.
        """
        name = next(iter(self.exchanges))
        text = b"x" * 20_000 + str(version).encode()
        for team in range(teams):
            outcome = self.exchanges[name].offer(f"team-{team:03}", version, text, self.now_us)
            if self.at_once:
                self.deliver(deque((name, send) for send in outcome.sends))

    def deliver(self, queue: deque[tuple[str, SendPeer]]) -> None:
        """Deliver messages, and the messages that instances send on receiving them.

        :param queue: pairs of the sender's name and the message to send.
        """
        while queue:
            source, send = queue.popleft()
            body = encode_message(send.message)
            self._count_greeting(source, send.peer)
            self.sent_bytes += len(body) + 4
            if send.peer not in self.exchanges or self.rng.random() < self.loss_rate:
                continue
            message = decode_message(body)
            outcome = self.exchanges[send.peer].handle(source, message, self.now_us)
            if self.at_once or not outcome.team:
                queue.extend((send.peer, answer) for answer in outcome.sends)

    def count_holders(self, version: int, teams: int = 1) -> int:
        """Return the number of instances that have a version of all of the first subtrees.

        :param version: lowest version that counts.
        :param teams: number of subtrees.
        """
        return sum(
            all(entry.version >= version for entry in store.list_versions()[:teams])
            for store in self.configs.values()
        )

    def _start_instance(
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
        last_used_us = self._last_used_us.get((source, target))
        if last_used_us is None or self.now_us - last_used_us > _LINK_IDLE_ROUNDS * ROUND_US:
            self.greeting_bytes += 2 * self._hello_bytes
        self._last_used_us[source, target] = self.now_us


@dataclass(frozen=True, slots=True)
class GossipResult:
    """Traffic of a fleet and spread of one change.

    :param rounds: number of rounds until every instance has the change, at most 60.
    :param steady_bytes: bytes of gossip that an instance sends per second without a change.
    :param greeting_bytes: bytes of greetings per instance and second without a change.
    :param change_bytes: bytes per instance that the change adds to the steady traffic.
    :param core_share: processor time of an instance for gossip, encoding and decoding, as a
        share of one core.
    """

    rounds: int
    steady_bytes: float
    greeting_bytes: float
    change_bytes: float
    core_share: float


def measure_gossip(create: Callable[[], Fleet]) -> GossipResult:
    """Measure the traffic without a change, then the rounds until every instance has a change.

    :param create: function that creates the fleet.
    :returns: steady traffic, and rounds and bytes of the change.
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
    return GossipResult(rounds, steady, greeting, extra, core_share)


def measure_backlog(fleet: Fleet, teams: int) -> int:
    """Count the rounds until every instance has many changes, as after a network partition.

    One instance accepts all changes without announcing them, as if no other instance could be
    reached. The rounds that are counted begin after that.

    :param fleet: fleet without changes so far.
    :param teams: number of subtrees that change.
    :returns: number of rounds, at most 60.
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
    size: int, seed: int, loss_rate: float, dead_share: float, load_error: float
) -> tuple[int, float, float]:
    """Simulate a change sent down a tree in which less loaded instances are nearer to the root.

    Each instance derives the tree from its own estimate of all loads and sends the change to
    its children.

    :param size: number of instances.
    :param seed: seed of loads and faults.
    :param loss_rate: share of messages that are lost.
    :param dead_share: share of instances that do not run, although all others send to them.
    :param load_error: standard deviation of the error of an instance's estimate of a load.
    :returns: number of hops, share of running instances that the change reached, and largest
        number of children that an instance sent the change to.
    """
    rng = Random(seed)
    loads = [rng.random() for _ in range(size)]
    stopped = set(rng.sample(range(size), int(dead_share * size)))
    root = min((index for index in range(size) if index not in stopped), key=loads.__getitem__)
    reached, frontier, hops, max_sends = {root}, [root], 0, 0
    while frontier:
        next_frontier = []
        for sender in frontier:
            estimated_loads = [load + rng.gauss(0, load_error) for load in loads]
            tree_order = sorted(range(size), key=estimated_loads.__getitem__)
            position = tree_order.index(sender)
            children = tree_order[position * FANOUT + 1 : position * FANOUT + 1 + FANOUT]
            max_sends = max(max_sends, len(children))
            for child in children:
                if child not in stopped and child not in reached and rng.random() >= loss_rate:
                    reached.add(child)
                    next_frontier.append(child)
        frontier = next_frontier
        hops += bool(frontier)
    return hops, len(reached) / (size - len(stopped)), max_sends


def main(*, seed: int = 1, teams: int = 30) -> None:
    """Run the simulations and print their results.

    :param seed: seed of all random choices.
    :param teams: number of published subtrees.
    """
    for size in (4, 40, 200, 690):
        for at_once in (False, True):
            gossip = measure_gossip(lambda s=size, a=at_once: Fleet(s, teams, seed, at_once=a))
            print(
                f"gossip members={size} teams={teams} seed={seed} at_once={at_once} "
                f"rounds={gossip.rounds} steady_bytes_per_s={gossip.steady_bytes:.0f} "
                f"greeting_bytes_per_s={gossip.greeting_bytes:.0f} "
                f"change_bytes={gossip.change_bytes:.0f} core_share={gossip.core_share:.4f}"
            )
    for loss_rate, dead_share, load_error in (
        (0, 0, 0),
        (0.01, 0, 0),
        (0, 0.02, 0),
        (0, 0, 0.01),
    ):
        tree_results = [
            measure_tree(690, seed + i, loss_rate, dead_share, load_error) for i in range(5)
        ]
        shares = [result[1] for result in tree_results]
        print(
            f"tree members=690 seeds={seed}..{seed + 4} lost={loss_rate} dead={dead_share} "
            f"disagreement={load_error} hops={max(r[0] for r in tree_results)} "
            f"reached_min={min(shares):.3f} reached_mean={sum(shares) / 5:.3f}"
        )
    for loss_rate, dead_share in ((0.01, 0.0), (0.0, 0.02), (0.2, 0.1)):
        gossip = measure_gossip(
            lambda x=loss_rate, y=dead_share: Fleet(690, teams, seed, x, y, False)
        )
        print(f"gossip members=690 lost={loss_rate} dead={dead_share} rounds={gossip.rounds}")
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
