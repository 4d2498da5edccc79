"""Tests what the connections of callers tell about the way to them."""

from __future__ import annotations

import asyncio

import pytest

from mimosapost.edge.caller_paths import DeliveryWatch, read_round_trip_us
from mimosapost.edge.clock import read_clock_us


async def watch_one_reply(read: bool, close: bool) -> list:
    """Write a reply to a caller, and return the events of the watch."""
    events, accepted = [], asyncio.get_running_loop().create_future()
    watch = DeliveryWatch(events.append)
    server = await asyncio.start_server(
        lambda _reader, writer: accepted.set_result(writer), "127.0.0.1", 0
    )
    async with server:
        host, port = server.sockets[0].getsockname()
        reader, caller = await asyncio.open_connection(host, port)
        writer = await accepted
        round_trip_us, _ = read_round_trip_us(writer.transport)
        assert 0 < round_trip_us < 100_000
        if not read:
            reader._transport.pause_reading()
        writer.write(b"x" * (100 if read else 30_000_000))
        watch.watch(writer.transport, read_clock_us(), is_new=True)
        if close:
            writer.transport.abort()
        await asyncio.sleep(0.2)
        watch.stop()
        writer.transport.abort()
        caller.close()
        await asyncio.sleep(0.01)
    assert read_round_trip_us(writer.transport) == (0, 0)
    return events


@pytest.mark.parametrize(
    ("read", "close", "expected"),
    [
        pytest.param(True, False, 1, id="acknowledged"),
        pytest.param(False, False, 1, id="never acknowledged"),
        pytest.param(True, True, 0, id="closed"),
    ],
)
async def test_a_reply_is_watched_until_it_is_acknowledged(read, close, expected):
    events = await watch_one_reply(read, close)
    assert len(events) == expected
    for event in events:
        assert event.round_trip_us > 0
        assert (event.acknowledged_us - event.written_us > 25_000) is not read
