"""Monte Carlo of hedging over many leafs: latency and extra sends.

Pure arithmetic with a fixed seed, no sockets and no clock. The delays come from the real
``HedgePolicy`` and ``LatencyTracker``, which learn from the simulated answers (closed loop). A
sub-answer takes a lognormal time; a straggler takes 20 times the median. Run it with
``python -m mimosapost.bench.hedging``.
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
_SLOWDOWN = 20
_SERVICE = "search"
_SLOT = SlotId(_SERVICE, "0", "a")
_QUERY_INTERVAL_US = 10_000
_DEADLINE_US = 1_000_000


@dataclass(frozen=True, slots=True)
class HedgingResult:
    """Figures of one run.

    :param naive_us: 99th percentile of queries without hedges, in microseconds.
    :param hedged_us: 99th percentile of queries with hedges, in microseconds.
    :param first: sends whose leaf asked for a first hedge, divided by first sends.
    :param extra: hedges sent divided by first sends.
    :param delay_us: delay of a first hedge at the end of the run, in microseconds.
    """

    naive_us: int
    hedged_us: int
    first: float
    extra: float
    delay_us: int


def _draw(rng: Random, spread: float, stragglers: float) -> int:
    if rng.random() < stragglers:
        return _MEDIAN_US * _SLOWDOWN
    return int(_MEDIAN_US * rng.lognormvariate(0.0, spread))


class _Tier:
    """The hedging tier: hedge policy, latency tracker and token bucket."""

    def __init__(self, ratio: float, burst: float, hedges: int, keep_abandoned: bool) -> None:
        self.tracker = LatencyTracker()
        self.policy = HedgePolicy(self.tracker)
        self.ratio = ratio
        self.burst = burst
        self.tokens = 0.0
        self.hedges = hedges
        self.keep_abandoned = keep_abandoned
        self.asked = 0
        self.sent = 0

    def run_leaf(self, first_us: int, draws: Iterator[int], now_us: int) -> int:
        """Return the time of one leaf's answer and record what its sends took."""
        sends = [(0, first_us)]
        done_us = first_us
        due_us = 0
        self.tokens = min(self.burst, self.tokens + self.ratio)
        while len(sends) <= self.hedges:
            due_us += self.policy.get_delay_us(_SERVICE, len(sends) - 1)
            context = HedgeContext(
                True, False, False, len(sends), len(sends) - 1, _DEADLINE_US - due_us, 6_000
            )
            if done_us <= due_us or not self.policy.allows_hedge(context):
                break
            self.asked += len(sends) == 1
            if self.tokens < 1.0:
                break
            self.tokens -= 1.0
            self.sent += 1
            took_us = next(draws)
            sends.append((due_us, took_us))
            done_us = min(done_us, due_us + took_us)
        for at_us, took_us in sends:
            if at_us + took_us <= done_us:
                self.tracker.record(_SERVICE, _SLOT, took_us, now_us)
            elif self.keep_abandoned:
                self.tracker.record_abandoned(_SERVICE, _SLOT, done_us - at_us, now_us)
        return done_us


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
    """Measure hedging for queries over 180 leafs.

    The first tenth of the queries fills the latency tracker and is left out of the figures.

    :param spread: standard deviation of the logarithm of a normal sub-answer's time.
    :param queries: number of queries.
    :param seed: seed of the random numbers.
    :param hedges: largest number of hedges for each leaf.
    :param stragglers: share of sub-answers that take 20 times the median.
    :param ratio: hedge tokens earned by a first send.
    :param burst: largest number of saved tokens.
    :param keep_abandoned: whether overtaken sends are recorded with their lower bound.
    :returns: percentiles, extra sends and the delay learned.
    """
    rng = Random(seed)
    draws = iter(lambda: _draw(rng, spread, stragglers), -1)
    tier = _Tier(ratio, burst, hedges, keep_abandoned)
    warmup = queries // 10
    naive: list[int] = []
    hedged: list[int] = []
    for number in range(queries):
        if number == warmup:
            tier.asked = tier.sent = 0
        first = [next(draws) for _ in range(_LEAFS)]
        now_us = number * _QUERY_INTERVAL_US
        worst_us = max(tier.run_leaf(took_us, draws, now_us) for took_us in first)
        if number >= warmup:
            naive.append(max(first))
            hedged.append(worst_us)
    rank = int(0.99 * len(naive))
    sends = len(naive) * _LEAFS
    return HedgingResult(
        sorted(naive)[rank],
        sorted(hedged)[rank],
        tier.asked / sends,
        tier.sent / sends,
        tier.policy.get_delay_us(_SERVICE),
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
