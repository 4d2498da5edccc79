"""Checks that a server gets no request that it has asked not to get.

Load pattern: the source of the server list is silent or out of date, so that only the answers
of a server show that it is about to end. A request that reaches it then is lost.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import WriteLog
from mimosapost.relay.events import (
    CallerLeft,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    SourceLost,
    SourceRegained,
)
from mimosapost.relay.messages import ForwardedReply, GatheredReply, Refusal
from mimosapost.relay.tests.relay_harness import (
    MS,
    Relay,
    create_gathered_relay,
    create_route,
    create_servers,
    create_single_relay,
    create_single_route,
)
from mimosapost.relay.tests.test_gathers import answer_all, create_fleet, send_query

MINUTE_MS = 60_000
SECOND_US = 1_000_000


def send_alone(relay, server_id, path):
    """Send a request that no other server may get, and return its sends."""
    others = [r for r in relay.state.servers.values() if r.server.server_id != server_id]
    for other in others:
        other.misdirected = True
    relay.request(path, fingerprint=7)
    for other in others:
        other.misdirected = False
    return relay.pop_sends()


def send_to_server(relay, server_id="one-0", **changes):
    """Send a request to one server, which answers it."""
    (send,) = send_alone(relay, server_id, "/look/first")
    relay.advance(5)
    relay.answer(send, **changes)
    relay.pop_sends()


def list_used(relay):
    """Return the ids of the servers that get a request where no other server may."""
    used = set()
    for server_id in list(relay.state.servers):
        for send in send_alone(relay, server_id, "/look/x"):
            used.add(send.server.server_id)
            relay.answer(send)
        relay.advance(100)
    return used


def list_events(relay, name):
    return [e for e in relay.effects if isinstance(e, WriteLog) and e.event == name]


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param({}, id="success"),
        pytest.param({"status": 404}, id="failure of the request"),
        pytest.param({"status": 500}, id="failure of the server"),
        pytest.param({"status": 503, "not_run": True, "signature": ""}, id="rejection"),
        pytest.param({"closing": True}, id="last answer of its connection"),
    ],
)
def test_a_server_that_says_that_it_leaves_gets_no_further_sends(answer):
    relay = create_single_relay(repeatable=False)
    relay.apply_event(SourceLost(relay.now_us, "silent"))
    send_to_server(relay, leaving=True, **answer)
    assert list_used(relay) == {"one-1"}
    relay.advance(2 * MINUTE_MS)
    assert list_used(relay) == {"one-1"}, "the source has not said anything since"


@pytest.mark.parametrize("ending", ["deadline", "caller left"])
def test_a_late_answer_shows_that_a_server_leaves(ending):
    relay = create_single_relay(("a1", "b1"), repeatable=False)
    number = relay.request("/look/x", deadline_ms=300)
    (send,) = relay.pop_sends()
    if ending == "caller left":
        relay.apply_event(CallerLeft(relay.now_us, number))
    relay.advance(400)
    relay.answer(send, leaving=True)
    assert send.server.server_id not in list_used(relay)


def test_the_answer_to_a_hedge_that_lost_shows_that_a_server_leaves():
    relay = create_single_relay(goal_us=100 * MS)
    relay.request("/look/x")
    relay.advance(90)
    first, hedge = relay.pop_sends()
    relay.answer(hedge)
    relay.answer(first, leaving=True)
    assert list_used(relay) == {hedge.server.server_id}


def test_hedges_and_repeats_avoid_a_server_that_leaves():
    relay = create_gathered_relay()
    relay.request()
    leaving = relay.pop_sends()
    for send in leaving:
        relay.answer(send, leaving=True)
    left = {send.server.server_id for send in leaving}
    for _ in range(5):
        relay.request()
        relay.advance(90)
        sends = relay.pop_sends()
        relay.fail(sends[0])
        sends += relay.pop_sends()
        assert not left & {send.server.server_id for send in sends}
        relay.advance(600)


def test_a_query_is_answered_without_the_shard_whose_servers_leave():
    relay = create_gathered_relay()
    for _ in range(2):
        relay.request()
        for send in relay.pop_sends():
            relay.answer(send, leaving=send.server.service == "s0")
    number = relay.request()
    sends = relay.pop_sends()
    assert {send.server.service for send in sends} == {"s1", "s2", "s3"}
    for send in sends:
        relay.answer(send)
    assert relay.get_reply(number).missing == 1


def test_requests_are_refused_at_once_if_all_servers_leave():
    relay = create_single_relay(slots=1, repeatable=False)
    numbers = [relay.request("/look/x") for _ in range(40)]
    sends = relay.pop_sends()
    assert len(sends) < 40, "the others wait"
    for server_id in ("one-0", "one-1"):
        send = next(send for send in sends if send.server.server_id == server_id)
        sends.remove(send)
        relay.answer(send, leaving=True)
    assert relay.pop_sends() == []
    replies = [relay.get_reply(number) for number in numbers]
    refusals = [reply for reply in replies if isinstance(reply, Refusal)]
    assert len(refusals) == 40 - len(sends) - 2, "waiting requests are refused as well"
    assert {reply.code for reply in refusals} == {ResultCode.OVERLOADED}
    assert all(reply.retry_after_us > 0 for reply in refusals)
    late = relay.request("/look/x")
    assert relay.get_reply(late).code is ResultCode.OVERLOADED
    for send in sends:
        relay.answer(send, leaving=True)
    assert all(relay.get_reply(n) is not None for n in numbers), "what is ready is delivered"


def find_server(relay, **changes):
    return replace(relay.state.servers["one-0"].server, **changes)


def list_again(relay, **changes):
    relay.apply_event(ServerListed(relay.now_us, find_server(relay, **changes)))


def replace_all(relay, is_rewound=False):
    servers = tuple(record.server for record in relay.state.servers.values())
    relay.apply_event(ServersReplaced(relay.now_us, servers, is_rewound))


def relist(relay, **changes):
    server = find_server(relay, **changes)
    relay.apply_event(ServerUnlisted(relay.now_us, "one-0", "removed"))
    relay.apply_event(ServerListed(relay.now_us, server))


def lose_entry(relay, **changes):
    """Let the entry of the server expire while the source is away, and return later."""
    server = find_server(relay, **changes)
    relay.apply_event(SourceLost(relay.now_us, "silent"))
    relay.advance(1_000)
    relay.apply_event(SourceRegained(relay.now_us))
    others = tuple(r.server for i, r in relay.state.servers.items() if i != "one-0")
    relay.apply_event(ServersReplaced(relay.now_us, others))
    relay.advance(3_000)
    relay.apply_event(ServerListed(relay.now_us, server))


def return_from_copy(relay, **_changes):
    replace_all(relay, is_rewound=True)
    relay.advance(6_000)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(list_again, id="entry written again"),
        pytest.param(replace_all, id="old list"),
        pytest.param(return_from_copy, id="list of an older copy"),
    ],
)
def test_a_stale_entry_does_not_bring_back_a_server_that_leaves(change):
    relay = create_single_relay()
    list_again(relay, process_started_ms=7)
    send_to_server(relay, leaving=True)
    change(relay)
    assert list_used(relay) == {"one-1"}


@pytest.mark.parametrize("change", [relist, lose_entry])
def test_a_process_that_is_listed_again_is_still_leaving(change):
    relay = create_single_relay()
    list_again(relay, process_started_ms=7)
    send_to_server(relay, leaving=True)
    change(relay)
    assert list_used(relay) == {"one-1"}
    relay.advance(MINUTE_MS)
    assert list_used(relay) == {"one-0", "one-1"}, "the source has contradicted it"


def drop_and_list(relay, server, answer):
    relay.apply_event(ServerUnlisted(relay.now_us, "one-0", "removed"))
    answer()
    relay.apply_event(ServerListed(relay.now_us, server))


def list_and_answer(relay, server, answer):
    relay.apply_event(ServerUnlisted(relay.now_us, "one-0", "removed"))
    relay.apply_event(ServerListed(relay.now_us, server))
    answer()


@pytest.mark.parametrize("change", [drop_and_list, list_and_answer])
@pytest.mark.parametrize(
    ("started_ms", "expected"), [(7, {"one-1"}), (8, {"one-0", "one-1"})], ids=["same", "new"]
)
@pytest.mark.parametrize("signal", [{"leaving": True}, {"pause_us": 9 * SECOND_US}], ids=str)
def test_an_answer_from_before_the_drop_counts_for_its_process(
    signal, started_ms, expected, change
):
    relay = create_single_relay(repeatable=False)
    list_again(relay, process_started_ms=7)
    (send,) = send_alone(relay, "one-0", "/look/x")
    server = find_server(relay, process_started_ms=started_ms)
    change(relay, server, lambda: relay.answer(send, **signal))
    assert list_used(relay) == expected


def test_signals_of_dropped_servers_take_bounded_memory():
    relay = create_single_relay(("a1",))
    for number in range(1_010):
        server = find_server(relay, server_id=f"one-{number}-new", process_started_ms=7)
        relay.apply_event(ServerListed(relay.now_us, server))
        send_to_server(relay, server.server_id, leaving=True)
        relay.apply_event(ServerUnlisted(relay.now_us, server.server_id, "removed"))
        relay.effects.clear()
    assert len(relay.state.dropped_signals) == 1_000
    assert not relay.state.leaving_checks


@pytest.mark.parametrize("started_ms", [0, 7])
@pytest.mark.parametrize("change", [list_again, relist, lose_entry])
def test_a_new_process_may_be_used_whatever_the_earlier_one_said(change, started_ms):
    relay = create_single_relay()
    list_again(relay, process_started_ms=started_ms)
    send_to_server(relay, leaving=True)
    change(relay, process_started_ms=started_ms + 1)
    assert "one-0" in list_used(relay)


def test_another_server_at_the_same_address_may_be_used():
    relay = create_single_relay()
    send_to_server(relay, leaving=True)
    server = find_server(relay, server_id="one-new")
    relay.apply_event(ServerUnlisted(relay.now_us, "one-0", "removed"))
    relay.apply_event(ServerListed(relay.now_us, server))
    assert "one-new" in list_used(relay)


def test_a_late_answer_of_an_earlier_process_says_nothing_of_the_new_one():
    relay = create_single_relay(("a1",), repeatable=False)
    relay.request("/look/x")
    (send,) = relay.pop_sends()
    relist(relay, process_started_ms=8)
    relay.answer(send, leaving=True)
    assert list_used(relay) == {"one-0"}


def test_the_answer_of_another_server_at_the_address_says_nothing_of_this_one():
    relay = create_single_relay(("a1",), repeatable=False)
    send_to_server(relay, status=421, not_run=True, misdirected=True, leaving=True)
    list_again(relay)
    assert list_used(relay) == {"one-0"}


def test_a_server_that_stays_listed_as_ready_is_used_again_after_a_minute():
    relay = create_single_relay()
    send_to_server(relay, leaving=True)
    relay.advance(MINUTE_MS - 1_000)
    assert list_used(relay) == {"one-1"}
    relay.advance(1_000)
    assert list_used(relay) == {"one-0", "one-1"}
    assert list_events(relay, "server_leaving_contradicted")


def test_a_minute_without_the_source_contradicts_no_server():
    relay = create_single_relay()
    send_to_server(relay, leaving=True)
    relay.advance(MINUTE_MS // 2)
    relay.apply_event(SourceLost(relay.now_us, "silent"))
    relay.advance(MINUTE_MS)
    relay.apply_event(SourceRegained(relay.now_us))
    relay.advance(MINUTE_MS - 1_000)
    assert list_used(relay) == {"one-1"}
    relay.advance(1_000)
    assert list_used(relay) == {"one-0", "one-1"}


def test_a_server_of_another_service_is_not_left_out():
    servers = [*create_servers("one"), *create_servers("s0")]
    routes = [create_single_route(), create_route(shards=("s0",))]
    relay = Relay(routes, servers)
    send_to_server(relay, leaving=True)
    for _ in range(10):
        relay.request()
        (send,) = relay.pop_sends()
        relay.answer(send)
    assert list_used(relay) == {"one-1"}


def test_an_answer_with_the_word_is_delivered():
    relay = create_single_relay(("a1",))
    number = relay.request("/look/x")
    (send,) = relay.pop_sends()
    relay.answer(send, leaving=True)
    assert isinstance(relay.get_reply(number), ForwardedReply)


def reject(relay, server_id="one-0", pause_us=3 * SECOND_US, **changes):
    """Let a server reject a request and ask for a pause."""
    answer = {"status": 503, "not_run": True, "signature": "", "pause_us": pause_us}
    send_to_server(relay, server_id, **(answer | changes))


@pytest.mark.parametrize("pause_ms", [600, 3_000, 20_000])
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param({}, id="rejection"),
        pytest.param({"not_run": False, "signature": "sig"}, id="failure after a run"),
    ],
)
@pytest.mark.parametrize("repeatable", [False, True])
def test_a_server_that_asks_for_a_pause_gets_no_sends_before_its_end(
    repeatable, answer, pause_ms
):
    relay = create_single_relay(repeatable=repeatable)
    reject(relay, pause_us=pause_ms * MS, **answer)
    until_us = relay.now_us + pause_ms * MS
    while relay.now_us < until_us - 300 * MS:
        assert "one-0" not in list_used(relay)
    relay.advance(400)
    assert "one-0" in list_used(relay)


def test_the_longest_pause_counts():
    relay = create_single_relay()
    reject(relay, pause_us=5 * SECOND_US)
    first, second = relay.state.servers.values()
    relay.advance(100)
    assert not send_alone(relay, "one-0", "/look/x")
    reject(relay, "one-1", pause_us=SECOND_US)
    assert first.signals.paused_until_us > second.signals.paused_until_us
    relay.advance(2_000)
    assert list_used(relay) == {"one-1"}
    relay.advance(3_000)
    assert list_used(relay) == {"one-0", "one-1"}


def test_an_answer_to_an_earlier_send_does_not_shorten_a_pause():
    relay = create_single_relay(("a1",), slots=4, repeatable=False)
    for _ in range(3):
        relay.request("/look/x")
    first, second, third = relay.pop_sends()
    rejection = {"status": 503, "not_run": True, "signature": ""}
    relay.answer(first, pause_us=5 * SECOND_US, **rejection)
    relay.answer(second, pause_us=SECOND_US, **rejection)
    relay.answer(third)
    relay.advance(4_000)
    assert list_used(relay) == set()
    relay.advance(1_000)
    assert list_used(relay) == {"one-0"}


@pytest.mark.parametrize("pause_ms", [400, 900, 4_000])
def test_requests_are_refused_at_once_until_the_first_pause_ends(pause_ms):
    relay = create_single_relay(repeatable=False)
    reject(relay, "one-0", pause_us=pause_ms * MS)
    reject(relay, "one-1", pause_us=(pause_ms + 2_000) * MS)
    number = relay.request("/look/x", deadline_ms=10_000)
    refusal = relay.get_reply(number)
    assert refusal.code is ResultCode.OVERLOADED
    left_us = relay.state.servers["one-0"].signals.paused_until_us - relay.now_us
    assert left_us <= refusal.retry_after_us <= 1.5 * left_us
    relay.advance(refusal.retry_after_us / MS)
    relay.request("/look/x")
    (send,) = relay.pop_sends()
    assert send.server.server_id == "one-0"


def test_a_request_waits_for_a_short_pause():
    relay = create_single_relay(("a1",), repeatable=False, goal_us=400 * MS)
    reject(relay, pause_us=100 * MS)
    number = relay.request("/look/x")
    assert relay.get_reply(number) is None
    relay.advance(90)
    assert relay.pop_sends() == []
    relay.advance(20)
    sends = relay.pop_sends()
    assert len(sends) == 2, "the request that was rejected has waited as well"
    for send in sends:
        relay.answer(send)
    assert isinstance(relay.get_reply(number), ForwardedReply)


def test_waiting_requests_are_refused_at_once_when_their_last_server_pauses():
    relay = create_single_relay(("a1",), slots=1, repeatable=False)
    numbers = [relay.request("/look/x") for _ in range(20)]
    first, *sends = relay.pop_sends()
    assert len(sends) + 1 < 20
    relay.answer(first, status=503, not_run=True, signature="", pause_us=3 * SECOND_US)
    assert relay.pop_sends() == []
    refusals = [r for r in map(relay.get_reply, numbers) if r is not None]
    assert len(refusals) == 20 - len(sends)
    assert all(refusal.retry_after_us > 2 * SECOND_US for refusal in refusals)


def test_hedges_and_repeats_avoid_a_server_that_pauses():
    relay = create_gathered_relay()
    relay.request()
    rejected = relay.pop_sends()
    rejection = {"status": 503, "not_run": True, "signature": "", "pause_us": 5 * SECOND_US}
    for send in rejected:
        relay.answer(send, **rejection)
    paused = {send.server.server_id for send in rejected}
    for _ in range(5):
        relay.request()
        relay.advance(90)
        sends = relay.pop_sends()
        assert sends
        relay.fail(sends[0])
        sends += relay.pop_sends()
        assert not paused & {send.server.server_id for send in sends}
        relay.advance(600)


@pytest.mark.parametrize("change", [list_again, relist, lose_entry])
def test_a_pause_holds_for_the_process_that_asked_for_it(change):
    relay = create_single_relay()
    list_again(relay, process_started_ms=7)
    reject(relay, pause_us=20 * SECOND_US)
    change(relay)
    assert list_used(relay) == {"one-1"}
    change(relay, process_started_ms=8)
    assert "one-0" in list_used(relay)


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param({"leaving": True}, id="leaving"),
        pytest.param(
            {"status": 503, "not_run": True, "signature": "", "pause_us": 9 * SECOND_US},
            id="pause",
        ),
    ],
)
def test_a_partner_that_gathers_avoids_servers_that_asked_it_for_no_requests(answer):
    fleet = create_fleet()
    partner, asked = fleet["n2"], ("s0-0", "s1-0")
    send_query(fleet)
    for send in partner.pop_sends():
        partner.answer(send, **(answer if send.server.server_id in asked else {}))
    answer_all(fleet)
    for _ in range(5):
        number = send_query(fleet)
        used = {s.record.server.server_id for s in partner.state.sends.values()}
        assert used
        assert not used & set(asked)
        answer_all(fleet)
        reply = fleet["n1"].get_reply(number)
        assert isinstance(reply, GatheredReply)
        assert reply.missing == 0
        fleet.advance(200)
