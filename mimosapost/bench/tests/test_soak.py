"""The soak of seeded fault schedules, bounded for CI."""

import pytest

from mimosapost.bench.soak import main, soak
from mimosapost.core.tests import invariants

# With the schedules of core/tests, CI checks about a million events.
EVENTS = 200_000
SEED = 1_000_000


def test_invariants_hold_in_a_bounded_soak():
    """Guards every invariant against combinations of faults that no test names."""
    events, schedules = soak(EVENTS, SEED)
    assert events >= EVENTS
    assert schedules > 1


def test_soak_fails_with_its_seed(monkeypatch):
    """Guards against a soak that hides a broken invariant, or how to repeat it."""

    def break_invariant(checker, fleet):
        raise AssertionError("broken")

    monkeypatch.setitem(invariants.INVARIANTS, "tables_agree", break_invariant)
    with pytest.raises(AssertionError, match="tables_agree: broken") as failure:
        main(["--events", "10", "--seed", "5"])
    assert "seed 5" in failure.value.__notes__[0]
