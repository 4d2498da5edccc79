"""Checks gathers at other instances, with all faults of the instance that gathers.

Load pattern: a caller near no server sends queries over many shards. Sent directly, every part
crosses the link between the regions; a partner that fails must not cost the parts.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from mimosapost.model.codes import FailureKind, ResultCode, RunState
from mimosapost.model.effects import WriteLog
from mimosapost.model.events import PeerMessageArrived, StopRequested
from mimosapost.model.peer_messages import Gather, GatherAnswer, GatherCancel
from mimosapost.relay.catalog import ServiceRules, create_catalog
from mimosapost.relay.events import CallerLeft, CatalogRead
from mimosapost.relay.gathers import PlannedPart, assign_domains
from mimosapost.relay.messages import GatheredReply, Refusal
from mimosapost.relay.server_selection import ServerRecord
from mimosapost.relay.state import Part
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import create_route, create_servers

SHARDS = tuple(f"s{n}" for n in range(8))


def create_fleet(domains=("c1", "a1"), server_domains=("a1", "b1"), warm_up=True, **changes):
    """Return a fleet whose first instance is near no server and has met the others."""
    route = create_route(shards=SHARDS, **({"goal_us": 140_000, "min_coverage": 0.9} | changes))
    servers = [s for shard in SHARDS for s in create_servers(shard, server_domains)]
    fleet = Fleet(domains, [route], servers)
    if warm_up:
        # The first query is sent directly, because no partner has answered yet.
        number = fleet["n1"].request()
        answer_all(fleet)
        assert isinstance(fleet["n1"].get_reply(number), GatheredReply)
        fleet.advance(5_000)
        clear(fleet)
    return fleet


def clear(fleet):
    fleet.messages.clear()
    for relay in fleet.relays.values():
        relay.effects.clear()


def answer_all(fleet, milliseconds=60.0):
    """Let every server answer within 10 ms, for a time."""
    for _ in range(int(milliseconds / 10)):
        for relay in fleet.relays.values():
            for send in relay.pop_sends():
                relay.answer(send)
        fleet.advance(10)


def send_query(fleet):
    """Start a query at the first instance and deliver its gathers."""
    number = fleet["n1"].request()
    fleet.advance(9)
    return number


def list_events(relay):
    return [effect.event for effect in relay.effects if isinstance(effect, WriteLog)]


def count_runs(fleet):
    """Return how often each shard was sent to since the last call."""
    sends = [send for relay in fleet.relays.values() for send in relay.pop_sends()]
    services = [send.server.service for send in sends]
    return {shard: services.count(shard) for shard in SHARDS}


def test_all_parts_in_a_region_cross_the_link_once():
    fleet = create_fleet(server_domains=("a1",))
    number = send_query(fleet)
    assert fleet["n1"].pop_sends() == []
    assert len(fleet["n2"].state.sends) == len(SHARDS)
    answer_all(fleet)
    reply = fleet["n1"].get_reply(number)
    assert isinstance(reply, GatheredReply)
    assert (reply.code, reply.missing) == (ResultCode.COMPLETE, 0)
    assert len(set(reply.signatures)) == len(SHARDS)
    assert len(reply.body) == 3 * 16
    assert fleet.count_messages(Gather) == fleet.count_messages(GatherAnswer) == 1
    assert not fleet["n1"].state.gathers
    assert not fleet["n2"].state.served_gathers


def test_parts_are_gathered_within_a_second_of_a_start_of_all_instances():
    """Replay traffic that goes on while all instances start after a loss of power."""
    fleet = create_fleet(domains=("c1", "a1", "b1"), server_domains=("a1",), warm_up=False)
    for _ in range(3):
        fleet.advance(250)
        fleet["n1"].request()
        answer_all(fleet)
    clear(fleet)
    fleet["n1"].request()
    fleet.advance(9)
    assert fleet.count_messages(Gather) == 1
    assert fleet["n1"].pop_sends() == []


@pytest.mark.parametrize(
    ("choices", "distance", "expected"),
    [
        pytest.param("a a a a a a a a", 0, {}, id="own domain"),
        pytest.param("b b a a a a a a", 1, {}, id="two parts in the region"),
        pytest.param("b a a a a a a a", 2, {}, id="one part in another region"),
        pytest.param("b b a a a a a a", 2, {"b1": 2}, id="two parts in another region"),
        pytest.param("b b b a a a a a", 1, {"b1": 3}, id="one domain"),
        pytest.param("b b b b c c c c", 1, {"b1": 4, "c1": 4}, id="two domains"),
        pytest.param("b b b b b b c c", 1, {"b1": 6}, id="many and few"),
        pytest.param("bc cb bc cb bc cb bc cb", 2, {"b1": 8}, id="either of two domains"),
        pytest.param("bc cb c c a a a a", 2, {"c1": 4}, id="one domain has them all"),
        pytest.param("bc b b cb c c c c", 2, {"b1": 2, "c1": 6}, id="the rest elsewhere"),
        pytest.param("d d d d a a a a", 2, {}, id="no partner"),
        pytest.param("db db db db a a a a", 2, {"b1": 4}, id="partner in the other domain"),
    ],
)
def test_parts_are_gathered_where_most_are(choices, distance, expected):
    planned = []
    for shard, letters in enumerate(choices.split()):
        servers = [create_servers(f"s{shard}", (f"{letter}1",))[0] for letter in letters]
        records = tuple(ServerRecord(server, distance, "") for server in servers)
        planned.append(PlannedPart(Part(f"s{shard}", shard=shard), records))
    domains, direct = assign_domains("a1", planned, lambda domain: domain != "d1")
    assert {name: len(entries) for name, entries in domains.items()} == expected
    gathered = [(p.shard, r.server.domain) for e in domains.values() for p, r in e]
    assert {domain for _, domain in gathered} == set(expected)
    shards = [shard for shard, _ in gathered] + [part.shard for part, _ in direct]
    assert sorted(shards) == list(range(len(planned)))
    best = {entry.part.shard: entry.choices[0] for entry in planned}
    assert all(record is best[part.shard] for part, record in direct)


def test_far_parts_cross_the_link_once_although_two_domains_have_them():
    fleet = create_fleet(domains=("c1", "a1", "b1"))
    number = send_query(fleet)
    assert fleet.count_messages(Gather) == 1
    assert fleet["n1"].pop_sends() == []
    answer_all(fleet)
    assert fleet["n1"].get_reply(number).missing == 0


def start_with_stragglers(number_of_stragglers, **changes):
    """Return a fleet with a query whose first servers answered but for some."""
    fleet = create_fleet(domains=("a1", "b1"), **changes)
    # As earlier hedges would, shows that a partner is needed there.
    fleet["n1"].state.peers.demanded_us["b1"] = fleet.now_us
    fleet.advance(2_500)
    clear(fleet)
    number = fleet["n1"].request()
    sends = fleet["n1"].pop_sends()
    assert len(sends) == len(SHARDS)
    for send in sends[number_of_stragglers:]:
        fleet["n1"].answer(send)
    return fleet, number, sends[:number_of_stragglers]


@pytest.mark.parametrize(
    ("stragglers", "messages", "direct"), [(1, 0, 1), (2, 1, 0), (5, 1, 0)]
)
def test_hedges_of_one_moment_share_a_message(stragglers, messages, direct):
    """Replay a query of which some servers pause; their other servers are far away."""
    fleet, number, paused = start_with_stragglers(stragglers)
    budgets = {s: fleet["n1"].state.get_budget(s).available for s in SHARDS}
    fleet.advance(60)
    assert fleet.count_messages(Gather) == messages
    hedges = fleet["n1"].pop_sends() + fleet["n2"].pop_sends()
    assert sorted(s.server.service for s in hedges) == sorted(s.server.service for s in paused)
    assert len([s for s in hedges if s.send_id in fleet["n1"].state.sends]) >= direct
    spent = {s: budgets[s] - fleet["n1"].state.get_budget(s).available for s in SHARDS}
    assert sum(spent.values()) == stragglers
    owner = fleet["n2"] if messages else fleet["n1"]
    for send in hedges:
        owner.answer(send)
    fleet.advance(12)
    reply = fleet["n1"].get_reply(number)
    assert reply.missing == 0
    assert len(set(reply.signatures)) == len(SHARDS)


@pytest.mark.parametrize("answered", [2, 3])
def test_a_paused_server_among_the_hedges_does_not_hold_back_the_others(answered):
    """Replay hedges of four parts at once, of which a second server pauses too."""
    fleet, number, _ = start_with_stragglers(4, min_coverage=1.0)
    fleet.advance(20)
    hedges = fleet["n2"].pop_sends()
    assert len(hedges) == 4
    for send in hedges[:answered]:
        fleet["n2"].answer(send)
    fleet.advance(16)
    request = fleet["n1"].state.requests[number]
    assert request.answered == len(SHARDS) - 4 + answered


@pytest.mark.parametrize("first", ["original", "hedges"])
def test_overlapping_answers_count_once(first):
    """Both the paused server and the instance that hedged it answer."""
    fleet, number, paused = start_with_stragglers(3, min_coverage=1.0)
    fleet.advance(60)
    hedges = fleet["n2"].pop_sends()
    assert len(hedges) == 3
    if first == "original":
        fleet["n1"].answer(paused[0])
    for send in hedges:
        fleet["n2"].answer(send)
    fleet.advance(12)
    reply = fleet["n1"].get_reply(number)
    assert reply.missing == 0
    assert len(set(reply.signatures)) == len(reply.signatures) == len(SHARDS)


@pytest.mark.parametrize("first", ["n2", "n3"])
def test_a_part_of_two_gathers_counts_once(first):
    """Replay a partner with paused servers, whose parts another partner gathers as hedges."""
    fleet = create_fleet(domains=("c1", "a1", "b1"), min_coverage=1.0)
    number = send_query(fleet)
    (asked,) = {r for _, r, m in fleet.messages if isinstance(m, Gather)}
    hedger = "n3" if asked == "n2" else "n2"
    sends = fleet[asked].pop_sends()
    for send in sends[3:]:
        fleet[asked].answer(send)
    fleet.advance(75)
    hedges = fleet[hedger].pop_sends()
    assert len(hedges) == 3
    first_is_hedger = first == hedger
    if first_is_hedger:
        for send in hedges:
            fleet[hedger].answer(send)
        fleet[asked].answer(sends[0])
    else:
        fleet[asked].answer(sends[0])
        fleet.advance(6)
        for send in hedges:
            fleet[hedger].answer(send)
    fleet.advance(20)
    reply = fleet["n1"].get_reply(number)
    assert reply.missing == 0
    assert len(set(reply.signatures)) == len(reply.signatures) == len(SHARDS)


def test_hedges_that_a_partner_refuses_are_sent_directly():
    fleet, number, paused = start_with_stragglers(4)
    budgets = {s: fleet["n1"].state.get_budget(s).available for s in SHARDS}
    fleet["n2"].apply_event(StopRequested(fleet.now_us))
    fleet["n2"].effects = []  # The announcement is lost.
    fleet.advance(70)
    assert fleet["n2"].pop_sends() == []
    hedges = fleet["n1"].pop_sends()
    assert len(hedges) == len(paused)
    spent = {s: budgets[s] - fleet["n1"].state.get_budget(s).available for s in SHARDS}
    assert sum(spent.values()) == len(paused)
    for send in hedges:
        fleet["n1"].answer(send)
    assert fleet["n1"].get_reply(number).missing == 0


def test_a_paused_server_is_hedged_by_the_instance_that_asked():
    """Replay a query of which one server at the partner pauses: the partner may not hedge."""
    fleet = create_fleet()
    number = send_query(fleet)
    paused = next(iter(fleet["n2"].state.sends))
    for send in fleet["n2"].pop_sends():
        if send.send_id != paused:
            fleet["n2"].answer(send)
    for send in fleet["n1"].pop_sends():
        fleet["n1"].answer(send)
    fleet.advance(60)
    assert fleet["n2"].pop_sends() == []
    hedges = fleet["n1"].pop_sends()
    assert len(hedges) == 1
    assert fleet["n1"].get_reply(number) is None
    fleet["n1"].answer(hedges[0])
    reply = fleet["n1"].get_reply(number)
    assert len(reply.signatures) == len(set(reply.signatures)) == len(SHARDS)
    assert fleet.count_messages(GatherCancel) == 0
    fleet.advance(1)
    # The partner stops waiting for the paused server too.
    assert fleet.count_messages(GatherCancel) == 1


def test_an_answer_of_both_a_hedge_and_the_partner_counts_once():
    fleet = create_fleet(server_domains=("a1", "b1"), min_coverage=1.0)
    number = send_query(fleet)
    paused, *rest = fleet["n2"].pop_sends()
    last, *others = rest
    for send in others:
        fleet["n2"].answer(send)
    for send in fleet["n1"].pop_sends():
        fleet["n1"].answer(send)
    fleet.advance(60)
    hedges = {send.server.service: send for send in fleet["n1"].pop_sends()}
    fleet["n1"].answer(hedges[paused.server.service])
    fleet["n2"].answer(paused)
    fleet.advance(20)
    fleet["n2"].answer(last)
    fleet.advance(20)
    reply = fleet["n1"].get_reply(number)
    assert reply.missing == 0
    assert len(reply.signatures) == len(set(reply.signatures)) == len(SHARDS)


FAILURES = {
    "silent": lambda fleet: fleet.cut.add(("n2", "n1")),
    "unreachable": lambda fleet: fleet.cut.update({("n1", "n2"), ("n2", "n1")}),
    "link lost": lambda fleet: (fleet.cut.update({("n2", "n1")}), fleet.lose("n1", "n2")),
}


@pytest.mark.parametrize("case", FAILURES)
def test_no_part_is_lost_with_the_partner(case):
    """A partner that fails under a query costs time, but no part, and no third run."""
    fleet = create_fleet(domains=("c1", "a1"), server_domains=("a1", "b1"))
    number = fleet["n1"].request()
    if case == "link lost":
        fleet.advance(5)
    FAILURES[case](fleet)
    runs = dict.fromkeys(SHARDS, 0)
    for _ in range(13):
        for relay in fleet.relays.values():
            for send in relay.pop_sends():
                runs[send.server.service] += 1
                relay.answer(send)
        fleet.advance(10)
    reply = fleet["n1"].get_reply(number)
    assert isinstance(reply, GatheredReply)
    assert len(set(reply.signatures)) == len(SHARDS)
    assert max(runs.values()) <= 2


def test_a_failed_partner_is_not_asked_again_at_once():
    fleet = create_fleet(server_domains=("a1",))
    fleet.cut.add(("n2", "n1"))
    fleet["n1"].request()
    fleet.advance(200)
    clear(fleet)
    fleet["n1"].request()
    fleet.advance(1)
    assert fleet.count_messages(Gather) == 0
    assert len(fleet["n1"].pop_sends()) == len(SHARDS)


def test_a_partner_that_recovers_is_asked_again():
    fleet = create_fleet(server_domains=("a1",))
    fleet.cut.add(("n2", "n1"))
    fleet["n1"].request()
    fleet.advance(200)
    fleet.cut.clear()
    fleet.advance(4_000)
    clear(fleet)
    send_query(fleet)
    assert fleet.count_messages(Gather) == 1


def test_failed_parts_are_repeated_within_the_limits():
    """The partner reports failures; the retry counts against ``max_sends`` over both."""
    fleet = create_fleet(server_domains=("a1", "b1"))
    number = send_query(fleet)
    for send in fleet["n2"].pop_sends():
        fleet["n2"].fail(send, FailureKind.RESET, RunState.UNKNOWN)
    for send in fleet["n1"].pop_sends():
        fleet["n1"].answer(send)
    fleet.advance(15)
    assert fleet["n2"].pop_sends() == []
    retries = fleet["n1"].pop_sends()
    assert retries
    for send in retries:
        fleet["n1"].fail(send, FailureKind.RESET, RunState.UNKNOWN)
    assert fleet["n1"].pop_sends() == []
    reply = fleet["n1"].get_reply(number)
    assert isinstance(reply, Refusal)
    assert reply.code is ResultCode.OUTCOME_UNKNOWN


def test_a_failure_at_the_partner_hedges_no_other_part():
    """Replay a partner at which one server resets at once, while the others are on time."""
    fleet = create_fleet(server_domains=("a1", "b1"))
    send_query(fleet)
    failing, *others = fleet["n2"].pop_sends()
    assert others
    fleet["n1"].pop_sends()
    hedge_delay_us = fleet["n1"].state.get_pools(create_route())[2].slow_us
    fleet["n2"].fail(failing, FailureKind.RESET, RunState.UNKNOWN)
    for gather in fleet["n1"].state.gathers.values():
        assert not gather.is_reported
    fleet.advance(13)
    services = [send.server.service for send in fleet["n1"].pop_sends()]
    assert services.count(failing.server.service) == 1
    assert len(services) == 1, f"hedged before {hedge_delay_us} us"


def test_late_answers_of_a_partner_stay_apart():
    """Replay late answers to parts of two hedges, so that no part is lost by their overlap."""
    fleet = create_fleet(server_domains=("a1",), min_coverage=1.0)
    number = send_query(fleet)
    sends = fleet["n2"].pop_sends()
    for send in sends[2:]:
        fleet["n2"].answer(send)
    fleet.advance(60)
    for send in sends[:2]:
        fleet["n2"].answer(send)
    fleet.advance(20)
    sizes = [len(m.shards) for _, _, m in fleet.messages if isinstance(m, GatherAnswer)]
    assert sorted(sizes) == [1, 1, len(SHARDS) - 2]
    assert fleet["n1"].get_reply(number).missing == 0


def test_rejected_parts_did_not_run():
    fleet = create_fleet(server_domains=("a1",), min_coverage=0.0)
    number = send_query(fleet)
    for send in fleet["n2"].pop_sends():
        fleet["n2"].answer(send, status=503, not_run=True, signature="")
    fleet.advance(15)
    for send in fleet["n1"].pop_sends():
        fleet["n1"].answer(send, status=503, not_run=True, signature="")
    for _ in range(10):
        for send in fleet["n1"].pop_sends():
            fleet["n1"].answer(send, status=503, not_run=True, signature="")
        fleet.advance(20)
    reply = fleet["n1"].get_reply(number)
    assert isinstance(reply, Refusal)
    assert reply.code is ResultCode.OVERLOADED


def test_an_unknown_outcome_at_the_partner_is_no_promise():
    """A refusal must not say "not run" while the partner may have sent the request."""
    fleet = create_fleet(server_domains=("a1",))
    number = send_query(fleet)
    fleet["n2"].pop_sends()
    fleet.cut.add(("n2", "n1"))
    fleet.lose("n1", "n2")
    for _ in range(60):
        for send in fleet["n1"].pop_sends():
            fleet["n1"].answer(send, status=503, not_run=True, signature="")
        fleet.advance(10)
    reply = fleet["n1"].get_reply(number)
    assert reply.code in (ResultCode.OUTCOME_UNKNOWN, ResultCode.DEADLINE_EXCEEDED)
    assert reply.retry_after_us == 0


def test_a_refusal_without_proof_at_the_partner_is_no_promise():
    fleet = create_fleet(server_domains=("a1",))
    number = send_query(fleet)
    for name in ("n2", "n1"):
        for send in fleet[name].pop_sends():
            fleet[name].answer(send, status=503, unproven_refusal=True)
        fleet.advance(15)
    for _ in range(60):
        for send in fleet["n1"].pop_sends():
            fleet["n1"].answer(send, status=503, not_run=True, signature="")
        fleet.advance(10)
    reply = fleet["n1"].get_reply(number)
    assert reply.code in (ResultCode.OUTCOME_UNKNOWN, ResultCode.DEADLINE_EXCEEDED)
    assert reply.retry_after_us == 0


@pytest.mark.parametrize("case", ["version", "stopping"])
def test_a_refused_gather_is_sent_directly_as_a_first_send(case):
    fleet = create_fleet(server_domains=("a1",))
    if case == "version":
        routes = [create_route(shards=SHARDS, goal_us=140_000)]
        services = [ServiceRules(shard, 100) for shard in SHARDS]
        catalog = create_catalog(2, routes, services)
        fleet["n2"].apply_event(CatalogRead(fleet.now_us, catalog))
    else:
        fleet["n2"].apply_event(StopRequested(fleet.now_us))
        fleet["n2"].effects = []  # The announcement is lost.
    budgets = {s: fleet["n1"].state.get_budget(s).available for s in SHARDS}
    number = fleet["n1"].request()
    fleet.advance(18)
    assert fleet["n2"].pop_sends() == []
    assert "gather_not_served" in list_events(fleet["n2"])
    sends = fleet["n1"].pop_sends()
    assert len(sends) == len(SHARDS)
    assert {s: fleet["n1"].state.get_budget(s).available for s in SHARDS} == budgets
    for send in sends:
        fleet["n1"].answer(send)
    assert fleet["n1"].get_reply(number).missing == 0


def test_a_stopping_partner_is_released_before_it_refuses():
    fleet = create_fleet(domains=("c1", "a1", "a1"), server_domains=("a1",))
    partner = fleet["n1"].state.peers.partners["a1"].name
    fleet[partner].apply_event(StopRequested(fleet.now_us))
    fleet.advance(30)
    clear(fleet)
    send_query(fleet)
    asked = {receiver for _, receiver, m in fleet.messages if isinstance(m, Gather)}
    assert asked == {"n2", "n3"} - {partner}


def test_the_callers_leaving_reaches_the_servers():
    fleet = create_fleet(server_domains=("a1",))
    number = send_query(fleet)
    fleet["n1"].apply_event(CallerLeft(fleet.now_us, number))
    fleet.advance(9)
    assert len(fleet["n2"].list_abandoned()) == len(SHARDS)
    assert not fleet["n2"].state.served_gathers
    assert not fleet["n2"].state.requests


def test_the_partner_abandons_the_sends_of_an_instance_that_is_gone():
    fleet = create_fleet(server_domains=("a1",))
    send_query(fleet)
    fleet.lose("n2", "n1")
    assert len(fleet["n2"].list_abandoned()) == len(SHARDS)
    assert not fleet["n2"].state.requests


def test_the_deadline_shrinks():
    fleet = create_fleet(server_domains=("a1",))
    before_us = fleet.now_us
    send_query(fleet)
    deadlines = {send.deadline_us for send in fleet["n2"].pop_sends()}
    (deadline_us,) = deadlines
    assert deadline_us <= before_us + 600_000 + fleet.delay_us


@pytest.mark.parametrize(
    "forge",
    [
        pytest.param(lambda m: replace(m, shards=(7,), signatures=("s",)), id="not asked"),
        pytest.param(lambda m: replace(m, failed=(200,), last=False), id="out of range"),
        pytest.param(lambda m: m, id="twice"),
    ],
)
def test_unexpected_parts_are_refused_without_loss(forge):
    fleet = create_fleet(server_domains=("a1", "b1"))
    number = send_query(fleet)
    gather = next(iter(fleet["n1"].state.gathers.values()))
    first = min(gather.parts)
    valid = GatherAnswer(gather.gather_id, (first,), ("a.1",), b"r" * 16, last=False)
    if 7 in gather.parts:
        valid_shards = set(gather.parts) - {7}
        first = min(valid_shards)
    fleet["n1"].apply_event(PeerMessageArrived(fleet.now_us, "n2", valid))
    forged = forge(valid)
    if forged.shards == (7,) and 7 in gather.parts:
        forged = replace(forged, shards=(200,))
    fleet["n1"].apply_event(PeerMessageArrived(fleet.now_us, "n2", forged))
    assert "gather_answer_refused" in list_events(fleet["n1"])
    answer_all(fleet, 100)
    reply = fleet["n1"].get_reply(number)
    assert len(set(reply.signatures)) == len(SHARDS)


def test_an_answer_from_another_instance_is_ignored():
    fleet = create_fleet(domains=("c1", "a1", "a1"), server_domains=("a1",))
    send_query(fleet)
    gather = next(iter(fleet["n1"].state.gathers.values()))
    other = "n3" if gather.peer == "n2" else "n2"
    answer = GatherAnswer(gather.gather_id, tuple(gather.parts), ("s",) * len(gather.parts))
    fleet["n1"].apply_event(PeerMessageArrived(fleet.now_us, other, answer))
    assert len(gather.parts) == len(SHARDS)


def test_gathers_of_a_route_with_regions_stay_in_them():
    fleet = create_fleet(domains=("c1", "a1", "b1"), regions=frozenset({"south"}))
    send_query(fleet)
    asked = {receiver for _, receiver, m in fleet.messages if isinstance(m, Gather)}
    assert asked == {"n3"}
    servers = {send.server.domain for send in fleet["n3"].pop_sends()}
    assert servers == {"b1"}


def test_a_gather_is_not_passed_on():
    """The partner sends to servers elsewhere itself, so that gathers can't go in a circle."""
    fleet = create_fleet(domains=("c1", "a1", "b1"), server_domains=("a1", "b1"))
    send_query(fleet)
    fleet.advance(20)
    asked = [sender for sender, _, m in fleet.messages if isinstance(m, Gather)]
    assert set(asked) == {"n1"}
