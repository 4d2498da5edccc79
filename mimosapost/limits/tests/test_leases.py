"""Tests that allowances never exceed a limit and that leased parts do not stay unused."""

from dataclasses import replace

import pytest

from mimosapost.limits.leases import LeaseTable, choose_group
from mimosapost.limits.tests.lease_simulation import DEADLINE_US, LEASE_US, LeaseSimulation
from mimosapost.model.peer_messages import Heartbeat

LIMITS = {"10.0.0.1:80": 41, "10.0.0.2:80": 7}
WAIT_US = (LEASE_US + DEADLINE_US) * 105 // 100


@pytest.mark.parametrize(
    ("ceiling", "phases", "seeds"),
    [(2, 60, 4), (3, 60, 8), (4, 80, 8), (5, 80, 8), (7, 60, 4), (8, 50, 4), (11, 50, 4)],
)
def test_work_in_flight_never_exceeds_the_limit(ceiling, phases, seeds):
    """The owner and others must not use one leased part at the same time.

    The limit is exceeded while requests of the former user are in flight, e.g. if
    ``_acknowledge`` compares with ``owner.last_reported_lapsed_us`` without the wait.
    """
    state_counts = {}
    for seed in range(seeds):
        simulation = LeaseSimulation(ceiling, LIMITS, seed)
        for phase in range(phases):
            for _ in range(simulation.rng.choice([10, 40, 90])):
                simulation.step()
                for key, limit in LIMITS.items():
                    in_flight_now = simulation.count_in_flight(key)
                    assert in_flight_now <= limit, (
                        seed,
                        phase,
                        simulation.now_us,
                        key,
                        in_flight_now,
                    )
            simulation.inject_faults()
            simulation.flight_ends = {
                user: ends for user, ends in simulation.flight_ends.items() if ends
            }
        state_counts = {
            name: state_counts.get(name, 0) + count
            for name, count in simulation.state_counts.items()
        }
    # The faults must lead to the states that the invariant is about. With two seats a majority
    # is both witnesses, so that nothing can be reused.
    assert state_counts["lease"]
    assert state_counts["withheld"]
    assert bool(state_counts["reuse"]) == (ceiling > 2)


def run_for(simulation, duration_us):
    end_us = simulation.now_us + duration_us
    while simulation.now_us < end_us:
        simulation.step()


@pytest.mark.parametrize(("ceiling", "lost"), [(3, 0), (4, 2), (5, 4), (7, 3)])
def test_others_get_the_leased_part_of_a_lost_instance(ceiling, lost):
    """The other instances must use the leased part of an instance that has failed.

    A part of it stays unused if ``recipients`` in ``_cache_reusable`` includes the lost seat.
    """
    simulation = LeaseSimulation(ceiling, LIMITS, 1)
    run_for(simulation, 5_000_000)
    tables = {seat: process.table for seat, process in simulation.processes.items()}
    for key, limit in LIMITS.items():
        assert simulation.sum_allowances(key) == limit
    fixed = {
        key: tables[lost]._split_share(limit, lost, key)[0] for key, limit in LIMITS.items()
    }
    del simulation.processes[lost]
    run_for(simulation, WAIT_US + 1_500_000)
    for key, limit in LIMITS.items():
        assert simulation.sum_allowances(key) == limit - fixed[key]
    simulation.start(lost)
    run_for(simulation, 2 * WAIT_US + 2_000_000)
    for key, limit in LIMITS.items():
        assert simulation.sum_allowances(key) == limit


def test_group_gets_the_leased_part_back_beyond_seven_seats():
    """With more than one group, the members of a group must learn of its lapsed seat.

    A part of the leased limit stays unused if they do not, or if ``recipients`` in
    ``_cache_reusable`` includes the lost seat.
    """
    simulation = LeaseSimulation(20, {"10.0.0.1:80": 400}, 1)
    run_for(simulation, 5_000_000)
    assert simulation.sum_allowances("10.0.0.1:80") == 400
    del simulation.processes[3]
    run_for(simulation, WAIT_US + 1_500_000)
    assert simulation.sum_allowances("10.0.0.1:80") == 390


