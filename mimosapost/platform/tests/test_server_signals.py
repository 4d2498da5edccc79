"""Checks what servers ask for in the headers of their answers, from the bytes to the log."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.platform.tests.test_end_to_end import run_relay

CODEC = PlatformCodec()
LEAVING = (b"server-leaving", b"1")


def add_headers(server, headers, status=200):
    """Let a server answer with a status and further headers."""

    async def respond(request):
        seal = f"{server.server_id}.{request.headers['X-Request-Id']}"
        record = server.server_id.encode().ljust(16, b".")
        return web.Response(
            status=status, body=record, headers={"X-Response-Seal": seal} | headers
        )

    server.respond = respond


def add_rejections(server, pause, times, loop):
    """Let a server reject all requests, ask for a pause, and note when they arrive."""

    async def respond(_request):
        times.append(loop.time())
        return web.Response(status=503, headers={"X-Not-Executed": "1", "Retry-After": pause})

    server.respond = respond


@pytest.mark.parametrize(
    ("headers", "leaving", "malformed"),
    [
        pytest.param([], False, (), id="none"),
        pytest.param([LEAVING], True, (), id="leaving"),
        pytest.param([(b"server-leaving", b" 1 ")], True, (), id="spaces"),
        pytest.param([LEAVING, LEAVING], True, (), id="twice the same"),
        *(
            pytest.param(
                [(b"server-leaving", value)], False, ("server-leaving",), id=repr(value)
            )
            for value in (
                b"",
                b"0",
                b"2",
                b"-1",
                b"1.0",
                b"11",
                b"true",
                b"yes",
                b"1,1",
                b"\xb9",
            )
        ),
        pytest.param(
            [LEAVING, (b"server-leaving", b"0")], False, ("server-leaving",), id="both"
        ),
        pytest.param(
            [LEAVING, (b"server-limit", b"many")], True, ("server-limit",), id="other header"
        ),
    ],
)
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_only_the_stated_value_shows_that_a_server_leaves(status, headers, leaving, malformed):
    answer, _ = CODEC.decode_answer(status, headers, b"")
    assert (answer.leaving, answer.malformed_headers) == (leaving, malformed)


async def test_the_log_tells_when_a_server_first_said_that_it_leaves():
    async with run_relay() as relay:
        for server in relay.servers.values():
            add_headers(server, {"Server-Leaving": "1"})
        assert (await relay.send_request("/order/x")).status == 200
        (line,) = [line for line in relay.log.getvalue().splitlines() if "leaving" in line]
        for field in ('event="server_leaving"', 'request="id/order/x"', "draining=false"):
            assert field in line


@pytest.mark.parametrize("status", [200, 404, 500])
async def test_a_server_that_leaves_gets_no_requests_while_the_store_is_away(status):
    async with run_relay() as relay:
        relay.store.mode = "busy"
        server = relay.servers["s0-a1"]
        add_headers(server, {"Server-Leaving": "1"}, status)
        assert (await relay.send_request("/order/x")).status == status
        count = len(server.requests)
        for number in range(5):
            assert (await relay.send_request(f"/order/{number}")).status == 200
            assert (await relay.send_request(f"/search/{number}")).status == 200
        assert len(server.requests) == count
        assert len(relay.servers["s0-b1"].requests) >= 10


async def test_callers_are_refused_at_once_if_all_servers_leave():
    async with run_relay() as relay:
        for name in ("s0-a1", "s0-b1"):
            add_headers(relay.servers[name], {"Server-Leaving": "1"})
        for _ in range(2):
            assert (await relay.send_request("/order/x")).status == 200
        response = await relay.send_request("/order/y")
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        assert (await relay.send_request("/search/y")).headers["X-Missing-Parts"] == "1"


@pytest.mark.parametrize(
    ("values", "pause_us"),
    [
        pytest.param([b"5"], 5_000_000, id="seconds"),
        pytest.param([b" 0.25 "], 250_000, id="fraction"),
        pytest.param([b"300"], 300_000_000, id="longest"),
        *(
            pytest.param([value], 0, id=repr(value))
            for value in (
                b"",
                b"0",
                b"0.0",
                b"-1",
                b"+1",
                b"300.1",
                b"1e3",
                b"nan",
                b"inf",
                b"1,2",
                b"9" * 400,
                b"soon",
                b"Wed, 21 Oct 2026 07:28:00 GMT",
            )
        ),
        pytest.param([b"5", b"5"], 0, id="twice the same"),
        pytest.param([b"5", b"6"], 0, id="two values"),
    ],
)
def test_a_pause_is_a_number_of_seconds(values, pause_us):
    headers = [(b"retry-after", value) for value in values]
    answer, _ = CODEC.decode_answer(503, headers, b"")
    assert answer.pause_us == pause_us
    assert answer.malformed_headers == (() if pause_us else ("retry-after",))


@pytest.mark.parametrize("status", [200, 301, 404, 421, 429, 500, 504])
def test_only_status_503_names_a_pause(status):
    answer, _ = CODEC.decode_answer(status, [(b"retry-after", b"5")], b"")
    assert (answer.pause_us, answer.malformed_headers) == (0, ())


async def test_servers_that_ask_for_a_pause_get_no_requests_before_its_end():
    async with run_relay() as relay:
        loop = asyncio.get_running_loop()
        arrivals = {}
        for name in ("s0-a1", "s0-b1"):
            add_rejections(relay.servers[name], "1.5", arrivals.setdefault(name, []), loop)
        tasks, end_time = [], loop.time() + 1.2
        while loop.time() < end_time:
            tasks.append(asyncio.create_task(relay.send_request(f"/order/{len(tasks)}")))
            await asyncio.sleep(0.02)
        for name in arrivals:
            relay.servers[name].respond = lambda _request: None
        statuses = {response.status for response in await asyncio.gather(*tasks)}
        assert statuses == {503}
        for times in arrivals.values():
            assert times
            # The users' rule: from half a second after the answer to the end of the pause.
            assert sum(times[0] + 0.5 < time < times[0] + 1.5 for time in times) <= 2
        await asyncio.sleep(0.5)
        assert (await relay.send_request("/order/x")).status == 200


@pytest.mark.parametrize("value", ["0", "-1", "soon", "99999"])
async def test_a_malformed_pause_is_ignored_and_logged(value):
    async with run_relay() as relay:
        loop = asyncio.get_running_loop()
        for name in ("s0-a1", "s0-b1"):
            add_rejections(relay.servers[name], value, [], loop)
        assert (await relay.send_request("/order/x")).status == 503
        for name in ("s0-a1", "s0-b1"):
            relay.servers[name].respond = lambda _request: None
        assert (await relay.send_request("/order/y")).status == 200
        assert 'event="answer_header_malformed"' in relay.log.getvalue()
