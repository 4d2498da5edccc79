"""Processor time of the reducer for queries and sub-requests."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable
from dataclasses import replace

from mimosapost.bench.fixtures import Clock, create_query, create_team_tree, start_instance
from mimosapost.bench.slopes import Scale, Series, measurement
from mimosapost.core.reducer import reduce
from mimosapost.limits.budgets import SendBudget
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import AnswerCaller, CancelSend, Effect, EmitSend
from mimosapost.model.events import Event, QueryArrived, SendAnswered, SendFailed, Ticked
from mimosapost.model.queries import SubAnswer

__all__ = ["QueryRun", "measure_hedges", "measure_queries"]

_TEAM = "desk"
_ITEMS = 5
# Median of a sub-answer, and a time after which every send of a query has its hedge.
_SERVICE_US = 6_000
_HEDGED_US = 100_000
_NEVER_US = 10**15


class QueryRun:
    """Runs queries through a reducer and answers its sends at once.

    :param clock: state with published services, and its virtual time.
    :param leafs: leafs of each service.
    """

    def __init__(self, clock: Clock, leafs: int) -> None:
        self.clock = clock
        self.leafs = leafs
        self.services = sorted(clock.state.services)
        self._next_id = 0
        self.spent_ns: dict[str, int] = {}

    def run_query(self, hedged: bool = False) -> None:
        """Run one query to its answer; adds the processor time of each part to ``spent_ns``.

        :param hedged: let every first send wait until it is hedged.
        """
        clock = self.clock
        service = self.services[self._next_id % len(self.services)]
        self._next_id += 1
        query = create_query(self._next_id, service, _TEAM, clock.now_us)
        effects = self._time("first sends", [QueryArrived(clock.now_us, query)])
        sends = [effect for effect in effects if isinstance(effect, EmitSend)]
        if len(sends) != self.leafs:
            raise RuntimeError(f"{len(sends)} of {self.leafs} sends were emitted")
        clock.advance(_SERVICE_US)
        if hedged:
            self._hedge(sends)
        answers = [self._create_answer(send) for send in sends]
        effects = self._time("answers", answers[:-1])
        effects += self._time("last answer and merge", answers[-1:])
        if sum(isinstance(effect, AnswerCaller) for effect in effects) != 1:
            raise RuntimeError("a query was not answered exactly once")
        withdrawn = [
            SendFailed(clock.now_us, e.send_id, FailureKind.WITHDRAWN, RunState.UNKNOWN)
            for e in effects
            if isinstance(e, CancelSend)
        ]
        self._time("withdrawn sends", withdrawn)
        # The timers of hedges that are no longer needed fire later and cost time too.
        clock.now_us += _HEDGED_US
        self._time("timers", [Ticked(clock.now_us)])

    def _hedge(self, sends: list[EmitSend]) -> None:
        self.clock.now_us += _HEDGED_US
        effects = self._time("hedges", [Ticked(self.clock.now_us)])
        hedges = sum(isinstance(effect, EmitSend) for effect in effects)
        if hedges != len(sends):
            raise RuntimeError(f"{hedges} of {len(sends)} hedges were sent")

    def _create_answer(self, send: EmitSend) -> SendAnswered:
        request = send.request
        items = [
            {"key": f"{request.leaf}-{number}", "score": number * 37 % 101}
            for number in range(_ITEMS)
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

    def _time(self, part: str, events: list[Event]) -> list[Effect]:
        state = self.clock.state
        effects: list[Effect] = []
        started_ns = time.process_time_ns()
        for event in events:
            effects += reduce(state, event)
        spent_ns = time.process_time_ns() - started_ns
        self.spent_ns[part] = self.spent_ns.get(part, 0) + spent_ns
        return effects


def _create_run(scale: Scale, leafs: int) -> QueryRun:
    services = 2 if scale.small else max(1, 4_600 // leafs // 2)
    clock = start_instance(scale.seed, (create_team_tree(_TEAM, services, leafs, 3),))
    for service in clock.state.services.values():
        service.hedge_budget = SendBudget(1.0, 10 * leafs)
    # Periodic work is measured on its own and must not fall into the time of a query.
    clock.state.policy = replace(
        clock.state.policy, housekeeping_us=_NEVER_US, heartbeat_us=_NEVER_US
    )
    clock.advance(1_000_000)
    run = QueryRun(clock, leafs)
    for _ in range(services):
        run.run_query()
    return run


def _run_sizes(scale: Scale, hedged: bool) -> dict[int, dict[str, float]]:
    """Return the least processor time of each part of a query by leafs, in microseconds."""
    sizes = scale.choose((20, 60, 120, 180), (2, 4, 6, 8))
    runs = [_create_run(scale, leafs) for leafs in sizes]
    least: dict[int, dict[str, float]] = {leafs: {} for leafs in sizes}
    # The sizes take turns for the reason given at ``time_sizes``.
    for _ in range(scale.rounds):
        for run in runs:
            queries = min(len(run.services), 12)
            # A hedged query looks slow; these keep the median, and so the hedge delay, low.
            for _ in range(3 * queries if hedged else 0):
                run.run_query()
            run.spent_ns = {}
            for _ in range(queries):
                run.run_query(hedged)
            parts = least[run.leafs]
            for part, spent_ns in run.spent_ns.items():
                parts[part] = min(parts.get(part, math.inf), spent_ns / 1e3 / queries)
    return least


@measurement("queries")
def measure_queries(scale: Scale) -> Iterable[Series]:
    """Measure a query against its leafs, without hedges.

    Several services of 3 slots a leaf take turns, so that the tables have the size of a large
    deployment. The timer of each hedge that was not needed is part of the sum.
    """
    results = _run_sizes(scale, hedged=False)
    parts = ("first sends", "answers", "last answer and merge", "timers")
    for part in parts:
        points = tuple((leafs, results[leafs][part]) for leafs in results)
        yield Series(f"query: {part}", "us", "leafs of a query", points)
    points = tuple((leafs, sum(results[leafs][part] for part in parts)) for leafs in results)
    yield Series("query: all parts", "us", "leafs of a query", points)


@measurement("hedges")
def measure_hedges(scale: Scale) -> Iterable[Series]:
    """Measure a hedge of each leaf, and the end of the sends that it overtook."""
    results = _run_sizes(scale, hedged=True)
    for part in ("hedges", "withdrawn sends"):
        points = tuple((leafs, results[leafs][part]) for leafs in results)
        yield Series(f"hedged query: {part}", "us", "hedges", points)
