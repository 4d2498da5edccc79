"""Test of the measurement of sends."""

import asyncio

from aiohttp import web

from mimosapost.bench.sends import _answer, _run_bare, _run_client


async def test_both_sides_send_the_same_number():
    """Guards against a ratio of unequal work; it checks no time."""
    requests = 0

    async def answer(request):
        nonlocal requests
        requests += 1
        return await _answer(request)

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    counts = []
    try:
        for side in (_run_bare, _run_client):
            requests = 0
            await asyncio.wait_for(side(address, 40, 4), 30)
            counts.append(requests)
    finally:
        await runner.cleanup()
    assert counts == [44, 44]
