"""Checks that each send uses the current state of servers, configuration and suspects.

A stale state would send requests to servers that were removed, drained, hung or restarted, mix
configuration versions in one reply, or let one request crash server after server.
"""

import pytest

from mimosapost.model.codes import FailureKind, ResultCode, RunState
from mimosapost.model.effects import WriteLog
from mimosapost.relay.catalog import ServiceRules, create_catalog
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    ExchangeFailed,
    ProbeOutcome,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    SourceLost,
    SourceRegained,
)
from mimosapost.relay.tests.relay_harness import (
    MS,
    Relay,
    create_gathered_relay,
    create_route,
    create_servers,
    create_single_relay,
    create_single_route,
)


def list_events(relay, name):
    return [e for e in relay.effects if isinstance(e, WriteLog) and e.event == name]


def test_a_request_that_crashes_servers_is_refused_after_the_second():
    relay = create_single_relay(("a1", "b1", "c1"), repeatable=False)
    relay.probe_outcome = ProbeOutcome.SILENT
    for _ in range(2):
        relay.request("/look/x", fingerprint=7)
        (send,) = relay.pop_sends()
        relay.fail(send)
        record = relay.state.servers[send.server.server_id]
        relay.apply_event(ExchangeFailed(relay.now_us, add_send(relay, record), *REFUSED))
        relay.advance(1_500)
        relay.pop_sends()
    request_number = relay.request("/look/x", fingerprint=7)
    assert relay.pop_sends() == []
    assert relay.get_reply(request_number).code is ResultCode.REQUEST_REFUSED
    other = relay.request("/look/x", fingerprint=8)
    assert relay.get_reply(other) is None


REFUSED = (FailureKind.REFUSED, RunState.NOT_RUN)


def add_send(relay, record):
    """Start a send of another request to the given server and return the number of the send."""
    others = [r for r in relay.state.servers.values() if r is not record]
    for other in others:
        other.misdirected = True
    relay.request("/look/other", fingerprint=99)
    for other in others:
        other.misdirected = False
    (send,) = relay.pop_sends()
    assert send.server == record.server
    return send.send_id


def test_broken_connections_of_a_reachable_server_make_no_suspect():
    relay = create_single_relay(repeatable=False)
    for _ in range(5):
        relay.request("/look/x", fingerprint=7)
        relay.fail(relay.pop_sends()[0])
        relay.advance(100)
    relay.request("/look/x", fingerprint=7)
    assert len(relay.pop_sends()) == 1


def test_a_hung_server_is_used_only_if_there_is_no_other():
    relay = create_single_relay(("a1", "b1"), repeatable=False)
    relay.request("/look/x", deadline_ms=500)
    (hung,) = relay.pop_sends()
    relay.advance(500)
    relay.fail(hung, FailureKind.WITHDRAWN)
    assert list_events(relay, "server_hung")
    relay.request("/look/x")
    (send,) = relay.pop_sends()
    assert send.server != hung.server
    relay.apply_event(ServerUnlisted(relay.now_us, send.server.server_id, "removed"))
    relay.request("/look/x")
    assert relay.pop_sends()[0].server == hung.server


@pytest.mark.parametrize(
    ("change", "usable"),
    [
        pytest.param(
            lambda r, s: r.apply_event(ServerListed(r.now_us, s)), True, id="listed again"
        ),
        pytest.param(
            lambda r, s: r.apply_event(ServerUnlisted(r.now_us, s.server_id, "removed")),
            False,
            id="unlisted",
        ),
        pytest.param(
            lambda r, s: r.apply_event(DomainsOut(r.now_us, frozenset((s.domain,)))),
            False,
            id="domain out",
        ),
        pytest.param(
            lambda r, _: r.apply_event(ServersReplaced(r.now_us, ())),
            False,
            id="missing from the new list",
        ),
        pytest.param(
            lambda r, s: r.apply_event(ServerListed(r.now_us, drain(s))), False, id="draining"
        ),
    ],
)
def test_every_send_checks_its_server_at_the_moment_of_sending(change, usable):
    relay = create_single_relay(("a1",))
    (record,) = relay.state.servers.values()
    change(relay, record.server)
    request_number = relay.request("/look/x")
    assert bool(relay.pop_sends()) == usable
    if not usable:
        assert relay.get_reply(request_number).code is ResultCode.OVERLOADED
        assert relay.get_reply(request_number).retry_after_us > 0


