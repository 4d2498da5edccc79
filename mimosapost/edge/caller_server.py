"""HTTP server that receives the queries of callers."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import itertools
import re
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace

from aiohttp import web

from mimosapost.edge.caller_codec import (
    QueryFault,
    WireQuery,
    compute_fingerprint,
    decode_query,
    encode_answer,
)
from mimosapost.edge.caller_connections import LimitedConnection, LimitedServer
from mimosapost.edge.caller_memory import CallerMemory
from mimosapost.edge.limited_logs import LimitedLogs
from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import Metrics
from mimosapost.edge.paced_responses import PIECE_BYTES, PacedResponse
from mimosapost.edge.traces import Traces, parse_traceparent
from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.model.codes import Priority, ResultCode, RunState, get_http_status
from mimosapost.model.effects import AnswerCaller, IncrementCounter
from mimosapost.model.events import CallerGone, Event, QueryArrived
from mimosapost.model.published_settings import CallerSettings, ServiceSettings
from mimosapost.model.queries import Answer, Query
from mimosapost.relay.catalog import CallerLimits

__all__ = ["ROUTES", "CallerServer"]

ROUTES = (
    ("POST", "/v1/services/{service}/query"),
    ("GET", "/healthz"),
    ("GET", "/readyz"),
)
_QUERY_PATH = re.compile(r"/v1/services/([A-Za-z0-9][A-Za-z0-9._-]{0,63})/query")
# Maximum number of bytes of a header field and of the request target.
_MAX_FIELD_BYTES = 8_190
_JSON = "application/json"
_BOUNDS = CallerBounds()


class _Connection(LimitedConnection):
    """Connection that answers protocol errors with a result code, as all other errors."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,  # noqa: ARG002
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError(
                "cannot send an error answer: the answer is already being written"
            )
        code = ResultCode.INTERNAL_ERROR if status >= 500 else ResultCode.MALFORMED_REQUEST
        run, detail = RunState.NOT_RUN, "not a valid HTTP request"
        if status >= 500:
            # The request may have reached the core, so its run state is unknown here.
            run, detail = RunState.UNKNOWN, "internal error"
            self._logs.write("caller_request_failed", {"error": repr(exc)})
        response = _create_response(Answer(code, run, detail=detail))
        response.force_close()
        return response


def _create_response(answer: Answer) -> web.Response:
    return web.Response(
        body=encode_answer(answer), status=get_http_status(answer.code), content_type=_JSON
    )


