"""Decide when a leaf of a query is sent a second and a third time (hedged requests)."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.routing.latency import LatencyTracker

__all__ = ["HedgeContext", "HedgePolicy"]

# About 3.5% of the sends are slower than this quantile and get a hedge. The rest of the budget
# of 5% extra sends is left for second hedges and for the error of the estimate.
# docs/decisions/routing.md has the table.
_FIRST_DELAY_QUANTILE = 0.965
# If the first hedge is slow too, it is probably also a straggler. Few leafs need a second
# hedge, so a short delay before it costs under 1% extra sends and shortens the 99th percentile.
_SECOND_DELAY_QUANTILE = 0.5
# Lower bound of the delay, in medians: if all latencies of a service are close to its median,
# the delay quantile alone would let normal variation cause hedges.
_MIN_DELAY_MEDIANS = 1.25
# Upper bound of the delay, in medians: with more than 3.5% stragglers the delay quantile is the
# latency of a straggler. The hedge budget then limits the number of hedges.
_MAX_DELAY_MEDIANS = 8.0
_MIN_DELAY_US = 500
# With fewer recorded answers the delay quantile is too uncertain to be used.
_MIN_RECORDS = 100
# Applies until the service has a recorded latency.
_DEFAULT_DELAY_US = 100_000
_MAX_HEDGES = 2


@dataclass(frozen=True, slots=True)
class HedgeContext:
    """Describe one leaf of a query at the moment when its next hedge is due.

    :param repeatable: whether the request is idempotent, so that it may run more than once.
    :param suspect: whether the request was in flight when a server crashed.
    :param overloaded: whether the instance or the service is shedding load.
    :param sends_open: number of sends of this leaf that may still be answered.
    :param hedges_sent: number of hedges already sent for this leaf.
    :param remaining_us: time until the deadline of the query, in microseconds.
    :param expected_us: expected time from a further send to its answer, in microseconds.
    """

    repeatable: bool
    suspect: bool
    overloaded: bool
    sends_open: int
    hedges_sent: int
    remaining_us: int
    expected_us: int


class HedgePolicy:
    """Compute the delay before a hedge and decide whether it may be sent.

    After ``allows_hedge`` has returned true, the caller must take a token from the hedge
    budget; if there is none, it sends no hedge. The caller sends a hedge to another slot if one
    is left, and otherwise to the same slot, because a straggler is usually one slow answer and
    not a slow server.

    :param latencies: latency statistics of the services.

    >>> policy = HedgePolicy(LatencyTracker())
    >>> policy.get_delay_us("search")
    100000
    >>> policy.allows_hedge(HedgeContext(True, False, False, 1, 0, 50_000, 6_000))
    True
    """

    def __init__(self, latencies: LatencyTracker) -> None:
        self._latencies = latencies

    def get_delay_us(self, service: str, hedges_sent: int = 0) -> int:
        """Return the delay between the latest send of a leaf and its next hedge.

        :param service: name of the service.
        :param hedges_sent: number of hedges already sent for this leaf.
        :returns: delay in microseconds.
        """
        median_us = self._latencies.get_median_us(service)
        if median_us == 0:
            return _DEFAULT_DELAY_US
        ceiling_us = int(median_us * _MAX_DELAY_MEDIANS)
        if self._latencies.get_record_count(service) < _MIN_RECORDS:
            return max(_MIN_DELAY_US, ceiling_us)
        if hedges_sent > 0:
            return max(
                _MIN_DELAY_US, self._latencies.get_quantile_us(service, _SECOND_DELAY_QUANTILE)
            )
        delay_us = self._latencies.get_quantile_us(service, _FIRST_DELAY_QUANTILE)
        floor_us = int(median_us * _MIN_DELAY_MEDIANS)
        return max(_MIN_DELAY_US, floor_us, min(delay_us, ceiling_us))

    def allows_hedge(self, context: HedgeContext) -> bool:
        """Decide whether a hedge may be sent now.

        :param context: state of the leaf.
        :returns: whether a hedge is allowed and is expected to be answered before the deadline.
        """
        return (
            context.repeatable
            and not context.suspect
            and not context.overloaded
            and context.sends_open > 0
            and context.hedges_sent < _MAX_HEDGES
            and context.remaining_us > context.expected_us
        )
