"""Servers of the soak test that leave or ask for pauses, and what still reaches them."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from aiohttp import web

from mimosapost.platform.tests.standins import StandinServer, StandinStore

SERVICE = "pay"
_DOMAINS = ("a1", "b1", "c1")
# Time for which a server serves after it has begun to leave, and the users' rules: no request
# that was sent later than that after an instance had passed on an answer; at most two requests
# from half a second after a rejection to the end of the pause.
_DRAIN_SECONDS = 1.0
_LEAVING_SECONDS = 2.0
_PAUSE_SECONDS = 1.2
_PAUSE_DELAY_SECONDS = 0.5
_MAX_PAUSED = 2
_REJECTING_SECONDS = 0.3


@dataclass
class SignallingServers:
    """Three servers of one service, one of which asks for no requests at a time.

    A process of a server is named by the id of the server and the number of its start.

    :param rng: source of the choices of servers and signals.
    :ivar starts: number of the last start of each server, by id.
    :ivar leaving: ids of the servers whose processes leave.
    :ivar rejecting: ids of the servers that reject requests and ask for a pause.
    :ivar sent: time at which the caller sent each request, by id.
    :ivar told_leaving: time at which a caller of an instance first got an answer of a process
        that leaves, by number of the instance and process.
    :ivar rejections: times of the rejections by number of the instance and process.
    :ivar arrivals: time at which the caller sent each request that arrived, and time of its
        arrival, by number of the instance and process.
    """

    rng: random.Random
    servers: list[StandinServer] = field(default_factory=list)
    starts: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    rejecting: set[str] = field(default_factory=set)
    sent: dict[str, float] = field(default_factory=dict)
    told_leaving: dict[tuple, float] = field(default_factory=dict)
    rejections: dict[tuple, list[float]] = field(default_factory=lambda: defaultdict(list))
    arrivals: dict[tuple, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    async def start(self, stack: AsyncExitStack, store: StandinStore) -> None:
        """Start the servers and write their entries."""
        for domain in _DOMAINS:
            server = StandinServer(f"{SERVICE}-{domain}", SERVICE, domain)
            server.respond = lambda request, server=server: self._respond(server, request)
            await server.start(stack)
            self.servers.append(server)
            await self._start_process(store, server)

    async def _start_process(self, store: StandinStore, server: StandinServer) -> None:
        self.starts[server.server_id] = self.starts.get(server.server_id, 0) + 1
        await self._write_entry(store, server)

    async def _write_entry(self, store, server: StandinServer, state: str = "ready") -> None:
        entry = server.create_entry(state=state, born=self.starts[server.server_id])
        await store.put(f"servers/{server.server_id}", entry)

    def _respond(self, server: StandinServer, request: web.BaseRequest) -> web.Response | None:
        name, now = server.server_id, asyncio.get_running_loop().time()
        request_id = request.headers["X-Request-Id"]
        index = int(request_id.rpartition("-")[2])
        key = index, name, self.starts[name]
        self.arrivals[key].append((self.sent[request_id], now))
        if name in self.rejecting:
            self.rejections[key].append(now)
            headers = {"X-Not-Executed": "1", "Retry-After": str(_PAUSE_SECONDS)}
            return web.Response(status=503, headers=headers)
        headers = {"X-Response-Seal": f"{name}.{request_id}"}
        if name in self.leaving:
            headers |= {"Server-Leaving": "1", "X-Start": str(self.starts[name])}
        return web.Response(body=name.encode().ljust(16, b"."), headers=headers)

    async def play(self, store: StandinStore, seconds: float) -> None:
        """Let one server after the other leave or ask for a pause."""
        loop = asyncio.get_running_loop()
        end_time = loop.time() + seconds
        while loop.time() < end_time:
            server = self.rng.choice(self.servers)
            if self.rng.random() < 0.6:
                await self._leave(store, server)
            else:
                self.rejecting.add(server.server_id)
                await asyncio.sleep(_REJECTING_SECONDS)
                self.rejecting.discard(server.server_id)
                await asyncio.sleep(_PAUSE_SECONDS)

    async def _leave(self, store: StandinStore, server: StandinServer) -> None:
        self.leaving.add(server.server_id)
        if self.rng.random() < 0.5:
            await self._write_entry(store, server, "draining")
        await asyncio.sleep(_LEAVING_SECONDS)
        self.leaving.discard(server.server_id)
        if self.rng.random() < 0.5:
            await store.remove(f"servers/{server.server_id}")
        await self._start_process(store, server)

    def record_reply(self, index: int, headers) -> None:
        """Record a reply that a caller got from an instance."""
        if "Server-Leaving" in headers:
            name = headers["X-Response-Seal"].partition(".")[0]
            key = index, name, int(headers["X-Start"])
            self.told_leaving.setdefault(key, asyncio.get_running_loop().time())

    def list_broken(self, disturbed_seconds: dict[int, float]) -> list[str]:
        """Return a message for each rule that was broken.

        :param disturbed_seconds: time at which each instance last ran again after a restart or
            a freeze, which excuses what came before.
        """
        broken = []
        for key, told in self.told_leaving.items():
            if disturbed_seconds.get(key[0], 0.0) > told:
                continue
            late = [at for sent, at in self.arrivals[key] if sent > told + _DRAIN_SECONDS]
            if late:
                broken.append(f"n{key[0]}: {len(late)} requests to {key[1]}, which leaves")
        for key, times in self.rejections.items():
            for rejected in times:
                begin, end = rejected + _PAUSE_DELAY_SECONDS, rejected + _PAUSE_SECONDS
                if disturbed_seconds.get(key[0], 0.0) > rejected:
                    continue
                count = sum(begin < at < end for _, at in self.arrivals[key])
                if count > _MAX_PAUSED:
                    broken.append(f"n{key[0]}: {count} requests to {key[1]}, which pauses")
                    break
        return broken
