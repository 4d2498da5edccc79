"""Token buckets that limit extra sends, i.e. hedges and retries."""

from __future__ import annotations

__all__ = ["SendBudget"]

# Tokens are counted in integer millionths, because a sum of floats drifts over a long run.
_UNITS_PER_TOKEN = 1_000_000


class SendBudget:
    """Token bucket that first sends fill and extra sends empty.

    A first send is the first one for a leaf of a query or for a part of a request. Its hedges
    and retries are extra sends.

    :param ratio: tokens that each first send adds, from 0 to 1; an extra send costs 1 token.
    :param burst: capacity of the bucket in tokens, at least 1; the bucket starts full.
    :raises ValueError: if a parameter is out of range.

    >>> budget = SendBudget(0.05, 1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(20)
    >>> budget.try_spend()
    True

    Notes
    -----
    After ``n`` first sends at most ``ratio * n + burst`` extra sends have been allowed.
    """

    __slots__ = ("_capacity_units", "_token_units", "_units_per_first_send")

    def __init__(self, ratio: float, burst: int) -> None:
        if not 0 <= ratio <= 1 or burst < 1:
            raise ValueError(
                f"budget with ratio {ratio}, burst {burst}: expected 0 <= ratio <= 1 <= burst"
            )
        # Without 1e-6, a ratio such as 0.0157 would be rounded down to 15,699 units.
        self._units_per_first_send = int(ratio * _UNITS_PER_TOKEN + 1e-6)
        self._capacity_units = burst * _UNITS_PER_TOKEN
        self._token_units = self._capacity_units

    @property
    def available(self) -> int:
        """Number of extra sends that the budget allows now."""
        return self._token_units // _UNITS_PER_TOKEN

    def earn(self, n: int = 1) -> None:
        """Add the tokens for ``n`` first sends.

        :param n: number of first sends.
        """
        self._token_units = min(
            self._capacity_units, self._token_units + n * self._units_per_first_send
        )

    def refund(self) -> None:
        """Put back the token of an extra send that was withdrawn or refused before it ran."""
        self._token_units = min(self._capacity_units, self._token_units + _UNITS_PER_TOKEN)

    def try_spend(self) -> bool:
        """Spend the token of one extra send, if there is one.

        :returns: whether the extra send is allowed.
        """
        if self._token_units < _UNITS_PER_TOKEN:
            return False
        self._token_units -= _UNITS_PER_TOKEN
        return True
