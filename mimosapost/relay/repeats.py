"""When a send is repeated at another server: hedges and retries.

Load patterns that it answers: pauses of single servers under a query to many shards, of which
one meets a pause in most queries; and failures of many servers at once, in which every instance
repeats and the repeats must not become a load of their own.
"""

from __future__ import annotations

from mimosapost.relay.latency_pools import LatencyPool

__all__ = ["REPEAT_BURST", "REPEAT_RATIO", "get_hedge_delay_us"]

# Share of its own requests that an instance repeats at one service. The platform allows 0.2
# over all instances; requests are counted where they arrive, so the share holds for each.
REPEAT_RATIO = 0.15
# Repeats of an instance without requests before them, for one service. The platform allows
# 52 for 4 instances and 178 for 28, that is 6 for each.
REPEAT_BURST = 5
# A hedge waits a little longer than most answers take, so that few answers cross it.
_HEDGE_DELAY_FACTOR = 1.15
_MIN_HEDGE_DELAY_US = 4_000
# A hedge later than this share of the goal is answered after it.
_MAX_GOAL_SHARE = 0.45


def get_hedge_delay_us(pool: LatencyPool, goal_us: int) -> int:
    """Return how long a send is waited for before a second server is asked.

    :param pool: answer times of the route at the distance of the first server.
    :param goal_us: time within which the caller wants the answer.
    """
    latest = int(goal_us * _MAX_GOAL_SHARE)
    return max(_MIN_HEDGE_DELAY_US, min(int(pool.p90_us * _HEDGE_DELAY_FACTOR), latest))
