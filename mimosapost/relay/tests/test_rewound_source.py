"""Replays a source that returns from an older copy: what is known stays in force.

Each case names what the instance knew, what the copy lists, and what is used then and after the
writers had the time to write again.
"""

from __future__ import annotations

import pytest

from mimosapost.relay.catalog import create_catalog
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    TimerFired,
)
from mimosapost.relay.messages import BackendServer
from mimosapost.relay.reducer import reduce
from mimosapost.relay.rewound_source import REWOUND_DOMAINS_US, REWOUND_US
from mimosapost.relay.state import InstanceSettings, UnansweredSend, create_relay_state

START_US = 1_000_000


def create_server(number=1, started_ms=5, draining=False) -> BackendServer:
    address = f"10.0.0.{number}:80"
    return BackendServer(f"i-{number}", "s0", address, "a1", 2, draining, 0, started_ms)


def create_state(*servers: BackendServer):
    state = create_relay_state(InstanceSettings("n1", "a1", "r1", {"a1": "r1"}), 1)
    reduce(state, CatalogRead(START_US, create_catalog(3, [], [])))
    reduce(state, ServersReplaced(START_US, servers))
    return state


def describe(state) -> dict[str, tuple[int, bool]]:
    return {
        server_id: (record.server.process_started_ms, record.server.draining)
        for server_id, record in state.servers.items()
    }


RUNNING, LEAVING = create_server(), create_server(draining=True)
RESTARTED = create_server(started_ms=9)


@pytest.mark.parametrize(
    ("known", "listed", "at_once", "later"),
    [
        ((LEAVING,), (RUNNING,), {"i-1": (5, True)}, {"i-1": (5, True)}),
        ((RESTARTED,), (RUNNING,), {"i-1": (9, False)}, {"i-1": (9, False)}),
        ((RUNNING,), (RESTARTED,), {"i-1": (9, False)}, {"i-1": (9, False)}),
        ((RUNNING,), (LEAVING,), {"i-1": (5, True)}, {"i-1": (5, True)}),
        ((), (RUNNING,), {"i-1": (5, False)}, {"i-1": (5, False)}),
    ],
    ids=["leaving", "restarted", "not_known_yet", "left_earlier", "new"],
)
def test_what_is_known_of_a_server_stays_in_force(known, listed, at_once, later):
    state = create_state(*known)
    now_us = START_US + 1
    reduce(state, ServersReplaced(now_us, listed, is_rewound=True))
    assert describe(state) == at_once
    reduce(state, TimerFired(now_us + REWOUND_US))
    assert describe(state) == later


@pytest.mark.parametrize(
    ("event", "at_once", "later"),
    [
        (None, {}, {"i-1": (5, False)}),
        (ServerUnlisted(START_US + 3, "i-1", "removed"), {}, {}),
        (ServerListed(START_US + 3, RUNNING), {"i-1": (5, False)}, {"i-1": (5, False)}),
    ],
    ids=["still_listed", "expired", "written_again"],
)
def test_a_server_that_was_removed_waits(event, at_once, later):
    state = create_state(RUNNING)
    reduce(state, ServerUnlisted(START_US + 1, "i-1", "removed"))
    reduce(state, ServersReplaced(START_US + 2, (RUNNING,), is_rewound=True))
    assert describe(state) == {}
    if event is not None:
        reduce(state, event)
    assert describe(state) == at_once
    reduce(state, TimerFired(START_US + 2 + REWOUND_US))
    assert describe(state) == later


@pytest.mark.parametrize(
    ("returning", "is_crash"), [(LEAVING, False), (create_server(started_ms=9), True)]
)
def test_the_same_process_written_again_has_not_crashed(returning, is_crash):
    state = create_state(LEAVING)
    state.unanswered[LEAVING.address] = {7: UnansweredSend(START_US, START_US, True, False)}
    reduce(state, ServersReplaced(START_US + 1, (), is_rewound=True))
    reduce(state, ServerListed(START_US + 2, returning))
    assert list(state.servers) == ["i-1"]
    assert (LEAVING.address not in state.unanswered) == is_crash


