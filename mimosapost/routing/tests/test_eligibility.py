import pytest

from mimosapost.model.published import SlotSettings
from mimosapost.routing.eligibility import EligibilityView, Ineligible, check_slot

SERVER = "10.0.0.1:80"


@pytest.mark.parametrize(
    ("slot", "domains_out", "leaving", "expected"),
    [
        (SlotSettings("a", SERVER, "east"), (), (), None),
        (SlotSettings("a", SERVER, "east"), ("west",), ("10.0.0.2:80",), None),
        (SlotSettings("a", SERVER, "east"), ("east",), (), Ineligible.DOMAIN_OUT),
        (SlotSettings("a", SERVER, "east"), (), (SERVER,), Ineligible.SERVER_LEAVING),
        (SlotSettings("a", SERVER, "east", leaving=True), (), (), Ineligible.SERVER_LEAVING),
        (SlotSettings("a", SERVER, "east", leaving=True), ("east",), (), Ineligible.DOMAIN_OUT),
        (None, (), (), Ineligible.SLOT_REMOVED),
        (None, ("east",), (SERVER,), Ineligible.SLOT_REMOVED),
    ],
)
def test_check_slot(slot, domains_out, leaving, expected):
    """Guards invariants 4 and 8: work for a domain out of service or a leaving server.

    Fails when ``if slot.domain in view.domains_out:`` becomes ``if not view.domains_out:`` or
    ``slot.leaving or`` is dropped.
    """
    view = EligibilityView(frozenset(domains_out), frozenset(leaving))
    assert check_slot(slot, view) is expected
