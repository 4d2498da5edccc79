"""Reducers of a few instances with small fakes at their interfaces, in virtual time.

Every delay and fault is drawn from one seed. After each event the invariants of
``invariants.py`` are checked.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from mimosapost.core.reducer import reduce, start
from mimosapost.core.state import Policy, State, create_state
from mimosapost.core.tests.servers import FakeServer, create_content
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, Priority, RunState
from mimosapost.model.identities import InstanceIdentity, SlotId
from mimosapost.model.messages import Hello, PeerMessage
from mimosapost.model.published import (
    CallerSettings,
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.model.queries import Query, SubAnswer, SubRequest
from mimosapost.settings.published import check_subtree

DOUBLED = (ev.SendAnswered, ev.SendFailed, ev.SendRejected, ev.PeerMessageArrived)
DOMAINS = ("north", "south", "east")
SERVICE = "fitting"


def create_team(
    version: int = 1,
    leafs: int = 3,
    slots: int = 2,
    cold_limit: int = 4,
    connections: int = 24,
    map_version: int = 1,
    index_version: int = 1,
    domains_out: tuple[str, ...] = (),
    **service: int,
) -> TeamTree:
    """Create the subtree of one team with one service."""
    leaf_settings = tuple(
        LeafSettings(
            f"leaf{n}",
            tuple(
                SlotSettings(f"s{m}", f"127.0.{n}.{m + 1}:80", DOMAINS[(n + m) % 3])
                for m in range(slots)
            ),
        )
        for n in range(leafs)
    )
    settings = ServiceSettings(
        SERVICE,
        map_version,
        index_version,
        leaf_settings,
        connections=connections,
        cold_limit=cold_limit,
        ramp_answers=4,
        ramp_interval_ms=100,
        **service,
    )
    caller = CallerSettings("school", "0" * 64, (SERVICE,), concurrency=400)
    return TeamTree("desk", version, (settings,), (caller,), domains_out)


def encode(tree: object) -> bytes:
    """Return the published text of a subtree."""
    return msgspec.json.encode(tree)


@dataclass(slots=True)
class Node:
    """One instance: its state and what the fake edge keeps for it."""

    state: State
    alive: bool = True
    paused_until_us: int = 0
    timer: int = 0
    sends: dict[int, fx.EmitSend] = field(default_factory=dict)
    stopped: bool = False


@dataclass(slots=True)
class Asked:
    """A query of the fake caller."""

    nonce: int
    query: Query
    node: int
    state: State
    answers: list = field(default_factory=list)
    taken: bool = False


class Fleet:
    """Instances, servers and a network of seeded delays.

    :param seed: seed of all random choices.
    :param instances: number of instances.
    :param policy: figures of the decision path.
    :param team: published subtree of the one team.
    :param check: called after each event with the fleet; raises on a broken invariant.
    """

    def __init__(self, seed, instances=4, policy=None, team=None, check=None):
        self.rng = random.Random(seed)
        self.now_us = 1_000_000
        self.policy = policy or Policy()
        self.team = team or create_team()
        self.fleet_tree = FleetTree(
            1, ("desk",), {d: f"r-{d}" for d in DOMAINS}, instance_ceiling=max(4, instances)
        )
        self.merge = self.team.services[0].merge
        self.leafs = [leaf.name for leaf in self.team.services[0].leafs]
        self.check = check or (lambda _: None)
        self.events = 0
        self._order = itertools.count()
        self._heap: list = []
        self.incarnations = itertools.count(100)
        self.query_ids = itertools.count(1)
        self.cut: set[tuple[int, int]] = set()
        self.loss = 0.0
        self.straggler = 0.0
        self.doubled = 0.0
        self.peer_delay_us = 9_000
        self.out_since: dict[str, int] = {}
        self.poison: set[int] = set()
        self.asked: dict[tuple[int, int], Asked] = {}
        self.by_nonce: dict[int, list[Asked]] = {}
        self.runs: Counter = Counter()
        self.sent: Counter = Counter()
        self.emitted: list = []
        self.answered: list = []
        self.ran: list = []
        self.servers = {
            slot.server: FakeServer(slot.server, self.team.services[0].cold_limit)
            for leaf in self.team.services[0].leafs
            for slot in leaf.slots
        }
        self.nodes: dict[int, Node] = {}
        for seat in range(instances):
            self.start_node(seat)

    def at(self, delay_us, function, *arguments):
        """Call a function after a delay of virtual time."""
        item = (self.now_us + max(0, int(delay_us)), next(self._order), function, arguments)
        heapq.heappush(self._heap, item)

    def run(self, duration_us):
        """Run until a virtual time; the number of steps is bounded by the events in it."""
        end_us = self.now_us + duration_us
        while self._heap and self._heap[0][0] <= end_us:
            due_us, _, function, arguments = heapq.heappop(self._heap)
            self.now_us = due_us
            function(*arguments)
        self.now_us = end_us

    def start_node(self, seat):
        """Start a new incarnation of a seat."""
        identity = InstanceIdentity(
            f"i{seat}",
            next(self.incarnations),
            seat,
            DOMAINS[seat % 3],
            f"r-{DOMAINS[seat % 3]}",
            f"127.9.0.{seat + 1}:9",
        )
        state = create_state(
            identity,
            check_subtree,
            bytes([seat]) * 32,
            self.rng.randrange(2**32),
            self.now_us,
            self.policy,
            self.fleet_tree.instance_ceiling,
            tuple(f"127.9.0.{s + 1}:9" for s in self.nodes if s != seat),
        )
        node = self.nodes[seat] = Node(state)
        self.execute(seat, start(state))
        for name, tree in (("fleet", self.fleet_tree), ("desk", self.team)):
            self.deliver(seat, node, ev.ConfigRead, name, tree.version, encode(tree))

    def kill(self, seat):
        """Stop an instance at once; its sends go on at the servers."""
        self.nodes[seat].alive = False
        for other, node in self.nodes.items():
            if other != seat and node.alive:
                self.at(1_000, self.deliver, other, node, ev.PeerLost, f"i{seat}")

    def publish(self, team):
        """Publish a subtree; each instance reads it after a seeded delay."""
        if team.version > self.team.version:
            self._record_published(team)
        for seat, node in list(self.nodes.items()):
            delay_us = self.rng.randrange(1_000, 400_000)
            self.at(
                delay_us,
                self.deliver,
                seat,
                node,
                ev.ConfigRead,
                "desk",
                team.version,
                encode(team),
            )

    def _record_published(self, team):
        self.team = team
        gone = set(team.domains_out)
        for service in team.services:
            gone.update(s.server for leaf in service.leafs for s in leaf.slots if s.leaving)
        self.out_since = {key: self.out_since.get(key, self.now_us) for key in gone}

    def deliver(self, seat, node, event_type, *fields):
        """Give an event to an instance, or keep it until the instance runs again."""
        if not node.alive:
            return
        if self.now_us < node.paused_until_us:
            self.at(
                node.paused_until_us - self.now_us,
                self.deliver,
                seat,
                node,
                event_type,
                *fields,
            )
            return
        if event_type in DOUBLED and self.rng.random() < self.doubled:
            delay_us = self.rng.randrange(50_000)
            self.at(delay_us, self._give, seat, node, event_type, *fields)
        self._give(seat, node, event_type, *fields)

    def _give(self, seat, node, event_type, *fields):
        if not node.alive or self.now_us < node.paused_until_us:
            return
        self.events += 1
        self.current = seat
        effects = reduce(node.state, event_type(self.now_us, *fields))
        self.execute(seat, effects)
        self.check(self)

    def execute(self, seat, effects):
        """Execute effects as the edge would."""
        node = self.nodes[seat]
        for effect in effects:
            match effect:
                case fx.WakeAt(due_us):
                    node.timer += 1
                    self.at(due_us - self.now_us, self._fire, seat, node, node.timer)
                case fx.EmitSend():
                    self._emit(seat, node, effect)
                case fx.CancelSend(send_id, close):
                    if close and send_id in node.sends:
                        self._fail(seat, node, send_id, FailureKind.WITHDRAWN, RunState.UNKNOWN)
                case fx.AnswerCaller(query_id, answer):
                    asked = self.asked[seat, query_id]
                    asked.answers.append(answer)
                    self.answered.append((asked, answer))
                case fx.SendPeer(_, address, message):
                    self._send_peer(seat, node, address, message)
                case fx.OpenProbe(server):
                    self._probe(seat, node, self.servers[server])
                case fx.StopServing():
                    node.stopped = True
                    self.kill(seat)
                case _:
                    pass

    def _fire(self, seat, node, timer):
        if timer == node.timer:
            self.deliver(seat, node, ev.Ticked)

    def _send_peer(self, seat, node, address, message: PeerMessage):
        target = int(address.rpartition(":")[0].rpartition(".")[2]) - 1 if address else -1
        if (seat, target) in self.cut or target not in self.nodes:
            return
        if self.rng.random() < self.loss:
            return
        delay_us = self.rng.randrange(200, self.peer_delay_us)
        other = self.nodes[target]
        hello = Hello(1, node.state.identity)
        for item in (hello, message):
            self.at(
                delay_us, self.deliver, target, other, ev.PeerMessageArrived, f"i{seat}", item
            )

    def _emit(self, seat, node, effect: fx.EmitSend):
        node.sends[effect.send_id] = effect
        self.emitted.append((seat, node.state, effect))
        self.sent[effect.request.leaf] += 1
        self.at(self.rng.randrange(100, 3_000), self._arrive, seat, node, effect)
        self.at(
            effect.deadline_us - self.now_us,
            self._fail,
            seat,
            node,
            effect.send_id,
            FailureKind.CLOSED,
            RunState.UNKNOWN,
        )

    def _fail(self, seat, node, send_id, kind, run, boot_id=""):
        if node.sends.pop(send_id, None) is not None:
            self.deliver(seat, node, ev.SendFailed, send_id, kind, run, boot_id)

    def _arrive(self, seat, node, effect: fx.EmitSend):
        server, request = self.servers[effect.server], effect.request
        if effect.send_id not in node.sends and node.alive:
            return
        if not server.up:
            self._fail(seat, node, effect.send_id, FailureKind.REFUSED, RunState.NOT_RUN)
            return
        if self.now_us < server.silent_until_us and self.rng.random() < 0.5:
            return
        held = (request.map_version, request.index_version)
        if held != server.held:
            self.at(500, self._reject, seat, node, effect.send_id, server)
            return
        self._work(seat, node, effect, server, request)

    def _reject(self, seat, node, send_id, server):
        if node.sends.pop(send_id, None) is not None:
            self.deliver(seat, node, ev.SendRejected, send_id, *server.held, server.boot_id)

    def _work(self, seat, node, effect, server, request: SubRequest):
        server.working += 1
        run = (request.leaf, request.body["nonce"])
        self.runs[run] += 1
        self.ran.append(run)
        if request.body["nonce"] in self.poison:
            self.crash(server)
            return
        service_us = server.median_us * self.rng.uniform(0.7, 1.5)
        if self.rng.random() < self.straggler:
            service_us *= 20
        # Servers accept deadlines: work ends with the deadline of its request.
        service_us = min(service_us, max(0, effect.deadline_us - self.now_us))
        self.at(service_us, self._finish, seat, node, effect, server, server.epoch)

    def _finish(self, seat, node, effect, server, epoch):
        if epoch != server.epoch:
            return
        server.working -= 1
        server.answered += 1
        request = effect.request
        version = (request.map_version, request.index_version)
        answer = SubAnswer(
            request.request_id,
            request.leaf,
            request.map_version,
            request.index_version,
            server.boot_id,
            0.1,
            create_content(self.merge, request.leaf, request.body["nonce"], version),
        )
        if self.now_us < server.silent_until_us:
            return
        self.at(
            self.rng.randrange(100, 3_000), self._answer, seat, node, effect.send_id, answer
        )

    def _answer(self, seat, node, send_id, answer):
        if node.sends.pop(send_id, None) is not None:
            self.deliver(seat, node, ev.SendAnswered, send_id, answer)

    def _probe(self, seat, node, server):
        if server.up:
            self.at(
                2_000,
                self.deliver,
                seat,
                node,
                ev.ProbeAnswered,
                server.address,
                server.boot_id,
            )
        else:
            self.at(2_000, self.deliver, seat, node, ev.ProbeFailed, server.address)

    def crash(self, server, down_us=700_000):
        """Crash a server: its connections break, it refuses, then starts cold."""
        server.up, server.working, server.answered = False, 0, 0
        server.boots += 1
        server.epoch += 1
        for seat, node in self.nodes.items():
            for send_id, effect in list(node.sends.items()):
                if effect.server == server.address:
                    self.at(
                        300,
                        self._fail,
                        seat,
                        node,
                        send_id,
                        FailureKind.RESET,
                        RunState.UNKNOWN,
                    )
        self.at(down_us, setattr, server, "up", True)

    def ask(
        self,
        seat,
        *,
        nonce=None,
        repeatable=True,
        ticket="",
        deadline_us=400_000,
        min_coverage=0.0,
        priority=Priority.NORMAL,
    ):
        """Send a query to an instance and return what the caller keeps of it."""
        node = self.nodes[seat]
        query_id = next(self.query_ids)
        nonce = query_id if nonce is None else nonce
        query = Query(
            query_id,
            SERVICE,
            "school",
            {"nonce": nonce},
            nonce,
            priority,
            self.now_us + deadline_us,
            repeatable,
            min_coverage,
            0,
            ticket,
        )
        asked = self.asked[seat, query_id] = Asked(nonce, query, seat, node.state)
        self.by_nonce.setdefault(nonce, []).append(asked)
        asked.taken = node.alive
        self.deliver(seat, node, ev.QueryArrived, query)
        return asked

    def get_slot(self, leaf, slot):
        """Return the identity of a slot of the one service."""
        return SlotId(SERVICE, leaf, slot)
