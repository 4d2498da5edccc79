"""An instance holds the requests that arrive before it has read its first configuration.

If it refused them at once after a restart of all instances, a caller whose single retry reaches
another new instance would fail. A hold that is too long leaves no time for that retry.
"""

from __future__ import annotations

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.relay.catalog import ServiceRules, create_catalog
from mimosapost.relay.events import (
    CallerLeft,
    CatalogRead,
    ServersReplaced,
    SourceLost,
)
from mimosapost.relay.tests.relay_harness import MS, Relay, create_servers, create_single_route


class UnconfiguredRelay(Relay):
    """A relay that has read neither a configuration nor a server list."""

    def __init__(self) -> None:
        super().__init__([], [])
        self.state.catalog = None
        self.state.servers_listed = False

    def read_configuration(self) -> None:
        """Read the configuration and the list of servers."""
        routes = [create_single_route(), create_single_route("urgent", rank=0)]
        catalog = create_catalog(1, routes, [ServiceRules("one", 100)])
        self.apply_event(CatalogRead(self.now_us, catalog))
        self.apply_event(ServersReplaced(self.now_us, tuple(create_servers("one"))))


def test_callers_of_a_restart_are_served_as_soon_as_the_configuration_is_read():
    """Replay a restart: requests arrive every 10 ms, the server list after 90 ms."""
    relay = UnconfiguredRelay()
    request_numbers = []
    for _ in range(9):
        request_numbers.append(relay.request("/look/x"))
        relay.advance(10)
    assert not relay.pop_sends()
    assert all(relay.get_reply(request_number) is None for request_number in request_numbers)
    relay.read_configuration()
    sends = relay.pop_sends()
    assert [send.request.request_number for send in sends] == request_numbers
    # The deadline counts from the arrival of a request, not from the configuration.
    assert sends[0].deadline_us < relay.now_us + 600 * MS - 90 * MS


def test_the_most_urgent_held_requests_start_first():
    relay = UnconfiguredRelay()
    paths = ["/look/1", "/urgent/2", "/look/3", "/urgent/4"]
    for path in paths:
        relay.request(path)
    relay.read_configuration()
    started = [send.request.target for send in relay.pop_sends()]
    assert started == ["/urgent/2", "/urgent/4", "/look/1", "/look/3"]


def report_source_lost(relay):
    relay.apply_event(SourceLost(relay.now_us, "refused"))


def read_servers_without_catalog(relay):
    relay.apply_event(ServersReplaced(relay.now_us, ()))


def exceed_hold_time(relay):
    relay.advance(200)


@pytest.mark.parametrize(
    "end_hold", [report_source_lost, read_servers_without_catalog, exceed_hold_time]
)
def test_a_held_request_that_cannot_be_served_is_refused_with_a_retry_time(end_hold):
    relay = UnconfiguredRelay()
    request_number = relay.request("/look/x", deadline_ms=900)
    end_hold(relay)
    reply = relay.get_reply(request_number)
    assert reply.code is ResultCode.NOT_CONFIGURED
    assert reply.retry_after_us > 0
    relay.read_configuration()
    assert not relay.pop_sends()


@pytest.mark.parametrize("preclude_hold", [report_source_lost, read_servers_without_catalog])
def test_no_request_is_held_if_a_hold_cannot_help(preclude_hold):
    relay = UnconfiguredRelay()
    preclude_hold(relay)
    request_number = relay.request("/look/x")
    assert relay.get_reply(request_number).code is ResultCode.NOT_CONFIGURED


@pytest.mark.parametrize(("deadline_ms", "hold_ms"), [(400, 100), (2_000, 200)])
def test_a_caller_keeps_most_of_its_time_for_another_attempt(deadline_ms, hold_ms):
    """A hold may last a quarter of the remaining time, and 200 ms at most."""
    relay = UnconfiguredRelay()
    request_number = relay.request("/look/x", deadline_ms=deadline_ms)
    relay.advance(hold_ms - 1)
    assert relay.get_reply(request_number) is None
    relay.advance(1)
    assert relay.get_reply(request_number).code is ResultCode.NOT_CONFIGURED


def test_a_caller_that_left_is_not_served():
    relay = UnconfiguredRelay()
    request_number = relay.request("/look/x")
    relay.apply_event(CallerLeft(relay.now_us, request_number))
    relay.read_configuration()
    assert not relay.pop_sends()


def test_the_number_of_held_requests_is_bounded():
    relay = UnconfiguredRelay()
    request_numbers = [relay.request("/look/x", deadline_ms=900) for _ in range(150)]
    refused = [
        request_number
        for request_number in request_numbers
        if relay.get_reply(request_number) is not None
    ]
    assert len(refused) == 50


def test_callers_of_a_silent_source_are_told_at_once_to_come_back_as_late_as_they_can():
    """Replay a restart with a silent source: requests arrive every 50 ms with 900 ms left."""
    relay = UnconfiguredRelay()
    held = [relay.request("/look/x", deadline_ms=900)]
    for _ in range(8):
        relay.advance(50)
        held.append(relay.request("/look/x", deadline_ms=900))
    reply = relay.get_reply(held[-1])
    assert (reply.code, reply.retry_after_us) == (ResultCode.NOT_CONFIGURED, 300 * MS)
    relay.advance(1_000)
    assert [relay.get_reply(number).retry_after_us // MS for number in held[:2]] == [250, 250]


def test_an_instance_that_has_read_the_configuration_late_serves_what_arrives_then():
    relay = UnconfiguredRelay()
    relay.request("/look/x")
    relay.advance(2_000)
    relay.read_configuration()
    relay.request("/look/x")
    assert len(relay.pop_sends()) == 1
