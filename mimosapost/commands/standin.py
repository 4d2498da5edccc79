"""``mimosapost standin``: run stand-ins for the platform and for all backend servers."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from mimosapost.commands.registry import CommandError, command
from mimosapost.model.published_settings import FleetTree, ServiceSettings, TeamTree
from mimosapost.settings.subtree_directory import check_tree
from mimosapost.standins.backends import Backends
from mimosapost.standins.behaviour import Behaviour
from mimosapost.standins.platform import PlatformStandin

__all__ = ["Network", "list_behaviours", "standin"]


@dataclass(frozen=True, slots=True)
class Network:
    """Network delays and service times of a deployment, in milliseconds.

    :param domain_ms: one-way delay between failure domains of the same region.
    :param region_ms: one-way delay between regions.
    :param connect_ms: time to open a connection, by the connection limit of the server.
    :param median_ms: median service time.
    :param spread: standard deviation of the logarithm of the service time.
    """

    domain_ms: float
    region_ms: float
    connect_ms: dict[int, float]
    median_ms: float = 2.0
    spread: float = 0.3


_NETWORKS = {
    "sapatilha": Network(1.5, 8.0, {25: 6.0, 110: 1.0}),
    "sunbrook": Network(0.5, 12.0, {25: 6.0, 40: 1.0}),
}


@command("standin")
def standin(
    tree: Path,
    *,
    network: str = "sapatilha",
    host: str = "127.0.0.1",
    port: int = 8100,
    control_port: int = 8101,
    clients: list[str] | None = None,
    median_ms: float = 2.0,
    seed: int = 1,
) -> int:
    """Run stand-ins for the platform and for every backend server of a published tree.

    :param tree: directory with ``fleet.json`` and ``teams/``.
    :param network: deployment whose network delays apply: sapatilha or sunbrook.
    :param host: IP address of the platform stand-in.
    :param port: port of the configuration service and the instance list.
    :param control_port: port of the control address of the backend servers.
    :param clients: ``ip=domain`` of each entry instance, which determines the network delays
        between the instance and the backend servers.
    :param median_ms: median service time of a backend server in milliseconds.
    :param seed: seed of service times.
    """
    report = check_tree(tree)
    if report.faults or report.fleet is None:
        raise CommandError(
            "; ".join(str(fault) for fault in report.faults[:5]) or "fleet.json is missing"
        )
    if network not in _NETWORKS:
        raise CommandError(
            f"unknown network {network!r}: expected one of {', '.join(_NETWORKS)}"
        )
    client_locations = {}
    for client in clients or []:
        address, _, domain = client.partition("=")
        client_locations[address] = (domain, report.fleet.regions.get(domain, ""))
    behaviours = dict(
        list_behaviours(report.fleet, report.teams, _NETWORKS[network], median_ms)
    )
    asyncio.run(_run(tree, behaviours, client_locations, host, port, control_port, seed))
    return 0


def list_behaviours(
    fleet: FleetTree, teams: Iterable[TeamTree], network: Network, median_ms: float
) -> Iterator[tuple[str, Behaviour]]:
    """Yield the address and the behaviour of each backend server of a tree.

    :param fleet: the fleet's subtree.
    :param teams: subtrees of the teams.
    :param network: network delays of the deployment.
    :param median_ms: median service time of a backend server in milliseconds.
    """
    for team in teams:
        for service in team.services:
            yield from _list_service_behaviours(fleet, service, network, median_ms)


def _list_service_behaviours(
    fleet: FleetTree, service: ServiceSettings, network: Network, median_ms: float
) -> Iterator[tuple[str, Behaviour]]:
    for leaf in service.leafs:
        for slot in leaf.slots:
            yield (
                slot.server,
                Behaviour(
                    domain=slot.domain,
                    region=fleet.regions.get(slot.domain, ""),
                    domain_ms=network.domain_ms,
                    region_ms=network.region_ms,
                    connect_ms=network.connect_ms.get(service.connections, 1.0),
                    median_ms=median_ms,
                    spread=network.spread,
                    connections=service.connections,
                    cold=True,
                    cold_limit=service.cold_limit,
                    warm_answers=service.ramp_answers,
                    report_lag_ms=500.0,
                ),
            )


async def _run(
    tree: Path,
    behaviours: dict[str, Behaviour],
    client_locations: dict[str, tuple[str, str]],
    host: str,
    port: int,
    control_port: int,
    seed: int,
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    async with AsyncExitStack() as stack:
        platform = PlatformStandin(host, port)
        await platform.start()
        stack.push_async_callback(platform.stop)
        addresses = {name: name for name in behaviours}
        await stack.enter_async_context(
            Backends(
                behaviours,
                seed,
                client_locations,
                addresses=addresses,
                control_port=control_port,
            )
        )
        platform.publish("fleet", 1, (tree / "fleet.json").read_bytes())
        for path in sorted((tree / "teams").glob("*.json")):
            platform.publish(path.stem, 1, path.read_bytes())
        await stopped.wait()
