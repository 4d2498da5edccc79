"""Tests that each answer of a server reaches the request that it belongs to, or none."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial

import pytest

from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.logs import Logs
from mimosapost.edge.relay_connections import ServerConnections
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.relay.effects import AbandonSend, ForgetServer, ProbeServer, StartSend
from mimosapost.relay.events import AnswerArrived, ExchangeFailed, ProbeOutcome
from mimosapost.relay.messages import BackendServer

CODEC = PlatformCodec()


def create_answer(
    request_id: str, body: bytes = b"b" * 16, more_headers: str = "", status=200
) -> bytes:
    """Return the bytes of an answer with a ``Content-Length`` header."""
    head = (
        f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: s-{request_id}"
        f"\r\n{more_headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Exchange:
    """Connections to one scripted server, and the events that they report."""

    def __init__(self, connections: ServerConnections, events: asyncio.Queue, address: str):
        self.connections = connections
        self.events = events
        self.server = BackendServer("i-1", "one", address, "a1", 2)

    def start(self, send_id: int, body: bytes = b"", request_id: str = "") -> None:
        """Start a send whose request id is ``r<send_id>`` unless another one is given."""
        name = (request_id or f"r{send_id}").encode()
        headers = [(b"Host", b"h"), (b"X-Request-Id", name)]
        if body:
            headers.append((b"Content-Length", b"%d" % len(body)))
        now_us = read_clock_us()
        request = CODEC.decode_request(
            send_id, "POST" if body else "GET", "/x", headers, body, now_us
        )
        deadline_us = now_us + 2_000_000
        send = StartSend(send_id, self.server, request, deadline_us, deadline_us, not body)
        self.connections.start_send(send)

    async def next_event(self):
        """Return the next event."""
        return await asyncio.wait_for(self.events.get(), 3)


@asynccontextmanager
async def open_exchange(script):
    """Run a server whose connections are handled by a script.

    :param script: coroutine function of reader, writer and number of the connection.
    """
    numbers = itertools.count()

    async def serve(reader, writer):
        try:
            await script(reader, writer, next(numbers))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    events: asyncio.Queue = asyncio.Queue()
    async with ServerConnections(
        events.put_nowait, read_clock_us, CODEC, Logs()
    ) as connections:
        yield Exchange(connections, events, f"127.0.0.1:{port}")
    listener.close()


async def read_head(reader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def answer_twice(reader, writer, number):
    await read_head(reader)
    writer.write(create_answer("r1", b"a" * 16) + create_answer("r0", b"z" * 16, status=500))
    await read_head(reader)


async def test_a_second_answer_in_the_same_bytes_does_not_change_the_first():
    """The parser reports headers of both answers from the same bytes."""
    async with open_exchange(answer_twice) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert isinstance(event, AnswerArrived)
        assert (event.answer.status, event.answer.signature) == (200, "s-r1")
        assert event.answer.body == b"a" * 16


@pytest.mark.parametrize(
    ("changes", "is_moved", "expected"),
    [
        pytest.param({}, False, ("first", 0), id="same process"),
        pytest.param({"slots": 9, "draining": True}, False, ("first", 0), id="changed entry"),
        pytest.param({"process_started_ms": 8}, False, ("first", 1), id="new process"),
        pytest.param({}, True, ("second", 0), id="another address"),
    ],
)
async def test_a_request_to_a_new_process_takes_no_connection_to_the_earlier_one(
    changes, is_moved, expected
):
    """A connection with an open exchange outlives the removal of its server."""
    may_answer = asyncio.Event()
    used = []

    async def answer_late(name, reader, writer, number):
        while True:
            head = await read_head(reader)
            used.append((name, number))
            await may_answer.wait()
            own = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
            writer.write(create_answer(own))

    async with (
        open_exchange(partial(answer_late, "first")) as exchange,
        open_exchange(partial(answer_late, "second")) as other,
    ):
        exchange.start(1)
        while not used:
            await asyncio.sleep(0.01)
        exchange.connections.forget_server(ForgetServer("i-1"))
        may_answer.set()
        assert isinstance(await exchange.next_event(), AnswerArrived)
        if is_moved:
            changes = changes | {"address": other.server.address}
        exchange.server = replace(exchange.server, **changes)
        exchange.start(2)
        assert isinstance(await exchange.next_event(), AnswerArrived)
        assert used == [("first", 0), expected]


async def answer_with_earlier_id(reader, writer, number):
    for _ in range(2):
        head = await read_head(reader)
        own = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        if own == "r2" and number == 0:
            writer.write(create_answer("r1"))
        else:
            writer.write(create_answer(own))


async def test_an_answer_to_an_earlier_request_does_not_answer_the_next_one():
    """The request id of the answer reveals the mismatch.

    The server closes the connection without another answer, so the second request fails. A
    third request must then get its own answer on a new connection.
    """
    async with open_exchange(answer_with_earlier_id) as exchange:
        exchange.start(1)
        assert isinstance(await exchange.next_event(), AnswerArrived)
        exchange.start(2)
        event = await exchange.next_event()
        assert isinstance(event, ExchangeFailed)
        assert (event.kind, event.run) == (FailureKind.CLOSED, RunState.UNKNOWN)
        exchange.start(3)
        event = await exchange.next_event()
        assert isinstance(event, AnswerArrived)
        assert event.answer.signature == "s-r3"


async def close_after_request(reader, writer, number):
    if number == 0:
        await read_head(reader)
        writer.write(create_answer("r1"))
    await read_head(reader)
    closed_connections.append(number)


closed_connections: list[int] = []


async def test_a_request_is_not_sent_again_when_a_reused_connection_closes():
    """The request may have run already; a retry is the decision of the relay."""
    closed_connections.clear()
    async with open_exchange(close_after_request) as exchange:
        exchange.start(1)
        assert isinstance(await exchange.next_event(), AnswerArrived)
        exchange.start(2)
        event = await exchange.next_event()
        assert (event.kind, event.run) == (FailureKind.CLOSED, RunState.UNKNOWN)
        await asyncio.sleep(0.05)
        assert closed_connections == [0]


def write_raw(data: bytes, reset: bool = False):
    async def script(reader, writer, number):
        await read_head(reader)
        writer.write(data)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.02)
            # With a linger time of 0 the kernel resets the connection when it is closed.
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    return script


UNFRAMED = b"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n\r\nbody"
CUT = create_answer("r1", b"b" * 100)[:-10]


@pytest.mark.parametrize(
    ("data", "reset", "expected"),
    [
        pytest.param(UNFRAMED, False, b"body", id="no_length_closed"),
        pytest.param(UNFRAMED, True, FailureKind.RESET, id="no_length_reset"),
        pytest.param(CUT, False, FailureKind.CLOSED, id="truncated_body"),
        pytest.param(b"not an answer\r\n\r\n", False, FailureKind.MALFORMED, id="not_http"),
        pytest.param(b"", False, FailureKind.CLOSED, id="no_answer"),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\n" + create_answer("r1", b"x"),
            False,
            b"x",
            id="interim_answer",
        ),
        pytest.param(create_answer("other"), False, FailureKind.CLOSED, id="other_request_id"),
        pytest.param(
            create_answer("other") + create_answer("r1", b"x"),
            False,
            b"x",
            id="after_an_answer_to_another_request",
        ),
    ],
)
async def test_ends_of_answers(data, reset, expected):
    """An answer must only count as complete if its end is certain."""
    async with open_exchange(write_raw(data, reset)) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        if isinstance(expected, bytes):
            assert event.answer.body == expected
        else:
            assert (event.kind, event.run) == (expected, RunState.UNKNOWN)


async def test_a_connection_that_cannot_be_opened_means_not_run():
    async with open_exchange(answer_twice) as exchange:
        exchange.server = BackendServer("i-2", "one", "127.0.0.1:1", "a1", 2)
        exchange.start(1)
        event = await exchange.next_event()
        assert (event.kind, event.run) == (FailureKind.REFUSED, RunState.NOT_RUN)


async def stay_silent(reader, writer, number):
    await reader.read()


async def test_an_abandoned_send_ends_with_its_connection():
    async with open_exchange(stay_silent) as exchange:
        exchange.start(1)
        await asyncio.sleep(0.05)
        exchange.connections.abandon_send(AbandonSend(1, read_clock_us() + 20_000))
        event = await exchange.next_event()
        assert (event.kind, event.run) == (FailureKind.WITHDRAWN, RunState.UNKNOWN)


async def answer_before_body(reader, writer, number):
    await read_head(reader)
    writer.write(create_answer("r1"))
    await reader.read()


async def test_a_connection_is_not_kept_while_a_body_is_still_being_sent():
    """The server would parse the remaining bytes of the body as the next request.

    Here it answers before it has read the body.
    """
    async with open_exchange(answer_before_body) as exchange:
        exchange.start(1, b"x" * 30_000_000)
        assert isinstance(await exchange.next_event(), AnswerArrived)
        assert not any(exchange.connections._idle.values())


async def test_a_probe_opens_a_connection_that_the_next_send_uses():
    numbers = []

    async def script(reader, writer, number):
        numbers.append(number)
        await read_head(reader)
        writer.write(create_answer("r1"))
        await writer.drain()
        await reader.read()

    async with open_exchange(script) as exchange:
        exchange.connections.probe_server(
            ProbeServer(exchange.server, read_clock_us() + 1_000_000)
        )
        event = await exchange.next_event()
        assert (event.server, event.outcome) == (exchange.server, ProbeOutcome.OPEN)
        exchange.start(1)
        assert isinstance(await exchange.next_event(), AnswerArrived)
        assert numbers == [0]


@pytest.mark.parametrize(
    ("address", "outcome"),
    [
        pytest.param("127.0.0.1:{free_port}", ProbeOutcome.REFUSED, id="no process"),
        pytest.param("127.0.0.1:{full_port}", ProbeOutcome.SILENT, id="no answer in time"),
    ],
)
async def test_a_probe_tells_a_refusal_from_silence(address, outcome):
    async def script(reader, writer, number):
        await reader.read()

    with socket.socket() as free, socket.socket() as full, socket.socket() as blocker:
        free.bind(("127.0.0.1", 0))
        # The kernel drops further connections while the queue of this socket is full.
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        blocker.connect(full.getsockname())
        ports = {"free_port": free.getsockname()[1], "full_port": full.getsockname()[1]}
        async with open_exchange(script) as exchange:
            server = BackendServer("i-2", "one", address.format(**ports), "a1", 2)
            probe = ProbeServer(server, read_clock_us() + 60_000)
            exchange.connections.probe_server(probe)
            event = await exchange.next_event()
            assert (event.server, event.outcome) == (server, outcome)


async def test_a_signal_in_an_answer_to_another_request_is_discarded():
    """A forged or late answer must not take a sound server out."""

    async def answer_other_first(reader, writer, number):
        await read_head(reader)
        writer.write(create_answer("other", more_headers="Server-Leaving: 1\r\n"))
        writer.write(create_answer("r1"))
        await read_head(reader)

    async with open_exchange(answer_other_first) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert isinstance(event, AnswerArrived)
        assert (event.answer.signature, event.answer.leaving) == ("s-r1", False)
