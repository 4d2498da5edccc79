"""Guards against allowances that sum above a limit, and leased parts that stay unused."""

from dataclasses import replace

import pytest

from mimosapost.limits.leases import LeaseTable, choose_group
from mimosapost.limits.tests.fleets import DEADLINE_US, LEASE_US, Fleet
from mimosapost.model.messages import Heartbeat

LIMITS = {"10.0.0.1:80": 41, "10.0.0.2:80": 7}
WAIT_US = (LEASE_US + DEADLINE_US) * 105 // 100


@pytest.mark.parametrize(
    ("ceiling", "phases", "seeds"),
    [(2, 60, 4), (3, 60, 8), (4, 80, 8), (5, 80, 8), (7, 60, 4), (8, 50, 4), (11, 50, 4)],
)
def test_work_in_flight_never_exceeds_the_limit(ceiling, phases, seeds):
    """Guards against two users of one leased part, also while older work is in flight.

    Fails when the withholding in ``_acknowledge`` compares with ``owner.reported_us`` alone.
    """
    seen = {}
    for seed in range(seeds):
        fleet = Fleet(ceiling, LIMITS, seed)
        for phase in range(phases):
            for _ in range(fleet.rng.choice([10, 40, 90])):
                fleet.step()
                for key, limit in LIMITS.items():
                    open_now = fleet.count_open(key)
                    assert open_now <= limit, (seed, phase, fleet.now_us, key, open_now)
            fleet.disturb()
            fleet.open = {user: ends for user, ends in fleet.open.items() if ends}
        seen = {name: seen.get(name, 0) + count for name, count in fleet.seen.items()}
    # The schedule must reach the states that the invariant is about. With two seats a
    # majority is both, so that nothing can be reused.
    assert seen["lease"]
    assert seen["withheld"]
    assert bool(seen["reuse"]) == (ceiling > 2)


def run_for(fleet, duration_us):
    end_us = fleet.now_us + duration_us
    while fleet.now_us < end_us:
        fleet.step()


@pytest.mark.parametrize(("ceiling", "lost"), [(3, 0), (4, 2), (5, 4), (7, 3)])
def test_others_get_the_leased_part_of_a_lost_instance(ceiling, lost):
    """Guards against capacity that stays unused after the loss of one instance.

    Fails when ``heirs`` in ``_add_parts`` includes the lost seat.
    """
    fleet = Fleet(ceiling, LIMITS, 1)
    run_for(fleet, 5_000_000)
    tables = {seat: process.table for seat, process in fleet.processes.items()}
    for key, limit in LIMITS.items():
        assert fleet.sum_allowances(key) == limit
    fixed = {key: tables[lost]._split(limit, lost, key)[0] for key, limit in LIMITS.items()}
    del fleet.processes[lost]
    run_for(fleet, WAIT_US + 1_500_000)
    for key, limit in LIMITS.items():
        assert fleet.sum_allowances(key) == limit - fixed[key]
    fleet.start(lost)
    run_for(fleet, 2 * WAIT_US + 2_000_000)
    for key, limit in LIMITS.items():
        assert fleet.sum_allowances(key) == limit


def test_group_gets_the_leased_part_back_beyond_seven_seats():
    """Guards against reports of lapsed seats that never reach the group's members.

    Fails when ``heirs`` in ``_add_parts`` includes the lost seat.
    """
    fleet = Fleet(20, {"10.0.0.1:80": 400}, 1)
    run_for(fleet, 5_000_000)
    assert fleet.sum_allowances("10.0.0.1:80") == 400
    del fleet.processes[3]
    run_for(fleet, WAIT_US + 1_500_000)
    assert fleet.sum_allowances("10.0.0.1:80") == 390


def test_minority_side_keeps_its_fixed_part_only():
    """Guards against a minority that goes on with leased parts.

    Fails when ``_majority`` is computed as half of the witnesses.
    """
    fleet = Fleet(4, {"10.0.0.1:80": 40}, 1)
    run_for(fleet, 5_000_000)
    sides = [{0, 1}, {2, 3}]
    fleet.blocked = {(a, b) for s in sides for a in s for b in range(4) if b not in s}
    run_for(fleet, 8_000_000)
    assert fleet.sum_allowances("10.0.0.1:80") == 20


@pytest.mark.parametrize("ceiling", [1, 4, 7, 8, 9, 14, 40, 690])
def test_groups_partition_the_seats(ceiling):
    """Guards against members of a group that disagree on its members or witnesses.

    Fails when ``choose_group`` takes the remainder of ``seat`` instead of its position.
    """
    assert all(seat in choose_group(seat, ceiling)[0] for seat in range(ceiling))
    groups = {choose_group(seat, ceiling) for seat in range(ceiling)}
    members = sorted(seat for group, _ in groups for seat in group)
    assert members == list(range(ceiling))
    for group, witnesses in groups:
        assert set(witnesses) <= set(group)
        assert len(group) <= 9
        assert len(witnesses) == (5 if ceiling > 7 else ceiling)


