"""Monte Carlo simulation of hedged queries over many leafs: latency and extra sends.

The simulation has a fixed seed and uses neither sockets nor a clock. The program's
``HedgePolicy`` and ``LatencyTracker`` compute the hedge delays from the simulated latencies
(closed loop). The latency of a sub-answer is lognormal; a straggler takes 20 times the median.
Run it with ``python -m mimosapost.bench.hedging``.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from mimosapost.model.identities import SlotId
from mimosapost.routing.hedges import HedgeContext, HedgePolicy
from mimosapost.routing.latency import LatencyTracker

__all__ = ["HedgingResult", "measure_hedging"]

_LEAFS = 180
_MEDIAN_US = 6_000
_STRAGGLER_FACTOR = 20
_SERVICE = "search"
_SLOT_ID = SlotId(_SERVICE, "0", "a")
_QUERY_INTERVAL_US = 10_000
_DEADLINE_US = 1_000_000


@dataclass(frozen=True, slots=True)
class HedgingResult:
    """Latency of queries with and without hedges, and number of hedges, of one simulation.

    :param naive_us: 99th percentile of the latency without hedges, in microseconds.
    :param hedged_us: 99th percentile of the latency with hedges, in microseconds.
    :param first: share of first sends for which the policy decided on a first hedge, including
        hedges that were not sent because the budget had no token.
    :param extra: number of hedges sent, divided by the number of first sends.
    :param delay_us: delay before a first hedge at the end of the run, in microseconds.
    """

    naive_us: int
    hedged_us: int
    first: float
    extra: float
    delay_us: int


def _draw_latency_us(rng: Random, spread: float, stragglers: float) -> int:
    if rng.random() < stragglers:
        return _MEDIAN_US * _STRAGGLER_FACTOR
    return int(_MEDIAN_US * rng.lognormvariate(0.0, spread))


class _SimulatedInstance:
    """Hedging by an instance: policy, latency tracker and token bucket of the hedge budget."""

    def __init__(self, ratio: float, burst: float, hedges: int, keep_abandoned: bool) -> None:
        self.tracker = LatencyTracker()
        self.policy = HedgePolicy(self.tracker)
        self.ratio = ratio
        self.burst = burst
        self.tokens = 0.0
        self.hedges = hedges
        self.keep_abandoned = keep_abandoned
        self.first_hedges_decided = 0
        self.hedges_sent = 0

    def run_leaf(self, first_us: int, latencies_us: Iterator[int], now_us: int) -> int:
        """Return the time until one leaf is answered, and record the latencies of its sends."""
        sends = [(0, first_us)]
        answered_us = first_us
        due_us = 0
        self.tokens = min(self.burst, self.tokens + self.ratio)
        while len(sends) <= self.hedges:
            due_us += self.policy.get_delay_us(_SERVICE, len(sends) - 1)
            context = HedgeContext(
                True, False, False, len(sends), len(sends) - 1, _DEADLINE_US - due_us, 6_000
            )
            if answered_us <= due_us or not self.policy.allows_hedge(context):
                break
            self.first_hedges_decided += len(sends) == 1
            if self.tokens < 1.0:
                break
            self.tokens -= 1.0
            self.hedges_sent += 1
            latency_us = next(latencies_us)
            sends.append((due_us, latency_us))
            answered_us = min(answered_us, due_us + latency_us)
        for sent_us, latency_us in sends:
            if sent_us + latency_us <= answered_us:
                self.tracker.record(_SERVICE, _SLOT_ID, latency_us, now_us)
            elif self.keep_abandoned:
                self.tracker.record_abandoned(_SERVICE, _SLOT_ID, answered_us - sent_us, now_us)
        return answered_us


def measure_hedging(
    spread: float,
    *,
    queries: int = 3_000,
    seed: int = 1,
    hedges: int = 2,
    stragglers: float = 0.01,
    ratio: float = 0.05,
    burst: float = 100.0,
    keep_abandoned: bool = True,
) -> HedgingResult:
    """Simulate hedging for queries over 180 leafs.

    The first tenth of the queries fills the latency tracker and is left out of the result.

    :param spread: standard deviation of the logarithm of the latency, stragglers excepted.
    :param queries: number of queries.
    :param seed: seed of the random numbers.
    :param hedges: largest number of hedges for each leaf.
    :param stragglers: share of sub-answers that take 20 times the median.
    :param ratio: tokens that each first send adds to the hedge budget.
    :param burst: largest number of tokens in the hedge budget.
    :param keep_abandoned: whether a send that a hedge overtook is recorded in the latency
        tracker, with the time until its cancellation as the lower bound of its latency.
    :returns: percentiles of the latency, shares of hedges, and the hedge delay.
    """
    rng = Random(seed)
    latencies_us = iter(lambda: _draw_latency_us(rng, spread, stragglers), -1)
    instance = _SimulatedInstance(ratio, burst, hedges, keep_abandoned)
    warmup = queries // 10
    naive_times_us: list[int] = []
    hedged_times_us: list[int] = []
    for number in range(queries):
        if number == warmup:
            instance.first_hedges_decided = instance.hedges_sent = 0
        first_latencies_us = [next(latencies_us) for _ in range(_LEAFS)]
        now_us = number * _QUERY_INTERVAL_US
        query_us = max(
            instance.run_leaf(latency_us, latencies_us, now_us)
            for latency_us in first_latencies_us
        )
        if number >= warmup:
            naive_times_us.append(max(first_latencies_us))
            hedged_times_us.append(query_us)
    rank = int(0.99 * len(naive_times_us))
    sends = len(naive_times_us) * _LEAFS
    return HedgingResult(
        sorted(naive_times_us)[rank],
        sorted(hedged_times_us)[rank],
        instance.first_hedges_decided / sends,
        instance.hedges_sent / sends,
        instance.policy.get_delay_us(_SERVICE),
    )


def _main() -> None:
    for spread in (0.1, 0.2, 0.3, 0.4, 0.5):
        for label, options in (
            ("two hedges", {}),
            ("one hedge", {"hedges": 1}),
            ("no stragglers", {"stragglers": 0.0}),
            ("5% stragglers", {"stragglers": 0.05}),
            ("abandoned sends not recorded", {"keep_abandoned": False}),
        ):
            result = measure_hedging(spread, **options)
            print(
                f"spread={spread} {label}: p99 naive={result.naive_us} "
                f"hedged={result.hedged_us} ratio={result.hedged_us / result.naive_us:.3f} "
                f"first={result.first:.4f} extra={result.extra:.4f} "
                f"delay/median={result.delay_us / _MEDIAN_US:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    _main()
