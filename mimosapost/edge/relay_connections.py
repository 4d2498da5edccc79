"""HTTP connections of the relay to backend servers, with one exchange at a time on each.

aiohttp's client is not used, because it automatically sends an idempotent request again when
a reused connection closes. The request could then run twice although the relay did not decide
to retry it. Here each exchange writes its request exactly once, and bytes that belong to no
exchange are discarded. ``httptools`` parses the answers.

A server may send an answer a second time, in the place of the next one. The request id tells
such a copy from the answer to another request, which still follows, but not from the answer to
the same request. So copies are discarded, and a connection carries each request at most once.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Protocol

import httptools

from mimosapost.edge.logs import Logs
from mimosapost.edge.tcp_channels import Channel
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import Event
from mimosapost.relay.effects import AbandonSend, ForgetServer, ProbeServer, StartSend
from mimosapost.relay.events import AnswerArrived, ExchangeFailed, ProbeEnded, ProbeOutcome
from mimosapost.relay.messages import BackendServer, ServerAnswer

__all__ = ["DEFAULT_CONNECTIONS", "DEFAULT_HELD_BYTES", "AnswerCodec", "ServerConnections"]

# Maximum number of bytes of one exchange, whatever they are; more of them fail the send with
# ``TOO_LARGE``.
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Maximum number of bytes outside the body: heads of interim and final answers, chunk sizes and
# trailers. A chunk of one byte takes five further bytes.
_MAX_HEAD_BYTES = 64 * 1024
_MAX_FRAMING_RATIO = 8
# Maximum number of header fields of an answer, with its trailers. A short field takes some
# twenty times its size on the wire.
_MAX_HEADER_FIELDS = 512
#: Default for the bytes of all unfinished answers together.
DEFAULT_HELD_BYTES = 64 * 1024 * 1024
#: Default for the number of connections above which idle ones are closed.
DEFAULT_CONNECTIONS = 1_500
# Assumed idle timeout of a server that does not state one in a ``Keep-Alive`` header.
_DEFAULT_IDLE_SECONDS = 4.0
# Shares of the server's idle timeout after which an idle connection is no longer used: the
# server may close it while the next request is in transit. The share for requests that may run
# only once is smaller, because such a request cannot be retried after an unknown outcome.
_MAX_IDLE_SHARE = 0.85
_MAX_IDLE_SHARE_RUN_ONCE = 0.5
# Lower limit of the connect timeout, also for a send whose deadline has passed.
_MIN_CONNECT_SECONDS = 0.001
# Statuses of the answers that precede the final one, and of final answers.
_INTERIM_STATUSES = range(100, 200)
_FINAL_STATUSES = range(200, 600)
# Errors of an attempt to connect that a host without a process at the port causes.
_REFUSED_ERRORS = (errno.ECONNREFUSED, errno.ECONNRESET)


class _InvalidStatus(ValueError):
    """The status of an answer is none that HTTP defines; the parser passes it on."""


class AnswerCodec(Protocol):
    """Translate sends and answers between the relay and the platform's HTTP messages."""

    def encode_send(self, send: StartSend, now_us: int) -> bytes:
        """Return the bytes of the HTTP request to a server.

        :param now_us: current monotonic time in microseconds.
        """

    def decode_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[ServerAnswer, str]:
        """Decode an answer.

        :returns: the answer, and the request id that the server echoed or an empty string.
        """


