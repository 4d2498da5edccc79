"""Checks the pace of servers that have started or recovered, without a network.

Load patterns: one of the three servers of a shard crashes in a burst and comes back cold, or at
a third of its speed, or all three come back at once. Thirty instances each see few answers, and
learn the rest from notes that take 0.2 s.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace

import pytest

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.relay import server_selection
from mimosapost.relay.catalog import ServiceRules
from mimosapost.relay.events import ServerListed
from mimosapost.relay.latency_pools import LatencyPool
from mimosapost.relay.messages import LoadReport
from mimosapost.relay.pace import Evidence, adjust_pace, begin_pace, get_share
from mimosapost.relay.paced_servers import (
    adopt_told_share,
    get_told_percent,
    observe_answer,
    observe_failure,
    start_pace,
)
from mimosapost.relay.server_selection import (
    ServerRecord,
    adopt_observation,
    choose_server,
    record_failure,
    record_latency,
    record_success,
)
from mimosapost.relay.tests.relay_harness import MS, create_servers, create_single_relay
from mimosapost.relay.tests.test_server_notes import apply_note, create_fleet, get_record

INSTANCES = 30
NOTE_US = 200 * MS
RETURN_US = 4_000 * MS
WORK_US = 11_200
GOAL_US = 85 * MS
QUEUE = 12


@dataclass
class Shard:
    """Three servers in three regions, and the records that the instances have of them.

    :param returning: servers that are away for the first seconds and then come back.
    :param factor: how many times as long as usual work takes there for three seconds.
    :param has_pace: whether instances use paces.
    :ivar times: send time, index of the server and time to the answer of each send, all times
        in microseconds; ``None`` for a rejection.
    """

    returning: tuple[int, ...]
    factor: float
    per_second: float
    has_pace: bool
    factor_us: int = 3_000 * MS
    cut_off: tuple[int, ...] = ()
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    times: list[tuple[int, int, int | None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.servers = create_servers("one", ("a1", "b1", "c1"))
        self.free_us = [[0, 0] for _ in self.servers]
        self.open_until: list[list[int]] = [[] for _ in self.servers]
        self.records = [[self._create(i, s) for s in range(3)] for i in range(INSTANCES)]
        self.pools = [tuple(LatencyPool(d) for d in range(3)) for _ in range(INSTANCES)]
        self.due: list = []
        self.order = itertools.count()

    def _create(self, instance: int, server: int) -> ServerRecord:
        return ServerRecord(self.servers[server], 0 if instance % 3 == server else 2, "")

    def play(self, seconds: float) -> None:
        """Send at random moments, one of the instances each time."""
        now_us = 0
        while now_us < seconds * 1e6:
            self._add(now_us, self._send)
            now_us += int(self.rng.expovariate(self.per_second) * 1e6)
        self._add(RETURN_US, self._return)
        while self.due:
            now_us, _, action = heapq.heappop(self.due)
            action(now_us)

    def _add(self, due_us: int, action) -> None:
        heapq.heappush(self.due, (due_us, next(self.order), action))

    def _return(self, now_us: int) -> None:
        for row in self.records:
            for server in self.returning:
                row[server] = self._create(self.records.index(row), server)
                if self.has_pace:
                    start_pace(row[server], "started", now_us, [])

    def _send(self, now_us: int) -> None:
        instance = self.rng.randrange(INSTANCES)
        away = self.returning if now_us < RETURN_US else ()
        usable = [r for s, r in enumerate(self.records[instance]) if s not in away]
        record = choose_server(usable, self.pools[instance], now_us, self.rng)
        if record is None:
            return
        server = self.servers.index(record.server)
        trip_us = (1, 9, 9)[record.distance] * MS
        at_us, number = now_us + trip_us, len(self.times)
        waiting = [t for t in self.open_until[server] if t > at_us]
        if len(waiting) >= 2 + QUEUE:
            end_us = at_us
            self.times.append((now_us, server, None))
        else:
            is_slow = server in self.returning and at_us < RETURN_US + self.factor_us
            slot = min(range(2), key=self.free_us[server].__getitem__)
            start_us = max(at_us, self.free_us[server][slot])
            end_us = int(start_us + WORK_US * (self.factor if is_slow else 1))
            self.free_us[server][slot] = end_us
            waiting.append(end_us)
            self.times.append((now_us, server, end_us + trip_us - now_us))
        self.open_until[server] = waiting
        record.open_sends[number] = now_us
        entry = (instance, server, record, number)
        self._add(end_us + trip_us, lambda t: self._end(t, *entry))

    def _end(self, now_us: int, instance, server, record, number) -> None:
        elapsed_us = self.times[number][2]
        del record.open_sends[number]
        busy = sum(t > now_us for t in self.open_until[server])
        load = LoadReport(min(2, busy), max(0, busy - 2), 2)
        record.load, record.load_us = load, now_us
        pool = self.pools[instance][record.distance]
        if elapsed_us is None:
            record_failure(record, now_us)
            if self.has_pace:
                observe_failure(record, "rejected", now_us, [])
        else:
            record.connection_used_us = now_us
            record_latency(record, pool, elapsed_us, now_us)
            pool.record(elapsed_us)
            record_success(record)
            if self.has_pace:
                observe_answer(record, pool.median_us, elapsed_us, load, now_us, [])
        if record.distance == 0 and instance not in self.cut_off:
            told = (record.latency_ratio, record.failure_rate, 0, record.observed_us)
            share = get_told_percent(record, now_us)
            self._add(now_us + NOTE_US, lambda t: self._tell(t, instance, server, told, share))

    def _tell(self, now_us: int, instance, server, told, share) -> None:
        for other, row in enumerate(self.records):
            if other != instance and other not in self.cut_off:
                adopt_observation(row[server], *told)
                percent, age_ms = share
                adopt_told_share(row[server], percent, age_ms * MS + NOTE_US, now_us, [])

    def measure(self) -> tuple[float, float, float]:
        """Return seconds to 0.8 of its share, late and rejected shares, and the mean in ms."""
        after = [entry for entry in self.times if 0 <= entry[0] - RETURN_US < 5_000 * MS]
        at_s = 5.0
        for tenth in range(50):
            start_us = RETURN_US + tenth * 100 * MS
            window = [s for t, s, _ in after if start_us <= t < start_us + 500 * MS]
            if window and sum(s in self.returning for s in window) >= 0.8 * len(window) / 3:
                at_s = tenth / 10
                break
        bad = sum(e is None or e > GOAL_US for _, _, e in after)
        done = [e for _, _, e in after if e is not None]
        return at_s, bad / len(after), sum(done) / len(done) / MS


def measure(per_second: float, **changes) -> list[tuple[float, float, float]]:
    """Return what a pattern measures without and with paces, in one run."""
    fields = {"returning": (0,), "factor": 1.6, "per_second": per_second}
    shards = [Shard(**(fields | changes), has_pace=has_pace) for has_pace in (False, True)]
    for shard in shards:
        shard.play(9)
    return [shard.measure() for shard in shards]


@pytest.mark.parametrize("per_second", [24, 100])
@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({}, id="one comes back cold"),
        pytest.param({"factor": 3.0, "factor_us": 60_000 * MS}, id="one at a third"),
        pytest.param({"factor": 8.0}, id="one at an eighth"),
        pytest.param({"returning": (0, 1, 2)}, id="all come back cold"),
        pytest.param({"returning": (0, 1, 2), "factor": 3.0}, id="all at a third"),
    ],
)
def test_no_more_answers_are_late_and_a_cold_server_is_not_left_idle(per_second, changes):
    before, after = measure(per_second, **changes)
    assert after[1] <= before[1] + 0.005
    if not changes:
        # The time for which the deployments' servers are cold.
        assert after[0] <= 3.0


def test_an_instance_that_is_cut_off_neither_idles_a_server_nor_holds_the_others_back():
    shard = Shard((0,), 1.6, 24, True, cut_off=(0, 1))
    shard.play(14)
    assert shard.measure()[0] <= 3.0
    paces = [row[0].pace for row in shard.records]
    end_us = RETURN_US + 8_000 * MS
    assert all(pace is None or get_share(pace, end_us) == 1 for pace in paces)


@pytest.mark.parametrize(
    ("evidence", "load", "percent"),
    [
        (Evidence.GOOD, None, 75),
        (Evidence.GOOD, LoadReport(1, 0, 2), 62),
        (Evidence.GOOD, LoadReport(2, 0, 2), 56),
        (Evidence.NEUTRAL, None, 50),
        (Evidence.BAD, None, 25),
        (Evidence.LOST, None, 25),
    ],
)
def test_the_share_rises_by_steps_and_is_cut_by_halves(evidence, load, percent):
    pace = begin_pace("started", 0, share=0.5)
    pace = replace(pace, rising_from_us=10_000 * MS)
    changed = adjust_pace(pace, evidence, load, 1_000 * MS)
    assert int(get_share(changed, 1_000 * MS) * 100) == percent
    # Answers that were open at the same time show the same state of the server.
    again = adjust_pace(changed, evidence, load, 1_050 * MS)
    assert get_share(again, 1_050 * MS) == changed.share


@pytest.mark.parametrize(
    ("percent", "age_ms", "expected"),
    [
        pytest.param(75, 100, 75, id="new rise"),
        pytest.param(6, 100, 25, id="new cut, one step only"),
        pytest.param(100, 100, None, id="end"),
        pytest.param(75, 10_000, 50, id="ten seconds old"),
        pytest.param(75, 900, 50, id="same moment, higher"),
        pytest.param(25, 900, 25, id="same moment, lower"),
        pytest.param(25, 1_500, 50, id="older than own evidence"),
        pytest.param(0, 0, 50, id="from an instance that tells none"),
    ],
)
def test_a_told_share_is_adopted_if_its_evidence_is_newer(percent, age_ms, expected):
    record = Shard((0,), 1, 1, True).records[0][0]
    now_us = 20_000 * MS
    pace = begin_pace("started", 0, now_us, share=0.5)
    record.pace = replace(pace, observed_us=now_us - 1_000 * MS)
    adopt_told_share(record, percent, age_ms * MS, now_us, [])
    share = None if record.pace is None else round(get_share(record.pace, now_us) * 100)
    assert share == expected


def test_a_paced_server_is_used_where_the_others_have_no_room():
    records = Shard((0,), 1, 1, True).records[0]
    pools = tuple(LatencyPool(d) for d in range(3))
    records[0].pace = replace(begin_pace("hung", 0, 10_000 * MS), share=0.01)
    rng = random.Random(1)
    assert choose_server(records, pools, 0, rng) is not records[0]
    assert choose_server(records[:1], pools, 0, rng) is records[0]
    for record in records[1:]:
        record.open_sends = dict.fromkeys(range(14), 0)
    assert choose_server(records, pools, 0, rng) is records[0]


def test_warm_servers_are_chosen_as_without_paces(monkeypatch):
    monkeypatch.setattr(server_selection, "list_withheld", None)
    records = Shard((0,), 1, 1, True).records[0]
    pools = tuple(LatencyPool(d) for d in range(3))
    assert choose_server(records, pools, 0, random.Random(1)) is records[0]


@pytest.mark.parametrize("share", [None, 1 / 16, 0.9])
def test_the_limit_of_cold_servers_holds_with_any_pace(share):
    """Each of 40 instances may send one part in 40 of 20 requests a second."""
    rules = [ServiceRules("one", 100, 20.0)]
    relay = create_single_relay(("a1",), rules=rules)
    (record,) = relay.state.servers.values()
    record.cold_until_us = relay.now_us + 60_000 * MS
    record.pace = begin_pace("cold", 0, share=share) if share else None
    sent = 0
    for _ in range(200):
        relay.request("/look/x")
        for send in relay.pop_sends():
            sent += 1
            relay.answer(send)
        relay.advance(50)
    assert 3 <= sent <= 10 * 20 / 40 + 1


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [
        pytest.param("cold", "cold", id="cold again"),
        pytest.param(FailureKind.REFUSED, "refused", id="unreachable"),
        pytest.param(FailureKind.WITHDRAWN, "hung", id="hung"),
        pytest.param("rejected", None, id="full"),
        pytest.param("slow", None, id="slow twice in a row"),
        pytest.param("usual", None, id="in time"),
    ],
)
def test_one_rule_begins_the_pace_of_servers_in_trouble(outcome, reason):
    relay = create_single_relay(("a1",), goal_us=900 * MS)
    (record,) = relay.state.servers.values()
    if outcome == "cold":
        cold = replace(record.server, cold_remaining_us=3_000 * MS)
        relay.apply_event(ServerListed(relay.now_us, cold))
    for _ in range(2 if outcome == "slow" else 1):
        relay.request("/look/x", deadline_ms=900)
        (send,) = relay.pop_sends()
        relay.advance({"slow": 100, FailureKind.WITHDRAWN: 400}.get(outcome, 10))
        if isinstance(outcome, FailureKind):
            relay.fail(send, outcome, RunState.UNKNOWN)
        else:
            relay.answer(send, not_run=outcome == "rejected")
        relay.advance(1)
    assert (record.pace.reason if record.pace else None) == reason
    begun = [e for e in relay.effects if getattr(e, "event", "") == "server_pace_begun"]
    assert len(begun) <= 1


def test_the_answers_of_one_instance_end_the_pace_at_all():
    fleet = create_fleet(server_domains=("a1",))
    server = replace(get_record(fleet, "n1", "one-0").server, process_started_ms=9)
    for relay in fleet.relays.values():
        relay.apply_event(ServerListed(fleet.now_us, server))
        assert get_record(fleet, "n1").pace.reason == "started"
    for _ in range(4):
        fleet["n1"].request("/look/x")
        (send,) = fleet["n1"].pop_sends()
        fleet.advance(10)
        fleet["n1"].answer(send, load=LoadReport(0, 0, 2))
        fleet.advance(300)
    assert not any(get_record(fleet, name).pace for name in fleet.relays)
    # A note that was under way for ten seconds cuts no more than one step.
    apply_note(fleet, "n2", latency_percent=100, share_percent=6, share_age_ms=5)
    assert get_share(get_record(fleet, "n2").pace, fleet.now_us) >= 0.5
