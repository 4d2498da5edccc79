"""Measurements of published trees, open queries, tickets and backend servers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from mimosapost.bench.fixtures import (
    VirtualClock,
    create_query,
    create_team_tree,
    encode_tree,
    start_instance,
)
from mimosapost.bench.reducer_slopes import QueryRun
from mimosapost.bench.slopes import (
    Scale,
    Series,
    measurement,
    time_workloads,
    trace_bytes,
    trace_peak_bytes,
)
from mimosapost.core.reducer import reduce
from mimosapost.model.codes import ResultCode, RunState
from mimosapost.model.events import ConfigRead, QueryArrived, Ticked
from mimosapost.model.identities import Snapshot
from mimosapost.model.queries import Answer
from mimosapost.tickets.store import TicketStore

__all__ = [
    "measure_housekeeping",
    "measure_open_queries",
    "measure_subtree_changes",
    "measure_tickets",
    "measure_trees",
    "measure_used_servers",
]

_TEAM = "desk"


def _trace_subtree_bytes(seed: int, services: int, leafs: int, slots: int) -> int:
    """Return the bytes that a state keeps allocated for one published subtree."""
    text = encode_tree(create_team_tree(_TEAM, services, leafs, slots))
    clock = start_instance(seed, ())

    def publish() -> None:
        # Outside a benchmark the text is allocated when it is read from a socket. The copy adds
        # these bytes to the sum.
        reduce(clock.state, ConfigRead(clock.now_us, _TEAM, 1, bytes(bytearray(text))))

    used_bytes = trace_bytes(publish)
    if len(clock.state.services) != services:
        raise RuntimeError(
            f"subtree was refused: {len(clock.state.services)} services, expected {services}"
        )
    return used_bytes


@measurement("trees")
def measure_trees(scale: Scale) -> Iterable[Series]:
    """Measure the memory of a published subtree against its services, leafs and slots.

    Each series varies one of the three numbers.
    """
    shapes: tuple[tuple[str, Callable[[int], tuple[int, int, int]]], ...] = (
        ("services", lambda size: (size, 2, 2)),
        ("leafs", lambda size: (1, size, 2)),
        ("slots", lambda size: (1, 200, size // 200)),
    )
    sizes = {
        "services": scale.choose_sizes((50, 100, 200, 400), (1, 2, 3, 4)),
        "leafs": scale.choose_sizes((200, 400, 800, 1_600), (2, 4, 6, 8)),
        "slots": scale.choose_sizes((200, 400, 600, 800), (200, 400, 600, 800)),
    }
    for name, get_shape in shapes:
        points = tuple(
            (size, _trace_subtree_bytes(scale.seed, *get_shape(size))) for size in sizes[name]
        )
        yield Series(f"published tree: {name}", "B", name, points)
    points = tuple(
        (leafs, len(encode_tree(create_team_tree(_TEAM, 1, leafs, 3))))
        for leafs in sizes["leafs"]
    )
    yield Series("published text: leafs of 3", "B", "leafs of 3 slots", points)


@measurement("servers")
def measure_used_servers(scale: Scale) -> Iterable[Series]:
    """Measure the memory that the state needs for each server that has answered sends."""
    points = []
    for leafs in scale.choose_sizes((100, 200, 400, 800), (2, 4, 6, 8)):
        clock = start_instance(scale.seed, (create_team_tree(_TEAM, 1, leafs, 1),))
        run = QueryRun(clock, leafs)
        # The median latency of a server is computed from batches of 15 answers, so 20 answers
        # fill one batch. ``and None`` drops the list, whose bytes would count too.
        used_bytes = trace_bytes(lambda run=run: [run.run_query() for _ in range(20)] and None)
        points.append((leafs, used_bytes))
    yield Series("server in use", "B", "servers", tuple(points))


@measurement("housekeeping")
def measure_housekeeping(scale: Scale) -> Iterable[Series]:
    """Measure one housekeeping round against the number of servers, with no send open."""
    workloads = []
    for leafs in scale.choose_sizes((400, 800, 1_600, 3_200), (2, 4, 6, 8)):
        clock = start_instance(scale.seed, (create_team_tree(_TEAM, 1, leafs, 3),))
        # No heartbeat or gossip becomes due, so that only housekeeping is measured.
        clock.state.policy = replace(clock.state.policy, heartbeat_us=10**15)
        clock.advance(1_000_000)
        run = QueryRun(clock, leafs)
        while len(clock.state.servers) < 3 * leafs:
            run.run_query()
        clock.advance(1_000_000)

        def tick(clock: VirtualClock = clock) -> None:
            clock.now_us += clock.state.policy.housekeeping_us
            reduce(clock.state, Ticked(clock.now_us))

        workloads.append((3 * leafs, tick))
    points = time_workloads(workloads, 5 * scale.rounds)
    yield Series("one housekeeping round", "us", "servers", points)


@measurement("subtrees")
def measure_subtree_changes(scale: Scale) -> Iterable[Series]:
    """Measure checking and applying a changed subtree against the bytes of its text.

    The state also holds the subtrees of other teams, because each change recomputes the
    eligibility views of all services.
    """
    other_teams, leafs = (1, 2) if scale.small else (20, 180)
    trees = tuple(
        create_team_tree(f"team-{number:02}", 1, leafs, 3, first_leaf=number * leafs)
        for number in range(other_teams)
    )
    clock = start_instance(scale.seed, trees)
    version = 1
    changes, encodings, peaks = [], [], []
    for changed_leafs in scale.choose_sizes((50, 200, 600, 1_200, 2_400), (2, 4, 6, 8)):
        size = len(encode_tree(create_team_tree(_TEAM, 1, changed_leafs, 3)))
        tree = create_team_tree(_TEAM, 1, changed_leafs, 3, first_leaf=5_000)

        def apply_change(tree: object = tree) -> None:
            nonlocal version
            version += 1
            text = encode_tree(replace(tree, version=version))
            clock.now_us += 1_000
            reduce(clock.state, ConfigRead(clock.now_us, _TEAM, version, text))

        def encode(tree: object = tree) -> None:
            encode_tree(replace(tree, version=version))

        changes.append((size, apply_change))
        encodings.append((size, encode))
        apply_change()
        peaks.append((size, trace_peak_bytes(apply_change)))
    change_us = time_workloads(changes, scale.rounds)
    if clock.state.configs.get_team(_TEAM).version != version:
        raise RuntimeError(f"changed subtree was refused, expected version {version}")
    # The publisher encodes the text, not the instance, so the time of encoding is subtracted.
    encoding_us = dict(time_workloads(encodings, scale.rounds))
    points = tuple((size, spent_us - encoding_us[size]) for size, spent_us in change_us)
    yield Series("change of a subtree", "us", "bytes of text", points)
    yield Series("change of a subtree: peak", "B", "bytes of text", tuple(peaks))


@measurement("open queries")
def measure_open_queries(scale: Scale) -> Iterable[Series]:
    """Measure the memory of queries whose sends all wait for answers."""
    leafs = 4 if scale.small else 180
    points = []
    for count in scale.choose_sizes((10, 20, 40, 80), (1, 2, 3, 4)):
        clock = start_instance(scale.seed, (create_team_tree(_TEAM, 1, leafs, 3),))
        run = QueryRun(clock, leafs)
        for _ in range(5):
            run.run_query()

        def open_all(
            clock: VirtualClock = clock, run: QueryRun = run, count: int = count
        ) -> object:
            effects = []
            for number in range(count):
                query = create_query(10_000 + number, run.services[0], _TEAM, clock.now_us)
                # The edge also holds the effects of a query until the answers arrive.
                effects.append(reduce(clock.state, QueryArrived(clock.now_us, query)))
            return effects

        points.append((count * leafs, trace_bytes(open_all)))
        if len(clock.state.queries) != count:
            raise RuntimeError(
                f"query was refused: {len(clock.state.queries)} are open, expected {count}"
            )
    yield Series("open sends of queries", "B", "open sends", tuple(points))


@measurement("tickets")
def measure_tickets(scale: Scale) -> Iterable[Series]:
    """Measure the memory and the processor time of tickets with stored answers of 180 leafs."""
    covered = tuple(f"leaf-{number:04}" for number in range(180))
    memory, workloads = [], []
    for count in scale.choose_sizes((500, 1_000, 2_000, 4_000), (10, 20, 30, 40)):

        def fill(count: int = count) -> TicketStore:
            store = TicketStore("entry-000", 1, b"k" * 32)
            for number in range(count):
                ticket = store.issue("school", number)
                decision = store.begin(ticket, "school", number, number)
                result = [{"key": f"item-{number}", "score": k} for k in range(10)]
                answer = Answer(
                    ResultCode.COMPLETE, RunState.RAN, result, Snapshot(1, 7), covered
                )
                store.finish(decision.number, answer)
            if len(store) != count:
                raise RuntimeError(
                    f"ticket was refused: {len(store)} are stored, expected {count}"
                )
            return store

        memory.append((count, trace_bytes(fill)))
        workloads.append((count, fill))
    yield Series("used tickets", "B", "tickets", tuple(memory))
    yield Series(
        "tickets: issue, begin, finish",
        "us",
        "tickets",
        time_workloads(workloads, scale.rounds),
    )
