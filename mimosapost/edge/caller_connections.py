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
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler

from mimosapost.edge.logs import Logs
from mimosapost.relay.catalog import CallerLimits

__all__ = ["LimitedServer", "measure_header_fields"]

# Connections are closed this long after the published idle limit, so that a caller
# that respects the limit never sends a request on a connection that is being closed.
_IDLE_MARGIN_SECONDS = 5.0
# Time between two checks for connections that have been idle or incomplete for too long.
_CHECK_SECONDS = 0.5
# After a refusal the rest of the request is discarded for this time, so that the caller can
# read the refusal before the connection is reset.
_LINGER_SECONDS = 0.3
_READ_BYTES = 64 * 1024
# Maximum ratio between the bytes of a body and those of its framing. A chunk of one byte takes
# five further bytes.
_MAX_FRAMING_RATIO = 8
# Values with which aiohttp's own limits never apply.
_UNLIMITED = 2**31 - 1
_UNLIMITED_SECONDS = 365 * 86_400.0

_ParsedMessages = tuple[Sequence[tuple[Any, Any]], bool, bytes]


def measure_header_fields(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the number of bytes of header fields on the wire.

    >>> measure_header_fields([(b"Host", b"a"), (b"X-Y", b"")])
    16
    """
    return sum(len(name) + len(value) + len(b": \r\n") for name, value in headers)


class _RequestParser(HttpRequestParser):
    """Parser that stops at a head or a framing without end.

    :param protocol: connection that receives the messages.
    :param loop: event loop of the connection.
    :param get_limits: returns the limits in force.
    :ivar head_bytes: bytes of the head that is arriving; 0 if none is.
    :ivar head_since: time of the event loop at which that head began, in seconds.
    """

    def __init__(
        self,
        protocol: RequestHandler,
        loop: asyncio.AbstractEventLoop,
        get_limits: Callable[[], CallerLimits],
    ) -> None:
        super().__init__(
            protocol,
            loop,
            _READ_BYTES,
            max_line_size=_UNLIMITED,
            max_field_size=_UNLIMITED,
            max_headers=_UNLIMITED,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=protocol._max_msg_queue_size,
        )
        self._event_loop = loop
        self._get_limits = get_limits
        self._last_payload = EMPTY_PAYLOAD
        self._body_bytes = 0
        self.head_bytes = 0
        self.head_since = 0.0

    def feed_data(self, data: bytes) -> _ParsedMessages:
        """Parse received bytes.

        :returns: complete heads with their bodies, whether the connection changes to another
            protocol, and the bytes of that protocol.
        :raises HttpProcessingError: if a head is malformed or too large.
        """
        is_body = not self._last_payload.is_eof()
        if is_body and self._last_payload.exception() is not None:
            # The rest of a refused body.
            return (), False, b""
        parsed = super().feed_data(data)
        messages = parsed[0]
        if messages:
            self._last_payload = messages[-1][1]
            self._body_bytes = self.head_bytes = 0
        elif is_body:
            self._check_framing(len(data))
        elif data:
            self._check_head(len(data))
        return parsed

    def _check_head(self, size: int) -> None:
        if not self.head_bytes:
            self.head_since = self._event_loop.time()
        self.head_bytes += size
        limit = self._get_limits().header_bytes
        # The limit holds for the request line and for the header fields.
        if self.head_bytes > 2 * limit:
            self.head_bytes = 0
            raise HttpProcessingError(code=431, message=f"head exceeds {limit} bytes")

    def _check_framing(self, size: int) -> None:
        payload = self._last_payload
        self._body_bytes += size
        limit = self._get_limits().header_bytes + _MAX_FRAMING_RATIO * payload.total_bytes
        if self._body_bytes - payload.total_bytes > limit and not payload.is_eof():
            payload.set_exception(
                web.RequestPayloadError("chunk sizes and trailers are too long")
            )


class _LimitedConnection(RequestHandler):
    """Connection of a caller.

    :param manager: server that accepted the connection.
    :param get_limits: returns the limits in force.
    :param logs: receives requests that are refused.
    """

    __slots__ = ("_answered", "_get_limits", "_idle_limit_us", "_idle_since", "_logs")

    def __init__(
        self, manager: LimitedServer, get_limits: Callable[[], CallerLimits], logs: Logs
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
        self._parser = _RequestParser(self, self._loop, get_limits)
        self._get_limits = get_limits
        self._logs = logs
        self._answered = 0
        self._begin_idle()

    def _begin_idle(self) -> None:
        self._idle_since = self._loop.time()
        self._idle_limit_us = self._get_limits().idle_timeout_us

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, after which the connection is idle."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._answered += 1
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
        if self._parser is None or self._request_count > self._answered:
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


class LimitedServer(web.Server):
    """aiohttp server whose connections obey the limits in force at each moment.

    :param handler: answers requests.
    :param get_limits: returns the limits in force.
    :param logs: receives requests that are refused.
    """

    def __init__(
        self, handler: Callable[..., Any], get_limits: Callable[[], CallerLimits], logs: Logs
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._get_limits = get_limits
        self._logs = logs
        self._check_timer: asyncio.TimerHandle | None = None

    def __call__(self) -> RequestHandler:
        """Return the protocol of a connection that is accepted."""
        return _LimitedConnection(self, self._get_limits, self._logs)

    def start_checks(self, stack: AsyncExitStack) -> None:
        """Close overdue connections until the exit stack closes."""
        stack.callback(self._stop_checks)
        self._check_connections()

    def _check_connections(self) -> None:
        for connection in self.connections:
            connection.close_if_overdue()
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(_CHECK_SECONDS, self._check_connections)

    def _stop_checks(self) -> None:
        self._check_timer.cancel()
