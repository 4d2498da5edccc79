"""Checks that servers get no more requests than the limit that they name in their answers."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from mimosapost.platform.tests.test_end_to_end import run_relay

LIMITED = ("s0-a1", "s1-a1")


def name_limit(server, value):
    """Let a server answer normally and name a limit."""

    async def respond(request):
        record = server.server_id.encode().ljust(16, b".")
        seal = f"{server.server_id}.{request.headers['X-Request-Id']}"
        headers = {"X-Response-Seal": seal, "Server-Limit": value}
        return web.Response(body=record, headers=headers)

    server.respond = respond


async def send_queries(relay, count, path="search"):
    """Send queries at 50 a second and return the statuses of their replies."""
    tasks = []
    for number in range(count):
        target = f"/{path}/{len(relay.servers['s0-a1'].requests)}-{number}"
        tasks.append(asyncio.create_task(relay.send_request(target)))
        await asyncio.sleep(0.02)
    return [response.status for response in await asyncio.gather(*tasks)]


def count_requests(relay):
    return sum(len(relay.servers[name].requests) for name in LIMITED)


async def test_servers_get_no_more_requests_than_the_limit_that_they_name():
    async with run_relay() as relay:
        for name in LIMITED:
            name_limit(relay.servers[name], "5.5")
        await send_queries(relay, 10)
        before = count_requests(relay)
        statuses = await send_queries(relay, 100)
        # The users' rule: one and a half times the limit, plus five.
        assert count_requests(relay) - before <= len(LIMITED) * (1.5 * 5.5 * 2.2 + 5)
        assert statuses == [200] * 100


@pytest.mark.parametrize("value", ["many", "nan", "-1", "1e9", "inf", "", "5,5", "1_0"])
async def test_a_malformed_limit_is_ignored_and_logged(value):
    async with run_relay() as relay:
        for name in LIMITED:
            name_limit(relay.servers[name], value)
        await send_queries(relay, 40)
        assert count_requests(relay) >= 30
        assert 'event="answer_header_malformed"' in relay.log.getvalue()


async def test_the_limit_does_not_reach_callers():
    async with run_relay() as relay:
        for server in relay.servers.values():
            name_limit(server, "5")
        response = await relay.send_request("/order/x", "POST")
        assert response.status == 200
        assert "Server-Limit" not in response.headers
