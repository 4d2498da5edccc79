"""Tests of callers that send requests without end."""

from __future__ import annotations

import asyncio

import pytest

from mimosapost.platform.tests.standins import create_config
from mimosapost.platform.tests.test_end_to_end import SERVICES, run_relay

HEAD = b"POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 32 * 1024
# A caller has this time for its request in the tests, and the connection closes soon after it.
HEADER_TIMEOUT_MS = 300
CLOSE_SECONDS = 3.0


async def limit_request_time(store, _servers):
    config = create_config(4, SERVICES)
    config["limits"]["headerTimeoutMs"] = HEADER_TIMEOUT_MS
    await store.put("op/config", config)


async def send_until_closed(writer, block: bytes) -> None:
    """Send a block again and again until the peer closes the connection."""
    while True:
        writer.write(block)
        await writer.drain()


@pytest.mark.parametrize(
    ("start", "block"),
    [
        pytest.param(b"", b"x" * BLOCK, id="no_request"),
        pytest.param(b"GET /", b"x" * BLOCK, id="target"),
        pytest.param(HEAD, b"a: b\r\n" * (BLOCK // 6), id="headers"),
        pytest.param(HEAD + b"Name: ", b"a" * BLOCK, id="header_value"),
        pytest.param(CHUNKED + b"1;", b"a" * BLOCK, id="chunk_extension"),
        pytest.param(CHUNKED, (b"%x\r\n" % BLOCK) + b"b" * BLOCK + b"\r\n", id="chunks"),
        pytest.param(CHUNKED + b"0\r\n", b"a: b\r\n" * (BLOCK // 6), id="trailers"),
    ],
)
async def test_requests_without_end_are_refused(start, block):
    """The connection closes; other callers are served meanwhile."""
    async with run_relay(limit_request_time) as relay:
        host, _, port = relay.instance.caller_address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(start)
        with pytest.raises(ConnectionError):
            await asyncio.wait_for(send_until_closed(writer, block), CLOSE_SECONDS)
        assert not any(server.requests for server in relay.servers.values())
        assert (await relay.send_request("/search/x")).status == 200
        writer.close()
