"""Connections to backend servers: one exchange at a time on each, bytes of others discarded.

The HTTP client of aiohttp sends an idempotent request again by itself when a kept connection
closes, which would be a second run that no decision made; here each written byte is accounted
for. ``httptools`` parses the answers.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Protocol

import httptools

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import Event
from mimosapost.relay.effects import AbandonSend, ForgetServer, StartSend
from mimosapost.relay.events import AnswerArrived, ExchangeFailed
from mimosapost.relay.exchanges import ServerAnswer

__all__ = ["AnswerCodec", "ServerConnections"]

# Largest answer of a server that is held in memory.
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Time after which the kernel gives up bytes that the peer does not acknowledge.
_USER_TIMEOUT_MS = 3_000
# Time for which an idle connection is kept where the server states none.
_IDLE_SECONDS = 4.0
# Share of the stated idle time after which a connection is no longer used: the server may
# close it while a request is on its way.
_IDLE_SHARE = 0.6


class AnswerCodec(Protocol):
    """Translates sends and answers between the relay and the bytes of the platform."""

    def encode_send(self, send: StartSend, now_us: int) -> bytes:
        """Return the bytes of a request to a server."""

    def decode_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[ServerAnswer, str]:
        """Return an answer and the request id that the server echoed."""


class _Connection(asyncio.Protocol):
    """One connection; it reports the end of each exchange to its owner."""

    def __init__(self, owner: ServerConnections, server_id: str) -> None:
        self.owner = owner
        self.server_id = server_id
        self.transport: asyncio.Transport | None = None
        self.send: StartSend | None = None
        self.idle_seconds = _IDLE_SECONDS
        self.idle_since = 0.0
        self.closer: asyncio.TimerHandle | None = None
        self._reset()

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

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
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

    def eof_received(self) -> None:
        if self.send is not None and self._started and not self._framed:
            # The answer had no length: it ends with its connection.
            self._extra = True
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.forget(self)
        if self.send is not None:
            self._fail(FailureKind.RESET if exc is not None else FailureKind.CLOSED)
        self._cancel_closer()

    # Calls of the owner.

    def start(self, send: StartSend, data: bytes) -> None:
        self._reset()
        self.send = send
        self.transport.write(data)

    def abandon(self, delay_seconds: float) -> None:
        if self.closer is None:
            loop = asyncio.get_running_loop()
            self.closer = loop.call_later(delay_seconds, self._fail, FailureKind.WITHDRAWN)

    def close(self) -> None:
        self.owner.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def is_usable(self, now: float) -> bool:
        """Return whether the connection may carry another request."""
        fresh = now - self.idle_since < self.idle_seconds * _IDLE_SHARE
        return fresh and self.transport is not None and not self.transport.is_closing()

    def _cancel_closer(self) -> None:
        if self.closer is not None:
            self.closer.cancel()
            self.closer = None

    def _fail(self, kind: FailureKind) -> None:
        send, self.send = self.send, None
        self._cancel_closer()
        self.close()
        if send is not None:
            self.owner.report_failure(send.send_id, kind, RunState.UNKNOWN)

    def _finish(self) -> None:
        send, self.send = self.send, None
        self._cancel_closer()
        # A server that answered before it read the whole body would take the rest of it for
        # the next request.
        unsent = self.transport.get_write_buffer_size() > 0
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
        for name, value in self._headers:
            if name == b"keep-alive":
                _, _, seconds = value.partition(b"timeout=")
                digits = seconds.split(b",")[0].strip()
                if digits.isdigit():
                    self.idle_seconds = float(digits)


class ServerConnections:
    """Executes sends and reports their ends.

    Use it as an asynchronous context manager; leaving it closes all connections.

    :param handle: takes events for the reducer.
    :param read_clock_us: monotonic clock in microseconds.
    :param codec: translates requests and answers.
    """

    def __init__(
        self,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        codec: AnswerCodec,
    ) -> None:
        self._handle = handle
        self._read_clock_us = read_clock_us
        self.codec = codec
        self._idle: dict[str, list[_Connection]] = {}
        self._busy: dict[int, _Connection] = {}
        self._connecting: dict[int, asyncio.Task] = {}
        self._all: set[_Connection] = set()
        self._stack = AsyncExitStack()
        self.opened = 0

    async def __aenter__(self) -> ServerConnections:
        self._stack.callback(self._close_all)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def _close_all(self) -> None:
        for task in list(self._connecting.values()):
            task.cancel()
        for connection in list(self._all):
            connection.send = None
            connection.close()

    def start_send(self, effect: StartSend) -> None:
        """Execute a ``StartSend`` effect over an idle or a new connection."""
        server_id = effect.server.server_id
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(server_id, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                self._write(connection, effect)
                return
            connection.close()
        task = asyncio.get_running_loop().create_task(self._open(effect))
        self._connecting[effect.send_id] = task

    async def _open(self, effect: StartSend) -> None:
        host, _, port = effect.server.address.rpartition(":")
        seconds = max(0.001, (effect.connect_by_us - self._read_clock_us()) / 1e6)
        loop = asyncio.get_running_loop()
        kind = None
        try:
            async with asyncio.timeout(seconds):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self, effect.server.server_id), host, int(port)
                )
        except asyncio.CancelledError:
            kind = FailureKind.WITHDRAWN
        except (OSError, TimeoutError):
            kind = FailureKind.REFUSED
        self._connecting.pop(effect.send_id, None)
        if kind is not None:
            self.report_failure(effect.send_id, kind, RunState.NOT_RUN)
            return
        self.opened += 1
        self._all.add(connection)
        if connection.transport.is_closing():
            self.report_failure(effect.send_id, FailureKind.REFUSED, RunState.NOT_RUN)
            return
        self._write(connection, effect)

    def _write(self, connection: _Connection, effect: StartSend) -> None:
        self._busy[effect.send_id] = connection
        connection.start(effect, self.codec.encode_send(effect, self._read_clock_us()))

    def abandon_send(self, effect: AbandonSend) -> None:
        """Execute an ``AbandonSend`` effect."""
        task = self._connecting.get(effect.send_id)
        if task is not None:
            task.cancel()
            return
        connection = self._busy.get(effect.send_id)
        if connection is not None:
            delay_us = effect.until_us - self._read_clock_us()
            connection.abandon(max(0, delay_us) / 1e6)

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
        self._handle(AnswerArrived(self._read_clock_us(), send_id, answer))

    def report_failure(self, send_id: int, kind: FailureKind, run: RunState) -> None:
        """Report the end of a send without an answer."""
        self._busy.pop(send_id, None)
        self._handle(ExchangeFailed(self._read_clock_us(), send_id, kind, run))
