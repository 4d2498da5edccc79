"""Tests that a budget allows as many extra sends as its ratio and burst, and no more."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.limits.budgets import SendBudget


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.sampled_from([0.0, 0.05, 0.1, 1 / 3, 1.0]),
    st.integers(1, 50),
    st.lists(st.tuples(st.integers(0, 200), st.integers(0, 60)), max_size=80),
)
def test_extra_sends_stay_within_ratio_and_burst(ratio, burst, rounds):
    """Extra load must stay within the ratio over every part of a run, not only the whole.

    A budget that saves more tokens than its capacity allows a larger burst later, e.g. if
    ``earn`` lacks the ``min`` with the capacity.
    """
    budget = SendBudget(ratio, burst)
    history = [(0, 0)]
    for earned, tries in rounds:
        budget.earn(earned)
        spent = sum(budget.try_spend() for _ in range(tries))
        first, extra = history[-1]
        history.append((first + earned, extra + spent))
    for index, (first_before, extra_before) in enumerate(history):
        for first, extra in history[index:]:
            assert extra - extra_before <= ratio * (first - first_before) + burst + 1e-6


@pytest.mark.parametrize(("ratio", "extra"), [(0.05, 50_010), (0.1, 100_010), (1 / 3, 333_343)])
def test_long_run_spends_the_whole_budget(ratio, extra):
    """A budget must not refuse hedges for which first sends have added tokens.

    The loss adds up over a long run, e.g. if ``_units_per_first_send`` is rounded down to whole
    hundredths of a token.
    """
    budget = SendBudget(ratio, 10)
    spent = 0
    for _ in range(1_000_000):
        budget.earn(1)
        spent += budget.try_spend()
    while budget.try_spend():
        spent += 1
    assert extra - 1 <= spent <= extra


@pytest.mark.parametrize(("ratio", "burst"), [(-0.1, 5), (1.1, 5), (0.05, 0)])
def test_values_out_of_range_are_refused(ratio, burst):
    with pytest.raises(ValueError, match="expected"):
        SendBudget(ratio, burst)
