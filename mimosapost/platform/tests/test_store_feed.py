"""Checks the store reader while another instance feeds it, against a stand-in for the store.

A reader that follows another instance makes no calls. Whatever that instance misses, holds back
or sends twice, the reader must end with the entries of the store, and never go back to an older
revision.
"""

from __future__ import annotations

import asyncio
import io
import json
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest

from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.logs import Logs
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.platform.store_reader import StoreReader
from mimosapost.platform.tests.standins import StandinServer, StandinStore, create_config
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    SourceLost,
    SourceRead,
    SourceRegained,
)

# A third of a second is the age from which a follower reads the store itself.
APPLY_LIMIT_MS = 600
LIMIT_SECONDS = 0.36


class Reader:
    """A store reader that records its events and may feed others."""

    def __init__(self, address: str, apply_limit_ms: int) -> None:
        self.events: list = []
        self.followers: list[Reader] = []
        self.log = io.StringIO()
        self.holds_back = False
        self.source = StoreReader(
            address,
            self.handle,
            read_clock_us,
            Logs(self.log),
            lambda: bool(self.followers),
            detection_limit_ms=2_000,
            apply_limit_ms=apply_limit_ms,
        )

    def handle(self, event) -> None:
        self.events.append(event)
        if isinstance(event, SourceRead) and not self.holds_back:
            for follower in self.followers:
                follower.source.apply_feed(
                    ApplyFeed(
                        event.after or event.as_of,
                        event.as_of,
                        event.entries,
                        event.confirmed_us,
                        event.is_regained,
                    )
                )

    def feed(self, after, as_of, entries=(), is_regained=False, age_ms=0) -> None:
        """Apply an update as if another instance had sent it."""
        confirmed_us = read_clock_us() - age_ms * 1_000
        update = ApplyFeed(after, as_of, tuple(entries), confirmed_us, is_regained)
        self.source.apply_feed(update)

    def list_events(self, *kinds):
        return [event for event in self.events if isinstance(event, kinds)]

    @property
    def revision(self) -> int:
        reads = self.list_events(SourceRead)
        return reads[-1].as_of if reads else 0

    def list_servers(self) -> set[str]:
        """Return the servers that the events leave in use."""
        servers: set[str] = set()
        for event in self.events:
            match event:
                case ServersReplaced():
                    servers = {server.server_id for server in event.servers}
                case ServerListed():
                    servers.add(event.server.server_id)
                case ServerUnlisted():
                    servers.discard(event.server_id)
        return servers


def create_entry(number=1, **changes):
    server = StandinServer(f"i-{number}", "s0", "a1")
    server.address = f"10.0.0.{number}:80"
    return server.create_entry(**changes)


async def wait_until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def run_readers(number=2, apply_limit_ms=APPLY_LIMIT_MS):
    """Run a reader and others that it feeds, after all of them have read the store."""
    async with AsyncExitStack() as stack:
        store = StandinStore()
        address = await store.start(stack)
        await store.put("op/config", create_config(1, ["s0"]))
        await store.put("servers/i-1", create_entry())
        readers = [Reader(address, apply_limit_ms) for _ in range(number)]
        for reader in readers:
            await reader.source.start()
            stack.push_async_callback(reader.source.stop)
            await wait_until(lambda reader=reader: reader.revision == store.revision)
        readers[0].followers = readers[1:]
        # Ends the long watches that were open before there were followers.
        await store.put("servers/i-2", create_entry(2))
        await wait_until(lambda: all("feed_followed" in r.log.getvalue() for r in readers[1:]))
        yield store, readers


async def test_followers_make_no_calls_and_see_all_changes():
    async with run_readers(4) as (store, readers):
        calls = len(store.requested_paths)
        await store.put("servers/i-3", create_entry(3))
        await store.remove("servers/i-1")
        await store.put("op/evacuate/b1", b"{}")
        await store.put("op/config", create_config(2, ["s0"]))
        await wait_until(lambda: all(r.revision == store.revision for r in readers))
        await asyncio.sleep(2 * LIMIT_SECONDS)
        for reader in readers:
            assert reader.list_servers() == {"i-2", "i-3"}
            assert reader.list_events(CatalogRead)[-1].catalog.version == 2
            assert reader.list_events(DomainsOut)[-1].domains == {"b1"}
        # The first reader watches in calls of 144 ms and pauses after changes.
        assert len(store.requested_paths) - calls < 16
        assert set(store.watch_waits_ms[-4:]) == {144}


