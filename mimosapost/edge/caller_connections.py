"""Callers' connections, on which the published limits of the moment apply.

aiohttp's limits hold for the whole life of a connection, from the moment at which it is
accepted. Callers keep connections open for long, so the limits are checked here instead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

from mimosapost.edge.caller_memory import Activity, CallerMemory, Holding
from mimosapost.edge.caller_parser import MAX_QUEUED_REQUESTS, RequestParser
from mimosapost.edge.caller_paths import (
    DeliveryWatch,
    count_unacknowledged,
    read_round_trip_us,
)
from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.logs import Logs
from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.relay.catalog import CallerLimits
from mimosapost.relay.messages import CallerPath

__all__ = ["LimitedConnection", "LimitedServer", "measure_header_fields"]

# Connections are closed this long after the published idle limit, so that a caller
# that respects the limit never sends a request on a connection that is being closed.
_IDLE_MARGIN_SECONDS = 5.0
# Time between two checks for connections that have been idle or incomplete for too long.
_CHECK_SECONDS = 0.5
# After a refusal the rest of the request is discarded for this time, so that the caller can
# read the refusal before the connection is reset.
_LINGER_SECONDS = 0.3
# Value with which aiohttp's own time limit never applies.
_UNLIMITED_SECONDS = 365 * 86_400.0
# Time without progress after which an answer counts as not being read.
_STALL_SECONDS = 2.0
# Time after its arrival in which an answer is closed as late as a request that is being served.
_ARRIVAL_SECONDS = 0.5
# Size in bytes above which an answer is counted while it is written; what callers have not read
# of smaller ones is counted at each check.
_LONG_ANSWER_BYTES = 64 * 1024


def measure_header_fields(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the number of bytes of header fields on the wire.

    >>> measure_header_fields([(b"Host", b"a"), (b"X-Y", b"")])
    16
    """
    return sum(len(name) + len(value) + len(b": \r\n") for name, value in headers)


