"""Limits on repeated sends (hedges and retries), and the delay before a hedge.

Hedges cover pauses of single servers: of the many shards of a query, one pauses in most
queries. The budget covers failures of many servers at once, in which the repeats of all
instances must not overload the remaining servers.
"""

from __future__ import annotations

from mimosapost.relay.latency_pools import LatencyPool

__all__ = ["REPEAT_BURST", "REPEAT_RATIO", "get_hedge_delay_us", "get_report_delay_us"]

# Repeats that an instance may send to one service, as a share of its own requests there. The
# platform allows 0.2 over all instances. Each instance counts only the requests that it
# receives, so a share that each instance observes holds for all of them together.
REPEAT_RATIO = 0.15
# Repeats that an instance may send to one service beyond that share. The platform allows 52 for
# 4 instances and 178 for 28, which is at least 6 for each.
REPEAT_BURST = 5
# A hedge is sent later than most answers arrive, so that few answers arrive just after it.
_HEDGE_DELAY_FACTOR = 1.15
_MIN_HEDGE_DELAY_US = 4_000
# A hedge sent after this share of the latency goal would be answered after the goal.
_MAX_GOAL_SHARE = 0.45
# The first report of a gather must leave time for its way back, a hedge and the answer to it.
_REPORT_GOAL_SHARE = 0.35


def get_hedge_delay_us(pool: LatencyPool, goal_us: int) -> int:
    """Return the delay after which an unanswered send is hedged, in microseconds.

    :param pool: answer times of the route in the distance class of the first server.
    :param goal_us: latency objective of the route in microseconds.
    """
    latest = int(goal_us * _MAX_GOAL_SHARE)
    return max(_MIN_HEDGE_DELAY_US, min(int(pool.slow_us * _HEDGE_DELAY_FACTOR), latest))


def get_report_delay_us(goal_us: int) -> int:
    """Return the time after which the first outcomes of a gather are reported at the latest.

    :param goal_us: latency objective of the route in microseconds.
    """
    return int(goal_us * _REPORT_GOAL_SHARE)
