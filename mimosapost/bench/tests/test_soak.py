"""Tests of the soak of seeded fault schedules, with a number of events that suits CI."""

import pytest

from mimosapost.bench.soak import main, soak
from mimosapost.core.tests import invariants

# With the schedules of core/tests, CI checks about a million events.
EVENTS = 200_000
SEED = 1_000_000


def test_invariants_hold_in_a_bounded_soak():
    """Every invariant must hold under combinations of faults that no other test covers."""
    events, schedules = soak(EVENTS, SEED)
    assert events >= EVENTS
    assert schedules > 1


def test_soak_fails_with_its_seed(monkeypatch):
    """A broken invariant must fail the soak and report the seed to repeat the schedule with."""

    def break_invariant(checker, fleet):
        raise AssertionError("broken")

    monkeypatch.setitem(invariants.INVARIANTS, "tables_agree", break_invariant)
    with pytest.raises(AssertionError, match="tables_agree: broken") as failure:
        main(["--events", "10", "--seed", "5"])
    assert "seed 5" in failure.value.__notes__[0]
