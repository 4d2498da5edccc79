"""Callers of many workspaces share connections and servers, and their keys change meanwhile.

A request without a known key must not run, a server must be told the workspace that holds the
key, and requests that wait must follow a key that is moved or taken away.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.model.peer_messages import Gather
from mimosapost.relay.catalog import (
    ServiceRules,
    Workspace,
    WorkspaceFault,
    WorkspaceRules,
    create_catalog,
)
from mimosapost.relay.events import CatalogRead
from mimosapost.relay.messages import Refusal
from mimosapost.relay.tests.relay_harness import Relay, create_servers, create_single_route
from mimosapost.relay.tests.test_gathers import SHARDS, answer_all, create_fleet, create_route

LIBRARY = Workspace("library")
ARCHIVE = Workspace("archive")
RULES = {b"key-l": LIBRARY, b"key-a": ARCHIVE}
ROUTES = [create_single_route(), create_single_route("open", is_public=True)]


def create_rules(by_digest, faults=()):
    """Return rules with the workspaces of some keys; ``None`` for no workspaces at all."""
    if by_digest is None:
        return None
    return WorkspaceRules({w.name: w for w in by_digest.values()}, by_digest, faults)


def apply_keys(relay, by_digest, routes=ROUTES, faults=()):
    """Apply the next version of the configuration, with other keys."""
    version = relay.state.catalog.version + 1
    names = sorted(relay.state.by_service)
    services = [ServiceRules(name, 100) for name in names]
    rules = create_rules(by_digest, faults)
    catalog = create_catalog(version, routes, services, workspace_rules=rules)
    relay.apply_event(CatalogRead(relay.now_us, catalog))


def create_relay(by_digest=RULES, slots=2, routes=ROUTES, domains=("a1", "b1")):
    relay = Relay(routes, create_servers("one", domains, slots=slots))
    apply_keys(relay, by_digest, routes)
    relay.effects.clear()
    return relay


@pytest.mark.parametrize(
    ("by_digest", "path", "digest", "expected", "lines"),
    [
        pytest.param(RULES, "/look/x", b"key-l", "library", b"", id="known"),
        pytest.param(RULES, "/look/x", b"other", "unknown key", None, id="unknown"),
        pytest.param(RULES, "/look/x", b"", "no key", None, id="absent"),
        pytest.param({}, "/look/x", b"key-l", "unknown key", None, id="no-key-configured"),
        pytest.param(RULES, "/open/x", b"", "", b"", id="public"),
        pytest.param(RULES, "/open/x", b"key-l", "", b"", id="public-with-key"),
        pytest.param(None, "/look/x", b"key-l", "", b"\r\nX-Own: 1", id="no-workspaces"),
    ],
)
def test_the_key_decides_on_a_request(by_digest, path, digest, expected, lines):
    relay = create_relay(by_digest)
    number = relay.request(path, key_digest=digest, workspace_lines=b"X-Own: 1")
    sends = relay.pop_sends()
    if lines is None:
        assert relay.get_reply(number) == Refusal(ResultCode.UNKNOWN_CALLER, 0, expected)
        assert not sends
        return
    (send,) = sends
    assert send.workspace == expected
    assert send.request.head == b"GET" + lines
    relay.answer(send)
    assert relay.get_reply(number).code is ResultCode.COMPLETE


def test_an_unknown_route_is_refused_as_such_without_a_key():
    relay = create_relay()
    assert relay.get_reply(relay.request("/none/x")).code is ResultCode.UNKNOWN_SERVICE


def fill_servers(relay):
    """Open sends until further requests wait."""
    while relay.request("/open/x") and len(relay.pop_sends()):
        pass


@pytest.mark.parametrize(
    ("keys", "is_sent", "expected"),
    [
        pytest.param({b"key-a": ARCHIVE}, False, None, id="taken-away-waits"),
        pytest.param({b"key-a": ARCHIVE}, True, "library", id="taken-away-sent"),
        pytest.param({b"key-l": ARCHIVE}, False, "archive", id="moved-waits"),
        pytest.param({b"key-l": ARCHIVE}, True, "library", id="moved-sent"),
        pytest.param({**RULES, b"new": LIBRARY}, False, "library", id="added"),
        pytest.param({}, False, None, id="all-keys-lost"),
        pytest.param(None, False, "library", id="workspaces-no-longer-used"),
    ],
)
def test_open_requests_follow_their_key(keys, is_sent, expected):
    relay = create_relay()
    if not is_sent:
        fill_servers(relay)
    number = relay.request("/look/x", key_digest=b"key-l")
    assert len(relay.pop_sends()) == is_sent
    apply_keys(relay, keys)
    if expected is None:
        assert relay.get_reply(number) == Refusal(ResultCode.UNKNOWN_CALLER, 0, "unknown key")
        assert number not in relay.state.requests
        return
    assert relay.get_reply(number) is None
    assert relay.state.requests[number].workspace.name == expected


def test_keys_change_on_with_each_version():
    relay = create_relay({b"old": LIBRARY})
    apply_keys(relay, {b"old": LIBRARY, b"new": LIBRARY})
    for digest in (b"old", b"new"):
        assert relay.get_reply(relay.request("/look/x", key_digest=digest)) is None
    apply_keys(relay, {b"new": LIBRARY})
    refused = relay.get_reply(relay.request("/look/x", key_digest=b"old"))
    assert refused.code is ResultCode.UNKNOWN_CALLER
    assert relay.get_reply(relay.request("/look/x", key_digest=b"new")) is None


def test_the_priority_of_the_workspace_goes_before_the_routes():
    urgent = {b"key-l": Workspace("library", 5), b"key-a": Workspace("archive", 0)}
    relay = create_relay(urgent, domains=("a1",), slots=1)
    fill_servers(relay)
    late = relay.request("/look/x", key_digest=b"key-l")
    first = relay.request("/look/x", key_digest=b"key-a")
    relay.answer(next(iter(relay.state.sends.values())))
    assert next(send.request.request_number for send in relay.pop_sends()) == first
    assert late in relay.state.requests


@pytest.mark.parametrize(
    ("route_regions", "regions", "expected"),
    [
        pytest.param("", "", {"north", "south"}, id="none"),
        pytest.param("north south", "south", {"south"}, id="both"),
        pytest.param("", "south", {"south"}, id="workspace"),
        pytest.param("north", "south", set(), id="nothing-left"),
    ],
)
def test_the_regions_of_route_and_workspace_both_apply(route_regions, regions, expected):
    routes = [create_single_route(regions=frozenset(route_regions.split()))]
    workspace = Workspace("library", regions=frozenset(regions.split()))
    relay = create_relay({b"key-l": workspace}, routes=routes)
    for _ in range(6):
        relay.request("/look/x", key_digest=b"key-l")
    used = {relay.state.servers[s.server.server_id].region for s in relay.pop_sends()}
    assert used == expected


def create_workspace_fleet(workspace, **changes):
    """Return a fleet with one workspace, whose first instance is near no server."""
    fleet = create_fleet(**changes)
    routes = [create_route(shards=SHARDS, goal_us=140_000, min_coverage=0.9)]
    for relay in fleet.relays.values():
        apply_keys(relay, {b"key-l": workspace}, routes)
    return fleet


def test_gathers_carry_the_name_and_neither_key_nor_digest():
    fleet = create_workspace_fleet(LIBRARY, server_domains=("a1",))
    number = fleet["n1"].request(key_digest=b"key-l", workspace_lines=b"X-Key: secret")
    fleet.advance(9)
    (message,) = [m for _, _, m in fleet.messages if isinstance(m, Gather)]
    assert message.workspace == "library"
    assert not any(text in repr(message) for text in ("secret", "key-l"))
    sends = fleet["n2"].pop_sends()
    assert {send.workspace for send in sends} == {"library"}
    for send in sends:
        fleet["n2"].answer(send)
    answer_all(fleet)
    assert fleet["n1"].get_reply(number).missing == 0


def test_gathers_stay_in_the_regions_of_the_workspace():
    workspace = Workspace("library", regions=frozenset({"south"}))
    fleet = create_workspace_fleet(workspace, domains=("c1", "a1", "b1"))
    fleet["n1"].request(key_digest=b"key-l")
    fleet.advance(9)
    asked = {receiver for _, receiver, m in fleet.messages if isinstance(m, Gather)}
    assert asked == {"n3"}
    assert {send.server.domain for send in fleet["n3"].pop_sends()} == {"b1"}


def test_a_gather_for_an_unknown_workspace_is_sent_directly():
    """An instance that does not know the workspace must not ask servers in its name."""
    fleet = create_workspace_fleet(LIBRARY, server_domains=("a1",))
    rules = create_rules({b"key-a": ARCHIVE})
    partner = fleet["n2"].state
    partner.catalog = replace(partner.catalog, workspace_rules=rules)
    number = fleet["n1"].request(key_digest=b"key-l")
    fleet.advance(18)
    assert not fleet["n2"].pop_sends()
    sends = fleet["n1"].pop_sends()
    assert {send.workspace for send in sends} == {"library"}
    for send in sends:
        fleet["n1"].answer(send)
    assert fleet["n1"].get_reply(number).missing == 0


def test_faults_are_counted_and_logged():
    relay = create_relay()
    apply_keys(relay, RULES, faults=(WorkspaceFault("library", "shared_key", 2),))
    counted = [
        (effect.labels, effect.value)
        for effect in relay.effects
        if isinstance(effect, IncrementCounter) and "workspace_faults" in effect.name
    ]
    assert counted == [((("kind", "shared_key"),), 2)]
    logged = [e.fields for e in relay.effects if isinstance(e, WriteLog)]
    assert (("workspace", "library"), ("kind", "shared_key"), ("count", 2)) in logged
