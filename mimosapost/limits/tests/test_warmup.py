"""Tests that cold servers get a low limit, and that it rises once they are warm."""

import pytest

from mimosapost.limits.warmup import WarmupTable

SERVER = "10.0.0.1:80"
FAST_US = 4_000


def build_table(connections=25, cold_limit=2, ramp_answers=20, interval_us=500_000):
    table = WarmupTable()
    table.configure(SERVER, connections, cold_limit, ramp_answers, interval_us)
    return table


def feed(table, count, now_us, service_us=FAST_US, boot_id="a", gap_us=30_000):
    """Record equal answers and return the time after the last one."""
    for _ in range(count):
        now_us += gap_us
        table.record_answer(SERVER, boot_id, service_us, now_us)
    return now_us


def build_warm():
    table = build_table()
    now_us = feed(table, 200, 0)
    assert not table.is_cold(SERVER)
    return table, now_us


def test_unknown_server_gets_nothing_and_is_cold():
    table = WarmupTable()
    table.record_answer(SERVER, "a", FAST_US, 0)
    table.record_refused(SERVER, 0)
    table.reset(SERVER)
    assert (table.get_limit(SERVER, 0), table.is_cold(SERVER)) == (0, True)
    assert table.describe(SERVER, 0) is None


@pytest.mark.parametrize(
    ("answers", "gap_us", "limit"),
    [
        (19, 100_000, 2),
        (20, 100_000, 4),
        (20, 1_000, 2),  # enough answers, but before the end of the interval
        (500, 1_000, 2),
        (502, 1_000, 4),
        (60, 100_000, 16),
        (80, 100_000, 25),
    ],
)
def test_limit_doubles_after_answers_and_interval(answers, gap_us, limit):
    """A stage must end only after enough good answers and its minimum duration.

    One of them is enough if the ``and`` between both conditions in ``record_answer`` is
    ``or``.
    """
    table = build_table()
    feed(table, answers, 0, gap_us=gap_us)
    assert table.get_limit(SERVER, 0) == limit
    assert table.is_cold(SERVER) is (limit < 25)


@pytest.mark.parametrize(
    ("event", "cause"),
    [
        (lambda table, now: table.record_refused(SERVER, now), "refused"),
        (lambda table, _: table.reset(SERVER), "reset"),
        (lambda table, now: table.record_answer(SERVER, "b", FAST_US, now), "restarted"),
        (lambda table, _: table.record_boot(SERVER, "b"), "restarted"),
        (lambda table, now: feed(table, 5, now, 5 * FAST_US), "slow"),
    ],
    ids=["refused", "reset", "answer-with-new-boot-id", "new-boot-id", "slow-answers"],
)
def test_events_that_return_a_server_to_cold(event, cause):
    """A server that turned cold must not get the load of a warm one.

    This happens if ``_return_to_cold`` does not set the limit.
    """
    table, now_us = build_warm()
    event(table, now_us)
    status = table.describe(SERVER, now_us)
    assert (status.limit, status.cold, status.cause) == (2, True, cause)
    feed(table, 200, now_us, boot_id=status.boot_id)
    assert not table.is_cold(SERVER)


@pytest.mark.parametrize(
    ("pattern", "cold"),
    [
        (([20] + [1] * 99) * 8, False),  # 1 straggler in 100 at 20 x the median
        ([20, 20, 20, 20, 1] * 8, False),  # four in a row, repeatedly
        ([3] * 100, False),  # slower, but below the threshold of 4 x the median
        ([5] * 5, True),
    ],
    ids=["1-in-100", "4-in-a-row", "below-threshold", "5-in-a-row"],
)
def test_stragglers_are_no_cold_start(pattern, cold):
    """Stragglers must not return a server to cold start, but consecutive slow answers must.

    Stragglers lower the limit if a good answer does not set ``slow_streak`` to 0.
    """
    table, now_us = build_warm()
    for factor in pattern:
        now_us = feed(table, 1, now_us, factor * FAST_US)
    assert table.is_cold(SERVER) is cold


def test_answers_without_boot_id_do_not_restart():
    table, now_us = build_warm()
    feed(table, 1, now_us, boot_id="")
    assert not table.is_cold(SERVER)


