"""Hedged requests: when a leaf gets a second and third send."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.routing.latency import LatencyBook

__all__ = ["HedgeContext", "HedgePolicy"]

# About 3.5% of the sends are slower and get a hedge; the rest of the 5% budget remains for
# second hedges and for the error of the estimate. docs/decisions/routing.md has the table.
_DELAY_QUANTILE = 0.965
# A first hedge that is late suggests a second straggler. Few leafs get this far, so a short
# second delay costs under 1% extra sends and shortens the 99th percentile.
_SECOND_QUANTILE = 0.5
# Keeps normal variation of a service with very even latency from causing hedges.
_MEDIAN_FLOOR = 1.25
# Above 3.5% stragglers the quantile is itself a straggler; the budget then bounds the hedges.
_MEDIAN_CEILING = 8.0
_MIN_DELAY_US = 500
# Fewer records do not determine the quantile.
_MIN_RECORDS = 100
_FIRST_DELAY_US = 100_000
_MAX_HEDGES = 2


@dataclass(frozen=True, slots=True)
class HedgeContext:
    """Facts about one leaf of a query at the moment its hedge is due.

    :param repeatable: the request may run more than once (idempotent).
    :param suspect: the request was in flight when a server crashed.
    :param overloaded: the instance or the service is shedding load.
    :param sends_open: sends of this leaf that may still answer.
    :param hedges_sent: hedges already sent for this leaf.
    :param remaining_us: time until the deadline in microseconds.
    :param expected_us: expected time of a further send in microseconds.
    """

    repeatable: bool
    suspect: bool
    overloaded: bool
    sends_open: int
    hedges_sent: int
    remaining_us: int
    expected_us: int


class HedgePolicy:
    """Delay and admissibility of hedges.

    The caller spends a token of the hedge budget after ``decide`` returned true, and sends
    nothing without one. A hedge goes to another slot where one is left, else to the same slot:
    a straggler is usually one slow answer and not a slow server.

    :param book: latency statistics.

    >>> policy = HedgePolicy(LatencyBook())
    >>> policy.get_delay_us("search")
    100000
    >>> policy.decide(HedgeContext(True, False, False, 1, 0, 50_000, 6_000))
    True
    """

    def __init__(self, book: LatencyBook) -> None:
        self._book = book

    def get_delay_us(self, service: str, hedges_sent: int = 0) -> int:
        """Return how long to wait after the latest send of a leaf before its next hedge.

        :param service: name of the service.
        :param hedges_sent: hedges already sent for this leaf.
        :returns: delay in microseconds.
        """
        median_us = self._book.get_median_us(service)
        if median_us == 0:
            return _FIRST_DELAY_US
        ceiling_us = int(median_us * _MEDIAN_CEILING)
        if self._book.get_records(service) < _MIN_RECORDS:
            return max(_MIN_DELAY_US, ceiling_us)
        if hedges_sent > 0:
            return max(_MIN_DELAY_US, self._book.get_quantile_us(service, _SECOND_QUANTILE))
        delay_us = self._book.get_quantile_us(service, _DELAY_QUANTILE)
        floor_us = int(median_us * _MEDIAN_FLOOR)
        return max(_MIN_DELAY_US, floor_us, min(delay_us, ceiling_us))

    def decide(self, context: HedgeContext) -> bool:
        """Decide whether a hedge may be sent now.

        :param context: facts about the leaf.
        :returns: whether a hedge is allowed and could still answer before the deadline.
        """
        return (
            context.repeatable
            and not context.suspect
            and not context.overloaded
            and context.sends_open > 0
            and context.hedges_sent < _MAX_HEDGES
            and context.remaining_us > context.expected_us
        )
