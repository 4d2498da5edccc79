"""End-to-end tests of an instance over sockets, with a stand-in store and backend servers."""

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
from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.platform.store_reader import StoreReader
from mimosapost.platform.tests.standins import StandinServer, StandinStore, create_config
from mimosapost.relay.state import InstanceSettings

SERVICES = ["s0", "s1"]


@dataclass(frozen=True)
class Response:
    """A response with its complete body."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass
class RunningRelay:
    """A running instance with its store, its servers, an HTTP client and its log."""

    instance: RelayInstance
    store: StandinStore
    servers: dict[str, StandinServer]
    session: aiohttp.ClientSession
    log: io.StringIO

    async def send_request(
        self, target: str, method: str = "GET", deadline_ms: int = 800, **options
    ):
        """Send a request as a caller and return the complete response."""
        headers = {"Host": "shop.example", "X-Request-Id": f"id{target}"}
        headers["X-Deadline-Ms"] = str(deadline_ms)
        headers |= options.pop("headers", {})
        # With ``encoded=True`` yarl leaves percent-encoded characters of the target unchanged.
        url = URL(f"http://{self.instance.caller_address}{target}", encoded=True)
        async with self.session.request(method, url, headers=headers, **options) as response:
            return Response(response.status, response.headers, await response.read())

    async def wait_until(self, condition, seconds: float = 5.0) -> None:
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
async def run_relay(prepare=None, listener=None, settings=None):
    """Run an instance with two servers for each service until the context ends.

    :param prepare: coroutine function of the store and the servers, called before the start.
    :param listener: listening socket for callers, if it is open already.
    :param settings: settings of the instance; by default those of instance ``n1`` in the north.
    """
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
            await store.put(f"servers/{server_id}", server.create_entry())
        await store.put("op/config", create_config(3, SERVICES))
        if prepare is not None:
            await prepare(store, servers)
        log = io.StringIO()
        instance = RelayInstance(
            settings or InstanceSettings("n1", "a1", "north", {"a1": "north", "b1": "south"}),
            _Addresses(),
            PlatformCodec(),
            lambda *context: StoreReader(
                address, *context, detection_limit_ms=2_000, apply_limit_ms=3_000
            ),
            Logs(log),
            listener,
        )
        await instance.start()
        stack.push_async_callback(instance.stop)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        relay = RunningRelay(instance, store, servers, session, log)
        await relay.wait_until(lambda state: state.is_ready())
        yield relay


async def test_a_gathered_answer_names_its_parts():
    async with run_relay() as relay:
        response = await relay.send_request("/search/q")
        assert response.status == 200
        stamps = response.headers["X-Part-Stamps"].split(", ")
        assert sorted(stamp.split("-")[0] for stamp in stamps) == SERVICES
        assert response.headers["X-Missing-Parts"] == "0"
        assert len(response.body) == 32
        assert response.body[:16] > response.body[16:]


async def test_a_non_idempotent_request_is_forwarded_unchanged():
    async def answer(request):
        headers = {"X-Response-Seal": "seal", "X-Own": "1", "X-Server-Load": "1,0,2"}
        return web.Response(status=201, body=b"done", headers=headers)

    async with run_relay() as relay:
        for server in relay.servers.values():
            server.respond = answer
        headers = {"X-Other": "kept", "Connection": "keep-alive, X-Hop", "X-Hop": "dropped"}
        response = await relay.send_request(
            "/order/a%20b?c=%2F", "POST", data=b"payload", headers=headers
        )
        assert (response.status, response.body) == (201, b"done")
        assert response.headers["X-Response-Seal"] == "seal"
        assert response.headers["X-Own"] == "1"
        (server,) = [server for server in relay.servers.values() if server.requests]
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

    async with run_relay() as relay:
        response = await relay.send_request("/order/x", "POST", data=stream())
        assert response.status == 200
        (server,) = [server for server in relay.servers.values() if server.requests]
        assert server.bodies == [b"partpartpart"]


@pytest.mark.parametrize(
    ("target", "method", "options", "status"),
    [
        pytest.param("/nowhere/x", "GET", {}, 404, id="unknown-route"),
        pytest.param("/order/x", "POST", {"data": b"x" * 5000}, 413, id="body-too-large"),
        pytest.param(
            "/order/x",
            "GET",
            {"headers": {"X-Deadline-Ms": "soon"}},
            400,
            id="invalid-deadline",
        ),
        pytest.param(
            "/order/x", "GET", {"headers": {"X-Request-Id": ""}}, 400, id="empty-request-id"
        ),
        pytest.param("/search/x", "GET", {"deadline_ms": 5}, 503, id="deadline-too-short"),
    ],
)
async def test_refused_requests_reach_no_server(target, method, options, status):
    async with run_relay() as relay:
        response = await relay.send_request(target, method, **options)
        assert response.status == status
        assert not any(server.requests for server in relay.servers.values())


async def test_a_misdirected_server_gets_no_further_requests():
    async with run_relay() as relay:
        for server in relay.servers.values():
            server.server_id = "another"
        response = await relay.send_request("/order/x")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        request_count = sum(len(server.requests) for server in relay.servers.values())
        assert (await relay.send_request("/order/x")).status == 503
        assert sum(len(server.requests) for server in relay.servers.values()) == request_count
        assert "server_misdirected" in relay.log.getvalue()


async def test_changes_in_the_store_take_effect():
    async with run_relay() as relay:
        await relay.store.put("op/evacuate/a1", {})
        await relay.wait_until(lambda state: state.domains_out == {"a1"})
        await relay.send_request("/search/x")
        assert not relay.servers["s0-a1"].requests
        await relay.store.remove("op/evacuate/a1")
        await relay.wait_until(lambda state: not state.domains_out)
        entry = relay.servers["s0-a1"].create_entry(state="draining")
        await relay.store.put("servers/s0-a1", entry)
        await relay.wait_until(lambda state: state.servers["s0-a1"].server.draining)
        await relay.send_request("/search/y")
        assert not relay.servers["s0-a1"].requests
        await relay.store.remove("servers/s0-a1")
        await relay.wait_until(lambda state: "s0-a1" not in state.servers)
        await relay.store.put("op/config", create_config(9, ["s1"]))
        await relay.wait_until(lambda state: state.catalog.version == 9)
        assert (await relay.send_request("/search/z")).headers["X-Missing-Parts"] == "0"


async def put_invalid_entries(store, servers):
    entry = servers["s0-a1"].create_entry()
    invalid_values = [
        b"\xff\xfe",
        b"{}",
        entry | {"state": "retired"},
        entry | {"slots": "two"},
        entry | {"address": "nowhere"},
        [],
    ]
    for number, value in enumerate(invalid_values):
        await store.put(f"servers/bad{number}", value)
    store.items["servers/bad9"] = {"key": "servers/bad9", "revision": 1, "value": "%%%"}


async def test_invalid_store_entries_are_ignored_with_a_logged_reason():
    async with run_relay(put_invalid_entries) as relay:
        assert sorted(relay.instance.state.servers) == sorted(relay.servers)
        assert relay.log.getvalue().count("entry_ignored") == 7
        await relay.store.put("op/config", b"{broken")
        await relay.store.put("servers/s0-a1", {"service": 7})
        await relay.wait_until(lambda state: "s0-a1" not in state.servers)
        assert relay.instance.state.catalog.version == 3


async def test_list_is_read_in_pages_and_again_after_lost_history():
    async with run_relay(lambda store, _: set_page_size(store, 2)) as relay:
        assert len(relay.instance.state.servers) == 4
        relay.store.mode = "compacted"
        await relay.store.put("servers/ghost", relay.servers["s0-a1"].create_entry())
        del relay.store.items["servers/s1-b1"]
        await relay.wait_until(lambda state: "s1-b1" not in state.servers)
        assert "ghost" in relay.instance.state.servers
        assert "store_history_lost" in relay.log.getvalue()


async def test_a_slowly_arriving_list_is_read_once():
    """When many instances restart, their lists share the store's network link for seconds.

    With a short time limit on the whole answer, an instance would give up such a list and read
    it again, which loads the link further.
    """

    async def congest(store, _servers):
        store.mode = "congested"

    async with run_relay(congest) as relay:
        assert len(relay.instance.state.servers) == 4
        assert relay.store.requested_paths.count("/api/kv-range") == 1
        assert "source_lost" not in relay.log.getvalue()


async def set_page_size(store, size):
    store.page_size = size


@pytest.mark.parametrize("mode", ["busy", "silent"])
async def test_requests_are_served_while_the_store_fails(mode):
    async with run_relay() as relay:
        relay.store.mode = mode
        # The open watch still returns this change; the next call to the store fails.
        await relay.store.put("servers/x", b"")
        await relay.wait_until(lambda state: state.source_lost_us > 0)
        assert relay.instance.state.is_ready()
        assert (await relay.send_request("/search/x")).status == 200
        relay.store.mode = "serve"
        await relay.store.remove("servers/s1-b1")
        await relay.wait_until(lambda state: state.source_lost_us == 0)
        assert "s1-b1" in relay.instance.state.servers
        await relay.wait_until(lambda state: "s1-b1" not in state.servers, seconds=8)


async def test_open_sends_end_when_the_caller_disconnects():
    async def hang(request):
        await asyncio.sleep(5)

    async with run_relay() as relay:
        for server in relay.servers.values():
            server.respond = hang
        request_task = asyncio.create_task(relay.send_request("/order/x"))
        await relay.wait_until(lambda state: state.sends)
        request_task.cancel()
        await relay.wait_until(lambda state: not state.requests and not state.sends, seconds=1)


async def test_an_answer_of_the_store_without_end_is_bounded():
    async with run_relay() as relay:
        relay.store.mode = "endless"
        await relay.store.put("servers/x", b"")
        await relay.wait_until(lambda state: state.source_lost_us > 0)
        relay.store.mode = "serve"
        assert "exceeds" in relay.log.getvalue()
        assert relay.store.endless_bytes < 64 * 1024 * 1024
        assert (await relay.send_request("/search/x")).status == 200
        await relay.wait_until(lambda state: state.source_lost_us == 0)


class StoppingCaller:
    """A caller that keeps one connection open and sends on it during a stop."""

    def __init__(self, relay: RunningRelay, reader, writer) -> None:
        self.relay = relay
        self.reader = reader
        self.writer = writer

    async def send(self, target: str, body_parts: tuple[bytes, ...] = (), pause=0.0) -> int:
        """Send a request, its body in parts with pauses, and return the status."""
        length = sum(map(len, body_parts))
        head = (
            f"POST {target} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: i{target}\r\n"
            f"X-Deadline-Ms: 20000\r\nContent-Length: {length}\r\n\r\n"
        )
        self.writer.write(head.encode())
        for part in body_parts:
            await asyncio.sleep(pause)
            self.writer.write(part)
        answer_head = await self.reader.readuntil(b"\r\n\r\n")
        return int(answer_head.split()[1])


@asynccontextmanager
async def open_stopping_caller(relay: RunningRelay):
    host, _, port = relay.instance.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    yield StoppingCaller(relay, reader, writer)
    writer.close()


# A short stop for these tests; callers are served for the first half of it.
SHORT_STOP = InstanceSettings(
    "n1", "a1", "north", {"a1": "north", "b1": "south"}, drain_us=600_000, stop_us=1_200_000
)


async def allow_long_requests(store, _servers):
    """Let requests last longer than the stop."""
    config = create_config(4, SERVICES)
    for route in config["routes"]:
        route["timeoutMs"] = 20_000
    await store.put("op/config", config)


@pytest.mark.parametrize(
    ("after_s", "body_parts", "statuses"),
    [
        pytest.param(0.0, (), {200}, id="at the begin"),
        pytest.param(0.4, (), {200}, id="within the drain time"),
        pytest.param(0.85, (), {503}, id="too late to be answered"),
        pytest.param(1.0, (b"x" * 100,), {503}, id="near the end"),
        pytest.param(0.5, (b"x" * 100, b"y" * 100, b"z" * 100), {200, 503}, id="body in parts"),
    ],
)
async def test_each_request_during_a_stop_is_answered(after_s, body_parts, statuses):
    """One request hangs, so the stop takes all of its time; the others must be answered."""

    async def respond(request):
        if request.path == "/order/hang":
            await asyncio.sleep(5)
        return web.Response(body=b"done", headers={"X-Response-Seal": "s"})

    async with (
        run_relay(allow_long_requests, settings=SHORT_STOP) as relay,
        AsyncExitStack() as stack,
    ):
        for server in relay.servers.values():
            server.respond = respond
        hanging = await stack.enter_async_context(open_stopping_caller(relay))
        hang_task = asyncio.create_task(hanging.send("/order/hang"))
        await relay.wait_until(lambda state: state.sends)
        caller = await stack.enter_async_context(open_stopping_caller(relay))
        relay.instance.request_stop()

        async def stop_when_drained():
            await relay.instance.wait_until_drained()
            await relay.instance.stop()

        stop_task = asyncio.create_task(stop_when_drained())
        await asyncio.sleep(after_s)
        before = sum(len(server.requests) for server in relay.servers.values())
        status = await caller.send("/order/x", body_parts, pause=0.1)
        after = sum(len(server.requests) for server in relay.servers.values())
        assert status in statuses
        assert (after > before) is (status == 200)
        assert await hang_task == 504
        await stop_task


async def test_a_body_that_arrives_while_the_process_ends_is_answered():
    """The request is not open for the reducer until its body is complete."""
    async with run_relay(settings=SHORT_STOP) as relay, AsyncExitStack() as stack:
        caller = await stack.enter_async_context(open_stopping_caller(relay))
        relay.instance.request_stop()

        async def stop_when_drained():
            await relay.instance.wait_until_drained()
            await relay.instance.stop()

        stop_task = asyncio.create_task(stop_when_drained())
        await asyncio.sleep(0.45)
        status = await caller.send("/order/x", (b"x" * 100,) * 3, pause=0.1)
        assert status in (200, 503)
        await stop_task


@pytest.mark.parametrize("signature", ["seal", None], ids=["signed", "unsigned"])
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize(
    ("target", "is_proven", "expected"),
    [
        pytest.param("/order/x", False, 504, id="write"),
        pytest.param("/order/x", True, 503, id="rejected write"),
        pytest.param("/search/x", False, 504, id="query"),
        pytest.param("/search/x", True, 503, id="rejected query"),
    ],
)
async def test_only_a_proven_rejection_tells_a_caller_that_nothing_has_run(
    target, is_proven, expected, status, signature
):
    """A server's own 503 after a run reached callers, who then booked a second time."""

    async def answer(_request):
        headers = {"X-Not-Executed": "1"} if is_proven else {}
        if signature is not None:
            headers["X-Response-Seal"] = signature
        return web.Response(status=status, headers=headers)

    async with run_relay() as relay:
        for server in relay.servers.values():
            server.respond = answer
        response = await relay.send_request(target, "POST")
        assert response.status == expected
        assert "X-Response-Seal" not in response.headers
        assert ("Retry-After" in response.headers) == is_proven
        if target.startswith("/order") and not is_proven:
            assert sum(len(server.requests) for server in relay.servers.values()) == 1
