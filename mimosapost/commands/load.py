"""``mimosapost load``: run the load and the faults of a scenario against running instances."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from mimosapost.bench.figures import compute_figures
from mimosapost.bench.load import LoadPlan, QueryKind, run_load
from mimosapost.bench.scenarios import Action, Scenario, find_scenario, list_scenarios
from mimosapost.commands.registry import CommandError, command
from mimosapost.model.published_settings import (
    FleetTree,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.settings.subtree_directory import check_tree
from mimosapost.standins.trees import create_token, format_tree

__all__ = ["list_scenario_kinds", "load", "select_slots"]

_READY_TIMEOUT_S = 30.0


@command("load")
def load(
    tree: Path,
    scenario: str,
    *,
    targets: list[str],
    deployment: str = "",
    control: str = "127.0.0.1:8101",
    platform: str = "127.0.0.1:8100",
    victim: int = 0,
    side: str = "tier",
    seed: int = 1,
) -> int:
    """Run a scenario against entry instances and print its figures as one line of JSON.

    :param tree: directory with ``fleet.json`` and ``teams/``.
    :param scenario: name of the scenario.
    :param targets: caller addresses of the entry instances; the last instance is the one that
        some scenarios kill.
    :param deployment: sapatilha, sunbrook or wide; selects the load and is part of the output.
    :param control: control address of the stand-in backend servers.
    :param platform: address of the platform stand-in.
    :param victim: process id of the last target, for scenarios that kill an instance.
    :param side: tier or naive; only part of the output.
    :param seed: seed of the load.
    """
    if scenario not in list_scenarios():
        raise CommandError(
            f"unknown scenario {scenario!r}: expected one of {', '.join(list_scenarios())}"
        )
    report = check_tree(tree)
    if report.faults or report.fleet is None:
        raise CommandError(
            "; ".join(str(fault) for fault in report.faults[:5]) or "fleet.json is missing"
        )
    selected = find_scenario(scenario, deployment)
    if any(action.kind == "kill" for action in selected.actions) and victim <= 1:
        raise CommandError(
            f"scenario {scenario} needs --victim, the process id of the last target"
        )
    scenario_run = _ScenarioRun(
        selected, report.fleet, report.teams, targets, control, platform, victim
    )
    figures = asyncio.run(scenario_run.run(seed))
    document = {"side": side, "scenario": scenario, "deployment": deployment, "seed": seed}
    print(msgspec.json.encode(document | {"figures": figures}).decode())
    return 0


def list_scenario_kinds(
    scenario: Scenario, teams: tuple[TeamTree, ...]
) -> tuple[QueryKind, ...]:
    """Return the query mix of a scenario, with one kind for each caller of a measured service.

    :param scenario: scenario whose mix and deadline apply.
    :param teams: subtrees of the deployment's teams.
    :returns: the kinds of queries.
    """
    measured = teams if scenario.mix == "teams" else teams[:1]
    return tuple(
        QueryKind(
            team.services[0],
            caller.name,
            create_token(caller.name),
            caller.top_priority,
            weight=1 / len(team.callers),
            deadline_ms=min(scenario.deadline_ms, team.services[0].max_deadline_ms),
        )
        for team in measured
        for caller in team.callers
    )


def select_slots(
    action: Action, services: list[ServiceSettings], domain: str
) -> list[SlotSettings]:
    """Return the slots whose servers an action changes.

    :param action: action of a scenario.
    :param services: measured services.
    :param domain: failure domain of the slots that the selection ``domain`` returns.
    :returns: the selected slots.
    """
    leafs = [leaf for service in services for leaf in service.leafs]
    slots = [slot for leaf in leafs for slot in leaf.slots]
    match action.select:
        case "first slots":
            return [leaf.slots[0] for leaf in leafs]
        case "one server":
            return slots[:1]
        case "domain":
            return [slot for slot in slots if slot.domain == domain]
    return slots


class _ScenarioRun:
    """Run of a scenario: its load and, at their times, its actions."""

    def __init__(
        self,
        scenario: Scenario,
        fleet: FleetTree,
        teams: tuple[TeamTree, ...],
        targets: list[str],
        control: str,
        platform: str,
        victim: int,
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._targets = targets
        self._control = f"http://{control}/control"
        self._platform = f"http://{platform}/control"
        self._victim = victim
        self._kinds = list_scenario_kinds(scenario, teams)
        self._services = list(
            {kind.service.name: kind.service for kind in self._kinds}.values()
        )
        self._domain = min(fleet.regions)

    async def run(self, seed: int) -> dict[str, Any]:
        scenario = self._scenario
        plan = LoadPlan(
            scenario.rate_per_s,
            scenario.seconds,
            seed,
            self._kinds,
            scenario.warmup_s,
            scenario.repeated,
        )
        async with aiohttp.ClientSession() as session:
            await self._wait_until_ready(session)
            for action in scenario.actions:
                if action.at_s == 0:
                    await self._apply_action(session, action)
            started_s = time.monotonic()
            actions = asyncio.create_task(self._apply_timed_actions(session, started_s))
            result = await run_load(plan, self._targets, time.monotonic)
            await actions
            records = await self._read_records(session)
        slots = [
            (service, slot)
            for service in self._services
            for leaf in service.leafs
            for slot in leaf.slots
        ]
        return compute_figures(
            scenario,
            result,
            records,
            started_s * 1_000,
            {slot.server: service.cold_limit for service, slot in slots},
            self._targets[-1] if self._victim else "",
            frozenset(slot.server for _, slot in slots if slot.domain == self._domain),
        )

    async def _wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        give_up_s = time.monotonic() + _READY_TIMEOUT_S
        for target in self._targets:
            while True:
                try:
                    async with session.get(f"http://{target}/readyz") as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, OSError):
                    pass
                if time.monotonic() > give_up_s:
                    raise CommandError(
                        f"instance {target} was not ready within {_READY_TIMEOUT_S:g} s"
                    )
                await asyncio.sleep(0.1)

    async def _apply_timed_actions(
        self, session: aiohttp.ClientSession, started_s: float
    ) -> None:
        for action in sorted(self._scenario.actions, key=lambda action: action.at_s):
            if action.at_s > 0:
                await asyncio.sleep(max(0.0, started_s + action.at_s - time.monotonic()))
                await self._apply_action(session, action)

    async def _apply_action(self, session: aiohttp.ClientSession, action: Action) -> None:
        match action.kind:
            case "kill":
                os.kill(self._victim, signal.SIGKILL)
            case "platform":
                await self._post(
                    session, self._platform, self._create_platform_change(action.change)
                )
            case "servers":
                for slot in select_slots(action, self._services, self._domain):
                    change = {"server": slot.server, "set": action.change, "do": action.do}
                    await self._post(session, self._control, change)

    def _create_platform_change(self, change: dict[str, Any]) -> dict[str, Any]:
        if "domains_out" not in change:
            return change
        out = (self._domain,) if change["domains_out"] else ()
        version = self._fleet.version + 1
        self._fleet = replace(self._fleet, version=version, domains_out=out)
        value = msgspec.json.decode(format_tree(self._fleet))
        return {"publish": {"team": "fleet", "version": version, "value": value}}

    async def _post(self, session: aiohttp.ClientSession, url: str, change: Any) -> None:
        async with session.post(url, data=msgspec.json.encode(change)) as response:
            if response.status != 200:
                raise CommandError(
                    f"{url} answered status {response.status}: {await response.text()}"
                )

    async def _read_records(self, session: aiohttp.ClientSession) -> list[dict[str, Any]]:
        records = []
        for service in self._services:
            for leaf in service.leafs:
                for slot in leaf.slots:
                    params = {"server": slot.server}
                    async with session.get(
                        f"{self._control}/record", params=params
                    ) as response:
                        records += msgspec.json.decode(await response.read())
        return records
