"""Snapshot pinning, replanning and coverage of queries."""

import pytest

from mimosapost.core.tests.simulated_fleet import create_team
from mimosapost.model.codes import MissingReason
from mimosapost.model.identities import Snapshot
from mimosapost.planning.coverage import Coverage
from mimosapost.planning.plans import Plan, create_plan, create_replan


def create_service(map_version=2, index_version=5):
    return create_team(map_version=map_version, index_version=index_version).services[0]


@pytest.mark.parametrize(
    ("floor", "expected"),
    [
        pytest.param(0, 5, id="no-floor"),
        pytest.param(4, 5, id="floor-below-published"),
        pytest.param(7, 7, id="floor-above-published"),
    ],
)
def test_plan_is_pinned_to_the_newest_known_index(floor, expected):
    """A plan must not use an older index version than one that was already served."""
    plan = create_plan(create_service(), floor)
    assert plan.snapshot == Snapshot(2, expected)
    assert len(plan.leafs) == 3


@pytest.mark.parametrize(
    ("pinned", "held", "published", "expected"),
    [
        pytest.param((2, 5), (2, 6), (2, 5), (2, 6), id="leaf-newer-than-configuration"),
        pytest.param((2, 5), (2, 5), (2, 6), (2, 6), id="newer-index-published-meanwhile"),
        pytest.param((2, 5), (2, 6), (2, 7), (2, 7), id="published-newer-than-leaf"),
        pytest.param((2, 5), (3, 6), (3, 6), (3, 6), id="new-shard-map-published"),
        pytest.param((2, 5), (3, 6), (2, 5), None, id="new-shard-map-not-published-yet"),
        pytest.param((2, 5), (2, 4), (2, 5), None, id="slot-with-older-index"),
        pytest.param((2, 5), (2, 5), (2, 5), None, id="no-newer-snapshot"),
        pytest.param((2, 6), (2, 5), (2, 5), None, id="pinned-at-floor-above-published"),
    ],
)
def test_replan(pinned, held, published, expected):
    """A new plan must not use an older snapshot or a shard map whose leafs are not known."""
    plan = Plan(Snapshot(*pinned), create_service().leafs)
    replan = create_replan(plan, Snapshot(*held), create_service(*published))
    if expected is None:
        assert replan is None
        return
    assert (replan.snapshot, replan.replanned) == (Snapshot(*expected), True)
    assert create_replan(replan, Snapshot(9, 9), create_service(9, 9)) is None


@pytest.mark.parametrize(
    ("leaf", "snapshot", "added"),
    [
        pytest.param("leaf1", (2, 5), True, id="missing-leaf"),
        pytest.param("leaf0", (2, 5), False, id="covered-leaf"),
        pytest.param("leaf9", (2, 5), False, id="leaf-not-in-plan"),
        pytest.param("leaf1", (2, 6), False, id="other-index-version"),
        pytest.param("leaf1", (1, 5), False, id="other-map-version"),
    ],
)
def test_add_part(leaf, snapshot, added):
    """A duplicate part, or one of an unknown leaf or another snapshot, must be refused."""
    coverage = Coverage(create_plan(create_service()))
    assert coverage.add_part("leaf0", Snapshot(2, 5), ["first"])
    coverage.set_missing("leaf0", MissingReason.TIMED_OUT)
    coverage.set_missing("leaf2", MissingReason.SNAPSHOT_GONE)
    assert coverage.add_part(leaf, Snapshot(*snapshot), ["other"]) is added
    assert coverage.list_covered() == (("leaf0", "leaf1") if added else ("leaf0",))
    assert coverage.list_parts() == ([["first"], ["other"]] if added else [["first"]])
    reasons = {entry.leaf: entry.reason for entry in coverage.list_missing()}
    assert reasons["leaf2"] is MissingReason.SNAPSHOT_GONE
    assert reasons.keys() | set(coverage.list_covered()) == {"leaf0", "leaf1", "leaf2"}
