"""Stand-in for the configuration service and the instance list, with faults on request."""

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
# A watch without a newer version is answered with status 304 after this time.
_WATCH_TIMEOUT_S = 60.0


class _Control(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``; each field that is given makes one change."""

    publish: dict[str, Any] | None = None
    mode: Mode | None = None
    lag_s: float | None = None
    stale: bool | None = None
    go_back: dict[str, Any] | None = None
    instances: list[dict[str, Any]] | None = None


class PlatformStandin:
    """HTTP server of both platform services, with data in memory.

    It can show these faults:

    - *lag*: a published version becomes visible only after ``lag_s`` seconds.
    - *stale*: reads and watches return the state that was visible when ``stale`` was set.
    - *go back*: an older published version becomes the visible one.
    - *down*: connections are aborted without an answer.
    - *hang*: requests get no answer until the mode changes.

    ``POST /control`` works in every mode. Its JSON fields ``publish`` and ``go_back`` call
    the methods of these names; ``mode``, ``lag_s``, ``stale`` and ``instances`` call the
    corresponding ``set_`` methods.

    :param host: address to listen on.
    :param port: port to listen on, 0 for any free port.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.calls: Counter[str] = Counter()
        self.open_watches = 0
        self._host = host
        self._port = port
        self._mode: Mode = "up"
        self._lag_s = 0.0
        self._published: dict[str, dict[int, bytes]] = {}
        self._visible: dict[str, tuple[int, bytes]] = {}
        self._instances: tuple[InstanceEntry, ...] = ()
        self._stale_view: tuple[dict[str, tuple[int, bytes]], tuple[InstanceEntry, ...]] | None
        self._stale_view = None
        self._change_event = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()
        self._stack = AsyncExitStack()

    @property
    def base_url(self) -> str:
        """URL of both services, without the path ``/v1``."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen; ``base_url`` has the right port afterwards."""
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
        """Stop listening and close all connections."""
        for timer in self._timers:
            timer.cancel()
        await self._stack.aclose()

    def publish(self, team: str, version: int, text: bytes) -> None:
        """Publish a version of a subtree, visible after the lag.

        :param team: name of the subtree.
        :param version: version number.
        :param text: JSON text of the subtree, which is served unchanged.
        """
        self._published.setdefault(team, {})[version] = text
        if self._lag_s:
            loop = asyncio.get_running_loop()
            self._timers.add(
                loop.call_later(self._lag_s, self._make_visible, team, version, text)
            )
        else:
            self._make_visible(team, version, text)

    def go_back(self, team: str, version: int) -> None:
        """Make a version that was published before the visible one.

        :raises KeyError: if the version was not published.
        """
        self._make_visible(team, version, self._published[team][version])

    def set_lag(self, lag_s: float) -> None:
        """Set the delay, in seconds, after which later changes become visible."""
        self._lag_s = lag_s

    def set_stale(self, stale: bool) -> None:
        """Freeze the visible state, or return to the current one."""
        self._stale_view = (dict(self._visible), self._instances) if stale else None
        self._wake_waiting_requests()

    def set_mode(self, mode: Mode) -> None:
        """Set whether requests are answered, aborted or left without an answer.

        :param mode: ``up``, ``down`` or ``hang``.
        """
        self._mode = mode
        self._wake_waiting_requests()

    def set_instances(self, entries: Iterable[InstanceEntry]) -> None:
        """Set the instance list, visible after the lag."""
        instances = tuple(entries)
        if self._lag_s:
            loop = asyncio.get_running_loop()
            self._timers.add(
                loop.call_later(self._lag_s, self._make_instances_visible, instances)
            )
        else:
            self._make_instances_visible(instances)

    def _make_visible(self, team: str, version: int, text: bytes) -> None:
        self._visible[team] = (version, text)
        self._wake_waiting_requests()

    def _make_instances_visible(self, instances: tuple[InstanceEntry, ...]) -> None:
        self._instances = instances

    def _wake_waiting_requests(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _get_view(self) -> tuple[dict[str, tuple[int, bytes]], tuple[InstanceEntry, ...]]:
        return self._stale_view or (self._visible, self._instances)

    async def _apply_mode(self, request: web.Request, endpoint: str) -> None:
        self.calls[endpoint] += 1
        if self._mode == "hang":
            await self._wait_while_hanging()
        if self._mode == "down" and request.transport is not None:
            request.transport.abort()
            raise web.HTTPServiceUnavailable

    async def _wait_while_hanging(self) -> None:
        while self._mode == "hang":
            await self._change_event.wait()

    async def _serve_tree(self, request: web.Request) -> web.Response:
        await self._apply_mode(request, "tree")
        published = self._get_view()[0].get(request.match_info["team"])
        return (
            web.Response(status=404)
            if published is None
            else _create_subtree_response(*published)
        )

    async def _serve_watch(self, request: web.Request) -> web.Response:
        self.open_watches += 1
        try:
            await self._apply_mode(request, "watch")
            async with asyncio.timeout(_WATCH_TIMEOUT_S):
                while True:
                    published = self._get_view()[0].get(request.match_info["team"])
                    if published is not None and published[0] > int(request.query["after"]):
                        return _create_subtree_response(*published)
                    await self._change_event.wait()
                    if self._mode != "up":
                        # _apply_mode counts a call, but this watch is counted already.
                        self.calls["watch"] -= 1
                        await self._apply_mode(request, "watch")
        except TimeoutError:
            return web.Response(status=304)
        finally:
            self.open_watches -= 1

    async def _serve_instances(self, request: web.Request) -> web.Response:
        await self._apply_mode(request, "instances")
        entries = [
            {"name": e.name, "peer_address": e.peer_address, "leaving": e.leaving}
            for e in self._get_view()[1]
        ]
        return web.json_response({"instances": entries})

    async def _serve_control(self, request: web.Request) -> web.Response:
        try:
            change = msgspec.json.decode(await request.read(), type=_Control)
        except msgspec.DecodeError as error:
            return web.json_response({"error": str(error)}, status=400)
        if change.lag_s is not None:
            self.set_lag(change.lag_s)
        if change.publish is not None:
            text = msgspec.json.encode(change.publish["value"])
            self.publish(change.publish["team"], change.publish["version"], text)
        if change.go_back is not None:
            self.go_back(change.go_back["team"], change.go_back["version"])
        if change.stale is not None:
            self.set_stale(change.stale)
        if change.instances is not None:
            self.set_instances(InstanceEntry(**entry) for entry in change.instances)
        if change.mode is not None:
            self.set_mode(change.mode)
        return await self._serve_counts(request)

    async def _serve_counts(self, request: web.Request) -> web.Response:  # noqa: ARG002
        return web.json_response({"calls": self.calls, "open_watches": self.open_watches})


def _create_subtree_response(version: int, text: bytes) -> web.Response:
    body = b'{"version": %d, "value": %s}' % (version, text)
    return web.Response(body=body, content_type="application/json")
