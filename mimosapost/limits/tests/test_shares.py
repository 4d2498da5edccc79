"""Tests that the shares of all seats sum to exactly the limit and are spread evenly."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.limits.shares import compute_share


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 5000), st.integers(1, 700), st.text(max_size=20))
def test_shares_sum_to_the_limit(limit, ceiling, key):
    """Rounding must neither exceed a limit nor leave a part of it unused.

    One seat too many gets a part of the remainder if ``compute_share`` compares the rank by
    ``<=`` instead of ``<``.
    """
    shares = [compute_share(limit, seat, ceiling, key) for seat in range(ceiling)]
    assert sum(shares) == limit
    assert max(shares) - min(shares) <= 1


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 5000), st.integers(1, 700), st.text(max_size=20), st.data())
def test_share_never_falls_when_the_limit_rises(limit, ceiling, key, data):
    """Shares of different values of a limit must not sum to more than the largest value.

    Instances may know different values for a while. If the order in which the remainder is
    distributed depended on the limit, a share could decrease while the limit increases.
    """
    seat = data.draw(st.integers(0, ceiling - 1))
    assert compute_share(limit, seat, ceiling, key) <= compute_share(
        limit + 1, seat, ceiling, key
    )


def test_remainders_are_spread_over_the_seats():
    """No seat may get, or miss, a part of the remainder for far more keys than other seats.

    Seat 0 has rank 0 for every key if ``compute_rank`` does not add ``digest % ceiling``.
    """
    totals = [
        sum(compute_share(25, seat, 40, f"10.0.{key}.1:80") for key in range(2000))
        for seat in range(40)
    ]
    # 2000 x 25 / 40 = 1250; four standard deviations of the binomial are 87.
    assert all(1163 <= total <= 1337 for total in totals), totals


@pytest.mark.parametrize(("limit", "seat", "ceiling"), [(-1, 0, 4), (5, 4, 4), (5, -1, 4)])
def test_values_out_of_range_are_refused(limit, seat, ceiling):
    with pytest.raises(ValueError, match="expected"):
        compute_share(limit, seat, ceiling, "k")
