"""State of the relay, changed only by its reducer."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from mimosapost.core.timers import Timers
from mimosapost.limits.budgets import SendBudget
from mimosapost.limits.fleet_limits import LimitRules
from mimosapost.limits.rates import SendRate
from mimosapost.membership.members import MemberTable
from mimosapost.model.identities import NO_SEAT, InstanceIdentity
from mimosapost.relay import repeats
from mimosapost.relay.catalog import Catalog, Route, Workspace
from mimosapost.relay.feed_choices import FeedState
from mimosapost.relay.latency_pools import DISTANCES, LatencyPool
from mimosapost.relay.limit_state import LimitState
from mimosapost.relay.messages import RelayRequest, ServerAnswer
from mimosapost.relay.partners import PeerState
from mimosapost.relay.reply_delays import ReplyDelays
from mimosapost.relay.return_times import ReturnTimes
from mimosapost.relay.rewound_source import RewoundSource
from mimosapost.relay.room import RoomTable
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.server_signals import ServerSignals
from mimosapost.relay.weighted_round_robin import WeightedRoundRobin
from mimosapost.suspects.tracker import SuspectTracker

__all__ = [
    "GatheredParts",
    "HedgeDue",
    "HeldPart",
    "InstanceSettings",
    "OpenGather",
    "OpenRequest",
    "OpenSend",
    "Part",
    "RelayState",
    "ServedGather",
    "Trial",
    "TrialPermit",
    "UnansweredSend",
    "create_relay_state",
]


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Location of the instance and time limits of its graceful stop.

    :param name: name of the instance.
    :param domain: failure domain of the instance.
    :param region: region of the instance.
    :param regions: region of each failure domain.
    :param drain_us: time in microseconds after a stop request during which the load balancer
        may still send callers.
    :param stop_us: time in microseconds after a stop request by which the process must end.
    :param peer_address: ``ip:port`` where the instance accepts peer links; empty for an
        instance that works alone.
    :param seed_addresses: peer addresses of some instances, which may be out of date.
    :param caller_round_trip_us: round trip to callers in microseconds, assumed where the
        connection does not tell it.
    :param reply_delay_us: delay in microseconds that is assumed for the timer of a reply, and
        for its way, until replies were observed.
    :param limit_rules: tolerance of the limits of workspaces over all instances.
    """

    name: str
    domain: str
    region: str
    regions: dict[str, str]
    drain_us: int = 3_200_000
    stop_us: int = 5_400_000
    peer_address: str = ""
    seed_addresses: tuple[str, ...] = ()
    caller_round_trip_us: int = 2_000
    reply_delay_us: int = 3_000
    limit_rules: LimitRules = field(default_factory=LimitRules)


@dataclass(slots=True)
class Part:
    """Progress of a request at one service.

    A gathered request has one part for each shard; a request to one server has a single part.

    :param sends: numbers of the open sends.
    :param tried_servers: ids of the servers that the part was sent to.
    :param possible_runs: number of sends that may have run.
    :param rejections: number of sends that certainly did not run.
    :param answered_us: time of the answer.
    :param done: whether the part was answered or has failed.
    :param waiting: whether the part waits for a server with room or for a retry.
    :param reason: why the part has no answer.
    :param is_counted: whether the budget for repeats has counted the part.
    :param shard: index of the service within the shards of the route.
    :param gather_ids: numbers of the open gathers at other instances that include the part.
    :param gathered: whether another instance gathered the answer.
    """

    service: str
    sends: list[int] = field(default_factory=list)
    tried_servers: list[str] = field(default_factory=list)
    possible_runs: int = 0
    rejections: int = 0
    answer: ServerAnswer | None = None
    answered_us: int = 0
    done: bool = False
    waiting: bool = False
    reason: str = ""
    is_counted: bool = False
    shard: int = 0
    gather_ids: list[int] = field(default_factory=list)
    gathered: bool = False

    @property
    def is_sent(self) -> bool:
        """Whether a send or a gather of the part is open."""
        return bool(self.sends or self.gather_ids)

    @property
    def is_answered(self) -> bool:
        """Whether the part has an answer, its own or a gathered one."""
        return self.gathered or self.answer is not None


@dataclass(frozen=True, slots=True)
class GatheredParts:
    """Merged answers of some shards, as another instance returned them.

    :param shards: indexes of the shards; their records can't be told apart.
    """

    shards: frozenset[int]
    signatures: tuple[str, ...]
    records: bytes


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """A part that is to be hedged once all events of the moment were applied.

    :param server_id: server that has not answered yet.
    :param waited_us: time since that send, in microseconds.
    :param usual_us: time in which most answers arrive, in microseconds.
    :param is_direct: whether another instance refused to gather the part.
    """

    part: Part
    server_id: str
    waited_us: int
    usual_us: int
    is_direct: bool = False


