"""Tests for the startup of a process while callers already connect.

The imports of the program take a few tenths of a second. If the process listened only after
them, connections of callers would be refused during that time. A caller that has disconnected
by the time the instance accepts its connection must not cause a send.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from contextlib import closing

import pytest

from mimosapost.platform.startup import open_listener
from mimosapost.platform.tests.test_end_to_end import run_relay

REQUEST = (
    b"GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %d\r\nX-Deadline-Ms: 900\r\n\r\n"
)
# Replaces the module that is slow to import by a stub. The stub prints the address of the
# listening socket, the instance's name and whether the slow module aiohttp was loaded by then.
STARTUP_PROBE = """
import sys, types
stub = types.ModuleType("mimosapost.platform.instance_runner")
def run(path, settings, listener):
    print(listener.getsockname()[0], settings.instance_settings.name, "aiohttp" in sys.modules)
stub.run = run
sys.modules[stub.__name__] = stub
from mimosapost.platform.__main__ import main
sys.exit(main())
"""


async def run_startup_probe(settings_path) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        STARTUP_PROBE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"MIMOSAPOST_CONFIG": str(settings_path)},
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


async def test_socket_listens_before_slow_imports(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(
        "nodeName=n1\nzone=a1\nregion=north\nlistenAddrs.front=127.0.0.1:0\n"
        "listenAddrs.readyAddr=127.0.0.1:1\nplatform.address=127.0.0.1:1\n"
    )
    # Settings with port 0 are rejected, so a temporary listener finds a free port below.
    code, _, errors = await run_startup_probe(path)
    assert code == 2
    assert "listenAddrs.front" in errors
    with closing(open_listener("127.0.0.1:0")) as free:
        port = free.getsockname()[1]
    path.write_text(path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{port}"))
    assert await run_startup_probe(path) == (0, "127.0.0.1 n1 False\n", "")


@pytest.mark.parametrize(
    "content",
    [None, b"\xff", b"nodeName=n1\n"],
    ids=["no-file", "not-utf-8", "missing-fields"],
)
async def test_startup_fails_with_unusable_settings(tmp_path, content):
    path = tmp_path / "boot.conf"
    if content is not None:
        path.write_bytes(content)
    code, output, errors = await run_startup_probe(path)
    assert (code, output) == (2, "")
    assert str(path) in errors


async def connect_and_send_request(address, number):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST % (b"/order/x", number))
    await writer.drain()
    return reader, writer


async def test_callers_that_connected_before_startup_are_answered():
    with closing(open_listener("127.0.0.1:0")) as listener:
        host, port = listener.getsockname()
        callers = [
            await connect_and_send_request(f"{host}:{port}", number) for number in range(3)
        ]
        async with run_relay(listener=listener):
            for reader, writer in callers:
                async with asyncio.timeout(5):
                    line = await reader.readline()
                assert line == b"HTTP/1.1 200 OK\r\n"
                writer.close()


async def test_callers_that_disconnected_before_startup_cause_no_send():
    with closing(open_listener("127.0.0.1:0")) as listener:
        host, port = listener.getsockname()
        for number in range(5):
            _, writer = await connect_and_send_request(f"{host}:{port}", number)
            writer.close()
            await writer.wait_closed()
        async with run_relay(listener=listener) as relay:
            assert (await relay.send_request("/order/y")).status == 200
            received_paths = [r.raw_path for s in relay.servers.values() for r in s.requests]
            assert received_paths == ["/order/y"]


async def test_callers_that_disconnected_during_a_process_pause_cause_no_send():
    async with run_relay() as relay:
        host, _, port = relay.instance.caller_address.rpartition(":")
        # There is no await in this loop, so the instance sees all connections and their ends at
        # once, as it does after the process was paused.
        for number in range(5):
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(REQUEST % (b"/order/x", number))
        assert (await relay.send_request("/order/y")).status == 200
        received_paths = [r.raw_path for s in relay.servers.values() for r in s.requests]
        assert received_paths == ["/order/y"]
