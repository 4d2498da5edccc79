"""Effects of the relay: what its reducer asks the edge to do."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.effects import Effect
from mimosapost.relay.exchanges import BackendServer, RelayRequest, Reply

__all__ = ["AbandonSend", "ForgetServer", "SendReply", "StartSend"]


@dataclass(frozen=True, slots=True)
class StartSend(Effect):
    """Send a request to a server now.

    The edge reports exactly one ``AnswerArrived`` or ``ExchangeFailed`` for it.

    :param deadline_us: monotonic time at which the server may stop working on it.
    :param connect_by_us: monotonic time by which a connection must stand.
    :param repeatable: whether the request may run more than once.
    """

    send_id: int
    server: BackendServer
    request: RelayRequest
    deadline_us: int
    connect_by_us: int
    repeatable: bool


@dataclass(frozen=True, slots=True)
class AbandonSend(Effect):
    """An answer is no longer needed.

    A send without a connection is withdrawn. Otherwise its connection stays open until
    ``until_us``, because closing it costs the server a new handshake, and is then closed.
    """

    send_id: int
    until_us: int


@dataclass(frozen=True, slots=True)
class SendReply(Effect):
    """Reply to the caller of a request; exactly one for each request."""

    number: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class ForgetServer(Effect):
    """Close idle connections to a server that is gone."""

    server_id: str
