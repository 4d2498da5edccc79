"""Tests of servers that send an answer a second time, in the place of the next one."""

from __future__ import annotations

import asyncio
import io

import pytest

from mimosapost.edge.logs import Logs
from mimosapost.edge.tests.test_relay_connections import (
    create_answer,
    open_exchange,
    read_head,
)
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.relay.events import AnswerArrived, ExchangeFailed

REJECTION = "X-Not-Executed: 1\r\n"
UNNAMED_REJECTION = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def repeat_first_answer(first: bytes, runs: list[int]):
    """Return a script that repeats its first answer before the second one on a connection.

    :param runs: receives the number of the connection of each request after the first one.
    """
    requests = []

    async def script(reader, writer, number):
        count = 0
        while True:
            head = await read_head(reader)
            name = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
            requests.append(name)
            count += 1
            if len(requests) == 1:
                writer.write(first)
                continue
            runs.append(number)
            if number == 0 and count == 2:
                writer.write(first)
                await writer.drain()
            writer.write(create_answer(name, b"run %-12d" % len(runs)))

    return script


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(create_answer("r", b"", REJECTION, 503), id="rejected"),
        pytest.param(create_answer("r", b"", REJECTION, 429), id="rejected_429"),
        pytest.param(create_answer("r", b"", status=421), id="misdirected"),
        pytest.param(create_answer("r", b"failed", status=500), id="failed"),
        pytest.param(create_answer("r", b"first"), id="answered"),
    ],
)
async def test_a_copy_of_an_answer_does_not_answer_the_next_send_of_its_request(first):
    """The id of the request is the same, so the copy would count as the second answer.

    A copy of a rejection would say that the second send has not run.
    """
    runs: list[int] = []
    async with open_exchange(repeat_first_answer(first, runs)) as exchange:
        exchange.start(1, b"body", "r")
        assert (await exchange.next_event()).send_id == 1
        exchange.start(2, b"body", "r")
        event = await exchange.next_event()
        assert isinstance(event, AnswerArrived)
        assert (event.send_id, event.answer.not_run) == (2, False)
        assert event.answer.body == b"run 1           "
        assert runs == [1]


async def test_a_rejection_without_an_id_may_belong_to_an_earlier_request():
    """It proves nothing about the request that waits for its answer."""
    runs: list[int] = []
    async with open_exchange(repeat_first_answer(UNNAMED_REJECTION, runs)) as exchange:
        exchange.start(1, b"body")
        first = await exchange.next_event()
        assert isinstance(first, AnswerArrived)
        assert first.answer.not_run
        exchange.start(2, b"body")
        event = await exchange.next_event()
        assert isinstance(event, ExchangeFailed)
        assert (event.kind, event.run) == (FailureKind.MALFORMED, RunState.UNKNOWN)


async def test_other_requests_use_a_connection_that_has_carried_one():
    """A new connection for each rejection would cost the server a handshake."""
    rejection = create_answer("r", b"", REJECTION, 503)
    numbers: list[int] = []

    async def script(reader, writer, number):
        while True:
            head = await read_head(reader)
            name = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
            numbers.append(number)
            writer.write(rejection if name == "r" else create_answer(name))

    async with open_exchange(script) as exchange:
        for send_id, name in ((1, "r"), (2, "r"), (3, ""), (4, ""), (5, "r")):
            exchange.start(send_id, request_id=name)
            assert isinstance(await exchange.next_event(), AnswerArrived)
        assert numbers == [0, 1, 1, 1, 2]


def send_before_own_answer(extra: bytes, is_split: bool, numbers: list[int]):
    """Return a script that sends extra bytes before the second answer on the first connection.

    :param is_split: whether the extra bytes arrive before the own answer.
    :param numbers: receives the number of the connection of each request.
    """

    async def script(reader, writer, number):
        while True:
            head = await read_head(reader)
            name = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
            numbers.append(number)
            if name == "r2":
                writer.write(extra)
                if is_split:
                    await writer.drain()
                    await asyncio.sleep(0.02)
            writer.write(create_answer(name, b"own " + name.encode()))

    return script


@pytest.mark.parametrize(
    "is_split", [pytest.param(True, id="apart"), pytest.param(False, id="in_the_same_bytes")]
)
@pytest.mark.parametrize(
    "extra",
    [
        pytest.param(create_answer("r1"), id="answer"),
        pytest.param(create_answer("r1", b"", REJECTION, 503), id="rejection"),
        pytest.param(create_answer("r1", b"failed", status=500), id="failure"),
        pytest.param(create_answer("r1") * 3, id="several"),
        pytest.param(create_answer("r1", b"x" * 200_000), id="large"),
    ],
)
async def test_an_extra_answer_does_not_fail_the_request_that_waits(extra, is_split):
    """The caller of a request that may run once would get 504 for a request that runs."""
    numbers: list[int] = []
    async with open_exchange(send_before_own_answer(extra, is_split, numbers)) as exchange:
        log = io.StringIO()
        exchange.connections._logs = Logs(log)
        for send_id in (1, 2, 3):
            exchange.start(send_id, b"body")
            event = await exchange.next_event()
            assert isinstance(event, AnswerArrived)
            assert event.answer.body == b"own r%d" % send_id
            assert event.answer.signature == f"s-r{send_id}"
        # The server sends bytes that belong to no request, so its connection is given up.
        assert numbers == [0, 0, 1]
        assert log.getvalue().count('event="extra_answer_discarded" request="r2"') == 1


async def test_extra_answers_without_end_are_bounded():
    """Answers to other requests must not keep a send open for ever."""
    sent = []

    async def script(reader, writer, number):
        await read_head(reader)
        while sum(sent) < 64 * 1024 * 1024:
            writer.write(create_answer("other", b"") * 100)
            await writer.drain()
            sent.append(100)

    async with open_exchange(script) as exchange:
        exchange.start(1)
        event = await exchange.next_event()
        assert (event.kind, event.run) == (FailureKind.TOO_LARGE, RunState.UNKNOWN)
        assert exchange.connections.held_bytes == 0
