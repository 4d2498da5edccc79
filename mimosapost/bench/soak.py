"""Soak test: runs seeded fault schedules on the reducers and checks every invariant.

``python -m mimosapost.bench.soak --events N --seed S`` runs schedules one after the other until
N reducer events were checked. Each schedule draws its faults, its number of instances and its
merge function from its own seed. A failure prints this seed, so that the failed schedule can
be repeated alone.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Sequence

import defopt

from mimosapost.core.tests.fault_schedules import FAULTS, MERGES, run_schedule

__all__ = ["main", "run_seed", "soak"]

FLEET_SIZES = (1, 2, 4, 4, 8)
# Number of schedules between two progress lines, about 8 s.
PROGRESS_INTERVAL_SCHEDULES = 50


def run_seed(seed: int) -> int:
    """Run the schedule of a seed.

    :param seed: seed that determines the faults, the number of instances, the merge function
        and all delays.
    :returns: number of reducer events that were checked.
    :raises AssertionError: with the name of the invariant that failed.
    """
    rng = random.Random(seed)
    faults = rng.sample(sorted(FAULTS), rng.choice((1, 2, 2, 3)))
    instances, merge = rng.choice(FLEET_SIZES), rng.choice(MERGES)
    try:
        fleet = run_schedule(seed, faults, instances=instances, merge=merge)
    except Exception as error:
        error.add_note(f"seed {seed}: {instances} instances, {merge}, faults {faults}")
        raise
    return fleet.event_count


def soak(events: int, seed: int) -> tuple[int, int]:
    """Run schedules until at least the given number of reducer events was checked.

    :param events: least number of reducer events.
    :param seed: seed of the first schedule, incremented by 1 for each further one.
    :returns: number of events and number of schedules that were run.
    """
    checked = schedules = 0
    while checked < events:
        checked += run_seed(seed + schedules)
        schedules += 1
        if schedules % PROGRESS_INTERVAL_SCHEDULES == 0:
            print(f"events={checked} schedules={schedules}", flush=True)
    return checked, schedules


def _run(*, events: int = 1_000_000, seed: int = 1) -> None:
    """Check the invariants over seeded fault schedules.

    :param events: number of reducer events to check.
    :param seed: seed of the first schedule.
    """
    checked, schedules = soak(events, seed)
    print(f"events={checked} schedules={schedules} seed={seed} violations=0")


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line.

    :param arguments: arguments without the program's name, those of the process by default.
    """
    defopt.run(_run, argv=arguments)


if __name__ == "__main__":
    main(sys.argv[1:])
