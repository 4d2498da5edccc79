"""HTTP server of the relay: receives requests of callers and sends replies.

``start_listener`` also serves the readiness check and the pages for operators.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Protocol

from aiohttp import web
from multidict import CIMultiDict

from mimosapost.edge.caller_connections import (
    LimitedConnection,
    LimitedServer,
    measure_header_fields,
)
from mimosapost.edge.caller_memory import CallerMemory
from mimosapost.edge.caller_paths import DeliveryWatch
from mimosapost.edge.logs import Logs
from mimosapost.edge.paced_responses import PIECE_BYTES, PacedResponse
from mimosapost.model.events import Event
from mimosapost.relay.catalog import CallerLimits
from mimosapost.relay.effects import SendReply
from mimosapost.relay.events import CallerLeft, RequestArrived
from mimosapost.relay.messages import ForwardedReply, RelayRequest, Reply

__all__ = ["RelayCallerServer", "RequestCodec", "start_listener"]

# When the server closes, requests whose bodies are still arriving get this time to be answered.
# It fits into the time between the graceful stop and the platform's SIGKILL.
_CLOSE_WAIT_SECONDS = 0.4
_READ_BYTES = 64 * 1024
# Time in seconds after which a caller may come back that found no memory.
_RETRY_AFTER_SECONDS = "0.5"
# Connections that are accepted before those accepted earlier are counted.
_ACCEPTED_AT_ONCE = 32
# Connections that may wait to be accepted. A burst of callers opens some hundreds at once;
# the kernel may drop connections beyond the backlog.
_BACKLOG = 1_024


class RequestCodec(Protocol):
    """Translate between HTTP and the relay's requests and replies."""

    def decode_request(
        self,
        request_number: int,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        now_us: int,
    ) -> RelayRequest:
        """Decode a request of a caller.

        :param request_number: number of the request, unique within the process.
        :param target: path and query string as received.
        :param now_us: monotonic time of arrival in microseconds.
        :raises ValueError: if the request is malformed.
        """

    def create_request(
        self, method: str, target: str, host: str, deadline_us: int
    ) -> RelayRequest:
        """Return a request without headers and body that is not to be sent."""

    def encode_reply(self, reply: Reply) -> tuple[int, CIMultiDict[str], bytes]:
        """Return status, headers and body of a reply."""


class _BodyTooLarge(Exception):
    """A request body that exceeds the published limit."""


