"""Decoder for the entries of the platform's store: servers and the configuration."""

from __future__ import annotations

from typing import Any

import msgspec

from mimosapost.relay.catalog import (
    CallerLimits,
    Catalog,
    Route,
    ServiceRules,
    create_catalog,
)
from mimosapost.relay.messages import BackendServer

__all__ = ["EntryError", "decode_catalog", "decode_server"]

_SERVER_STATES = ("ready", "draining")


class EntryError(Exception):
    """An entry of the store is unusable; the message names the field and the reason."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Time that the server stays cold after it wrote the entry.
    warmupLeftMs: float = 0  # noqa: N815
    born: int = 0


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    # "idempotent" or "non_idempotent", regardless of the HTTP method.
    routeKind: str  # noqa: N815
    timeoutMs: int  # noqa: N815
    goalMs: int  # noqa: N815
    # 0 is the most urgent priority.
    priority: int
    # Counts the sends that may have run; a send that the server rejected is not counted.
    maxAttempts: int  # noqa: N815
    service: str | None = None
    split: list[_Target] | None = None
    gather: list[str] | None = None
    topK: int = 0  # noqa: N815
    minCoverage: float = 0.0  # noqa: N815
    allowedRegions: list[str] | None = None  # noqa: N815


class _Service(msgspec.Struct):
    name: str
    maxConns: int  # noqa: N815
    warmupPerS: float = 0.0  # noqa: N815


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 32_768  # noqa: N815
    maxBodyBytes: int = 1_048_576  # noqa: N815
    headerTimeoutMs: int = 10_000  # noqa: N815
    idleTimeoutMs: int = 60_000  # noqa: N815


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def _decode_json(data: bytes, struct_type: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=struct_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise EntryError(str(error)) from error


def decode_server(server_id: str, data: bytes) -> BackendServer:
    """Decode the entry of a server.

    :param server_id: last part of the entry's key.
    :param data: the entry as JSON.
    :raises EntryError: if the entry does not describe a usable server.
    """
    entry = _decode_json(data, _Server)
    host, colon, port = entry.address.rpartition(":")
    if not (host and colon and port.isdigit()):
        raise EntryError(f"address is {entry.address[:40]!r}, expected ip:port")
    if entry.state not in _SERVER_STATES:
        raise EntryError(f"state is {entry.state[:40]!r}, expected ready or draining")
    if entry.slots < 1:
        raise EntryError(f"slots is {entry.slots}, expected at least 1")
    return BackendServer(
        server_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.slots,
        entry.state == "draining",
        max(0, int(entry.warmupLeftMs * 1_000)),
        entry.born,
    )


def decode_catalog(data: bytes) -> Catalog:
    """Decode a version of the operator's configuration.

    :param data: the configuration as JSON.
    :raises EntryError: if any part of the configuration is unusable.
    """
    config = _decode_json(data, _Config)
    limits = CallerLimits(
        config.limits.maxHeaderBytes,
        config.limits.maxBodyBytes,
        config.limits.headerTimeoutMs * 1_000,
        config.limits.idleTimeoutMs * 1_000,
    )
    services = [ServiceRules(s.name, s.maxConns, s.warmupPerS) for s in config.services]
    return create_catalog(config.version, map(_create_route, config.routes), services, limits)


def _create_route(route: _Route) -> Route:
    if route.split:
        split = tuple((target.service, target.weight) for target in route.split)
    else:
        split = ((route.service, 1.0),) if route.service else ()
    if not split and not route.gather:
        raise EntryError(
            f"route {route.name[:40]!r} names no service: service, split and gather are empty"
        )
    return Route(
        route.name,
        route.host.lower(),
        route.pathPrefix,
        route.routeKind == "idempotent",
        route.timeoutMs * 1_000,
        route.goalMs * 1_000,
        route.priority,
        max(1, route.maxAttempts),
        split,
        tuple(route.gather or ()),
        route.topK,
        route.minCoverage,
        frozenset(route.allowedRegions or ()),
    )
