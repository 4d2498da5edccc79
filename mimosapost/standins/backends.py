"""Stand-in backend servers: many servers on loopback addresses in one process.

They speak the backend protocol of the design page, compute deterministic results and show
the faults that the tier must tolerate. A control address changes each server's behaviour
(``POST /control``) and reads what it ran (``GET /control/record``).
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import web

from mimosapost.standins.behaviour import Behaviour
from mimosapost.standins.results import compute_items
from mimosapost.standins.server import BackendServer

__all__ = ["BackendServer", "Backends", "compute_items"]


class Backends:
    """A set of stand-in backend servers with one control address.

    :param behaviours: behaviour of each server by name.
    :param seed: seed of all random choices.
    :param client_domains: failure domain and region of each client by its IP number.
    :param addresses: ``ip:port`` of each server by name, chosen freely where absent.
    :param control_port: port of the control address, 0 for any.

    Use it as an asynchronous context manager; ``addresses`` then maps names to addresses.
    """

    def __init__(
        self,
        behaviours: Mapping[str, Behaviour],
        seed: int = 1,
        client_domains: Mapping[str, tuple[str, str]] | None = None,
        *,
        addresses: Mapping[str, str] | None = None,
        control_port: int = 0,
    ) -> None:
        # Each server has its own loopback address, so that no outgoing connection of this
        # machine takes the port of a crashed server before it listens again.
        self.servers = {}
        for number, (name, behaviour) in enumerate(behaviours.items()):
            own = f"127.1.{number // 250}.{number % 250 + 1}:0"
            host, _, port = (addresses or {}).get(name, own).rpartition(":")
            server = BackendServer(name, host, behaviour, seed, client_domains or {})
            server.port = int(port)
            self.servers[name] = server
        self._control_port = control_port
        self.control_address = ""
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Backends:
        async with AsyncExitStack() as stack:
            for server in self.servers.values():
                stack.push_async_callback(server.stop)
                await server.start()
            runner = web.ServerRunner(web.Server(self._control, access_log=None))
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, "127.0.0.1", self._control_port).start()
            self.control_address = "{}:{}".format(*runner.addresses[0][:2])
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    @property
    def addresses(self) -> dict[str, str]:
        """Address of each server by name."""
        return {name: server.address for name, server in self.servers.items()}

    def change(self, server: str, fields: Mapping[str, Any], actions: tuple[str, ...]) -> None:
        """Change the behaviour of a server, or of all with ``*``, and run actions.

        :param fields: new values of fields of :class:`Behaviour`.
        :param actions: any of ``crash``, ``fall_cold``, ``silence_connections``.
        :raises KeyError: for an unknown server or action.
        :raises msgspec.ValidationError: for an unknown field or a wrong value.
        """
        chosen = self.servers.values() if server == "*" else [self.servers[server]]
        known = {"crash", "fall_cold", "silence_connections"}
        for action in actions:
            if action not in known:
                raise KeyError(action)
        for backend in chosen:
            values = msgspec.structs.asdict(backend.behaviour) | dict(fields)
            backend.behaviour = msgspec.convert(values, Behaviour)
            for action in actions:
                getattr(backend, action)()

    async def _control(self, request: web.BaseRequest) -> web.Response:
        if request.method == "GET" and request.path == "/control/record":
            name = request.query.get("server", "*")
            chosen = [s for s in self.servers.values() if name in ("*", s.name)]
            body = msgspec.json.encode([server.export() for server in chosen])
            return web.Response(body=body, content_type="application/json")
        if request.method != "POST" or request.path != "/control":
            return web.json_response({"error": "unknown path"}, status=404)
        try:
            change = msgspec.json.decode(await request.read())
            self.change(
                change.get("server", "*"),
                change.get("set", {}),
                tuple(change.get("do", ())),
            )
        except (KeyError, AttributeError, TypeError, msgspec.MsgspecError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        return web.json_response({"changed": True})
