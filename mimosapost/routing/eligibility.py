"""Check whether a slot may receive a send under the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mimosapost.model.published_settings import SlotSettings

__all__ = ["EligibilityView", "IneligibilityReason", "check_slot"]


class IneligibilityReason(Enum):
    """Name the reason why a slot must not receive new work."""

    DOMAIN_OUT = "domain_out"
    SERVER_LEAVING = "server_leaving"
    SLOT_REMOVED = "slot_removed"


@dataclass(frozen=True, slots=True)
class EligibilityView:
    """List the domains and servers that must not receive new work.

    :param domains_out: failure domains that are out of service for the whole fleet or for the
        team.
    :param leaving: addresses of servers that are draining according to any source other than
        the slot's own settings.
    """

    domains_out: frozenset[str]
    leaving: frozenset[str]


def check_slot(slot: SlotSettings | None, view: EligibilityView) -> IneligibilityReason | None:
    """Check whether a slot may receive new work now.

    Call this function directly before every send: first sends, hedges, retries, probes and
    queued sends. Don't cache the result, because the configuration may change between two
    sends.

    :param slot: settings of the slot in the configuration in force, or ``None`` if that
        configuration no longer contains the slot.
    :param view: domains and servers out of service in the configuration in force.
    :returns: why the slot must not receive the send, or ``None`` if it is eligible.

    >>> slot = SlotSettings("a", "10.0.0.1:80", "east")
    >>> check_slot(slot, EligibilityView(frozenset({"east"}), frozenset()))
    <IneligibilityReason.DOMAIN_OUT: 'domain_out'>
    """
    if slot is None:
        return IneligibilityReason.SLOT_REMOVED
    if slot.domain in view.domains_out:
        return IneligibilityReason.DOMAIN_OUT
    if slot.leaving or slot.server in view.leaving:
        return IneligibilityReason.SERVER_LEAVING
    return None
