"""Clients of the platform services and their reader against faults of the stand-in."""

import asyncio
import time
from contextlib import asynccontextmanager
from random import Random

import aiohttp
import pytest
from aiohttp import web
from returns.result import Success

from mimosapost.edge.platform_clients import (
    HttpConfigSource,
    HttpInstanceSource,
    PlatformReader,
    TreeRead,
)
from mimosapost.model.events import ConfigRead, InstanceEntry, InstancesListed
from mimosapost.standins.platform import PlatformStandin

TEXT = b'{ "team":"desk",  "version": 3,\n"caf\xc3\xa9": "\\u00e9" }'


@asynccontextmanager
async def run_standin():
    standin = PlatformStandin()
    await standin.start()
    async with aiohttp.ClientSession() as session:
        try:
            yield standin, HttpConfigSource(standin.base_url, session, 0.3, 0.3), session
        finally:
            await standin.stop()


@asynccontextmanager
async def run_reader(standin, session, teams=("desk",), accepted_versions=None, ceiling=1):
    events = asyncio.Queue()
    reader = PlatformReader(
        HttpConfigSource(standin.base_url, session, 0.3, 0.3),
        HttpInstanceSource(standin.base_url, session, 0.3),
        events.put_nowait,
        lambda: time.monotonic_ns() // 1_000,
        lambda: teams,
        (accepted_versions or {}).get if accepted_versions else lambda _: 0,
        0,
        lambda: ceiling,
        rng=Random(1),
        interval_s=0.05,
    )
    await reader.start()
    try:
        yield reader, events
    finally:
        await reader.stop()


async def wait_for_event(events, event_type):
    while not isinstance(event := await events.get(), event_type):
        pass
    return event


async def test_value_is_passed_byte_for_byte():
    """The client must return the exact bytes of the published value.

    If it decoded and encoded them, digests of one text could differ between instances.
    """
    async with run_standin() as (standin, source, _):
        standin.publish("desk", 3, TEXT)
        assert (await source.read_tree("desk")).unwrap() == TreeRead(3, TEXT)
        assert (await source.watch_tree("desk", 2)).unwrap() == TreeRead(3, TEXT)
        assert (await source.watch_tree("desk", 3)).unwrap() is None


async def test_waiting_watch_is_one_call():
    async with run_standin() as (standin, source, _):
        standin.publish("desk", 1, b"{}")
        waiting = asyncio.create_task(source.watch_tree("desk", 1))
        while not standin.open_watches:
            await asyncio.sleep(0.001)
        standin.publish("other", 9, b"{}")
        standin.publish("desk", 2, b"[]")
        assert (await waiting).unwrap() == TreeRead(2, b"[]")
        assert standin.calls == {"watch": 1}


@pytest.mark.parametrize(("mode", "answered"), [("down", False), ("hang", False), ("up", True)])
async def test_faults_are_results(mode, answered):
    """A failing service must give a fault as the result.

    An exception would end the task of the reader.
    """
    async with run_standin() as (standin, source, session):
        standin.set_mode(mode)
        fault = (await source.read_tree("absent")).failure()
        assert fault.answered == answered
        if mode != "up":
            listed = await HttpInstanceSource(standin.base_url, session, 0.3).list_instances()
            assert not listed.failure().answered


UNUSABLE_BODIES = {
    "no json": b"<html>",
    "no version": b'{"value": {}}',
    "text version": b'{"version": "3", "value": {}}',
    "zero": b'{"version": 0, "value": {}}',
    "too high": b'{"version": 9007199254740993, "value": {}}',
    "cut": b'{"version": 3, "value": {"a"',
    "deep": b'{"version": 3, "value": ' + b"[" * 100_000 + b"}",
    "large value": b'{"version": 3, "value": "' + b"x" * 2**20 + b'"}',
    "large body": b" " * (3 * 2**20) + b'{"version": 3, "value": {}}',
}


