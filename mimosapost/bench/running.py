"""Client of a running deployment: published settings, metrics and the stand-ins' records."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from mimosapost.bench.load import QueryKind
from mimosapost.model.published_settings import FleetTree, TeamTree
from mimosapost.settings.faults import Fault
from mimosapost.settings.published import check_fleet, check_team
from mimosapost.standins.trees import create_token

__all__ = [
    "DeploymentError",
    "PublishedTree",
    "RunningDeployment",
    "list_kinds",
    "sum_counters",
]

T = TypeVar("T")

_POLL_S = 0.2
_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
_SAMPLE = re.compile(r"^(mimosapost_\w+_total)(?:\{[^}]*\})? ([0-9.e+]+)$", re.MULTILINE)
# Relative frequency of the priority classes within a deployment's queries.
_WEIGHTS = {"urgent": 6.0, "normal": 3.0, "background": 1.0}


class DeploymentError(Exception):
    """The deployment is not as the run needs it; the message is one line."""


@dataclass(frozen=True, slots=True)
class PublishedTree:
    """Subtrees that the config service shows.

    :param fleet_text: value of the fleet's subtree as published.
    """

    fleet: FleetTree
    fleet_text: bytes
    teams: tuple[TeamTree, ...]

    def list_servers(self, domain: str) -> frozenset[str]:
        """Return the addresses of all backend servers of a failure domain."""
        return frozenset(
            slot.server
            for team in self.teams
            for service in team.services
            for leaf in service.leafs
            for slot in leaf.slots
            if slot.domain == domain
        )

    def map_cold_limits(self) -> dict[str, int]:
        """Return the limit of each server in cold start, the lowest where services share it."""
        limits: dict[str, int] = {}
        for team in self.teams:
            for service in team.services:
                for leaf in service.leafs:
                    for slot in leaf.slots:
                        known = limits.get(slot.server, service.cold_limit)
                        limits[slot.server] = min(known, service.cold_limit)
        return limits


def list_kinds(teams: Iterable[TeamTree], deadline_ms: int) -> tuple[QueryKind, ...]:
    """Return a mix over all callers and services, in the callers' own priorities.

    Each team gets the weight of its callers' priority, shared among its services.

    :param teams: subtrees of the teams; tokens are those of the examples.
    :param deadline_ms: deadline of each query.
    """
    kinds = []
    for team in teams:
        services = {service.name: service for service in team.services}
        for caller in team.callers:
            weight = _WEIGHTS[caller.top_priority] / len(team.callers) / len(caller.services)
            kinds.extend(
                QueryKind(
                    service=services[name],
                    caller=caller.name,
                    token=create_token(caller.name),
                    priority=caller.top_priority,
                    weight=weight,
                    deadline_ms=min(deadline_ms, services[name].max_deadline_ms),
                )
                for name in caller.services
            )
    return tuple(kinds)


def sum_counters(texts: Iterable[str]) -> Counter[str]:
    """Sum counters over labels and over the metrics pages of several instances.

    >>> sum_counters(['mimosapost_x_total{a="b"} 2', "mimosapost_x_total 1"])
    Counter({'mimosapost_x_total': 3})
    """
    totals: Counter[str] = Counter()
    for text in texts:
        for name, value in _SAMPLE.findall(text):
            totals[name] += int(float(value))
    return totals


class RunningDeployment:
    """HTTP client of entry instances and stand-ins.

    :param session: client session.
    :param instances: caller addresses of the entry instances.
    :param operators: their operator addresses.
    :param platform: address of the platform stand-in.
    :param control: control address of the stand-in backend servers.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        instances: Sequence[str],
        operators: Sequence[str],
        platform: str,
        control: str,
    ) -> None:
        self.instances = tuple(instances)
        self._session = session
        self._operators = tuple(operators)
        self._platform = platform
        self._control = control

    async def wait_until_ready(self, bound_s: float) -> None:
        """Wait until every instance is ready and the stand-ins answer.

        :raises DeploymentError: if some do not within ``bound_s`` seconds.
        """
        urls = [f"http://{address}/readyz" for address in self.instances]
        urls += [f"http://{self._platform}/control"]
        urls += [f"http://{self._control}/control/record?server=-"]
        waiting = set(urls)
        for _ in range(max(1, int(bound_s / _POLL_S))):
            for url in sorted(waiting):
                try:
                    async with self._session.get(url, timeout=_TIMEOUT) as response:
                        if response.status == 200:
                            waiting.discard(url)
                except (aiohttp.ClientError, OSError, TimeoutError):
                    continue
            if not waiting:
                return
            await asyncio.sleep(_POLL_S)
        raise DeploymentError(f"not ready within {bound_s:g} s: {', '.join(sorted(waiting))}")

    async def read_tree(self) -> PublishedTree:
        """Read the published subtrees.

        :raises DeploymentError: if a subtree is missing or invalid.
        """
        fleet_text = await self._read_subtree("fleet")
        fleet = _unwrap("fleet", check_fleet(fleet_text))
        teams = [
            _unwrap(team, check_team(await self._read_subtree(team))) for team in fleet.teams
        ]
        return PublishedTree(fleet, fleet_text, tuple(teams))

    async def publish_domains_out(self, tree: PublishedTree, domains: Sequence[str]) -> int:
        """Publish the fleet's subtree with these domains out, under the next version.

        :returns: the version.
        """
        shown = msgspec.json.decode(await self._get(f"{self._platform}/v1/tree/fleet"))
        value = msgspec.json.decode(tree.fleet_text)
        value |= {"version": shown["version"] + 1, "domains_out": list(domains)}
        order = {"publish": {"team": "fleet", "version": value["version"], "value": value}}
        await self._post(f"{self._platform}/control", order)
        return value["version"]

    async def fall_cold(self, servers: Iterable[str]) -> None:
        """Let stand-in backend servers fall into cold start, without a sign to clients."""
        for server in sorted(servers):
            await self._post(
                f"{self._control}/control", {"server": server, "do": ["fall_cold"]}
            )

    async def read_records(self) -> list[dict[str, Any]]:
        """Return the record of each stand-in backend server."""
        return msgspec.json.decode(await self._get(f"{self._control}/control/record"))

    async def read_counters(self) -> tuple[Counter[str], tuple[str, ...]]:
        """Return the counters of all instances, summed, and the pages that did not answer."""
        pages, silent = [], []
        for address in self._operators:
            try:
                pages.append((await self._get(f"{address}/metrics")).decode())
            except (aiohttp.ClientError, TimeoutError):
                silent.append(address)
        return sum_counters(pages), tuple(silent)

    async def ask(
        self, instance: str, kind: QueryKind, request: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Send one query to one instance and return its answer.

        :param kind: service and caller.
        :param request: body of the query as the caller interface describes it.
        """
        headers = {"X-Caller": kind.caller, "Authorization": f"Bearer {kind.token}"}
        url = f"http://{instance}/v1/services/{kind.service.name}/query"
        async with self._session.post(
            url, data=msgspec.json.encode(request), headers=headers, timeout=_TIMEOUT
        ) as response:
            return msgspec.json.decode(await response.read())

    async def _read_subtree(self, team: str) -> bytes:
        shown = msgspec.json.decode(await self._get(f"{self._platform}/v1/tree/{team}"))
        return msgspec.json.encode(shown["value"])

    async def _get(self, path: str) -> bytes:
        async with self._session.get(f"http://{path}", timeout=_TIMEOUT) as response:
            if response.status != 200:
                raise DeploymentError(f"GET {path}: status {response.status}")
            return await response.read()

    async def _post(self, path: str, body: Any) -> None:
        data = msgspec.json.encode(body)
        async with self._session.post(
            f"http://{path}", data=data, timeout=_TIMEOUT
        ) as response:
            if response.status != 200:
                raise DeploymentError(f"POST {path}: status {response.status}")


def _unwrap(name: str, checked: Result[T, tuple[Fault, ...]]) -> T:
    match checked:
        case Success(tree):
            return tree
        case Failure(faults):
            raise DeploymentError(f"subtree {name}: {faults[0]}")
    raise AssertionError("unreachable")
