"""Checks of tickets on first and repeated use, and the limits of the ticket table."""

import pytest

from mimosapost.model.codes import ResultCode, RunState
from mimosapost.model.queries import Answer
from mimosapost.tickets.store import TicketState, TicketStore, parse_ticket

LIFETIME_US = 1_000
RAN_ANSWER = Answer(ResultCode.COMPLETE, RunState.RAN, result=["x" * 40], covered=("a",))


def create_store(incarnation=255, **options):
    return TicketStore("i0", incarnation, b"k" * 32, lifetime_us=LIFETIME_US, **options)


def replace_field(text, index, value):
    parts = text.split("~")
    parts[index] = value
    return "~".join(parts)


@pytest.mark.parametrize(
    ("edit_ticket", "caller", "now_us", "expected"),
    [
        pytest.param(lambda t: t, "desk", 0, TicketState.BEGAN, id="valid"),
        pytest.param(lambda t: t, "desk", LIFETIME_US - 1, TicketState.BEGAN, id="last-moment"),
        pytest.param(lambda t: t, "desk", LIFETIME_US, TicketState.EXPIRED, id="expired"),
        pytest.param(lambda t: t, "other", 0, TicketState.INVALID, id="other-caller"),
        pytest.param(lambda _: "", "desk", 0, TicketState.INVALID, id="empty"),
        pytest.param(lambda t: t + "~", "desk", 0, TicketState.INVALID, id="extra-separator"),
        pytest.param(lambda t: t + "0" * 300, "desk", 0, TicketState.INVALID, id="too-long"),
        pytest.param(
            lambda t: replace_field(t, 0, "i1"),
            "desk",
            0,
            TicketState.FOREIGN,
            id="other-issuer",
        ),
        pytest.param(
            lambda t: replace_field(t, 1, "fe"),
            "desk",
            0,
            TicketState.FOREIGN,
            id="other-incarnation",
        ),
        pytest.param(
            lambda t: replace_field(t, 1, "-1"),
            "desk",
            0,
            TicketState.FOREIGN,
            id="negative-incarnation",
        ),
        pytest.param(
            lambda t: replace_field(t, 1, "zz"),
            "desk",
            0,
            TicketState.INVALID,
            id="incarnation-not-hexadecimal",
        ),
        pytest.param(
            lambda t: replace_field(t, 2, "9"),
            "desk",
            0,
            TicketState.INVALID,
            id="other-number",
        ),
        pytest.param(
            lambda t: replace_field(t, 2, "-1"),
            "desk",
            0,
            TicketState.INVALID,
            id="negative-number",
        ),
        pytest.param(
            lambda t: replace_field(t, 2, "\u0661"),
            "desk",
            0,
            TicketState.INVALID,
            id="arabic-indic-digit",
        ),
        pytest.param(
            lambda t: replace_field(t, 2, "\u00b2"),
            "desk",
            0,
            TicketState.INVALID,
            id="superscript-digit",
        ),
        pytest.param(
            lambda t: replace_field(t, 3, "999999"),
            "desk",
            0,
            TicketState.INVALID,
            id="other-expiry",
        ),
        pytest.param(
            lambda t: replace_field(t, 3, ""), "desk", 0, TicketState.INVALID, id="no-expiry"
        ),
        pytest.param(
            lambda t: replace_field(t, 4, ""), "desk", 0, TicketState.INVALID, id="no-mac"
        ),
        pytest.param(
            lambda t: replace_field(t, 4, "\u00e9"),
            "desk",
            0,
            TicketState.INVALID,
            id="non-ascii-mac",
        ),
    ],
)
def test_first_use(edit_ticket, caller, now_us, expected):
    """A request must not run with a forged, foreign, expired or malformed ticket."""
    store = create_store()
    text = store.issue("desk", 0)
    assert store.begin(edit_ticket(text), caller, 5, now_us).state is expected
    assert len(store) == (expected is TicketState.BEGAN)


@pytest.mark.parametrize(
    ("end_request", "fingerprint", "now_us", "expected"),
    [
        pytest.param(lambda *_: None, 5, 0, TicketState.RUNNING, id="running"),
        pytest.param(
            lambda *_: None, 5, 10 * LIFETIME_US, TicketState.RUNNING, id="running-after-expiry"
        ),
        pytest.param(lambda *_: None, 6, 0, TicketState.REUSED, id="running-other-request"),
        pytest.param(
            lambda store, number: store.finish(number, RAN_ANSWER),
            5,
            0,
            TicketState.FINISHED,
            id="finished",
        ),
        pytest.param(
            lambda store, number: store.finish(number, RAN_ANSWER),
            5,
            LIFETIME_US,
            TicketState.FINISHED,
            id="finished-after-expiry",
        ),
        pytest.param(
            lambda store, number: store.finish(number, RAN_ANSWER),
            6,
            0,
            TicketState.REUSED,
            id="finished-other-request",
        ),
        pytest.param(
            lambda store, number: store.release(number), 5, 0, TicketState.BEGAN, id="released"
        ),
        pytest.param(
            lambda store, number: store.release(number),
            5,
            LIFETIME_US,
            TicketState.EXPIRED,
            id="released-and-expired",
        ),
    ],
)
def test_second_use(end_request, fingerprint, now_us, expected):
    """A request must not run twice, nor another request with the ticket of the first."""
    store = create_store()
    text = store.issue("desk", 0)
    end_request(store, store.begin(text, "desk", 5, 0).number)
    decision = store.begin(text, "desk", fingerprint, now_us)
    assert decision.state is expected
    if expected is TicketState.FINISHED:
        assert decision.answer == RAN_ANSWER