class LimitedConnection(RequestHandler):
    """Connection of a caller.

    :param manager: server that accepted the connection.
    :param get_limits: returns the limits in force.
    :param logs: receives requests that are refused.
    :param memory: account of what all connections hold.
    :ivar held_bytes: memory that was charged for this connection.
    :ivar is_served: whether a complete request waits for its answer.
    """

    __slots__ = (
        "_answer_bytes",
        "_answer_since",
        "_answered",
        "_decided_us",
        "_get_limits",
        "_held_since",
        "_idle_limit_us",
        "_idle_since",
        "_logs",
        "_memory",
        "_progress_at",
        "_received_us",
        "_unread_bytes",
        "_unsent_bytes",
        "held_bytes",
        "is_served",
    )

    def __init__(
        self,
        manager: LimitedServer,
        get_limits: Callable[[], CallerLimits],
        logs: Logs,
        memory: CallerMemory,
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=_UNLIMITED_SECONDS,
            access_log=None,
            tcp_keepalive=True,
            lingering_time=_LINGER_SECONDS,
            auto_decompress=False,
        )
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = RequestParser(self, self._loop, get_limits, memory.bounds, self._charge)
        self._memory = memory
        self.held_bytes = 0
        self.is_served = False
        self._held_since = self._progress_at = self._answer_since = self._loop.time()
        # Memory of the answer that is being written, and of what the transport keeps of earlier
        # ones.
        self._answer_bytes = self._unsent_bytes = 0
        # Bytes that the caller had not read at the last check; -1 if there are none.
        self._unread_bytes = -1
        self._get_limits = get_limits
        self._logs = logs
        self._answered = 0
        self._decided_us = self._received_us = 0
        self._begin_idle()

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the caller to the parser."""
        is_between = self._answered and self._request_count == self._answered
        if is_between and self._parser is not None and not self._parser.head_bytes:
            self._received_us = read_clock_us()
        super().data_received(data)

    def describe_path(self) -> CallerPath:
        """Return what the connection tells about the way of the request that it brought."""
        times = read_round_trip_us(self.transport)
        return CallerPath(self._received_us, *times, is_new=not self._answered)

    def watch_reply(self, decided_us: int) -> None:
        """Have the next reply watched until the caller has acknowledged it.

        :param decided_us: monotonic time of the decision on the reply in microseconds.
        """
        self._decided_us = decided_us

    def _begin_idle(self) -> None:
        self._idle_since = self._loop.time()
        self._idle_limit_us = self._get_limits().idle_timeout_us

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, which may close others."""
        super().connection_made(transport)
        self._received_us = read_clock_us()
        self._memory.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._memory.remove(self)
        super().connection_lost(exc)

    def _charge(self, size: int) -> None:
        if not self.held_bytes:
            self._held_since = self._loop.time()
        self._memory.charge(self, size)

    def abort(self) -> None:
        """Close the connection without writing what is left of an answer."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()
        # Others may take the memory before the event loop reports the end of the connection.
        self._parser = None
        if self._request_in_progress:
            self._messages.clear()

    def describe_holding(self) -> Holding:
        """Return what the connection holds."""
        activity = Activity.WAITS_FOR_CALLER
        now = self._loop.time()
        if self._answer_bytes and now - self._answer_since < _ARRIVAL_SECONDS:
            # Its caller has had no time to read the answer.
            activity = Activity.IS_SERVED
        elif self._answer_bytes or self._unsent_bytes:
            if now - self._progress_at < _STALL_SECONDS:
                activity = Activity.READS
        elif self.is_served:
            activity = Activity.IS_SERVED
        since = self._held_since if self.held_bytes else self._idle_since
        return Holding(self.held_bytes, since, activity, self._answered)

    def note_progress(self) -> None:
        """Note that the caller has read a piece of its answer."""
        self._progress_at = self._loop.time()

    def charge_answer(self, size: int) -> None:
        """Count the answer to the request that is being served, from now until it is written.

        :param size: size of its body in bytes.
        """
        if size > _LONG_ANSWER_BYTES:
            self.note_progress()
            self._answer_since = self._progress_at
            self._answer_bytes = size
            self._charge(size)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, after which the connection is idle."""
        if not self._answer_bytes:
            self.charge_answer(resp.content_length or 0)
        try:
            finished = await super().finish_response(request, resp, start_time)
            if self._decided_us and self.transport is not None:
                watch = self._manager.delivery_watch
                watch.watch(self.transport, self._decided_us, is_new=not self._answered)
            return finished
        finally:
            if self._answer_bytes:
                self._charge(-self._answer_bytes)
                self._answer_bytes = 0
            if self._parser is not None:
                self._parser.release_request()
            self._answered += 1
            self._decided_us = 0
            self._begin_idle()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that can't be parsed."""
        if not isinstance(exc, HttpProcessingError) or request.writer.output_size:
            return super().handle_error(request, status, exc, message)
        status = exc.code if exc.code == 431 else status
        # The parser's message goes on with bytes of the caller, such as a key.
        reason = exc.message.partition(":")[0]
        self._logs.write("request_malformed", {"status": status, "reason": reason})
        response = web.Response(status=status)
        response.force_close()
        return response

    def close_if_overdue(self) -> None:
        """Close the connection if a head or the next request has taken too long.

        A limit that is lowered while the connection is idle holds from its next request on:
        the caller may not know of it yet.
        """
        if self._parser is None or self.transport is None:
            return
        self._check_reader()
        # While answers are unread, the timeout of readers holds. Closing would wait for them.
        if self._unsent_bytes or self._parser is None or self._request_count > self._answered:
            return
        limits, now = self._get_limits(), self._loop.time()
        if self._parser.head_bytes:
            since = max(self._parser.head_since, self._idle_since)
            if now - since > limits.header_timeout_us / 1e6:
                reason = "the head takes longer than the published limit"
                self._logs.write("request_malformed", {"status": 408, "reason": reason})
                self.force_close()
            return
        limit_us = max(self._idle_limit_us, limits.idle_timeout_us)
        if now - self._idle_since > limit_us / 1e6 + _IDLE_MARGIN_SECONDS:
            self.force_close()

    def _check_reader(self) -> None:
        """Count bytes that the caller has not read; close the connection if it reads none."""
        unsent = self.transport.get_write_buffer_size()
        if not unsent and not self._unsent_bytes:
            self._unread_bytes = -1
            return
        kept = 0 if self._answer_bytes else unsent
        self._unsent_bytes, change = kept, kept - self._unsent_bytes
        unread = unsent + (count_unacknowledged(self.transport) or 0)
        if unread != self._unread_bytes or not unsent:
            self._unread_bytes = unread
            self.note_progress()
        if change:
            self._charge(change)
        timeout_seconds = self._memory.bounds.read_timeout_us / 1e6
        if unsent and self._loop.time() - self._progress_at > timeout_seconds:
            self._memory.close(self, "answer_not_read")


class LimitedServer(web.Server):
    """aiohttp server whose connections obey the limits in force at each moment.

    :param handler: answers requests.
    :param get_limits: returns the limits in force.
    :param logs: receives requests that are refused.
    :param memory: account of what the connections of all servers of the process hold.
    :param connection_class: class of the connections.
    :param delivery_watch: watches the replies that need it, if any do.
    """

    def __init__(
        self,
        handler: Callable[..., Any],
        get_limits: Callable[[], CallerLimits],
        logs: Logs,
        memory: CallerMemory | None = None,
        connection_class: type[LimitedConnection] = LimitedConnection,
        delivery_watch: DeliveryWatch | None = None,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.delivery_watch = delivery_watch
        clock = asyncio.get_running_loop().time
        self._memory = memory or CallerMemory(CallerBounds(), logs, lambda _: None, clock)
        self._connection_class = connection_class
        self._get_limits = get_limits
        self._logs = logs
        self._check_timer: asyncio.TimerHandle | None = None

    def __call__(self) -> RequestHandler:
        """Return the protocol of a connection that is accepted."""
        return self._connection_class(self, self._get_limits, self._logs, self._memory)

    def start_checks(self, stack: AsyncExitStack) -> None:
        """Close overdue connections until the exit stack closes."""
        stack.callback(self._stop_checks)
        if self.delivery_watch is not None:
            stack.callback(self.delivery_watch.stop)
        self._check_connections()

    def _check_connections(self) -> None:
        for connection in self.connections:
            connection.close_if_overdue()
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(_CHECK_SECONDS, self._check_connections)

    def _stop_checks(self) -> None:
        self._check_timer.cancel()
