"""Routes, services and caller limits of one configuration version."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

__all__ = ["CallerLimits", "Catalog", "Route", "ServiceRules", "Workspace", "create_catalog"]


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests of one host and path prefix.

    :param name: name of the route in the configuration.
    :param host: host name in lower case.
    :param prefix: path prefix, with a slash at both ends.
    :param repeatable: whether a request may run more than once (idempotent).
    :param timeout_us: upper bound of a request's deadline, in microseconds after its arrival.
    :param goal_us: latency objective of a reply, in microseconds after the arrival.
    :param rank: priority of the requests; 0 is the most urgent.
    :param max_sends: largest number of sends that may have run, for one request or for one
        shard of it; sends that certainly did not run are not counted.
    :param split: services and their weights; empty for a route that gathers from shards.
    :param shards: services that each receive the request; empty for a route to one server.
    :param max_records: largest number of records in a gathered answer.
    :param min_coverage: share of the shards, from 0 to 1, that a successful reply needs.
    :param regions: regions whose servers may be used; empty for all.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_us: int
    goal_us: int
    rank: int
    max_sends: int
    split: tuple[tuple[str, float], ...] = ()
    shards: tuple[str, ...] = ()
    max_records: int = 0
    min_coverage: float = 0.0
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the operator, identified by the keys of its callers.

    :param rank: priority of its requests in place of the route's; ``None`` for the route's.
    :param per_second: requests per second over all instances together; 0 for no limit.
    :param burst: requests beyond that rate that may come at once.
    :param regions: regions whose servers may be used; empty for all.
    """

    name: str
    rank: int | None = None
    per_second: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Limits that apply to each server of one service.

    :param connections: connections that one server accepts from all instances.
    :param cold_per_second: rate limit of a cold server in requests per second, from all
        instances together; 0 for no limit.
    """

    name: str
    connections: int
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time to send it."""

    header_bytes: int = 32_768
    body_bytes: int = 1_048_576
    header_timeout_us: int = 10_000_000
    idle_timeout_us: int = 60_000_000

    def relax(self, other: CallerLimits) -> CallerLimits:
        """Return the greater value of each limit.

        >>> CallerLimits(1, 9, 3, 4).relax(CallerLimits(2, 8, 3, 5))
        CallerLimits(header_bytes=2, body_bytes=9, header_timeout_us=3, idle_timeout_us=5)
        """
        return CallerLimits(
            max(self.header_bytes, other.header_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.header_timeout_us, other.header_timeout_us),
            max(self.idle_timeout_us, other.idle_timeout_us),
        )


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration; build it with :func:`create_catalog`."""

    version: int
    services: Mapping[str, ServiceRules]
    limits: CallerLimits
    hosts: Mapping[str, tuple[Route, ...]] = field(repr=False)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None`` if no route matches.

        :param host: value of the Host header, with or without a port.
        :param path: path, with or without a query string.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        bare = path.partition("?")[0]
        for route in self.hosts.get(name.lower(), ()):
            if bare.startswith(route.prefix):
                return route
        return None


def create_catalog(
    version: int,
    routes: Iterable[Route],
    services: Iterable[ServiceRules],
    limits: CallerLimits | None = None,
) -> Catalog:
    """Index routes by host, longest prefix first.

    >>> route = Route("r", "a.example", "/x/", True, 1, 1, 0, 1, split=(("s", 1.0),))
    >>> create_catalog(1, [route], []).find_route("A.example:80", "/x/y?z").name
    'r'
    """
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in hosts.items()
    }
    return Catalog(
        version,
        MappingProxyType({service.name: service for service in services}),
        limits or CallerLimits(),
        MappingProxyType(ordered),
    )
