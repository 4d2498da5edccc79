"""Tests that a process outlives callers that send and read outside the published limits.

Each test starts one process with a small memory and few descriptors in its settings, opens a
crowd of connections of one kind, and keeps them open. The process must live, stay within its
settings and answer an ordinary caller meanwhile and afterwards.
"""

from __future__ import annotations

import asyncio
import random
import re
import socket
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from mimosapost.platform.settings import METRICS_PORT
from mimosapost.platform.tests.soak import PLACES, Process
from mimosapost.platform.tests.standins import StandinServer, StandinStore, create_config

# Settings of the machine, which are the bounds of the tests.
MEMORY_MB = 160
MAX_DESCRIPTORS = 500
# The crowd stays for this time after its last byte.
HOLD_SECONDS = 1.5
# Longest time for the crowd to connect and send, and for an ordinary caller to be answered.
WAIT_SECONDS = 20.0
DEADLINE_MS = 10_000
LONG_ANSWER = b"b" * 4_000_000
# Receive buffer of a caller that reads slowly or never, in bytes.
RECEIVE_BUFFER = 16 * 1024

HEAD = b"POST /order/%b HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n"
HEAD += b"X-Deadline-Ms: %d\r\n" % DEADLINE_MS
PLAIN = HEAD % b"x"
CHUNKED = PLAIN + b"Transfer-Encoding: chunked\r\n\r\n"
COMPLETE = b"Content-Length: 0\r\n\r\n"
BODY_COMES_NOT = b"Content-Length: 100\r\n\r\n"
ONE_BYTE_CHUNKS = b"1\r\nb\r\n" * 4_000


@dataclass(frozen=True)
class Crowd:
    """Connections of one kind.

    :ivar count: number of connections.
    :ivar data: bytes that each connection sends.
    :ivar repeats: how often it sends them.
    :ivar piece: number of bytes that it sends at once; 0 for all.
    :ivar pause: time in seconds between two pieces, and between two reads.
    :ivar read_bytes: number of bytes that it reads at once; 0 if it reads nothing.
    :ivar interval: time in seconds between the starts of two connections.
    :ivar is_reset: whether all connections are reset as soon as everything is sent.
    """

    count: int
    data: bytes = b""
    repeats: int = 1
    piece: int = 0
    pause: float = 0.0
    read_bytes: int = 0
    interval: float = 0.0
    is_reset: bool = False


def create_lines(line: bytes, size: int) -> bytes:
    """Return copies of a line with a total size near ``size`` bytes."""
    return line * (size // len(line))


# Heads of legal size for the limit of 8,192 bytes, and without end below twice that limit.
SHORT_LINES = create_lines(b"a:\r\n", 6_000)
CROWDS = {
    "short_lines_body_comes_not": Crowd(400, PLAIN + SHORT_LINES + BODY_COMES_NOT),
    "short_lines_without_end": Crowd(300, PLAIN + create_lines(b"a:\r\n", 15_600)),
    "distinct_names_without_end": Crowd(
        300, PLAIN + b"".join(b"%x:\r\n" % number for number in range(2_300))
    ),
    "lines_without_colon": Crowd(300, PLAIN + create_lines(b"a\r\n", 15_600)),
    "control_bytes": Crowd(300, PLAIN + create_lines(b"\x01\x02:\x03\r\n", 15_600)),
    "spaces_before_colon": Crowd(300, PLAIN + create_lines(b"a :\r\n", 15_600)),
    "empty_names": Crowd(300, PLAIN + create_lines(b":\r\n", 15_600)),
    "head_above_the_limit": Crowd(40, PLAIN + create_lines(b"a:\r\n", 400_000)),
    "byte_by_byte": Crowd(60, PLAIN + SHORT_LINES, piece=1, pause=0.002),
    "empty_lines_before": Crowd(40, b"\r\n" * 100_000),
    "empty_lines_between": Crowd(40, (PLAIN + COMPLETE + b"\r\n" * 7_000), repeats=20),
    "chunk_extensions": Crowd(
        100, CHUNKED + ONE_BYTE_CHUNKS + b"1;" + b"a;" * 60_000, piece=32_768
    ),
    "trailers": Crowd(
        150, CHUNKED + ONE_BYTE_CHUNKS + b"0\r\n" + create_lines(b"a:\r\n", 39_000)
    ),
    "bodies_come_not": Crowd(400, PLAIN + b"Content-Length: 4096\r\n\r\n" + b"b" * 4_095),
    "pipelined": Crowd(60, HEAD % b"slow" + SHORT_LINES + COMPLETE, repeats=40),
    "long_answers_read_never": Crowd(60, HEAD % b"long" + COMPLETE, interval=0.02),
    "long_answers_read_slowly": Crowd(
        60, HEAD % b"long" + COMPLETE, pause=0.05, read_bytes=4_096, interval=0.02
    ),
    "silent": Crowd(700),
    "many_end_at_once": Crowd(600, HEAD % b"slow" + SHORT_LINES + COMPLETE, is_reset=True),
}
# Kinds that are sent to the other ports of the process too.
OTHER_PORT_KINDS = ("short_lines_without_end", "silent")


async def respond(request: web.BaseRequest) -> web.Response | None:
    """Answer late, with many bytes, or as usual."""
    if request.path == "/order/slow":
        await asyncio.sleep(0.5)
    if request.path == "/order/long":
        return web.Response(body=LONG_ANSWER, headers={"X-Response-Seal": "s"})
    return None


@dataclass
class Target:
    """A process under test."""

    process: Process
    session: aiohttp.ClientSession
    max_descriptors: int = 0
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)

    async def ask(self) -> int:
        """Send an ordinary request on a new connection and return its status."""
        headers = {"Host": "shop.example", "X-Request-Id": "ordinary"}
        headers["X-Deadline-Ms"] = str(DEADLINE_MS)
        url = f"http://{self.process.caller_address}/order/x"
        async with (
            asyncio.timeout(WAIT_SECONDS),
            self.session.get(url, headers=headers) as response,
        ):
            await response.read()
            return response.status

    async def watch_descriptors(self) -> None:
        """Note the greatest number of open descriptors until cancelled."""
        directory = Path(f"/proc/{self.process.handle.pid}/fd")
        while True:
            count = len(list(directory.iterdir()))
            self.max_descriptors = max(self.max_descriptors, count)
            await asyncio.sleep(0.05)

    def read_peak_mb(self) -> float:
        """Return the greatest resident size that the process has had, in MB."""
        status = Path(f"/proc/{self.process.handle.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


async def start_target(stack: AsyncExitStack, directory: Path) -> Target:
    """Start a process between stand-ins and wait until it answers."""
    store = StandinStore()
    store_address = await store.start(stack)
    config = create_config(3, ["s0"])
    config["services"] = [{"name": "s0", "maxConns": 1_000}]
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    await store.put("op/config", config)
    for number in range(3):
        server = StandinServer(f"s0-{number}", "s0", "a1")
        server.respond = respond
        await server.start(stack)
        await store.put(f"servers/{server.server_id}", server.create_entry(slots=100))
    host = f"127.42.{random.randint(1, 250)}.1"
    settings = f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_DESCRIPTORS}\n"
    process = Process(0, directory, store_address, host, PLACES, settings)
    await process.start()
    stack.push_async_callback(process.kill)
    connector = aiohttp.TCPConnector(force_close=True)
    session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
    target = Target(process, session)
    target.addresses = {"callers": (host, 8104), "ready": (host, 8108)}
    target.addresses["operators"] = (host, METRICS_PORT)
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            try:
                if await target.ask() == 200:
                    return target
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


