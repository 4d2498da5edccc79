"""Answer times of a route's servers, pooled by distance class."""

from __future__ import annotations

from collections import deque

__all__ = ["DISTANCES", "LatencyPool", "get_distance", "get_work_us"]

#: Distance classes of a server: same failure domain, same region, another region.
DISTANCES = (0, 1, 2)
# Median answer times assumed before the first samples, in microseconds by distance class: one
# round trip and a short search.
_INITIAL_MEDIAN_US = (15_000, 17_000, 35_000)
_WINDOW_SAMPLES = 128
# Quantiles are recomputed after this many samples rather than after each, because sorting 128
# numbers takes about 10 us.
_REFRESH_INTERVAL_SAMPLES = 16


def get_distance(domain: str, region: str, server_domain: str, server_region: str) -> int:
    """Return the distance class of a server as an index into :data:`DISTANCES`.

    :param domain: failure domain of the instance.
    :param region: region of the instance.
    :param server_domain: failure domain of the server.
    :param server_region: region of the server.
    """
    if domain == server_domain:
        return 0
    return 1 if region == server_region else 2


def get_work_us(pools: tuple[LatencyPool, ...]) -> float:
    """Return the usual time of the work of a route at a server, in microseconds.

    It is the time of quick answers in the distance class where they come soonest: they neither
    come a long way nor wait for the processor of this instance behind other answers.
    """
    return min(pool.quick_us for pool in pools)


class LatencyPool:
    """Recent answer times of all servers of one route in one distance class.

    Shards of a route do the same kind of work, so their times are pooled: 20 shards fill the
    window within a few queries, while a single server would take seconds. ``median_us``,
    ``quick_us``, the 0.1 quantile, and ``slow_us``, the 0.9 quantile, are in microseconds.

    :param distance: distance class, an index into :data:`DISTANCES`.

    >>> pool = LatencyPool(0)
    >>> for elapsed_us in range(1_000, 21_000, 1_000):
    ...     pool.record(elapsed_us)
    >>> pool.median_us, pool.slow_us
    (11000, 19000)
    """

    __slots__ = ("_new", "_samples", "median_us", "quick_us", "slow_us")

    def __init__(self, distance: int) -> None:
        self._samples: deque[int] = deque(maxlen=_WINDOW_SAMPLES)
        self._new = 0
        self.median_us = _INITIAL_MEDIAN_US[distance]
        self.quick_us = self.median_us // 2
        self.slow_us = 2 * _INITIAL_MEDIAN_US[distance]

    def record(self, elapsed_us: int) -> None:
        """Add the time to an answer, or the time after which a send was abandoned.

        The first 4 samples already replace the initial values.
        """
        self._samples.append(elapsed_us)
        self._new += 1
        if self._new >= _REFRESH_INTERVAL_SAMPLES or len(self._samples) == 4:
            self._new = 0
            ordered = sorted(self._samples)
            self.median_us = ordered[len(ordered) // 2]
            self.quick_us = ordered[int(len(ordered) * _QUICK_QUANTILE)]
            self.slow_us = ordered[int(len(ordered) * SLOW_QUANTILE)]


# Quantile of the answer times that ``quick_us`` estimates.
_QUICK_QUANTILE = 0.1
# Quantile of the answer times that ``slow_us`` estimates. About 1 in 10 sends takes longer and
# may be hedged, which stays below the budget for hedges and retries.
SLOW_QUANTILE = 0.9
