"""Published trees, instance states and queries of any size, for benchmarks."""

from __future__ import annotations

import msgspec

from mimosapost.core.reducer import reduce, start
from mimosapost.core.state import State, create_state
from mimosapost.model.codes import Priority
from mimosapost.model.events import ConfigRead, Ticked
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.published_settings import (
    CallerSettings,
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.model.queries import Query
from mimosapost.settings.published import check_subtree

__all__ = [
    "CALLER",
    "DOMAINS",
    "VirtualClock",
    "create_fleet_tree",
    "create_identity",
    "create_instance",
    "create_query",
    "create_team_tree",
    "encode_tree",
    "start_instance",
]

DOMAINS = tuple(f"zone-{number:02}" for number in range(11))
CALLER = "school"
# No benchmark reaches this limit, so no send waits: the benchmarks measure processor work,
# not waiting.
_UNREACHED_LIMIT = 100_000
# Exceeds the 2.1 s for which the lease table waits after a start before its limits are usable.
_STARTUP_US = 4_000_000


class VirtualClock:
    """Virtual clock that fires the timers of one instance state."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.now_us = state.started_us

    def advance(self, duration_us: int) -> None:
        """Advance the clock and fire the timers that become due in between.

        :param duration_us: time to advance in microseconds.
        """
        end_us = self.now_us + duration_us
        # Periodic timers fire 24 times a second, so the duration bounds the iterations.
        while (due_us := self.state.timers.get_next_due_us()) is not None and due_us <= end_us:
            self.now_us = max(self.now_us, due_us)
            reduce(self.state, Ticked(self.now_us))
        self.now_us = end_us


def create_identity(seat: int) -> InstanceIdentity:
    """Create the identity of the instance of a seat; domains are assigned round-robin."""
    domain_index = seat % len(DOMAINS)
    address = f"10.200.{seat // 250}.{seat % 250}:7000"
    return InstanceIdentity(
        f"entry-{seat:03}",
        seat + 1,
        seat,
        DOMAINS[domain_index],
        f"region-{domain_index % 3}",
        address,
    )


def create_team_tree(
    team: str, services: int, leafs: int, slots: int, version: int = 1, first_leaf: int = 0
) -> TeamTree:
    """Create a team's subtree in which each slot has its own server address.

    :param services: number of services.
    :param leafs: number of leafs of each service.
    :param slots: number of slots of each leaf.
    :param first_leaf: number of leafs in the subtrees of other teams, so that no address
        occurs twice.
    """
    service_settings = []
    for service in range(services):
        leaf_settings = []
        for leaf in range(leafs):
            number = first_leaf + service * leafs + leaf
            slot_settings = tuple(
                SlotSettings(
                    f"slot-{slot}",
                    f"10.{number // 250}.{number % 250}.{slot + 1}:8080",
                    DOMAINS[(number + 4 * slot) % len(DOMAINS)],
                )
                for slot in range(slots)
            )
            leaf_settings.append(LeafSettings(f"leaf-{leaf:04}", slot_settings))
        service_settings.append(
            ServiceSettings(
                f"{team}-service-{service:03}",
                1,
                7,
                tuple(leaf_settings),
                merge="top_k",
                connections=_UNREACHED_LIMIT,
                cold_limit=_UNREACHED_LIMIT,
                concurrency=_UNREACHED_LIMIT,
            )
        )
    names = tuple(service.name for service in service_settings)
    caller = CallerSettings(f"{CALLER}-{team}", "0" * 64, names, concurrency=_UNREACHED_LIMIT)
    return TeamTree(team, version, tuple(service_settings), (caller,))


def create_fleet_tree(teams: tuple[str, ...], ceiling: int) -> FleetTree:
    """Create the fleet's subtree, with 11 domains in 3 regions.

    :param ceiling: number of seats.
    """
    regions = {name: f"region-{number % 3}" for number, name in enumerate(DOMAINS)}
    return FleetTree(1, teams, regions, instance_ceiling=ceiling)


def encode_tree(tree: object) -> bytes:
    """Return a subtree as it is published, in JSON."""
    return msgspec.json.encode(tree)


def create_instance(seed: int, ceiling: int = 1) -> State:
    """Create the state of the instance of seat 0, before its first event."""
    return create_state(
        create_identity(0), check_subtree, b"k" * 32, seed, 1_000_000, ceiling=ceiling
    )


def start_instance(seed: int, trees: tuple[TeamTree, ...], ceiling: int = 1) -> VirtualClock:
    """Create a state, publish trees to it, and advance time until its limits are usable.

    :param seed: seed of the random decisions.
    :param trees: subtrees of teams.
    :param ceiling: number of seats.
    """
    clock = VirtualClock(create_instance(seed, ceiling))
    start(clock.state)
    fleet = create_fleet_tree(tuple(tree.team for tree in trees), ceiling)
    named_trees = [("fleet", fleet), *((tree.team, tree) for tree in trees)]
    for team, tree in named_trees:
        reduce(clock.state, ConfigRead(clock.now_us, team, tree.version, encode_tree(tree)))
    clock.advance(_STARTUP_US)
    return clock


def create_query(
    query_id: int, service: str, team: str, now_us: int, deadline_us: int = 1_000_000
) -> Query:
    """Create a repeatable query; its id is its fingerprint too.

    :param deadline_us: time from ``now_us`` to the deadline in microseconds.
    """
    return Query(
        query_id=query_id,
        service=service,
        caller=f"{CALLER}-{team}",
        body={"kind": "search", "term": "tutu", "size": 38, "colours": ["white", "rose"]},
        fingerprint=query_id,
        priority=Priority.NORMAL,
        deadline_us=now_us + deadline_us,
        repeatable=True,
        limit=10,
    )