async def test_a_silent_feed_is_replaced_by_own_calls_within_its_limit():
    async with run_readers() as (store, (first, follower)):
        first.holds_back = True
        await asyncio.sleep(0.05)
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: "i-3" in follower.list_servers(), LIMIT_SECONDS + 0.2)
        assert "feed_ended" in follower.log.getvalue()
        first.holds_back = False
        followed = follower.log.getvalue().count("feed_followed")
        await wait_until(lambda: follower.log.getvalue().count("feed_followed") > followed)


@asynccontextmanager
async def run_silenced_follower():
    """Run a follower whose own call waits on a connection that has gone silent."""
    async with run_readers() as (store, (first, follower)):
        first.followers = []
        await first.source.stop()
        watches = len(store.watch_waits_ms)
        await wait_until(lambda: "feed_ended" in follower.log.getvalue())
        await wait_until(lambda: len(store.watch_waits_ms) > watches)
        store.silence_connections()
        yield store, follower


@pytest.mark.parametrize(
    ("entry", "kind"),
    [
        pytest.param(
            SourceEntry("op/config", 0, json.dumps(create_config(2, ["s0"])).encode()),
            CatalogRead,
            id="configuration",
        ),
        pytest.param(
            SourceEntry("servers/i-1", 0, json.dumps(create_entry(state="draining")).encode()),
            ServerListed,
            id="server that leaves",
        ),
        pytest.param(
            SourceEntry("servers/i-1", 0, is_removed=True), ServerUnlisted, id="removed server"
        ),
        pytest.param(SourceEntry("op/evacuate/b1", 0, b"{}"), DomainsOut, id="domain out"),
    ],
)
async def test_a_call_on_a_silent_connection_does_not_delay_an_update(entry, kind):
    """Followers acted on an old configuration while their reader had sent the new one."""
    async with run_silenced_follower() as (store, follower):
        calls = len(store.requested_paths)
        count = len(follower.list_events(kind))
        revision = follower.revision
        follower.feed(revision, revision + 1, [replace(entry, revision=revision + 1)])
        await wait_until(lambda: len(follower.list_events(kind)) > count, 0.2)
        # The call is given up, and its end is no failure of the store.
        await asyncio.sleep(0.1)
        assert not follower.list_events(SourceLost)
        assert len(store.requested_paths) == calls


async def test_updates_that_are_too_old_are_applied_during_a_call_that_goes_on():
    """What they bring is newer than what is known, though the store must be read as well."""
    async with run_silenced_follower() as (store, follower):
        revision = follower.revision
        entry = SourceEntry("servers/i-1", revision + 1, is_removed=True)
        follower.feed(revision, revision + 1, [entry], age_ms=2_000)
        await wait_until(lambda: follower.list_servers() == {"i-2"}, 0.2)
        await store.remove("servers/i-1")
        await store.put("servers/i-3", create_entry(3))
        # Its call fails after the wait of its watch and the time limit for an answer.
        await wait_until(lambda: follower.list_servers() == {"i-2", "i-3"}, 2.2)


async def test_a_follower_does_not_use_a_connection_that_was_idle_while_it_was_fed():
    """Its first own call waited on a connection that had gone silent meanwhile."""
    async with run_readers() as (store, (first, follower)):
        await asyncio.sleep(LIMIT_SECONDS)
        store.silence_connections()
        first.holds_back = True
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: "i-3" in follower.list_servers(), LIMIT_SECONDS + 0.3)


async def test_a_follower_whose_history_is_lost_is_fed_while_the_store_turns_it_away():
    """It ignored its reader until it could read the list, and acted on old entries."""
    async with run_readers() as (store, (first, follower)):
        first.followers = []
        await first.source.stop()
        store.mode, store.next_mode = "compacted", "busy"
        await wait_until(lambda: follower.list_events(SourceLost))
        assert "store_history_lost" in follower.log.getvalue()
        revision = follower.revision
        entry = SourceEntry("servers/i-1", revision + 1, is_removed=True)
        follower.feed(revision, revision + 1, [entry])
        await wait_until(lambda: follower.list_servers() == {"i-2"}, 0.5)
        # The updates continue from what was read, so that no list is needed any more.
        store.mode = "serve"
        await wait_until(lambda: "feed_ended" in follower.log.getvalue().rpartition("lost")[2])
        lists = store.requested_paths.count("/api/kv-range")
        await wait_until(lambda: store.requested_paths[-1] == "/api/kv-watch")
        assert store.requested_paths.count("/api/kv-range") == lists


