"""Tests of what is closed when callers hold too much, and of the pace of callers that read."""

from __future__ import annotations

import asyncio
import io
import socket
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from mimosapost.edge import caller_connections
from mimosapost.edge.caller_memory import Activity, CallerMemory, Holding
from mimosapost.edge.caller_server import CallerServer
from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.limited_logs import LimitedLogs
from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import Metrics
from mimosapost.edge.relay_callers import RelayCallerServer
from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.model.codes import ResultCode
from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.relay.catalog import CallerLimits
from mimosapost.relay.effects import SendReply
from mimosapost.relay.events import RequestArrived
from mimosapost.relay.messages import ForwardedReply, ServerAnswer

WAITS, READS, SERVED = Activity
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
# More than the kernel keeps for a connection.
LONG_BODY = b"b" * 8_000_000
KEPT_LOG = 20


class FakeConnection:
    """Connection that holds memory and notes that it was closed."""

    def __init__(self, activity=WAITS, since=0.0, answered=0):
        self.held_bytes = 0
        self.activity, self.since, self.answered = activity, since, answered
        self.is_closed = False

    def describe_holding(self):
        return Holding(self.held_bytes, self.since, self.activity, self.answered)

    def abort(self):
        self.is_closed = True


def create_memory(reasons=None, **bounds):
    """Return an account at second 10, with bounds of 100 bytes and ten connections."""
    bounds = {"process_bytes": 100, "connection_bytes": 80, "connections": 10} | bounds
    log = [] if reasons is None else reasons
    return CallerMemory(CallerBounds(**bounds), Logs(io.StringIO()), log.append, lambda: 10.0)


@pytest.mark.parametrize(
    ("held", "closed"),
    [
        pytest.param([(WAITS, 0, 40), (WAITS, 9, 45)], [], id="within"),
        pytest.param([(WAITS, 0, 40), (WAITS, 9, 55)], [0], id="most_for_longest"),
        pytest.param([(WAITS, 9, 5), (READS, 0, 45), (WAITS, 9, 45)], [2], id="readers_later"),
        pytest.param([(READS, 0, 45), (READS, 9, 50)], [0], id="readers_next"),
        pytest.param([(SERVED, 0, 45), (SERVED, 9, 50)], [], id="served_within"),
        pytest.param([(SERVED, 0, 45), (SERVED, 9, 60)], [0], id="served_above"),
        pytest.param([(WAITS, 0, 10), (WAITS, 9, 81)], [1], id="one_holds_too_much"),
    ],
)
def test_who_holds_most_for_longest_is_closed_first(held, closed):
    memory = create_memory()
    connections = [FakeConnection(activity, since) for activity, since, _ in held]
    for connection, (_, _, size) in zip(connections, held, strict=True):
        memory.add(connection)
        memory.charge(connection, size)
    assert [n for n, each in enumerate(connections) if each.is_closed] == closed
    assert memory.held_bytes == sum(each.held_bytes for each in connections)
    assert memory.is_short() is (memory.held_bytes > 90)


def test_memory_is_freed_when_what_was_served_is_not_read():
    """New requests were refused for as long as nothing grew."""
    now = [10.0]
    memory = CallerMemory(
        CallerBounds(process_bytes=100), Logs(io.StringIO()), lambda _: None, lambda: now[0]
    )
    connections = [FakeConnection(SERVED), FakeConnection(SERVED)]
    for connection in connections:
        memory.add(connection)
        memory.charge(connection, 48)
    assert memory.is_short()
    connections[0].activity = WAITS
    now[0] += 1.0
    assert not memory.is_short()
    assert [each.is_closed for each in connections] == [True, False]


def test_silent_connections_make_room_for_new_ones():
    reasons = []
    memory = create_memory(reasons, connections=4)
    kept = FakeConnection(answered=3)
    served = FakeConnection(SERVED)
    silent = [FakeConnection(since=float(number)) for number in range(6)]
    for connection in (kept, served, *silent):
        memory.add(connection)
    assert [each.is_closed for each in (kept, served)] == [False, False]
    assert [each.is_closed for each in silent] == [True] * 4 + [False] * 2
    assert reasons == ["connections"] * 4


def test_a_flood_of_events_writes_few_lines():
    output, now = io.StringIO(), [0.0]
    logs = LimitedLogs(Logs(output), lambda: now[0])
    for _ in range(10_000):
        logs.write("request_malformed", {"status": 431})
    assert output.getvalue().count("\n") == KEPT_LOG
    now[0] = 60.0
    logs.write("request_malformed", {"status": 431})
    assert f"left_out={10_000 - KEPT_LOG}" in output.getvalue()


