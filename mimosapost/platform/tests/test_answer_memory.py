"""Tests that a process stays within its memory limit while servers send bytes without end.

The limit holds for what the process takes from the system, and not for the bytes on the wire: a
small piece of an answer takes many times its size as an object of its own.
"""

from __future__ import annotations

import asyncio
import random
import re
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
import pytest

from mimosapost.platform.tests.soak import PLACES, Process
from mimosapost.platform.tests.standins import StandinServer, StandinStore, create_config

MEMORY_MB = 240
# Requests that are open at the faulty servers at once. Their answers take far more than the
# limit together, and a head takes much less than a body.
OPEN_REQUESTS = 60
OPEN_REQUESTS_WITHOUT_BODY = 300
DEADLINE_MS = 8_000
SAMPLE_SECONDS = 8.0
HEAD = b"HTTP/1.1 200 X\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 64 * 1024


async def start_endless_server(stack: AsyncExitStack, start: bytes, block: bytes, most: int):
    """Start a server that repeats a block after the start of an answer.

    :param most: number of bytes after which it falls silent.
    :returns: address of the server.
    """

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            sent = 0
            while sent < most:
                writer.write(block)
                await writer.drain()
                sent += len(block)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    stack.callback(listener.close)
    return f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"


def read_peak_mb(process: Process) -> float:
    """Return the greatest resident size that a process has had, in MB."""
    status = Path(f"/proc/{process.handle.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


async def start_process(stack: AsyncExitStack, directory: Path, store: str) -> Process:
    """Start an instance with a memory limit and wait until it is ready."""
    host = f"127.41.{random.randint(1, 250)}.1"
    settings = f"limits.memoryMb={MEMORY_MB}\n"
    process = Process(0, directory, store, host, PLACES, settings)
    await process.start()
    stack.push_async_callback(process.kill)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    async with asyncio.timeout(20):
        while True:
            try:
                async with session.get(f"http://{host}:8108/") as response:
                    if response.status == 200:
                        return process
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


def create_routes() -> dict:
    """Return a configuration with a route to faulty servers and one to a sound server."""
    config = create_config(3, ["faulty"])
    config["services"] = [{"name": name, "maxConns": 4_000} for name in ("faulty", "sound")]
    order = config["routes"][1] | {"timeoutMs": DEADLINE_MS}
    config["routes"] = [
        order,
        order | {"name": "r-sound", "pathPrefix": "/sound/", "service": "sound"},
    ]
    return config


async def ask(session, process: Process, path: str, request_id: str) -> int:
    """Send a request as a caller and return its status."""
    headers = {"Host": "shop.example", "X-Request-Id": request_id}
    headers["X-Deadline-Ms"] = str(DEADLINE_MS)
    async with session.post(
        f"http://{process.caller_address}{path}", headers=headers, data=b"x"
    ) as response:
        return response.status


@pytest.mark.parametrize(
    ("start", "block", "most", "count"),
    [
        pytest.param(
            CHUNKED, b"2\r\nbb\r\n" * (BLOCK // 7), 2**40, OPEN_REQUESTS, id="chunks_of_2_bytes"
        ),
        pytest.param(
            CHUNKED,
            b"3\r\nbbb\r\n" * (BLOCK // 8),
            2**40,
            OPEN_REQUESTS,
            id="chunks_of_3_bytes",
        ),
        pytest.param(
            CHUNKED,
            b"40\r\n%b\r\n" % (b"b" * 64) * (BLOCK // 70),
            2**40,
            OPEN_REQUESTS,
            id="chunks_of_64_bytes",
        ),
        pytest.param(
            HEAD + b"\r\n", b"b" * BLOCK, 2**40, OPEN_REQUESTS, id="body_without_length"
        ),
        pytest.param(
            HEAD,
            b"ab:\r\n" * 1_000,
            60_000,
            OPEN_REQUESTS_WITHOUT_BODY,
            id="silent_after_many_header_fields",
        ),
    ],
)
async def test_bytes_without_end_stay_within_the_memory_limit(
    tmp_path, start, block, most, count
):
    """A process above its limit is killed, and with it the requests of all other callers."""
    async with AsyncExitStack() as stack:
        store = StandinStore()
        store_address = await store.start(stack)
        for number in range(3):
            address = await start_endless_server(stack, start, block, most)
            faulty = StandinServer(f"faulty-{number}", "faulty", "a1")
            entry = faulty.create_entry(address=address, slots=count)
            await store.put(f"servers/{faulty.server_id}", entry)
        sound = StandinServer("sound-0", "sound", "a1")
        await sound.start(stack)
        await store.put("servers/sound-0", sound.create_entry(slots=8))
        await store.put("op/config", create_routes())
        process = await start_process(stack, tmp_path, store_address)
        connector = aiohttp.TCPConnector(limit=0)
        session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
        tasks = [
            asyncio.create_task(ask(session, process, "/order/x", f"f{number}"))
            for number in range(count)
        ]
        statuses = []
        loop = asyncio.get_running_loop()
        until = loop.time() + SAMPLE_SECONDS
        while loop.time() < until and not all(task.done() for task in tasks):
            statuses.append(await ask(session, process, "/sound/x", f"s{len(statuses)}"))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        assert process.handle.returncode is None
        assert set(statuses) == {200}
        assert [task.result() for task in tasks] == [504] * count
        assert read_peak_mb(process) < MEMORY_MB