class CallerServer:
    """Accept queries of callers and write their answers.

    The server listens until the exit stack that owns it closes it; while the instance stops,
    the core refuses new queries with ``STOPPING``. Closing waits for answers that are being
    written. If a caller closes its connection, or only its sending side, the server reports
    ``CallerGone`` for the open query.

    :param handle: receives each event.
    :param read_clock_us: returns the time of a monotonic clock in microseconds.
    :param find_caller: returns the settings of the caller whose token has the given SHA-256
        digest in hexadecimal, or ``None``.
    :param find_service: returns the settings of a service, or ``None``.
    :param host: IP address to listen on.
    :param port: TCP port to listen on; 0 lets the system choose one.
    :param is_configured: returns whether settings are in force; before that, the server
        refuses queries with ``NOT_CONFIGURED``.
    :param is_ready: returns whether the instance accepts new queries, for ``GET /readyz``.
    :param next_query_id: returns query ids that are unique within the incarnation.
    :param max_body_bytes: size limit of a request body in bytes.
    :param max_headers: maximum number of headers of a request.
    :param bounds: bounds on what all callers may make the process hold.
    :param read_timeout_s: time in seconds within which a request body must arrive completely.
        Idle connections are closed after this time or 75 s, whichever is longer.
    :param linger_s: time in seconds during which the remaining bytes of a refused body are
        read and discarded; closing at once would reset the connection before the caller
        reads the refusal.
    :param metrics: records each answer.
    :param traces: starts a span for each query of a sampled trace.
    :param logs: receives internal errors.
    """

    def __init__(
        self,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        find_caller: Callable[[str], CallerSettings | None],
        find_service: Callable[[str], ServiceSettings | None],
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        is_configured: Callable[[], bool] = lambda: True,
        is_ready: Callable[[], bool] = lambda: True,
        next_query_id: Callable[[], int] | None = None,
        max_body_bytes: int = 256 * 1024,
        max_headers: int = 64,
        bounds: CallerBounds = _BOUNDS,
        read_timeout_s: float = 10.0,
        linger_s: float = 2.0,
        metrics: Metrics | None = None,
        traces: Traces | None = None,
        logs: Logs | None = None,
    ) -> None:
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._find_caller = find_caller
        self._find_service = find_service
        self._host = host
        self._port = port
        self._is_configured = is_configured
        self._is_ready = is_ready
        self._next_query_id = next_query_id or itertools.count(1).__next__
        self._max_body_bytes = max_body_bytes
        self._max_headers = max_headers
        self._bounds = replace(bounds, header_lines=max_headers)
        self._read_timeout_s = read_timeout_s
        self._linger_s = linger_s
        self._metrics = metrics or Metrics()
        self._traces = traces or Traces()
        self._logs = logs or Logs()
        self._answer_futures: dict[int, asyncio.Future[Answer]] = {}
        self._stack = AsyncExitStack()
        self.address = ""

    async def __aenter__(self) -> CallerServer:
        loop = asyncio.get_running_loop()
        logs = LimitedLogs(self._logs, loop.time)
        memory = CallerMemory(self._bounds, logs, self._count_closed, loop.time)
        limits = CallerLimits(
            _MAX_FIELD_BYTES * self._max_headers,
            self._max_body_bytes,
            int(self._read_timeout_s * 1e6),
            int(max(self._read_timeout_s, 75.0) * 1e6),
        )
        server = LimitedServer(self._handle_request, lambda: limits, logs, memory, _Connection)
        async with AsyncExitStack() as stack:
            runner = web.ServerRunner(server, shutdown_timeout=60.0)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            server.start_checks(stack)
            await web.TCPSite(runner, self._host, self._port, backlog=1024).start()
            self.address = "{}:{}".format(*runner.addresses[0][:2])
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def _count_closed(self, reason: str) -> None:
        labels = (("reason", reason),)
        self._metrics.execute(IncrementCounter("mimosapost_relay_callers_closed_total", labels))

    @property
    def open_queries(self) -> int:
        """Number of queries that wait for an answer."""
        return len(self._answer_futures)

    def execute(self, effect: AnswerCaller) -> None:
        """Answer a query, unless its caller has closed the connection."""
        future = self._answer_futures.pop(effect.query_id, None)
        if future is not None and not future.done():
            future.set_result(effect.answer)

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        sizes = (len(name) + len(value) for name, value in request.raw_headers)
        if max((len(request.raw_path), *sizes)) > _MAX_FIELD_BYTES:
            fault = QueryFault(ResultCode.MALFORMED_REQUEST, "a header field is too long")
            response = self._create_refusal(request, fault)
            response.force_close()
            return response
        if request.method == "GET":
            if request.path == "/healthz":
                return web.Response(text="alive\n")
            if request.path == "/readyz":
                ready = self._is_ready()
                return web.Response(
                    text="ready\n" if ready else "not ready\n", status=200 if ready else 503
                )
        started_us = self._read_clock_us()
        try:
            query = await self._read_query(request)
        except QueryFault as fault:
            self._metrics.observe_query("", fault.code, self._read_clock_us() - started_us)
            return self._create_refusal(request, fault)
        span = self._traces.start(
            "query", query.traceparent, service=query.service, caller=query.caller
        )
        if span is not None:
            query = replace(query, traceparent=span.traceparent)
        code = ResultCode.CALLER_GONE
        request.protocol.is_served = True
        try:
            answer = await self._submit_query(query)
            code = answer.code
            return self._create_answer(answer, query.traceparent)
        finally:
            request.protocol.is_served = False
            self._metrics.observe_query(query.service, code, self._read_clock_us() - started_us)
            if span is not None:
                span.end(code=int(code))

    async def _submit_query(self, query: Query) -> Answer:
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._answer_futures[query.query_id] = future
        self._handle(QueryArrived(self._read_clock_us(), query))
        try:
            return await future
        except asyncio.CancelledError:
            if self._answer_futures.pop(query.query_id, None) is not None:
                self._handle(CallerGone(self._read_clock_us(), query.query_id))
            raise

    def _create_refusal(self, request: web.BaseRequest, fault: QueryFault) -> web.Response:
        response = _create_response(
            Answer(fault.code, RunState.NOT_RUN, detail=fault.detail),
        )
        if fault.code is ResultCode.UNKNOWN_CALLER:
            response.headers["WWW-Authenticate"] = "Bearer"
        if request.can_read_body and not request.content.is_eof():
            # The unread bytes of the body would be parsed as the next request.
            response.force_close()
        return response

    async def _read_query(self, request: web.BaseRequest) -> Query:
        """Validate a request, authenticate its caller and create the query.

        :raises QueryFault: if the request is refused.
        """
        match = _QUERY_PATH.fullmatch(request.path)
        if match is None or request.method != "POST":
            raise QueryFault(ResultCode.MALFORMED_REQUEST, "unknown path or method")
        if not self._is_configured():
            raise QueryFault(ResultCode.NOT_CONFIGURED, "no settings are in force yet")
        caller = self._authenticate(request)
        service_name = match[1]
        if service_name not in caller.services:
            raise QueryFault(
                ResultCode.CALLER_NOT_ALLOWED, "the caller may not use this service"
            )
        service = self._find_service(service_name)
        if service is None:
            raise QueryFault(ResultCode.UNKNOWN_SERVICE, "no settings name this service")
        wire_query = decode_query(await self._read_body(request))
        return self._create_query(request, caller, service, wire_query)

    def _authenticate(self, request: web.BaseRequest) -> CallerSettings:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        # The look-up uses only the digest, so its duration reveals nothing about the token.
        # The comparisons below take constant time.
        digest = hashlib.sha256(token.strip().encode(errors="replace")).hexdigest()
        caller = self._find_caller(digest) if scheme.lower() == "bearer" else None
        claimed = request.headers.get("X-Caller", "").encode(errors="replace")
        if (
            caller is None
            or not hmac.compare_digest(caller.token_digest, digest)
            or not hmac.compare_digest(caller.name.encode(), claimed)
        ):
            raise QueryFault(ResultCode.UNKNOWN_CALLER, "unknown caller or wrong token")
        return caller

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        too_large = QueryFault(
            ResultCode.REQUEST_TOO_LARGE,
            f"the request body must not exceed {self._max_body_bytes} bytes",
        )
        if "Content-Encoding" in request.headers:
            raise QueryFault(ResultCode.MALFORMED_REQUEST, "the body must not be compressed")
        if (request.content_length or 0) > self._max_body_bytes:
            raise too_large
        body = bytearray()
        try:
            async with asyncio.timeout(self._read_timeout_s):
                while chunk := await request.content.readany():
                    body += chunk
                    if len(body) > self._max_body_bytes:
                        raise too_large
        except TimeoutError:
            raise QueryFault(
                ResultCode.MALFORMED_REQUEST, "the request body did not arrive in time"
            ) from None
        except web.RequestPayloadError:
            raise QueryFault(ResultCode.MALFORMED_REQUEST, "broken request body") from None
        return bytes(body)

    def _create_query(
        self,
        request: web.BaseRequest,
        caller: CallerSettings,
        service: ServiceSettings,
        wire_query: WireQuery,
    ) -> Query:
        now_us = self._read_clock_us()
        deadline_ms = min(
            wire_query.deadline_ms or service.max_deadline_ms, service.max_deadline_ms
        )
        highest_priority = Priority[caller.top_priority.upper()]
        traceparent = request.headers.get("traceparent", "")
        return Query(
            query_id=self._next_query_id(),
            service=service.name,
            caller=caller.name,
            body=wire_query.request,
            fingerprint=compute_fingerprint(service.name, wire_query.request),
            priority=max(highest_priority, Priority[wire_query.priority.upper()]),
            deadline_us=now_us + deadline_ms * 1_000,
            repeatable=wire_query.repeatable,
            min_coverage=wire_query.coverage.min_coverage,
            limit=wire_query.limit,
            ticket=wire_query.ticket,
            idempotency_key=wire_query.idempotency_key,
            traceparent=traceparent if parse_traceparent(traceparent) else "",
        )

    def _create_answer(self, answer: Answer, traceparent: str) -> web.Response:
        headers = {"traceparent": traceparent} if traceparent else {}
        body = encode_answer(answer)
        status = get_http_status(answer.code)
        create_response = PacedResponse if len(body) > PIECE_BYTES else web.Response
        return create_response(body=body, status=status, content_type=_JSON, headers=headers)
