"""Guards the page for on-call engineers: each kind of failure is followed from its id."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
from aiohttp import web

from mimosapost.platform.tests.test_end_to_end import open_path

PAGE = (Path(__file__).parents[3] / "docs/OPERATIONS.md").read_text()


async def hang(request):
    await asyncio.sleep(5)


async def break_off(request):
    request.transport.abort()
    await asyncio.sleep(0.1)
    return web.Response()


async def take_all_out(path):
    for server_id in ("s0-a1", "s0-b1"):
        await path.store.remove(f"servers/{server_id}")
    await path.wait(lambda state: "s0" not in state.by_service)


async def let_orders_break(path):
    for server in path.servers.values():
        server.behave = break_off


async def let_one_shard_hang(path):
    for server_id in ("s0-a1", "s0-b1"):
        path.servers[server_id].behave = hang


@pytest.mark.parametrize(
    ("disturb", "target", "status", "lines"),
    [
        (
            take_all_out,
            "/order/x",
            503,
            {"request_refused": ["code=3001", 'detail="0 of 1 usable"', "retry_after_ms="]},
        ),
        (
            let_orders_break,
            "/order/x",
            504,
            {"request_ended": ["code=4004", "s0:closed:s0-", 'route="r-order"', "version=3"]},
        ),
        (
            let_one_shard_hang,
            "/search/x",
            200,
            {
                "send_hedged": ["waited_ms=", "usual_ms=", "budget="],
                "request_ended": ["code=1001", "answered=1", "s0:open:s0-", "median_ms="],
            },
        ),
    ],
)
async def test_the_log_leads_from_an_id_to_the_cause(disturb, target, status, lines):
    async with open_path() as path:
        await disturb(path)
        assert (await path.call(target)).status == status
        found = [
            line for line in path.log.getvalue().splitlines() if f'request="id{target}"' in line
        ]
        for event, words in lines.items():
            (line,) = [line for line in found if f'event="{event}"' in line]
            assert all(word in line for word in words), line
            named = set(re.findall(r" ([a-z_]+)=", line)) - {"level", "event", "instance"}
            assert not [name for name in named if name not in PAGE]


async def test_metrics_are_served_at_the_operators_address():
    async with open_path() as path:
        await path.call("/search/x")
        text = path.instance.metrics.render()[0].decode()
        assert 'mimosapost_relay_replies_total{code="1000"} 1' in text
        assert "mimosapost_relay_request_seconds_bucket" in text
