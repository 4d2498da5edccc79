"""Tests of fairness between classes and callers, of deadlines and of the queue's bounds."""

from collections import Counter
from random import Random

import pytest

from mimosapost.limits.admission_queue import AdmissionQueue, WaitingQuery
from mimosapost.model.codes import Priority

URGENT, NORMAL, BACKGROUND = Priority
FAR_US = 10**12


def build_entry(query_id, priority=NORMAL, caller="a", cost=1, deadline_us=FAR_US):
    return WaitingQuery(query_id, priority, caller, cost, deadline_us, 0)


def accept(entry):
    return True


def fill(queue, batches):
    """Offer ``count`` queries for each (priority, caller, cost, count)."""
    query_id = 0
    for priority, caller, cost, count in batches:
        for _ in range(count):
            query_id += 1
            assert queue.offer(build_entry(query_id, priority, caller, cost), 0)


@pytest.mark.parametrize(
    "costs",
    [(1, 1, 1), (180, 180, 180), (4, 180, 9), (180, 2, 180)],
    ids=["equal-small", "equal-large", "large-normal", "small-normal"],
)
def test_classes_share_by_weight(costs):
    """No class may starve, and the weights must apply to sends instead of queries.

    A class with expensive queries gets more than its part if ``pop`` does not subtract their
    cost from ``chosen.deficit``.
    """
    queue = AdmissionQueue(10_000, caller_share=1.0)
    fill(queue, [(p, "a", c, 2500) for p, c in zip(Priority, costs, strict=True)])
    served = Counter()
    total = 12 * 60 * max(costs)
    while sum(served.values()) < total and min(g.size for g in queue._classes.values()):
        entry = queue.pop(0, accept)
        served[entry.priority] += entry.cost
    for priority, weight in zip(Priority, (8, 3, 1), strict=True):
        expected = sum(served.values()) * weight / 12
        assert abs(served[priority] - expected) <= 2 * max(costs) + 12


def test_lower_classes_get_all_when_alone():
    """The weights must not leave capacity unused while only one class has queries.

    This happens if ``candidates`` in ``pop`` contains only entries that need no further round.
    """
    queue = AdmissionQueue(100)
    fill(queue, [(BACKGROUND, "a", 180, 20)])
    assert [queue.pop(0, accept).query_id for _ in range(20)] == list(range(1, 21))
    assert queue.pop(0, accept) is None


def test_class_is_not_charged_for_time_alone():
    """A class must not be delayed later because it was served alone before.

    Its deficit becomes ever more negative if ``pop`` does not add the skipped rounds to
    ``class_queue.deficit``.
    """
    queue = AdmissionQueue(4000, caller_share=1.0)
    fill(queue, [(URGENT, "a", 4, 2000)])
    for _ in range(1000):
        queue.pop(0, accept)
    for number in range(500):
        queue.offer(build_entry(5000 + number, BACKGROUND, cost=4), 0)
    served = Counter(queue.pop(0, accept).priority for _ in range(180))
    assert 158 <= served[URGENT] <= 162  # weight 8 of 9 gives 160 of 180


@pytest.mark.parametrize(
    "costs", [(1, 1), (1, 10), (7, 3)], ids=["equal", "second-larger", "first-larger"]
)
def test_callers_of_a_class_share_equally(costs):
    """A caller must not get a larger part by sending larger or more queries.

    This happens if ``dequeue`` adds 1 instead of the cost to the caller's tag.
    """
    queue = AdmissionQueue(10_000)
    fill(queue, [(NORMAL, c, cost, 1000) for c, cost in zip("ab", costs, strict=True)])
    served = Counter()
    while sum(served.values()) < 900:
        entry = queue.pop(0, accept)
        served[entry.caller] += entry.cost
    assert abs(served["a"] - served["b"]) <= sum(costs)


def test_caller_that_offers_one_at_a_time_gains_nothing():
    """A caller that sends its next query after each start must not always be served first.

    Its queue is empty each time, so that it starts over with a low tag if ``add`` does not
    read ``idle_tags``.
    """
    queue = AdmissionQueue(1000)
    fill(queue, [(NORMAL, "many", 1, 100)])
    queue.offer(build_entry(1000, caller="single"), 0)
    served = Counter()
    for number in range(1001, 1051):
        entry = queue.pop(0, accept)
        served[entry.caller] += 1
        if entry.caller == "single":
            queue.offer(build_entry(number, caller="single"), 0)
    assert abs(served["single"] - served["many"]) <= 1


def test_blocked_entries_do_not_hold_back_others():
    """An entry that cannot start must not block entries of its caller, others or other classes.

    The blocked entries must also stay queued, which fails if ``find_startable`` does not put
    blocked callers back.
    """
    queue = AdmissionQueue(100)
    fill(queue, [(URGENT, "a", 1, 3), (NORMAL, "b", 1, 3), (NORMAL, "c", 1, 1)])
    startable = {2, 7}
    popped = [queue.pop(0, lambda entry: entry.query_id in startable) for _ in range(3)]
    assert [entry and entry.query_id for entry in popped] == [2, 7, None]
    assert [queue.pop(0, accept).query_id for _ in range(5)] == [1, 3, 4, 5, 6]


