"""Stand-in for the configuration service and the instance list, with faults on demand."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import Any, Literal

import msgspec
from aiohttp import web

from mimosapost.model.events import InstanceEntry

__all__ = ["PlatformStandin"]

Mode = Literal["up", "down", "hang"]
_WATCH_HOLD_S = 60.0


class _Control(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; each field given is one order."""

    publish: dict[str, Any] | None = None
    mode: Mode | None = None
    lag_s: float | None = None
    stale: bool | None = None
    go_back: dict[str, Any] | None = None
    instances: list[dict[str, Any]] | None = None


class PlatformStandin:
    """Serves both platform services from memory.

    - *lag*: a published version becomes visible only after ``lag_s`` seconds.
    - *stale*: reads and watches keep the view of the moment at which staleness began.
    - *go back*: an older published version becomes the visible one.
    - *down*: connections are broken without an answer. *hang*: requests get no answer.

    ``POST /control`` always works; its JSON fields are the names of the Python calls.

    :param host: address to listen on.
    :param port: port to listen on, 0 for any.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.calls: Counter[str] = Counter()
        self.open_watches = 0
        self._host = host
        self._port = port
        self._mode: Mode = "up"
        self._lag_s = 0.0
        self._history: dict[str, dict[int, bytes]] = {}
        self._visible: dict[str, tuple[int, bytes]] = {}
        self._instances: tuple[InstanceEntry, ...] = ()
        self._frozen: tuple[dict[str, tuple[int, bytes]], tuple[InstanceEntry, ...]] | None
        self._frozen = None
        self._changed = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()
        self._stack = AsyncExitStack()

    @property
    def base(self) -> str:
        """URL before ``/v1``."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen; the port is known afterwards."""
        app = web.Application(client_max_size=4 * 2**20)
        app.add_routes(
            [
                web.get("/v1/tree/{team}", self._serve_tree),
                web.get("/v1/watch/{team}", self._serve_watch),
                web.get("/v1/instances", self._serve_instances),
                web.post("/control", self._serve_control),
                web.get("/control", self._serve_counts),
            ]
        )
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, self._host, self._port)
        await site.start()
        self._port = runner.addresses[0][1]

    async def stop(self) -> None:
        """Close all connections."""
        for timer in self._timers:
            timer.cancel()
        await self._stack.aclose()

    def publish(self, team: str, version: int, text: bytes) -> None:
        """Publish a subtree.

        :param team: name of the subtree.
        :param version: its version.
        :param text: value document; served byte for byte.
        """
        self._history.setdefault(team, {})[version] = text
        if self._lag_s:
            loop = asyncio.get_running_loop()
            self._timers.add(loop.call_later(self._lag_s, self._show, team, version, text))
        else:
            self._show(team, version, text)

    def go_back(self, team: str, version: int) -> None:
        """Make an older published version the visible one."""
        self._show(team, version, self._history[team][version])

    def set_lag(self, lag_s: float) -> None:
        """Delay what is published from now on by ``lag_s`` seconds."""
        self._lag_s = lag_s

    def set_stale(self, stale: bool) -> None:
        """Freeze the visible state, or show the current one again."""
        self._frozen = (dict(self._visible), self._instances) if stale else None
        self._notify()

    def set_mode(self, mode: Mode) -> None:
        """Set whether requests are answered, broken off or left without an answer."""
        self._mode = mode
        self._notify()

    def set_instances(self, entries: Iterable[InstanceEntry]) -> None:
        """Set the instance list; the lag holds for it too."""
        listed = tuple(entries)
        if self._lag_s:
            loop = asyncio.get_running_loop()
            self._timers.add(loop.call_later(self._lag_s, self._show_instances, listed))
        else:
            self._show_instances(listed)

    def _show(self, team: str, version: int, text: bytes) -> None:
        self._visible[team] = (version, text)
        self._notify()

    def _show_instances(self, listed: tuple[InstanceEntry, ...]) -> None:
        self._instances = listed

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _get_view(self) -> tuple[dict[str, tuple[int, bytes]], tuple[InstanceEntry, ...]]:
        return self._frozen or (self._visible, self._instances)

    async def _enter(self, request: web.Request, kind: str) -> None:
        self.calls[kind] += 1
        if self._mode == "hang":
            await self._wait_while_hanging()
        if self._mode == "down" and request.transport is not None:
            request.transport.abort()
            raise web.HTTPServiceUnavailable

    async def _wait_while_hanging(self) -> None:
        while self._mode == "hang":
            await self._changed.wait()

    async def _serve_tree(self, request: web.Request) -> web.Response:
        await self._enter(request, "tree")
        found = self._get_view()[0].get(request.match_info["team"])
        return web.Response(status=404) if found is None else _create_answer(*found)

    async def _serve_watch(self, request: web.Request) -> web.Response:
        self.open_watches += 1
        try:
            await self._enter(request, "watch")
            async with asyncio.timeout(_WATCH_HOLD_S):
                while True:
                    found = self._get_view()[0].get(request.match_info["team"])
                    if found is not None and found[0] > int(request.query["after"]):
                        return _create_answer(*found)
                    await self._changed.wait()
                    if self._mode != "up":
                        # A waiting watch is one call, so it is not counted again.
                        self.calls["watch"] -= 1
                        await self._enter(request, "watch")
        except TimeoutError:
            return web.Response(status=304)
        finally:
            self.open_watches -= 1

    async def _serve_instances(self, request: web.Request) -> web.Response:
        await self._enter(request, "instances")
        entries = [
            {"name": e.name, "peer_address": e.peer_address, "leaving": e.leaving}
            for e in self._get_view()[1]
        ]
        return web.json_response({"instances": entries})

    async def _serve_control(self, request: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await request.read(), type=_Control)
        except msgspec.DecodeError as error:
            return web.json_response({"error": str(error)}, status=400)
        if order.lag_s is not None:
            self.set_lag(order.lag_s)
        if order.publish is not None:
            text = msgspec.json.encode(order.publish["value"])
            self.publish(order.publish["team"], order.publish["version"], text)
        if order.go_back is not None:
            self.go_back(order.go_back["team"], order.go_back["version"])
        if order.stale is not None:
            self.set_stale(order.stale)
        if order.instances is not None:
            self.set_instances(InstanceEntry(**entry) for entry in order.instances)
        if order.mode is not None:
            self.set_mode(order.mode)
        return await self._serve_counts(request)

    async def _serve_counts(self, request: web.Request) -> web.Response:  # noqa: ARG002
        return web.json_response({"calls": self.calls, "open_watches": self.open_watches})


def _create_answer(version: int, text: bytes) -> web.Response:
    body = b'{"version": %d, "value": %s}' % (version, text)
    return web.Response(body=body, content_type="application/json")
