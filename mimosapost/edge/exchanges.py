"""Connections to backend servers: one exchange at a time on each, bytes of others discarded.

The HTTP client of aiohttp sends an idempotent request again by itself when a kept connection
closes, which would be a second run that no decision made; here each written byte is accounted
for. ``httptools`` parses the answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Protocol

import httptools

from mimosapost.edge.channels import Channel
from mimosapost.edge.logs import Logs
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import Event
from mimosapost.relay.effects import AbandonSend, ForgetServer, StartSend
from mimosapost.relay.events import AnswerArrived, ExchangeFailed
from mimosapost.relay.messages import ServerAnswer

__all__ = ["AnswerCodec", "ServerConnections"]

# Largest answer of a server that is held in memory.
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Time for which an idle connection is kept where the server states none.
_IDLE_SECONDS = 4.0
# Share of the stated idle time after which a connection is no longer used, because the server
# may close it while the request is on its way: a request that may run only once is then lost.
_IDLE_SHARE = 0.85
_IDLE_SHARE_ONCE = 0.5
_LEAST_CONNECT_SECONDS = 0.001


class AnswerCodec(Protocol):
    """Translates sends and answers between the relay and the bytes of the platform."""

    def encode_send(self, send: StartSend, now_us: int) -> bytes:
        """Return the bytes of a request to a server."""

    def decode_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[ServerAnswer, str]:
        """Return an answer and the request id that the server echoed."""


class _Connection:
    """One connection; it reports the end of each exchange to its owner.

    :param first: the send that it is opened for.
    """

    def __init__(self, owner: ServerConnections, first: StartSend, seconds: float) -> None:
        host, _, port = first.server.address.rpartition(":")
        self.owner = owner
        self.server_id = first.server.server_id
        self.send: StartSend | None = first
        self.is_connected = False
        self.idle_seconds = _IDLE_SECONDS
        self.idle_since = 0.0
        self.closer: asyncio.TimerHandle | None = None
        self._reset()
        self.channel = Channel(self, host, int(port), seconds)

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._framed = False
        self._started = False
        self._complete = False
        self._extra = False
        self._keeps = False
        self._status = 0

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._extra = self._complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete:
            # A second answer in the same bytes must not lend its headers to the first.
            return
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        self._started = True
        # The parser forgets both when the message ends.
        self._status = self._parser.get_status_code()
        self._keeps = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if not self._complete:
            self._chunks.append(body)
            self._size += len(body)

    def on_message_complete(self) -> None:
        if self._complete:
            return
        if self._status < 200:
            # Interim answers such as 100 Continue precede the final one.
            self._headers, self._chunks, self._framed = [], [], False
            self._started = False
            return
        self._complete = True

    # Callbacks of the channel.

    def channel_opened(self) -> None:
        self.is_connected = True
        self.owner.opened += 1
        self.start(self.send)

    def channel_read(self, data: bytes) -> None:
        if self.send is None:
            # Bytes without a request in flight belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._complete:
                self._fail(FailureKind.MALFORMED)
                return
            self._extra = True
        if self._size > _MAX_ANSWER_BYTES:
            self._fail(FailureKind.TOO_LARGE)
        elif self._complete:
            self._finish()

    def channel_ended(self, error: OSError | None) -> None:
        if not self.is_connected:
            self._fail(FailureKind.REFUSED)
        elif self.send is None:
            self.close()
        elif error is None and self._started and not self._framed:
            # The answer had no length: it ends with its connection.
            self._extra = True
            self._finish()
        else:
            self._fail(FailureKind.CLOSED if error is None else FailureKind.RESET)

    # Calls of the owner.

    def start(self, send: StartSend) -> None:
        """Write a request; from now on it may have run."""
        self._reset()
        self.send = send
        self.channel.write(self.owner.codec.encode_send(send, self.owner.read_clock_us()))

    def abandon(self, delay_seconds: float) -> None:
        """Give up the exchange, at once if nothing was written, else after a delay."""
        if not self.is_connected:
            self._fail(FailureKind.WITHDRAWN)
        elif self.closer is None:
            loop = asyncio.get_running_loop()
            self.closer = loop.call_later(delay_seconds, self._fail, FailureKind.WITHDRAWN)

    def close(self) -> None:
        """Close without a report."""
        self.owner.forget(self)
        self.channel.abort()

    def is_usable(self, now: float, repeatable: bool) -> bool:
        """Return whether the connection may carry another request."""
        share = _IDLE_SHARE if repeatable else _IDLE_SHARE_ONCE
        return now - self.idle_since < self.idle_seconds * share and self.channel.is_open

    def _cancel_closer(self) -> None:
        if self.closer is not None:
            self.closer.cancel()
            self.closer = None

    def _fail(self, kind: FailureKind) -> None:
        send, self.send = self.send, None
        self._cancel_closer()
        self.close()
        if send is not None:
            run = RunState.UNKNOWN if self.is_connected else RunState.NOT_RUN
            self.owner.report_failure(send.send_id, kind, run)

    def _finish(self) -> None:
        send, self.send = self.send, None
        self._cancel_closer()
        # A server that answered before it read the whole body would take the rest of it for
        # the next request.
        unsent = self.channel.has_unsent
        body = b"".join(self._chunks)
        answer, echoed = self.owner.codec.decode_answer(self._status, self._headers, body)
        # Rejections need not carry the id; every answer of a server that ran a request does.
        crossed = echoed != send.request.request_id and (echoed or not answer.not_run)
        keeps = self._keeps and not answer.closing
        if crossed or unsent or self._extra or not keeps or not self._framed:
            self.close()
        else:
            self._read_idle_time()
            self.idle_since = asyncio.get_running_loop().time()
            self.owner.keep(self)
        if crossed:
            self.owner.report_failure(send.send_id, FailureKind.MALFORMED, RunState.UNKNOWN)
        else:
            self.owner.report_answer(send.send_id, answer)

    def _read_idle_time(self) -> None:
        stated = dict(self._headers).get(b"keep-alive", b"").partition(b"timeout=")[2]
        seconds = stated.partition(b",")[0].strip()
        if seconds.isdigit():
            self.idle_seconds = float(seconds)


class ServerConnections:
    """Executes sends and reports their ends.

    Use it as an asynchronous context manager; leaving it closes all connections.

    :param handle: takes events for the reducer.
    :param read_clock_us: monotonic clock in microseconds.
    :param codec: translates requests and answers.
    :param logs: for connections that the system refuses to open.
    """

    def __init__(
        self,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        codec: AnswerCodec,
        logs: Logs,
    ) -> None:
        self._logs = logs
        self._handle = handle
        self.read_clock_us = read_clock_us
        self.codec = codec
        self._idle: dict[str, list[_Connection]] = {}
        self._busy: dict[int, _Connection] = {}
        self._all: set[_Connection] = set()
        self._stack = AsyncExitStack()
        self.opened = 0

    async def __aenter__(self) -> ServerConnections:
        self._stack.callback(self._close_all)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def _close_all(self) -> None:
        for connection in list(self._all):
            connection.send = None
            connection.close()

    def start_send(self, effect: StartSend) -> None:
        """Execute a ``StartSend`` effect over an idle or a new connection."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(effect.server.server_id, ())
        while idle:
            connection = idle.pop()
            if connection.is_usable(now, effect.repeatable):
                self._busy[effect.send_id] = connection
                connection.start(effect)
                return
            connection.close()
        seconds = max(
            _LEAST_CONNECT_SECONDS, (effect.connect_deadline_us - self.read_clock_us()) / 1e6
        )
        try:
            connection = _Connection(self, effect, seconds)
        except OSError as error:
            # No descriptor is left, or the address is none: the request was not written.
            self._logs.write("connection_not_opened", {"error": repr(error)})
            self.report_failure(effect.send_id, FailureKind.REFUSED, RunState.NOT_RUN)
            return
        self._busy[effect.send_id] = connection
        self._all.add(connection)

    def abandon_send(self, effect: AbandonSend) -> None:
        """Execute an ``AbandonSend`` effect."""
        connection = self._busy.get(effect.send_id)
        if connection is not None:
            connection.abandon(max(0, effect.until_us - self.read_clock_us()) / 1e6)

    def forget_server(self, effect: ForgetServer) -> None:
        """Execute a ``ForgetServer`` effect."""
        for connection in self._idle.pop(effect.server_id, []):
            connection.close()

    def keep(self, connection: _Connection) -> None:
        """Take back a connection whose exchange has ended well."""
        self._idle.setdefault(connection.server_id, []).append(connection)

    def forget(self, connection: _Connection) -> None:
        """Drop a connection that is closed."""
        self._all.discard(connection)
        idle = self._idle.get(connection.server_id)
        if idle and connection in idle:
            idle.remove(connection)

    def report_answer(self, send_id: int, answer: ServerAnswer) -> None:
        """Report a whole answer."""
        self._busy.pop(send_id, None)
        self._handle(AnswerArrived(self.read_clock_us(), send_id, answer))

    def report_failure(self, send_id: int, kind: FailureKind, run: RunState) -> None:
        """Report the end of a send without an answer."""
        self._busy.pop(send_id, None)
        self._handle(ExchangeFailed(self.read_clock_us(), send_id, kind, run))
