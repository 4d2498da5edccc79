"""Open-loop load: queries are sent at a fixed mean rate, whether or not answers arrive.

Latency is measured from the scheduled time of a query, so that it includes every wait in the
generator and in the tier (no coordinated omission). Every answer is compared with the result
computed from the snapshot and the coverage that the answer states.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from mimosapost.merging import find_merge
from mimosapost.model.codes import ResultCode
from mimosapost.model.published_settings import ServiceSettings
from mimosapost.standins.deterministic_results import compute_items

__all__ = ["Balancer", "LoadPlan", "LoadResult", "QueryKind", "RepeatedQuery", "run_load"]

# Latencies from 1 us to 60 s, in microseconds, with 3 significant digits.
_HISTOGRAM_RANGE = (1, 60_000_000, 3)
_READY_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class QueryKind:
    """Kind of query in the mix of a load plan.

    :param token: bearer token of the caller.
    :param priority: priority class that the caller requests.
    :param weight: relative frequency.
    :param deadline_ms: deadline that the caller requests.
    :param limit: number of items that the caller requests.
    """

    service: ServiceSettings
    caller: str
    token: str
    priority: str
    weight: float = 1.0
    deadline_ms: int = 1_000
    limit: int = 10


@dataclass(frozen=True, slots=True)
class RepeatedQuery:
    """Query that is sent at a fixed interval in addition to the mix.

    :param body: request body; service and caller are those of the plan's first kind.
    :param interval_s: time between two sends in seconds.
    :param first_send_s: time of the first send in seconds after the start.
    """

    body: Any
    interval_s: float
    first_send_s: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a run of the load generator.

    :param rate_per_s: mean rate in queries a second, with exponential interarrival times.
    :param seconds: duration.
    :param seed: seed of interarrival times, kinds and bodies.
    :param kinds: mix of queries.
    :param warmup_s: length of the warm-up in seconds; queries scheduled within it count only
        in ``leafs_sent`` and ``wrong``.
    :param repeated: query to send at a fixed interval; its answers count only in
        ``repeated``.
    """

    rate_per_s: float
    seconds: float
    seed: int
    kinds: tuple[QueryKind, ...]
    warmup_s: float = 0.0
    repeated: RepeatedQuery | None = None


@dataclass(slots=True)
class LoadResult:
    """Result of a run of the load generator; histograms are in microseconds.

    :param timeline: for each query its scheduled time in seconds after ``started_s``, the
        latency in milliseconds, the result code (0 if no answer arrived) and the share of leafs
        covered; queries of the warm-up are left out.
    :param started_s: start of the run on the clock of the run, in seconds.
    :param priorities: latency histogram of each priority class.
    :param example: first answer with a result.
    """

    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(*_HISTOGRAM_RANGE))
    codes: Counter[int] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    missing_reasons: Counter[int] = field(default_factory=Counter)
    queries: int = 0
    answered: int = 0
    connection_errors: int = 0
    leafs_wanted: int = 0
    leafs_covered: int = 0
    wrong: list[str] = field(default_factory=list)
    timeline: list[tuple[float, float, int, float]] = field(default_factory=list)
    started_s: float = 0.0
    priorities: dict[str, HdrHistogram] = field(default_factory=dict)
    example: dict[str, Any] | None = None
    # Leafs of all queries that ran or got no answer, warm-up included: the number of sends
    # without hedges and retries, to which extra sends are relative.
    leafs_sent: int = 0
    # Number of queries without an answer, by the entry instance that they were sent to.
    lost: Counter[str] = field(default_factory=Counter)
    repeated: Counter[int] = field(default_factory=Counter)

    @property
    def coverage(self) -> float:
        """Share of leafs covered over all queries with an answer or a refusal, from 0 to 1."""
        return self.leafs_covered / self.leafs_wanted if self.leafs_wanted else 0.0

    def get_quantile_ms(self, quantile: float) -> float:
        """Return a latency quantile in milliseconds.

        :param quantile: quantile from 0 to 1.
        """
        return self.histogram.get_value_at_percentile(100 * quantile) / 1_000

    def export(self) -> dict[str, Any]:
        """Return the result as JSON-compatible values."""
        return {
            "queries": self.queries,
            "answered": self.answered,
            "connection_errors": self.connection_errors,
            "leafs_wanted": self.leafs_wanted,
            "coverage": round(self.coverage, 6),
            "p50_ms": self.get_quantile_ms(0.50),
            "p90_ms": self.get_quantile_ms(0.90),
            "p99_ms": self.get_quantile_ms(0.99),
            "max_ms": self.histogram.get_max_value() / 1_000,
            "codes": {str(code): n for code, n in sorted(self.codes.items())},
            "runs": dict(sorted(self.runs.items())),
            "missing_reasons": {str(r): n for r, n in sorted(self.missing_reasons.items())},
            "lost": dict(sorted(self.lost.items())),
            "repeated": {str(code): n for code, n in sorted(self.repeated.items())},
            "wrong": self.wrong[:20],
            "wrong_count": len(self.wrong),
        }


