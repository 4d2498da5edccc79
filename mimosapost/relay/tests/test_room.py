"""Checks the decisions while requests of several ranks compete for too little room.

A wrong share either fills the queues of servers, so that all requests are late, or refuses
requests that could be served. A wrong order lets urgent requests pay for less urgent ones.
"""

from __future__ import annotations

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.relay.messages import GatheredReply, LoadReport, Refusal, RelayRequest
from mimosapost.relay.return_times import ReturnTimes, is_early, plan_return
from mimosapost.relay.room import (
    RoomTable,
    choose_admission,
    count_arrival,
    get_share,
    record_send,
)
from mimosapost.relay.tests.relay_harness import MS, Relay, create_route, create_servers

SECOND = 1_000_000
SHARDS = tuple(f"s{n}" for n in range(20))
URGENT = create_route("urgent", rank=0, shards=SHARDS, min_coverage=0.85)
WIDE = create_route("wide", rank=1, shards=SHARDS, min_coverage=0.95)


def fill(table, service, short_share, now_us, seconds=2.0, per_second=20):
    """Record a steady stream of sends, of which an even share is short of room."""
    for number in range(int(seconds * per_second)):
        is_short = int((number + 1) * short_share) > int(number * short_share)
        record_send(table, service, is_short, now_us)
        now_us += SECOND // per_second
    return now_us


def create_demand(table, now_us, urgent=2, wide=8):
    """Count the arrivals of two routes over the last second."""
    for step in range(10):
        at_us = now_us - SECOND + step * SECOND // 10
        for route, number in ((URGENT, urgent), (WIDE, wide)):
            for _ in range(number):
                demand = count_arrival(table, route, route.rank, SHARDS, 600 * MS, at_us)
                assert demand.route is route
    by_name = {name: demand for (name, _), demand in table.demand.items()}
    return by_name["urgent"], by_name["wide"]


def decide(table, demand, now_us, place=0.5, spare=1, has_waited=False):
    return choose_admission(table, demand, SHARDS, spare, place, has_waited, now_us)


@pytest.mark.parametrize(
    ("short_share", "lowest", "highest"),
    [(0.0, 1, 1), (0.08, 1, 1), (0.4, 0.05, 0.6), (1, 0.05, 0.1)],
)
def test_the_share_falls_only_while_sends_are_short_of_room(short_share, lowest, highest):
    table = RoomTable()
    now_us = fill(table, "s0", short_share, SECOND)
    assert lowest <= get_share(table, "s0", now_us) <= highest


@pytest.mark.parametrize("answers_per_second", [0, 1, 20])
def test_returning_room_is_found_within_seconds(answers_per_second):
    """Replay a service that was full for 4 s; afterwards it has room, asked or not."""
    table = RoomTable()
    now_us = fill(table, "s0", 1, SECOND, seconds=4)
    assert get_share(table, "s0", now_us) < 0.1
    if answers_per_second:
        now_us = fill(table, "s0", 0, now_us, seconds=3, per_second=answers_per_second)
        assert get_share(table, "s0", now_us) > 0.4
        now_us = fill(table, "s0", 0, now_us, seconds=3, per_second=answers_per_second)
    else:
        now_us += 6 * SECOND
    assert get_share(table, "s0", now_us) == 1


def test_figures_that_are_ten_seconds_old_refuse_nobody():
    table = RoomTable()
    now_us = SECOND
    for service in SHARDS:
        fill(table, service, 1, now_us)
    now_us += 12 * SECOND
    _, wide = create_demand(table, now_us)
    assert decide(table, wide, now_us, place=0.99).is_admitted


def test_the_urgent_are_sent_and_the_others_share_what_is_left():
    table = RoomTable()
    for service in SHARDS:
        now_us = fill(table, service, 0.3, SECOND)
    share = get_share(table, "s0", now_us)
    urgent, wide = create_demand(table, now_us)
    places = [n / 100 for n in range(100)]
    admitted = {
        demand.route.name: sum(
            decide(table, demand, now_us, place).is_admitted for place in places
        )
        for demand in (urgent, wide)
    }
    assert admitted["urgent"] == 100
    assert admitted["wide"] == pytest.approx(100 * (share - 0.2) / 0.8, abs=8)


