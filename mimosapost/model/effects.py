"""Effects: everything that the reducer asks the edge to do."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.messages import PeerMessage
from mimosapost.model.queries import Answer, SubRequest

__all__ = [
    "AnswerCaller",
    "CancelSend",
    "CloseConnections",
    "Count",
    "Effect",
    "EmitSend",
    "Observe",
    "OpenProbe",
    "SendPeer",
    "StopServing",
    "WakeAt",
    "WriteLog",
]


@dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclass(frozen=True, slots=True)
class WakeAt(Effect):
    """Deliver ``Ticked`` at this time; replaces the previous timer."""

    due_us: int


@dataclass(frozen=True, slots=True)
class EmitSend(Effect):
    """Send a sub-request to a server now.

    From this effect on the send may have run. The edge reports exactly one of
    ``SendAnswered``, ``SendRejected`` or ``SendFailed`` for it.

    :param deadline_us: monotonic time at which the edge ends the send, in microseconds.
    :param connections: largest number of connections to this server for this instance.
    :param traceparent: W3C trace context of the parent span.
    """

    send_id: int
    server: str
    request: SubRequest
    deadline_us: int
    connections: int
    max_answer_bytes: int
    traceparent: str


@dataclass(frozen=True, slots=True)
class CancelSend(Effect):
    """Cancel a send whose answer is no longer needed.

    The edge tells the server over another connection, and reports ``SendFailed`` with
    ``WITHDRAWN``; the run state is ``NOT_RUN`` only if no byte was written.

    :param close: close the connection at once instead of letting the answer arrive.
    """

    send_id: int
    close: bool = False


@dataclass(frozen=True, slots=True)
class AnswerCaller(Effect):
    """Answer the caller of a query; exactly one for each query."""

    query_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class OpenProbe(Effect):
    """Open a new connection to a server and request its health endpoint."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseConnections(Effect):
    """Close idle connections to a server, because one of them was found silent."""

    server: str


@dataclass(frozen=True, slots=True)
class SendPeer(Effect):
    """Send a message to another instance; dropped silently if there is no link."""

    peer: str
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class WriteLog(Effect):
    """Write one structured log line."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class Count(Effect):
    """Add to a counter metric."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    value: int = 1


@dataclass(frozen=True, slots=True)
class Observe(Effect):
    """Add a time to a histogram metric; ``label`` is the value of its only label."""

    name: str
    label: str
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class StopServing(Effect):
    """No request is in flight any more: the process may end."""