@pytest.mark.parametrize("flood", list(Priority))
def test_full_queue_keeps_room_for_other_classes_and_callers(flood):
    """A flood of one class or caller must leave room in the queue for the others.

    Other classes find the queue full if ``_reserved_per_class`` is 0, other callers if
    ``_caller_limit`` is ``limit``.
    """
    queue = AdmissionQueue(80)
    accepted = Counter()
    for number in range(400):
        caller = "abcd"[number // 100]
        accepted[caller] += queue.offer(build_entry(number, flood, caller), 0)
    assert accepted["a"] == 40
    assert sum(accepted.values()) == 60
    others = [priority for priority in Priority if priority != flood]
    for number, priority in enumerate(others * 20, 1000):
        queue.offer(build_entry(number, priority, f"x{number % 3}"), 0)
    assert [queue._classes[priority].size for priority in others] == [10, 10]
    assert len(queue) == 80


def test_expired_entries_never_start():
    """A query that cannot finish before its deadline must expire instead of start.

    Otherwise requests are sent for a caller that has stopped waiting, e.g. if ``_expire``
    compares deadlines with ``now_us`` instead of ``due_us``.
    """
    queue = AdmissionQueue(10)
    queue.set_run_time(50)
    assert not queue.offer(build_entry(1, deadline_us=150), 100)
    assert queue.offer(build_entry(2, deadline_us=200), 100)
    assert queue.offer(build_entry(3, deadline_us=151), 100)
    assert queue.pop(150, accept) is None
    assert [entry.query_id for entry in queue.drop_expired(150)] == [3, 2]
    assert queue.drop_expired(150) == []


def test_offer_is_refused_when_the_wait_exceeds_the_deadline():
    """A query that would expire in the queue must be refused at once.

    It waits for nothing if ``offer`` does not add ``wait_us`` to the expected time.
    """
    queue = AdmissionQueue(1000, caller_share=1.0)
    fill(queue, [(NORMAL, "a", 10, 200)])
    now_us = 0
    for _ in range(100):  # one start every 1000 us
        now_us += 1000
        queue.pop(now_us, accept)
    wait_us = queue.estimate_wait_us(NORMAL, now_us)
    assert 95_000 <= wait_us <= 110_000
    assert queue.estimate_wait_us(BACKGROUND, now_us) == 0
    assert not queue.offer(build_entry(5000, deadline_us=now_us + wait_us), now_us)
    assert queue.offer(build_entry(5001, deadline_us=now_us + wait_us + 1), now_us)
    # The estimate must rise if no query starts for 10 s.
    assert queue.estimate_wait_us(NORMAL, now_us + 10_000_000) > 10_000_000


@pytest.mark.parametrize("seed", range(6))
def test_random_operations_keep_the_queue_consistent(seed):
    """Random operations must not lose or duplicate entries or exceed the queue's bounds.

    Entries remain in their class queue if ``remove`` does not call ``discard``.
    """
    rng = Random(seed)
    queue = AdmissionQueue(200)
    waiting, now_us = {}, 0
    for number in range(6000):
        now_us += rng.randrange(20)
        action = rng.random()
        if action < 0.5:
            entry = WaitingQuery(
                number,
                rng.choice(list(Priority)),
                rng.choice("abcdefgh"),
                rng.randrange(1, 9),
                now_us + rng.randrange(1, 8000),
                now_us,
            )
            if queue.offer(entry, now_us):
                waiting[number] = entry
        elif action < 0.75:
            allowed = set(rng.sample("abcdefgh", 5))
            entry = queue.pop(now_us, lambda item, allowed=allowed: item.caller in allowed)
            if entry is not None:
                assert waiting.pop(entry.query_id) == entry
                assert entry.caller in allowed
                assert entry.deadline_us > now_us
        elif action < 0.9 and waiting:
            query_id = rng.choice(list(waiting))
            expired = waiting[query_id].deadline_us <= now_us
            if queue.remove(query_id):
                del waiting[query_id]
            else:
                assert expired
        else:
            for entry in queue.drop_expired(now_us):
                assert waiting.pop(entry.query_id).deadline_us <= now_us
        assert len(queue) <= 200
        for class_queue in queue._classes.values():
            assert len(class_queue.heap) <= 2 * len(class_queue.tags) + 64
            assert class_queue.size == sum(
                len(entries) for entries in class_queue.callers.values()
            )
    queue.drop_expired(10**9)
    assert len(queue) == 0


def test_pop_examines_few_entries_of_a_long_queue():
    """The time of a pop must not grow with the length of the queue.

    If no entry can start, ``pop`` examines all of them with ``_MAX_SCANNED_PER_CALLER`` at
    10,000.
    """
    queue = AdmissionQueue(10_000, caller_share=1.0)
    fill(queue, [(URGENT, "a", 1, 2000), (NORMAL, "b", 1, 3000), (BACKGROUND, "c", 1, 1000)])
    calls = []
    for _ in range(500):
        assert queue.pop(0, lambda entry: calls.append(entry) or True)
    assert len(calls) <= 3 * 500
    calls.clear()
    assert queue.pop(0, lambda entry: calls.append(entry)) is None
    assert len(calls) == 3 * 8


def test_offer_rejects_invalid_queries():
    queue = AdmissionQueue(10)
    assert queue.offer(build_entry(1), 0)
    for entry in (build_entry(1), build_entry(2, cost=0)):
        with pytest.raises(ValueError, match="query"):
            queue.offer(entry, 0)
