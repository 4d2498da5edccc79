"""Published settings of two example deployments.

Their sizes are the current sizes in section 2 of the design page.

``python -m mimosapost.standins.trees DIRECTORY`` writes the example files.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import MISSING, dataclass, fields, is_dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec

from mimosapost.model.published_settings import (
    CallerSettings,
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)

__all__ = [
    "Deployment",
    "create_sapatilha",
    "create_sunbrook",
    "create_token",
    "format_tree",
    "write_deployment",
]

# Linux takes the ports of outgoing connections from the range 32768 to 60999. No outgoing
# connection can hold this lower port when a backend server starts to listen.
_DEFAULT_PORT = 9100
# A cold server accepts one request from each of the four seats at a time, so that no seat is
# kept from trying it.
_COLD_LIMIT = 4


@dataclass(frozen=True, slots=True)
class Deployment:
    """Published subtrees of one deployment.

    :param fleet: subtree ``fleet``, with the teams and the regions.
    :param teams: subtree of each team.
    """

    fleet: FleetTree
    teams: tuple[TeamTree, ...]

    def list_documents(self) -> Iterator[tuple[str, str]]:
        """Yield the path of each file below the deployment's directory, and its JSON text."""
        yield "fleet.json", format_tree(self.fleet)
        for tree in self.teams:
            yield f"teams/{tree.team}.json", format_tree(tree)


@dataclass(frozen=True, slots=True)
class _TeamSize:
    team: str
    service_count: int
    leafs_per_service: int
    slots_per_leaf: int
    connections: int
    callers: tuple[tuple[str, str], ...]


_SAPATILHA_SIZES = (
    _TeamSize("booking", 20, 2, 2, 25, (("fitting", "urgent"), ("recital", "urgent"))),
    _TeamSize("repair", 30, 2, 2, 25, (("repair-desk", "normal"),)),
    _TeamSize("billing", 1, 3, 3, 110, (("invoices", "background"),)),
    _TeamSize("courier", 1, 3, 3, 110, (("courier-desk", "normal"),)),
)
_SUNBROOK_SIZES = (
    _TeamSize("dispatch", 20, 2, 2, 25, (("drivers", "urgent"), ("dispatch-desk", "urgent"))),
    _TeamSize("counter", 30, 2, 2, 25, (("counter-desk", "normal"),)),
    _TeamSize("billing", 1, 7, 3, 40, (("invoices", "background"),)),
    _TeamSize("sorting", 1, 3, 3, 40, (("wash-line", "normal"),)),
)


def create_sapatilha(max_services: int | None = None, port: int = _DEFAULT_PORT) -> Deployment:
    """Create the example deployment of Sapatilha Sul.

    :param max_services: largest number of services of each team, ``None`` for all.
    :param port: port of all backend servers.
    :returns: the subtrees; backend servers listen on ``127.10.<team>.<server>``.

    >>> [len(tree.services) for tree in create_sapatilha().teams]
    [20, 30, 1, 1]
    """
    return _create_deployment(
        10, ("porto", "braga", "faro"), _SAPATILHA_SIZES, max_services, port
    )


def create_sunbrook(max_services: int | None = None, port: int = _DEFAULT_PORT) -> Deployment:
    """Create the example deployment of Sunbrook.

    :param max_services: largest number of services of each team, ``None`` for all.
    :param port: port of all backend servers.
    :returns: the subtrees; backend servers listen on ``127.20.<team>.<server>``.
    """
    return _create_deployment(
        20, ("derby", "leeds", "truro"), _SUNBROOK_SIZES, max_services, port
    )


def create_token(caller: str) -> str:
    """Return the bearer token of a caller of the example deployments.

    The token follows from the name of the caller, so it is not a secret.

    :param caller: name of the caller.
    """
    return f"demo-{caller}"


def format_tree(tree: FleetTree | TeamTree) -> str:
    """Return the JSON text of a subtree, without settings that equal their defaults.

    :param tree: subtree to write.
    :returns: indented JSON with a final line feed.
    """
    text = msgspec.json.encode(_drop_defaults(tree))
    return msgspec.json.format(text, indent=1).decode() + "\n"


def write_deployment(deployment: Deployment, directory: Path) -> None:
    """Write the subtrees as ``fleet.json`` and ``teams/<team>.json``.

    :param deployment: subtrees to write.
    :param directory: directory to write to; created if it does not exist.
    """
    for name, text in deployment.list_documents():
        path = directory / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


def _create_deployment(
    second_octet: int,
    regions: tuple[str, ...],
    sizes: tuple[_TeamSize, ...],
    max_services: int | None,
    port: int,
) -> Deployment:
    domains = {f"{region}-a": region for region in regions}
    teams = tuple(
        _create_team(f"127.{second_octet}.{number}", tuple(domains), size, max_services, port)
        for number, size in enumerate(sizes, start=1)
    )
    fleet = FleetTree(version=1, teams=tuple(size.team for size in sizes), regions=domains)
    return Deployment(fleet, teams)


def _create_team(
    address_prefix: str,
    domains: tuple[str, ...],
    size: _TeamSize,
    max_services: int | None,
    port: int,
) -> TeamTree:
    count = (
        size.service_count if max_services is None else min(max_services, size.service_count)
    )
    # Each service has its own range of addresses, so a smaller ``max_services`` does not
    # change the addresses of the remaining services.
    servers_per_service = size.leafs_per_service * size.slots_per_leaf
    services = tuple(
        ServiceSettings(
            name=size.team if size.service_count == 1 else f"{size.team}-{number + 1:02}",
            map_version=1,
            index_version=1,
            leafs=_create_leafs(
                address_prefix, 1 + number * servers_per_service, domains, size, port
            ),
            connections=size.connections,
            cold_limit=_COLD_LIMIT,
        )
        for number in range(count)
    )
    names = tuple(service.name for service in services)
    callers = tuple(
        CallerSettings(
            name=name,
            token_digest=sha256(create_token(name).encode()).hexdigest(),
            services=names,
            top_priority=priority,
        )
        for name, priority in size.callers
    )
    return TeamTree(size.team, 1, services, callers)


def _create_leafs(
    address_prefix: str, first_host: int, domains: tuple[str, ...], size: _TeamSize, port: int
) -> tuple[LeafSettings, ...]:
    leafs = []
    for leaf in range(size.leafs_per_service):
        start = first_host + leaf * size.slots_per_leaf
        slots = tuple(
            SlotSettings(
                name=f"slot-{slot}",
                server=f"{address_prefix}.{start + slot}:{port}",
                # Successive leafs start with successive domains, to spread the load evenly.
                domain=domains[(first_host + leaf + slot) % len(domains)],
            )
            for slot in range(size.slots_per_leaf)
        )
        leafs.append(LeafSettings(f"leaf-{leaf}", slots))
    return tuple(leafs)


def _drop_defaults(value: Any) -> Any:
    if is_dataclass(value):
        members = {field: getattr(value, field.name) for field in fields(value)}
        return {
            field.name: _drop_defaults(member)
            for field, member in members.items()
            if field.default is MISSING or member != field.default
        }
    if isinstance(value, tuple):
        return [_drop_defaults(member) for member in value]
    return value


def _main(directory: Path) -> None:
    write_deployment(create_sapatilha(), directory / "sapatilha")
    write_deployment(create_sunbrook(), directory / "sunbrook")


if __name__ == "__main__":
    _main(Path(sys.argv[1]))
