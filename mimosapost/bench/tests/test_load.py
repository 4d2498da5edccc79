"""Tests of the load generator against HTTP servers.

The warm-up, the repeated queries and the lost queries each have counters of their own. Counted
in another one, they falsify the figures of a benchmark.
"""

import socket
import time

from aiohttp import web

from mimosapost.bench.deployments import create_deployment
from mimosapost.bench.load import LoadPlan, RepeatedQuery, run_load
from mimosapost.bench.naive import NaiveTier
from mimosapost.bench.scenarios import POISON_BODY, find_scenario
from mimosapost.commands.load import list_scenario_kinds
from mimosapost.standins.backends import Backends
from mimosapost.standins.behaviour import Behaviour


def find_free_port() -> int:
    """Return an unused port, so that concurrent test runs do not conflict."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def test_naive_tier_and_load_agree():
    teams = create_deployment("sunbrook", find_free_port()).teams[2:3]
    tier_port = find_free_port()
    kinds = list_scenario_kinds(find_scenario("steady"), teams)
    service = kinds[0].service
    names = [slot.server for leaf in service.leafs for slot in leaf.slots]
    plan = LoadPlan(100.0, 1.0, 1, kinds, 0.5, RepeatedQuery(POISON_BODY, 0.2, 0.0))
    async with (
        Backends(
            {name: Behaviour() for name in names}, addresses={name: name for name in names}
        ) as backends,
        NaiveTier({service.name: service}, "127.60.9.1", tier_port, 1),
    ):
        result = await run_load(plan, [f"127.60.9.1:{tier_port}"], time.monotonic)
        sends = sum(server.requests for server in backends.servers.values())
    assert result.wrong == []
    assert result.repeated == {1000: 5}
    assert 0 < result.queries == result.answered == len(result.timeline)
    assert min(due_s for due_s, *_ in result.timeline) >= 0.5
    assert result.leafs_sent > result.leafs_wanted == result.leafs_covered
    assert sends == result.leafs_sent + 5 * len(service.leafs)


async def test_lost_queries_are_counted_by_instance():
    async def answer(request):
        if request.method == "POST":
            request.transport.abort()
        return web.Response()

    kinds = list_scenario_kinds(find_scenario("steady"), create_deployment("wide", 9172).teams)
    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.60.9.2", 0).start()
    target = f"127.60.9.2:{runner.addresses[0][1]}"
    try:
        plan = LoadPlan(50.0, 0.5, 1, kinds)
        result = await run_load(plan, [target], time.monotonic)
    finally:
        await runner.cleanup()
    assert 0 < result.queries == result.connection_errors == result.lost[target]
    assert result.answered == 0
    assert {code for _, _, code, _ in result.timeline} == {0}