@pytest.mark.parametrize("factor", [5, 20, 100])
def test_server_that_stays_slower_gets_warm_again(factor):
    """A server that became slower for good, e.g. by a larger index, must get warm again.

    It stays cold for ever if ``_BATCH_WEIGHT`` is 0.
    """
    table, now_us = build_warm()
    now_us = feed(table, 20, now_us, factor * FAST_US)
    assert table.get_limit(SERVER, now_us) == 2
    feed(table, 400, now_us, factor * FAST_US)
    assert not table.is_cold(SERVER)


def test_state_of_a_server_is_bounded():
    """The memory for a server must not grow with the number of its answers.

    It grows if ``_update_median`` does not clear the batch.
    """
    table = build_table()
    feed(table, 10_000, 0)
    assert len(table._servers[SERVER].batch) < 15
    table.forget(SERVER)
    assert table.describe(SERVER, 0) is None
    assert table.export_notes(0) == ()


@pytest.mark.parametrize(("idle_us", "limit"), [(0, 25), (999_999, 25), (1_000_001, 2)])
def test_old_evidence_of_warmth_expires(idle_us, limit):
    """A server that may have restarted while this instance was idle must not get full load.

    It does if ``get_limit`` ignores ``_evidence_lifetime_us``.
    """
    table, now_us = build_warm()
    last_evidence_us = table._servers[SERVER].last_evidence_us
    assert table.get_limit(SERVER, max(now_us, last_evidence_us + idle_us)) == limit


@pytest.mark.parametrize(
    ("connections", "cold_limit", "limit"), [(10, 2, 10), (50, 2, 25), (25, 30, 25), (1, 1, 1)]
)
def test_new_settings_of_a_warm_server(connections, cold_limit, limit):
    """The limit must not exceed a newly configured number of connections.

    It does if ``configure`` keeps ``state.limit`` unchanged.
    """
    table, now_us = build_warm()
    table.configure(SERVER, connections, cold_limit, 20, 500_000)
    assert table.get_limit(SERVER, now_us) == limit


@pytest.mark.parametrize(
    "values",
    [(0, 1, 1, 1), (1, 0, 1, 1), (1, 1, -1, 1), (1, 1, 1, -1)],
    ids=["connections", "cold_limit", "ramp_answers", "ramp_interval_us"],
)
def test_settings_out_of_range_are_refused(values):
    with pytest.raises(ValueError, match="out of range"):
        WarmupTable().configure(SERVER, *values)


def test_instance_without_share_follows_the_others():
    """An instance whose share of the cold limit is 0 must learn the limit from others.

    It never sends if ``merge_notes`` ignores notes without more returns to cold start.
    """
    idle, (active, now_us) = build_table(), build_warm()
    idle.merge_notes(active.export_notes(now_us), now_us)
    assert idle.get_limit(SERVER, now_us) == 25
    active.record_refused(SERVER, now_us)
    old_notes = idle.export_notes(now_us)
    idle.merge_notes(active.export_notes(now_us), now_us)
    assert idle.get_limit(SERVER, now_us) == 2
    active.merge_notes(old_notes, now_us)  # a late note must not undo the return to cold start
    assert active.get_limit(SERVER, now_us) == 2


def test_settled_fleet_sends_few_notes():
    """Notes on unchanged servers must not take the place of notes on changed ones.

    They fill the gossip message if ``export_notes`` ignores ``unchanged``.
    """
    table = WarmupTable()
    for number in range(40):
        table.configure(f"10.0.0.{number}:80", 25, 2, 1, 0)
        table.record_answer(f"10.0.0.{number}:80", "a", FAST_US, 0)
    counts = [len(table.export_notes(0, 16, 4)) for _ in range(5)]
    assert counts == [16, 16, 12, 4, 4]


def test_notes_reach_every_server_in_turn():
    """A new instance must get notes on all servers, not only on those that change.

    It misses some if ``export_notes`` does not advance ``_export_position``.
    """
    table, fresh = WarmupTable(), WarmupTable()
    names = [f"10.0.0.{number}:80" for number in range(150)]
    for name in names:
        table.configure(name, 25, 2, 1, 0)
        fresh.configure(name, 25, 2, 1, 0)
        for now_us in range(10):
            table.record_answer(name, "a", FAST_US, now_us)
    rounds = [table.export_notes(10) for _ in range(6)]
    assert all(len(notes) <= 64 for notes in rounds)
    for notes in rounds[3:]:  # after the changes themselves were exported
        fresh.merge_notes(notes, 10)
    assert not any(fresh.is_cold(name) for name in names)
