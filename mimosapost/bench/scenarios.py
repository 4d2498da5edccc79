"""Scenarios of the measurement against the naive tier: load, control actions, targets.

A scenario is data. Its targets are those of the design page, section 2; where the page states
none for a fault, the reason of the target stands beside it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Literal

from mimosapost.bench.load import RepeatedQuery
from mimosapost.model.codes import ResultCode

__all__ = ["Action", "Scenario", "Target", "find_scenario", "list_scenarios"]

Kind = Literal["servers", "platform", "kill"]
Select = Literal["all", "first slots", "one server", "domain"]
POISON = {"kind": "search", "term": "poison", "count": 5}


@dataclass(frozen=True, slots=True)
class Action:
    """One change during a run.

    :param at_s: time in seconds after the start of the load.
    :param kind: ``servers`` changes backend servers of the measured services, ``platform``
        the platform stand-in, ``kill`` ends one entry instance with SIGKILL.
    :param select: servers to change; ``domain`` is that of the first domain of the fleet.
    :param change: new values of fields of ``Behaviour``, or orders to the platform; the order
        ``domains_out`` takes the first domain of the fleet out (true) or back (false).
    :param do: actions of the servers, as ``POST /control`` takes them.
    """

    at_s: float
    kind: Kind
    select: Select = "all"
    change: dict[str, Any] = field(default_factory=dict)
    do: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Target:
    """A bound on one figure of the tier.

    :param figure: key of the exported figures.
    :param bound: inclusive bound.
    :param least: whether the bound is a lower one.
    :param relative: whether the figure is divided by that of the naive side first.
    """

    figure: str
    bound: float
    least: bool = False
    relative: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load plan, actions and targets; times in seconds after the start of the load.

    :param mix: ``teams`` is the first service of each team, ``service`` the first of the first.
    :param fault_s: begin of the fault; the figures named "before" end here.
    :param settled_s: from here on the figures named "after" are taken.
    :param quiet_s: span in which the servers of the domain out must get no request.
    :param repeated: query that is sent again and again.
    """

    name: str
    title: str
    targets: tuple[Target, ...]
    actions: tuple[Action, ...] = ()
    rate_per_s: float = 120.0
    warmup_s: float = 8.0
    seconds: float = 22.0
    median_ms: float = 20.0
    deadline_ms: int = 1_000
    mix: Literal["teams", "service"] = "teams"
    fault_s: float | None = None
    settled_s: float | None = None
    quiet_s: tuple[float, float] | None = None
    repeated: RepeatedQuery | None = None


# Invariants 1, 2 and 5: no answer mixed, doubled or crossed.
_NO_WRONG = Target("wrong_count", 0)
_WHOLE = Target("coverage", 1.0, least=True)
_EXTRA = Target("extra_sends", 0.05)
_TAIL = Target("p99_ms", 0.25, relative=True)
_STEADY = Target("p99_ms", 1.10, relative=True)
# The tier learns that a server is cold only by its first failure, so the work that is in
# flight at that moment is given beside the work after the first second.
_COLD = (Target("cold_ratio", 1.0), Target("cold_ratio_after", 1.0))

# The stand-ins boot cold. A measurement begins with a running deployment.
_WARM = Action(0.0, "servers", change={"cold": False})
# 25 connections x 2 slots a leaf, busy for 0.1 s and two trips of at most 12 ms: about 400
# queries a second use them up. 70% of that is the load of the design page's targets.
_BUSY = {"rate_per_s": 280.0, "median_ms": 100.0, "mix": "service", "deadline_ms": 2_000}

_SCENARIOS: dict[str, Scenario] = {}


def scenario(create: Callable[[], Scenario]) -> Callable[[], Scenario]:
    """Register the scenario that a function creates.

    :param create: function without parameters.
    :returns: the function unchanged.
    :raises ValueError: if the name is taken.
    """
    created = create()
    if created.name in _SCENARIOS:
        raise ValueError(f"scenario {created.name!r} is registered already")
    actions = (_WARM, *created.actions)
    _SCENARIOS[created.name] = replace(created, actions=actions)
    return create


def list_scenarios() -> tuple[str, ...]:
    """Return the names of all scenarios in the order of registration."""
    return tuple(_SCENARIOS)


def find_scenario(name: str, deployment: str = "") -> Scenario:
    """Return a scenario, with the load that suits a deployment.

    The wide deployment has 180 sends a query. At 4 queries a second they use about a fifth of
    a core in the stand-ins, and the processor time of 180 sends (about 40 ms on one instance)
    stays well below the median service time.

    :param name: name of the scenario.
    :param deployment: ``wide`` for one service of 180 leafs.
    :raises KeyError: for an unknown name.
    """
    found = _SCENARIOS[name]
    if deployment != "wide":
        return found
    return replace(
        found, rate_per_s=4.0, warmup_s=10.0, seconds=70.0, median_ms=200.0, deadline_ms=20_000
    )


