"""Stand-ins for the platform's store and backend servers, using the platform's protocol."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from contextlib import AsyncExitStack

from aiohttp import web

from mimosapost.edge.relay_callers import start_listener


class StandinStore:
    """A store that can be read and watched; ``put`` and ``remove`` change it.

    :ivar mode: ``serve`` (normal answers), ``busy`` (status 503), ``silent`` (no answer),
        ``congested`` (a list takes more than a second from its first byte to its last),
        ``endless`` (an answer of bytes without end) or
        ``compacted`` (status 410 for the next watch, then the mode ``next_mode``).
    :ivar endless_bytes: number of bytes written in mode ``endless``.
    :ivar page_size: largest number of items in one page of a list.
    :ivar watch_size: largest number of changes in one answer to a watch.
    :ivar is_disordered: whether a watch answers with the changes in reverse order and with the
        revision at its start.
    :ivar requested_paths: paths of all requests, in order.
    :ivar watch_waits_ms: longest wait of each watch that was requested, in order.
    :ivar era: value of the header that names the era; ``None`` for no header.
    :ivar connections: connections on which a request arrived.
    :ivar silent_connections: connections on which nothing is answered any more.
    """

    def __init__(self) -> None:
        self.connections: set[object] = set()
        self.silent_connections: set[object] = set()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.mode = "serve"
        self.next_mode = "serve"
        self.endless_bytes = 0
        self.page_size = 500
        self.watch_size = 500
        self.is_disordered = False
        self.requested_paths: list[str] = []
        self.watch_waits_ms: list[int] = []
        self.era: str | None = None
        self.change_condition = asyncio.Condition()

    async def start(self, stack: AsyncExitStack) -> str:
        """Listen on a free port and return the address."""
        return await _start_server(stack, self._handle_request)

    async def put(self, key: str, value: object) -> None:
        """Write an item; a value of bytes is stored unchanged, any other value as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createdRev": self.items.get(key, {}).get("createdRev", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key: str) -> None:
        """Remove an item and publish its removal to watches."""
        self.revision += 1
        del self.items[key]
        await self._publish({"key": key, "revision": self.revision, "removed": True})

    def copy(self) -> tuple:
        """Return a copy of the data, for :meth:`rewind`."""
        return self.revision, dict(self.items), list(self.events)

    def rewind(self, data: tuple, era: str | None) -> None:
        """Return to a copy of the data, in another era."""
        self.revision, self.items, self.events = data[0], dict(data[1]), list(data[2])
        self.era = era

    def silence_connections(self) -> None:
        """Let all open connections go silent without a reset, while new ones work."""
        self.silent_connections |= self.connections

    async def _publish(self, event: dict) -> None:
        self.events.append(event)
        async with self.change_condition:
            self.change_condition.notify_all()

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        self.connections.add(request.transport)
        response = await self._answer(request)
        if request.transport in self.silent_connections:
            await asyncio.sleep(30)
        if self.era is not None and not response.prepared:
            response.headers["Store-Era"] = self.era
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requested_paths.append(request.path)
        if self.mode == "busy":
            return web.Response(status=503)
        if self.mode == "silent":
            await asyncio.sleep(30)
        if self.mode == "endless":
            return await self._send_endlessly(request)
        query = request.query
        prefix = query["pathPrefix"]
        if request.path == "/api/kv-range":
            page = web.json_response(self._list(prefix, query.get("after", "")))
            return await self._send_slowly(request, page) if self.mode == "congested" else page
        if self.mode == "compacted":
            self.mode = self.next_mode
            return web.Response(status=410)
        changes = await self._watch(prefix, query)
        # A watch from a revision that the store does not have.
        return web.Response(status=410) if changes is None else web.json_response(changes)

    async def _send_slowly(
        self, request: web.BaseRequest, complete_response: web.Response
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        size = len(complete_response.body) // 6 + 1
        for start in range(0, len(complete_response.body), size):
            await response.write(complete_response.body[start : start + size])
            await asyncio.sleep(0.25)
        await response.write_eof()
        return response

    async def _send_endlessly(self, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        while self.mode == "endless":
            await response.write(b" " * 65_536)
            self.endless_bytes += 65_536
        return response

    def _list(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[: self.page_size]]
        truncated = len(keys) > self.page_size
        return {"items": items, "truncated": truncated, "asOf": self.revision}

    async def _watch(self, prefix: str, query) -> dict | None:
        self.watch_waits_ms.append(int(query["waitMs"]))
        after, wait_seconds = int(query["after"]), int(query["waitMs"]) / 1_000

        def find_events() -> list[dict]:
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_seconds), self.change_condition:
                await self.change_condition.wait_for(find_events)
        except TimeoutError:
            pass
        events = find_events()
        if after > self.revision:
            return None
        if self.is_disordered:
            return {"events": events[::-1], "asOf": after}
        if len(events) > self.watch_size:
            events = events[: self.watch_size]
            return {"events": events, "asOf": events[-1]["revision"]}
        return {"events": events, "asOf": self.revision}


class StandinServer:
    """A backend server that answers with one record, or with the response of ``respond``.

    :ivar respond: function or coroutine function of the request; returns a response, or
        ``None`` for the default response.
    """

    def __init__(self, server_id: str, service: str, domain: str) -> None:
        self.server_id = server_id
        self.service = service
        self.domain = domain
        self.address = ""
        self.respond = lambda _request: None
        self.requests: list[web.BaseRequest] = []
        self.bodies: list[bytes] = []
        self._signatures = itertools.count(1)

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port."""
        self.address = await _start_server(stack, self._handle_request)

    def create_entry(self, **changes) -> dict:
        """Return the server's entry for the store, with some fields replaced."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
            "born": 1_770_905_516_586,
        }
        return entry | changes

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests.append(request)
        self.bodies.append(await request.read())
        if request.headers.get("X-Expect-Instance") != self.server_id:
            return web.Response(status=421, headers={"X-Instance-Id": self.server_id})
        response = self.respond(request)
        if asyncio.iscoroutine(response):
            response = await response
        if response is None:
            record = self.server_id.encode().ljust(16, b".")[:16]
            response = web.Response(body=record)
            response.headers["X-Response-Seal"] = f"{self.server_id}.{next(self._signatures)}"
        response.headers["X-Request-Id"] = request.headers["X-Request-Id"]
        return response


async def _start_server(stack: AsyncExitStack, handler) -> str:
    listener = web.Server(handler, access_log=None)
    return await start_listener(stack, listener, "127.0.0.1:0")


def create_config(version: int, services: list[str], **changes) -> dict:
    """Return a configuration with a gathered route, a route to a single server and limits."""
    common = {"host": "shop.example", "priority": 1, "maxAttempts": 2, "allowedRegions": []}
    search = {
        "name": "r-search",
        "pathPrefix": "/search/",
        "routeKind": "idempotent",
        "timeoutMs": 900,
        "goalMs": 400,
        "gather": services,
        "topK": 2,
        "minCoverage": 0.5,
    }
    order = {
        "name": "r-order",
        "pathPrefix": "/order/",
        "routeKind": "non_idempotent",
        "timeoutMs": 900,
        "goalMs": 400,
        "service": services[0],
    }
    return {
        "version": version,
        "routes": [common | search, common | order],
        "services": [{"name": name, "maxConns": 20} for name in services],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4096, "idleTimeoutMs": 9000},
    } | changes
