"""Tests that each scenario measures what its targets state.

A scenario proves nothing if its actions change no server, if a target refers to a figure that
does not exist, or if a missing figure counts as a target met.
"""

import msgspec
import pytest
from hdrh.histogram import HdrHistogram

from mimosapost.bench.deployments import create_deployment
from mimosapost.bench.figures import compute_figures
from mimosapost.bench.load import LoadResult
from mimosapost.bench.report import format_table, judge_targets
from mimosapost.bench.scenarios import Scenario, Target, find_scenario, list_scenarios, scenario
from mimosapost.commands.load import list_scenario_kinds, select_slots
from mimosapost.standins.behaviour import Behaviour
from mimosapost.standins.trees import format_tree

DEPLOYMENTS = ("sapatilha", "sunbrook", "wide")
DEFAULTS = msgspec.structs.asdict(Behaviour())


def create_record(address, *requests):
    names = ("started_ms", "concurrent", "cold", "outcome")
    listed = [dict(zip(names, request, strict=True)) for request in requests]
    return {
        "address": address,
        "boot_id": "a-boot-3",
        "requests": len(listed),
        "records": listed,
    }


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("name", list_scenarios())
def test_every_action_changes_something(name, deployment):
    found = find_scenario(name, deployment)
    created = create_deployment(deployment, 9160)
    services = [kind.service for kind in list_scenario_kinds(found, created.teams)]
    for action in found.actions:
        assert action.at_s < found.seconds
        if action.kind == "servers":
            assert select_slots(action, services, min(created.fleet.regions))
            msgspec.convert(DEFAULTS | action.change, Behaviour)
            assert action.change or action.do
        elif action.kind == "platform":
            assert action.change


@pytest.mark.parametrize("name", list_scenarios())
def test_every_target_has_a_figure(name):
    found = find_scenario(name)
    figures = compute_figures(found, LoadResult(), [], 0.0, {})
    assert {target.figure for target in found.targets} <= set(figures)


@pytest.mark.parametrize("name", list_scenarios())
def test_a_run_without_answers_meets_no_latency_target(name):
    found = find_scenario(name)
    figures = compute_figures(found, LoadResult(), [], 0.0, {})
    verdicts = judge_targets(found.targets, {"p99_ms": 1.0}, figures)
    assert not any(verdict.met for verdict in verdicts if verdict.target.figure.startswith("p"))


def test_duplicate_scenario_names_are_rejected():
    with pytest.raises(ValueError, match="registered already"):
        scenario(lambda: Scenario("steady", "", ()))


# Target, figure of the naive side, figure of the tier, and whether the target is met.
VERDICTS = [
    pytest.param(
        Target("p99_ms", 0.25, relative=True), 100.0, 25.0, True, id="relative-at-bound"
    ),
    pytest.param(
        Target("p99_ms", 0.25, relative=True), 100.0, 26.0, False, id="relative-above-bound"
    ),
    pytest.param(Target("p99_ms", 0.25, relative=True), 0.0, 1.0, False, id="relative-to-zero"),
    pytest.param(Target("p99_ms", 0.25, relative=True), None, 1.0, False, id="no-naive-figure"),
    pytest.param(Target("p99_ms", 1.0), None, None, False, id="no-tier-figure"),
    pytest.param(Target("p99_ms", 1.0, least=True), 0.0, 1.0, True, id="lower-bound-reached"),
    pytest.param(Target("p99_ms", 1.0, least=True), 2.0, 0.999, False, id="below-lower-bound"),
]


@pytest.mark.parametrize(("target", "naive", "tier", "met"), VERDICTS)
def test_verdict_follows_from_figures(target, naive, tier, met):
    (verdict,) = judge_targets((target,), {"p99_ms": naive}, {"p99_ms": tier})
    assert verdict.met is met
    sides = [
        {"deployment": "wide", "scenario": "steady", "seed": 1, "figures": {"p99_ms": value}}
        for value in (naive, tier)
    ]
    assert ("MISSED" not in format_table(*sides, [verdict])) is met


def test_figures_of_servers_count_the_right_requests():
    """Each figure must count only the requests of its own period, server state and domain."""
    found = Scenario("x", "", (), fault_s=1.0, settled_s=2.0, quiet_period_s=(3.0, 4.0))
    records = [
        create_record("a", (1_500, 8, True, "crashed"), (2_500, 2, True, "answered")),
        create_record("b", (3_500, 9, False, "answered"), (4_000, 1, True, "crashed")),
    ]
    result = LoadResult(leafs_sent=2, histogram=HdrHistogram(1, 1_000, 3))
    result.timeline = [(0.5, 10.0, 1000, 1.0), (2.5, 30.0, 1000, 0.5), (2.6, 0.0, 0, 0.0)]
    result.lost.update({"victim": 3, "other": 1})
    limits = {"a": 4, "b": 4}
    figures = compute_figures(found, result, records, 0.0, limits, "victim", frozenset("b"))
    assert figures["extra_sends"] == 1.0
    assert (figures["cold_ratio"], figures["cold_ratio_after"]) == (2.0, 0.5)
    assert (figures["crashes"], figures["crashes_after"]) == (4, 1)
    assert figures["quiet_requests"] == 1
    assert figures["lost_elsewhere"] == 1
    assert figures["p99_after_ratio"] == 3.0
    assert figures["coverage_after"] == 0.25


def test_port_argument_changes_only_the_ports():
    """The port argument must change only the ports of the published example trees."""
    for name in DEPLOYMENTS[:2]:
        texts = [format_tree(create_deployment(name, port).teams[0]) for port in (9100, 9161)]
        assert texts[0].replace(":9100", ":9161") == texts[1]
