"""Tests of answers that never end and of answers that end too early.

A faulty server may send bytes without end in any place of an answer, and it may stop at any
byte. The first must not fill the memory of the instance, the second must never look complete.
"""

from __future__ import annotations

import asyncio
import io

import pytest

from mimosapost.edge import relay_connections
from mimosapost.edge.logs import Logs
from mimosapost.edge.tests.test_relay_connections import open_exchange, read_head, write_raw
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.relay.events import AnswerArrived

HEAD = b"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 32 * 1024
# The server stops here, so that a test of an unbounded reader ends too.
SENT_LIMIT_BYTES = 64 * 1024 * 1024


def send_endlessly(start: bytes, block: bytes, sent: list[int]):
    """Return a server script that repeats a block after the start of an answer."""

    async def script(reader, writer, number):
        await read_head(reader)
        writer.write(start)
        sent.append(0)
        index = len(sent) - 1
        while sent[index] < SENT_LIMIT_BYTES:
            writer.write(block)
            await writer.drain()
            sent[index] += len(block)

    return script


ENDLESS = [
    pytest.param(b"", b"x" * BLOCK, id="no_answer"),
    pytest.param(b"HTTP/1.1 200 ", b"x" * BLOCK, id="reason"),
    pytest.param(HEAD, b"a: b\r\n" * (BLOCK // 6), id="headers"),
    pytest.param(HEAD + b"Name", b"a" * BLOCK, id="header_name"),
    pytest.param(HEAD + b"Name: ", b"a" * BLOCK, id="header_value"),
    pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000, id="interim_answers"),
    pytest.param(CHUNKED + b"1;", b"a" * BLOCK, id="chunk_extension"),
    pytest.param(CHUNKED + b"0\r\n", b"a: b\r\n" * (BLOCK // 6), id="trailers"),
    pytest.param(CHUNKED + b"0\r\nName: ", b"a" * BLOCK, id="trailer_value"),
    pytest.param(HEAD + b"\r\n", b"b" * BLOCK, id="body_without_length"),
    pytest.param(CHUNKED, (b"%x\r\n" % BLOCK) + b"b" * BLOCK + b"\r\n", id="chunks"),
    pytest.param(HEAD + b"Content-Length: 99999999999\r\n\r\n", b"b" * BLOCK, id="body"),
]
# Cases whose endless bytes belong to a body.
BODY_CASES = ("body_without_length", "chunks", "body")
# Bytes that one exchange may take from a server, and what the kernel may hold beside them.
EXCHANGE_BYTES = 8 * 1024 * 1024
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
# Places in which no byte belongs to a body end much earlier.
HEAD_BYTES = 64 * 1024


@pytest.mark.parametrize(("start", "block"), ENDLESS)
async def test_bytes_without_end_are_bounded(start, block):
    """The exchange fails, its connection closes, and the log says which bound was exceeded."""
    sent: list[int] = []
    async with open_exchange(send_endlessly(start, block, sent)) as exchange:
        log = io.StringIO()
        exchange.connections._logs = Logs(log)
        exchange.start(1)
        event = await exchange.next_event()
        assert event.kind in (FailureKind.TOO_LARGE, FailureKind.MALFORMED)
        assert event.run is RunState.UNKNOWN
        await asyncio.sleep(0.05)
        assert sent[0] <= EXCHANGE_BYTES + SOCKET_BUFFER_BYTES
        assert exchange.connections.held_bytes == 0
        if event.kind is FailureKind.TOO_LARGE:
            assert 'event="answer_too_large"' in log.getvalue()


@pytest.mark.parametrize(
    ("start", "block"), [case for case in ENDLESS if case.id not in BODY_CASES]
)
async def test_bytes_outside_a_body_end_early(start, block, monkeypatch):
    """A parser must not be fed megabytes of a head, a chunk extension or trailers."""
    fed = 0
    original = relay_connections._Connection.channel_read

    def count(connection, data):
        nonlocal fed
        fed += len(data)
        original(connection, data)

    monkeypatch.setattr(relay_connections._Connection, "channel_read", count)
    async with open_exchange(send_endlessly(start, block, [])) as exchange:
        exchange.start(1)
        assert not isinstance(await exchange.next_event(), AnswerArrived)
        assert fed <= 3 * HEAD_BYTES


async def test_bytes_after_a_complete_answer_close_the_connection():
    body = b"b" * 16
    whole = HEAD + b"Content-Length: 16\r\n\r\n" + body
    sent: list[int] = []
    async with open_exchange(send_endlessly(whole, b"x" * BLOCK, sent)) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert event.answer.body == body
        await asyncio.sleep(0.05)
        assert sent[0] <= SOCKET_BUFFER_BYTES
        assert exchange.connections.held_bytes == 0


async def test_many_answers_without_end_share_one_bound():
    """Many servers at once must not hold more than the process may; the largest fails first."""
    sent: list[int] = []
    script = send_endlessly(HEAD + b"\r\n", b"b" * BLOCK, sent)
    async with open_exchange(script) as exchange:
        exchange.connections.max_held_bytes = EXCHANGE_BYTES
        peak = 0
        for send_id in range(1, 9):
            exchange.start(send_id)
        for _ in range(8):
            event = await exchange.next_event()
            assert event.kind is FailureKind.TOO_LARGE
            peak = max(peak, exchange.connections.held_bytes)
        assert peak <= EXCHANGE_BYTES
        assert exchange.connections.held_bytes == 0


FRAMED = [
    pytest.param(HEAD + b"Content-Length: 16\r\n\r\n" + b"b" * 16, id="length"),
    pytest.param(CHUNKED + b"10\r\n" + b"b" * 16 + b"\r\n0\r\n\r\n", id="chunks"),
    pytest.param(
        CHUNKED + b"4;x=y\r\nbbbb\r\nc\r\n" + b"b" * 12 + b"\r\n0\r\nTrailer: t\r\n\r\n",
        id="chunks_with_extension_and_trailer",
    ),
    pytest.param(
        b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
        + HEAD
        + b"Content-Length: 16\r\n\r\n"
        + b"b" * 16,
        id="after_an_interim_answer",
    ),
]


@pytest.mark.parametrize(
    "reset", [pytest.param(False, id="close"), pytest.param(True, id="reset")]
)
@pytest.mark.parametrize("whole", FRAMED)
async def test_an_answer_cut_at_any_byte_is_no_answer(whole, reset):
    """Only the last byte makes an answer with a length or with chunks complete."""
    ends: list[int] = []

    async def script(reader, writer, number):
        await write_raw(whole[: ends[number]], reset)(reader, writer, number)

    async with open_exchange(script) as exchange:
        for length in range(len(whole)):
            ends.append(length)
            exchange.start(1)
            event = await exchange.next_event()
            assert not isinstance(event, AnswerArrived), whole[:length]
            assert event.run is RunState.UNKNOWN
        ends.append(len(whole))
        exchange.start(1)
        assert (await exchange.next_event()).answer.body == b"b" * 16


@pytest.mark.parametrize(
    "reset", [pytest.param(False, id="close"), pytest.param(True, id="reset")]
)
async def test_an_answer_without_length_needs_a_whole_head(reset):
    """Such an answer ends with its connection, so only a cut of its head shows."""
    whole = HEAD + b"\r\n"
    ends: list[int] = []

    async def script(reader, writer, number):
        await write_raw(whole[: ends[number]], reset)(reader, writer, number)

    async with open_exchange(script) as exchange:
        for length in range(len(whole)):
            ends.append(length)
            exchange.start(1)
            assert not isinstance(await exchange.next_event(), AnswerArrived), whole[:length]
