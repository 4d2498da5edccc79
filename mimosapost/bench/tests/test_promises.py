"""Tests of the checks of ``mimosapost demo``, which must report each broken promise.

A check that compares with the wrong bound or period, or that overlooks an answer, lets the
demonstration report success although the tier broke a promise.
"""

from dataclasses import replace

import pytest

from mimosapost.bench.load import LoadPlan, LoadResult, QueryKind, check_answer
from mimosapost.bench.promises import (
    Outage,
    SingleExecutionResult,
    check_single_execution,
    create_report,
)
from mimosapost.bench.running import list_query_kinds
from mimosapost.commands.demo import format_report
from mimosapost.standins.deterministic_results import compute_items
from mimosapost.standins.trees import create_sapatilha, create_sunbrook

SERVER = "127.10.1.1:9100"
OUTAGE = Outage("braga-a", removed_s=106.0, returned_s=114.0, servers=frozenset({SERVER}))
EXECUTION_RESULT = SingleExecutionResult(
    "billing", 2007, "not_run", {"0": 1000, "1": 1000}, {"a": 1}, ("a",), True
)


def create_load(timeline=((1.0, 5.0, 1000, 1.0), (10.0, 5.0, 1000, 1.0)), **changes):
    load = LoadResult(queries=2, answered=2, leafs_wanted=2, leafs_covered=2, started_s=100.0)
    load.timeline = list(timeline)
    for name, value in changes.items():
        setattr(load, name, value)
    return load


def create_record(*started_s, cold_peak=4):
    runs = [{"started_ms": 1_000 * time_s} for time_s in started_s]
    return {"address": SERVER, "cold_peak": cold_peak, "records": runs}


def report(load=None, record=None, execution_result=EXECUTION_RESULT):
    record = record or create_record(101.0, 108.9, 120.0)
    return create_report(
        load or create_load(), [record], {SERVER: 4}, OUTAGE, {}, execution_result
    )


def test_figures_within_their_bounds_break_no_promise():
    """Figures at their bounds or just within them must not be reported as broken promises."""
    kept = report()
    assert kept.broken == []
    assert kept.last_send_s == pytest.approx(2.9)
    assert kept.sends == 3
    assert kept.extra_share == pytest.approx(0.5)
    assert format_report(kept).endswith("every promise held\n")


BROKEN_PROMISES = [
    pytest.param(
        {"load": create_load(wrong=["s: a leaf is covered twice"])},
        "a leaf is covered twice",
        id="wrong-answer",
    ),
    pytest.param(
        {"load": create_load(connection_errors=1)},
        "connection errors: 1",
        id="connection-error",
    ),
    pytest.param({"load": create_load(answered=0)}, "no query was answered", id="no-answer"),
    pytest.param(
        {"load": create_load([(9.5, 5.0, 1001, 0.5)])},
        "coverage 50.000%",
        id="partial-coverage-after-grace",
    ),
    # A refused query has coverage 0, also after the domain has returned to service.
    pytest.param(
        {"load": create_load([(16.0, 5.0, 3001, 0.0)])},
        "coverage 0.000%",
        id="query-refused-after-return",
    ),
    # Without a query after the grace time the coverage is unknown and counts as 0.
    pytest.param(
        {"load": create_load([(1.0, 5.0, 1000, 1.0)])},
        "coverage 0.000%",
        id="no-query-after-grace",
    ),
    pytest.param(
        {"record": create_record(109.5)},
        "1 sends to domain braga-a later than 3 s",
        id="send-after-grace",
    ),
    pytest.param(
        {"record": create_record(cold_peak=5)},
        f"servers in cold start exceeded their cold limit: {SERVER}",
        id="cold-limit-exceeded",
    ),
    pytest.param(
        {"execution_result": replace(EXECUTION_RESULT, runs={"a": 2})},
        "ran 2 times on a",
        id="executed-twice",
    ),
]


@pytest.mark.parametrize(("arguments", "reason"), BROKEN_PROMISES)
def test_each_broken_promise_is_named(arguments, reason):
    broken = report(**arguments)
    assert len(broken.broken) == 1
    assert reason in broken.broken[0]
    assert f"promise broken: {broken.broken[0]}" in format_report(broken)


def test_sends_outside_the_outage_break_no_promise():
    """Sends before the domain is taken out and after it returns to service are allowed."""
    kept = report(record=create_record(99.0, 105.9, 114.1))
    assert kept.broken == []
    assert kept.last_send_s is None
    # The send before the start of the load does not count as extra load.
    assert kept.sends == 2


BROKEN_EXECUTIONS = [
    pytest.param(
        replace(EXECUTION_RESULT, first_code=1000, first_run="ran"),
        "without a ticket got code 1000",
        id="accepted-without-ticket",
    ),
    pytest.param(
        replace(EXECUTION_RESULT, codes={"0": 4004}),
        "got code 4004 from 0",
        id="refused-with-ticket",
    ),
    pytest.param(replace(EXECUTION_RESULT, runs={}), "ran 0 times on a", id="not-executed"),
    pytest.param(
        replace(EXECUTION_RESULT, same_result=False),
        "different results",
        id="different-results",
    ),
]


@pytest.mark.parametrize(("execution_result", "reason"), BROKEN_EXECUTIONS)
def test_each_broken_single_execution_is_named(execution_result, reason):
    assert [reason in text for text in check_single_execution(execution_result)] == [True]


def create_answer(kind, body, covered, index_versions=(1, 1)):
    names = [leaf.name for leaf in kind.service.leafs]
    result = []
    for leaf, version in zip(covered, index_versions, strict=True):
        result += compute_items(kind.service.name, leaf, body, version)
    missing = [{"leaf": name, "reason": 6001} for name in names if name not in covered]
    snapshot = {"map_version": 1, "index_version": 1}
    coverage = {"covered": covered, "missing": missing}
    return {"code": 1000, "result": result, "snapshot": snapshot, "coverage": coverage}


ANSWERS = [
    pytest.param(["leaf-0", "leaf-1"], (1, 1), "", id="complete"),
    pytest.param(["leaf-0"], (1,), "", id="partial"),
    pytest.param(
        ["leaf-0", "leaf-0"], (1, 1), "a leaf is covered twice", id="leaf-covered-twice"
    ),
    pytest.param(["leaf-0", "leaf-1"], (1, 2), "result differs", id="mixed-index-versions"),
]


@pytest.mark.parametrize(("covered", "versions", "fault"), ANSWERS)
def test_mixed_and_doubled_answers_are_found(covered, versions, fault):
    kind = QueryKind(create_sapatilha(1).teams[0].services[0], "fitting", "", "urgent")
    body = {"kind": "search", "term": 1, "count": 5}
    found = check_answer(kind, body, create_answer(kind, body, covered, versions))
    assert found.startswith(fault)
    assert bool(found) == bool(fault)


@pytest.mark.parametrize(
    "deployment", [create_sapatilha(), create_sunbrook()], ids=["sapatilha", "sunbrook"]
)
def test_mix_covers_every_service_and_priority(deployment):
    """The mix must include each service and each priority class.

    Otherwise the demonstration would report success without testing them.
    """
    kinds = list_query_kinds(deployment.teams, 1_000)
    assert {kind.service.name for kind in kinds} == {
        service.name for team in deployment.teams for service in team.services
    }
    assert {kind.priority for kind in kinds} == {"urgent", "normal", "background"}
    assert LoadPlan(1.0, 1.0, 1, kinds).kinds == kinds
