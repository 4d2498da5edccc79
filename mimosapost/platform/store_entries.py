"""Decoder for the entries of the platform's store: servers and the configuration."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from mimosapost.platform.workspace_entries import decode_workspaces, seal_config
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
# Ids are sent in a header; the store's keys have at most 200 bytes.
_SERVER_ID = re.compile(r"[!-~]{1,200}")
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535
_MAX_REASON_LENGTH = 200

# Bounds of numbers: other instances and JSON readers store integers of at most 53 bits, and no
# time of the platform is longer than a day.
_Integer = Annotated[int, Meta(ge=0, le=2**53)]
_Count = Annotated[int, Meta(ge=1, le=1_000_000)]
_DayMs = Annotated[int, Meta(ge=0, le=86_400_000)]
_PerSecond = Annotated[float, Meta(ge=0, le=1e9)]
# Lowest limit of a cold server in requests per second that differs from no limit.
_MIN_COLD_PER_SECOND = 1e-6


class EntryError(Exception):
    """An entry of the store is unusable; the message names the field and the reason."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: _Count
    state: str
    # Time that the server stays cold after it wrote the entry; it may have passed.
    warmupLeftMs: Annotated[float, Meta(ge=-86_400_000, le=86_400_000)] = 0  # noqa: N815
    born: _Integer = 0


class _Target(msgspec.Struct):
    service: str
    weight: _PerSecond


# Optional fields may be null, which counts as absent.
class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    # "idempotent" or "non_idempotent", regardless of the HTTP method.
    routeKind: str  # noqa: N815
    timeoutMs: _DayMs  # noqa: N815
    goalMs: _DayMs  # noqa: N815
    # 0 is the most urgent priority.
    priority: Annotated[int, Meta(ge=-(2**31), le=2**31)]
    # Counts the sends that may have run; a send that the server rejected is not counted.
    maxAttempts: Annotated[int, Meta(ge=0, le=1_000_000)]  # noqa: N815
    service: str | None = None
    split: list[_Target] | None = None
    gather: list[str] | None = None
    topK: _Integer | None = None  # noqa: N815
    minCoverage: float | None = None  # noqa: N815
    allowedRegions: list[str] | None = None  # noqa: N815
    # Only true makes a route public; any other value keeps it closed.
    public: Any = None


class _Service(msgspec.Struct):
    name: str
    maxConns: _Integer  # noqa: N815
    warmupPerS: _PerSecond | None = None  # noqa: N815


class _Limits(msgspec.Struct):
    maxHeaderBytes: _Integer | None = None  # noqa: N815
    maxBodyBytes: _Integer | None = None  # noqa: N815
    headerTimeoutMs: _DayMs | None = None  # noqa: N815
    idleTimeoutMs: _DayMs | None = None  # noqa: N815


class _Config(msgspec.Struct):
    version: _Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: Any = msgspec.UNSET


def _decode_json(data: bytes, struct_type: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=struct_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise EntryError(str(error)[:_MAX_REASON_LENGTH]) from error


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = bool(_PORT.fullmatch(port)) and 0 < int(port) <= _MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise EntryError(f"address is {address[:40]!r}, expected ip:port")


def decode_server(server_id: str, data: bytes) -> BackendServer:
    """Decode the entry of a server.

    :param server_id: last part of the entry's key.
    :param data: the entry as JSON.
    :raises EntryError: if the entry does not describe a usable server.
    """
    entry = _decode_json(data, _Server)
    if not _SERVER_ID.fullmatch(server_id):
        raise EntryError(f"id is {server_id[:40]!r}, expected 1 to 200 visible characters")
    _check_address(entry.address)
    if entry.state not in _SERVER_STATES:
        raise EntryError(f"state is {entry.state[:40]!r}, expected ready or draining")
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
    :raises EntryError: if any part of the configuration but its workspaces is unusable.
    """
    config = _decode_json(seal_config(data), _Config)
    services = [ServiceRules(s.name, s.maxConns, s.warmupPerS or 0.0) for s in config.services]
    for service in services:
        if 0 < service.cold_per_second < _MIN_COLD_PER_SECOND:
            raise EntryError(
                f"warmupPerS of {service.name[:40]!r} is {service.cold_per_second}"
            )
    return create_catalog(
        config.version,
        map(_create_route, config.routes),
        services,
        _create_limits(config.limits or _Limits()),
        None if config.tenants is msgspec.UNSET else decode_workspaces(config.tenants),
    )


def _create_limits(limits: _Limits) -> CallerLimits:
    header_timeout_us, idle_timeout_us = (
        None if timeout_ms is None else timeout_ms * 1_000
        for timeout_ms in (limits.headerTimeoutMs, limits.idleTimeoutMs)
    )
    given = {
        "header_bytes": limits.maxHeaderBytes,
        "body_bytes": limits.maxBodyBytes,
        "header_timeout_us": header_timeout_us,
        "idle_timeout_us": idle_timeout_us,
    }
    return CallerLimits(**{name: value for name, value in given.items() if value is not None})


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
        route.topK or 0,
        route.minCoverage or 0.0,
        frozenset(route.allowedRegions or ()),
        route.public is True,
    )
