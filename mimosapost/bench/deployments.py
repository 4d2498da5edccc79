"""Deployments to measure: a published tree and the settings files of four instances.

``python -m mimosapost.bench.deployments DIRECTORY --deployment sapatilha`` writes the files.
"""

from __future__ import annotations

from hashlib import sha256
from pathlib import Path

import defopt
import msgspec

from mimosapost.model.published_settings import (
    CallerSettings,
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.standins.trees import (
    Deployment,
    create_sapatilha,
    create_sunbrook,
    create_token,
    write_deployment,
)

__all__ = ["INSTANCE_COUNT", "create_deployment", "create_wide", "write_measurement"]

INSTANCE_COUNT = 4
# Third octet of the loopback addresses of a deployment's instances.
_THIRD_OCTETS = {"sapatilha": 1, "sunbrook": 2, "wide": 3}


def create_wide(leafs: int = 180, port: int = 9160) -> Deployment:
    """Create one service of many leafs with two slots each.

    The tier applies no slow start to its servers (``cold_limit`` equals ``connections``): at
    a few queries a second the slow start of 360 servers would outlast the measurement.

    :param leafs: number of leafs.
    :param port: port of all backend servers, which listen on ``127.60.b.c``.

    >>> len(create_wide().teams[0].services[0].leafs)
    180
    """
    domains = ("north-a", "middle-a", "south-a")
    addresses = [f"127.60.{100 + n // 200}.{n % 200 + 1}:{port}" for n in range(2 * leafs)]
    service = ServiceSettings(
        name="wide",
        map_version=1,
        index_version=1,
        leafs=tuple(
            LeafSettings(
                f"leaf-{leaf}",
                tuple(
                    SlotSettings(f"slot-{n}", addresses[2 * leaf + n], domains[(leaf + n) % 3])
                    for n in range(2)
                ),
            )
            for leaf in range(leafs)
        ),
        connections=100,
        cold_limit=100,
        max_deadline_ms=20_000,
    )
    token_digest = sha256(create_token("wide-desk").encode()).hexdigest()
    caller = CallerSettings("wide-desk", token_digest, ("wide",))
    regions = {domain: domain.removesuffix("-a") for domain in domains}
    fleet = FleetTree(version=1, teams=("wide",), regions=regions)
    return Deployment(fleet, (TeamTree("wide", 1, (service,), (caller,)),))


def create_deployment(name: str, port: int) -> Deployment:
    """Create a deployment by name.

    :param name: ``sapatilha``, ``sunbrook`` or ``wide``.
    :param port: port of all backend servers.
    :raises KeyError: if the name is unknown.
    """
    match name:
        case "sapatilha":
            return create_sapatilha(port=port)
        case "sunbrook":
            return create_sunbrook(port=port)
        case "wide":
            return create_wide(port=port)
    raise KeyError(name)


def write_measurement(
    directory: Path, *, deployment: str, port: int = 9160, platform_port: int = 8160
) -> None:
    """Write the tree to ``tree/`` and the settings to ``instance-N.json``.

    Prints ``ip=domain`` for each instance, the form that ``mimosapost standin --clients``
    accepts.

    :param directory: target directory, created if it does not exist.
    :param deployment: sapatilha, sunbrook or wide.
    :param port: port of all backend servers.
    :param platform_port: port of the platform stand-in.
    """
    created = create_deployment(deployment, port)
    write_deployment(created, directory / "tree")
    regions = list(created.fleet.regions.items())
    hosts = [f"127.60.{_THIRD_OCTETS[deployment]}.{seat + 1}" for seat in range(INSTANCE_COUNT)]
    for seat, host in enumerate(hosts):
        domain, region = regions[seat % len(regions)]
        settings = {
            "name": f"entry-{seat}",
            "seat": seat,
            "domain": domain,
            "region": region,
            "caller_address": f"{host}:8000",
            "peer_address": f"{host}:8001",
            "operator_address": f"{host}:8002",
            "config_url": f"http://127.0.0.1:{platform_port}",
            "instances_url": f"http://127.0.0.1:{platform_port}",
            "seed_peers": [f"{peer}:8001" for peer in hosts if peer != host],
            "known_peers": ["127.0.0.1", *hosts],
        }
        path = directory / f"instance-{seat}.json"
        path.write_bytes(msgspec.json.encode(settings))
        print(f"{host}={domain}")


if __name__ == "__main__":
    defopt.run(write_measurement)
