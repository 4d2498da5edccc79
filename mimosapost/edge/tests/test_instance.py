"""Instances with real sockets against the stand-ins, over paths that no unit test covers."""

import asyncio
import os
from contextlib import asynccontextmanager
from hashlib import sha256

import aiohttp
import msgspec
import pytest

from mimosapost.core.state import Policy
from mimosapost.edge.instance import Instance
from mimosapost.model.published_settings import (
    CallerSettings,
    FleetTree,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
    TeamTree,
)
from mimosapost.settings.local import LocalSettings
from mimosapost.standins.backends import Backends
from mimosapost.standins.behaviour import Behaviour
from mimosapost.standins.deterministic_results import compute_items
from mimosapost.standins.platform import PlatformStandin

DOMAINS = ("north", "south")
HEADERS = {"X-Caller": "school", "Authorization": "Bearer t"}
POLICY = Policy(
    max_deadline_us=1_500_000, join_us=300_000, drain_us=300_000, heartbeat_us=100_000
)
# Loopback addresses that depend on the process id, because another run of the tests may use
# the same ports.
NETWORK = f"127.{70 + os.getpid() // 250 % 130}.{os.getpid() % 250}"
PORT = 9471


def create_team(backends, version=1, domains_out=()):
    """Create the tree of a team: one service with two leafs of two slots each."""
    addresses = iter(backends.addresses.values())
    leafs = tuple(
        LeafSettings(
            f"l{leaf}",
            tuple(SlotSettings(f"s{n}", next(addresses), DOMAINS[n]) for n in range(2)),
        )
        for leaf in range(2)
    )
    service = ServiceSettings("fitting", 1, 1, leafs, merge="top_k", cold_limit=4)
    digest = sha256(b"t").hexdigest()
    caller = CallerSettings("school", digest, ("fitting",))
    return TeamTree("desk", version, (service,), (caller,), domains_out)


@asynccontextmanager
async def run_fleet(count=2, **behaviour):
    """Start stand-ins and instances, and yield them with a session when all are ready."""
    behaviours = {f"b{n}": Behaviour(median_ms=1.0, **behaviour) for n in range(4)}
    async with Backends(behaviours) as backends, aiohttp.ClientSession() as session:
        platform = PlatformStandin()
        await platform.start()
        fleet = FleetTree(1, ("desk",), {d: d for d in DOMAINS}, instance_ceiling=4)
        platform.publish("fleet", 1, msgspec.json.encode(fleet))
        platform.publish("desk", 1, msgspec.json.encode(create_team(backends)))
        hosts = [f"{NETWORK}.{n + 1}" for n in range(count)]
        instances = []
        for seat, host in enumerate(hosts):
            settings = LocalSettings(
                name=f"entry-{seat}",
                seat=seat,
                domain=DOMAINS[seat % 2],
                region=DOMAINS[seat % 2],
                caller_address=f"{host}:{PORT}",
                peer_address=f"{host}:{PORT + 1}",
                operator_address=f"{host}:{PORT + 2}",
                config_url=platform.base_url,
                instances_url=platform.base_url,
                seed_peers=tuple(f"{other}:{PORT + 1}" for other in hosts if other != host),
                known_peers=tuple(hosts),
            )
            instances.append(Instance(settings, POLICY))
        try:
            for instance in instances:
                await instance.start()
            while not all(i.is_ready() for i in instances):
                await asyncio.sleep(0.02)
            yield backends, platform, instances, session
            assert [i.failed_events for i in instances] == [0] * count
        finally:
            for instance in instances:
                await instance.stop()
            await platform.stop()


async def send_query(session, seat=0, **fields):
    """Send one query and return the HTTP status and the answer."""
    body = {"request": {"term": "tutu"}, "deadline_ms": 1_000, "repeatable": True} | fields
    url = f"http://{NETWORK}.{seat + 1}:{PORT}/v1/services/fitting/query"
    async with session.post(url, headers=HEADERS, data=msgspec.json.encode(body)) as response:
        return response.status, msgspec.json.decode(await response.read())


def compute_expected_result(limit=0):
    """Return the items that the service must answer with."""
    items = [
        i for leaf in ("l0", "l1") for i in compute_items("fitting", leaf, {"term": "tutu"}, 1)
    ]
    items.sort(key=lambda item: (-item["score"], item["key"]))
    return items[:limit] if limit else items