@asynccontextmanager
async def run_server(bounds: CallerBounds, body: bytes = b"done", together: int = 1):
    """Serve callers, each with the same answer; yields the address and closing reasons.

    :param together: number of requests that are answered in one round of the event loop.
    """
    reasons, logs = [], Logs(io.StringIO())
    loop = asyncio.get_running_loop()
    memory = CallerMemory(bounds, logs, reasons.append, loop.time)
    reply = ForwardedReply(ResultCode.COMPLETE, ServerAnswer(200, (), body))

    waiting = []

    def handle(event):
        if isinstance(event, RequestArrived):
            waiting.append(event.request.request_number)
        if len(waiting) == together:
            for number in waiting:
                loop.call_soon(server.send_reply, SendReply(number, reply))
            waiting.clear()

    server = RelayCallerServer(
        "127.0.0.1:0",
        PlatformCodec(),
        handle,
        read_clock_us,
        CallerLimits,
        lambda: False,
        logs,
        memory,
    )
    async with server:
        host, _, port = server.address.rpartition(":")
        yield (host, int(port)), memory, reasons


@pytest.mark.parametrize(
    ("pause", "is_served"),
    [pytest.param(0.005, True, id="slow"), pytest.param(None, False, id="never")],
)
async def test_only_a_caller_that_reads_nothing_is_closed(monkeypatch, pause, is_served):
    """An answer that a caller reads slowly takes longer than the timeout and is delivered."""
    monkeypatch.setattr(caller_connections, "_CHECK_SECONDS", 0.02)
    bounds = CallerBounds(read_timeout_us=400_000)
    async with (
        run_server(bounds, LONG_BODY) as (address, memory, reasons),
        AsyncExitStack() as stack,
    ):
        connection = stack.enter_context(socket.socket())
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, address)
        await loop.sock_sendall(connection, REQUEST + b"\r\n")
        received = 0
        if is_served:
            while received < len(LONG_BODY):
                received += len(await loop.sock_recv(connection, 64 * 1024))
                await asyncio.sleep(pause)
        else:
            async with asyncio.timeout(5):
                while not reasons:
                    await asyncio.sleep(0.02)
        assert reasons == ([] if is_served else ["answer_not_read"])
    assert memory.held_bytes == 0


async def test_answers_that_are_ready_together_are_delivered():
    """Below the bound, callers lost answers that they had no time to begin to read."""
    count, body = 10, LONG_BODY[:200_000]
    bounds = CallerBounds(process_bytes=count * len(body) * 105 // 100)
    async with (
        run_server(bounds, body, together=count) as (address, memory, reasons),
        AsyncExitStack() as stack,
    ):
        readers = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection(*address)
            stack.callback(writer.close)
            writer.write(REQUEST + b"\r\n")
            readers.append(reader)
        async with asyncio.timeout(5):
            for reader in readers:
                await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(len(body)) == body
        await asyncio.sleep(0.01)
        assert (memory.held_bytes, reasons) == (0, [])


@pytest.mark.parametrize(
    ("data", "answers"),
    [
        pytest.param(REQUEST + b"a:\r\n" * 6_000 + b"\r\n", 1, id="many_lines_within"),
        pytest.param((REQUEST + b"a:\r\n" * 50 + b"\r\n") * 30, 30, id="pipelined"),
        pytest.param(
            REQUEST + b"Content-Length: 90000\r\n\r\n" + b"\r\n\r\n" * 22_500, 1, id="body"
        ),
        pytest.param(
            REQUEST
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"4\r\n\r\n\r\n\r\n" * 9_000
            + b"0\r\nt: x\r\n\r\n"
            + REQUEST
            + b"\r\n",
            2,
            id="chunks_trailers_and_another",
        ),
    ],
)
@pytest.mark.parametrize("piece", [7, 1_000, 10**6])
async def test_requests_within_the_limits_are_served(data, answers, piece):
    """Heads and bodies are found wherever the network splits them, and all memory is freed."""
    async with run_server(CallerBounds()) as (address, memory, reasons):
        reader, writer = await asyncio.open_connection(*address)
        for start in range(0, len(data), piece):
            writer.write(data[start : start + piece])
            if start % (50 * piece) == 0:
                await asyncio.sleep(0)
        async with asyncio.timeout(20):
            for _ in range(answers):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                await reader.readexactly(4)
        await asyncio.sleep(0.01)
        assert (memory.held_bytes, reasons) == (0, [])
        writer.close()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        pytest.param(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 60, "memory", id="heads"),
        pytest.param(b"", "connections", id="silent"),
    ],
)
async def test_callers_of_queries_are_bounded_too(data, reason):
    """A hundred connections that wait for nothing don't keep others out."""
    metrics, logs = Metrics(), Logs(io.StringIO())
    bounds = CallerBounds(process_bytes=1_000_000, connections=80)
    async with AsyncExitStack() as stack:
        server = await stack.enter_async_context(
            CallerServer(
                lambda _: None,
                read_clock_us,
                lambda _: None,
                lambda _: None,
                bounds=bounds,
                metrics=metrics,
                logs=logs,
            )
        )
        host, _, port = server.address.rpartition(":")
        for _ in range(100):
            _, writer = await asyncio.open_connection(host, int(port))
            stack.callback(writer.close)
            writer.write(data)
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.close)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(5):
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    assert metrics.get_count("mimosapost_relay_callers_closed_total", reason=reason) > 0
