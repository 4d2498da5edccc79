"""Tests for ``mimosapost explain``.

Operators rely on its output before a change, so slots, reasons and shares must follow from the
published settings.
"""

import sys
from dataclasses import replace
from types import ModuleType

import msgspec
import pytest

from mimosapost.commands.entry import main
from mimosapost.commands.explain import plan_service
from mimosapost.standins.trees import create_sapatilha, write_deployment


def divide_evenly(limit, seat, ceiling, key):
    """Replace ``compute_share`` by a function that gives the remainder to the lowest seats."""
    return limit // ceiling + (seat < limit % ceiling)


def plan(fleet=None, team=None, domain="", out=(), leaving=()):
    deployment = create_sapatilha()
    fleet = replace(deployment.fleet, **(fleet or {}))
    tree = replace(deployment.teams[0], **(team or {}))
    service = tree.services[0]
    leafs = tuple(
        replace(
            leaf,
            slots=tuple(replace(slot, leaving=slot.server in leaving) for slot in leaf.slots),
        )
        for leaf in service.leafs
    )
    return plan_service(
        fleet, tree, replace(service, leafs=leafs), domain, out, 0, divide_evenly
    )


# The slots of the first service are in braga-a and faro-a for its first leaf and in faro-a and
# porto-a for its second.
REASONS = [
    pytest.param({}, [], id="all used"),
    pytest.param({"out": ["braga-a"]}, ["domain out by option"], id="one domain out by option"),
    pytest.param(
        {"out": ["faro-a"]},
        ["domain out by option"] * 2,
        id="domain of two slots out by option",
    ),
    pytest.param(
        {"fleet": {"domains_out": ("braga-a",)}},
        ["domain out for the fleet"],
        id="domain out for the fleet",
    ),
    pytest.param(
        {"team": {"domains_out": ("porto-a",)}},
        ["domain out for team booking"],
        id="domain out for the team",
    ),
    pytest.param({"leaving": ["127.10.1.1:9100"]}, ["server leaving"], id="leaving server"),
]


@pytest.mark.parametrize(("arguments", "reasons"), REASONS)
def test_unused_slots_state_the_reason(arguments, reasons):
    result = plan(**arguments)
    found = [slot.left_out for leaf in result.leafs for slot in leaf.slots if slot.left_out]
    assert found == reasons
    assert all(leaf.covered for leaf in result.leafs)


def test_leaf_without_slot_is_not_covered():
    result = plan(out=["faro-a", "porto-a"])
    assert [leaf.covered for leaf in result.leafs] == [True, False]


def test_slots_are_ordered_by_locality():
    result = plan(fleet={"regions": {"x": "r", "porto-a": "r", "faro-a": "s"}}, domain="x")
    localities = [[slot.locality for slot in leaf.slots] for leaf in result.leafs]
    assert localities == [["other region"] * 2, ["same region", "other region"]]
    assert result.leafs[1].slots[0].domain == "porto-a"


def test_shares_follow_the_limits():
    result = plan()
    slot = result.leafs[0].slots[0]
    assert (slot.connections.limit, slot.connections.share, slot.connections.leased) == (
        25,
        7,
        3,
    )
    assert (slot.cold_limit.limit, slot.cold_limit.share, slot.cold_limit.leased) == (4, 1, 0)
    assert (result.concurrency.limit, result.concurrency.share) == (200, 50)
    assert set(result.callers) == {"fitting", "recital"}


def test_only_callers_of_the_service_are_listed():
    fitting, recital = create_sapatilha().teams[0].callers
    result = plan(team={"callers": (fitting, replace(recital, services=("booking-02",)))})
    assert set(result.callers) == {"fitting"}


@pytest.fixture
def tree(tmp_path, monkeypatch):
    module = ModuleType("mimosapost.limits.shares")
    module.compute_share = divide_evenly
    monkeypatch.setitem(sys.modules, "mimosapost.limits.shares", module)
    write_deployment(create_sapatilha(1), tmp_path)
    return str(tmp_path)


def test_text_and_json(tree, capsys):
    arguments = ["explain", tree, "--service", "booking-01", "--domain", "porto-a"]
    arguments += ["--seat", "3", "--out", "faro-a", "braga-a"]
    assert main(arguments) == 0
    text = capsys.readouterr().out
    assert "covered: 1 of 2 leafs" in text
    assert "leaf leaf-0: NO ELIGIBLE SLOT" in text
    assert main([*arguments, "--json"]) == 0
    result = msgspec.json.decode(capsys.readouterr().out)
    assert [leaf["covered"] for leaf in result["leafs"]] == [False, True]
    assert result["leafs"][0]["slots"][0]["connections"]["share"] == 6


ERRORS = [
    pytest.param(
        ["--service", "nope"], "no team publishes a service nope", id="unknown service"
    ),
    pytest.param(
        ["--service", "booking-01", "--domain", "x"],
        "unknown failure domain x",
        id="unknown domain",
    ),
    pytest.param(
        ["--service", "booking-01", "--out", "x"],
        "unknown failure domain x",
        id="unknown domain out",
    ),
    pytest.param(
        ["--service", "booking-01", "--seat", "4"],
        "seat 4: expected 0 to 3",
        id="seat at the ceiling",
    ),
    pytest.param(
        ["--service", "booking-01", "--seat", "x"], "invalid int value: 'x'", id="text as seat"
    ),
    pytest.param([], "--service", id="no service"),
]


@pytest.mark.parametrize(("options", "reason"), ERRORS)
def test_errors_are_one_line(tree, capsys, options, reason):
    assert main(["explain", tree, *options]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert reason in line


def test_refused_tree_is_one_line(tree, tmp_path, capsys):
    (tmp_path / "teams" / "booking.json").write_text("{}")
    assert main(["explain", tree, "--service", "billing"]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert "booking.json: team: found nothing" in line
