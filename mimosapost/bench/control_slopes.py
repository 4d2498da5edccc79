"""Measurements of membership, leases and control messages against the number of instances."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from mimosapost.bench.fixtures import (
    VirtualClock,
    create_identity,
    create_team_tree,
    start_instance,
)
from mimosapost.bench.slopes import Scale, Series, measurement, time_workloads, trace_bytes
from mimosapost.bench.spread import Fleet, measure_gossip
from mimosapost.core.reducer import reduce
from mimosapost.core.state import State
from mimosapost.limits.leases import LeaseTable, choose_group
from mimosapost.limits.shares import compute_share
from mimosapost.membership.codec import encode_message
from mimosapost.model.effects import Effect, SendPeer
from mimosapost.model.events import (
    InstanceEntry,
    InstancesListed,
    PeerMessageArrived,
    Ticked,
)
from mimosapost.model.peer_messages import Gossip, HeartbeatAnswer, SubtreeReply, WarmupNote

__all__ = [
    "count_gatherers",
    "measure_control_bytes",
    "measure_gatherers",
    "measure_peers",
    "measure_reply_bytes",
]

_TEAM_COUNT = 30
_LENGTH_PREFIX_BYTES = 4
_CONTROL_PERIODS_PER_S = 2


def _create_entries(count: int) -> tuple[InstanceEntry, ...]:
    identities = [create_identity(seat) for seat in range(count)]
    return tuple(
        InstanceEntry(identity.name, identity.peer_address, False) for identity in identities
    )


def _create_clock(scale: Scale, count: int) -> VirtualClock:
    leafs = 2 if scale.small else 20
    trees = tuple(
        create_team_tree(f"team-{number:02}", 1, leafs, 3, first_leaf=number * leafs)
        for number in range(_TEAM_COUNT)
    )
    clock = start_instance(scale.seed, trees, ceiling=count)
    # Gossip carries warm-up notes of servers that have answered, so every server answers once.
    for service in clock.state.services.values():
        for server in service.slots:
            clock.state.warmup.record_answer(server, "boot-1", 6_000, clock.now_us)
    return clock


def _add_instances(state: State, now_us: int, count: int) -> None:
    """Make all other instances known to a state: list them and send a gossip from each."""
    reduce(state, InstancesListed(now_us, _create_entries(count)))
    for seat in range(1, count):
        gossip = Gossip(create_identity(seat), False, (), (), False)
        name = gossip.identity.name
        reduce(state, PeerMessageArrived(now_us, name, gossip))


class _ControlPeriod:
    """Processes the control messages of one instance in a control period of 0.5 s.

    These are the messages that the instance sends and those that it receives.
    """

    def __init__(self, clock: VirtualClock, count: int, seed: int) -> None:
        self.clock = clock
        self.rng = Random(seed)
        self.count = count
        members, self.witnesses = choose_group(0, count)
        self.neighbours = [seat for seat in members if seat]
        self.tables = {
            seat: LeaseTable(seat, seat + 1, count, 0, 1_000_000, 2_000_000)
            for seat in self.neighbours
        }

    def run(self) -> None:
        state, clock = self.clock.state, self.clock
        clock.now_us += 500_000
        effects = reduce(state, Ticked(clock.now_us))
        self._answer_heartbeats(effects)
        for seat in self.neighbours:
            heartbeat = self.tables[seat].create_heartbeat(clock.now_us)
            name = create_identity(seat).name
            reduce(state, PeerMessageArrived(clock.now_us, name, heartbeat))
        versions = state.configs.list_versions()[:8]
        servers = next(iter(state.services.values())).slots
        notes = tuple(WarmupNote(server, "boot-1", 0, 25) for server in list(servers)[:16])
        for seat in self.rng.sample(range(1, self.count), min(3, self.count - 1)):
            gossip = Gossip(create_identity(seat), False, versions, (), True, notes)
            reduce(state, PeerMessageArrived(clock.now_us, gossip.identity.name, gossip))

    def _answer_heartbeats(self, effects: list[Effect]) -> None:
        clock = self.clock
        for effect in effects:
            if not isinstance(effect, SendPeer) or isinstance(effect.message, Gossip):
                continue
            heartbeat = effect.message
            seat = int(effect.peer.rpartition("-")[2])
            answer = HeartbeatAnswer(
                seat,
                seat + 1,
                heartbeat.seat,
                heartbeat.incarnation,
                heartbeat.number,
                True,
                (),
            )
            reduce(clock.state, PeerMessageArrived(clock.now_us, effect.peer, answer))


@measurement("peers")
def measure_peers(scale: Scale) -> Iterable[Series]:
    """Measure members, leases, gossip and heartbeats against the number of instances.

    A control period includes one housekeeping round, in which no backend server is in use.
    """
    sizes = scale.choose_sizes((86, 172, 345, 690), (8, 12, 16, 20))
    memory, periods, lists = [], [], []
    for count in sizes:
        clock = _create_clock(scale, count)
        memory.append(
            (
                count,
                trace_bytes(
                    lambda clock=clock, n=count: _add_instances(clock.state, 5_000_000, n)
                ),
            )
        )
        control_period = _ControlPeriod(clock, count, scale.seed)
        periods.append((count, control_period.run))
        entries = _create_entries(count)

        def read_list(
            clock: VirtualClock = clock, entries: tuple[InstanceEntry, ...] = entries
        ) -> None:
            clock.now_us += 1_000
            reduce(clock.state, InstancesListed(clock.now_us, entries))

        lists.append((count, read_list))
    yield Series("members and leases", "B", "instances", tuple(memory))
    yield Series(
        "control period of 0.5 s", "us", "instances", time_workloads(periods, 5 * scale.rounds)
    )
    yield Series(
        "reading the instance list", "us", "instances", time_workloads(lists, scale.rounds)
    )


def _count_heartbeat_bytes(count: int) -> float:
    """Return the mean bytes of heartbeats and answers that an instance sends in a second."""
    own = LeaseTable(0, 1, count, 0, 1_000_000, 2_000_000)
    heartbeat = own.create_heartbeat(0)
    answer = own.answer_heartbeat(heartbeat, 0)
    sizes = [
        len(encode_message(message)) + _LENGTH_PREFIX_BYTES for message in (heartbeat, answer)
    ]
    heartbeat_count = 0
    for seat in range(count):
        table = LeaseTable(seat, 1, count, 0, 1_000_000, 2_000_000)
        heartbeat_count += len(table.list_other_witnesses())
    # A witness answers each heartbeat once, so the mean number of answers that an instance
    # sends is the mean number of heartbeats.
    return _CONTROL_PERIODS_PER_S * sum(sizes) * heartbeat_count / count


@measurement("control bytes")
def measure_control_bytes(scale: Scale) -> Iterable[Series]:
    """Measure bytes of control messages that one instance sends in a second, by kind.

    The bytes are those of encoded messages with their length prefixes, without TCP and IP
    headers.
    """
    gossip, greetings, heartbeats = [], [], []
    for count in scale.choose_sizes((86, 172, 345, 690), (8, 12, 16, 20)):
        spread = measure_gossip(lambda count=count: Fleet(count, _TEAM_COUNT, scale.seed))
        gossip.append((count, spread.steady_bytes))
        greetings.append((count, spread.greeting_bytes))
        heartbeats.append((count, _count_heartbeat_bytes(count)))
    yield Series("gossip sent", "B/s", "instances", tuple(gossip))
    yield Series("greetings sent", "B/s", "instances", tuple(greetings))
    yield Series("heartbeats and answers sent", "B/s", "instances", tuple(heartbeats))
    notes = []
    for count in scale.choose_sizes((0, 4, 8, 16), (0, 1, 2, 3)):
        # The IPv4 address has the maximum length and the boot id 16 characters, so that the
        # note is a large one.
        note = WarmupNote("100.100.100.100:8080", "0123456789abcdef", 1, 25)
        gossip = Gossip(create_identity(0), False, (), (), True, (note,) * count)
        notes.append((count, len(encode_message(gossip)) + _LENGTH_PREFIX_BYTES))
    yield Series("gossip frame: warm-up notes", "B", "notes", tuple(notes))


@measurement("subtree bytes")
def measure_reply_bytes(scale: Scale) -> Iterable[Series]:
    """Measure the frame that carries a subtree against the length of the subtree's text."""
    points = tuple(
        (
            size,
            len(encode_message(SubtreeReply("team-00", 2, b"x" * size))) + _LENGTH_PREFIX_BYTES,
        )
        for size in scale.choose_sizes(
            (10_000, 100_000, 500_000, 1_000_000), (100, 200, 300, 400)
        )
    )
    yield Series("frame of a subtree", "B", "bytes of text", points)


