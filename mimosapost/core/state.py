"""State of one instance; only the reducer and its handlers change it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosapost.core.leaf_queue import LeafQueue
from mimosapost.core.timers import Timers
from mimosapost.limits.admission_queue import AdmissionQueue
from mimosapost.limits.budgets import SendBudget
from mimosapost.limits.leases import LeaseTable
from mimosapost.limits.warmup import WarmupTable
from mimosapost.membership.config_store import ConfigStore
from mimosapost.membership.gossip_exchange import GossipExchange
from mimosapost.membership.members import MemberTable
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.published_settings import (
    CallerSettings,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.model.queries import Query
from mimosapost.planning.coverage import Coverage
from mimosapost.planning.plans import Plan
from mimosapost.routing.eligibility import EligibilityView
from mimosapost.routing.hedges import HedgePolicy
from mimosapost.routing.latency import LatencyTracker
from mimosapost.routing.silence_detection import SilenceDetector
from mimosapost.suspects.tracker import SuspectTracker
from mimosapost.tickets.store import TicketStore

__all__ = [
    "ForwardedQuery",
    "LeafState",
    "OpenQuery",
    "OpenSend",
    "Policy",
    "ServerState",
    "ServiceState",
    "State",
    "create_state",
]

HEDGE_BUDGET_RATIO = 0.05
RETRY_BUDGET_RATIO = 0.10
# Tokens that a hedge or retry budget can hold. A query to 180 leafs hedges about 7 of them at
# the same moment. In the Monte Carlo simulation of bench.hedging, a burst of 10 tokens gave the
# p99 of the naive tier; bursts of 20 and more did not.
BUDGET_BURST = 40


@dataclass(frozen=True, slots=True)
class Policy:
    """Parameters of the decision path that tests and baselines override.

    :param max_deadline_us: longest time that a query may take; the lease table relies on it.
    :param lease_us: validity of an acknowledged heartbeat.
    :param heartbeat_us: period of heartbeats and gossip.
    :param housekeeping_us: period of the checks that no external event triggers.
    :param pause_us: gap between events above which the process is taken to have paused.
    :param answer_margin_us: time reserved for merging and sending the answer.
    :param join_us: longest wait for peers before an instance serves.
    :param drain_us: time that the load balancer needs to stop sending queries.
    :param stop_us: longest time from a stop request to the end of serving.
    :param suspect_notice_us: time for peers to learn of a suspect before its caller can send it
        again; one way between regions takes 12 ms.
    :param live_evidence_us: age up to which the last answer of a server counts as evidence that
        it is live; a suspect request runs only if at least two servers of its leaf are.
    :param max_attempts: largest number of sends of one leaf, without hedges.
    :param max_hedges: largest number of hedges of one leaf.
    :param hedge: whether repeatable queries are hedged.
    """

    max_deadline_us: int = 2_000_000
    lease_us: int = 1_000_000
    heartbeat_us: int = 500_000
    housekeeping_us: int = 50_000
    pause_us: int = 500_000
    answer_margin_us: int = 3_000
    join_us: int = 2_000_000
    drain_us: int = 3_000_000
    stop_us: int = 30_000_000
    suspect_notice_us: int = 30_000
    live_evidence_us: int = 1_000_000
    max_attempts: int = 3
    max_hedges: int = 2
    hedge: bool = True


@dataclass(slots=True)
class LeafState:
    """Progress of one leaf of an open query."""

    settings: LeafSettings
    entry: tuple[int, str]
    done: bool = False
    waiting: bool = False
    waiting_servers: list[str] = field(default_factory=list)
    attempts: int = 0
    hedges: int = 0
    open_sends: list[int] = field(default_factory=list)
    tried_servers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class OpenQuery:
    """A query that has no answer yet."""

    query: Query
    service: ServiceSettings
    arrived_us: int
    plan: Plan | None = None
    coverage: Coverage | None = None
    leaf_states: dict[str, LeafState] = field(default_factory=dict)
    open_leafs: int = 0
    suspect: bool = False
    hedge_delay_us: int = 0
    ticket_number: int = 0
    ran: bool = False
    unknown_sends: int = 0
    joined_queries: dict[int, Query] = field(default_factory=dict)


@dataclass(slots=True)
class OpenSend:
    """A send, from its emission until the edge confirms its end."""

    send_id: int
    query_id: int
    service: str
    leaf: str
    slot: SlotSettings
    sent_us: int
    deadline_us: int
    fingerprint: int
    repeatable: bool
    suspect: bool
    hedge: bool
    wasted: bool = False
    closing: bool = False


@dataclass(slots=True)
class ServerState:
    """What this instance knows about one backend server."""

    address: str
    sends: set[int] = field(default_factory=set)
    exclusive: bool = False
    load: float = 0.0
    load_reported_us: int = 0
    boot_id: str = ""
    down: bool = False
    last_answer_us: int = -(2**62)
    probe_due_us: int = 0
    probe_backoff_us: int = 0
    probing: bool = False
    crash_fingerprints: set[int] = field(default_factory=set)
    crash_boot_id: str = ""
    crash_ran_alone: bool = False
    leafs_awaiting_probe: list[tuple[int, str]] = field(default_factory=list)
    waiting: LeafQueue = field(default_factory=LeafQueue)


@dataclass(slots=True)
class ServiceState:
    """A service of the newest accepted configuration, with its queues and budgets."""

    team: str
    settings: ServiceSettings
    view: EligibilityView
    slots: dict[str, SlotSettings]
    queue: AdmissionQueue
    hedge_budget: SendBudget
    retry_budget: SendBudget
    open_queries: int = 0
    index_floor: tuple[int, int] = (0, 0)


@dataclass(slots=True)
class ForwardedQuery:
    """A query that was forwarded to the issuer of its ticket."""

    query: Query
    peer: str


@dataclass(slots=True)
class State:
    """State of one instance, which only the event handlers change."""

    identity: InstanceIdentity
    policy: Policy
    rng: random.Random
    configs: ConfigStore
    members: MemberTable
    exchange: GossipExchange
    leases: LeaseTable
    warmup: WarmupTable
    latency: LatencyTracker
    hedges: HedgePolicy
    silence: SilenceDetector
    suspects: SuspectTracker
    tickets: TicketStore
    timers: Timers
    ceiling: int
    started_us: int
    last_event_us: int
    seed_peers: tuple[str, ...] = ()
    services: dict[str, ServiceState] = field(default_factory=dict)
    servers: dict[str, ServerState] = field(default_factory=dict)
    published_servers: frozenset[str] = frozenset()
    callers: dict[str, CallerSettings] = field(default_factory=dict)
    caller_digests: dict[str, CallerSettings] = field(default_factory=dict)
    open_queries_by_caller: dict[str, int] = field(default_factory=dict)
    queries: dict[int, OpenQuery] = field(default_factory=dict)
    sends: dict[int, OpenSend] = field(default_factory=dict)
    forwards: dict[int, ForwardedQuery] = field(default_factory=dict)
    forwards_seen: dict[tuple[str, int, int], int] = field(default_factory=dict)
    query_ids_by_ticket: dict[int, int] = field(default_factory=dict)
    joined_to: dict[int, int] = field(default_factory=dict)
    reply_to: dict[int, tuple[str, int]] = field(default_factory=dict)
    leaving_addresses: frozenset[str] = frozenset()
    regions: dict[str, str] = field(default_factory=dict)
    fleet_domains_out: frozenset[str] = frozenset()
    next_send_id: int = 1
    next_forward_id: int = 1
    next_internal_id: int = -1
    waiting_leafs: int = 0
    held_leafs: dict[int, list[tuple[int, str]]] = field(default_factory=dict)
    next_hold_id: int = 1
    dirty_services: set[str] = field(default_factory=set)
    dirty_servers: set[str] = field(default_factory=set)
    resumed_us: int = 0
    joined: bool = False
    peer_addresses: dict[str, str] = field(default_factory=dict)
    teams: dict[str, TeamTree] = field(default_factory=dict)
    stop_requested_us: int = 0
    stopped: bool = False

    def is_draining(self, now_us: int) -> bool:
        """Return whether new queries are refused because of a graceful stop."""
        requested = self.stop_requested_us
        return bool(requested) and now_us >= requested + self.policy.drain_us

    def is_ready(self, now_us: int) -> bool:
        """Return whether the load balancer may send queries to this instance."""
        configured = self.configs.get_fleet() is not None and bool(self.services)
        usable = self.leases.describe(now_us).usable_in_us == 0
        return configured and usable and self.joined and not self.stop_requested_us


def create_state(
    identity: InstanceIdentity,
    check: Callable,
    secret: bytes,
    seed: int,
    now_us: int,
    policy: Policy | None = None,
    ceiling: int = 4,
    seed_peers: tuple[str, ...] = (),
) -> State:
    """Create the state of an instance that has just started.

    :param identity: identity of the instance.
    :param check: pure function that checks a published subtree, as in :class:`ConfigStore`.
    :param secret: random key that authenticates tickets.
    :param seed: seed of the random numbers that decisions use.
    :param now_us: monotonic time in microseconds.
    :param policy: parameters of the decision path.
    :param ceiling: largest number of instances, until the fleet subtree sets it.
    :param seed_peers: addresses of the peers that get gossip before this instance serves.
    """
    policy = policy or Policy()
    rng = random.Random(seed)
    configs = ConfigStore(check)
    members = MemberTable(identity)
    latency = LatencyTracker()
    return State(
        identity=identity,
        policy=policy,
        rng=rng,
        configs=configs,
        members=members,
        exchange=GossipExchange(identity, members, configs, rng),
        leases=create_leases(identity, ceiling, now_us, policy),
        warmup=WarmupTable(),
        latency=latency,
        hedges=HedgePolicy(latency),
        silence=SilenceDetector(),
        suspects=SuspectTracker(),
        tickets=TicketStore(identity.name, identity.incarnation, secret),
        timers=Timers(),
        ceiling=ceiling,
        started_us=now_us,
        last_event_us=now_us,
        seed_peers=seed_peers,
        joined=not seed_peers,
    )


def create_leases(
    identity: InstanceIdentity, ceiling: int, now_us: int, policy: Policy
) -> LeaseTable:
    """Create the lease table of an instance for a largest number of instances."""
    return LeaseTable(
        identity.seat,
        identity.incarnation,
        ceiling,
        now_us,
        policy.lease_us,
        policy.max_deadline_us,
    )