@scenario
def create_steady() -> Scenario:
    """Create the run without faults."""
    return Scenario("steady", "no fault", (_STEADY, _WHOLE, _EXTRA, _NO_WRONG))


@scenario
def create_straggler_slot() -> Scenario:
    """Create the run with one slot of each leaf 20 times slower.

    The page has no target of its own for it; that of rare stragglers is used.
    """
    slow = Action(0.0, "servers", "first slots", {"straggler_probability": 1.0})
    return Scenario(
        "straggler_slot",
        "one straggler slot a leaf",
        (_TAIL, _WHOLE, _EXTRA, _NO_WRONG),
        (slow,),
    )


@scenario
def create_stragglers() -> Scenario:
    """Create the run with 1 in 100 sub-answers 20 times the median."""
    slow = Action(0.0, "servers", change={"straggler_probability": 0.01})
    targets = (_TAIL, _WHOLE, _EXTRA, _NO_WRONG)
    return Scenario("stragglers", "1 in 100 sub-answers x 20", targets, (slow,))


@scenario
def create_lost_instance() -> Scenario:
    """Create the loss of one of four instances at 70% load."""
    targets = (
        Target("lost_elsewhere", 0),
        Target("p99_after_ratio", 1.25),
        Target("coverage_after", 1.0, least=True),
        _NO_WRONG,
    )
    return Scenario(
        "lost_instance",
        "1 of 4 instances killed at 70% load",
        targets,
        (Action(12.0, "kill"),),
        fault_s=12.0,
        settled_s=17.0,
        seconds=24.0,
        **_BUSY,
    )


@scenario
def create_domain_out() -> Scenario:
    """Create a domain that is taken out, shut down 4 s later, started cold and taken back."""
    targets = (
        Target("coverage_after", 1.0, least=True),
        Target("quiet_requests", 0),
        *_COLD[1:],
        _NO_WRONG,
    )
    actions = (
        Action(11.0, "platform", change={"domains_out": True}),
        Action(15.0, "servers", "domain", {"restart_ms": 4_000.0}, ("crash",)),
        Action(20.0, "platform", change={"domains_out": False}),
    )
    return Scenario(
        "domain_out",
        "a domain out and back",
        targets,
        actions,
        fault_s=11.0,
        settled_s=14.0,
        quiet_s=(14.0, 20.0),
        seconds=26.0,
    )


@scenario
def create_fall_cold() -> Scenario:
    """Create the unannounced fall of one server into cold start at 70% load."""
    return Scenario(
        "fall_cold",
        "a server falls into cold start at 70% load",
        (*_COLD, Target("coverage_after", 1.0, least=True), _NO_WRONG),
        (Action(12.0, "servers", "one server", {}, ("fall_cold",)),),
        fault_s=12.0,
        settled_s=13.0,
        **_BUSY,
    )


@scenario
def create_silent() -> Scenario:
    """Create connections of one slot of each leaf that never answer again."""
    return Scenario(
        "silent",
        "open connections of one slot a leaf go silent",
        (Target("coverage_after", 1.0, least=True), Target("p99_after_ratio", 1.25), _NO_WRONG),
        (Action(12.0, "servers", "first slots", {}, ("silence_connections",)),),
        fault_s=12.0,
        settled_s=15.0,
    )


@scenario
def create_config_down() -> Scenario:
    """Create the loss of the config service and the instance list."""
    return Scenario(
        "config_down",
        "config service and instance list down",
        (_STEADY, _WHOLE, _NO_WRONG),
        (Action(8.0, "platform", change={"mode": "down"}),),
        fault_s=8.0,
        settled_s=8.0,
    )


@scenario
def create_poison() -> Scenario:
    """Create a caller that sends a request again and again that crashes its servers.

    The page bounds no crash count. A second crash confirms the request, which is then refused
    for 60 s, so none may follow in the "after" part; and each other query is answered whole.
    """
    codes = (Target("crashes_after", 0), Target("coverage_after", 1.0, least=True), _NO_WRONG)
    return Scenario(
        "poison",
        "a request that crashes its servers, 4 times a second",
        codes,
        (Action(0.0, "servers", change={"crash_bodies": [POISON]}),),
        fault_s=10.0,
        settled_s=14.0,
        repeated=RepeatedQuery(POISON, 0.25, 10.0),
    )


#: Codes of an answer with a result.
ANSWERED = (ResultCode.COMPLETE, ResultCode.PARTIAL)
