"""Guards the whole path over sockets: store, callers and backend servers as stand-ins."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp import web
from yarl import URL

from mimosapost.edge.logs import Logs
from mimosapost.edge.relay_instance import RelayInstance
from mimosapost.platform.store_reader import StoreReader
from mimosapost.platform.tests.standins import StandinServer, StandinStore, create_config
from mimosapost.platform.wire import PlatformCodec
from mimosapost.relay.state import InstanceSettings

SERVICES = ["s0", "s1"]


@dataclass(frozen=True)
class Response:
    """A response that was read whole."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass
class Path:
    """A running instance with its surroundings."""

    instance: RelayInstance
    store: StandinStore
    servers: dict[str, StandinServer]
    session: aiohttp.ClientSession
    log: io.StringIO

    async def call(self, target: str, method: str = "GET", deadline_ms: int = 800, **more):
        """Send a request as a caller; returns the response, read whole."""
        headers = {"Host": "shop.example", "X-Request-Id": f"id{target}"}
        headers["X-Deadline-Ms"] = str(deadline_ms)
        headers |= more.pop("headers", {})
        # The client library would decode escapes of the target that it holds needless.
        url = URL(f"http://{self.instance.caller_address}{target}", encoded=True)
        async with self.session.request(method, url, headers=headers, **more) as response:
            return Response(response.status, response.headers, await response.read())

    async def wait(self, condition, seconds: float = 5.0) -> None:
        """Wait until a condition on the instance's state holds."""
        async with asyncio.timeout(seconds):
            while not condition(self.instance.state):
                await asyncio.sleep(0.01)


@dataclass(frozen=True)
class _Addresses:
    caller_address: str = "127.0.0.1:0"
    ready_address: str = "127.0.0.1:0"
    operator_addresses: tuple[str, ...] = ("127.0.0.1:0",)


@asynccontextmanager
async def open_path(prepare=None, listener=None):
    async with AsyncExitStack() as stack:
        store = StandinStore()
        address = await store.start(stack)
        servers = {}
        for service in SERVICES:
            for domain in ("a1", "b1"):
                server = StandinServer(f"{service}-{domain}", service, domain)
                await server.start(stack)
                servers[server.server_id] = server
        for server_id, server in servers.items():
            await store.put(f"servers/{server_id}", server.describe())
        await store.put("op/config", create_config(3, SERVICES))
        if prepare is not None:
            await prepare(store, servers)
        log = io.StringIO()
        instance = RelayInstance(
            InstanceSettings("n1", "a1", "north", {"a1": "north", "b1": "south"}),
            _Addresses(),
            PlatformCodec(),
            lambda *context: StoreReader(address, *context, detection_ms=2_000, apply_ms=3_000),
            Logs(log),
            listener,
        )
        await instance.start()
        stack.push_async_callback(instance.stop)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        path = Path(instance, store, servers, session, log)
        await path.wait(lambda state: state.is_ready())
        yield path


async def test_a_gathered_answer_names_its_parts():
    async with open_path() as path:
        response = await path.call("/search/q")
        assert response.status == 200
        stamps = response.headers["X-Part-Stamps"].split(", ")
        assert sorted(stamp.split("-")[0] for stamp in stamps) == SERVICES
        assert response.headers["X-Missing-Parts"] == "0"
        assert len(response.body) == 32
        assert response.body[:16] > response.body[16:]


async def test_a_write_passes_unchanged():
    async def answer(request):
        headers = {"X-Response-Seal": "seal", "X-Own": "1", "X-Server-Load": "1,0,2"}
        return web.Response(status=201, body=b"done", headers=headers)

    async with open_path() as path:
        for server in path.servers.values():
            server.behave = answer
        headers = {"X-Other": "kept", "Connection": "keep-alive, X-Hop", "X-Hop": "dropped"}
        response = await path.call(
            "/order/a%20b?c=%2F", "POST", data=b"payload", headers=headers
        )
        assert (response.status, response.body) == (201, b"done")
        assert response.headers["X-Response-Seal"] == "seal"
        assert response.headers["X-Own"] == "1"
        (server,) = [server for server in path.servers.values() if server.requests]
        request = server.requests[0]
        assert request.raw_path == "/order/a%20b?c=%2F"
        assert server.bodies == [b"payload"]
        assert request.headers["X-Request-Id"] == "id/order/a%20b?c=%2F"
        assert request.headers["X-Other"] == "kept"
        assert "X-Hop" not in request.headers
        assert 0 < int(request.headers["X-Deadline-Ms"]) <= 800


async def test_a_chunked_body_arrives_whole():
    async def stream():
        for _ in range(3):
            yield b"part"

    async with open_path() as path:
        response = await path.call("/order/x", "POST", data=stream())
        assert response.status == 200
        (server,) = [server for server in path.servers.values() if server.requests]
        assert server.bodies == [b"partpartpart"]