@dataclass(frozen=True, slots=True)
class UnansweredSend:
    """A send that ended without an answer, until its server answers another one or ends.

    :param ended_us: time at which the send ended.
    :param sent_us: time at which it started.
    :param is_broken: whether the connection broke; otherwise the server was silent.
    :param ran_alone: whether no other send of this instance was open at the server.
    """

    ended_us: int
    sent_us: int
    is_broken: bool
    ran_alone: bool


@dataclass(frozen=True, slots=True)
class HeldPart:
    """A part that is not repeated before a probe shows whether its server crashed.

    :param waited_us: time for which the part waited for the answer, in microseconds.
    """

    request_number: int
    part: Part
    server_id: str
    waited_us: int
    reason: str


@dataclass(slots=True)
class OpenGather:
    """Parts of one query that another instance gathers.

    :param peer: name of that instance.
    :param distance: distance class of that instance.
    :param parts: parts without an outcome, with the server that this instance would have
        used, by index of the shard.
    :param is_hedge: whether the parts were sent before, so that the budget for repeats pays.
    :param is_reported: whether the other instance has reported the late parts.
    """

    gather_id: int
    request_number: int
    peer: str
    peer_address: str
    distance: int
    sent_us: int
    parts: dict[int, tuple[Part, ServerRecord]]
    is_hedge: bool = False
    is_reported: bool = False


@dataclass(slots=True)
class ServedGather:
    """Parts of a query that this instance gathers for another one.

    :param peer: name of the other instance.
    :param shards: index of the shard of each part, in the order of the parts.
    :param is_hedge: whether the parts are hedges.
    :param overdue_us: time from which parts without an outcome count as late.
    :param reported: positions of the parts whose outcome was sent.
    :param is_reported: whether the late parts were reported; further answers are then sent at
        once, each in a message of its own, because a hedge may bring the same part.
    :param report_due: whether a timer for the next answer is set.
    """

    gather_id: int
    peer: str
    peer_address: str
    shards: tuple[int, ...]
    is_hedge: bool = False
    overdue_us: int = 0
    reported: set[int] = field(default_factory=set)
    is_reported: bool = False
    report_due: bool = False


@dataclass(slots=True)
class Trial:
    """Requests of this instance with one fingerprint, which may run one at a time.

    :param trial_id: number of the last message to the coordinator.
    :param coordinator: name of the instance that permits the trials.
    :param requested_us: time of that message.
    :param is_heard: whether the coordinator replied to it.
    :param passed_over: names of coordinators that did not reply.
    :param waiting: numbers of the requests that wait, by age.
    :param runner: number of the request that may run, or 0.
    :param started_us: time since which it may run.
    :param has_failed: whether a server crashed under it.
    """

    trial_id: int
    coordinator: str = ""
    requested_us: int = 0
    is_heard: bool = False
    passed_over: list[str] = field(default_factory=list)
    waiting: list[int] = field(default_factory=list)
    runner: int = 0
    started_us: int = 0
    has_failed: bool = False


@dataclass(slots=True)
class TrialPermit:
    """Permit for the trial of a request, at the coordinator of the request.

    :param holder: name of the instance that may run the request, or an empty string.
    :param trial_id: number that the holder gave the trial.
    :param until_us: time at which a trial without a result is lost.
    :param held_until_us: time until which no trial is permitted.
    :param waiting: numbers that other instances gave their trials, by name of the instance.
    """

    holder: str = ""
    trial_id: int = 0
    until_us: int = 0
    held_until_us: int = 0
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class OpenRequest:
    """A request that has no reply yet.

    :param version: configuration version that was current when the request was admitted.
    :param answered: number of parts with an answer.
    :param open_parts: number of parts that were neither answered nor failed.
    :param reply_due_us: time at which a gathered reply must leave to be in time.
    :param past_goal: whether that time has passed.
    :param stragglers_hedged: whether early hedges of the last parts were scheduled.
    :param held_hedges: hedges of a query that wait for its first answer.
    :param failed_answer: last signed answer with a server error.
    :param gather_ids: numbers of the gathers that were started for the request.
    :param gathered_parts: answers that other instances gathered.
    :param served: for parts that are gathered for another instance.
    :param trial: part of a suspect that runs alone before the others are sent.
    :param parts_after_trial: parts that wait for the permit of the trial or for its answer.
    :param passed_trial: whether the trial was answered.
    :param retry_after_us: time in microseconds until a denied trial may be asked for again.
    :param workspace: workspace of the caller, or ``None`` if the request needed no key.
    """

    request: RelayRequest
    route: Route
    version: int
    arrived_us: int
    deadline_us: int
    parts: list[Part]
    answered: int = 0
    open_parts: int = 0
    hedges: int = 0
    retries: int = 0
    reply_due_us: int = 0
    past_goal: bool = False
    stragglers_hedged: bool = False
    held_hedges: list[HedgeDue] = field(default_factory=list)
    failed_answer: ServerAnswer | None = None
    gather_ids: list[int] = field(default_factory=list)
    gathered_parts: list[GatheredParts] = field(default_factory=list)
    served: ServedGather | None = None
    trial: Part | None = None
    parts_after_trial: list[Part] = field(default_factory=list)
    passed_trial: bool = False
    retry_after_us: int = 0
    workspace: Workspace | None = None


