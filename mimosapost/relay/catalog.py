"""Routes, services and caller limits of one configuration version."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

__all__ = [
    "CallerLimits",
    "Catalog",
    "Route",
    "ServiceRules",
    "Workspace",
    "WorkspaceFault",
    "WorkspaceRules",
    "choose_rank",
    "choose_regions",
    "create_catalog",
]


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
    :param is_public: whether requests need no key of a workspace.
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
    is_public: bool = False


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
class WorkspaceFault:
    """Malformed workspaces or keys that were left out of the catalog.

    :param workspace: name of the workspace, or its position in the configuration.
    :param kind: what is wrong, as a word of a fixed list; never a part of a key.
    :param count: number of workspaces or keys.
    """

    workspace: str
    kind: str
    count: int = 1


@dataclass(frozen=True, slots=True)
class WorkspaceRules:
    """Workspaces of one configuration version, and the keys of their callers.

    :param workspaces: workspaces by name.
    :param by_digest: workspace of each key, by the digest of the key.
    :param faults: workspaces and keys that were left out.
    """

    workspaces: Mapping[str, Workspace]
    by_digest: Mapping[bytes, Workspace] = field(repr=False)
    faults: tuple[WorkspaceFault, ...] = ()


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
    """One version of the configuration; build it with :func:`create_catalog`.

    :param workspace_rules: workspaces and keys, or ``None`` if callers need no keys.
    """

    version: int
    services: Mapping[str, ServiceRules]
    limits: CallerLimits
    hosts: Mapping[str, tuple[Route, ...]] = field(repr=False)
    workspace_rules: WorkspaceRules | None = None

    @property
    def workspaces(self) -> Mapping[str, Workspace]:
        """Workspaces by name; empty if the configuration has none."""
        return self.workspace_rules.workspaces if self.workspace_rules is not None else {}

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
    workspace_rules: WorkspaceRules | None = None,
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
        workspace_rules,
    )


def choose_rank(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of a request; that of its workspace goes before the route's.

    >>> route = Route("r", "a.example", "/x/", True, 1, 1, 2, 1)
    >>> choose_rank(route, Workspace("w", 0)), choose_rank(route, Workspace("w"))
    (0, 2)
    """
    if workspace is not None and workspace.rank is not None:
        return workspace.rank
    return route.rank


def choose_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions whose servers a request may use, or ``None`` for all.

    Those of the route and of the workspace both apply, so that none may be left.

    >>> route = Route("r", "a.example", "/x/", True, 1, 1, 2, 1, regions=frozenset("ab"))
    >>> choose_regions(route, Workspace("w", regions=frozenset("bc")))
    frozenset({'b'})
    >>> choose_regions(route, Workspace("w", regions=frozenset("c")))
    frozenset()
    """
    if workspace is None or not workspace.regions:
        return route.regions or None
    return route.regions & workspace.regions if route.regions else workspace.regions
