"""Checks what operators see of the members and links of a running instance."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from mimosapost.commands.entry import main
from mimosapost.edge.relay_callers import start_listener
from mimosapost.platform.tests.test_end_to_end import run_relay
from mimosapost.relay.state import InstanceSettings

STATUS = {
    "name": "n1",
    "links": {"outgoing_links": 2},
    "feed": {"revision": 7, "age_ms": 40, "reader": "n3", "followers": ["n2", "n4"]},
    "partners": [{"domain": "b1", "name": "n2", "ready": True}],
    "members": [{"name": "n2", "domain": "b1", "heard_ms": 40}],
}
LINES = [
    'instance name="n1" outgoing_links=2',
    'feed revision=7 age_ms=40 reader="n3" followers="n2,n4"',
    'partner domain="b1" name="n2" ready=true',
    'member name="n2" domain="b1" heard_ms=40',
]


async def run_members(respond) -> int:
    """Run the command against a server and return its exit status."""
    async with AsyncExitStack() as stack:

        async def handle(_request):
            return respond()

        server = web.Server(handle, access_log=None)
        address = await start_listener(stack, server, "127.0.0.1:0")
        return await asyncio.to_thread(main, ["members", address])


async def test_members_and_partners_are_shown(capsys):
    assert await run_members(lambda: web.json_response(STATUS)) == 0
    assert capsys.readouterr().out.splitlines() == LINES


async def test_an_instance_of_an_earlier_release_has_no_feed(capsys):
    status = {key: value for key, value in STATUS.items() if key != "feed"}
    assert await run_members(lambda: web.json_response(status)) == 0
    assert capsys.readouterr().out.splitlines() == [LINES[0], *LINES[2:]]


@pytest.mark.parametrize(
    ("respond", "expected"),
    [
        pytest.param(lambda: web.Response(status=404), "404", id="no status page"),
        pytest.param(lambda: web.Response(body=b"{"), "cannot read", id="cut"),
        pytest.param(lambda: web.json_response([]), "not an instance", id="no object"),
        pytest.param(lambda: web.json_response({"seat": 1}), "not an instance", id="other"),
    ],
)
async def test_an_unusable_status_is_one_line_of_error(respond, expected, capsys):
    assert await run_members(respond) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert expected in output.err
    assert output.err.count("\n") == 1


def find_free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize("has_links", [False, True])
async def test_an_instance_has_a_status_page(has_links):
    peer_address = find_free_address() if has_links else ""
    settings = InstanceSettings("n1", "a1", "north", {"a1": "north"}, peer_address=peer_address)
    async with run_relay(settings=settings) as relay:
        status = relay.instance._describe()
        assert status["name"] == "n1"
        assert status["members"] == status["partners"] == []
        assert bool(status["links"]) == has_links
