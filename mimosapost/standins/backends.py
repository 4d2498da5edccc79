"""Set of stand-in backend servers on loopback addresses in one process.

The servers speak the backend protocol of the design page, compute deterministic results and
produce the faults that the tier must tolerate. A control address changes the behaviour of
each server (``POST /control``) and returns the requests that it received
(``GET /control/record``).
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import AsyncExitStack
from typing import Any

import msgspec
from aiohttp import web

from mimosapost.standins.backend_server import BackendServer
from mimosapost.standins.behaviour import Behaviour
from mimosapost.standins.deterministic_results import compute_items

__all__ = ["BackendServer", "Backends", "compute_items"]


class Backends:
    """A set of stand-in backend servers with one control address.

    Use it as an asynchronous context manager: the servers listen inside the context, and
    ``addresses`` and ``control_address`` are known there.

    :param behaviours: behaviour of each server by name.
    :param seed: seed of all random choices.
    :param client_domains: failure domain and region of each client by its IP address.
    :param addresses: ``ip:port`` of servers by name; a server without an entry gets its own
        loopback address and any free port.
    :param control_port: port of the control address, 0 for any free port.
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
        # Each server has its own loopback address. Otherwise an outgoing connection of this
        # machine could take the port of a crashed server before the server listens again.
        self.servers = {}
        for number, (name, behaviour) in enumerate(behaviours.items()):
            default_address = f"127.1.{number // 250}.{number % 250 + 1}:0"
            host, _, port = (addresses or {}).get(name, default_address).rpartition(":")
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
            runner = web.ServerRunner(web.Server(self._serve_control, access_log=None))
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
        """Change the behaviour of a server, or of all servers, and run actions on it.

        :param server: name of the server, or ``*`` for all servers.
        :param fields: new values of fields of :class:`Behaviour`.
        :param actions: methods of the server to call: ``crash``, ``fall_cold`` or
            ``silence_connections``.
        :raises KeyError: for an unknown server or action.
        :raises msgspec.ValidationError: for an unknown field or a wrong value.
        """
        selected = self.servers.values() if server == "*" else [self.servers[server]]
        known_actions = {"crash", "fall_cold", "silence_connections"}
        for action in actions:
            if action not in known_actions:
                raise KeyError(action)
        for backend in selected:
            values = msgspec.structs.asdict(backend.behaviour) | dict(fields)
            backend.behaviour = msgspec.convert(values, Behaviour)
            for action in actions:
                getattr(backend, action)()

    async def _serve_control(self, request: web.BaseRequest) -> web.Response:
        if request.method == "GET" and request.path == "/control/record":
            name = request.query.get("server", "*")
            selected = [
                server for server in self.servers.values() if name in ("*", server.name)
            ]
            body = msgspec.json.encode([server.export_record() for server in selected])
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
