"""Operators ask an instance where a request would go while it is under load.

Each case explains a request, checks that the state is the same as before, and then lets the
same request arrive: it must meet what the explanation said.
"""

from __future__ import annotations

import pickle
from dataclasses import replace

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.events import StopRequested
from mimosapost.relay.catalog import ServiceRules, Workspace, create_catalog
from mimosapost.relay.events import CatalogRead, DomainsOut
from mimosapost.relay.explanations import (
    UnknownWorkspaceError,
    explain_request,
    use_workspace,
)
from mimosapost.relay.messages import RelayRequest
from mimosapost.relay.tests.relay_harness import (
    HOST,
    Relay,
    create_gathered_relay,
    create_route,
    create_servers,
    create_single_relay,
    create_single_route,
)
from mimosapost.relay.tests.test_gathers import create_fleet
from mimosapost.relay.tests.test_workspaces import create_relay as create_workspace_relay

COLD_RULES = (ServiceRules("one", 100, cold_per_second=400.0),)


def create_request(relay, path="/search/x", deadline_ms=600, fingerprint=1, **changes):
    deadline_us = relay.now_us + deadline_ms * 1_000
    request = RelayRequest(0, "", HOST, path, deadline_us, b"", b"", fingerprint)
    return replace(request, **changes)


def take_snapshot(state) -> bytes:
    """Return all that the state holds except the catalog, which never changes."""
    if state.peers is not None:
        state.peers.members.list_members()
    return pickle.dumps(replace(state, catalog=None))


def explain(relay, **changes):
    """Explain a request and check that nothing has changed."""
    before = take_snapshot(relay.state)
    catalog = relay.state.catalog
    explanation = explain_request(relay.state, create_request(relay, **changes), relay.now_us)
    assert take_snapshot(relay.state) == before
    assert relay.state.catalog is catalog
    return explanation


def describe_real(relay, **changes):
    """Let a request arrive; return its refusal, or the server and partner of each part."""
    number = relay.request(**changes)
    reply = relay.get_reply(number)
    if reply is not None:
        return int(reply.code), reply.retry_after_us // 1_000
    state = relay.state
    parts = []
    for part in state.requests[number].parts:
        gathers = [state.gathers[gather_id].peer for gather_id in part.gather_ids]
        servers = part.tried_servers or [""]
        parts.append((part.service, servers[0], gathers[0] if gathers else ""))
    return parts


def describe_planned(explanation):
    if explanation.refusal is not None:
        return explanation.refusal.code, explanation.refusal.retry_after_ms
    return [(p.service, p.server, p.partner) for p in explanation.parts]


def fill(relay, requests=40):
    """Open requests until no server has room."""
    for _ in range(requests):
        relay.request("/look/x")


def limit_servers(relay):
    for send_number in range(2):
        relay.request("/look/x")
        for send in relay.pop_sends():
            relay.answer(send, limit_per_second=0.1 + send_number)


def change_records(relay, **changes):
    for record in relay.state.servers.values():
        for name, value in changes.items():
            setattr(record, name, value)


def create_gathering_relay():
    return create_fleet(server_domains=("a1",))["n1"]


def create_mixed_fleet_relay():
    return create_fleet(domains=("c1", "a1", "b1"))["n1"]


def create_split_relay():
    route = create_single_route(split=(("one", 2.0), ("two", 1.0)))
    return Relay([route], create_servers("one") + create_servers("two"))


def create_cold_relay():
    relay = create_single_relay(rules=COLD_RULES)
    change_records(relay, cold_until_us=relay.now_us + 10**9)
    return relay


@pytest.mark.parametrize(
    ("create", "prepare", "changes"),
    [
        pytest.param(create_gathered_relay, None, {}, id="direct"),
        pytest.param(create_gathering_relay, None, {}, id="gathered"),
        pytest.param(create_mixed_fleet_relay, None, {}, id="several-partners"),
        pytest.param(create_split_relay, None, {"path": "/look/x"}, id="split"),
        pytest.param(create_cold_relay, None, {"path": "/look/x"}, id="cold"),
        pytest.param(create_single_relay, fill, {"path": "/look/x"}, id="no-room"),
        pytest.param(create_single_relay, limit_servers, {"path": "/look/x"}, id="limited"),
        pytest.param(
            create_gathered_relay,
            lambda relay: change_records(relay, blocked_until_us=relay.now_us + 300_000),
            {},
            id="all-blocked",
        ),
        pytest.param(
            create_gathered_relay,
            lambda relay: relay.apply_event(DomainsOut(relay.now_us, frozenset({"a1"}))),
            {},
            id="domain-out",
        ),
        pytest.param(
            create_gathered_relay,
            lambda relay: relay.apply_event(StopRequested(relay.now_us - 10**9)),
            {},
            id="stopping",
        ),
        pytest.param(create_gathered_relay, None, {"deadline_ms": 13}, id="no-time"),
        pytest.param(create_gathered_relay, None, {"path": "/none/x"}, id="no-route"),
        pytest.param(create_workspace_relay, None, {"path": "/look/x"}, id="no-key"),
    ],
)
def test_the_next_request_meets_what_was_explained(create, prepare, changes):
    relay = create()
    if prepare is not None:
        prepare(relay)
    for _ in range(5):
        explanation = explain(relay, **changes)
        assert describe_planned(explanation) == describe_real(relay, **changes)


