"""HTTP server for operators, on a separate address."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import web

from mimosapost.edge.metrics import Metrics

__all__ = ["ROUTES", "OperatorServer"]

ROUTES = (
    ("GET", "/status"),
    ("GET", "/metrics"),
    ("GET", "/healthz"),
    ("GET", "/readyz"),
)


class OperatorServer:
    """Serve ``/status``, ``/metrics``, ``/healthz`` and ``/readyz``.

    :param read_status: returns the status as JSON-encodable data without secrets.
    :param metrics: metrics of the instance.
    :param host: IP address to listen on.
    :param port: TCP port to listen on; 0 lets the system choose one.
    :param is_ready: returns whether the instance accepts new queries.
    """

    def __init__(
        self,
        read_status: Callable[[], Any],
        metrics: Metrics,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._read_status = read_status
        self._metrics = metrics
        self._host = host
        self._port = port
        self._is_ready = is_ready
        self._stack = AsyncExitStack()
        self.address = ""

    async def __aenter__(self) -> OperatorServer:
        async with AsyncExitStack() as stack:
            runner = web.ServerRunner(
                web.Server(self._handle_request, access_log=None), shutdown_timeout=1.0
            )
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, self._host, self._port).start()
            self.address = "{}:{}".format(*runner.addresses[0][:2])
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.method != "GET":
            return web.Response(status=405, text="only GET is allowed\n")
        match request.path:
            case "/healthz":
                return web.Response(text="alive\n")
            case "/readyz":
                if self._is_ready():
                    return web.Response(text="ready\n")
                return web.Response(status=503, text="not ready\n")
            case "/status":
                body = msgspec.json.encode(self._read_status())
                return web.Response(body=body, content_type="application/json")
            case "/metrics":
                body, headers = self._metrics.render(request.headers.getall("Accept", []))
                return web.Response(body=body, headers=headers)
        return web.Response(status=404, text="unknown path\n")
