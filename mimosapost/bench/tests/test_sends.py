"""Test of the benchmark that compares sends by ``BackendClient`` with bare POST requests."""

import asyncio

from aiohttp import web

from mimosapost.bench.sends import _answer_sub_request, _time_bare_posts, _time_client_sends


async def test_both_clients_send_the_same_number_of_requests():
    """The ratio of the two times would be wrong if one client sent fewer requests.

    Each client warms up with one batch of 4 before its 40 sends. No duration is checked.
    """
    requests = 0

    async def answer(request):
        nonlocal requests
        requests += 1
        return await _answer_sub_request(request)

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    counts = []
    try:
        for time_sends in (_time_bare_posts, _time_client_sends):
            requests = 0
            await asyncio.wait_for(time_sends(address, 40, 4), 30)
            counts.append(requests)
    finally:
        await runner.cleanup()
    assert counts == [44, 44]