class _Connection:
    """HTTP connection that reports the end of each exchange to its owner.

    :param owner: all connections of the instance to backend servers.
    :param server: server to connect to.
    :param first_send: send that is started as soon as the connection is established, or
        ``None`` for a probe.
    :param connect_seconds: time in seconds after which the attempt to connect fails.
    """

    def __init__(
        self,
        owner: ServerConnections,
        server: BackendServer,
        first_send: StartSend | None,
        connect_seconds: float,
    ) -> None:
        host, _, port = server.address.rpartition(":")
        self.owner = owner
        self.server = server
        self.server_id = server.server_id
        self.is_probe = first_send is None
        self.send = first_send
        self.is_connected = False
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        self.idle_since = 0.0
        self.close_timer: asyncio.TimerHandle | None = None
        #: Number of bytes received in the current exchange.
        self.received = 0
        # Deadlines of the requests that were written, by request id and in order. A request is
        # not sent again after its deadline.
        self._deadlines_us: dict[str, int] = {}
        self._exchanges = 0
        self._reset_response()
        self.channel = Channel(self, host, int(port), connect_seconds)

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._size = 0
        self._has_framing = False
        self._has_headers = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._keep_alive = False
        self._status = 0
        self._decoded: tuple[ServerAnswer, str] | None = None

    def _discard_message(self) -> None:
        """Forget a complete message that is not the answer to the request."""
        self._headers, self._body, self._has_framing = [], bytearray(), False
        self._has_headers = False

    def _release_response(self) -> None:
        """Free the memory of a response and stop counting it.

        The connection, its parser and its channel refer to each other, so that without this
        the response would stay in memory until the next garbage collection.
        """
        self._headers, self._body, self._decoded = [], bytearray(), None
        self._parser = None
        self.owner.release_received(self)

    def _decode_answer(self) -> tuple[ServerAnswer, str]:
        return self.owner.codec.decode_answer(self._status, self._headers, bytes(self._body))

    # Callbacks of ``httptools.HttpResponseParser``.

    def on_message_begin(self) -> None:
        self._has_extra_bytes |= self._is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_complete:
            # These are headers of a second answer, which must not be added to the first.
            return
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._has_framing = True

    def on_headers_complete(self) -> None:
        if self._is_complete:
            return
        self._has_headers = True
        # The parser resets both values when the message ends.
        self._status = self._parser.get_status_code()
        if self._status not in _INTERIM_STATUSES and self._status not in _FINAL_STATUSES:
            raise _InvalidStatus(self._status)
        self._keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        if not self._is_complete:
            # One buffer for all chunks: each object of its own would take 40 bytes more.
            self._body += body
            self._size += len(body)

    def on_message_complete(self) -> None:
        if self._is_complete:
            return
        if self._status in _INTERIM_STATUSES:
            # Interim answers such as 100 Continue precede the final one.
            self._discard_message()
            return
        self._decoded = self._decode_answer()
        _, named_id = self._decoded
        if named_id not in ("", self.send.request.request_id):
            if not self._has_extra_bytes:
                self.owner.log_extra_answer(self, named_id, self._status)
            self._has_extra_bytes = True
            self._discard_message()
            return
        self._is_complete = True

    # Methods of ``ChannelOwner``.

    def channel_opened(self) -> None:
        self.is_connected = True
        self.owner.opened += 1
        if self.send is not None:
            self.start(self.send)
            return
        self.idle_since = asyncio.get_running_loop().time()
        self.owner.add_idle_connection(self)
        self.owner.report_probe(self.server, ProbeOutcome.OPEN)

    def channel_read(self, data: bytes) -> None:
        if self.send is None:
            # No request is in flight, so these bytes belong to no exchange.
            self.close()
            return
        if self.received + len(data) > _MAX_ANSWER_BYTES:
            self.fail_too_large("answer", _MAX_ANSWER_BYTES)
            return
        self.owner.count_received(self, len(data))
        if self.send is None:
            # All unfinished answers together were too large, and this was the largest.
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._is_complete:
                self._fail(FailureKind.MALFORMED)
                return
            self._has_extra_bytes = True
        if self._is_complete:
            self._finish()
        elif self.received - self._size > _MAX_HEAD_BYTES + _MAX_FRAMING_RATIO * self._size:
            self.fail_too_large("bytes outside the body", _MAX_HEAD_BYTES)
        elif len(self._headers) > _MAX_HEADER_FIELDS:
            self.fail_too_large("header fields", _MAX_HEADER_FIELDS)

    def channel_ended(self, error: OSError | None) -> None:
        if not self.is_connected:
            self._fail(FailureKind.REFUSED)
            if self.is_probe:
                is_refused = isinstance(error, OSError) and error.errno in _REFUSED_ERRORS
                outcome = ProbeOutcome.REFUSED if is_refused else ProbeOutcome.SILENT
                self.owner.report_probe(self.server, outcome)
        elif self.send is None:
            self.close()
        elif error is None and self._has_headers and not self._has_framing:
            # An answer without length or chunked encoding ends when the server closes the
            # connection.
            self._has_extra_bytes = True
            self._finish()
        else:
            self._fail(FailureKind.CLOSED if error is None else FailureKind.RESET)

    # Methods that the owner calls.

    def start(self, send: StartSend) -> None:
        """Write a request; after this call it may have run."""
        self._reset_response()
        self.send = send
        self._exchanges += 1
        now_us = self.owner.read_clock_us()
        self._remember_request(send, now_us)
        self.channel.write(self.owner.codec.encode_send(send, now_us))

    def _remember_request(self, send: StartSend, now_us: int) -> None:
        while self._deadlines_us:
            oldest = next(iter(self._deadlines_us))
            if self._deadlines_us[oldest] > now_us:
                break
            del self._deadlines_us[oldest]
        self._deadlines_us[send.request.request_id] = send.deadline_us

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request that is still open was written to this connection."""
        return request_id in self._deadlines_us

    def abandon(self, delay_seconds: float) -> None:
        """Abandon the exchange: at once if nothing was written, else after the delay."""
        if not self.is_connected:
            self._fail(FailureKind.WITHDRAWN)
        elif self.close_timer is None:
            loop = asyncio.get_running_loop()
            self.close_timer = loop.call_later(delay_seconds, self._fail, FailureKind.WITHDRAWN)

    def fail_too_large(self, what: str, limit: int) -> None:
        """Fail the exchange because of the size of its answer.

        :param what: part of the answer that is too large, for the log.
        :param limit: limit that was exceeded, in bytes or in header fields.
        """
        self.owner.log_too_large(self, what, limit)
        self._fail(FailureKind.TOO_LARGE)

    def close(self) -> None:
        """Close the connection without reporting an event."""
        self._release_response()
        self.owner.drop_connection(self)
        self.channel.abort()

    def leads_to(self, server: BackendServer) -> bool:
        """Return whether the connection was opened to this process of a server."""
        return (self.server.address, self.server.process_started_ms) == (
            server.address,
            server.process_started_ms,
        )

    def is_usable(self, now: float, repeatable: bool) -> bool:
        """Return whether the idle connection may be used for another request.

        :param now: time of the event loop in seconds.
        :param repeatable: whether the request may run more than once.
        """
        share = _MAX_IDLE_SHARE if repeatable else _MAX_IDLE_SHARE_RUN_ONCE
        return now - self.idle_since < self.idle_seconds * share and self.channel.is_open

    def _cancel_close_timer(self) -> None:
        if self.close_timer is not None:
            self.close_timer.cancel()
            self.close_timer = None

    def _fail(self, kind: FailureKind) -> None:
        send, self.send = self.send, None
        self._cancel_close_timer()
        self.close()
        if send is not None:
            run = RunState.UNKNOWN if self.is_connected else RunState.NOT_RUN
            self.owner.report_failure(send.send_id, kind, run)

    def _finish(self) -> None:
        send, self.send = self.send, None
        self._cancel_close_timer()
        # If the server answered before the whole body was sent, it would parse the remaining
        # bytes as the next request.
        unsent = self.channel.has_unsent
        answer, echoed_id = self._decoded if self._is_complete else self._decode_answer()
        # Only an answer that states that the request was not run may omit the request id, and
        # only on a connection on which it can't be a copy of an earlier one.
        is_mismatched = echoed_id != send.request.request_id and (
            echoed_id or not answer.not_run or self._exchanges > 1
        )
        may_keep_alive = self._keep_alive and not answer.closing
        if (
            is_mismatched
            or unsent
            or self._has_extra_bytes
            or not may_keep_alive
            or not self._has_framing
        ):
            self.close()
        else:
            self._read_idle_time()
            self._release_response()
            self.idle_since = asyncio.get_running_loop().time()
            self.owner.add_idle_connection(self)
        if is_mismatched:
            self.owner.report_failure(send.send_id, FailureKind.MALFORMED, RunState.UNKNOWN)
        else:
            self.owner.report_answer(send.send_id, answer)

    def _read_idle_time(self) -> None:
        header_value = dict(self._headers).get(b"keep-alive", b"").partition(b"timeout=")[2]
        seconds = header_value.partition(b",")[0].strip()
        if seconds.isdigit():
            self.idle_seconds = float(seconds)


class ServerConnections:
    """Execute sends to backend servers and report how they end.

    Use it as an asynchronous context manager; leaving the context closes all connections
    without reporting events.

    :param handle: receives the events for the reducer.
    :param read_clock_us: returns the time of a monotonic clock in microseconds.
    :param codec: encodes requests and decodes answers.
    :param logs: receives the errors of connections that could not be created, and answers that
        are too large.
    :param max_held_bytes: maximum number of bytes of all unfinished answers together.
    :param max_connections: number of connections above which idle ones are closed.
    """

    def __init__(
        self,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        codec: AnswerCodec,
        logs: Logs,
        max_held_bytes: int = DEFAULT_HELD_BYTES,
        max_connections: int = DEFAULT_CONNECTIONS,
    ) -> None:
        self._max_connections = max_connections
        self._logs = logs
        self.max_held_bytes = max_held_bytes
        #: Number of bytes of all unfinished answers.
        self.held_bytes = 0
        self._handle = handle
        self.read_clock_us = read_clock_us
        self.codec = codec
        self._idle: dict[str, list[_Connection]] = {}
        self._connections_by_send: dict[int, _Connection] = {}
        self._connections: set[_Connection] = set()
        self._stack = AsyncExitStack()
        self.opened = 0

    async def __aenter__(self) -> ServerConnections:
        self._stack.callback(self._close_all)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def _close_all(self) -> None:
        for connection in list(self._connections):
            connection.send = None
            connection.close()

    def start_send(self, effect: StartSend) -> None:
        """Execute a ``StartSend`` effect over an idle or a new connection."""
        connection = self._take_idle_connection(effect)
        if connection is not None:
            self._connections_by_send[effect.send_id] = connection
            connection.start(effect)
            return
        connection = self._open(effect.server, effect, effect.connect_deadline_us)
        if connection is None:
            # The request has not been written.
            self.report_failure(effect.send_id, FailureKind.REFUSED, RunState.NOT_RUN)
            return
        self._connections_by_send[effect.send_id] = connection

    def _take_idle_connection(self, effect: StartSend) -> _Connection | None:
        """Return the most recently used idle connection that may carry the request.

        Connections that have been idle for too long, or that lead to an earlier process of the
        server, are closed.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(effect.server.server_id, [])
        for connection in idle[::-1]:
            is_usable = connection.is_usable(now, effect.repeatable)
            if not is_usable or not connection.leads_to(effect.server):
                connection.close()
            elif not connection.has_carried(effect.request.request_id):
                idle.remove(connection)
                return connection
        return None

    def probe_server(self, effect: ProbeServer) -> None:
        """Execute a ``ProbeServer`` effect over a new connection."""
        if self._open(effect.server, None, effect.connect_deadline_us) is None:
            self.report_probe(effect.server, ProbeOutcome.SILENT)

    def _open(
        self, server: BackendServer, send: StartSend | None, connect_deadline_us: int
    ) -> _Connection | None:
        """Open a connection, or log why no file descriptor or no valid address is there."""
        if len(self._connections) >= self._max_connections:
            self._close_oldest_idle()
        connect_seconds = max(
            _MIN_CONNECT_SECONDS, (connect_deadline_us - self.read_clock_us()) / 1e6
        )
        try:
            connection = _Connection(self, server, send, connect_seconds)
        except OSError as error:
            self._logs.write("connection_not_opened", {"error": repr(error)})
            return None
        self._connections.add(connection)
        return connection

    def _close_oldest_idle(self) -> None:
        """Close the connection that has been idle for longest, if any is idle."""
        # The idle connections of a server are in the order in which they became idle.
        oldest = [idle[0] for idle in self._idle.values() if idle]
        if oldest:
            min(oldest, key=lambda connection: connection.idle_since).close()

    def abandon_send(self, effect: AbandonSend) -> None:
        """Execute an ``AbandonSend`` effect; do nothing if the send has ended."""
        connection = self._connections_by_send.get(effect.send_id)
        if connection is not None:
            connection.abandon(max(0, effect.until_us - self.read_clock_us()) / 1e6)

    def forget_server(self, effect: ForgetServer) -> None:
        """Execute a ``ForgetServer`` effect: close the server's idle connections."""
        for connection in self._idle.pop(effect.server_id, []):
            connection.close()

    def add_idle_connection(self, connection: _Connection) -> None:
        """Make a connection available for further sends."""
        self._idle.setdefault(connection.server_id, []).append(connection)

    def drop_connection(self, connection: _Connection) -> None:
        """Remove a closed connection from the collections of connections."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.server_id)
        if idle and connection in idle:
            idle.remove(connection)

    def count_received(self, connection: _Connection, size: int) -> None:
        """Count received bytes; if all answers together are too large, fail the largest."""
        connection.received += size
        self.held_bytes += size
        if self.held_bytes > self.max_held_bytes:
            largest = max(self._connections, key=lambda other: other.received)
            largest.fail_too_large("all unfinished answers", self.max_held_bytes)

    def release_received(self, connection: _Connection) -> None:
        """Stop counting the bytes of an exchange that has ended."""
        self.held_bytes -= connection.received
        connection.received = 0

    def log_too_large(self, connection: _Connection, what: str, limit: int) -> None:
        """Log that an answer is too large."""
        fields = {
            "request": connection.send.request.request_id if connection.send else "",
            "server": connection.server_id,
            "what": what,
            "limit": limit,
            "received_bytes": connection.received,
            "held_bytes": self.held_bytes,
        }
        self._logs.write("answer_too_large", fields)

    def log_extra_answer(self, connection: _Connection, named_id: str, status: int) -> None:
        """Log that a server sent an answer to another request than the one that waits."""
        fields = {
            "request": connection.send.request.request_id,
            "server": connection.server_id,
            "named": named_id,
            "status": status,
        }
        self._logs.write("extra_answer_discarded", fields)

    def report_probe(self, server: BackendServer, outcome: ProbeOutcome) -> None:
        """Report the end of a probe."""
        self._handle(ProbeEnded(self.read_clock_us(), server, outcome))

    def report_answer(self, send_id: int, answer: ServerAnswer) -> None:
        """Report a complete answer to a send."""
        self._connections_by_send.pop(send_id, None)
        self._handle(AnswerArrived(self.read_clock_us(), send_id, answer))

    def report_failure(self, send_id: int, kind: FailureKind, run: RunState) -> None:
        """Report that a send ended without an answer."""
        self._connections_by_send.pop(send_id, None)
        self._handle(ExchangeFailed(self.read_clock_us(), send_id, kind, run))
