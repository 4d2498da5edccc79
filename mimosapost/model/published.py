"""Settings that operators publish in the configuration service, as frozen data.

Constraints stand in the annotations, so that ``mimosapost.settings`` can check a document
and generate the settings reference from the same source.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

__all__ = [
    "CallerSettings",
    "FleetTree",
    "LeafSettings",
    "ServiceSettings",
    "SlotSettings",
    "TeamTree",
]

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Version = Annotated[int, Field(ge=1, le=2**53)]
_STRICT = ConfigDict(extra="forbid", strict=True)


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """One replica of a leaf."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="name, unique within the leaf")]
    server: Annotated[Address, Field(description="address of the backend server")]
    domain: Annotated[Name, Field(description="failure domain of the backend server")]
    leaving: Annotated[bool, Field(description="the server is leaving: no new work")] = False


@dataclass(frozen=True, slots=True)
class LeafSettings:
    """One shard of a service."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="name, unique within the service")]
    slots: Annotated[
        tuple[SlotSettings, ...],
        Field(min_length=1, max_length=16, description="replicas of the leaf"),
    ]


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A named group of backend servers with its limits."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="name, unique in the deployment")]
    map_version: Annotated[Version, Field(description="version of the shard map")]
    index_version: Annotated[Version, Field(description="version of the data")]
    leafs: Annotated[
        tuple[LeafSettings, ...], Field(min_length=1, max_length=5000, description="shard map")
    ]
    merge: Annotated[Name, Field(description="name of a registered merge")] = "concat"
    connections: Annotated[
        int, Field(ge=1, le=100_000, description="connections that a server accepts in all")
    ] = 25
    cold_limit: Annotated[
        int, Field(ge=1, le=100_000, description="requests a cold server bears at a time")
    ] = 2
    ramp_answers: Annotated[
        int, Field(ge=1, le=1_000_000, description="good answers that end a ramp stage")
    ] = 20
    ramp_interval_ms: Annotated[
        int, Field(ge=0, le=600_000, description="shortest time of a ramp stage")
    ] = 500
    concurrency: Annotated[
        int, Field(ge=1, le=10_000_000, description="open queries of the whole fleet")
    ] = 200
    queue_limit: Annotated[
        int, Field(ge=0, le=1_000_000, description="waiting queries of one instance")
    ] = 200
    max_deadline_ms: Annotated[
        int, Field(ge=1, le=60_000, description="longest deadline of a query")
    ] = 2_000
    max_answer_bytes: Annotated[
        int, Field(ge=64, le=64 * 2**20, description="largest answer of a server")
    ] = 2**20


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """A caller and what it may use."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="identity that the caller sends in X-Caller")]
    token_digest: Annotated[
        str,
        Field(pattern=r"^[0-9a-f]{64}$", description="SHA-256 of the bearer token, in hex"),
    ]
    services: Annotated[
        tuple[Name, ...],
        Field(
            max_length=10_000, description="services of the same team that the caller may use"
        ),
    ]
    concurrency: Annotated[
        int, Field(ge=1, le=10_000_000, description="open queries of the whole fleet")
    ] = 100
    top_priority: Annotated[
        Literal["urgent", "normal", "background"],
        Field(description="highest priority class that the caller may ask for"),
    ] = "urgent"


@dataclass(frozen=True, slots=True)
class TeamTree:
    """The subtree of one team."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    team: Annotated[Name, Field(description="name of the team, equal to the path")]
    version: Annotated[
        Version, Field(description="version of the subtree, higher replaces lower")
    ]
    services: Annotated[
        tuple[ServiceSettings, ...],
        Field(max_length=10_000, description="services of the team"),
    ] = ()
    callers: Annotated[
        tuple[CallerSettings, ...], Field(max_length=10_000, description="callers of the team")
    ] = ()
    domains_out: Annotated[
        tuple[Name, ...],
        Field(max_length=1_000, description="failure domains out of service for this team"),
    ] = ()


@dataclass(frozen=True, slots=True)
class FleetTree:
    """The subtree named ``fleet``: facts that hold for every team."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    version: Annotated[
        Version, Field(description="version of the subtree, higher replaces lower")
    ]
    teams: Annotated[
        tuple[Name, ...], Field(max_length=1_000, description="teams whose subtrees are read")
    ]
    regions: Annotated[dict[Name, Name], Field(description="region of each failure domain")]
    domains_out: Annotated[
        tuple[Name, ...],
        Field(max_length=1_000, description="failure domains out of service for every team"),
    ] = ()
    instance_ceiling: Annotated[
        int, Field(ge=1, le=10_000, description="instances that could exist at a time")
    ] = 4
