"""Replays servers whose machines are slowed by the work of others, for parts of a second."""

from __future__ import annotations

import pytest

from mimosapost.relay.messages import LoadReport
from mimosapost.relay.tests.relay_harness import Relay, create_route, create_servers

WORK_MS = 10
ROUTE = create_route(shards=("s0",), min_coverage=1.0, repeatable=False)


def create_relay() -> Relay:
    """Return a relay that knows two servers of a shard in its own failure domain."""
    relay = Relay([ROUTE], create_servers("s0", domains=("a1", "a1")))
    for record in relay.state.by_service["s0"]:
        record.connection_used_us = relay.now_us
    for _ in range(16):
        ask(relay, {"s0-0": 100, "s0-1": 100})
    return relay


def ask(relay: Relay, loads: dict[str, int | None], speeds=(("", 1.0),), is_odd=False) -> str:
    """Run one request, answered in the time that the servers and their machines need.

    :returns: id of the server that was asked.
    """
    relay.request()
    (send,) = relay.pop_sends()
    server_id = send.server.server_id
    percent = loads[server_id]
    relay.advance(WORK_MS * (percent or 100) / 100 * dict(speeds).get(server_id, 1.0))
    relay.answer(send, load=LoadReport(1, 0, 2, percent, is_odd))
    relay.advance(5)
    relay.pop_sends()
    return server_id


def test_a_server_on_a_loaded_machine_is_passed_over_until_its_report_is_old():
    relay = create_relay()
    loaded = ask(relay, {"s0-0": 250, "s0-1": 250})
    usual = {"s0-0": 100, "s0-1": 100}
    assert {ask(relay, usual) for _ in range(6)} == {"s0-0", "s0-1"} - {loaded}
    relay.advance(2_000)
    assert loaded in {ask(relay, usual) for _ in range(20)}


def test_the_speed_of_the_server_itself_is_kept_apart_from_the_load():
    relay = create_relay()
    for _ in range(20):
        ask(relay, {"s0-0": 250, "s0-1": 250})
    ratios = [record.latency_ratio for record in relay.state.by_service["s0"]]
    assert max(ratios) < 1.5
    for _ in range(40):
        ask(relay, {"s0-0": 100, "s0-1": 100}, speeds=(("s0-0", 3.0), ("s0-1", 1.0)))
    ratios = [record.latency_ratio for record in relay.state.by_service["s0"]]
    assert ratios[0] > 1.5 * ratios[1]


@pytest.mark.parametrize("percent", [1, 10_000], ids=["quick", "slow"])
def test_a_false_figure_neither_hides_a_server_for_long_nor_makes_it_instant(percent):
    relay = create_relay()
    liar = ask(relay, {"s0-0": percent, "s0-1": percent})
    relay.advance(5_000)
    usual = {"s0-0": 100, "s0-1": 100}
    assert {ask(relay, usual) for _ in range(20)} == {"s0-0", "s0-1"}
    record = next(r for r in relay.state.by_service["s0"] if r.server.server_id == liar)
    assert 0.2 < record.latency_ratio < 3


def test_a_figure_that_can_not_be_used_is_counted_and_the_others_are_used():
    relay = create_relay()
    asked = ask(relay, {"s0-0": None, "s0-1": None}, is_odd=True)
    record = next(r for r in relay.state.by_service["s0"] if r.server.server_id == asked)
    assert record.load.running == 1
    names = [getattr(effect, "name", "") for effect in relay.effects]
    assert names.count("mimosapost_relay_odd_loads_total") == 1
