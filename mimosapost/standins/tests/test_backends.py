"""Tests of the stand-in backend servers.

Tests of the tier rely on these faults, delays and records. A fault that does not occur, or a
record that lacks a request, would let them pass without testing anything.
"""

import asyncio
import gc

import aiohttp
import pytest

from mimosapost.standins.backends import Backends, compute_items
from mimosapost.standins.behaviour import FAULTS, Behaviour

BODY = {"kind": "search", "term": "tutu"}


def create_request(number=1, **changes):
    return {
        "request_id": f"r{number}",
        "service": "desk",
        "leaf": "a",
        "map_version": 1,
        "index_version": 7,
        "deadline_ms": 1000,
        "body": BODY,
        "repeatable": True,
    } | changes


async def post(session, address, request, path="/v1/search"):
    url = f"http://{address}{path}"
    async with session.post(url, json=request) as response:
        return response.status, await response.json()


@pytest.mark.parametrize(
    "position", [0, 1, 2, 3], ids=["service", "leaf", "body", "index-version"]
)
def test_result_depends_on_every_parameter(position):
    """If results ignored a parameter, mixed-up leafs or versions would go unnoticed."""
    parameters = ["desk", "a", BODY, 7]
    other = list(parameters)
    other[position] = ["repair", "b", {"kind": "search", "term": "veil"}, 8][position]
    assert compute_items(*parameters) == compute_items(*parameters)
    assert compute_items(*parameters) != compute_items(*other)


def test_result_ignores_the_order_of_keys():
    """Differential tests would fail if equal bodies had different results."""
    reverse = dict(reversed(BODY.items()))
    assert compute_items("desk", "a", BODY, 7) == compute_items("desk", "a", reverse, 7)


async def test_control_address():
    """A change must apply only to the named server; an invalid one must be refused.

    Each request must be in the record of its server, as other tests check this record.
    """
    async with Backends({"s": Behaviour(), "t": Behaviour()}) as backends:
        control = f"http://{backends.control_address}/control"
        async with aiohttp.ClientSession() as session:
            change = {"server": "s", "set": {"shedding": True}}
            async with session.post(control, json=change) as response:
                assert response.status == 200
            for name in ("s", "t"):
                request = create_request(idempotency_key=f"k-{name}")
                await post(session, backends.addresses[name], request)
            async with session.get(f"{control}/record") as response:
                records = {entry["name"]: entry for entry in await response.json()}
            for invalid_change in (
                {"set": {"other": 1}},
                {"server": "x"},
                {"do": ["stop"]},
                [1],
            ):
                async with session.post(control, json=invalid_change) as response:
                    assert response.status == 400
    outcomes = {name: entry["records"][0]["outcome"] for name, entry in records.items()}
    assert outcomes == {"s": "shed", "t": "answered"}
    assert records["t"]["records"][0]["idempotency_key"] == "k-t"
    assert (records["s"]["peak"], records["t"]["peak"]) == (0, 1)


@pytest.mark.parametrize("overload", ["refuse", "crash"])
async def test_cold_start(overload):
    """A cold server must refuse or crash above its limit, and become warm after its answers.

    Otherwise tests of the warm-up would pass with any load on a cold server.
    """
    behaviour = Behaviour(
        cold=True, cold_limit=2, cold_overload=overload, warm_answers=4, median_ms=30.0
    )
    async with Backends({"s": behaviour}) as backends, aiohttp.ClientSession() as session:
        server = backends.servers["s"]
        results = await asyncio.gather(
            *(post(session, server.address, create_request(n)) for n in range(3)),
            return_exceptions=True,
        )
        outcomes = sorted(record.outcome for record in server.records)
        if overload == "crash":
            assert all(isinstance(result, aiohttp.ClientError) for result in results)
            assert outcomes == ["crashed"] * 3
            assert server.cold_peak == 3
            return
        assert sorted(status for status, _ in results) == [200, 200, 503]
        assert server.cold_peak == 2
        for number in range(3, 5):
            await post(session, server.address, create_request(number))
        assert server.behaviour.cold is False
        results = await asyncio.gather(
            *(post(session, server.address, create_request(n)) for n in range(5, 8))
        )
        assert {status for status, _ in results} == {200}
        server.fall_cold()
        assert server.behaviour.cold is True


async def test_connection_limit(caplog):
    """Connections above the limit must be refused without a log message for each.

    aiohttp logs a traceback if the connection is aborted before its handler has started.
    """
    behaviour = Behaviour(connections=2, median_ms=50.0)
    async with Backends({"s": behaviour}) as backends, aiohttp.ClientSession() as session:
        server = backends.servers["s"]
        results = await asyncio.gather(
            *(post(session, server.address, create_request(n)) for n in range(4)),
            return_exceptions=True,
        )
    assert sum(isinstance(result, aiohttp.ClientError) for result in results) == 2
    assert (server.connections_peak, server.connections_refused) == (2, 2)
    gc.collect()
    assert caplog.text == ""


@pytest.mark.parametrize(
    ("client", "behaviour", "expected_ms"),
    [
        pytest.param(("a", "r"), {}, 0, id="same-domain"),
        pytest.param(("b", "r"), {}, 20, id="other-domain"),
        pytest.param(("z", "other"), {}, 80, id="other-region"),
        pytest.param(("a", "r"), {"connect_ms": 30.0}, 30, id="new-connection"),
        pytest.param(
            ("a", "r"),
            {"median_ms": 10.0, "straggler_probability": 1.0},
            200,
            id="straggler",
        ),
    ],
)
async def test_delays(client, behaviour, expected_ms):
    """Delays must be added to the response time.

    Only the lower bound is checked, because a busy machine can make a response slower.
    """
    settings = Behaviour(domain_ms=10.0, region_ms=40.0, **behaviour)
    backends = Backends({"s": settings}, client_domains={"127.0.0.1": client})
    async with backends, aiohttp.ClientSession() as session:
        started = asyncio.get_running_loop().time()
        await post(session, backends.addresses["s"], create_request())
        elapsed_ms = (asyncio.get_running_loop().time() - started) * 1_000
    assert elapsed_ms >= expected_ms


async def test_delayed_and_false_load_reports():
    """``/load`` must return an old or a false load where the behaviour asks for it."""
    behaviour = Behaviour(report_lag_ms=60_000.0, median_ms=10.0, connections=1)
    async with Backends({"s": behaviour}) as backends, aiohttp.ClientSession() as session:
        address = backends.addresses["s"]
        _, answer = await post(session, address, create_request())
        assert answer["boot_id"] == "s-boot-1"
        async with session.get(f"http://{address}/load") as response:
            assert (await response.json())["load"] == 0.0
        backends.change("s", {"report_lag_ms": 0.0, "reported_load": 0.75}, ())
        async with session.get(f"http://{address}/load") as response:
            assert (await response.json())["load"] == 0.75


async def test_seed_repeats_service_times_and_faults():
    """A failed run can only be repeated if the seed determines service times and faults."""
    draws = []
    for seed in (1, 1, 2):
        behaviour = Behaviour(median_ms=5.0, spread=0.5, faults=dict.fromkeys(FAULTS, 0.1))
        server = Backends({"s": behaviour}, seed=seed).servers["s"]
        draws.append(
            [(server._draw_service_time_s(), server._choose_fault()) for _ in range(50)]
        )
    assert draws[0] == draws[1] != draws[2]
