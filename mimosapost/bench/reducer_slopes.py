"""Measurements of the reducer's processor time for queries and their sub-requests."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable
from dataclasses import replace

from mimosapost.bench.fixtures import (
    VirtualClock,
    create_query,
    create_team_tree,
    start_instance,
)
from mimosapost.bench.slopes import Scale, Series, measurement
from mimosapost.core.reducer import reduce
from mimosapost.limits.budgets import SendBudget
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import AnswerCaller, CancelSend, Effect, EmitSend
from mimosapost.model.events import Event, QueryArrived, SendAnswered, SendFailed, Ticked
from mimosapost.model.queries import SubAnswer

__all__ = ["QueryRun", "measure_hedges", "measure_queries"]

_TEAM = "desk"
_ITEMS_PER_ANSWER = 5
# Simulated time from the first sends of a query to their answers.
_ANSWER_DELAY_US = 6_000
# After this time without an answer, every first send of a query has been hedged.
_HEDGES_SENT_US = 100_000
_DISABLED_INTERVAL_US = 10**15


class QueryRun:
    """Runs queries through the reducer and answers all sends of a query together.

    :param clock: virtual clock of a state with published services.
    :param leafs: number of leafs of each service.
    """

    def __init__(self, clock: VirtualClock, leafs: int) -> None:
        self.clock = clock
        self.leafs = leafs
        self.services = sorted(clock.state.services)
        self._next_id = 0
        self.spent_ns: dict[str, int] = {}

    def run_query(self, hedged: bool = False) -> None:
        """Run one query to its answer and add the processor time of each part to ``spent_ns``.

        :param hedged: whether to withhold the answers until every first send is hedged.
        :raises RuntimeError: if the number of sends, hedges or answers is not the expected one.
        """
        clock = self.clock
        service = self.services[self._next_id % len(self.services)]
        self._next_id += 1
        query = create_query(self._next_id, service, _TEAM, clock.now_us)
        effects = self._reduce_timed("first sends", [QueryArrived(clock.now_us, query)])
        sends = [effect for effect in effects if isinstance(effect, EmitSend)]
        if len(sends) != self.leafs:
            raise RuntimeError(f"query emitted {len(sends)} first sends, expected {self.leafs}")
        clock.advance(_ANSWER_DELAY_US)
        if hedged:
            self._hedge(sends)
        answers = [self._create_answer(send) for send in sends]
        effects = self._reduce_timed("answers", answers[:-1])
        effects += self._reduce_timed("last answer and merge", answers[-1:])
        if sum(isinstance(effect, AnswerCaller) for effect in effects) != 1:
            raise RuntimeError("query was not answered exactly once")
        withdrawn = [
            SendFailed(clock.now_us, e.send_id, FailureKind.WITHDRAWN, RunState.UNKNOWN)
            for e in effects
            if isinstance(e, CancelSend)
        ]
        self._reduce_timed("withdrawn sends", withdrawn)
        # The hedge timers of answered sends still fire later, which takes processor time too.
        clock.now_us += _HEDGES_SENT_US
        self._reduce_timed("timers", [Ticked(clock.now_us)])

    def _hedge(self, sends: list[EmitSend]) -> None:
        self.clock.now_us += _HEDGES_SENT_US
        effects = self._reduce_timed("hedges", [Ticked(self.clock.now_us)])
        hedges = sum(isinstance(effect, EmitSend) for effect in effects)
        if hedges != len(sends):
            raise RuntimeError(f"query emitted {hedges} hedges, expected {len(sends)}")

    def _create_answer(self, send: EmitSend) -> SendAnswered:
        request = send.request
        items = [
            {"key": f"{request.leaf}-{number}", "score": number * 37 % 101}
            for number in range(_ITEMS_PER_ANSWER)
        ]
        answer = SubAnswer(
            request.request_id,
            request.leaf,
            request.map_version,
            request.index_version,
            "boot-1",
            0.2,
            items,
        )
        return SendAnswered(self.clock.now_us, send.send_id, answer)

    def _reduce_timed(self, part: str, events: list[Event]) -> list[Effect]:
        state = self.clock.state
        effects: list[Effect] = []
        started_ns = time.process_time_ns()
        for event in events:
            effects += reduce(state, event)
        spent_ns = time.process_time_ns() - started_ns
        self.spent_ns[part] = self.spent_ns.get(part, 0) + spent_ns
        return effects


def _create_warm_run(scale: Scale, leafs: int) -> QueryRun:
    services = 2 if scale.small else max(1, 4_600 // leafs // 2)
    clock = start_instance(scale.seed, (create_team_tree(_TEAM, services, leafs, 3),))
    for service in clock.state.services.values():
        service.hedge_budget = SendBudget(1.0, 10 * leafs)
    # Other measurements cover the periodic work; here it would add to the time of a query.
    clock.state.policy = replace(
        clock.state.policy,
        housekeeping_us=_DISABLED_INTERVAL_US,
        heartbeat_us=_DISABLED_INTERVAL_US,
    )
    clock.advance(1_000_000)
    run = QueryRun(clock, leafs)
    for _ in range(services):
        run.run_query()
    return run


def _measure_parts(scale: Scale, hedged: bool) -> dict[int, dict[str, float]]:
    """Return the minimum processor time of each part of a query, in microseconds, by leafs."""
    sizes = scale.choose_sizes((20, 60, 120, 180), (2, 4, 6, 8))
    runs = [_create_warm_run(scale, leafs) for leafs in sizes]
    minimum_us: dict[int, dict[str, float]] = {leafs: {} for leafs in sizes}
    # Each round runs all sizes; ``time_workloads`` explains why.
    for _ in range(scale.rounds):
        for run in runs:
            queries = min(len(run.services), 12)
            # Hedged queries raise the measured median latency and so the hedge delay. Three
            # times as many normal queries before them keep both low.
            for _ in range(3 * queries if hedged else 0):
                run.run_query()
            run.spent_ns = {}
            for _ in range(queries):
                run.run_query(hedged)
            parts = minimum_us[run.leafs]
            for part, spent_ns in run.spent_ns.items():
                parts[part] = min(parts.get(part, math.inf), spent_ns / 1e3 / queries)
    return minimum_us


@measurement("queries")
def measure_queries(scale: Scale) -> Iterable[Series]:
    """Measure the parts of a query without hedges against the number of its leafs.

    The queries go to several services in turn, each with 3 slots per leaf, so that the tables
    of the state have the size of a large deployment. The sum of all parts includes the timers
    of the hedges that were not needed.
    """
    results = _measure_parts(scale, hedged=False)
    parts = ("first sends", "answers", "last answer and merge", "timers")
    for part in parts:
        points = tuple((leafs, results[leafs][part]) for leafs in results)
        yield Series(f"query: {part}", "us", "leafs of a query", points)
    points = tuple((leafs, sum(results[leafs][part] for part in parts)) for leafs in results)
    yield Series("query: all parts", "us", "leafs of a query", points)


@measurement("hedges")
def measure_hedges(scale: Scale) -> Iterable[Series]:
    """Measure hedging every leaf of a query, and ending the sends that the hedges overtook."""
    results = _measure_parts(scale, hedged=True)
    for part in ("hedges", "withdrawn sends"):
        points = tuple((leafs, results[leafs][part]) for leafs in results)
        yield Series(f"hedged query: {part}", "us", "hedges", points)