def test_a_list_of_the_same_era_changes_as_before():
    state = create_state(LEAVING)
    reduce(state, ServersReplaced(START_US + 1, (RUNNING,)))
    assert describe(state) == {"i-1": (5, False)}


@pytest.mark.parametrize(
    ("known", "removed", "expected"),
    [((LEAVING,), (), {"i-1": (5, True)}), ((RUNNING,), ("i-1",), {})],
    ids=["leaving", "removed"],
)
def test_another_list_before_all_is_written_again_is_not_believed_either(
    known, removed, expected
):
    state = create_state(*known)
    for server_id in removed:
        reduce(state, ServerUnlisted(START_US + 1, server_id, "removed"))
    reduce(state, ServersReplaced(START_US + 2, (RUNNING,), is_rewound=True))
    reduce(state, ServersReplaced(START_US + 3, (RUNNING,)))
    assert describe(state) == expected


def test_a_second_return_starts_the_wait_anew():
    state = create_state(RUNNING)
    reduce(state, ServerUnlisted(START_US + 1, "i-1", "removed"))
    reduce(state, DomainsOut(START_US + 1, frozenset({"a1"})))
    for now_us in (START_US + 2, START_US + REWOUND_US):
        reduce(state, DomainsOut(now_us, frozenset(), is_rewound=True))
        reduce(state, ServersReplaced(now_us, (RUNNING,), is_rewound=True))
    reduce(state, TimerFired(START_US + 2 + REWOUND_US))
    assert (describe(state), state.domains_out) == ({}, {"a1"})
    reduce(state, TimerFired(START_US + 2 * REWOUND_US))
    assert (describe(state), state.domains_out) == ({"i-1": (5, False)}, {"a1"})
    reduce(state, TimerFired(START_US + 2 + REWOUND_DOMAINS_US))
    assert state.domains_out == {"a1"}
    reduce(state, TimerFired(START_US + REWOUND_US + REWOUND_DOMAINS_US))
    assert state.domains_out == frozenset()


@pytest.mark.parametrize(
    ("written_us", "later_domains", "at_end"),
    [
        (3, None, frozenset()),
        (3, (frozenset({"a1"}),), {"a1"}),
        (3, (frozenset({"a1"}), frozenset()), ()),
        (REWOUND_US + 3, (frozenset({"a1"}),), {"a1"}),
        (REWOUND_DOMAINS_US - 1, (frozenset({"a1"}),), {"a1"}),
    ],
    ids=["not_written_again", "written_again", "written_and_withdrawn", "later", "last"],
)
def test_domains_stay_out_until_they_can_be_written_again(written_us, later_domains, at_end):
    state = create_state(RUNNING)
    reduce(state, DomainsOut(START_US + 1, frozenset({"a1"})))
    reduce(state, DomainsOut(START_US + 2, frozenset(), is_rewound=True))
    reduce(state, ServersReplaced(START_US + 2, (RUNNING,), is_rewound=True))
    assert state.domains_out == {"a1"}
    if written_us > REWOUND_US:
        reduce(state, TimerFired(START_US + 2 + REWOUND_US))
        assert state.domains_out == {"a1"}
    for domains in later_domains or ():
        reduce(state, DomainsOut(START_US + written_us, domains))
        assert state.domains_out == domains
    if later_domains is None:
        reduce(state, TimerFired(START_US + 1 + REWOUND_DOMAINS_US))
        assert state.domains_out == {"a1"}
    reduce(state, TimerFired(START_US + 2 + REWOUND_DOMAINS_US))
    assert state.domains_out == frozenset(at_end)


def test_an_older_configuration_never_replaces_the_one_in_force():
    state = create_state()
    reduce(state, CatalogRead(START_US + 1, create_catalog(2, [], [])))
    assert state.catalog.version == 3
