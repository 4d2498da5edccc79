"""Budgets for sends beyond the first ones: hedges and retries (token bucket)."""

from __future__ import annotations

__all__ = ["Budget"]

# Tokens are counted in millionths, because a sum of floats drifts over a long run.
_UNIT = 1_000_000


class Budget:
    """Token bucket that is filled by first sends and emptied by extra sends.

    :param ratio: extra sends earned by each first send, from 0 to 1.
    :param burst: largest number of saved extra sends, at least 1; the bucket starts full.
    :raises ValueError: if a parameter is out of range.

    >>> budget = Budget(0.05, 1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn(20)
    >>> budget.try_spend()
    True

    Notes
    -----
    After ``n`` first sends at most ``ratio * n + burst`` extra sends were allowed.
    """

    __slots__ = ("_capacity", "_earned", "_tokens")

    def __init__(self, ratio: float, burst: int) -> None:
        if not 0 <= ratio <= 1 or burst < 1:
            raise ValueError(f"ratio {ratio}, burst {burst}: expected 0 <= ratio <= 1 <= burst")
        self._earned = int(ratio * _UNIT + 1e-6)
        self._capacity = burst * _UNIT
        self._tokens = self._capacity

    @property
    def available(self) -> int:
        """Number of extra sends that could be made now."""
        return self._tokens // _UNIT

    def earn(self, n: int = 1) -> None:
        """Add the tokens of ``n`` first sends.

        :param n: number of first sends.
        """
        self._tokens = min(self._capacity, self._tokens + n * self._earned)

    def give_back(self) -> None:
        """Return the token of an extra send that was withdrawn before it was made."""
        self._tokens = min(self._capacity, self._tokens + _UNIT)

    def try_spend(self) -> bool:
        """Take the token of one extra send.

        :returns: whether the extra send is allowed.
        """
        if self._tokens < _UNIT:
            return False
        self._tokens -= _UNIT
        return True