@dataclass(slots=True)
class OpenSend:
    """A send, from the effect that starts it until the edge reports its outcome.

    :param is_repeat: whether the send is a hedge or a retry, paid from the budget for repeats.
    :param abandoned_us: time at which the send was given up, or 0.
    :param ran_alone: whether the request is a suspect and runs alone at the server.
    :param goal_us: latency objective of the route, in microseconds.
    :param work_us: usual time of the work at the server, in microseconds.
    """

    send_id: int
    request_number: int
    part: Part
    record: ServerRecord
    pool: LatencyPool
    sent_us: int
    fingerprint: int
    is_repeat: bool
    abandoned_us: int = 0
    ran_alone: bool = False
    goal_us: int = 0
    work_us: float = 0.0


@dataclass(slots=True)
class RelayState:
    """Complete state of the relay; only event and timer handlers change it.

    :param servers_listed: whether a complete server list has been read.
    :param is_introduced: whether another instance has told which requests it refuses, or the
        time for that is over.
    :param held_requests: requests that wait for the first configuration, by number.
    :param first_held_us: time of the first of them, or 0.
    :param cold_rates: rate of sends to each cold server that was considered, by server id.
    :param waiting: parts that wait for servers with room, by service, with the rank of the
        route and the number of the request.
    :param parts_to_retry: parts that wait for a delayed retry, by timer key.
    :param pending_removals: servers that are removed unless they are listed again, by timer
        key.
    :param leaving_checks: servers that said that they leave, and are used again if the source
        contradicts them, by timer key.
    :param dropped_signals: process start and signals of dropped servers, by id, oldest first.
    :param rewound: what is known beyond a source that returned from an older copy.
    :param source_lost_us: time at which the source was lost, or 0 if it is reachable.
    :param source_regained_us: time at which the source last recovered, or 0.
    :param services_to_dispatch: services whose waiting parts may now find a server with room.
    :param hedges_due: parts to hedge after the current event, by request number.
    :param peers: other instances, or ``None`` for an instance that works alone.
    :param feed: what was read of the source, and who reads it for whom.
    :param pending_notes: stage of each queued note on a server, by server id.
    :param unanswered: sends without an answer that may have crashed their server, by address
        of the server and by fingerprint.
    :param unanswered_checked_us: time at which old ones were last discarded.
    :param held_parts: parts that wait for the probe of a server, by its address.
    :param pending_suspects: stage of each queued note on a suspect, by fingerprint.
    :param trials: requests that need to run alone, by fingerprint.
    :param trial_permits: permits for such runs that this instance gave, by fingerprint.
    :param requests_to_try: numbers of the requests that need a permit since this event.
    :param services_by_timer: services whose waiting parts are tried again, by timer key.
    :param unsent_parts: waiting parts that turned out to have no server, with the number of the
        request.
    :param reply_delays: delays of the replies of this instance.
    :param gathers: open gathers at other instances, by number.
    :param served_gathers: request number of each open gather for another instance, by the name
        of that instance and the number of the gather.
    :param limits: limits of workspaces.
    :param started_us: time at which the process started.
    :param room: services that are short of room, and demand.
    :param returns: times given to the callers that were refused for lack of room.
    """

    instance_settings: InstanceSettings
    rng: random.Random
    timers: Timers = field(default_factory=Timers)
    catalog: Catalog | None = None
    servers_listed: bool = False
    is_introduced: bool = True
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    by_service: dict[str, list[ServerRecord]] = field(default_factory=dict)
    domains_out: frozenset[str] = frozenset()
    held_requests: dict[int, RelayRequest] = field(default_factory=dict)
    first_held_us: int = 0
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    sends: dict[int, OpenSend] = field(default_factory=dict)
    pools: dict[str, tuple[LatencyPool, ...]] = field(default_factory=dict)
    round_robins: dict[str, tuple[Route, WeightedRoundRobin]] = field(default_factory=dict)
    budgets: dict[str, SendBudget] = field(default_factory=dict)
    cold_rates: dict[str, SendRate] = field(default_factory=dict)
    waiting: dict[str, list[tuple[int, int, Part]]] = field(default_factory=dict)
    parts_to_retry: dict[int, tuple[int, Part]] = field(default_factory=dict)
    suspects: SuspectTracker = field(default_factory=SuspectTracker)
    pending_removals: dict[int, str] = field(default_factory=dict)
    leaving_checks: dict[int, str] = field(default_factory=dict)
    dropped_signals: dict[str, tuple[int, ServerSignals]] = field(default_factory=dict)
    rewound: RewoundSource = field(default_factory=RewoundSource)
    source_lost_us: int = 0
    source_regained_us: int = 0
    next_send_id: int = 1
    next_timer_key: int = 1
    stop_requested_us: int = 0
    services_to_dispatch: set[str] = field(default_factory=set)
    hedges_due: dict[int, list[HedgeDue]] = field(default_factory=dict)
    peers: PeerState | None = None
    feed: FeedState = field(default_factory=FeedState)
    pending_notes: dict[str, int] = field(default_factory=dict)
    unanswered: dict[str, dict[int, UnansweredSend]] = field(default_factory=dict)
    unanswered_checked_us: int = 0
    held_parts: dict[str, list[HeldPart]] = field(default_factory=dict)
    pending_suspects: dict[int, int] = field(default_factory=dict)
    trials: dict[int, Trial] = field(default_factory=dict)
    trial_permits: dict[int, TrialPermit] = field(default_factory=dict)
    requests_to_try: list[int] = field(default_factory=list)
    next_trial_id: int = 1
    services_by_timer: dict[int, str] = field(default_factory=dict)
    unsent_parts: list[tuple[int, Part]] = field(default_factory=list)
    reply_delays: ReplyDelays = field(default_factory=ReplyDelays)
    gathers: dict[int, OpenGather] = field(default_factory=dict)
    served_gathers: dict[tuple[str, int], int] = field(default_factory=dict)
    next_gather_id: int = 1
    next_served_number: int = -1
    limits: LimitState = field(default_factory=LimitState)
    started_us: int = 0
    room: RoomTable = field(default_factory=RoomTable)
    returns: ReturnTimes = field(default_factory=ReturnTimes)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this instance."""
        return self.can_admit() and not self.stop_requested_us

    def can_admit(self) -> bool:
        """Return whether requests can be sent to servers."""
        return self.catalog is not None and self.servers_listed and self.is_introduced

    def get_pools(self, route: Route) -> tuple[LatencyPool, ...]:
        """Return the answer times of a route by distance class."""
        pools = self.pools.get(route.name)
        if pools is None:
            pools = tuple(LatencyPool(distance) for distance in DISTANCES)
            self.pools[route.name] = pools
        return pools

    def get_budget(self, service: str) -> SendBudget:
        """Return the budget for hedges and retries at a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = SendBudget(
                repeats.REPEAT_RATIO, repeats.REPEAT_BURST
            )
        return budget


def create_relay_state(instance_settings: InstanceSettings, seed: int) -> RelayState:
    """Create the initial state of an instance.

    :param instance_settings: location of the instance and time limits of its stop.
    :param seed: seed of the random numbers used in decisions.
    """
    state = RelayState(instance_settings, random.Random(seed))
    if instance_settings.peer_address:
        own = InstanceIdentity(
            instance_settings.name,
            state.rng.getrandbits(63),
            NO_SEAT,
            instance_settings.domain,
            instance_settings.region,
            instance_settings.peer_address,
        )
        state.peers = PeerState(
            own,
            instance_settings.regions,
            instance_settings.seed_addresses,
            MemberTable(own),
        )
        # Answers to messages of an earlier process must not match those of this one.
        state.next_gather_id = state.rng.getrandbits(48)
        state.next_trial_id = state.rng.getrandbits(48)
        state.limits.next_report_id = own.incarnation >> 15
    return state
