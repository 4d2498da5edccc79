"""HTTP client of a running deployment: published settings, metrics, records of stand-ins."""

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
    "list_query_kinds",
    "sum_counters",
]

T = TypeVar("T")

_POLL_S = 0.2
_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
_COUNTER_LINE = re.compile(r"^(mimosapost_\w+_total)(?:\{[^}]*\})? ([0-9.e+]+)$", re.MULTILINE)
# Relative frequency of the priority classes within a deployment's queries.
_PRIORITY_WEIGHTS = {"urgent": 6.0, "normal": 3.0, "background": 1.0}


class DeploymentError(Exception):
    """Deployment is not in the state that the run requires; the message is one line."""


@dataclass(frozen=True, slots=True)
class PublishedTree:
    """Subtrees that the config service publishes.

    :param fleet_text: JSON of the fleet's subtree as published.
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
        """Return the cold limit by server address; of services sharing a server the lowest."""
        limits: dict[str, int] = {}
        for team in self.teams:
            for service in team.services:
                for leaf in service.leafs:
                    for slot in leaf.slots:
                        limit = limits.get(slot.server, service.cold_limit)
                        limits[slot.server] = min(limit, service.cold_limit)
        return limits


def list_query_kinds(teams: Iterable[TeamTree], deadline_ms: int) -> tuple[QueryKind, ...]:
    """Return a mix of queries over all callers and services.

    Each query has the highest priority that its caller may use. The weight of that priority is
    divided equally among the callers of the team and the services of the caller.

    :param teams: subtrees of the teams, with the tokens of the example deployments.
    :param deadline_ms: deadline of each query, at most the limit of the service.
    """
    kinds = []
    for team in teams:
        services = {service.name: service for service in team.services}
        for caller in team.callers:
            weight = (
                _PRIORITY_WEIGHTS[caller.top_priority]
                / len(team.callers)
                / len(caller.services)
            )
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
    """Sum each counter over its labels and over the metrics pages of several instances.

    :param texts: metrics pages in Prometheus text format.

    >>> sum_counters(['mimosapost_x_total{a="b"} 2', "mimosapost_x_total 1"])
    Counter({'mimosapost_x_total': 3})
    """
    totals: Counter[str] = Counter()
    for text in texts:
        for name, value in _COUNTER_LINE.findall(text):
            totals[name] += int(float(value))
    return totals


class RunningDeployment:
    """HTTP client of the entry instances and stand-ins of a deployment.

    :param session: client session.
    :param instances: caller addresses of the entry instances.
    :param operators: operator addresses of the entry instances.
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

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until every instance is ready and the stand-ins answer.

        :param timeout_s: longest wait in seconds, not counting the duration of the requests.
        :raises DeploymentError: if an instance or a stand-in is not ready in time.
        """
        urls = [f"http://{address}/readyz" for address in self.instances]
        urls += [f"http://{self._platform}/control"]
        urls += [f"http://{self._control}/control/record?server=-"]
        pending_urls = set(urls)
        for _ in range(max(1, int(timeout_s / _POLL_S))):
            for url in sorted(pending_urls):
                try:
                    async with self._session.get(url, timeout=_TIMEOUT) as response:
                        if response.status == 200:
                            pending_urls.discard(url)
                except (aiohttp.ClientError, OSError, TimeoutError):
                    continue
            if not pending_urls:
                return
            await asyncio.sleep(_POLL_S)
        raise DeploymentError(
            f"instances or stand-ins not ready within {timeout_s:g} s: "
            f"{', '.join(sorted(pending_urls))}"
        )

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
        """Publish the next version of the fleet's subtree, with the given domains out.

        :param tree: published subtrees.
        :param domains: names of the domains to take out, none to return all to service.
        :returns: published version.
        """
        published = msgspec.json.decode(await self._get(f"{self._platform}/v1/tree/fleet"))
        value = msgspec.json.decode(tree.fleet_text)
        value |= {"version": published["version"] + 1, "domains_out": list(domains)}
        command = {"publish": {"team": "fleet", "version": value["version"], "value": value}}
        await self._post(f"{self._platform}/control", command)
        return value["version"]

    async def fall_cold(self, servers: Iterable[str]) -> None:
        """Put stand-in backend servers into cold start without notice to their clients."""
        for server in sorted(servers):
            await self._post(
                f"{self._control}/control", {"server": server, "do": ["fall_cold"]}
            )

    async def read_records(self) -> list[dict[str, Any]]:
        """Return the record of each stand-in backend server."""
        return msgspec.json.decode(await self._get(f"{self._control}/control/record"))

    async def read_counters(self) -> tuple[Counter[str], tuple[str, ...]]:
        """Return the summed counters and the operator addresses that did not answer."""
        pages, unreachable = [], []
        for address in self._operators:
            try:
                pages.append((await self._get(f"{address}/metrics")).decode())
            except (aiohttp.ClientError, TimeoutError):
                unreachable.append(address)
        return sum_counters(pages), tuple(unreachable)

    async def send_query(
        self, instance: str, kind: QueryKind, request: Mapping[str, Any]
    ) -> dict[str, Any]:
        """Send one query to one instance and return the answer.

        :param instance: caller address of the instance.
        :param kind: service and caller of the query.
        :param request: request body in the format of the caller interface.
        """
        headers = {"X-Caller": kind.caller, "Authorization": f"Bearer {kind.token}"}
        url = f"http://{instance}/v1/services/{kind.service.name}/query"
        async with self._session.post(
            url, data=msgspec.json.encode(request), headers=headers, timeout=_TIMEOUT
        ) as response:
            return msgspec.json.decode(await response.read())

    async def _read_subtree(self, team: str) -> bytes:
        published = msgspec.json.decode(await self._get(f"{self._platform}/v1/tree/{team}"))
        return msgspec.json.encode(published["value"])

    async def _get(self, path: str) -> bytes:
        async with self._session.get(f"http://{path}", timeout=_TIMEOUT) as response:
            if response.status != 200:
                raise DeploymentError(f"GET {path}: status {response.status}, expected 200")
            return await response.read()

    async def _post(self, path: str, body: Any) -> None:
        data = msgspec.json.encode(body)
        async with self._session.post(
            f"http://{path}", data=data, timeout=_TIMEOUT
        ) as response:
            if response.status != 200:
                raise DeploymentError(f"POST {path}: status {response.status}, expected 200")


def _unwrap(name: str, checked: Result[T, tuple[Fault, ...]]) -> T:
    match checked:
        case Success(tree):
            return tree
        case Failure(faults):
            raise DeploymentError(f"published subtree {name} is invalid: {faults[0]}")
    raise AssertionError("unreachable")