def test_parts_gathered_at_a_partner_name_it():
    explanation = explain(create_gathering_relay())
    (gather,) = explanation.gathers
    assert (gather.domain, gather.partner, gather.parts) == ("a1", "n2", 8)
    assert {(p.outcome, p.partner) for p in explanation.parts} == {("gathered", "n2")}


def take_out(relay):
    relay.apply_event(DomainsOut(relay.now_us, frozenset({"a1"})))


@pytest.mark.parametrize(
    ("create", "prepare", "expected"),
    [
        (create_single_relay, None, ()),
        (create_single_relay, take_out, ("domain_out",)),
        (create_cold_relay, None, ("cold",)),
        (create_single_relay, fill, ("no_room",)),
        (create_single_relay, limit_servers, ("named_limit",)),
        (
            create_single_relay,
            lambda relay: change_records(relay, misdirected=True, reserved_until_us=10**9),
            ("misdirected", "reserved"),
        ),
        (
            create_single_relay,
            lambda relay: change_records(relay, blocked_until_us=10**9),
            ("blocked",),
        ),
        (lambda: create_single_relay(regions=frozenset({"west"})), None, ("region",)),
    ],
    ids=["none", "domain", "cold", "room", "limit", "two", "blocked", "region"],
)
def test_what_excludes_a_server_is_named(create, prepare, expected):
    relay = create()
    if prepare is not None:
        prepare(relay)
    (part,) = explain(relay, path="/look/x").parts
    assert {s.server: s.excluded for s in part.servers}["one-0"] == expected


def test_a_hung_server_is_listed_last():
    relay = create_single_relay()
    relay.state.servers["one-0"].hung_until_us = relay.now_us + 1
    (part,) = explain(relay, path="/look/x").parts
    assert [(s.server, s.is_last) for s in part.servers] == [("one-1", False), ("one-0", True)]
    assert part.server == "one-1"


def test_a_suspect_waits_for_its_trial():
    relay = create_single_relay()
    relay.request("/look/y", fingerprint=2)
    relay.state.suspects.record_crash("10.0.0.1:80", (1, 2), relay.now_us)
    explanation = explain(relay, path="/look/x")
    assert (explanation.suspicion, explanation.outcome) == ("suspect", "started")
    (part,) = explanation.parts
    assert part.outcome == "waits_for_trial"
    assert ("busy_for_suspect",) in {s.excluded for s in part.servers}


def test_a_request_before_the_first_configuration_is_held():
    relay = create_gathered_relay()
    relay.state.catalog, relay.state.servers_listed = None, False
    explanation = explain(relay)
    assert (explanation.outcome, explanation.version, explanation.parts) == ("held", 0, ())


def test_a_workspace_is_given_by_name():
    relay = create_workspace_relay()
    request = use_workspace(relay.state, create_request(relay, path="/look/x"), "library")
    explanation = explain_request(relay.state, request, relay.now_us)
    assert (explanation.workspace, explanation.outcome) == ("library", "started")
    assert "key" not in repr(explanation)
    with pytest.raises(UnknownWorkspaceError):
        use_workspace(relay.state, request, "other")


def test_the_limit_of_a_workspace_is_explained_and_not_used():
    relay = create_workspace_relay({b"key-l": Workspace("library", per_second=2.0, burst=1.0)})
    changes = {"path": "/look/x", "key_digest": b"key-l"}
    outcomes = set()
    for _ in range(12):
        explanation = explain(relay, **changes)
        assert describe_planned(explanation) == describe_real(relay, **changes)
        outcomes.add(explanation.outcome)
    assert outcomes == {"started", "refused"}
    assert explanation.refusal.code == ResultCode.CALLER_LIMIT


def test_an_answer_on_many_parts_is_bounded():
    shards = tuple(f"s{n}" for n in range(800))
    servers = [s for shard in shards for s in create_servers(shard)]
    relay = Relay([create_route(shards=shards)], servers)
    explanation = explain(relay)
    assert (explanation.parts_total, len(explanation.parts)) == (800, 720)
    assert all(part.servers[0].server == part.server for part in explanation.parts)
    assert {(len(p.servers), p.servers_left_out) for p in explanation.parts} == {(1, 1)}


def test_a_refusal_names_code_and_status():
    relay = create_gathered_relay()
    change_records(relay, blocked_until_us=relay.now_us + 300_000)
    explanation = explain(relay)
    assert (explanation.outcome, explanation.refusal.status) == ("refused", 503)
    assert explanation.refusal.name == ResultCode.OVERLOADED.name
    assert 300 <= explanation.refusal.retry_after_ms <= 450
    assert (explanation.usable_parts, explanation.needed_parts) == (0, 3)
    assert {part.outcome for part in explanation.parts} == {"not_sent"}


def test_a_new_configuration_is_explained_at_once():
    relay = create_gathered_relay()
    catalog = create_catalog(2, [create_route("find")], [])
    relay.apply_event(CatalogRead(relay.now_us, catalog))
    explanation = explain(relay, path="/find/x")
    assert (explanation.version, explanation.route) == (2, "find")
