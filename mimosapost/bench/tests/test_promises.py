"""Guards against a demonstration that reports success although a promise was broken."""

from dataclasses import replace

import pytest

from mimosapost.bench.load import LoadPlan, LoadResult, QueryKind, check_answer
from mimosapost.bench.promises import OnceResult, Outage, check_once, create_report
from mimosapost.bench.running import list_kinds
from mimosapost.commands.demo import format_report
from mimosapost.standins.results import compute_items
from mimosapost.standins.trees import create_sapatilha, create_sunbrook

SERVER = "127.10.1.1:9100"
OUTAGE = Outage("braga-a", out_s=106.0, back_s=114.0, servers=frozenset({SERVER}))
ONCE = OnceResult("billing", 2007, "not_run", {"0": 1000, "1": 1000}, {"a": 1}, ("a",), True)


def create_load(timeline=((1.0, 5.0, 1000, 1.0), (10.0, 5.0, 1000, 1.0)), **changes):
    load = LoadResult(queries=2, answered=2, leafs_wanted=2, leafs_covered=2, started_s=100.0)
    load.timeline = list(timeline)
    for name, value in changes.items():
        setattr(load, name, value)
    return load


def create_record(*started_s, cold_peak=4):
    runs = [{"started_ms": 1_000 * time_s} for time_s in started_s]
    return {"address": SERVER, "cold_peak": cold_peak, "records": runs}


def report(load=None, record=None, once=ONCE):
    record = record or create_record(101.0, 108.9, 120.0)
    return create_report(load or create_load(), [record], {SERVER: 4}, OUTAGE, {}, once)


def test_held_promises_break_nothing():
    """Guards against a failure reported without cause, at the edge of each bound."""
    held = report()
    assert held.broken == []
    assert held.last_send_s == pytest.approx(2.9)
    assert held.sends == 3
    assert held.extra_share == pytest.approx(0.5)
    assert format_report(held).endswith("every promise held\n")


BROKEN = [
    ({"load": create_load(wrong=["s: a leaf is covered twice"])}, "a leaf is covered twice"),
    ({"load": create_load(connection_errors=1)}, "connection errors: 1"),
    ({"load": create_load(answered=0)}, "no query was answered"),
    ({"load": create_load([(9.5, 5.0, 1001, 0.5)])}, "coverage 50.000%"),
    # A refused query covers nothing, also after the domain is back.
    ({"load": create_load([(16.0, 5.0, 3001, 0.0)])}, "coverage 0.000%"),
    # Without any query from then on, nothing shows the coverage.
    ({"load": create_load([(1.0, 5.0, 1000, 1.0)])}, "coverage 0.000%"),
    ({"record": create_record(109.5)}, "1 sends to domain braga-a later than 3 s"),
    ({"record": create_record(cold_peak=5)}, f"above their limit: {SERVER}"),
    ({"once": replace(ONCE, runs={"a": 2})}, "ran 2 times on a"),
]


@pytest.mark.parametrize(("given", "reason"), BROKEN)
def test_each_broken_promise_is_named(given, reason):
    broken = report(**given)
    assert len(broken.broken) == 1
    assert reason in broken.broken[0]
    assert f"promise broken: {broken.broken[0]}" in format_report(broken)


def test_work_outside_the_outage_breaks_nothing():
    """Guards against counting sends before the domain left or after it came back."""
    held = report(record=create_record(99.0, 105.9, 114.1))
    assert held.broken == []
    assert held.last_send_s is None
    # The send before the load began is not extra load.
    assert held.sends == 2


ONCE_BROKEN = [
    (replace(ONCE, first_code=1000, first_run="ran"), "without ticket got code 1000"),
    (replace(ONCE, codes={"0": 4004}), "got code 4004 from 0"),
    (replace(ONCE, runs={}), "ran 0 times on a"),
    (replace(ONCE, same_result=False), "different results"),
]


@pytest.mark.parametrize(("once", "reason"), ONCE_BROKEN)
def test_wrong_single_run_is_named(once, reason):
    assert [reason in text for text in check_once(once)] == [True]


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
    (["leaf-0", "leaf-1"], (1, 1), ""),
    (["leaf-0"], (1,), ""),
    (["leaf-0", "leaf-0"], (1, 1), "a leaf is covered twice"),
    (["leaf-0", "leaf-1"], (1, 2), "result differs"),
]


@pytest.mark.parametrize(("covered", "versions", "fault"), ANSWERS)
def test_mixed_and_doubled_answers_are_found(covered, versions, fault):
    kind = QueryKind(create_sapatilha(1).teams[0].services[0], "fitting", "", "urgent")
    body = {"kind": "search", "term": 1, "count": 5}
    found = check_answer(kind, body, create_answer(kind, body, covered, versions))
    assert found.startswith(fault)
    assert bool(found) == bool(fault)


@pytest.mark.parametrize("deployment", [create_sapatilha(), create_sunbrook()])
def test_mix_covers_every_service_and_priority(deployment):
    """Guards against a demonstration that leaves out a team or a priority class."""
    kinds = list_kinds(deployment.teams, 1_000)
    assert {kind.service.name for kind in kinds} == {
        service.name for team in deployment.teams for service in team.services
    }
    assert {kind.priority for kind in kinds} == {"urgent", "normal", "background"}
    assert LoadPlan(1.0, 1.0, 1, kinds).kinds == kinds
