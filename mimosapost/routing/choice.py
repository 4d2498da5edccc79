"""Choice of the slot that receives a send."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from mimosapost.model.identities import SlotId

__all__ = ["Candidate", "choose_slot"]

_REPORT_HALF_LIFE_US = 2_000_000
# A slot that is twice as slow gets 1/16 of the weight. A higher power lets instances that see
# the same slow server move together; a lower one sends more to slow servers.
_OWN_POWER = 4.0
# With this power a fresh report of full against none shifts at most 74% to 26%, whatever the
# instances have in common.
_REPORT_POWER = 1.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """One eligible slot of a leaf.

    :param slot_id: the slot.
    :param server: address of its server.
    :param in_flight: sends of this instance that are open at the server.
    :param allowance: sends that this instance may have open at the server.
    :param latency_us: own estimate, from ``LatencyBook.get_slot_us``, in microseconds.
    :param locality_us: network round trip to the slot's domain, in microseconds. It is added
        to the estimate, so a far slot is used when the near ones are busy or slow.
    :param reported_load: last reported load from 0 to 1.
    :param report_age_us: age of that report in microseconds.
    :param live: the server is not known to be dead.
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


def _weigh(candidate: Candidate) -> float:
    free = candidate.allowance - candidate.in_flight
    # Waiting grows with 1 / (1 - utilisation), so a send in flight counts before its answer.
    expected_us = (candidate.latency_us + candidate.locality_us + 1) * (
        candidate.allowance / free
    )
    weight = expected_us**-_OWN_POWER
    if candidate.reported_load > 0.0:
        load = min(candidate.reported_load, 1.0)
        fresh = 0.5 ** (max(candidate.report_age_us, 0) / _REPORT_HALF_LIFE_US)
        weight *= (1.0 + load * fresh) ** -_REPORT_POWER
    return weight


def choose_slot(candidates: Sequence[Candidate], rng: Random) -> int | None:
    """Choose a slot at random, with weights that fall steeply with the expected time.

    Always taking the best slot would make all instances with the same lagging report move to
    the same server. A weighted draw bounds what a report can shift, and leaves every slot some
    sends.

    :param candidates: eligible slots of one leaf.
    :param rng: seeded source of random numbers.
    :returns: index of the chosen slot, ``None`` if no live slot has free allowance.

    >>> full = Candidate(SlotId("s", "0", "a"), "10.0.0.1:80", 6, 6, 500, 0, 0.0, 0, True)
    >>> free = Candidate(SlotId("s", "0", "b"), "10.0.0.2:80", 5, 6, 900, 0, 0.9, 0, True)
    >>> choose_slot([full, free], Random(1))
    1
    """
    chosen = None
    total = 0.0
    weights = []
    for index, candidate in enumerate(candidates):
        if candidate.live and candidate.in_flight < candidate.allowance:
            weight = _weigh(candidate)
            total += weight
            weights.append((index, weight))
            chosen = index
    if len(weights) < 2:
        return chosen
    draw = rng.random() * total
    for index, weight in weights:
        draw -= weight
        if draw < 0.0:
            return index
    return chosen
