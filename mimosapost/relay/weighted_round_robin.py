"""Distribution of requests over the services of a route by weight."""

from __future__ import annotations

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin over services.

    Each service receives its share of any sequence of consecutive requests.

    :param split: services and weights; weights need not sum to 1.

    >>> round_robin = WeightedRoundRobin((("a", 2.0), ("b", 1.0)))
    >>> [round_robin.take() for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    __slots__ = ("_credit", "_split", "_total")

    def __init__(self, split: tuple[tuple[str, float], ...]) -> None:
        self._split = tuple((name, weight) for name, weight in split if weight > 0)
        self._total = sum(weight for _, weight in self._split)
        self._credit = {name: 0.0 for name, _ in self._split}

    def take(self) -> str:
        """Return the service of the next request, or an empty string if all weights are 0."""
        if not self._split:
            return ""
        for name, weight in self._split:
            self._credit[name] += weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._total
        return chosen
