"""Simulated fleet: reducers of a few instances with fakes at their interfaces.

Time is virtual, and one seed determines every delay and fault. After each event a checker is
called, such as the one in ``invariants.py``.
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
from mimosapost.core.tests.fake_servers import FakeServer, create_leaf_items
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, Priority, RunState
from mimosapost.model.identities import InstanceIdentity, SlotId
from mimosapost.model.peer_messages import Hello, PeerMessage
from mimosapost.model.published_settings import (
    CallerSettings,
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.model.queries import Query, SubAnswer, SubRequest
from mimosapost.settings.published import check_subtree

DUPLICATED_EVENTS = (ev.SendAnswered, ev.SendFailed, ev.SendRejected, ev.PeerMessageArrived)
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
    """Create the subtree of a team with one service and one caller.

    :param version: version of the subtree.
    :param leafs: number of leafs.
    :param slots: number of slots of each leaf, each on a server of its own.
    :param service: further fields of the service settings.
    """
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


def encode_subtree(tree: object) -> bytes:
    """Return a subtree as published JSON."""
    return msgspec.json.encode(tree)


@dataclass(slots=True)
class SimulatedInstance:
    """One instance: the reducer's state and what the fake edge stores for it.

    ``sends`` holds the sends without a confirmed end. ``timer_generation`` is raised whenever
    the reducer sets its timer; timers of earlier generations are ignored.
    """

    state: State
    alive: bool = True
    paused_until_us: int = 0
    timer_generation: int = 0
    sends: dict[int, fx.EmitSend] = field(default_factory=dict)
    stopped: bool = False


@dataclass(slots=True)
class SubmittedQuery:
    """A query of the fake caller with the answers to it.

    ``state`` is that of the incarnation that got the query. ``reached_instance`` is false if
    the instance was dead at that time.
    """

    nonce: int
    query: Query
    seat: int
    state: State
    answers: list = field(default_factory=list)
    reached_instance: bool = False


class Fleet:
    """Instances, backend servers and a network with seeded delays.

    The lists ``emitted_sends``, ``caller_answers`` and ``started_runs`` grow until the checker
    clears them.

    :param seed: seed of all random choices.
    :param instances: number of instances.
    :param policy: constants of the decision path.
    :param team: published subtree of the only team.
    :param check: called with the fleet after each event; raises on a broken invariant.
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
        self.leaf_names = [leaf.name for leaf in self.team.services[0].leafs]
        self.check = check or (lambda _: None)
        self.event_count = 0
        self._call_numbers = itertools.count()
        self._scheduled_calls: list = []
        self.incarnations = itertools.count(100)
        self.query_ids = itertools.count(1)
        self.cut_links: set[tuple[int, int]] = set()
        self.message_loss_probability = 0.0
        self.slow_answer_probability = 0.0
        self.duplicate_probability = 0.0
        self.max_peer_delay_us = 9_000
        self.out_of_service_since_us: dict[str, int] = {}
        self.poison_nonces: set[int] = set()
        self.submitted_queries: dict[tuple[int, int], SubmittedQuery] = {}
        self.queries_by_nonce: dict[int, list[SubmittedQuery]] = {}
        self.run_counts: Counter = Counter()
        self.sends_by_leaf: Counter = Counter()
        self.emitted_sends: list = []
        self.caller_answers: list = []
        self.started_runs: list = []
        self.servers = {
            slot.server: FakeServer(slot.server, self.team.services[0].cold_limit)
            for leaf in self.team.services[0].leafs
            for slot in leaf.slots
        }
        self.instances_by_seat: dict[int, SimulatedInstance] = {}
        for seat in range(instances):
            self.start_instance(seat)

    def call_later(self, delay_us, function, *arguments):
        """Call a function after a delay of virtual time.

        :param delay_us: delay in microseconds; a negative one counts as 0.
        """
        item = (
            self.now_us + max(0, int(delay_us)),
            next(self._call_numbers),
            function,
            arguments,
        )
        heapq.heappush(self._scheduled_calls, item)

    def run(self, duration_us):
        """Advance virtual time and make the calls that fall due.

        :param duration_us: virtual time in microseconds; it does not bound the number of calls.
        """
        end_us = self.now_us + duration_us
        while self._scheduled_calls and self._scheduled_calls[0][0] <= end_us:
            due_us, _, function, arguments = heapq.heappop(self._scheduled_calls)
            self.now_us = due_us
            function(*arguments)
        self.now_us = end_us

    def start_instance(self, seat):
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
            tuple(f"127.9.0.{s + 1}:9" for s in self.instances_by_seat if s != seat),
        )
        instance = self.instances_by_seat[seat] = SimulatedInstance(state)
        self.execute(seat, start(state))
        for name, tree in (("fleet", self.fleet_tree), ("desk", self.team)):
            self.deliver(
                seat, instance, ev.ConfigRead, name, tree.version, encode_subtree(tree)
            )

    def kill(self, seat):
        """Terminate an instance at once; its sends continue at the servers."""
        self.instances_by_seat[seat].alive = False
        for other, instance in self.instances_by_seat.items():
            if other != seat and instance.alive:
                self.call_later(1_000, self.deliver, other, instance, ev.PeerLost, f"i{seat}")

    def publish(self, team):
        """Publish a subtree; each instance reads it after a seeded delay."""
        if team.version > self.team.version:
            self._record_published(team)
        for seat, instance in list(self.instances_by_seat.items()):
            delay_us = self.rng.randrange(1_000, 400_000)
            self.call_later(
                delay_us,
                self.deliver,
                seat,
                instance,
                ev.ConfigRead,
                "desk",
                team.version,
                encode_subtree(team),
            )

    def _record_published(self, team):
        self.team = team
        out_of_service = set(team.domains_out)
        for service in team.services:
            out_of_service.update(
                s.server for leaf in service.leafs for s in leaf.slots if s.leaving
            )
        self.out_of_service_since_us = {
            key: self.out_of_service_since_us.get(key, self.now_us) for key in out_of_service
        }

    def deliver(self, seat, instance, event_type, *fields):
        """Apply an event to an instance, or postpone it until the instance's pause ends."""
        if not instance.alive:
            return
        if self.now_us < instance.paused_until_us:
            self.call_later(
                instance.paused_until_us - self.now_us,
                self.deliver,
                seat,
                instance,
                event_type,
                *fields,
            )
            return
        if event_type in DUPLICATED_EVENTS and self.rng.random() < self.duplicate_probability:
            delay_us = self.rng.randrange(50_000)
            self.call_later(delay_us, self._apply_event, seat, instance, event_type, *fields)
        self._apply_event(seat, instance, event_type, *fields)

    def _apply_event(self, seat, instance, event_type, *fields):
        if not instance.alive or self.now_us < instance.paused_until_us:
            return
        self.event_count += 1
        self.current_seat = seat
        effects = reduce(instance.state, event_type(self.now_us, *fields))
        self.execute(seat, effects)
        self.check(self)

    def execute(self, seat, effects):
        """Execute the effects of an instance as the edge would."""
        instance = self.instances_by_seat[seat]
        for effect in effects:
            match effect:
                case fx.SetTimer(due_us):
                    instance.timer_generation += 1
                    self.call_later(
                        due_us - self.now_us,
                        self._fire_timer,
                        seat,
                        instance,
                        instance.timer_generation,
                    )
                case fx.EmitSend():
                    self._start_send(seat, instance, effect)
                case fx.CancelSend(send_id, close):
                    if close and send_id in instance.sends:
                        self._fail_send(
                            seat, instance, send_id, FailureKind.WITHDRAWN, RunState.UNKNOWN
                        )
                case fx.AnswerCaller(query_id, answer):
                    submitted = self.submitted_queries[seat, query_id]
                    submitted.answers.append(answer)
                    self.caller_answers.append((submitted, answer))
                case fx.SendPeer(_, address, message):
                    self._send_peer(seat, instance, address, message)
                case fx.OpenProbe(server):
                    self._probe_server(seat, instance, self.servers[server])
                case fx.StopServing():
                    instance.stopped = True
                    self.kill(seat)
                case _:
                    pass

    def _fire_timer(self, seat, instance, timer_generation):
        if timer_generation == instance.timer_generation:
            self.deliver(seat, instance, ev.Ticked)

    def _send_peer(self, seat, instance, address, message: PeerMessage):
        target = int(address.rpartition(":")[0].rpartition(".")[2]) - 1 if address else -1
        if (seat, target) in self.cut_links or target not in self.instances_by_seat:
            return
        if self.rng.random() < self.message_loss_probability:
            return
        delay_us = self.rng.randrange(200, self.max_peer_delay_us)
        other = self.instances_by_seat[target]
        hello = Hello(1, instance.state.identity)
        for item in (hello, message):
            self.call_later(
                delay_us, self.deliver, target, other, ev.PeerMessageArrived, f"i{seat}", item
            )

    def _start_send(self, seat, instance, effect: fx.EmitSend):
        instance.sends[effect.send_id] = effect
        self.emitted_sends.append((seat, instance.state, effect))
        self.sends_by_leaf[effect.request.leaf] += 1
        self.call_later(
            self.rng.randrange(100, 3_000), self._arrive_at_server, seat, instance, effect
        )
        self.call_later(
            effect.deadline_us - self.now_us,
            self._fail_send,
            seat,
            instance,
            effect.send_id,
            FailureKind.CLOSED,
            RunState.UNKNOWN,
        )

    def _fail_send(self, seat, instance, send_id, kind, run, boot_id=""):
        if instance.sends.pop(send_id, None) is not None:
            self.deliver(seat, instance, ev.SendFailed, send_id, kind, run, boot_id)

    def _arrive_at_server(self, seat, instance, effect: fx.EmitSend):
        server, request = self.servers[effect.server], effect.request
        if effect.send_id not in instance.sends and instance.alive:
            return
        if not server.up:
            self._fail_send(
                seat, instance, effect.send_id, FailureKind.REFUSED, RunState.NOT_RUN
            )
            return
        if self.now_us < server.silent_until_us and self.rng.random() < 0.5:
            return
        requested = (request.map_version, request.index_version)
        if requested != server.held_snapshot:
            self.call_later(500, self._reject_send, seat, instance, effect.send_id, server)
            return
        self._run_request(seat, instance, effect, server, request)

    def _reject_send(self, seat, instance, send_id, server):
        if instance.sends.pop(send_id, None) is not None:
            self.deliver(
                seat, instance, ev.SendRejected, send_id, *server.held_snapshot, server.boot_id
            )

    def _run_request(self, seat, instance, effect, server, request: SubRequest):
        server.in_flight += 1
        run = (request.leaf, request.body["nonce"])
        self.run_counts[run] += 1
        self.started_runs.append(run)
        if request.body["nonce"] in self.poison_nonces:
            self.crash(server)
            return
        service_us = server.median_us * self.rng.uniform(0.7, 1.5)
        if self.rng.random() < self.slow_answer_probability:
            service_us *= 20
        # A server ends its work at the deadline of the request.
        service_us = min(service_us, max(0, effect.deadline_us - self.now_us))
        self.call_later(
            service_us, self._finish_request, seat, instance, effect, server, server.epoch
        )

    def _finish_request(self, seat, instance, effect, server, epoch):
        if epoch != server.epoch:
            return
        server.in_flight -= 1
        server.answer_count += 1
        request = effect.request
        version = (request.map_version, request.index_version)
        answer = SubAnswer(
            request.request_id,
            request.leaf,
            request.map_version,
            request.index_version,
            server.boot_id,
            0.1,
            create_leaf_items(self.merge, request.leaf, request.body["nonce"], version),
        )
        if self.now_us < server.silent_until_us:
            return
        self.call_later(
            self.rng.randrange(100, 3_000),
            self._deliver_answer,
            seat,
            instance,
            effect.send_id,
            answer,
        )

    def _deliver_answer(self, seat, instance, send_id, answer):
        if instance.sends.pop(send_id, None) is not None:
            self.deliver(seat, instance, ev.SendAnswered, send_id, answer)

    def _probe_server(self, seat, instance, server):
        if server.up:
            self.call_later(
                2_000,
                self.deliver,
                seat,
                instance,
                ev.ProbeAnswered,
                server.address,
                server.boot_id,
            )
        else:
            self.call_later(2_000, self.deliver, seat, instance, ev.ProbeFailed, server.address)

    def crash(self, server, down_us=700_000):
        """Crash a server: it resets its connections, refuses new ones and then starts cold.

        :param down_us: time in microseconds for which it refuses connections.
        """
        server.up, server.in_flight, server.answer_count = False, 0, 0
        server.boot_count += 1
        server.epoch += 1
        for seat, instance in self.instances_by_seat.items():
            for send_id, effect in list(instance.sends.items()):
                if effect.server == server.address:
                    self.call_later(
                        300,
                        self._fail_send,
                        seat,
                        instance,
                        send_id,
                        FailureKind.RESET,
                        RunState.UNKNOWN,
                    )
        self.call_later(down_us, setattr, server, "up", True)

    def submit_query(
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
        """Submit a query to an instance and return the caller's record of it."""
        instance = self.instances_by_seat[seat]
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
        submitted = self.submitted_queries[seat, query_id] = SubmittedQuery(
            nonce, query, seat, instance.state
        )
        self.queries_by_nonce.setdefault(nonce, []).append(submitted)
        submitted.reached_instance = instance.alive
        self.deliver(seat, instance, ev.QueryArrived, query)
        return submitted

    def get_slot(self, leaf, slot):
        """Return the identity of a slot of the only service."""
        return SlotId(SERVICE, leaf, slot)
