"""Small stand-ins for the platform's store and backend servers, in the platform's protocol."""

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

    :ivar mode: ``serve``, ``busy`` (503), ``silent`` (no answer), ``congested`` (answers take
        more than a second from the first byte to the last) or ``compacted`` (410 to the next
        watch).
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.mode = "serve"
        self.page = 500
        self.calls: list[str] = []
        self.changed = asyncio.Condition()

    async def start(self, stack: AsyncExitStack) -> str:
        """Listen on a free port; returns the address."""
        return await _listen(stack, self._answer)

    async def put(self, key: str, value: object) -> None:
        """Write an item; bytes are stored as they are, anything else as JSON."""
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
        await self._tell(item)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        await self._tell({"key": key, "revision": self.revision, "removed": True})

    async def _tell(self, event: dict) -> None:
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.mode == "busy":
            return web.Response(status=503)
        if self.mode == "silent":
            await asyncio.sleep(30)
        query = request.query
        prefix = query["pathPrefix"]
        if request.path == "/api/kv-range":
            page = web.json_response(self._list(prefix, query.get("after", "")))
            return await self._trickle(request, page) if self.mode == "congested" else page
        if self.mode == "compacted":
            self.mode = "serve"
            return web.Response(status=410)
        return web.json_response(await self._watch(prefix, query))

    async def _trickle(
        self, request: web.BaseRequest, whole: web.Response
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        size = len(whole.body) // 6 + 1
        for start in range(0, len(whole.body), size):
            await response.write(whole.body[start : start + size])
            await asyncio.sleep(0.25)
        await response.write_eof()
        return response

    def _list(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[: self.page]]
        truncated = len(keys) > self.page
        return {"items": items, "truncated": truncated, "asOf": self.revision}

    async def _watch(self, prefix: str, query) -> dict:
        after, wait_seconds = int(query["after"]), int(query["waitMs"]) / 1_000

        def find() -> list[dict]:
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_seconds), self.changed:
                await self.changed.wait_for(find)
        except TimeoutError:
            pass
        return {"events": find(), "asOf": self.revision}


class StandinServer:
    """A backend server that answers with one record, or as ``behave`` says.

    :ivar behave: called with the request; returns a response, or ``None`` for the usual one.
    """

    def __init__(self, server_id: str, service: str, domain: str) -> None:
        self.server_id = server_id
        self.service = service
        self.domain = domain
        self.address = ""
        self.behave = lambda _request: None
        self.requests: list[web.BaseRequest] = []
        self.bodies: list[bytes] = []
        self._signatures = itertools.count(1)

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port."""
        self.address = await _listen(stack, self._answer)

    def describe(self, **changes) -> dict:
        """Return the server's entry in the store."""
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

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests.append(request)
        self.bodies.append(await request.read())
        if request.headers.get("X-Expect-Instance") != self.server_id:
            return web.Response(status=421, headers={"X-Instance-Id": self.server_id})
        response = self.behave(request)
        if asyncio.iscoroutine(response):
            response = await response
        if response is None:
            record = self.server_id.encode().ljust(16, b".")[:16]
            response = web.Response(body=record)
            response.headers["X-Response-Seal"] = f"{self.server_id}.{next(self._signatures)}"
        response.headers["X-Request-Id"] = request.headers["X-Request-Id"]
        return response


async def _listen(stack: AsyncExitStack, answer) -> str:
    listener = web.Server(answer, access_log=None)
    return await start_listener(stack, listener, "127.0.0.1:0")


def create_config(version: int, services: list[str], **changes) -> dict:
    """Return a configuration with a gathered route, a route to one server and limits."""
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
