import pytest

from mimosapost.model.published_settings import SlotSettings
from mimosapost.routing.eligibility import EligibilityView, IneligibilityReason, check_slot

SERVER = "10.0.0.1:80"


@pytest.mark.parametrize(
    ("slot", "domains_out", "leaving", "expected"),
    [
        pytest.param(SlotSettings("a", SERVER, "east"), (), (), None, id="eligible"),
        pytest.param(
            SlotSettings("a", SERVER, "east"),
            ("west",),
            ("10.0.0.2:80",),
            None,
            id="other-domain-out-and-other-server-leaving",
        ),
        pytest.param(
            SlotSettings("a", SERVER, "east"),
            ("east",),
            (),
            IneligibilityReason.DOMAIN_OUT,
            id="domain-out",
        ),
        pytest.param(
            SlotSettings("a", SERVER, "east"),
            (),
            (SERVER,),
            IneligibilityReason.SERVER_LEAVING,
            id="server-leaving",
        ),
        pytest.param(
            SlotSettings("a", SERVER, "east", leaving=True),
            (),
            (),
            IneligibilityReason.SERVER_LEAVING,
            id="slot-leaving",
        ),
        pytest.param(
            SlotSettings("a", SERVER, "east", leaving=True),
            ("east",),
            (),
            IneligibilityReason.DOMAIN_OUT,
            id="slot-leaving-and-domain-out",
        ),
        pytest.param(None, (), (), IneligibilityReason.SLOT_REMOVED, id="no-slot"),
        pytest.param(
            None,
            ("east",),
            (SERVER,),
            IneligibilityReason.SLOT_REMOVED,
            id="no-slot-but-domain-out-and-server-leaving",
        ),
    ],
)
def test_check_slot(slot, domains_out, leaving, expected):
    """A domain out of service or a leaving server must get no new work.

    These are invariants 4 and 8 of docs/design.md. Fails when ``if slot.domain in
    view.domains_out:`` becomes ``if not view.domains_out:`` or ``slot.leaving or`` is dropped.
    """
    view = EligibilityView(frozenset(domains_out), frozenset(leaving))
    assert check_slot(slot, view) is expected