async def test_an_old_confirmation_does_not_keep_a_follower_from_the_store():
    async with run_readers() as (store, (first, follower)):
        first.followers = []
        revision = follower.revision
        await store.put("servers/i-3", create_entry(3))
        # Another instance passes on what it heard before, as feeds in a circle would.
        for _ in range(40):
            follower.feed(revision, revision, age_ms=1_000 * LIMIT_SECONDS)
            await asyncio.sleep(0.01)
        assert "i-3" in follower.list_servers()


@pytest.mark.parametrize(
    ("after", "as_of"),
    [
        pytest.param(1, 2, id="one change missing"),
        pytest.param(50, 60, id="ahead of the store"),
    ],
)
async def test_a_gap_is_read_from_the_store(after, as_of):
    async with run_readers() as (store, (first, follower)):
        first.followers = []
        revision = follower.revision
        calls = len(store.requested_paths)
        follower.feed(revision + after, revision + as_of, [])
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: "i-3" in follower.list_servers(), 2.5)
        assert len(store.requested_paths) > calls
        assert follower.revision == store.revision


async def test_older_and_repeated_updates_change_nothing():
    async with run_readers() as (store, (_first, follower)):
        old = [SourceEntry("servers/i-1", follower.revision, b"", True)]
        await store.put("op/config", create_config(2, ["s0"]))
        await wait_until(lambda: follower.revision == store.revision)
        revision = follower.revision
        follower.feed(revision - 3, revision - 1, old)
        follower.feed(revision - 3, revision, old)
        await asyncio.sleep(0.05)
        assert follower.list_servers() == {"i-1", "i-2"}
        revisions = [event.as_of for event in follower.list_events(SourceRead)]
        assert revisions == sorted(revisions)


async def test_an_unreadable_entry_of_a_feed_names_no_server():
    async with run_readers() as (_store, (first, follower)):
        first.followers = []
        revision = follower.revision
        entries = [SourceEntry("servers/i-1", revision + 1, b"\xff")]
        follower.feed(revision, revision + 1, entries)
        await wait_until(lambda: follower.list_servers() == {"i-2"})
        assert "entry_ignored" in follower.log.getvalue()


async def test_a_follower_is_fed_while_its_own_calls_fail():
    async with run_readers() as (store, (first, follower)):
        first.followers = []
        store.mode = "busy"
        await wait_until(lambda: follower.list_events(SourceLost))
        revision = follower.revision
        entry = SourceEntry("servers/i-1", revision + 1, is_removed=True)
        follower.feed(revision, revision + 1, [entry])
        await wait_until(lambda: follower.list_servers() == {"i-2"})
        lost, regained = follower.list_events(SourceLost, SourceRegained)[-2:]
        assert isinstance(lost, SourceLost)
        assert isinstance(regained, SourceRegained)


async def test_a_follower_learns_that_the_source_had_failed():
    """Let the store fail for less than the age at which a follower calls it.

    Entries that expired meanwhile must not count as servers that are gone.
    """
    async with run_readers() as (_store, (first, follower)):
        first.followers = []
        revision = follower.revision
        entry = SourceEntry("servers/i-1", revision + 1, is_removed=True)
        follower.feed(revision, revision + 1, [entry], is_regained=True)
        await wait_until(lambda: follower.list_servers() == {"i-2"})
        kinds = (SourceLost, SourceRegained, ServerUnlisted)
        order = [type(event) for event in follower.list_events(*kinds)]
        assert order == list(kinds)


async def test_a_lost_history_costs_the_followers_no_calls():
    async with run_readers() as (store, (first, follower)):
        first.holds_back = True
        await wait_until(lambda: first.revision == store.revision)
        first.holds_back = False
        lists = store.requested_paths.count("/api/kv-range")
        store.mode = "compacted"
        await store.remove("servers/i-1")
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: follower.list_servers() == {"i-2", "i-3"})
        assert store.requested_paths.count("/api/kv-range") <= lists + 1
        read = next(e for e in first.list_events(SourceRead) if e.after and e.entries[-1:])
        assert all(read.after < entry.revision for entry in read.entries)