def test_leading_zeros_do_not_make_another_ticket():
    """A request must not run a second time because its ticket has leading zeros."""
    store = create_store()
    text = store.issue("desk", 0)
    assert store.begin(text, "desk", 5, 0).state is TicketState.BEGAN
    for index, value in ((2, "0001"), (3, "000" + text.split("~")[3])):
        decision = store.begin(replace_field(text, index, value), "desk", 5, 0)
        assert decision.state is TicketState.RUNNING, value


def test_full_store_refuses_and_recovers():
    """A used ticket must not be dropped for another one, or its request could run twice."""
    store = create_store(capacity=2, caller_share=1.0)
    texts = [store.issue("desk", now_us) for now_us in (0, 0, 500)]
    numbers = [store.begin(text, "desk", 5, 0).number for text in texts[:2]]
    assert all(numbers)
    assert store.begin(texts[2], "desk", 5, 0).state is TicketState.FULL
    for number in numbers:
        store.finish(number, RAN_ANSWER)
    assert store.begin(texts[2], "desk", 5, LIFETIME_US + 1).state is TicketState.BEGAN
    assert store.begin(texts[0], "desk", 5, LIFETIME_US + 1).state is TicketState.EXPIRED
    assert len(store) == 1


def test_answer_without_its_dropped_result_states_that_the_request_ran():
    """A request must not run a second time after its stored result was dropped."""
    store = create_store(result_capacity_bytes=60)
    texts = [store.issue("desk", 0) for _ in range(2)]
    for text in texts:
        store.finish(store.begin(text, "desk", 5, 0).number, RAN_ANSWER)
    first, second = (store.begin(text, "desk", 5, 0) for text in texts)
    assert (first.state, first.answer.run) == (TicketState.FINISHED, RunState.RAN)
    assert first.answer.result is None
    assert first.answer.code is ResultCode.ANSWER_TOO_LARGE, (
        "the code claims a result that is no longer stored"
    )
    assert first.answer.detail
    assert second.answer == RAN_ANSWER


def test_answer_without_result_keeps_its_code():
    """A stored answer without a result must not change, because dropping it frees nothing."""
    store = create_store(result_capacity_bytes=1)
    text = store.issue("desk", 0)
    refusal = Answer(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
    store.finish(store.begin(text, "desk", 5, 0).number, refusal)
    assert store.begin(text, "desk", 5, 0).answer == refusal


def test_unknown_numbers_are_ignored():
    """The end of a request whose ticket is no longer stored must not raise an error."""
    store = create_store()
    store.finish(7, RAN_ANSWER)
    store.release(7)
    assert len(store) == 0
    assert parse_ticket("i0~ff~1~2~mac").incarnation == 255


@pytest.mark.parametrize(
    ("caller_share", "flooding", "others"), [(0.5, 5, 5), (0.8, 8, 2), (1.0, 10, 0)]
)
def test_one_caller_cannot_fill_the_store(caller_share, flooding, others):
    """A caller that uses more tickets than the table stores must leave some to others."""
    store = create_store(capacity=10, caller_share=caller_share)
    tickets = {name: [store.issue(name, 0) for _ in range(20)] for name in ("flood", "desk")}
    began = {
        name: sum(
            store.begin(text, name, number, 1).state is TicketState.BEGAN
            for number, text in enumerate(tickets[name])
        )
        for name in ("flood", "desk")
    }
    assert began == {"flood": flooding, "desk": others}


def test_released_and_expired_tickets_free_the_share_of_their_caller():
    store = create_store(capacity=4, caller_share=0.5)
    numbers = []
    for number in range(2):
        numbers.append(store.begin(store.issue("flood", 0), "flood", number, 1).number)
    assert store.issue("flood", 1) is None
    assert store.issue("desk", 1) is not None
    store.release(numbers[0])
    assert store.issue("flood", 1) is not None
    store.release(numbers[0])
    for number in numbers[1:]:
        store.finish(number, RAN_ANSWER)
    assert store.begin(store.issue("flood", 1), "flood", 9, 2).state is TicketState.BEGAN
    assert store.issue("flood", 2) is None
    assert store.issue("flood", LIFETIME_US + 3) is not None