async def test_answer_is_whole_and_names_its_snapshot():
    """A leaf must not be lost, nor its items changed, between servers and caller."""
    async with run_fleet(1) as (_, _, _, session):
        status, answer = await send_query(session, limit=3)
    assert (status, answer["code"], answer["run"]) == (200, 1000, "ran")
    assert answer["result"] == compute_expected_result(3)
    assert answer["coverage"] == {"covered": ["l0", "l1"], "missing": []}
    assert answer["snapshot"] == {"map_version": 1, "index_version": 1}


async def test_ticket_runs_once_over_all_instances():
    """Repeated sends of one ticket, to different instances, must run the request once."""
    async with run_fleet(2) as (backends, _, _, session):
        status, refusal = await send_query(session, repeatable=False, idempotency_key="k")
        assert (status, refusal["run"]) == (428, "not_run")
        fields = {"repeatable": False, "idempotency_key": "k", "ticket": refusal["ticket"]}
        answers = await asyncio.gather(
            *(send_query(session, n % 2, **fields) for n in range(6))
        )
        runs = [r for server in backends.servers.values() for r in server.records]
    assert {a["code"] for _, a in answers} == {1000}
    assert all(a["result"] == compute_expected_result() for _, a in answers)
    assert sorted(r.leaf for r in runs if r.idempotency_key == "k") == ["l0", "l1"]


async def test_ticket_of_a_lost_issuer_is_unknown():
    """Without the issuer no instance knows whether the request ran.

    The answer must neither claim that it did not run nor run it again.
    """
    async with run_fleet(2) as (backends, _, instances, session):
        _, refusal = await send_query(session, 1, repeatable=False)
        await instances[1].stop()
        _, answer = await send_query(session, 0, repeatable=False, ticket=refusal["ticket"])
        requests = sum(server.requests for server in backends.servers.values())
    assert (answer["code"], answer["run"], requests) == (4001, "unknown", 0)


async def test_domain_out_gets_no_send_and_coverage_stays():
    """Servers of a domain that operators took out of service must not receive sends."""
    async with run_fleet(2) as (backends, platform, instances, session):
        for number in range(20):
            await send_query(session, number % 2)
        platform.publish("desk", 2, msgspec.json.encode(create_team(backends, 2, ("south",))))
        while any(i.state.teams["desk"].version < 2 for i in instances):
            await asyncio.sleep(0.02)
        servers_out = [backends.servers["b1"], backends.servers["b3"]]
        requests_before = [server.requests for server in servers_out]
        answers = [await send_query(session, number % 2) for number in range(20)]
        assert [server.requests for server in servers_out] == requests_before
    assert {a["code"] for _, a in answers} == {1000}


async def test_graceful_stop_finishes_requests_in_flight():
    """A graceful stop must answer requests in flight and those that arrive while it drains.

    A second request for the stop must not shorten it.
    """
    async with run_fleet(1) as (backends, _, instances, session):
        backends.change("*", {"median_ms": 500.0}, ())
        in_flight = asyncio.create_task(send_query(session))
        while not any(server.running_requests for server in backends.servers.values()):
            await asyncio.sleep(0.01)
        instances[0].request_stop()
        assert not instances[0].is_ready()
        late = asyncio.create_task(send_query(session))
        instances[0].request_stop()
        answers = await asyncio.gather(in_flight, late)
        await instances[0].wait_until_drained()
    assert [a["code"] for _, a in answers] == [1000, 1000]


@pytest.mark.parametrize("mode", ["down", "hang"])
async def test_config_service_outage_changes_nothing(mode):
    """An instance must answer queries while the configuration service is down or hangs."""
    async with run_fleet(1) as (_, platform, _, session):
        platform.set_mode(mode)
        answers = [await send_query(session) for _ in range(10)]
        platform.set_mode("up")
    assert {a["code"] for _, a in answers} == {1000}


async def test_poison_request_spares_the_last_slot():
    """A request that crashes servers must not crash every server of a leaf.

    Without a limit each retry would reach, and crash, the next server.
    """
    body = {"term": "poison"}
    async with run_fleet(2, crash_bodies=[body], restart_ms=400.0) as (backends, _, _, session):
        for number in range(8):
            await send_query(session, number % 2, request=body)
            never_crashed = [s for s in backends.servers.values() if s.boots == 1]
            assert never_crashed, "every server crashed"
        crashes = sum(server.boots - 1 for server in backends.servers.values())
        _, answer = await send_query(session)
    assert crashes <= 4
    assert answer["code"] in (1000, 1001)