def test_minority_side_keeps_its_fixed_part_only():
    """A side of a partition without a majority must stop using leased parts.

    Both sides of an even split continue if ``_majority`` is half of the witnesses.
    """
    simulation = LeaseSimulation(4, {"10.0.0.1:80": 40}, 1)
    run_for(simulation, 5_000_000)
    sides = [{0, 1}, {2, 3}]
    simulation.blocked = {(a, b) for s in sides for a in s for b in range(4) if b not in s}
    run_for(simulation, 8_000_000)
    assert simulation.sum_allowances("10.0.0.1:80") == 20


@pytest.mark.parametrize("ceiling", [1, 4, 7, 8, 9, 14, 40, 690])
def test_groups_partition_the_seats(ceiling):
    """All members of a group must compute the same members and witnesses.

    They disagree if ``choose_group`` takes the remainder of ``seat`` instead of the remainder
    of its position in the order.
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
    """A replacement must not add its requests to those of its predecessor in flight.

    Both use the same share if ``_usable_from_us`` is ``started_us``.
    """
    table = build_table()
    assert table.get_allowance(40, "k", DEADLINE_US) == 0
    assert table.get_allowance(40, "k", DEADLINE_US * 105 // 100) == 5


@pytest.mark.parametrize(
    ("after_us", "incarnation", "acknowledged"),
    [
        pytest.param(0, 8, True, id="same-at-once"),
        pytest.param(WAIT_US - 1, 8, True, id="same-during-wait"),
        pytest.param(WAIT_US - 1, 9, False, id="new-during-wait"),
        pytest.param(WAIT_US, 9, True, id="new-after-wait"),
    ],
)
def test_new_incarnation_waits_for_the_old_lease(after_us, incarnation, acknowledged):
    """Two incarnations of one seat must not hold the lease at the same time.

    Both are acknowledged if ``_acknowledge`` does not compare ``owner.incarnation``.
    """
    witness = build_table()
    first_us = 2 * WAIT_US - 100
    witness.answer_heartbeat(Heartbeat(1, 8, 1), WAIT_US - 1)
    assert witness.answer_heartbeat(Heartbeat(1, 8, 2), first_us).acknowledged
    answer = witness.answer_heartbeat(Heartbeat(1, incarnation, 3), first_us + after_us)
    assert answer.acknowledged is acknowledged


def test_new_witness_neither_acknowledges_nor_reports():
    """A new witness must not contradict recent answers of its predecessor on the seat.

    It does not know them, and contradicts them if ``_answers_from_us`` is ``started_us``.
    """
    witness = build_table()
    early = witness.answer_heartbeat(Heartbeat(1, 8, 1), WAIT_US - 1)
    assert (early.acknowledged, early.lapsed) == (False, ())
    late = witness.answer_heartbeat(Heartbeat(1, 8, 2), WAIT_US)
    assert (late.acknowledged, late.lapsed) == (True, (2, 3))


def test_reported_seat_is_withheld():
    """An owner must not get its lease back while others may still use its leased part.

    It is acknowledged too early if ``_report_lapsed`` does not set
    ``owner.last_reported_lapsed_us``.
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
        pytest.param({"seat": 1}, id="to-other-seat"),
        pytest.param({"incarnation": 2}, id="to-other-incarnation"),
        pytest.param({"number": 99}, id="unknown-heartbeat"),
        pytest.param({"witness_seat": 0}, id="from-own-seat"),
        pytest.param({"witness_seat": 9}, id="from-unknown-witness"),
        pytest.param({"acknowledged": False}, id="not-acknowledged"),
    ],
)
def test_answers_that_do_not_fit_are_ignored(change):
    """A lease must not be based on misdirected, forged or negative answers.

    Answers to another incarnation count if ``record_answer`` does not compare seat and
    incarnation.
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
    """A slow answer must not extend a lease beyond the wait of the witness.

    The lease lasts too long if ``record_answer`` passes ``now_us`` instead of ``sent_us`` to
    ``_record_witness_answer``.
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
    """The status must show that two live processes use the same seat."""
    table = build_table(incarnation=1)
    answer = table.answer_heartbeat(Heartbeat(0, 2, 1), 2 * WAIT_US)
    assert not answer.acknowledged
    assert table.describe(2 * WAIT_US).seat_conflicts == 1