def drain(server):
    (drained,) = create_servers(server.service, (server.domain,), draining=True)
    return drained


def test_entries_that_expire_while_the_source_is_lost_are_kept_for_a_grace_period():
    relay = create_single_relay(("a1", "b1"))
    (first, second) = [record.server for record in relay.state.servers.values()]
    relay.apply_event(SourceLost(relay.now_us, "busy"))
    relay.advance(4_000)
    relay.apply_event(ServersReplaced(relay.now_us, ()))
    relay.apply_event(SourceRegained(relay.now_us))
    relay.advance(1_500)
    assert len(relay.state.servers) == 2
    relay.apply_event(ServerListed(relay.now_us, first))
    relay.advance(1_500)
    assert list(relay.state.servers) == [first.server_id]
    assert second.server_id not in relay.state.servers


def test_observations_of_a_server_are_discarded_when_it_restarts_under_its_id():
    relay = create_single_relay(("a1",))
    (record,) = relay.state.servers.values()
    record.latency_ratio = 9.0
    (restarted,) = create_servers("one", ("a1",), process_started_ms=5, slots=2)
    relay.apply_event(ServerListed(relay.now_us, restarted))
    (fresh,) = relay.state.servers.values()
    assert fresh.latency_ratio == 1.0


def test_configuration_never_goes_back():
    relay = create_gathered_relay()
    newer = create_catalog(5, [create_route(max_records=9)], [])
    relay.apply_event(CatalogRead(relay.now_us, newer))
    relay.apply_event(CatalogRead(relay.now_us, create_catalog(4, [], [])))
    assert relay.state.catalog is newer


def test_all_parts_come_from_the_shards_of_one_version():
    relay = create_gathered_relay()
    request_number = relay.request()
    sends = relay.pop_sends()
    servers = tuple(create_servers("t0"))
    relay.apply_event(ServersReplaced(relay.now_us, servers))
    relay.apply_event(
        CatalogRead(relay.now_us, create_catalog(2, [create_route(shards=("t0",))], []))
    )
    for send in sends:
        relay.answer(send)
    assert len(relay.get_reply(request_number).signatures) == 4
    relay.request()
    assert [send.server.service for send in relay.pop_sends()] == ["t0"]


def test_only_servers_of_allowed_regions_are_used():
    relay = create_single_relay(("a1", "b1"), regions=frozenset(("south",)))
    for _ in range(5):
        relay.request("/look/x")
    assert {send.server.domain for send in relay.pop_sends()} == {"b1"}


def test_a_cold_server_receives_few_requests_from_one_instance():
    rules = [ServiceRules("one", 100, cold_per_second=8.0)]
    servers = create_servers("one", ("a1",), cold_remaining_us=3_000 * MS)
    relay = Relay([create_single_route()], servers, rules)
    for _ in range(200):
        relay.request("/look/x")
        relay.advance(10)
    assert len(relay.pop_sends()) <= 1


def test_cold_servers_without_a_limit_are_used_like_others():
    servers = create_servers("one", ("a1",), cold_remaining_us=3_000 * MS)
    relay = Relay(
        [create_single_route()], servers, [ServiceRules("one", 100, cold_per_second=0.0)]
    )
    for _ in range(5):
        relay.request("/look/x")
    assert len(relay.pop_sends()) == 5


def test_a_new_instance_is_ready_only_with_a_catalog_and_servers():
    relay = create_gathered_relay()
    relay.state.servers_listed = False
    assert not relay.state.is_ready()
    relay.apply_event(ServersReplaced(relay.now_us, ()))
    assert relay.state.is_ready()


def test_the_first_list_is_one_line_and_later_changes_are_named():
    """Hundreds of lines at the start would delay the requests that wait for the list."""
    servers = [server for n in range(100) for server in create_servers(f"s{n}")]
    relay = Relay([create_single_route()], [])
    relay.state.servers_listed = False
    effects = relay.apply_event(ServersReplaced(relay.now_us, tuple(servers)))
    lines = [effect for effect in effects if isinstance(effect, WriteLog)]
    assert [(line.event, dict(line.fields)["servers"]) for line in lines] == [
        ("servers_listed", 200)
    ]
    more = create_servers("one", ("a1",))
    effects = relay.apply_event(ServersReplaced(relay.now_us, (*servers, *more)))
    lines = [effect for effect in effects if isinstance(effect, WriteLog)]
    assert [line.event for line in lines] == ["server_listed"]