def test_all_instances_choose_the_same_queries_for_all_shards():
    """Each instance measures other shares; a query that one admits, those with more admit."""
    decisions = []
    for short_share in (0.2, 0.3, 0.5):
        table = RoomTable()
        for service in SHARDS:
            now_us = fill(table, service, short_share, SECOND)
        _, wide = create_demand(table, now_us)
        decisions.append(
            {n for n in range(100) if decide(table, wide, now_us, n / 100).is_admitted}
        )
    assert decisions[0] >= decisions[1] >= decisions[2]


@pytest.mark.parametrize(
    ("scarce", "spare", "is_admitted"),
    [(1, 1, True), (2, 1, False), (2, 2, True), (20, 2, False)],
)
def test_a_query_is_refused_if_scarce_shards_would_miss_more_than_it_can_do_without(
    scarce, spare, is_admitted
):
    table = RoomTable()
    for service in SHARDS[:scarce]:
        now_us = fill(table, service, 1, SECOND)
    _, wide = create_demand(table, now_us)
    admission = decide(table, wide, now_us, place=0.9, spare=spare)
    assert (admission.is_admitted, admission.scarce) == (is_admitted, scarce)
    assert bool(admission.room_us) is not is_admitted


def test_a_caller_that_waited_as_told_precedes_new_ones_of_its_rank():
    table = RoomTable()
    for service in SHARDS:
        now_us = fill(table, service, 0.2, SECOND)
    _, wide = create_demand(table, now_us)
    assert not decide(table, wide, now_us, place=0.9).is_admitted
    assert decide(table, wide, now_us, place=0.9, has_waited=True).is_admitted


def create_request(number, now_us, left_ms=900):
    return RelayRequest(
        number, f"id-{number}", "h", "/", now_us + left_ms * MS, b"GET", b"", number
    )


def test_refused_callers_come_back_in_order_while_there_is_room_the_urgent_first():
    """Replay 12 refusals within 60 ms; room for 20 requests a second is expected in 100 ms."""
    times = ReturnTimes()
    due = {0: [], 1: []}
    for number in range(12):
        now_us = SECOND + number * 5 * MS
        rank = number % 2
        request = create_request(number, now_us)
        wait_us = plan_return(times, "s0", rank, request, 100 * MS, 20.0, now_us)
        assert wait_us <= 300 * MS
        due[rank].append(now_us + wait_us)
    assert due[0][:5] == [SECOND + 100 * MS + 50 * MS * n for n in range(5)]
    for rank in due:
        assert due[rank] == sorted(due[rank])
    assert all(later >= sooner for sooner, later in zip(due[0], due[1], strict=True))


def test_a_caller_that_repeats_at_once_takes_no_time_from_others():
    times = ReturnTimes()
    patient, hasty, next_one = (create_request(n, SECOND, left_ms=3_000) for n in range(3))
    first_us = plan_return(times, "s0", 1, patient, 100 * MS, 20.0, SECOND)
    plan_return(times, "s0", 1, hasty, 100 * MS, 20.0, SECOND)
    for step in range(1, 9):
        now_us = SECOND + step * 10 * MS
        assert is_early(times, hasty, now_us)
        plan_return(times, "s0", 1, hasty, 100 * MS, 20.0, now_us, is_early=True)
    assert not is_early(times, patient, SECOND + first_us)
    # Another caller with the same request has a deadline of its own.
    assert not is_early(times, create_request(1, SECOND, left_ms=3_500), now_us)
    wait_us = plan_return(times, "s0", 1, next_one, 0, 20.0, now_us)
    assert now_us + wait_us == SECOND + 200 * MS


