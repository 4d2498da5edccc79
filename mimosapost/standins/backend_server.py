"""Stand-in backend server: one HTTP server with the behaviour of its settings."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import web

from mimosapost.standins.answer_faults import send_answer
from mimosapost.standins.behaviour import Behaviour, RequestRecord
from mimosapost.standins.deterministic_results import compute_items

__all__ = ["BackendServer"]

_MAX_RECORDS = 200_000
_MAX_BODY_BYTES = 2**20


class SearchRequest(msgspec.Struct):
    """Body of ``POST /v1/search``."""

    request_id: str
    service: str
    leaf: str
    map_version: int
    index_version: int
    deadline_ms: int
    body: Any
    repeatable: bool
    idempotency_key: str = ""
    limit: int = 0


class _Listener(web.Server):
    """Counts the connections of a backend server and closes those above its limit."""

    def __init__(self, backend: BackendServer) -> None:
        super().__init__(backend.handle, access_log=None)
        self._backend = backend

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        backend = self._backend
        if len(backend.transports) >= backend.behaviour.connections:
            backend.connections_refused += 1
            # The connection is aborted only after the handler's task has started. Otherwise
            # aiohttp logs a traceback for each refused connection, which uses up the CPU core
            # of the stand-in.
            asyncio.get_running_loop().call_soon(transport.abort)
            return
        backend.transports.add(transport)
        backend.new_transports.add(transport)
        backend.connections_accepted += 1
        backend.connections_peak = max(backend.connections_peak, len(backend.transports))

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        transport = handler.transport
        self._backend.transports.discard(transport)
        self._backend.new_transports.discard(transport)
        connection_closed = self._backend.silent_transports.pop(transport, None)
        if connection_closed is not None and not connection_closed.done():
            connection_closed.set_result(None)
        super().connection_lost(handler, exc)


def _set_outcome(outcome: asyncio.Future[str], value: str) -> None:
    if not outcome.done():
        outcome.set_result(value)


class BackendServer:
    """One stand-in backend server.

    :param name: name of the server in requests to ``/control``.
    :param host: loopback IP address to listen on.
    :param behaviour: initial behaviour.
    :param seed: seed of service times and faults.
    :param client_domains: failure domain and region of each client by its IP address; other
        clients count as being in the domain of the server.
    """

    def __init__(
        self,
        name: str,
        host: str,
        behaviour: Behaviour,
        seed: int,
        client_domains: Mapping[str, tuple[str, str]],
    ) -> None:
        self.name = name
        self.host = host
        self.port = 0
        self.behaviour = behaviour
        self.transports: set[Any] = set()
        self.new_transports: set[Any] = set()
        self.silent_transports: dict[Any, asyncio.Future[None]] = {}
        self.records: deque[RequestRecord] = deque(maxlen=_MAX_RECORDS)
        self.connections_accepted = 0
        self.connections_refused = 0
        self.connections_peak = 0
        self.requests = 0
        self.cancel_requests = 0
        self.running_requests = 0
        self.peak = 0
        self.cold_peak = 0
        self.boots = 1
        self._answers_since_cold = 0
        self._random = random.Random(f"{name}:{seed}")
        self._client_domains = client_domains
        self._open_requests: dict[str, asyncio.Future[str]] = {}
        # Time in seconds, load and boot id at each start and end of a request.
        self._load_history: deque[tuple[float, float, str]] = deque(maxlen=10_000)
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._restart_task: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Address of the server as ``host:port``."""
        return f"{self.host}:{self.port}"

    @property
    def boot_id(self) -> str:
        """Identifier of the current boot of the server; each crash starts a new one."""
        return f"{self.name}-boot-{self.boots}"

    async def start(self) -> None:
        """Start to listen.

        Port 0 is replaced by a free port, which the server keeps across crashes.
        """
        self._runner = web.ServerRunner(_Listener(self), shutdown_timeout=0)
        await self._runner.setup()
        await self._listen()

    async def _listen(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(self._runner, self.host, self.port, backlog=1024)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        for outcome in tuple(self._open_requests.values()):
            _set_outcome(outcome, "crashed")
        for transport in tuple(self.transports):
            transport.abort()
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Close all connections, refuse new ones for ``restart_ms``, then boot.

        The server boots into cold start, unless ``warm_answers`` is 0.
        """
        for transport in tuple(self.transports):
            transport.abort()
        for outcome in tuple(self._open_requests.values()):
            _set_outcome(outcome, "crashed")
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.get_running_loop().create_task(self._reboot())

    async def _reboot(self) -> None:
        assert self._site is not None
        await self._site.stop()
        for transport in tuple(self.transports):
            transport.abort()
        self.boots += 1
        self._answers_since_cold = 0
        if self.behaviour.warm_answers:
            self.behaviour.cold = True
        await asyncio.sleep(self.behaviour.restart_ms / 1_000)
        await self._listen()

    def fall_cold(self) -> None:
        """Return to cold start without a crash or a new boot id that clients could notice."""
        self.behaviour.cold = True
        self._answers_since_cold = 0

    def silence_connections(self) -> None:
        """Answer no further request on the connections that are open now."""
        loop = asyncio.get_running_loop()
        for transport in self.transports:
            self.silent_transports.setdefault(transport, loop.create_future())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request of the backend protocol."""
        transport = request.transport
        if transport in self.silent_transports:
            await self.silent_transports[transport]
            return web.Response()
        delay_ms = self._get_network_delay_ms(request.remote or "")
        if transport in self.new_transports:
            self.new_transports.discard(transport)
            delay_ms += self.behaviour.connect_ms
        if delay_ms:
            await asyncio.sleep(delay_ms / 1_000)
        if request.method == "GET":
            return self._create_report(request.path)
        raw = await request.read()
        if request.path == "/v1/cancel":
            self.cancel_requests += 1
            outcome = self._open_requests.get(msgspec.json.decode(raw).get("request_id", ""))
            if outcome is not None:
                _set_outcome(outcome, "cancelled")
            return web.json_response({"cancelled": outcome is not None})
        if request.path != "/v1/search" or len(raw) > _MAX_BODY_BYTES:
            return web.json_response({"error": "unknown path"}, status=404)
        try:
            message = msgspec.json.decode(raw, type=SearchRequest)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return await self._run_search(request, message)

    async def _run_search(
        self, request: web.BaseRequest, message: SearchRequest
    ) -> web.StreamResponse:
        behaviour = self.behaviour
        self.requests += 1
        record = RequestRecord(
            request_id=message.request_id,
            idempotency_key=message.idempotency_key,
            service=message.service,
            leaf=message.leaf,
            repeatable=message.repeatable,
            index_version=message.index_version,
            started_ms=asyncio.get_running_loop().time() * 1_000,
            cold=behaviour.cold,
        )
        self.records.append(record)
        fault = self._choose_fault()
        overload = behaviour.cold and self.running_requests >= behaviour.cold_limit
        if fault == "crossed_409" or (
            behaviour.held
            and (message.map_version, message.index_version) not in behaviour.held
        ):
            record.outcome = "rejected"
            held_versions = max(
                behaviour.held or [(message.map_version, message.index_version + 1)]
            )
            return web.json_response(
                {
                    "request_id": "other" if fault else message.request_id,
                    "held_map_version": held_versions[0],
                    "held_index_version": held_versions[1],
                    "boot_id": self.boot_id,
                },
                status=409,
            )
        if (
            fault == "crossed_503"
            or behaviour.draining
            or behaviour.shedding
            or (overload and behaviour.cold_overload == "refuse")
        ):
            record.outcome = "shed"
            return web.json_response(
                {
                    "request_id": "other" if fault else message.request_id,
                    "boot_id": self.boot_id,
                },
                status=503,
                headers={"X-Run-State": "not-run"},
            )
        self.running_requests += 1
        record.concurrent = self.running_requests
        self.peak = max(self.peak, self.running_requests)
        if behaviour.cold:
            self.cold_peak = max(self.cold_peak, self.running_requests)
        self._record_load()
        loop = asyncio.get_running_loop()
        outcome = self._open_requests[message.request_id] = loop.create_future()
        try:
            if overload or message.body in behaviour.crash_bodies:
                self.crash()
            else:
                loop.call_later(self._draw_service_time_s(), _set_outcome, outcome, "answered")
            record.outcome = await outcome
        finally:
            self.running_requests -= 1
            self._open_requests.pop(message.request_id, None)
            self._record_load()
        if record.outcome == "crashed":
            return web.Response()
        if record.outcome == "cancelled":
            return web.json_response({"request_id": message.request_id}, status=499)
        self._count_answer()
        delay_ms = self._get_network_delay_ms(request.remote or "")
        if delay_ms:
            await asyncio.sleep(delay_ms / 1_000)
        return await send_answer(request, self._create_answer(message), fault, behaviour)

    def _create_answer(self, message: SearchRequest) -> dict[str, Any]:
        items = compute_items(
            message.service, message.leaf, message.body, message.index_version
        )
        is_sum = isinstance(message.body, dict) and message.body.get("kind") == "sum"
        result = {"value": items[0]["score"]} if is_sum else {"items": items}
        return {
            "request_id": message.request_id,
            "leaf": message.leaf,
            "map_version": message.map_version,
            "index_version": message.index_version,
            "boot_id": self.boot_id,
            "load": self._get_load(),
        } | result

    def _count_answer(self) -> None:
        if self.behaviour.cold:
            self._answers_since_cold += 1
            if self._answers_since_cold >= self.behaviour.warm_answers:
                self.behaviour.cold = False

    def _choose_fault(self) -> str:
        if self.behaviour.next_faults:
            return self.behaviour.next_faults.pop(0)
        for fault, probability in self.behaviour.faults.items():
            if self._random.random() < probability:
                return fault
        return ""

    def _draw_service_time_s(self) -> float:
        behaviour = self.behaviour
        service_time_ms = behaviour.median_ms * self._random.lognormvariate(
            0.0, behaviour.spread
        )
        if self._random.random() < behaviour.straggler_probability:
            service_time_ms *= behaviour.straggler_factor
        return service_time_ms / 1_000

    def _get_network_delay_ms(self, client: str) -> float:
        behaviour = self.behaviour
        own_location = (behaviour.domain, behaviour.region)
        domain, region = self._client_domains.get(client, own_location)
        if region != behaviour.region:
            return behaviour.region_ms
        return behaviour.domain_ms if domain != behaviour.domain else 0.0

    def _get_load(self) -> float:
        if self.behaviour.reported_load is not None:
            return self.behaviour.reported_load
        return min(1.0, self.running_requests / max(1, self.behaviour.connections))

    def _record_load(self) -> None:
        if self.behaviour.report_lag_ms:
            now = asyncio.get_running_loop().time()
            self._load_history.append((now, self._get_load(), self.boot_id))

    def _create_report(self, path: str) -> web.Response:
        load, boot_id = self._get_load(), self.boot_id
        if self.behaviour.report_lag_ms:
            report_time = (
                asyncio.get_running_loop().time() - self.behaviour.report_lag_ms / 1_000
            )
            load = 0.0
            for recorded_at, past_load, past_boot_id in self._load_history:
                if recorded_at > report_time:
                    break
                load, boot_id = past_load, past_boot_id
        if path == "/load":
            return web.json_response({"load": load, "boot_id": boot_id})
        if path == "/health":
            return web.json_response({"status": "ok", "boot_id": boot_id})
        return web.json_response({"error": "unknown path"}, status=404)

    def export_record(self) -> dict[str, Any]:
        """Return the counters and request records, for ``GET /control/record``."""
        return {
            "name": self.name,
            "address": self.address,
            "boot_id": self.boot_id,
            "requests": self.requests,
            "cancels": self.cancel_requests,
            "working": self.running_requests,
            "peak": self.peak,
            "cold_peak": self.cold_peak,
            "connections": len(self.transports),
            "connections_accepted": self.connections_accepted,
            "connections_refused": self.connections_refused,
            "connections_peak": self.connections_peak,
            "records": list(self.records),
        }
