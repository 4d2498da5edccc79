"""Guards the start of a process under traffic: callers that connect meanwhile are answered."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from contextlib import closing

import pytest

from mimosapost.platform.startup import open_listener
from mimosapost.platform.tests.test_end_to_end import open_path

REQUEST = (
    b"GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %d\r\nX-Deadline-Ms: 900\r\n\r\n"
)
# Reports the socket that the start opened, and whether slow modules were loaded by then.
PROBE = """
import sys, types
stub = types.ModuleType("mimosapost.platform.instance_runner")
def run(path, settings, listener):
    print(listener.getsockname()[0], settings.place.name, "aiohttp" in sys.modules)
stub.run = run
sys.modules[stub.__name__] = stub
from mimosapost.platform.__main__ import main
sys.exit(main())
"""


async def run_probe(settings_path) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROBE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"MIMOSAPOST_CONFIG": str(settings_path)},
    )
    out, errors = await process.communicate()
    return process.returncode, out.decode(), errors.decode()


async def test_callers_can_connect_before_the_program_is_loaded(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(
        "nodeName=n1\nzone=a1\nregion=north\nlistenAddrs.front=127.0.0.1:0\n"
        "listenAddrs.readyAddr=127.0.0.1:1\nplatform.address=127.0.0.1:1\n"
    )
    # Port 0 is not an address that the platform gives, but lets the system choose a free one.
    code, _, errors = await run_probe(path)
    assert code == 2
    assert "listenAddrs.front" in errors
    with closing(open_listener("127.0.0.1:0")) as free:
        port = free.getsockname()[1]
    path.write_text(path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{port}"))
    assert await run_probe(path) == (0, "127.0.0.1 n1 False\n", "")


@pytest.mark.parametrize("content", [None, b"\xff", b"nodeName=n1\n"])
async def test_settings_that_cannot_be_used_end_the_start(tmp_path, content):
    path = tmp_path / "boot.conf"
    if content is not None:
        path.write_bytes(content)
    code, out, errors = await run_probe(path)
    assert (code, out) == (2, "")
    assert str(path) in errors


async def connect_and_ask(address, number):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST % (b"/order/x", number))
    await writer.drain()
    return reader, writer


async def test_callers_that_connected_before_the_start_are_answered():
    with closing(open_listener("127.0.0.1:0")) as listener:
        host, port = listener.getsockname()
        callers = [await connect_and_ask(f"{host}:{port}", number) for number in range(3)]
        async with open_path(listener=listener):
            for reader, writer in callers:
                async with asyncio.timeout(5):
                    line = await reader.readline()
                assert line == b"HTTP/1.1 200 OK\r\n"
                writer.close()


async def test_a_caller_that_left_before_the_start_costs_no_send():
    with closing(open_listener("127.0.0.1:0")) as listener:
        host, port = listener.getsockname()
        for number in range(5):
            _, writer = await connect_and_ask(f"{host}:{port}", number)
            writer.close()
            await writer.wait_closed()
        async with open_path(listener=listener) as path:
            assert (await path.call("/order/y")).status == 200
            asked = [r.raw_path for s in path.servers.values() for r in s.requests]
            assert asked == ["/order/y"]


async def test_callers_that_left_during_a_pause_of_the_process_cost_no_send():
    async with open_path() as path:
        host, _, port = path.instance.caller_address.rpartition(":")
        # Without an await in between the instance sees it all at once, as after a pause.
        for number in range(5):
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(REQUEST % (b"/order/x", number))
        assert (await path.call("/order/y")).status == 200
        asked = [r.raw_path for s in path.servers.values() for r in s.requests]
        assert asked == ["/order/y"]