@pytest.mark.parametrize("case", UNUSABLE_BODIES)
async def test_unusable_bodies(case):
    """A malformed or oversized answer must give a fault and no subtree."""

    async def answer(request):
        return web.Response(body=UNUSABLE_BODIES[case])

    app = web.Application()
    app.router.add_get("/v1/tree/desk", answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    base = f"http://127.0.0.1:{runner.addresses[0][1]}"
    async with aiohttp.ClientSession() as session:
        result = await HttpConfigSource(base, session).read_tree("desk")
        assert result.failure().answered
    await runner.cleanup()


async def test_reader_reports_news_and_list():
    async with run_standin() as (standin, _, session):
        listed = (InstanceEntry("one", "127.0.0.1:1", True),)
        standin.set_instances(listed)
        standin.publish("desk", 1, b"{}")
        async with run_reader(standin, session) as (_, events):
            seen = [await events.get(), await events.get()]
            assert {type(event) for event in seen} == {ConfigRead, InstancesListed}
            listing = next(event for event in seen if isinstance(event, InstancesListed))
            assert listing.entries == listed
            standin.publish("desk", 2, TEXT)
            while (await wait_for_event(events, ConfigRead)).text != TEXT:
                pass


@pytest.mark.parametrize("mode", ["down", "hang"])
async def test_reader_survives_an_outage(mode):
    """After an outage of the services the reader must read again and reset its fault count."""
    async with run_standin() as (standin, _, session):
        standin.publish("desk", 1, b"{}")
        standin.set_mode(mode)
        async with run_reader(standin, session) as (reader, events):
            while reader.describe()["config_service"]["faults_in_a_row"] < 2:
                await asyncio.sleep(0.01)
            standin.set_mode("up")
            assert (await wait_for_event(events, ConfigRead)).version == 1
            assert reader.describe()["config_service"]["faults_in_a_row"] == 0


async def test_service_with_an_older_version_is_shown():
    """A service whose version went back must appear in the status.

    A watch for newer versions alone would wait and show nothing; plain reads show it.
    """
    async with run_standin() as (standin, _, session):
        standin.publish("desk", 4, b"{}")
        standin.publish("desk", 9, b"[]")
        standin.go_back("desk", 4)
        async with run_reader(standin, session, accepted_versions={"desk": 9}) as (
            reader,
            events,
        ):
            assert (await wait_for_event(events, ConfigRead)).version == 4
            assert reader.describe()["config_service"]["behind"] == {"desk": 4}


async def test_absent_team_does_not_delay_others():
    """One unpublished subtree must not count as a fault of the service.

    Otherwise the reader would back off for all teams.
    """
    async with run_standin() as (standin, _, session):
        standin.publish("desk", 1, b"{}")
        async with run_reader(standin, session, ("absent", "desk")) as (reader, events):
            while not reader.describe()["config_service"]["unusable"]:
                await asyncio.sleep(0.01)
            await wait_for_event(events, ConfigRead)
            state = reader.describe()["config_service"]
            assert state["unusable"] == {"absent": "status 404"}
            assert state["faults_in_a_row"] == 0


async def test_instance_without_a_share_reads_nothing():
    """An instance that ``should_read_config`` allows no read must start none."""
    async with run_standin() as (standin, _, session):
        standin.publish("desk", 1, b"{}")
        async with run_reader(standin, session, ceiling=0) as (_, events):
            for _ in range(3):
                assert isinstance(await events.get(), InstancesListed)
        assert set(standin.calls) == {"instances"}


class RefusedVersion:
    """Source that holds version 2, while the instance keeps version 1 because it refuses 2."""

    def __init__(self):
        self.calls = asyncio.Queue()

    async def read_tree(self, team):
        assert team == "desk"
        self.calls.put_nowait("read")
        return Success(TreeRead(2, b"{}"))

    async def watch_tree(self, team, after):
        assert team == "desk"
        self.calls.put_nowait(after)
        return Success(TreeRead(2, b"{}") if after < 2 else None)

    async def list_instances(self):
        return Success(())


async def test_refused_version_does_not_answer_each_watch():
    """A watch must start after a refused version that was read already.

    Otherwise every watch would return that version, up to 1 MB, at once.
    """
    source = RefusedVersion()
    reader = PlatformReader(
        source,
        source,
        lambda _: None,
        lambda: 0,
        lambda: ("desk",),
        lambda _: 1,
        0,
        lambda: 1,
        rng=Random(1),
        interval_s=0.01,
    )
    await reader.start()
    assert [await source.calls.get() for _ in range(4)] == [1, "read", 2, "read"]
    await reader.stop()


async def test_lag_and_staleness():
    async with run_standin() as (standin, source, _):
        standin.publish("desk", 1, b"{}")
        standin.set_stale(True)
        standin.publish("desk", 2, b"{}")
        assert (await source.read_tree("desk")).unwrap().version == 1
        standin.set_stale(False)
        assert (await source.read_tree("desk")).unwrap().version == 2
        standin.set_lag(0.05)
        standin.publish("desk", 3, b"{}")
        assert (await source.read_tree("desk")).unwrap().version == 2
        while (await source.read_tree("desk")).unwrap().version != 3:
            await asyncio.sleep(0.01)


async def test_control_commands():
    async with run_standin() as (standin, source, session):
        url = standin.base_url + "/control"
        command = {"publish": {"team": "desk", "version": 2, "value": {"a": 1}}, "mode": "up"}
        async with session.post(url, json=command) as response:
            assert response.status == 200
        assert (await source.read_tree("desk")).unwrap() == TreeRead(2, b'{"a":1}')
        async with session.post(url, json={"mode": "hang"}) as response:
            assert (await response.json())["calls"] == {"tree": 1}
        async with session.post(url, json={"unknown": 1}) as response:
            assert response.status == 400