async def send_data(crowd: Crowd, connection: socket.socket, address, delay: float) -> None:
    """Send the data of one connection after a delay, until the process closes it."""
    loop = asyncio.get_running_loop()
    size = crowd.piece or len(crowd.data) or 1
    await asyncio.sleep(delay)
    try:
        await loop.sock_connect(connection, address)
        for _ in range(crowd.repeats):
            for start in range(0, len(crowd.data), size):
                await loop.sock_sendall(connection, crowd.data[start : start + size])
                await asyncio.sleep(crowd.pause)
    except OSError:
        return


async def read_slowly(crowd: Crowd, connection: socket.socket) -> None:
    """Read small pieces until the connection ends."""
    loop = asyncio.get_running_loop()
    try:
        while await loop.sock_recv(connection, crowd.read_bytes):
            await asyncio.sleep(crowd.pause)
    except OSError:
        return


async def cancel_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def play_crowd(stack: AsyncExitStack, crowd: Crowd, address) -> None:
    """Open the connections of a crowd, send its data, and hold them until the stack closes."""
    connections = []
    for _ in range(crowd.count):
        connection = stack.enter_context(socket.socket())
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        connections.append(connection)
    sends = [
        asyncio.create_task(send_data(crowd, connection, address, number * crowd.interval))
        for number, connection in enumerate(connections)
    ]
    # A process that stops reading leaves the rest of the data unsent.
    _, pending = await asyncio.wait(sends, timeout=HOLD_SECONDS)
    reads = []
    if crowd.read_bytes:
        reads = [asyncio.create_task(read_slowly(crowd, each)) for each in connections]
    if crowd.is_reset:
        for connection in connections:
            linger = (1).to_bytes(4, "little") + bytes(4)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()
    stack.push_async_callback(cancel_tasks, [*pending, *reads])
    await asyncio.sleep(HOLD_SECONDS)


@pytest.mark.parametrize(
    ("port", "kind"),
    [
        *(("callers", kind) for kind in CROWDS),
        *((port, kind) for port in ("ready", "operators") for kind in OTHER_PORT_KINDS),
    ],
)
async def test_a_process_outlives_hostile_callers(tmp_path, port, kind):
    """Such callers ended a process, and with it the requests of all others."""
    async with AsyncExitStack() as stack:
        target = await start_target(stack, tmp_path)
        watch = asyncio.create_task(target.watch_descriptors())
        stack.callback(watch.cancel)
        async with AsyncExitStack() as crowd_stack:
            await play_crowd(crowd_stack, CROWDS[kind], target.addresses[port])
            assert target.process.handle.returncode is None
            status_meanwhile = await target.ask()
        status_afterwards = await target.ask()
        assert target.process.handle.returncode is None
        figures = (target.read_peak_mb(), target.max_descriptors)
        print(f"peak {figures[0]:.0f} MB, {figures[1]} descriptors")
        assert (status_meanwhile, status_afterwards) == (200, 200)
        assert figures[0] < MEMORY_MB
        assert figures[1] < MAX_DESCRIPTORS
