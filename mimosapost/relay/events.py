"""Events of the relay: what its reducer learns from the outside."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import Event
from mimosapost.relay.catalog import Catalog
from mimosapost.relay.exchanges import BackendServer, RelayRequest, ServerAnswer

__all__ = [
    "AnswerArrived",
    "CallerLeft",
    "CatalogRead",
    "DomainsOut",
    "ExchangeFailed",
    "RequestArrived",
    "ServerListed",
    "ServerUnlisted",
    "ServersReplaced",
    "SourceLost",
    "SourceRegained",
    "TimerFired",
]


@dataclass(frozen=True, slots=True)
class TimerFired(Event):
    """The timer asked for by the last ``WakeAt`` effect fired."""


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A whole request was read from a caller."""

    request: RelayRequest


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed its connection before the reply."""

    number: int


@dataclass(frozen=True, slots=True)
class AnswerArrived(Event):
    """A server answered a send with a whole answer to this very request."""

    send_id: int
    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class ExchangeFailed(Event):
    """A send ended without an answer.

    ``run`` is ``NOT_RUN`` only where no byte of the request was written.
    """

    send_id: int
    kind: FailureKind
    run: RunState


@dataclass(frozen=True, slots=True)
class CatalogRead(Event):
    """A version of the configuration was read."""

    catalog: Catalog


@dataclass(frozen=True, slots=True)
class ServerListed(Event):
    """An entry of a server was written."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class ServerUnlisted(Event):
    """The entry of a server was removed, or can no longer be used."""

    server_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ServersReplaced(Event):
    """The whole list of servers was read; those that are not in it have no entry."""

    servers: tuple[BackendServer, ...]


@dataclass(frozen=True, slots=True)
class DomainsOut(Event):
    """The failure domains that operators have taken out of service."""

    domains: frozenset[str]


@dataclass(frozen=True, slots=True)
class SourceLost(Event):
    """The source of configuration and servers does not answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class SourceRegained(Event):
    """The source answers again."""
