"""Checks the store reader while the store returns from an older copy.

Revisions are then given out again for other changes. The era that the store names tells them
apart; what the reader ends with is the content of the store.
"""

from __future__ import annotations

import re

import pytest

from mimosapost.edge.clock import read_clock_us
from mimosapost.platform.store_positions import MAX_REVISION, create_position, get_revision
from mimosapost.platform.tests.standins import create_config
from mimosapost.platform.tests.test_store_feed import (
    Reader,
    create_entry,
    run_readers,
    wait_until,
)
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import CatalogRead, DomainsOut, ServersReplaced, SourceLost


def is_current(reader: Reader, store) -> bool:
    return get_revision(reader.revision) == store.revision


async def rewind_with_other_changes(store, lost: int, made: int, era: str | None) -> None:
    """Lose changes that were read, and make others under the revisions given out again."""
    data = store.copy()
    for number in range(lost):
        await store.put(f"servers/i-{10 + number}", create_entry(10 + number))
    yield
    store.rewind(data, era)
    for number in range(made):
        await store.put(f"servers/i-{20 + number}", create_entry(20 + number))
    yield


@pytest.mark.parametrize(
    ("lost", "made"),
    [(3, 0), (3, 1), (3, 3), (3, 5)],
    ids=["none_made", "behind", "same_revision", "ahead"],
)
async def test_revisions_given_out_again_are_not_taken_for_known(lost, made):
    async with run_readers(2, apply_limit_ms=600) as (store, readers):
        store.era = "4"
        drill = rewind_with_other_changes(store, lost, made, "5")
        await anext(drill)
        await wait_until(lambda: all(is_current(r, store) for r in readers))
        await anext(drill)
        expected = {f"i-{20 + n}" for n in range(made)} | {"i-1", "i-2"}
        await wait_until(lambda: all(r.list_servers() == expected for r in readers))
        for reader in readers:
            assert any(event.is_rewound for event in reader.list_events(ServersReplaced))
            assert reader.list_events(SourceLost)
            assert reader.log.getvalue().count('event="store_rewound" era=5') == 1
            logged = re.findall(r" revision=(\d+)", reader.log.getvalue())
            assert max(map(int, logged)) <= MAX_REVISION
        await store.put("servers/i-9", create_entry(9))
        await wait_until(lambda: all("i-9" in r.list_servers() for r in readers))


@pytest.mark.parametrize("era", [None, "", "x", "-1", "5 5", "99999999999", "1.5"])
async def test_absent_or_malformed_eras_count_as_the_known_one(era):
    async with run_readers(1) as (store, (reader,)):
        store.era = "7"
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: reader.revision == create_position(7, store.revision))
        store.era = era
        await store.put("servers/i-4", create_entry(4))
        await wait_until(lambda: reader.revision == create_position(7, store.revision))
        assert reader.list_servers() == {"i-1", "i-2", "i-3", "i-4"}
        assert ("store_era_malformed" in reader.log.getvalue()) == (era is not None)


async def test_an_answer_of_a_lower_era_is_refused():
    async with run_readers(1) as (store, (reader,)):
        store.era = "7"
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: reader.revision == create_position(7, store.revision))
        store.era = "6"
        await store.put("servers/i-4", create_entry(4))
        await wait_until(lambda: reader.list_events(SourceLost)[1:])
        assert reader.list_servers() == {"i-1", "i-2", "i-3"}
        store.era = "7"
        await wait_until(lambda: "i-4" in reader.list_servers())


async def test_a_configuration_in_force_is_read_again_from_the_copy():
    async with run_readers(1) as (store, (reader,)):
        data = store.copy()
        await store.put("op/config", create_config(2, ["s0"]))
        await store.put("op/evacuate/b1", b"{}")
        await wait_until(lambda: reader.revision == store.revision)
        store.rewind(data, "1")
        await wait_until(lambda: reader.list_events(ServersReplaced)[-1].is_rewound)
        assert reader.list_events(CatalogRead)[-1].catalog.version == 1
        assert reader.list_events(DomainsOut)[-1] == DomainsOut(
            reader.list_events(DomainsOut)[-1].now_us, frozenset(), is_rewound=True
        )


@pytest.mark.parametrize(("era", "is_list_needed"), [(2, False), (4, True)])
async def test_a_feed_of_another_era_is_not_applied(era, is_list_needed):
    async with run_readers(2) as (store, (first, follower)):
        store.era = "3"
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: follower.revision == create_position(3, store.revision))
        first.followers = []
        lists = len(follower.list_events(ServersReplaced))
        after = create_position(era, store.revision)
        if era == 4:
            store.era = "4"
        update = ApplyFeed(after, after + 1, (), read_clock_us())
        follower.source.apply_feed(update)
        await store.put("servers/i-4", create_entry(4))
        expected = create_position(max(era, 3), store.revision)
        await wait_until(lambda: follower.revision == expected)
        assert follower.list_servers() == {"i-1", "i-2", "i-3", "i-4"}
        assert (len(follower.list_events(ServersReplaced)) > lists) == is_list_needed


async def test_a_follower_reads_the_list_as_soon_as_it_hears_of_a_new_era():
    async with run_readers(2) as (store, (first, follower)):
        data = store.copy()
        await store.put("servers/i-3", create_entry(3))
        await wait_until(lambda: "i-3" in follower.list_servers())
        await first.source.stop()
        store.rewind(data, "1")
        await store.put("servers/i-4", create_entry(4))
        calls = len(store.requested_paths)
        position = create_position(1, store.revision)
        follower.feed(position, position)
        await wait_until(lambda: follower.revision == position)
        assert store.requested_paths[calls] == "/api/kv-range"
        assert follower.list_servers() == {"i-1", "i-2", "i-4"}


async def test_a_feed_that_names_a_wrong_era_causes_one_list():
    async with run_readers(2) as (store, (_, follower)):
        lists = len(follower.list_events(ServersReplaced))
        position = create_position(9, 1)
        for number in (3, 4, 5):
            follower.feed(position, position)
            await store.put(f"servers/i-{number}", create_entry(number))
            await wait_until(lambda n=number: f"i-{n}" in follower.list_servers())
        assert len(follower.list_events(ServersReplaced)) == lists + 1
        assert not any(e.is_rewound for e in follower.list_events(ServersReplaced))
