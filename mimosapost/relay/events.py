"""Events that the relay's reducer handles."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import Event
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.relay.catalog import Catalog
from mimosapost.relay.messages import BackendServer, RelayRequest, ServerAnswer

__all__ = [
    "AnswerArrived",
    "CallerLeft",
    "CatalogRead",
    "DomainsOut",
    "EntryIgnored",
    "ExchangeFailed",
    "InstanceStarted",
    "ProbeEnded",
    "ProbeOutcome",
    "ReplyDelivered",
    "RequestArrived",
    "ServerListed",
    "ServerUnlisted",
    "ServersReplaced",
    "SourceLost",
    "SourceRead",
    "SourceRegained",
    "TimerFired",
]


@dataclass(frozen=True, slots=True)
class InstanceStarted(Event):
    """The instance listens on all its addresses."""


@dataclass(frozen=True, slots=True)
class TimerFired(Event):
    """The timer set by the last ``SetTimer`` effect fired."""


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A complete request was read from a caller."""

    request: RelayRequest


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed its connection before it received the reply."""

    request_number: int


@dataclass(frozen=True, slots=True)
class ReplyDelivered(Event):
    """A caller has acknowledged a reply, or has not for a long time.

    :param decided_us: monotonic time of the decision on the reply.
    :param written_us: monotonic time at which its last byte was passed to the system.
    :param acknowledged_us: monotonic time at which it was found acknowledged, or given up.
    :param round_trip_us: round trip of the connection in microseconds; 0 if it is unknown.
    :param is_new: whether the reply was the first one of its connection.
    """

    decided_us: int
    written_us: int
    acknowledged_us: int
    round_trip_us: int
    is_new: bool


@dataclass(frozen=True, slots=True)
class AnswerArrived(Event):
    """A complete answer to a send arrived, verified to belong to its request."""

    send_id: int
    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class ExchangeFailed(Event):
    """A send ended without an answer.

    ``run`` is ``NOT_RUN`` only if no byte of the request was written.
    """

    send_id: int
    kind: FailureKind
    run: RunState


class ProbeOutcome(Enum):
    """How a server reacted to an attempt to connect."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class ProbeEnded(Event):
    """A probe of a server ended."""

    server: BackendServer
    outcome: ProbeOutcome


@dataclass(frozen=True, slots=True)
class CatalogRead(Event):
    """A configuration version was read from the source."""

    catalog: Catalog


@dataclass(frozen=True, slots=True)
class ServerListed(Event):
    """A server's entry was written or changed at the source."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class ServerUnlisted(Event):
    """A server's entry was removed from the source or became unusable."""

    server_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ServersReplaced(Event):
    """The complete server list was read; servers missing from it have no entry.

    :param is_rewound: whether the source has just returned from an older copy.
    """

    servers: tuple[BackendServer, ...]
    is_rewound: bool = False


@dataclass(frozen=True, slots=True)
class DomainsOut(Event):
    """The set of failure domains taken out of service by operators was read.

    :param is_rewound: whether the source has just returned from an older copy.
    """

    domains: frozenset[str]
    is_rewound: bool = False


@dataclass(frozen=True, slots=True)
class EntryIgnored(Event):
    """An entry of the source can't be read or has a value out of range.

    :param group: first part of its key.
    """

    group: str


@dataclass(frozen=True, slots=True)
class SourceLost(Event):
    """The source of the configuration and the server list is unreachable."""

    reason: str


@dataclass(frozen=True, slots=True)
class SourceRegained(Event):
    """The source of the configuration and the server list is reachable again."""


@dataclass(frozen=True, slots=True)
class SourceRead(Event):
    """All changes of the source up to a revision were applied.

    :param after: revision before these changes; 0 if the entries are not known as changes.
    :param as_of: revision after them.
    :param entries: the changed entries, with ascending revisions.
    :param confirmed_us: monotonic time at which the source stated that nothing newer existed.
    :param is_regained: whether the source was unreachable before.
    :param is_fed: whether another instance has read the changes.
    """

    after: int
    as_of: int
    entries: tuple[SourceEntry, ...]
    confirmed_us: int
    is_regained: bool = False
    is_fed: bool = False
