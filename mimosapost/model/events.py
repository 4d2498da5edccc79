"""Events: everything that the reducer learns from the outside."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.messages import PeerMessage
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
    """The timer asked for by the last ``WakeAt`` effect fired."""


@dataclass(frozen=True, slots=True)
class QueryArrived(Event):
    """A checked query of an authenticated caller arrived."""

    query: Query


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the answer."""

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

    ``run`` is ``NOT_RUN`` only where the edge proved that no byte was written, the connection
    was refused, or the server said so.
    """

    send_id: int
    kind: FailureKind
    run: RunState
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class ProbeAnswered(Event):
    """A new connection to a server answered a probe."""

    server: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class ProbeFailed(Event):
    """A new connection to a server could not be opened or did not answer."""

    server: str


@dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """A load endpoint reported a load from 0 to 1."""

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
    """One line of the platform's instance list."""

    name: str
    peer_address: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class InstancesListed(Event):
    """The instance list was read."""

    entries: tuple[InstanceEntry, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageArrived(Event):
    """A message of another instance arrived over its link.

    :param peer: name of the instance at the other end, from its ``Hello``.
    """

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """The link to another instance broke or could not be opened."""

    peer: str


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process was asked to stop gracefully."""
