"""Tests that an on-call engineer can trace a failed request from its id to the cause.

The log lines of the request must state the cause, and the operations page must name every key
in them. A renamed key or a line that is no longer written would leave the page wrong.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
from aiohttp import web

from mimosapost.platform.tests.test_end_to_end import run_relay

OPERATIONS_PAGE = (Path(__file__).parents[3] / "docs/OPERATIONS.md").read_text()


async def hang(request):
    await asyncio.sleep(5)


async def close_without_answer(request):
    request.transport.abort()
    await asyncio.sleep(0.1)
    return web.Response()


async def remove_servers_of_s0(relay):
    for server_id in ("s0-a1", "s0-b1"):
        await relay.store.remove(f"servers/{server_id}")
    await relay.wait_until(lambda state: "s0" not in state.by_service)


async def close_connections_of_all_servers(relay):
    for server in relay.servers.values():
        server.respond = close_without_answer


async def hang_servers_of_s0(relay):
    for server_id in ("s0-a1", "s0-b1"):
        relay.servers[server_id].respond = hang


@pytest.mark.parametrize(
    ("inject_fault", "target", "status", "expected_lines"),
    [
        pytest.param(
            remove_servers_of_s0,
            "/order/x",
            503,
            {"request_refused": ["code=3001", 'detail="0 of 1 usable"', "retry_after_ms="]},
            id="no-usable-server",
        ),
        pytest.param(
            close_connections_of_all_servers,
            "/order/x",
            504,
            {"request_ended": ["code=4004", "s0:closed:s0-", 'route="r-order"', "version=3"]},
            id="connections-closed",
        ),
        pytest.param(
            hang_servers_of_s0,
            "/search/x",
            200,
            {
                "send_hedged": ["waited_ms=", "usual_ms=", "budget="],
                "request_ended": ["code=1001", "answered=1", "s0:open:s0-", "median_ms="],
            },
            id="hanging-shard",
        ),
    ],
)
async def test_log_lines_of_a_request_state_the_cause(
    inject_fault, target, status, expected_lines
):
    async with run_relay() as relay:
        await inject_fault(relay)
        assert (await relay.send_request(target)).status == status
        request_lines = [
            line
            for line in relay.log.getvalue().splitlines()
            if f'request="id{target}"' in line
        ]
        for event, fragments in expected_lines.items():
            (line,) = [line for line in request_lines if f'event="{event}"' in line]
            assert all(fragment in line for fragment in fragments), line
            keys = set(re.findall(r" ([a-z_]+)=", line)) - {"level", "event", "instance"}
            assert not [key for key in keys if key not in OPERATIONS_PAGE]


async def test_metrics_are_served_at_the_operators_address():
    async with run_relay() as relay:
        await relay.send_request("/search/x")
        text = relay.instance.metrics.render()[0].decode()
        assert 'mimosapost_relay_replies_total{code="1000"} 1' in text
        assert "mimosapost_relay_request_seconds_bucket" in text
