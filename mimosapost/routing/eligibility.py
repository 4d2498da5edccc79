"""Eligibility of a slot at the moment of sending."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mimosapost.model.published import SlotSettings

__all__ = ["EligibilityView", "Ineligible", "check_slot"]


class Ineligible(Enum):
    """Why a slot must not receive new work."""

    DOMAIN_OUT = "domain_out"
    SERVER_LEAVING = "server_leaving"
    SLOT_REMOVED = "slot_removed"


@dataclass(frozen=True, slots=True)
class EligibilityView:
    """What the configuration in force says about domains and servers.

    :param domains_out: failure domains out of service, of the fleet and of the team.
    :param leaving: addresses of servers known to be leaving (draining), from any source other
        than the slot's own settings.
    """

    domains_out: frozenset[str]
    leaving: frozenset[str]


def check_slot(slot: SlotSettings | None, view: EligibilityView) -> Ineligible | None:
    """Check whether a slot may receive new work now.

    Call it directly before every send: first sends, hedges, retries, probes and queued sends.
    A result must not be kept, because the configuration may change between two sends.

    :param slot: the slot's settings in the configuration in force, ``None`` if it has none.
    :param view: domains and servers out of service in the configuration in force.
    :returns: the reason against sending, or ``None`` if the slot is eligible.

    >>> slot = SlotSettings("a", "10.0.0.1:80", "east")
    >>> check_slot(slot, EligibilityView(frozenset({"east"}), frozenset()))
    <Ineligible.DOMAIN_OUT: 'domain_out'>
    """
    if slot is None:
        return Ineligible.SLOT_REMOVED
    if slot.domain in view.domains_out:
        return Ineligible.DOMAIN_OUT
    if slot.leaving or slot.server in view.leaving:
        return Ineligible.SERVER_LEAVING
    return None