class Balancer:
    """Stand-in for the platform's load balancer: random choice among ready instances.

    It polls readiness, so it continues to choose a stopping instance until the next poll, as
    the real load balancer does.

    :param targets: caller addresses of the entry instances.
    :param seed: seed of the choice.
    """

    def __init__(self, targets: Sequence[str], seed: int) -> None:
        self._targets = tuple(targets)
        self._ready = list(targets)
        self._rng = random.Random(seed)

    def choose(self) -> str:
        """Return the address to send the next query to."""
        return self._rng.choice(self._ready or self._targets)

    async def poll_readiness(self, session: aiohttp.ClientSession) -> None:
        """Poll the readiness of all targets until the task is cancelled."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        while True:
            ready = []
            for target in self._targets:
                try:
                    async with session.get(
                        f"http://{target}/readyz", timeout=timeout
                    ) as response:
                        if response.status == 200:
                            ready.append(target)
                except (aiohttp.ClientError, OSError, TimeoutError):
                    continue
            self._ready = ready
            await asyncio.sleep(_READY_POLL_S)


def check_answer(kind: QueryKind, body: Any, answer: dict[str, Any]) -> str:
    """Compare an answer with the result computed from its snapshot and coverage.

    :param kind: kind of the query.
    :param body: request body of the query.
    :returns: description of the difference, empty if there is none or if the answer carries
        no result.
    """
    if answer["code"] not in (ResultCode.COMPLETE, ResultCode.PARTIAL):
        return ""
    covered = answer["coverage"]["covered"]
    missing = [leaf["leaf"] for leaf in answer["coverage"]["missing"]]
    leaf_names = [leaf.name for leaf in kind.service.leafs]
    if len(set(covered)) < len(covered):
        return "a leaf is covered twice"
    if sorted(covered + missing) != sorted(leaf_names):
        return "covered and missing leafs do not add up to the shard map"
    index_version = answer["snapshot"]["index_version"]
    parts = [
        compute_items(kind.service.name, leaf, body, index_version)
        for leaf in leaf_names
        if leaf in covered
    ]
    expected = find_merge(kind.service.merge).merge_parts(parts, kind.limit)
    if answer["result"] != expected:
        return f"result differs from that of snapshot {answer['snapshot']}"
    return ""


async def run_load(
    plan: LoadPlan,
    targets: Sequence[str],
    clock_s: Callable[[], float],
    on_progress: Callable[[float, LoadResult], None] | None = None,
) -> LoadResult:
    """Send the queries of a plan to entry instances and check their answers.

    :param plan: rate, duration, seed and mix.
    :param targets: caller addresses of the entry instances.
    :param clock_s: monotonic clock in seconds.
    :param on_progress: called about once a second with the elapsed time and the result.
    """
    rng = random.Random(plan.seed)
    result = LoadResult()
    balancer = Balancer(targets, plan.seed)
    async with AsyncExitStack() as stack:
        connector = aiohttp.TCPConnector(limit=0)
        session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
        readiness_poller = asyncio.create_task(balancer.poll_readiness(session))
        stack.callback(readiness_poller.cancel)
        weights = [kind.weight for kind in plan.kinds]
        started_s = result.started_s = clock_s()
        due_s = 0.0
        reported_s = 0.0
        tasks: set[asyncio.Task[None]] = set()
        if plan.repeated is not None:
            repeater = _repeat_query(session, balancer, plan, started_s, clock_s, result)
            tasks.add(asyncio.create_task(repeater))
        while (due_s := due_s + rng.expovariate(plan.rate_per_s)) < plan.seconds:
            delay_s = started_s + due_s - clock_s()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            kind = rng.choices(plan.kinds, weights)[0]
            body = {"kind": "search", "term": rng.randrange(1_000_000), "count": 5}
            result.queries += due_s >= plan.warmup_s
            query = _send_query(
                session, balancer, kind, body, started_s, due_s, clock_s, result, plan.warmup_s
            )
            task = asyncio.create_task(query)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if on_progress is not None and due_s - reported_s >= 1.0:
                reported_s = due_s
                on_progress(due_s, result)
        await asyncio.gather(*tasks)
    return result


async def _repeat_query(
    session: aiohttp.ClientSession,
    balancer: Balancer,
    plan: LoadPlan,
    started_s: float,
    clock_s: Callable[[], float],
    result: LoadResult,
) -> None:
    repeated = plan.repeated
    assert repeated is not None
    due_s = repeated.first_send_s
    while due_s < plan.seconds:
        await asyncio.sleep(max(0.0, started_s + due_s - clock_s()))
        answer = await _post_query(session, balancer.choose(), plan.kinds[0], repeated.body)
        result.repeated[answer["code"] if answer is not None else 0] += 1
        due_s += repeated.interval_s


async def _post_query(
    session: aiohttp.ClientSession, target: str, kind: QueryKind, body: Any
) -> dict[str, Any] | None:
    """Send a query and return its answer, or ``None`` if no readable answer arrived."""
    request = {
        "request": body,
        "priority": kind.priority,
        "deadline_ms": kind.deadline_ms,
        "repeatable": True,
        "limit": kind.limit,
    }
    headers = {"X-Caller": kind.caller, "Authorization": f"Bearer {kind.token}"}
    url = f"http://{target}/v1/services/{kind.service.name}/query"
    timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1_000 + 2.0)
    try:
        async with session.post(
            url, data=msgspec.json.encode(request), headers=headers, timeout=timeout
        ) as response:
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
        return None


async def _send_query(
    session: aiohttp.ClientSession,
    balancer: Balancer,
    kind: QueryKind,
    body: Any,
    started_s: float,
    due_s: float,
    clock_s: Callable[[], float],
    result: LoadResult,
    warmup_s: float,
) -> None:
    target = balancer.choose()
    answer = await _post_query(session, target, kind, body)
    elapsed_us = int((clock_s() - started_s - due_s) * 1e6)
    if answer is None:
        result.leafs_sent += len(kind.service.leafs)
        if due_s >= warmup_s:
            result.connection_errors += 1
            result.lost[target] += 1
            result.timeline.append((due_s, elapsed_us / 1_000, 0, 0.0))
        return
    if answer["run"] != "not_run":
        result.leafs_sent += len(kind.service.leafs)
    difference = check_answer(kind, body, answer)
    if difference:
        result.wrong.append(f"{kind.service.name}: {difference}")
    if due_s >= warmup_s:
        _record_answer(result, kind, answer, due_s, elapsed_us)


def _record_answer(
    result: LoadResult,
    kind: QueryKind,
    answer: dict[str, Any],
    due_s: float,
    elapsed_us: int,
) -> None:
    result.codes[answer["code"]] += 1
    result.runs[answer["run"]] += 1
    leaf_count = len(kind.service.leafs)
    covered = 0
    if answer["code"] in (ResultCode.COMPLETE, ResultCode.PARTIAL):
        result.answered += 1
        result.histogram.record_value(max(1, elapsed_us))
        result.priorities.setdefault(
            kind.priority, HdrHistogram(*_HISTOGRAM_RANGE)
        ).record_value(max(1, elapsed_us))
        covered = len(answer["coverage"]["covered"])
        result.example = result.example or answer
    for leaf in (answer.get("coverage") or {}).get("missing", ()):
        result.missing_reasons[leaf["reason"]] += 1
    result.leafs_wanted += leaf_count
    result.leafs_covered += covered
    result.timeline.append((due_s, elapsed_us / 1_000, answer["code"], covered / leaf_count))