@pytest.mark.parametrize(
    ("target", "method", "more", "status"),
    [
        ("/nowhere/x", "GET", {}, 404),
        ("/order/x", "POST", {"data": b"x" * 5000}, 413),
        ("/order/x", "GET", {"headers": {"X-Deadline-Ms": "soon"}}, 400),
        ("/order/x", "GET", {"headers": {"X-Request-Id": ""}}, 400),
        ("/search/x", "GET", {"deadline_ms": 5}, 503),
    ],
)
async def test_refusals(target, method, more, status):
    async with open_path() as path:
        response = await path.call(target, method, **more)
        assert response.status == status
        assert not any(server.requests for server in path.servers.values())


async def test_a_reused_address_is_not_asked_again_until_it_is_listed():
    async with open_path() as path:
        for server in path.servers.values():
            server.server_id = "another"
        response = await path.call("/order/x")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        asked = sum(len(server.requests) for server in path.servers.values())
        assert (await path.call("/order/x")).status == 503
        assert sum(len(server.requests) for server in path.servers.values()) == asked
        assert "server_misdirected" in path.log.getvalue()


async def test_changes_in_the_store_take_effect():
    async with open_path() as path:
        await path.store.put("op/evacuate/a1", {})
        await path.wait(lambda state: state.domains_out == {"a1"})
        await path.call("/search/x")
        assert not path.servers["s0-a1"].requests
        await path.store.remove("op/evacuate/a1")
        await path.wait(lambda state: not state.domains_out)
        entry = path.servers["s0-a1"].describe(state="draining")
        await path.store.put("servers/s0-a1", entry)
        await path.wait(lambda state: state.servers["s0-a1"].server.draining)
        await path.call("/search/y")
        assert not path.servers["s0-a1"].requests
        await path.store.remove("servers/s0-a1")
        await path.wait(lambda state: "s0-a1" not in state.servers)
        await path.store.put("op/config", create_config(9, ["s1"]))
        await path.wait(lambda state: state.catalog.version == 9)
        assert (await path.call("/search/z")).headers["X-Missing-Parts"] == "0"


async def put_bad_entries(store, servers):
    entry = servers["s0-a1"].describe()
    bad = [
        b"\xff\xfe",
        b"{}",
        entry | {"state": "retired"},
        entry | {"slots": "two"},
        entry | {"address": "nowhere"},
        [],
    ]
    for number, value in enumerate(bad):
        await store.put(f"servers/bad{number}", value)
    store.items["servers/bad9"] = {"key": "servers/bad9", "revision": 1, "value": "%%%"}


async def test_entries_of_other_writers_are_left_out_with_a_reason():
    async with open_path(put_bad_entries) as path:
        assert sorted(path.instance.state.servers) == sorted(path.servers)
        assert path.log.getvalue().count("entry_ignored") == 7
        await path.store.put("op/config", b"{broken")
        await path.store.put("servers/s0-a1", {"service": 7})
        await path.wait(lambda state: "s0-a1" not in state.servers)
        assert path.instance.state.catalog.version == 3


async def test_the_list_is_read_in_pages_and_again_when_history_is_lost():
    async with open_path(lambda store, _: set_page(store, 2)) as path:
        assert len(path.instance.state.servers) == 4
        path.store.mode = "compacted"
        await path.store.put("servers/ghost", path.servers["s0-a1"].describe())
        del path.store.items["servers/s1-b1"]
        await path.wait(lambda state: "s1-b1" not in state.servers)
        assert "ghost" in path.instance.state.servers
        assert "store_history_lost" in path.log.getvalue()


async def test_a_list_that_arrives_slowly_is_read_once():
    """Guards a restart of many instances, whose lists share the store's link for seconds."""

    async def congest(store, _servers):
        store.mode = "congested"

    async with open_path(congest) as path:
        assert len(path.instance.state.servers) == 4
        assert path.store.calls.count("/api/kv-range") == 1
        assert "source_lost" not in path.log.getvalue()


async def set_page(store, size):
    store.page = size


@pytest.mark.parametrize("mode", ["busy", "silent"])
async def test_service_goes_on_without_the_store(mode):
    async with open_path() as path:
        path.store.mode = mode
        # The watch that is open answers this change; the next call meets the failure.
        await path.store.put("servers/x", b"")
        await path.wait(lambda state: state.source_lost_us > 0)
        assert path.instance.state.is_ready()
        assert (await path.call("/search/x")).status == 200
        path.store.mode = "serve"
        await path.store.remove("servers/s1-b1")
        await path.wait(lambda state: state.source_lost_us == 0)
        assert "s1-b1" in path.instance.state.servers
        await path.wait(lambda state: "s1-b1" not in state.servers, seconds=8)


async def test_the_servers_stop_when_a_caller_leaves():
    async def hang(request):
        await asyncio.sleep(5)

    async with open_path() as path:
        for server in path.servers.values():
            server.behave = hang
        call = asyncio.create_task(path.call("/order/x"))
        await path.wait(lambda state: state.sends)
        call.cancel()
        await path.wait(lambda state: not state.requests and not state.sends, seconds=1)
