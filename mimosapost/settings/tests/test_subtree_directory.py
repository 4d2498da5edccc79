"""Tests for the check of a directory of subtrees.

Subtrees can each be valid and still contradict each other, for example when two teams publish a
service of the same name. The check of a directory must report this, but only as a warning.
"""

import json

import pytest

from mimosapost.settings.subtree_directory import check_tree
from mimosapost.settings.tests.test_published import create_fleet, create_team, replace_value

REGIONS = {"porto-a": "porto", "braga-a": "braga"}


def write_tree(root, fleet=None, **teams):
    (root / "teams").mkdir()
    fleet = fleet or create_fleet(regions=REGIONS, teams=sorted(teams))
    (root / "fleet.json").write_text(json.dumps(fleet))
    for name, tree in teams.items():
        (root / "teams" / f"{name}.json").write_text(json.dumps(tree))


def create_second_team(**changes):
    slot = ("services", 0, "leafs", 0, "slots", 0)
    repair = replace_value(create_team(team="repair"), ("services", 0, "name"), "history")
    repair = replace_value(repair, ("callers", 0, "name"), "bench")
    repair = replace_value(repair, ("callers", 0, "services"), ["history"])
    return replace_value(repair, (*slot, "domain"), "porto-a") | changes


# Location and value of the change to the second team, file and path of the warning.
WARNINGS = [
    pytest.param(
        ("services", 0, "name"),
        "search",
        "repair.json",
        "services[0].name",
        id="service name of two teams",
    ),
    pytest.param(
        ("callers", 0, "name"),
        "desk",
        "repair.json",
        "callers[0].name",
        id="caller name of two teams",
    ),
    pytest.param(
        ("services", 0, "leafs", 0, "slots", 1, "domain"),
        "x",
        "repair.json",
        "slots[1].domain",
        id="unknown domain of a slot",
    ),
    pytest.param(
        ("domains_out",), ["x"], "repair.json", "domains_out[0]", id="unknown domain taken out"
    ),
]


def test_valid_tree_is_clean(tmp_path):
    write_tree(tmp_path, booking=create_team(), repair=create_second_team())
    report = check_tree(tmp_path)
    assert [tree.team for tree in report.teams] == ["booking", "repair"]
    assert (report.faults, report.warnings) == ((), ())


@pytest.mark.parametrize(("location", "value", "file", "path"), WARNINGS)
def test_rules_across_files_only_warn(tmp_path, location, value, file, path):
    repair = replace_value(create_second_team(), location, value)
    repair["callers"][0]["services"] = [repair["services"][0]["name"]]
    write_tree(tmp_path, booking=create_team(), repair=repair)
    report = check_tree(tmp_path)
    assert report.faults == ()
    assert len(report.teams) == 2
    (warning,) = report.warnings
    assert warning.file.endswith(file)
    assert warning.fault.path.endswith(path)


FLEETS = [
    pytest.param(
        {"teams": ["booking", "gone"]},
        "fleet.json",
        "teams[1]",
        id="listed team without a file",
    ),
    pytest.param({"teams": []}, "booking.json", "team", id="file of a team that is not listed"),
    pytest.param(
        {"domains_out": ["x"]}, "fleet.json", "domains_out[0]", id="unknown domain taken out"
    ),
]


@pytest.mark.parametrize(("changes", "file", "path"), FLEETS)
def test_fleet_and_teams_are_compared(tmp_path, changes, file, path):
    fleet = create_fleet(regions=REGIONS) | changes
    write_tree(tmp_path, fleet, booking=create_team())
    report = check_tree(tmp_path)
    (warning,) = report.warnings
    assert warning.file.endswith(file)
    assert warning.fault.path == path
    assert report.faults == ()


def test_faults_of_every_file_are_reported(tmp_path):
    write_tree(tmp_path, create_fleet(version=0), booking=create_second_team(), repair={})
    (tmp_path / "teams" / "zz.json").mkdir()
    report = check_tree(tmp_path)
    assert report.fleet is None
    files = [entry.file.rsplit("/", 1)[1] for entry in report.faults]
    assert files == ["fleet.json", "booking.json", "repair.json", "repair.json", "zz.json"]


def test_missing_fleet_file_is_a_fault(tmp_path):
    (fault,) = check_tree(tmp_path).faults
    assert "No such file" in str(fault)
