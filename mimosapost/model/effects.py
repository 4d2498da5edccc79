"""Effects: actions that the reducer requests from the edge."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.peer_messages import PeerMessage
from mimosapost.model.queries import Answer, SubRequest

__all__ = [
    "AnswerCaller",
    "CancelSend",
    "CloseConnections",
    "Effect",
    "EmitSend",
    "IncrementCounter",
    "ObserveDuration",
    "OpenProbe",
    "SendPeer",
    "SetTimer",
    "StopServing",
    "WriteLog",
]


@dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclass(frozen=True, slots=True)
class SetTimer(Effect):
    """Set the timer that delivers a ``Ticked`` event; replaces the previous timer.

    :param due_us: monotonic time of the event, in microseconds.
    """

    due_us: int


@dataclass(frozen=True, slots=True)
class EmitSend(Effect):
    """Send a sub-request to a server now.

    Once this effect is emitted, the request may have run. The edge reports exactly one of
    ``SendAnswered``, ``SendRejected`` or ``SendFailed`` for each send.

    :param send_id: number of the send, repeated in the event that reports how it ended.
    :param server: address of the backend server.
    :param deadline_us: monotonic time at which the edge ends the send, in microseconds.
    :param connections: maximum number of connections of this instance to the server.
    :param max_answer_bytes: largest answer accepted from the server, in bytes.
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

    The edge sends the cancellation to the server over another connection and reports
    ``SendFailed`` with ``WITHDRAWN``; the run state is ``NOT_RUN`` only if no byte was written.

    :param send_id: number of the send to cancel.
    :param close: whether to close the connection at once instead of waiting for the answer.
    """

    send_id: int
    close: bool = False


@dataclass(frozen=True, slots=True)
class AnswerCaller(Effect):
    """Answer the caller of a query; emitted exactly once for each query."""

    query_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class OpenProbe(Effect):
    """Open a new connection to a server and request its health endpoint."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseConnections(Effect):
    """Close the unused connections to a server, because one connection was found silent.

    Connections that only wait for the answer of a cancelled send count as unused.
    """

    server: str


@dataclass(frozen=True, slots=True)
class SendPeer(Effect):
    """Send a message to another instance; it is dropped silently if there is no link.

    :param peer: name of the instance.
    :param address: ``ip:port`` on which the instance accepts peer links.
    """

    peer: str
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class WriteLog(Effect):
    """Write one structured log line."""

    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class IncrementCounter(Effect):
    """Add to a counter metric."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()
    value: int = 1


@dataclass(frozen=True, slots=True)
class ObserveDuration(Effect):
    """Record a duration in a histogram metric; ``label`` is the value of its only label."""

    name: str
    label: str
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class StopServing(Effect):
    """End the process, because no request is in flight any more."""
