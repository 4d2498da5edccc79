"""Times that servers of a route take, pooled by distance."""

from __future__ import annotations

from collections import deque

__all__ = ["DISTANCES", "LatencyPool", "get_distance"]

#: Distances between an instance and a server: same domain, same region, elsewhere.
DISTANCES = (0, 1, 2)
# Answer times assumed before the first samples, in microseconds by distance: a short search
# after one round trip.
_INITIAL_MEDIAN_US = (15_000, 17_000, 35_000)
_WINDOW_SAMPLES = 128
# Quantiles are computed again after this many samples; sorting 128 numbers takes about 10 us.
_REFRESH_INTERVAL_SAMPLES = 16


def get_distance(domain: str, region: str, server_domain: str, server_region: str) -> int:
    """Return the distance class of a server."""
    if domain == server_domain:
        return 0
    return 1 if region == server_region else 2


class LatencyPool:
    """Recent answer times of one route at one distance, over all servers.

    Shards of a route do the same kind of work, so their times are pooled: 20 shards fill the
    window within a few queries, where one server would take seconds.

    :param distance: index into :data:`DISTANCES`.

    >>> pool = LatencyPool(0)
    >>> for elapsed_us in range(1_000, 21_000, 1_000):
    ...     pool.record(elapsed_us)
    >>> pool.median_us, pool.p90_us
    (11000, 19000)
    """

    __slots__ = ("_new", "_samples", "median_us", "p90_us")

    def __init__(self, distance: int) -> None:
        self._samples: deque[int] = deque(maxlen=_WINDOW_SAMPLES)
        self._new = 0
        self.median_us = _INITIAL_MEDIAN_US[distance]
        self.p90_us = 2 * _INITIAL_MEDIAN_US[distance]

    def record(self, elapsed_us: int) -> None:
        """Add the time of an answer, or the time that a send was waited for in vain."""
        self._samples.append(elapsed_us)
        self._new += 1
        if self._new >= _REFRESH_INTERVAL_SAMPLES or len(self._samples) == 4:
            self._new = 0
            ordered = sorted(self._samples)
            self.median_us = ordered[len(ordered) // 2]
            self.p90_us = ordered[int(len(ordered) * SLOW_QUANTILE)]


# Share of the sends that are not waited for longer than ``p90_us``; 1 in 10 may be hedged,
# which stays below the budget for repeats.
SLOW_QUANTILE = 0.9
