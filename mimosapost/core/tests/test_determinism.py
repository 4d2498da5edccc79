"""The same seed gives the same simulation, whatever the hash seed of the process."""

import subprocess
import sys

SCRIPT = """
from mimosapost.core.tests.fault_schedules import run_schedule
fleet = run_schedule(4, {"lost_replica", "poison_request", "partition"}, queries=40)
answers = [
    (query.nonce, [answer.code.name for answer in query.answers])
    for query in fleet.submitted_queries.values()
]
print(fleet.event_count, fleet.now_us, sorted(fleet.run_counts.items()), answers)
"""


def run_script(hash_seed):
    """Run the schedule in a process with a given hash seed and return its output."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        env={"PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def test_run_does_not_depend_on_the_order_of_sets():
    """A decision in the iteration order of a set of strings would differ between processes."""
    first = run_script("1")
    assert first == run_script("2")
    assert int(first.split()[0]) > 1_000