def count_gatherers(rng: Random, leafs: int, ceiling: int, slots: int, limit: int) -> int:
    """Count the instances needed to reach at least one slot of each leaf, chosen greedily.

    An instance reaches a server if its share of the server's connection limit is not 0. As long
    as the limit is below the number of seats, a share is at most one connection, and a hash of
    the server's address determines which seats have one.

    :param rng: random generator for the servers' addresses.
    :param leafs: number of leafs of the query.
    :param ceiling: number of seats.
    :param slots: number of slots of each leaf.
    :param limit: connection limit of each server.
    :returns: number of instances that the greedy choice takes; the minimum may be smaller.
    """
    reachable: dict[int, set[int]] = {}
    for leaf in range(leafs):
        for _ in range(slots):
            address = f"10.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(256)}:8080"
            for seat in range(ceiling):
                if compute_share(limit, seat, ceiling, address):
                    reachable.setdefault(seat, set()).add(leaf)
    uncovered, chosen = set(range(leafs)), 0
    while uncovered:
        # The lowest seat wins a tie, so that the count depends on the seed alone.
        best = max(sorted(reachable), key=lambda seat: len(reachable[seat] & uncovered))
        uncovered -= reachable[best]
        chosen += 1
    return chosen


@measurement("gatherers")
def measure_gatherers(scale: Scale) -> Iterable[Series]:
    """Count the seats that a query needs if 25 seats share the connections of each server."""
    ceiling = 60 if scale.small else 690
    points = tuple(
        (leafs, float(count_gatherers(Random(scale.seed), leafs, ceiling, 3, 25)))
        for leafs in scale.choose_sizes((45, 90, 135, 180), (2, 4, 6, 8))
    )
    yield Series("gatherers of a query", "seats", "leafs of a query", points)
