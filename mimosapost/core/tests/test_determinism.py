"""The same seed gives the same run, whatever the hash seed of the process."""

import subprocess
import sys

SCRIPT = """
from mimosapost.core.tests.schedules import run_schedule
fleet = run_schedule(4, {"lost_replica", "poison_request", "partition"}, queries=40)
answers = [(a.nonce, [x.code.name for x in a.answers]) for a in fleet.asked.values()]
print(fleet.events, fleet.now_us, sorted(fleet.runs.items()), answers)
"""


def run_script(hash_seed):
    """Run the schedule in a process with a hash seed and return what it printed."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        env={"PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def test_run_does_not_depend_on_the_order_of_sets():
    """Guards against decisions in the order of a set of strings; verdicts would vary."""
    first = run_script("1")
    assert first == run_script("2")
    assert int(first.split()[0]) > 1_000
