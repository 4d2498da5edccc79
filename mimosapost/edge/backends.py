"""Client towards backend servers: executes sends, cancellations and probes.

Each send ends in exactly one event. ``NOT_RUN`` is reported only with a proof:

- the body was never handed to a connection (refused, or ended while waiting for one);
- the server said so: 409, or 503 with ``X-Run-State: not-run``, echoing the right request.

Everything else is ``UNKNOWN``. Sub-requests and cancellations use POST only, because aiohttp
sends idempotent methods again by itself when a kept connection breaks.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from mimosapost.edge.answers import Judgement, Rejection, judge_response, parse_rejection
from mimosapost.edge.connectors import ServerConnector
from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import Metrics
from mimosapost.edge.requests import SubRequestBody
from mimosapost.edge.sends import Cancellation, OpenSend, ServerPool, encode_body
from mimosapost.edge.traces import Traces
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import CancelSend, CloseConnections, Effect, EmitSend, OpenProbe
from mimosapost.model.events import (
    Event,
    ProbeAnswered,
    ProbeFailed,
    SendAnswered,
    SendFailed,
    SendRejected,
)
from mimosapost.model.queries import SubAnswer

__all__ = ["BackendClient"]

_REFUSALS = {
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ECONNABORTED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
}
_REJECTION_BYTES = 4_096
_PROBE_BYTES = 4_096


class BackendClient:
    """Executes the effects that concern backend servers.

    Events are never delivered from inside :meth:`execute`, so the caller may run it in the
    middle of a list of effects. Use it as an asynchronous context manager: leaving it ends
    every open send with an event.

    :param handle: receives each event.
    :param clock_us: monotonic clock in microseconds.
    :param idle_us: servers without a send for this long lose their connections.
    :param probe_timeout_us: time after which a probe failed.
    :param local_host: IP number that connections come from.
    :param metrics: records the outcome of each send.
    :param traces: starts a span for each send of a sampled trace.
    :param logs: receives unexpected errors.
    """

    def __init__(
        self,
        handle: Callable[[Event], None],
        clock_us: Callable[[], int],
        *,
        idle_us: int = 30_000_000,
        probe_timeout_us: int = 1_000_000,
        local_host: str | None = None,
        metrics: Metrics | None = None,
        traces: Traces | None = None,
        logs: Logs | None = None,
    ) -> None:
        self._handle = handle
        self._metrics = metrics or Metrics()
        self._traces = traces or Traces()
        self._logs = logs or Logs()
        self._clock_us = clock_us
        self._idle_us = idle_us
        self._probe_timeout = aiohttp.ClientTimeout(total=probe_timeout_us / 1e6)
        self._local_host = local_host
        self._servers: dict[str, ServerPool] = {}
        self._sends: dict[int, OpenSend] = {}
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._executors: dict[type[Effect], Callable[[Any], None]] = {
            EmitSend: self.emit,
            CancelSend: self.cancel,
            OpenProbe: self.probe,
            CloseConnections: self.close_connections,
        }

    async def __aenter__(self) -> BackendClient:
        self._loop = asyncio.get_running_loop()
        self._sweep_timer = self._loop.call_later(self._idle_us / 2e6, self._sweep)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for send in tuple(self._sends.values()):
            self._fail(send, FailureKind.CLOSED)
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers.values():
            await server.session.close()
        self._servers.clear()

    @property
    def open_sends(self) -> int:
        """Sends without an event."""
        return len(self._sends)

    @property
    def effects(self) -> tuple[type[Effect], ...]:
        """Effect types that :meth:`execute` accepts."""
        return tuple(self._executors)

    def execute(self, effect: Effect) -> None:
        """Execute an effect.

        :param effect: one of :attr:`effects`.
        :raises KeyError: for an effect of another type.
        """
        self._executors[type(effect)](effect)

    def emit(self, effect: EmitSend) -> None:
        """Send a sub-request; its event follows later."""
        assert self._loop is not None
        now_us = self._clock_us()
        server = self._get_server(effect.server, effect.connections)
        server.used_us = now_us
        send = OpenSend(effect, server)
        self._sends[effect.send_id] = send
        if effect.traceparent:
            send.span = self._traces.start(
                "send",
                effect.traceparent,
                server=effect.server,
                service=effect.request.service,
                leaf=effect.request.leaf,
            )
        send.task = self._start(self._run(send))
        delay_s = max(0, effect.deadline_us - now_us) / 1e6
        send.timer = self._loop.call_later(delay_s, self._expire, send)

    def cancel(self, effect: CancelSend) -> None:
        """Withdraw a send; without effect if it has ended already.

        A send that was written is cancelled at the server over another connection. Unless
        ``close`` is set, its connection stays open until the answer or the deadline, so that
        it can be used again, and its event follows only then: the server may be at work on
        it until that moment, and the sender's allowance must stay in use.
        """
        assert self._loop is not None
        send = self._sends.get(effect.send_id)
        if send is None or (send.cancellation is not None and not effect.close):
            return
        if not send.body.started:
            self._loop.call_soon(self._fail, send, FailureKind.WITHDRAWN)
            send.body.blocked = True
            self._stop(send)
            return
        body = encode_body({"request_id": send.effect.request.request_id})
        task = self._start(self._tell_cancel(send, body))
        if effect.close:
            self._loop.call_soon(self._fail, send, FailureKind.WITHDRAWN)
            self._stop(send)
        else:
            send.cancellation = Cancellation(body, task)
            send.server.lingering.add(send)

    def probe(self, effect: OpenProbe) -> None:
        """Open a new connection outside the pool; one probe a server at a time."""
        if effect.server not in self._probing:
            self._probing.add(effect.server)
            self._start(self._run_probe(effect.server))

    def close_connections(self, effect: CloseConnections) -> None:
        """Close idle connections, and those that only wait for a withdrawn answer."""
        server = self._servers.get(effect.server)
        if server is None:
            return
        server.connector.close_idle(0)
        for send in tuple(server.lingering):
            self._stop(send)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        assert self._loop is not None
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _get_server(self, address: str, connections: int) -> ServerPool:
        server = self._servers.get(address)
        if server is None:
            server = self._servers[address] = ServerPool(address, connections, self._local_host)
        elif server.connector.limit != connections:
            server.connector.set_limit(connections)
        return server

    def _stop(self, send: OpenSend) -> None:
        if send.timer is not None:
            send.timer.cancel()
        send.server.lingering.discard(send)
        if send.task is not None:
            send.task.cancel()

    def _expire(self, send: OpenSend) -> None:
        self._fail(send, FailureKind.CLOSED)
        self._stop(send)

    def _fail(
        self,
        send: OpenSend,
        kind: FailureKind,
        run: RunState | None = None,
        boot_id: str = "",
    ) -> None:
        """Report a failed send once; by default its run state follows from its body."""
        if run is None:
            run = RunState.UNKNOWN if send.body.started else RunState.NOT_RUN
        if run is RunState.NOT_RUN:
            send.body.blocked = True
        now_us = self._clock_us()
        self._report(send, SendFailed(now_us, send.effect.send_id, kind, run, boot_id))

    def _report(self, send: OpenSend, event: Event) -> None:
        if send.reported:
            return
        send.reported = True
        self._sends.pop(send.effect.send_id, None)
        if isinstance(event, SendFailed):
            outcome = event.kind.value
        else:
            outcome = "answered" if isinstance(event, SendAnswered) else "rejected"
        service = send.effect.request.service
        self._metrics.observe_send(service, outcome, event.now_us - send.started_us)
        if send.span is not None:
            send.span.end(outcome=outcome)
        self._handle(event)

    async def _run(self, send: OpenSend) -> None:
        outcome: SubAnswer | Rejection | FailureKind
        run: RunState | None = None
        boot_id = ""
        try:
            outcome, run, boot_id = await self._exchange(send)
        except aiohttp.ClientConnectorError as error:
            refused = error.errno in _REFUSALS
            outcome = FailureKind.REFUSED if refused else FailureKind.CLOSED
        except (aiohttp.ClientResponseError, HttpProcessingError):
            outcome = FailureKind.MALFORMED
        except (aiohttp.ClientError, OSError):
            outcome = FailureKind.RESET
        except asyncio.CancelledError:
            outcome = FailureKind.CLOSED
        except Exception as error:
            # A send without an event would hold its allowance for ever.
            self._logs.write("send_error", {"error": repr(error)})
            outcome = FailureKind.CLOSED
        finally:
            if send.timer is not None:
                send.timer.cancel()
            send.server.lingering.discard(send)
            # A notice that still waits for a connection has become useless.
            if send.cancellation is not None and not send.cancellation.body.started:
                send.cancellation.task.cancel()
        send_id = send.effect.send_id
        if isinstance(outcome, SubAnswer):
            self._report(send, SendAnswered(self._clock_us(), send_id, outcome))
        elif isinstance(outcome, Rejection):
            rejected = SendRejected(
                self._clock_us(),
                send_id,
                outcome.held_map_version,
                outcome.held_index_version,
                outcome.boot_id,
            )
            self._report(send, rejected)
        else:
            self._fail(send, outcome, run, boot_id)

    async def _exchange(self, send: OpenSend) -> Judgement:
        effect = send.effect
        traceparent = send.span.traceparent if send.span else effect.traceparent
        trace = {"traceparent": traceparent} if traceparent else None
        response = await send.server.session.post(
            send.server.search_url, data=send.body, headers=trace, allow_redirects=False
        )
        try:
            status = response.status
            limit = effect.max_answer_bytes if status == 200 else _REJECTION_BYTES
            raw = await _read_bounded(response, limit)
        finally:
            # Closes the connection unless the answer was read to its end.
            response.close()
        proven = response.headers.get("X-Run-State") == "not-run"
        cancelled = send.cancellation is not None
        return judge_response(status, raw, effect.request, proven, cancelled)

    async def _tell_cancel(self, send: OpenSend, body: SubRequestBody) -> None:
        """Tell a server to cancel; waits for a connection until the send's deadline."""
        remaining_us = max(1_000, send.effect.deadline_us - self._clock_us())
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(remaining_us / 1e6),
                send.server.session.post(
                    send.server.cancel_url, data=body, allow_redirects=False
                ) as response,
            ):
                await _read_bounded(response, _REJECTION_BYTES)

    async def _run_probe(self, address: str) -> None:
        boot_id = None
        try:
            async with (
                aiohttp.ClientSession(
                    connector=ServerConnector(1, self._local_host),
                    timeout=self._probe_timeout,
                    auto_decompress=False,
                ) as session,
                session.get(f"http://{address}/health", allow_redirects=False) as response,
            ):
                raw = await _read_bounded(response, _PROBE_BYTES)
                if response.status == 200 and raw is not None:
                    boot_id = parse_rejection(raw, "")
        except (aiohttp.ClientError, HttpProcessingError, OSError, ValueError):
            boot_id = None
        finally:
            self._probing.discard(address)
        now_us = self._clock_us()
        if boot_id is None:
            self._handle(ProbeFailed(now_us, address))
        else:
            self._handle(ProbeAnswered(now_us, address, boot_id.boot_id))

    def _sweep(self) -> None:
        assert self._loop is not None
        limit_us = self._clock_us() - self._idle_us
        for address, server in tuple(self._servers.items()):
            if server.used_us < limit_us and not server.connector.busy:
                del self._servers[address]
                self._start(server.session.close())
        self._sweep_timer = self._loop.call_later(self._idle_us / 2e6, self._sweep)


async def _read_bounded(response: aiohttp.ClientResponse, limit: int) -> bytes | None:
    """Read a body of at most ``limit`` bytes; ``None`` if it is longer."""
    length = response.content_length
    if length is not None:
        return await response.read() if length <= limit else None
    chunks = bytearray()
    while chunk := await response.content.readany():
        chunks += chunk
        if len(chunks) > limit:
            return None
    return bytes(chunks)
