"""State of the relay, owned by its reducer alone."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from mimosapost.core.timers import Timers
from mimosapost.limits.budgets import Budget
from mimosapost.relay import repeats
from mimosapost.relay.catalog import Catalog, Route
from mimosapost.relay.exchanges import RelayRequest, ServerAnswer
from mimosapost.relay.latency_pools import DISTANCES, LatencyPool
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.warmup import ColdAllowance
from mimosapost.relay.weighted_round_robin import WeightedRoundRobin
from mimosapost.suspects.book import SuspectBook

__all__ = ["OpenRequest", "OpenSend", "Part", "Place", "RelayState", "create_relay_state"]


@dataclass(frozen=True, slots=True)
class Place:
    """Where the instance runs.

    :param regions: region of each failure domain.
    :param drain_us: time after a stop request in which the balancer still sends callers.
    :param stop_us: time after a stop request by which the process must have ended.
    """

    name: str
    domain: str
    region: str
    regions: dict[str, str]
    drain_us: int = 3_200_000
    stop_us: int = 5_400_000


@dataclass(slots=True)
class Part:
    """Progress of a request at one service; a request to one server has one part.

    :param sends: numbers of the sends that are open.
    :param tried: servers that the part was sent to.
    :param runs: sends that may have run.
    :param rejections: sends that certainly did not run.
    :param answered_us: time of its answer.
    :param reason: why the part is missing.
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


@dataclass(slots=True)
class OpenRequest:
    """A request that has no reply yet."""

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
    past_goal: bool = False
    stragglers_hedged: bool = False
    failed_answer: ServerAnswer | None = None


@dataclass(slots=True)
class OpenSend:
    """A send from its effect until the edge confirms its end.

    :param repeats: whether it drew on the budget for repeats.
    :param abandoned_us: time since which its answer is no longer needed, or 0.
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


@dataclass(slots=True)
class RelayState:
    """Everything the relay knows. Only handlers change it.

    :param early: requests that wait for the first configuration.
    """

    place: Place
    rng: random.Random
    timers: Timers = field(default_factory=Timers)
    catalog: Catalog | None = None
    servers_listed: bool = False
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    by_service: dict[str, list[ServerRecord]] = field(default_factory=dict)
    domains_out: frozenset[str] = frozenset()
    held_requests: dict[int, RelayRequest] = field(default_factory=dict)
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    sends: dict[int, OpenSend] = field(default_factory=dict)
    pools: dict[str, tuple[LatencyPool, ...]] = field(default_factory=dict)
    round_robins: dict[str, tuple[Route, WeightedRoundRobin]] = field(default_factory=dict)
    budgets: dict[str, Budget] = field(default_factory=dict)
    cold_allowances: dict[str, ColdAllowance] = field(default_factory=dict)
    waiting: dict[str, list[tuple[int, int, Part]]] = field(default_factory=dict)
    parts_to_retry: dict[int, tuple[int, Part]] = field(default_factory=dict)
    suspects: SuspectBook = field(default_factory=SuspectBook)
    pending_removals: dict[int, str] = field(default_factory=dict)
    source_lost_us: int = 0
    source_regained_us: int = 0
    next_send_id: int = 1
    next_timer_key: int = 1
    stop_requested_us: int = 0
    services_to_dispatch: set[str] = field(default_factory=set)

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this instance."""
        return self.catalog is not None and self.servers_listed and not self.stop_requested_us

    def get_pools(self, route: Route) -> tuple[LatencyPool, ...]:
        """Return the answer times of a route by distance."""
        pools = self.pools.get(route.name)
        if pools is None:
            pools = tuple(LatencyPool(distance) for distance in DISTANCES)
            self.pools[route.name] = pools
        return pools

    def get_budget(self, service: str) -> Budget:
        """Return the budget for repeats at a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(repeats.REPEAT_RATIO, repeats.REPEAT_BURST)
        return budget


def create_relay_state(place: Place, seed: int) -> RelayState:
    """Create the state of an instance that has just started.

    :param place: where the instance runs.
    :param seed: seed of the random numbers that decisions use.
    """
    return RelayState(place, random.Random(seed))
