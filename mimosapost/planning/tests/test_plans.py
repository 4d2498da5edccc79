"""Snapshot pinning, replanning and coverage."""

import pytest

from mimosapost.core.tests.fleet import create_team
from mimosapost.model.codes import MissingReason
from mimosapost.model.identities import Snapshot
from mimosapost.planning.coverage import Coverage
from mimosapost.planning.plans import Plan, create_plan, create_replan


def create_service(map_version=2, index_version=5):
    return create_team(map_version=map_version, index_version=index_version).services[0]


@pytest.mark.parametrize(("floor", "expected"), [(0, 5), (4, 5), (7, 7)])
def test_plan_is_pinned_to_the_newest_known_index(floor, expected):
    """Guards against a plan that goes back behind a version that was served."""
    plan = create_plan(create_service(), floor)
    assert plan.snapshot == Snapshot(2, expected)
    assert len(plan.leafs) == 3


@pytest.mark.parametrize(
    ("pinned", "held", "published", "expected"),
    [
        ((2, 5), (2, 6), (2, 5), (2, 6)),  # the leaf is ahead of the configuration
        ((2, 5), (2, 5), (2, 6), (2, 6)),  # the configuration moved on meanwhile
        ((2, 5), (2, 6), (2, 7), (2, 7)),
        ((2, 5), (3, 6), (3, 6), (3, 6)),  # new shard map, published
        ((2, 5), (3, 6), (2, 5), None),  # new shard map that is not published yet
        ((2, 5), (2, 4), (2, 5), None),  # a slot that is behind
        ((2, 5), (2, 5), (2, 5), None),
        ((2, 6), (2, 5), (2, 5), None),  # pinned at a floor above the published version
    ],
)
def test_replan(pinned, held, published, expected):
    """Guards against a plan at an older snapshot, and at leafs that are not known."""
    plan = Plan(Snapshot(*pinned), create_service().leafs)
    replan = create_replan(plan, Snapshot(*held), create_service(*published))
    if expected is None:
        assert replan is None
        return
    assert (replan.snapshot, replan.replanned) == (Snapshot(*expected), True)
    assert create_replan(replan, Snapshot(9, 9), create_service(9, 9)) is None


@pytest.mark.parametrize(
    ("leaf", "snapshot", "taken"),
    [
        ("leaf1", (2, 5), True),
        ("leaf0", (2, 5), False),  # covered already
        ("leaf9", (2, 5), False),  # not of this plan
        ("leaf1", (2, 6), False),
        ("leaf1", (1, 5), False),
    ],
)
def test_parts_of_the_coverage(leaf, snapshot, taken):
    """Guards against a part that is doubled, of another leaf or of another snapshot."""
    coverage = Coverage(create_plan(create_service()))
    assert coverage.add_part("leaf0", Snapshot(2, 5), ["first"])
    coverage.set_missing("leaf0", MissingReason.TIMED_OUT)
    coverage.set_missing("leaf2", MissingReason.SNAPSHOT_GONE)
    assert coverage.add_part(leaf, Snapshot(*snapshot), ["other"]) is taken
    assert coverage.list_covered() == (("leaf0", "leaf1") if taken else ("leaf0",))
    assert coverage.list_parts() == ([["first"], ["other"]] if taken else [["first"]])
    reasons = {entry.leaf: entry.reason for entry in coverage.list_missing()}
    assert reasons["leaf2"] is MissingReason.SNAPSHOT_GONE
    assert reasons.keys() | set(coverage.list_covered()) == {"leaf0", "leaf1", "leaf2"}
