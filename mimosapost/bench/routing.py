"""Time of the routing functions that run for every send.

Run it with ``python -m mimosapost.bench.routing``. It prints the minimum of several rounds in
microseconds, because other processes on the machine only add time.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from timeit import repeat

from mimosapost.model.identities import SlotId
from mimosapost.model.published_settings import SlotSettings
from mimosapost.routing.eligibility import EligibilityView, check_slot
from mimosapost.routing.hedges import HedgePolicy
from mimosapost.routing.latency import LatencyTracker
from mimosapost.routing.slot_choice import Candidate, choose_slot

__all__ = ["measure_costs"]


def measure_costs(calls: int = 20_000, rounds: int = 7) -> dict[str, float]:
    """Measure the time of a call of each routing function.

    :param calls: number of calls of each function in a round.
    :param rounds: number of rounds.
    :returns: minimum over the rounds of the mean time of a call, in microseconds, by the name
        of the function.
    """
    rng = Random(1)
    tracker = LatencyTracker()
    policy = HedgePolicy(tracker)
    slots = [SlotId("search", "0", name) for name in "abc"]
    latencies_us = [int(6_000 * rng.lognormvariate(0.0, 0.3)) for _ in range(1_000)]
    clock_us = iter(range(0, 10**15, 25))
    recorded_us = iter(lambda: latencies_us[next(clock_us) // 25 % 1_000], -1)

    def record() -> None:
        tracker.record("search", slots[0], next(recorded_us), next(clock_us))

    def advance_iterators() -> None:
        next(recorded_us)
        next(clock_us)

    candidates = [
        Candidate(slot, "10.0.0.1:80", number, 6, 6_000, 500, 0.5, 300_000, True)
        for number, slot in enumerate(slots)
    ]
    settings = SlotSettings("a", "10.0.0.1:80", "east")
    view = EligibilityView(frozenset({"west"}), frozenset({"10.0.0.9:80"}))
    functions: dict[str, Callable[[], object]] = {
        "record": record,
        "record (argument iterators alone)": advance_iterators,
        "get_slot_us": lambda: tracker.get_slot_us(slots[0], 10**13),
        "get_delay_us": lambda: policy.get_delay_us("search"),
        "choose_slot, 2 candidates": lambda: choose_slot(candidates[:2], rng),
        "choose_slot, 3 candidates": lambda: choose_slot(candidates, rng),
        "check_slot": lambda: check_slot(settings, view),
        "empty call": lambda: None,
    }
    return {
        name: min(repeat(function, number=calls, repeat=rounds)) / calls * 1e6
        for name, function in functions.items()
    }


if __name__ == "__main__":
    for name, cost_us in measure_costs().items():
        print(f"{name}: {cost_us:.2f} us")
