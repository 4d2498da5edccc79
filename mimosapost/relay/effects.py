"""Effects of the relay: actions that its reducer requests from the edge."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.effects import Effect
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.relay.messages import BackendServer, RelayRequest, Reply

__all__ = [
    "AbandonSend",
    "ApplyFeed",
    "ForgetServer",
    "ProbeServer",
    "SendReply",
    "StartSend",
]


@dataclass(frozen=True, slots=True)
class StartSend(Effect):
    """Send a request to a server at once.

    The edge reports exactly one ``AnswerArrived`` or ``ExchangeFailed`` for each send.

    :param deadline_us: monotonic time after which the server may stop working on the request.
    :param connect_deadline_us: monotonic time by which the connection must be established.
    :param repeatable: whether the request may run more than once.
    :param workspace: name of the workspace that the server is told; empty for none.
    """

    send_id: int
    server: BackendServer
    request: RelayRequest
    deadline_us: int
    connect_deadline_us: int
    repeatable: bool
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class AbandonSend(Effect):
    """Give up a send whose answer is no longer needed.

    A send without a connection is withdrawn. Otherwise the connection stays open for the answer
    until ``until_us`` and is then closed; closing it earlier would cost the server another
    handshake.
    """

    send_id: int
    until_us: int


@dataclass(frozen=True, slots=True)
class SendReply(Effect):
    """Send the reply to the caller; emitted exactly once for each request."""

    request_number: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class ProbeServer(Effect):
    """Open a connection to a server without a request, and keep it for later sends.

    The edge reports one ``ProbeEnded`` for each probe.

    :param connect_deadline_us: monotonic time by which the connection must be established.
    """

    server: BackendServer
    connect_deadline_us: int


@dataclass(frozen=True, slots=True)
class ForgetServer(Effect):
    """Close the idle connections to a server that was removed."""

    server_id: str


@dataclass(frozen=True, slots=True)
class ApplyFeed(Effect):
    """Apply changes of the source that another instance has read.

    :param after: revision from which the changes start.
    :param as_of: revision up to which they are complete.
    :param entries: the changed entries, with ascending revisions.
    :param confirmed_us: monotonic time at which the source stated that nothing newer existed.
    :param is_regained: whether the source was unreachable before.
    """

    after: int
    as_of: int
    entries: tuple[SourceEntry, ...]
    confirmed_us: int
    is_regained: bool = False