def create_full_relay(**changes):
    """Return a relay whose servers have all reported queues."""
    routes = [
        create_route("urgent", rank=0, goal_us=100 * MS, **changes),
        create_route("wide", rank=1, goal_us=100 * MS, **changes),
    ]
    return Relay(routes, [s for n in range(4) for s in create_servers(f"s{n}")])


def replay(relay, seconds, capacity, per_second=(10, 60)):
    """Replay arrivals of two kinds at servers that reject what exceeds their capacity.

    :param capacity: requests per second that each service runs; the others are rejected.
    :returns: for each kind, the numbers of requests, full answers, refusals that cost no send.
    """
    step_us = SECOND // 100
    credit, due = [0.0], [0.0, 0.0]
    counts = {"urgent": [0, 0, 0], "wide": [0, 0, 0]}
    numbers = []
    for _ in range(int(seconds * 100)):
        credit = [min(5.0, credit[0] + capacity / 100)]
        tokens = {f"s{n}": credit[0] for n in range(4)}
        for kind, name in enumerate(counts):
            due[kind] += per_second[kind] / 100
            while due[kind] >= 1:
                due[kind] -= 1
                numbers.append(
                    (name, relay.request(f"/{name}/x", fingerprint=len(numbers) + 1))
                )
        while sends := relay.pop_sends():
            for send in sends:
                service = send.server.service
                is_full = tokens[service] < 1
                tokens[service] -= not is_full
                load = LoadReport(2, 12 if is_full else 0, 2)
                status = 503 if is_full else 200
                relay.answer(send, status=status, not_run=is_full, load=load)
        credit = [min(tokens.values())]
        relay.advance(step_us / MS)
    relay.advance(600)
    for name, number in numbers:
        reply = relay.get_reply(number)
        counts[name][0] += 1
        counts[name][1] += isinstance(reply, GatheredReply)
        counts[name][2] += isinstance(reply, Refusal) and reply.detail == "no room"
    return counts


def test_a_burst_that_exceeds_the_servers_costs_the_urgent_kind_little():
    counts = replay(create_full_relay(), seconds=8, capacity=30)
    asked, answered, _ = counts["urgent"]
    assert answered >= 0.8 * asked
    asked, answered, refused = counts["wide"]
    # Without the refusals each shard would serve other queries, and few would be served whole.
    assert refused >= 0.4 * asked
    assert answered >= 0.2 * asked


def test_calm_servers_refuse_nothing_and_keep_no_entries():
    relay = create_full_relay()
    counts = replay(relay, seconds=4, capacity=1_000)
    assert counts["urgent"][0] == counts["urgent"][1]
    assert counts["wide"][0] == counts["wide"][1]
    assert not relay.state.room.services


def test_a_refusal_for_lack_of_room_is_sent_to_no_server():
    relay = create_full_relay()
    for service in ("s0", "s1", "s2", "s3"):
        fill(relay.state.room, service, 1, relay.now_us - 2 * SECOND)
    relay.request("/urgent/x")
    numbers = [relay.request("/wide/x", fingerprint=n) for n in range(2, 40)]
    refused = [n for n in numbers if isinstance(relay.get_reply(n), Refusal)]
    sent = {send.request.request_number for send in relay.pop_sends()}
    assert refused
    assert sent.isdisjoint(refused)
    for number in refused:
        reply = relay.get_reply(number)
        assert reply.code is ResultCode.OVERLOADED
        assert 50 * MS <= reply.retry_after_us <= 200 * MS


def test_an_instance_that_dies_between_decision_and_send_leaves_its_room_to_others():
    """The next process has no entries: it sends, and measures the room by itself."""
    relay = create_full_relay()
    for service in ("s0", "s1", "s2", "s3"):
        fill(relay.state.room, service, 1, relay.now_us - 2 * SECOND)
    assert relay.state.room.services
    restarted = create_full_relay()
    number = restarted.request("/wide/x")
    assert restarted.get_reply(number) is None
    assert len(restarted.pop_sends()) == 4
