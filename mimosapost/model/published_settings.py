"""Settings that operators publish in the configuration service, as frozen data.

The annotations hold the constraints and descriptions, so that ``mimosapost.settings`` checks
documents and generates the settings reference from the same source.
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
    """Slot: one replica of a leaf."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="name, unique within the leaf")]
    server: Annotated[Address, Field(description="address of the backend server")]
    domain: Annotated[Name, Field(description="failure domain of the backend server")]
    leaving: Annotated[
        bool, Field(description="whether the server is leaving and gets no new requests")
    ] = False


@dataclass(frozen=True, slots=True)
class LeafSettings:
    """Leaf: one shard of a service."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="name, unique within the service")]
    slots: Annotated[
        tuple[SlotSettings, ...],
        Field(min_length=1, max_length=16, description="replicas of the leaf"),
    ]


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Service: a named group of backend servers with its limits."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    name: Annotated[Name, Field(description="name, unique in the deployment")]
    map_version: Annotated[Version, Field(description="version of the shard map")]
    index_version: Annotated[Version, Field(description="version of the indexed data")]
    leafs: Annotated[
        tuple[LeafSettings, ...], Field(min_length=1, max_length=5000, description="shard map")
    ]
    merge: Annotated[Name, Field(description="name of a registered merge function")] = "concat"
    connections: Annotated[
        int,
        Field(
            ge=1, le=100_000, description="connections that a server accepts from all instances"
        ),
    ] = 25
    cold_limit: Annotated[
        int,
        Field(
            ge=1, le=100_000, description="concurrent requests that a cold server can handle"
        ),
    ] = 2
    ramp_answers: Annotated[
        int,
        Field(ge=1, le=1_000_000, description="successful answers that complete a ramp stage"),
    ] = 20
    ramp_interval_ms: Annotated[
        int,
        Field(
            ge=0, le=600_000, description="minimum duration of a ramp stage, in milliseconds"
        ),
    ] = 500
    concurrency: Annotated[
        int, Field(ge=1, le=10_000_000, description="open queries allowed in the whole fleet")
    ] = 200
    queue_limit: Annotated[
        int,
        Field(
            ge=0, le=1_000_000, description="queries that may wait in the queue of one instance"
        ),
    ] = 200
    max_deadline_ms: Annotated[
        int, Field(ge=1, le=60_000, description="longest deadline of a query, in milliseconds")
    ] = 2_000
    max_answer_bytes: Annotated[
        int, Field(ge=64, le=64 * 2**20, description="largest answer of a server, in bytes")
    ] = 2**20


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Caller: its credentials, permitted services and limits."""

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
        int, Field(ge=1, le=10_000_000, description="open queries allowed in the whole fleet")
    ] = 100
    top_priority: Annotated[
        Literal["urgent", "normal", "background"],
        Field(description="highest priority class that the caller may request"),
    ] = "urgent"


@dataclass(frozen=True, slots=True)
class TeamTree:
    """Subtree that one team publishes."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    team: Annotated[Name, Field(description="name of the team, equal to the name in the path")]
    version: Annotated[
        Version, Field(description="version of the subtree; a higher one replaces a lower one")
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
    """Subtree named ``fleet``, with the settings that apply to every team."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT
    version: Annotated[
        Version, Field(description="version of the subtree; a higher one replaces a lower one")
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
        int,
        Field(
            ge=1, le=10_000, description="largest number of instances that may exist at a time"
        ),
    ] = 4
