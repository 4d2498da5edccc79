"""Connection pool of a backend server, and its open sends."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import aiohttp
import msgspec
from yarl import URL

from mimosapost.edge.connectors import ServerConnector
from mimosapost.edge.sub_requests import SubRequestBody, SubRequestPost
from mimosapost.edge.traces import Span
from mimosapost.model.effects import EmitSend

__all__ = ["Cancellation", "OpenSend", "ServerPool", "encode_body"]

_ENCODE = msgspec.json.Encoder().encode
_JSON = {"Content-Type": "application/json"}


def encode_body(content: Any) -> SubRequestBody:
    """Return a request body with the JSON encoding of a value."""
    return SubRequestBody(_ENCODE(content))


class ServerPool:
    """Connections to one backend server.

    :param address: ``ip:port`` of the server.
    :param connections: maximum number of connections.
    :param local_host: local IP address of the connections, or ``None`` for any.
    """

    __slots__ = ("cancel_url", "connector", "lingering", "search_url", "session", "used_us")

    def __init__(self, address: str, connections: int, local_host: str | None) -> None:
        base = URL(f"http://{address}")
        self.search_url = base / "v1/search"
        self.cancel_url = base / "v1/cancel"
        self.connector = ServerConnector(connections, local_host)
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
            headers=_JSON,
            request_class=SubRequestPost,
            auto_decompress=False,
        )
        #: Withdrawn sends whose answers are awaited only to reuse their connections.
        self.lingering: set[OpenSend] = set()
        #: Time of the latest send in microseconds.
        self.used_us = 0


class OpenSend:
    """State of a send from its effect to its event.

    :param effect: effect that starts the send.
    :param server: connection pool of the server; its ``used_us`` is the start of the send.
    """

    __slots__ = (
        "body",
        "cancellation",
        "effect",
        "reported",
        "server",
        "span",
        "started_us",
        "task",
        "timer",
    )

    def __init__(self, effect: EmitSend, server: ServerPool) -> None:
        self.effect = effect
        self.server = server
        self.started_us = server.used_us
        self.span: Span | None = None
        self.body = encode_body(effect.request)
        self.reported = False
        self.cancellation: Cancellation | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None


class Cancellation(NamedTuple):
    """Request to a server to cancel a send, and the task that sends it."""

    body: SubRequestBody
    task: asyncio.Task[None]
