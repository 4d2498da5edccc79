"""Entries of the platform's store, decoded into the product's types."""

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

_STATES = ("ready", "draining")


class EntryError(Exception):
    """An entry cannot be used; the message says which part of it and why."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Time that the server stays cold, counted from when it wrote the entry.
    warmupLeftMs: float = 0  # noqa: N815
    born: int = 0


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    # "idempotent" or "non_idempotent"; it says nothing of the method.
    routeKind: str  # noqa: N815
    timeoutMs: int  # noqa: N815
    goalMs: int  # noqa: N815
    # 0 is the most urgent.
    priority: int
    # Servers, not tries: a rejected send does not count.
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


def _decode(data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise EntryError(str(error)) from error


def decode_server(server_id: str, data: bytes) -> BackendServer:
    """Decode the entry of a server.

    :param server_id: last part of the entry's key.
    :raises EntryError: if the entry names no server that can be used.
    """
    entry = _decode(data, _Server)
    host, colon, port = entry.address.rpartition(":")
    if not (host and colon and port.isdigit()):
        raise EntryError(f"address {entry.address[:40]!r} is not ip:port")
    if entry.state not in _STATES:
        raise EntryError(f"state {entry.state[:40]!r} is unknown")
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

    :raises EntryError: if it cannot be used as a whole.
    """
    config = _decode(data, _Config)
    limits = CallerLimits(
        config.limits.maxHeaderBytes,
        config.limits.maxBodyBytes,
        config.limits.headerTimeoutMs * 1_000,
        config.limits.idleTimeoutMs * 1_000,
    )
    services = [ServiceRules(s.name, s.maxConns, s.warmupPerS) for s in config.services]
    return create_catalog(config.version, map(_convert, config.routes), services, limits)


def _convert(route: _Route) -> Route:
    if route.split:
        split = tuple((target.service, target.weight) for target in route.split)
    else:
        split = ((route.service, 1.0),) if route.service else ()
    if not split and not route.gather:
        raise EntryError(f"route {route.name[:40]!r} names no service")
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
