"""Checks each reader of answers with a status that no final answer may have.

The servers write raw bytes. A status outside 200 to 599 is a failure of the send: its
connection is closed, and the caller never gets it.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from mimosapost.commands.members import members
from mimosapost.commands.registry import CommandError
from mimosapost.edge.tests.conftest import create_send
from mimosapost.edge.tests.test_relay_connections import open_exchange, read_head
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import SendFailed
from mimosapost.platform.store_calls import fetch_answer
from mimosapost.relay.events import AnswerArrived, ExchangeFailed

STATUSES = ["000", "099", "1000", "20", "2x0", "600", "999", "", "-200", "101"]


def create_bytes(status: str, body: bytes = b"b" * 16) -> bytes:
    head = (
        f"HTTP/1.1 {status} X\r\nX-Request-Id: r1\r\nX-Response-Seal: s-r1\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@pytest.mark.parametrize("status", STATUSES)
async def test_a_send_of_the_relay_fails(status):
    async def answer(reader, writer, number):
        await read_head(reader)
        writer.write(create_bytes(status))
        assert not await reader.read(1)
        closed.set()

    closed = asyncio.Event()
    async with open_exchange(answer) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert isinstance(event, ExchangeFailed)
        assert (event.kind, event.run) == (FailureKind.MALFORMED, RunState.UNKNOWN)
        await asyncio.wait_for(closed.wait(), 3)


@pytest.mark.parametrize("status", ["200", "299", "304", "404", "500", "599"])
async def test_a_final_status_is_passed_on(status):
    async def answer(reader, writer, number):
        await read_head(reader)
        writer.write(create_bytes(status, b""))
        await reader.read(1)

    async with open_exchange(answer) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert isinstance(event, AnswerArrived)
        assert event.answer.status == int(status)


@pytest.mark.parametrize("statuses", [["100"], ["102", "103"], ["199"] * 20])
async def test_interim_answers_precede_the_final_one(statuses):
    async def answer(reader, writer, number):
        await read_head(reader)
        for status in statuses:
            writer.write(f"HTTP/1.1 {status} Wait\r\nX-Any: 1\r\n\r\n".encode())
        writer.write(create_bytes("200"))
        await reader.read(1)

    async with open_exchange(answer) as exchange:
        exchange.start(1)
        assert (await exchange.next_event()).answer.status == 200


@pytest.mark.parametrize("status", STATUSES)
async def test_an_invalid_status_after_a_complete_answer_costs_the_connection_only(status):
    async def answer(reader, writer, number):
        await read_head(reader)
        writer.write(create_bytes("200") + create_bytes(status))
        assert not await reader.read(1)
        closed.set()

    closed = asyncio.Event()
    async with open_exchange(answer) as exchange:
        exchange.start(1)
        assert (await exchange.next_event()).answer.status == 200
        await asyncio.wait_for(closed.wait(), 3)


@pytest.mark.parametrize("status", STATUSES)
async def test_an_invalid_status_after_the_answer_to_another_request_fails_the_send(status):
    async def answer(reader, writer, number):
        await read_head(reader)
        writer.write(create_bytes("200").replace(b"r1", b"r9") + create_bytes(status))
        await reader.read(1)

    async with open_exchange(answer) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert (event.kind, event.run) == (FailureKind.MALFORMED, RunState.UNKNOWN)


async def test_interim_answers_without_end_fail_the_send():
    async def answer(reader, writer, number):
        await read_head(reader)
        while True:
            writer.write(b"HTTP/1.1 102 Wait\r\nX-Any: 1\r\n\r\n" * 64)
            await writer.drain()

    async with open_exchange(answer) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert (event.kind, event.run) == (FailureKind.TOO_LARGE, RunState.UNKNOWN)


@pytest.mark.parametrize("status", STATUSES)
async def test_a_send_of_the_own_path_fails(status, client, events):
    async with serve_raw(create_bytes(status, b"{}")) as address:
        client.execute(create_send(1, address))
        await events.wait_for(1)
        (event,) = events
        assert isinstance(event, SendFailed)
        assert event.run is RunState.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
async def test_a_call_to_the_store_fails(status):
    async with (
        serve_raw(create_bytes(status, b'{"items": [], "asOf": 7}')) as address,
        aiohttp.ClientSession() as session,
    ):
        with pytest.raises((aiohttp.ClientError, TimeoutError)):
            await fetch_answer(session, f"http://{address}/api/kv-range", {})


@pytest.mark.parametrize("status", ["000", "099", "204", "302", "600", "999"])
async def test_the_operators_command_fails(status):
    body = b'{"partners": [], "members": [], "links": {}}'
    async with serve_raw(create_bytes(status, body)) as address:
        with pytest.raises(CommandError):
            await asyncio.to_thread(members, address)


@asynccontextmanager
async def serve_raw(answer: bytes):
    """Answer each request with the same bytes, and yield the address."""

    async def serve(reader, writer):
        try:
            await read_head(reader)
            writer.write(answer)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()[:2]
    yield f"{host}:{port}"
    listener.close()