class RelayCallerServer:
    """Receive requests of callers and send the replies.

    Use it as an asynchronous context manager.

    :param listener: ``ip:port`` to listen on, or a listening socket.
    :param codec: decodes requests and encodes replies.
    :param handle: receives the events for the reducer.
    :param read_clock_us: returns the time of a monotonic clock in microseconds.
    :param get_limits: returns the limits in force.
    :param is_stopping: returns whether the instance is stopping; each connection is then
        closed after its reply.
    :param logs: receives requests that are refused as malformed or too large.
    :param memory: account of what the connections of the process hold.
    """

    def __init__(
        self,
        listener: str | socket.socket,
        codec: RequestCodec,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        get_limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        logs: Logs,
        memory: CallerMemory | None = None,
    ) -> None:
        self._listener = listener
        #: ``ip:port`` that callers connect to; empty until the context is entered.
        self.address = ""
        self._codec = codec
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._logs = logs
        self._memory = memory
        self._request_numbers = itertools.count(1)
        self._reply_futures: dict[int, tuple[asyncio.Future[SendReply], LimitedConnection]] = {}
        self._handler_count = 0
        self._handlers_done = asyncio.Event()
        self._handlers_done.set()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> RelayCallerServer:
        server = LimitedServer(
            self._handle_request,
            self._get_limits,
            self._logs,
            self._memory,
            delivery_watch=DeliveryWatch(self._handle),
        )
        self.address = await start_listener(self._stack, server, self._listener)
        server.start_checks(self._stack)
        self._stack.push_async_callback(self._wait_for_handlers)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def _wait_for_handlers(self) -> None:
        try:
            async with asyncio.timeout(_CLOSE_WAIT_SECONDS):
                await self._handlers_done.wait()
        except TimeoutError:
            self._logs.write("requests_cut", {"count": self._handler_count})

    async def _handle_request(self, http_request: web.BaseRequest) -> web.StreamResponse:
        self._handler_count += 1
        self._handlers_done.clear()
        try:
            return await self._answer_request(http_request)
        finally:
            self._handler_count -= 1
            if not self._handler_count:
                self._handlers_done.set()

    async def _answer_request(self, http_request: web.BaseRequest) -> web.StreamResponse:
        max_bytes = self._get_limits().header_bytes
        line = f"{http_request.method} {http_request.raw_path} HTTP/1.1"
        if max(measure_header_fields(http_request.raw_headers), len(line)) > max_bytes:
            return self._refuse(431, "the head exceeds the published limit")
        if self._memory is not None and self._memory.is_short():
            return self._refuse(503, "other callers hold the memory of the instance")
        try:
            body = await self._read_body(http_request)
        except _BodyTooLarge:
            return self._refuse(413, "the request body exceeds the published limit")
        except TimeoutError:
            return self._refuse(408, "the request body takes longer than the published limit")
        except web.RequestPayloadError as error:
            # The parser's message may hold bytes of the caller, such as a key.
            return self._refuse(400, f"malformed body ({type(error.__cause__).__name__})")
        request_number = next(self._request_numbers)
        try:
            request = self._codec.decode_request(
                request_number,
                http_request.method,
                http_request.raw_path,
                http_request.raw_headers,
                body,
                self._read_clock_us(),
            )
        except ValueError as error:
            return self._refuse(400, str(error))
        connection = http_request.protocol
        request = replace(request, caller_path=connection.describe_path())
        connection.is_served = True
        try:
            effect = await self._wait_for_reply(request_number, request, connection)
        finally:
            connection.is_served = False
        connection.watch_reply(effect.decided_us)
        status, headers, content = self._codec.encode_reply(effect.reply)
        create_response = PacedResponse if len(content) > PIECE_BYTES else web.Response
        response = create_response(status=status, headers=headers, body=content)
        if self._is_stopping():
            response.force_close()
        return response

    async def _wait_for_reply(
        self, request_number: int, request: RelayRequest, connection: LimitedConnection
    ) -> SendReply:
        future = asyncio.get_running_loop().create_future()
        self._reply_futures[request_number] = future, connection
        self._handle(RequestArrived(self._read_clock_us(), request))
        try:
            return await future
        except asyncio.CancelledError:
            self._handle(CallerLeft(self._read_clock_us(), request_number))
            raise
        finally:
            self._reply_futures.pop(request_number, None)

    async def _read_body(self, http_request: web.BaseRequest) -> bytes:
        if not http_request.body_exists:
            return b""
        # A limit that changes while the body arrives holds only if it was raised.
        limits = self._get_limits()
        if (http_request.content_length or 0) > limits.body_bytes:
            raise _BodyTooLarge
        body, started = bytearray(), asyncio.get_running_loop().time()
        async with asyncio.timeout_at(started + limits.header_timeout_us / 1e6) as timeout:
            async for chunk in http_request.content.iter_chunked(_READ_BYTES):
                body += chunk
                limits = limits.relax(self._get_limits())
                if len(body) > limits.body_bytes:
                    raise _BodyTooLarge
                timeout.reschedule(started + limits.header_timeout_us / 1e6)
        return bytes(body)

    def _refuse(self, status: int, reason: str) -> web.StreamResponse:
        self._logs.write("request_malformed", {"status": status, "reason": reason})
        response = web.Response(status=status)
        if status == 503:
            response.headers["Retry-After"] = _RETRY_AFTER_SECONDS
        response.force_close()
        return response

    def send_reply(self, effect: SendReply) -> None:
        """Execute a ``SendReply`` effect, unless the caller has closed the connection."""
        future, connection = self._reply_futures.get(effect.request_number, (None, None))
        if future is not None and not future.done():
            future.set_result(effect)
            if isinstance(effect.reply, ForwardedReply):
                # Several answers may arrive before the first of them is written.
                connection.charge_answer(len(effect.reply.answer.body))


async def start_listener(
    stack: AsyncExitStack, server: web.Server, listener: str | socket.socket
) -> str:
    """Serve an address or a listening socket until the exit stack closes.

    :param stack: exit stack that closes the listener.
    :param server: aiohttp server that handles the connections.
    :param listener: ``ip:port`` or a listening socket.
    :returns: the address as ``ip:port``; a given port 0 is replaced by the port that the
        system chose.
    """
    if isinstance(listener, str):
        host, _, port = listener.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=_BACKLOG)
        stack.callback(listener.close)
        listener.setblocking(False)
    runner = web.ServerRunner(server, handle_signals=False, shutdown_timeout=0.5)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    # asyncio accepts as many connections at once as the backlog that it is given, and listens
    # with it; the backlog of the kernel is set again.
    site = web.SockSite(runner, listener, backlog=_ACCEPTED_AT_ONCE)
    await site.start()
    listener.listen(_BACKLOG)
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"
