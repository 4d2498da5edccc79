"""Events: inputs of the reducer, reported by the edge."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.peer_messages import PeerMessage
from mimosapost.model.queries import Query, SubAnswer

__all__ = [
    "CallerGone",
    "ConfigRead",
    "Event",
    "InstanceEntry",
    "InstancesListed",
    "LoadReported",
    "PeerLost",
    "PeerMessageArrived",
    "ProbeAnswered",
    "ProbeFailed",
    "QueryArrived",
    "SendAnswered",
    "SendFailed",
    "SendRejected",
    "StopRequested",
    "Ticked",
]


@dataclass(frozen=True, slots=True)
class Event:
    """Base of all events. ``now_us`` is the monotonic clock in microseconds."""

    now_us: int


@dataclass(frozen=True, slots=True)
class Ticked(Event):
    """The timer set by the last ``SetTimer`` effect expired."""


@dataclass(frozen=True, slots=True)
class QueryArrived(Event):
    """A valid query of an authenticated caller arrived."""

    query: Query


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before it was answered."""

    query_id: int


@dataclass(frozen=True, slots=True)
class SendAnswered(Event):
    """A backend server answered a send."""

    send_id: int
    answer: SubAnswer


@dataclass(frozen=True, slots=True)
class SendRejected(Event):
    """A backend server no longer holds the pinned snapshot; the send did not run."""

    send_id: int
    map_version: int
    index_version: int
    boot_id: str


@dataclass(frozen=True, slots=True)
class SendFailed(Event):
    """A send ended without an answer.

    :param send_id: number of the send.
    :param kind: why there is no answer.
    :param run: whether the server ran the request. ``NOT_RUN`` is reported only if the edge
        knows that no byte was written or that the connection was refused, or if the server
        stated that it did not run the request.
    :param boot_id: boot ID of the server process, or an empty string if it is not known.
    """

    send_id: int
    kind: FailureKind
    run: RunState
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class ProbeAnswered(Event):
    """A server answered a probe on a new connection."""

    server: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class ProbeFailed(Event):
    """A probe failed: no connection could be opened, or the server did not answer."""

    server: str


@dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """The load endpoint of a server reported its load, from 0 (idle) to 1 (full)."""

    server: str
    load: float


@dataclass(frozen=True, slots=True)
class ConfigRead(Event):
    """A subtree was read from the configuration service."""

    team: str
    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """One entry of the platform's instance list."""

    name: str
    peer_address: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class InstancesListed(Event):
    """The platform's instance list was read."""

    entries: tuple[InstanceEntry, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageArrived(Event):
    """A message from another instance arrived over its peer link.

    :param peer: name of the sending instance, from the ``Hello`` message of the link.
    """

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The peer link to another instance broke or could not be opened."""

    peer: str


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process was asked to stop gracefully."""
