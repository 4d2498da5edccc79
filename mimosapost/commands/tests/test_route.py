"""Checks what operators see of a request that a running instance would get."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from aiohttp import web

from mimosapost.commands.entry import main
from mimosapost.commands.tests.test_members import find_free_address
from mimosapost.edge.relay_callers import start_listener
from mimosapost.platform.tests.test_end_to_end import run_relay


@asynccontextmanager
async def run_instance():
    """Run an instance, and yield it and its operators' address."""
    async with AsyncExitStack() as stack:
        relay = await stack.enter_async_context(run_relay())
        server = web.Server(relay.instance._answer_operator, access_log=None)
        yield relay, await start_listener(stack, server, "127.0.0.1:0")


async def run_route(address, *arguments) -> int:
    return await asyncio.to_thread(main, ["route", address, *arguments])


async def test_the_parts_of_a_request_are_shown_one_a_line(capsys):
    async with run_instance() as (relay, address):
        assert await run_route(address, "shop.example", "/search/q") == 0
        lines = capsys.readouterr().out.splitlines()
        assert [line.split()[0] for line in lines] == ["request", "part", "part"]
        assert 'outcome="started"' in lines[0]
        assert 'service="s0"' in lines[1]
        assert 'server="s0-a1"' in lines[1]
        assert "s0-b1@b1:" in lines[1]
        assert not relay.instance.state.sends
        assert not any(server.requests for server in relay.servers.values())


async def test_a_refusal_is_shown_with_its_code(capsys):
    async with run_instance() as (_, address):
        assert await run_route(address, "shop.example", "/none", "--json") == 0
        explanation = json.loads(capsys.readouterr().out)
        assert explanation["outcome"] == "refused"
        assert (explanation["refusal"]["code"], explanation["refusal"]["status"]) == (2003, 404)
        assert await run_route(address, "shop.example", "/none") == 0
        assert capsys.readouterr().out.splitlines()[1].startswith("refusal code=2003 ")


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["shop.example", "search"], "path: expected"),
        (["", "/search/q"], "host is missing"),
        (["shop.example", "/search/q", "--workspace", "w"], "unknown workspace w"),
        (["shop.example", "/search/q", "--deadline-ms", "-1"], "expected 0 or more"),
        (["shop.example", "/search/q", "--fingerprint", "xyz"], "hex digits"),
        (["shop.example", "/search/q", "--method", "G T"], "a method of HTTP"),
    ],
)
async def test_bad_input_is_one_line_of_error(arguments, expected, capsys):
    async with run_instance() as (_, address):
        assert await run_route(address, *arguments) == 2
        output = capsys.readouterr()
        assert output.out == ""
        assert expected in output.err
        assert output.err.count("\n") == 1


@pytest.mark.parametrize(
    ("respond", "expected"),
    [
        pytest.param(None, "cannot read", id="no instance"),
        pytest.param(lambda: web.Response(status=404), "404", id="earlier release"),
        pytest.param(lambda: web.json_response({}), "not an instance", id="other"),
    ],
)
async def test_an_instance_that_cannot_answer_is_an_error(respond, expected, capsys):
    async with AsyncExitStack() as stack:
        address = find_free_address()
        if respond is not None:

            async def handle(_request):
                return respond()

            server = web.Server(handle, access_log=None)
            address = await start_listener(stack, server, address)
        assert await run_route(address, "shop.example", "/search/q") == 2
    output = capsys.readouterr()
    assert (output.out, output.err.count("\n")) == ("", 1)
    assert expected in output.err