@pytest.mark.parametrize("answer", ["list", "watch"])
async def test_an_answer_older_than_what_was_read_is_refused(answer):
    async with run_readers(1) as (store, (reader,)):
        await store.put("op/config", create_config(2, ["s0"]))
        await wait_until(lambda: reader.revision == store.revision)
        # The store loses its history and answers from a copy that is behind.
        newest = store.revision
        store.items["op/config"]["revision"] = store.items["servers/i-2"]["revision"] = 3
        store.items["op/extra"] = {"key": "op/extra", "value": "", "revision": 3}
        store.revision = 3
        if answer == "list":
            store.mode = "compacted"
        await wait_until(lambda: reader.list_events(SourceLost), 4.0)
        assert "answer as of revision 3" in reader.list_events(SourceLost)[-1].reason
        assert reader.revision == newest
        store.revision = newest
        await wait_until(lambda: reader.list_events(SourceRegained), 4.0)


async def test_changes_of_a_time_without_the_store_are_read_without_long_pauses():
    """Replay a store that turned an instance away while many changes were made.

    Its answers hold only a part of the changes. A pause after each of them, as in a burst,
    would keep the instance behind for seconds.
    """
    async with run_readers(1, apply_limit_ms=5_000) as (store, (reader,)):
        for number in range(10, 14):
            await store.put(f"servers/i-{number}", create_entry(number))
            await wait_until(lambda: reader.revision == store.revision)
        store.mode = "busy"
        await wait_until(lambda: reader.list_events(SourceLost))
        for number in range(20, 32):
            await store.put(f"servers/i-{number}", create_entry(number))
        await asyncio.sleep(1.6)
        store.watch_size = 4
        store.mode = "serve"
        started_us = read_clock_us()
        await wait_until(lambda: "i-31" in reader.list_servers())
        # The first pauses are 0.1 and 0.2 s, after a back-off of at most 0.4 s.
        assert read_clock_us() - started_us < 900_000


async def test_an_answer_that_is_cut_off_confirms_nothing_and_is_continued_at_once():
    """Replay hundreds of changes a second, of which an answer of the store holds only a part.

    The reader took each part for the newest state and paused after it. Its followers believed
    in entries that were seconds old.
    """
    async with run_readers(1, apply_limit_ms=5_000) as (store, (reader,)):
        store.mode = "busy"
        await wait_until(lambda: reader.list_events(SourceLost))
        confirmed_us = reader.list_events(SourceRead)[-1].confirmed_us
        for number in range(4_600):
            await store.put(f"servers/j-{number % 50}", create_entry(number % 50 + 10))
        store.mode = "serve"
        started_us = read_clock_us()
        await wait_until(lambda: reader.revision == store.revision, 10)
        # The limit is that of a single pause, after a back-off of at most 0.4 s.
        assert read_clock_us() - started_us < 1_500_000
        *parts, last = [read for read in reader.list_events(SourceRead) if read.entries][-10:]
        assert {len(read.entries) for read in parts} == {500}
        assert {read.confirmed_us for read in parts} == {confirmed_us}
        assert last.confirmed_us > started_us


async def test_an_answer_is_as_old_as_its_first_byte():
    """An answer that arrived slowly counted as new at its last byte."""
    async with AsyncExitStack() as stack:
        store = StandinStore()
        address = await store.start(stack)
        store.mode = "congested"
        await store.put("op/config", create_config(1, ["s0"]))
        reader = Reader(address, APPLY_LIMIT_MS)
        await reader.source.start()
        stack.push_async_callback(reader.source.stop)
        await wait_until(lambda: reader.revision == store.revision)
        (read,) = reader.list_events(SourceRead)
        # The store takes 1.25 s from the first part of a list to the last one.
        assert read.now_us - read.confirmed_us >= 1_200_000


async def test_changes_of_a_watch_are_fed_in_order():
    """Nothing states that the store orders the changes of an answer, and followers check it."""
    async with run_readers() as (store, (first, follower)):
        store.is_disordered = True
        for number in range(10, 14):
            await store.put(f"servers/i-{number}", create_entry(number))
        await wait_until(lambda: "i-13" in follower.list_servers())
        for event in first.list_events(SourceRead):
            revisions = [entry.revision for entry in event.entries]
            assert revisions == sorted(revisions)
            assert not revisions or event.after < revisions[0] <= revisions[-1] <= event.as_of
        assert first.list_servers() == follower.list_servers()
