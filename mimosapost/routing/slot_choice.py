"""Weighted random selection of the slot that receives a send."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from mimosapost.model.identities import SlotId

__all__ = ["Candidate", "choose_slot"]

_REPORTED_LOAD_HALF_LIFE_US = 2_000_000
# A slot that is twice as slow gets 1/16 of the weight. With a higher exponent, instances that
# observe the same slow server all move their sends at once; with a lower one, slow servers
# receive more sends.
_LATENCY_EXPONENT = 4.0
# Of two otherwise equal slots, one reported as fully loaded and one as idle, at most 74% of the
# sends go to the idle one and at least 26% to the other. These bounds hold even if all
# instances use the same report.
_REPORTED_LOAD_EXPONENT = 1.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe one eligible slot of a leaf.

    :param slot_id: the slot.
    :param server: address of its server.
    :param in_flight: number of sends that this instance has open at the server.
    :param allowance: largest number of sends that this instance may have open at the server.
    :param latency_us: latency that this instance estimates, from
        ``LatencyTracker.get_slot_us``, in microseconds.
    :param locality_us: network round trip to the slot's domain, in microseconds. It is added
        to ``latency_us``, so a distant slot is used when the nearby ones are busy or slow.
    :param reported_load: load that the server last reported, from 0 (idle) to 1 (full).
    :param report_age_us: age of that report in microseconds.
    :param live: whether the server is not known to be dead.
    """

    slot_id: SlotId
    server: str
    in_flight: int
    allowance: int
    latency_us: int
    locality_us: int
    reported_load: float
    report_age_us: int
    live: bool


def _compute_weight(candidate: Candidate) -> float:
    free_sends = candidate.allowance - candidate.in_flight
    # Queueing time grows with 1 / (1 - utilisation). This counts a send in flight at once; the
    # latency estimate reflects it only after its answer.
    expected_us = (candidate.latency_us + candidate.locality_us + 1) * (
        candidate.allowance / free_sends
    )
    weight = expected_us**-_LATENCY_EXPONENT
    if candidate.reported_load > 0.0:
        load = min(candidate.reported_load, 1.0)
        freshness = 0.5 ** (max(candidate.report_age_us, 0) / _REPORTED_LOAD_HALF_LIFE_US)
        weight *= (1.0 + load * freshness) ** -_REPORTED_LOAD_EXPONENT
    return weight


def choose_slot(candidates: Sequence[Candidate], rng: Random) -> int | None:
    """Choose a slot at random, with weights that fall steeply with the expected time.

    If each instance always took the best slot, all instances with the same outdated load report
    would move to the same server at once. A weighted draw limits how many sends one report can
    move, and every slot still receives some.

    :param candidates: eligible slots of one leaf.
    :param rng: random number generator, seeded by the caller.
    :returns: index of the chosen slot in ``candidates``, or ``None`` if every live slot has
        reached its allowance.

    >>> full = Candidate(SlotId("s", "0", "a"), "10.0.0.1:80", 6, 6, 500, 0, 0.0, 0, True)
    >>> free = Candidate(SlotId("s", "0", "b"), "10.0.0.2:80", 5, 6, 900, 0, 0.9, 0, True)
    >>> choose_slot([full, free], Random(1))
    1
    """
    last_usable = None
    total_weight = 0.0
    weights = []
    for index, candidate in enumerate(candidates):
        if candidate.live and candidate.in_flight < candidate.allowance:
            weight = _compute_weight(candidate)
            total_weight += weight
            weights.append((index, weight))
            last_usable = index
    if len(weights) < 2:
        return last_usable
    draw = rng.random() * total_weight
    for index, weight in weights:
        draw -= weight
        if draw < 0.0:
            return index
    return last_usable
