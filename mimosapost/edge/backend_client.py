"""HTTP client of the backend servers: executes sends, cancellations and probes.

Each send ends in exactly one event. The event reports ``NOT_RUN`` only with a proof:

- the body was never written to a connection: the connection was refused, or the send ended
  while it waited for a connection;
- the server stated that it did not run the request: status 409, or status 503 with
  ``X-Run-State: not-run``, in a response that names the request, or that names none and is the
  first one on its connection: on others it may be a copy of the response to an earlier request.

In all other cases a failed send reports ``UNKNOWN``. Sub-requests and cancellations use only
POST, because aiohttp automatically sends idempotent methods again when a reused connection
breaks.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from mimosapost.edge.backend_responses import (
    ClassifiedResponse,
    Rejection,
    classify_response,
    parse_rejection,
)
from mimosapost.edge.connectors import ServerConnector
from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import Metrics
from mimosapost.edge.server_pools import Cancellation, OpenSend, ServerPool, encode_body
from mimosapost.edge.sub_requests import SubRequestBody
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

# Errors of an attempt to connect that are reported as ``REFUSED``; all others as ``CLOSED``.
_NOT_CONNECTED_ERRNOS = {
    errno.ECONNREFUSED,
    errno.ECONNRESET,
    errno.ECONNABORTED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
}
_MAX_REJECTION_BYTES = 4_096
_MAX_HEALTH_BYTES = 4_096


class BackendClient:
    """Execute the effects that concern backend servers.

    :meth:`execute` never delivers an event before it returns, so it may be called while a list
    of effects is iterated over. Use the client as an asynchronous context manager:
    leaving the context ends every open send with an event.

    :param handle: receives each event.
    :param read_clock_us: returns the time of a monotonic clock in microseconds.
    :param idle_us: time in microseconds after which the connections to a server without a
        new send are closed.
    :param probe_timeout_us: time in microseconds after which a probe has failed.
    :param local_host: local IP address of the connections, or ``None`` for any.
    :param metrics: records the outcome of each send.
    :param traces: starts a span for each send of a sampled trace.
    :param logs: receives unexpected errors.
    """

    def __init__(
        self,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
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
        self._read_clock_us = read_clock_us
        self._idle_us = idle_us
        self._probe_timeout = aiohttp.ClientTimeout(total=probe_timeout_us / 1e6)
        self._local_host = local_host
        self._pools: dict[str, ServerPool] = {}
        self._open_sends: dict[int, OpenSend] = {}
        self._probed_servers: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._unused_pools_timer: asyncio.TimerHandle | None = None
        self._executors: dict[type[Effect], Callable[[Any], None]] = {
            EmitSend: self.emit,
            CancelSend: self.cancel,
            OpenProbe: self.probe,
            CloseConnections: self.close_connections,
        }

    async def __aenter__(self) -> BackendClient:
        self._loop = asyncio.get_running_loop()
        self._unused_pools_timer = self._loop.call_later(
            self._idle_us / 2e6, self._close_unused_pools
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._unused_pools_timer is not None:
            self._unused_pools_timer.cancel()
        for send in tuple(self._open_sends.values()):
            self._report_failure(send, FailureKind.CLOSED)
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for pool in self._pools.values():
            await pool.session.close()
        self._pools.clear()

    @property
    def open_sends(self) -> int:
        """Number of sends whose event has not been reported yet."""
        return len(self._open_sends)

    @property
    def effects(self) -> tuple[type[Effect], ...]:
        """Effect types that :meth:`execute` accepts."""
        return tuple(self._executors)

    def execute(self, effect: Effect) -> None:
        """Execute an effect.

        :param effect: one of :attr:`effects`.
        :raises KeyError: if the effect has another type.
        """
        self._executors[type(effect)](effect)

    def emit(self, effect: EmitSend) -> None:
        """Start to send a sub-request, which later ends in an event."""
        assert self._loop is not None
        now_us = self._read_clock_us()
        pool = self._get_pool(effect.server, effect.connections)
        pool.used_us = now_us
        send = OpenSend(effect, pool)
        self._open_sends[effect.send_id] = send
        if effect.traceparent:
            send.span = self._traces.start(
                "send",
                effect.traceparent,
                server=effect.server,
                service=effect.request.service,
                leaf=effect.request.leaf,
            )
        send.task = self._create_task(self._run_send(send))
        delay_s = max(0, effect.deadline_us - now_us) / 1e6
        send.timer = self._loop.call_later(delay_s, self._handle_deadline, send)

    def cancel(self, effect: CancelSend) -> None:
        """Withdraw a send; do nothing if it has ended already.

        If the request has been written, the client sends the cancellation to the server over
        another connection. Unless ``close`` is set, the connection of the send stays open
        until the answer or the deadline, so that it can be reused. The event of the send is
        reported only at that time, because the server may process the request until then and
        the send must still count against the number of sends that this instance may have open
        at the server.
        """
        assert self._loop is not None
        send = self._open_sends.get(effect.send_id)
        if send is None or (send.cancellation is not None and not effect.close):
            return
        if not send.body.started:
            self._loop.call_soon(self._report_failure, send, FailureKind.WITHDRAWN)
            send.body.blocked = True
            self._cancel_task(send)
            return
        body = encode_body({"request_id": send.effect.request.request_id})
        task = self._create_task(self._send_cancellation(send, body))
        if effect.close:
            self._loop.call_soon(self._report_failure, send, FailureKind.WITHDRAWN)
            self._cancel_task(send)
        else:
            send.cancellation = Cancellation(body, task)
            send.server.lingering.add(send)

    def probe(self, effect: OpenProbe) -> None:
        """Probe a server over a new connection outside the pool.

        A server is probed at most once at a time.
        """
        if effect.server not in self._probed_servers:
            self._probed_servers.add(effect.server)
            self._create_task(self._run_probe(effect.server))

    def close_connections(self, effect: CloseConnections) -> None:
        """Close connections that are idle or only wait for the answer to a withdrawn send."""
        pool = self._pools.get(effect.server)
        if pool is None:
            return
        pool.connector.close_idle(0)
        for send in tuple(pool.lingering):
            self._cancel_task(send)

    def _create_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        assert self._loop is not None
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _get_pool(self, address: str, connections: int) -> ServerPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ServerPool(address, connections, self._local_host)
        elif pool.connector.limit != connections:
            pool.connector.set_limit(connections)
        return pool

    def _cancel_task(self, send: OpenSend) -> None:
        if send.timer is not None:
            send.timer.cancel()
        send.server.lingering.discard(send)
        if send.task is not None:
            send.task.cancel()

    def _handle_deadline(self, send: OpenSend) -> None:
        self._report_failure(send, FailureKind.CLOSED)
        self._cancel_task(send)

    def _report_failure(
        self,
        send: OpenSend,
        kind: FailureKind,
        run: RunState | None = None,
        boot_id: str = "",
    ) -> None:
        """Report a failed send, unless its event has been reported already.

        :param run: run state; if ``None``, it is ``UNKNOWN`` if the client has started to
            write the body, else ``NOT_RUN``.
        """
        if run is None:
            run = RunState.UNKNOWN if send.body.started else RunState.NOT_RUN
        if run is RunState.NOT_RUN:
            send.body.blocked = True
        now_us = self._read_clock_us()
        self._report_event(send, SendFailed(now_us, send.effect.send_id, kind, run, boot_id))

    def _report_event(self, send: OpenSend, event: Event) -> None:
        if send.reported:
            return
        send.reported = True
        self._open_sends.pop(send.effect.send_id, None)
        if isinstance(event, SendFailed):
            outcome = event.kind.value
        else:
            outcome = "answered" if isinstance(event, SendAnswered) else "rejected"
        service = send.effect.request.service
        self._metrics.observe_send(service, outcome, event.now_us - send.started_us)
        if send.span is not None:
            send.span.end(outcome=outcome)
        self._handle(event)

    async def _run_send(self, send: OpenSend) -> None:
        outcome: SubAnswer | Rejection | FailureKind
        run: RunState | None = None
        boot_id = ""
        try:
            outcome, run, boot_id = await self._post_sub_request(send)
        except aiohttp.ClientConnectorError as error:
            refused = error.errno in _NOT_CONNECTED_ERRNOS
            outcome = FailureKind.REFUSED if refused else FailureKind.CLOSED
        except (aiohttp.ClientResponseError, HttpProcessingError):
            outcome = FailureKind.MALFORMED
        except (aiohttp.ClientError, OSError):
            outcome = FailureKind.RESET
        except asyncio.CancelledError:
            outcome = FailureKind.CLOSED
        except Exception as error:
            # A send without an event would count as open at its server forever.
            self._logs.write("send_error", {"error": repr(error)})
            outcome = FailureKind.CLOSED
        finally:
            if send.timer is not None:
                send.timer.cancel()
            send.server.lingering.discard(send)
            # A cancellation that still waits for a connection is no longer needed.
            if send.cancellation is not None and not send.cancellation.body.started:
                send.cancellation.task.cancel()
        send_id = send.effect.send_id
        if isinstance(outcome, SubAnswer):
            self._report_event(send, SendAnswered(self._read_clock_us(), send_id, outcome))
        elif isinstance(outcome, Rejection):
            rejected = SendRejected(
                self._read_clock_us(),
                send_id,
                outcome.held_map_version,
                outcome.held_index_version,
                outcome.boot_id,
            )
            self._report_event(send, rejected)
        else:
            self._report_failure(send, outcome, run, boot_id)

    async def _post_sub_request(self, send: OpenSend) -> ClassifiedResponse:
        effect = send.effect
        traceparent = send.span.traceparent if send.span else effect.traceparent
        trace_headers = {"traceparent": traceparent} if traceparent else None
        response = await send.server.session.post(
            send.server.search_url, data=send.body, headers=trace_headers, allow_redirects=False
        )
        try:
            status = response.status
            max_bytes = effect.max_answer_bytes if status == 200 else _MAX_REJECTION_BYTES
            raw = await _read_bounded(response, max_bytes)
        finally:
            # Closes the connection unless the response was read completely.
            response.close()
        not_run_proven = response.headers.get("X-Run-State") == "not-run"
        cancel_requested = send.cancellation is not None
        return classify_response(
            status,
            raw,
            effect.request,
            not_run_proven,
            cancel_requested,
            may_be_copy=send.server.connector.is_reused(send.body.protocol),
        )

    async def _send_cancellation(self, send: OpenSend, body: SubRequestBody) -> None:
        """Send a cancellation; wait for a connection until the deadline of the send."""
        remaining_us = max(1_000, send.effect.deadline_us - self._read_clock_us())
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(remaining_us / 1e6),
                send.server.session.post(
                    send.server.cancel_url, data=body, allow_redirects=False
                ) as response,
            ):
                await _read_bounded(response, _MAX_REJECTION_BYTES)

    async def _run_probe(self, address: str) -> None:
        health = None
        try:
            async with (
                aiohttp.ClientSession(
                    connector=ServerConnector(1, self._local_host),
                    timeout=self._probe_timeout,
                    auto_decompress=False,
                ) as session,
                session.get(f"http://{address}/health", allow_redirects=False) as response,
            ):
                raw = await _read_bounded(response, _MAX_HEALTH_BYTES)
                if response.status == 200 and raw is not None:
                    # Only the boot id of a health report is used; a rejection has it too.
                    health = parse_rejection(raw, "")
        except (aiohttp.ClientError, HttpProcessingError, OSError, ValueError):
            health = None
        finally:
            self._probed_servers.discard(address)
        now_us = self._read_clock_us()
        if health is None:
            self._handle(ProbeFailed(now_us, address))
        else:
            self._handle(ProbeAnswered(now_us, address, health.boot_id))

    def _close_unused_pools(self) -> None:
        assert self._loop is not None
        unused_since_us = self._read_clock_us() - self._idle_us
        for address, pool in tuple(self._pools.items()):
            if pool.used_us < unused_since_us and not pool.connector.in_use_count:
                del self._pools[address]
                self._create_task(pool.session.close())
        self._unused_pools_timer = self._loop.call_later(
            self._idle_us / 2e6, self._close_unused_pools
        )


async def _read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes | None:
    """Return the body of a response, or ``None`` if it is longer than ``max_bytes``."""
    length = response.content_length
    if length is not None:
        return await response.read() if length <= max_bytes else None
    chunks = bytearray()
    while chunk := await response.content.readany():
        chunks += chunk
        if len(chunks) > max_bytes:
            return None
    return bytes(chunks)