def build_table(seat=0, incarnation=1):
    return LeaseTable(seat, incarnation, 4, 0, LEASE_US, DEADLINE_US)


def test_new_incarnation_gives_nothing_while_old_work_is_in_flight():
    """Guards against a replacement that adds to requests of its predecessor.

    Fails when ``_usable_from_us`` is set to ``started_us``.
    """
    table = build_table()
    assert table.get_allowance(40, "k", DEADLINE_US) == 0
    assert table.get_allowance(40, "k", DEADLINE_US * 105 // 100) == 5


@pytest.mark.parametrize(
    ("after_us", "incarnation", "acknowledged"),
    [
        (0, 8, True),
        (WAIT_US - 1, 8, True),
        (WAIT_US - 1, 9, False),
        (WAIT_US, 9, True),
    ],
)
def test_new_incarnation_waits_for_the_old_lease(after_us, incarnation, acknowledged):
    """Guards against leases of two incarnations of one seat at a time.

    Fails without ``owner.incarnation != incarnation`` in ``_acknowledge``.
    """
    witness = build_table()
    first_us = 2 * WAIT_US - 100
    witness.answer_heartbeat(Heartbeat(1, 8, 1), WAIT_US - 1)
    assert witness.answer_heartbeat(Heartbeat(1, 8, 2), first_us).acknowledged
    answer = witness.answer_heartbeat(Heartbeat(1, incarnation, 3), first_us + after_us)
    assert answer.acknowledged is acknowledged


def test_new_witness_neither_acknowledges_nor_reports():
    """Guards against answers that contradict those of the witness's predecessor.

    Fails when ``_answers_from_us`` is set to ``started_us``.
    """
    witness = build_table()
    early = witness.answer_heartbeat(Heartbeat(1, 8, 1), WAIT_US - 1)
    assert (early.acknowledged, early.lapsed) == (False, ())
    late = witness.answer_heartbeat(Heartbeat(1, 8, 2), WAIT_US)
    assert (late.acknowledged, late.lapsed) == (True, (2, 3))


def test_reported_seat_is_withheld():
    """Guards against an owner that returns while others still use its leased part.

    Fails when ``_report_lapsed`` does not set ``owner.reported_us``.
    """
    witness = build_table()
    assert witness.answer_heartbeat(Heartbeat(1, 8, 1), WAIT_US).lapsed == (2, 3)
    assert witness.describe(2 * WAIT_US - 1).withheld == (2, 3)
    for now_us, acknowledged in [(WAIT_US + 1, False), (2 * WAIT_US, True)]:
        answer = witness.answer_heartbeat(Heartbeat(2, 9, 1), now_us)
        assert answer.acknowledged is acknowledged


@pytest.mark.parametrize(
    "change",
    [
        {"seat": 1},
        {"incarnation": 2},
        {"number": 99},
        {"witness_seat": 0},
        {"witness_seat": 9},
        {"acknowledged": False},
    ],
)
def test_answers_that_do_not_fit_are_ignored(change):
    """Guards against a lease that rests on crossed, forged or refusing answers.

    Fails without the comparison of seat and incarnation in ``record_answer``.
    """
    now_us = 10 * WAIT_US
    accepted = []
    for changes in ({}, change):
        owner = build_table()
        heartbeat = owner.create_heartbeat(now_us)
        for seat in (1, 2):
            witness = build_table(seat, 5)
            witness.answer_heartbeat(heartbeat, 0)
            answer = witness.answer_heartbeat(heartbeat, now_us)
            owner.record_answer(replace(answer, **changes), now_us)
        accepted.append(owner.describe(now_us).lease_left_us)
    assert accepted == [LEASE_US, 0]


def test_lease_counts_from_the_sending_of_the_heartbeat():
    """Guards against slow answers that extend a lease beyond the witness's wait.

    Fails when ``record_answer`` passes ``now_us`` instead of ``sent_us`` to ``_record``.
    """
    now_us = 10 * WAIT_US
    owner = build_table()
    heartbeat = owner.create_heartbeat(now_us)
    for seat in (1, 2, 3):
        witness = build_table(seat, 5)
        witness.answer_heartbeat(heartbeat, 0)
        answer = witness.answer_heartbeat(heartbeat, now_us)
        owner.record_answer(answer, now_us + 900_000)
    assert owner.describe(now_us + 900_000).lease_left_us == 100_000


def test_heartbeat_of_another_incarnation_of_the_own_seat_is_counted():
    """Guards against two live processes on one seat that no one notices."""
    table = build_table(incarnation=1)
    answer = table.answer_heartbeat(Heartbeat(0, 2, 1), 2 * WAIT_US)
    assert not answer.acknowledged
    assert table.describe(2 * WAIT_US).seat_conflicts == 1
