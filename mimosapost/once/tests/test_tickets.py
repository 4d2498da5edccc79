"""Contract of the ticket book: what a ticket that a caller brings is taken for."""

import pytest

from mimosapost.model.codes import ResultCode, RunState
from mimosapost.model.queries import Answer
from mimosapost.once.tickets import TicketBook, TicketState, parse_ticket

LIFETIME_US = 1_000
RAN = Answer(ResultCode.COMPLETE, RunState.RAN, result=["x" * 40], covered=("a",))


def create_book(incarnation=255, **options):
    return TicketBook("i0", incarnation, b"k" * 32, lifetime_us=LIFETIME_US, **options)


def change(text, index, value):
    parts = text.split("~")
    parts[index] = value
    return "~".join(parts)


@pytest.mark.parametrize(
    ("edit", "caller", "now_us", "expected"),
    [
        (lambda t: t, "desk", 0, TicketState.BEGAN),
        (lambda t: t, "desk", LIFETIME_US - 1, TicketState.BEGAN),
        (lambda t: t, "desk", LIFETIME_US, TicketState.EXPIRED),
        (lambda t: t, "other", 0, TicketState.INVALID),
        (lambda _: "", "desk", 0, TicketState.INVALID),
        (lambda t: t + "~", "desk", 0, TicketState.INVALID),
        (lambda t: t + "0" * 300, "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 0, "i1"), "desk", 0, TicketState.FOREIGN),
        (lambda t: change(t, 1, "fe"), "desk", 0, TicketState.FOREIGN),
        (lambda t: change(t, 1, "-1"), "desk", 0, TicketState.FOREIGN),
        (lambda t: change(t, 1, "zz"), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 2, "9"), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 2, "-1"), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 2, "\u0661"), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 2, "\u00b2"), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 3, "999999"), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 3, ""), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 4, ""), "desk", 0, TicketState.INVALID),
        (lambda t: change(t, 4, "\u00e9"), "desk", 0, TicketState.INVALID),
    ],
)
def test_first_use(edit, caller, now_us, expected):
    """Guards against a run on a forged, foreign, expired or malformed ticket."""
    book = create_book()
    text = book.issue("desk", 0)
    assert book.begin(edit(text), caller, 5, now_us).state is expected
    assert len(book) == (expected is TicketState.BEGAN)


@pytest.mark.parametrize(
    ("end", "fingerprint", "now_us", "expected"),
    [
        (lambda *_: None, 5, 0, TicketState.RUNNING),
        (lambda *_: None, 5, 10 * LIFETIME_US, TicketState.RUNNING),
        (lambda *_: None, 6, 0, TicketState.REUSED),
        (lambda book, number: book.finish(number, RAN), 5, 0, TicketState.FINISHED),
        (lambda book, number: book.finish(number, RAN), 5, LIFETIME_US, TicketState.FINISHED),
        (lambda book, number: book.finish(number, RAN), 6, 0, TicketState.REUSED),
        (lambda book, number: book.release(number), 5, 0, TicketState.BEGAN),
        (lambda book, number: book.release(number), 5, LIFETIME_US, TicketState.EXPIRED),
    ],
)
def test_second_use(end, fingerprint, now_us, expected):
    """Guards against a second run of a request, and of another request on its ticket."""
    book = create_book()
    text = book.issue("desk", 0)
    end(book, book.begin(text, "desk", 5, 0).number)
    decision = book.begin(text, "desk", fingerprint, now_us)
    assert decision.state is expected
    if expected is TicketState.FINISHED:
        assert decision.answer == RAN


def test_other_writings_of_a_number_are_the_same_ticket():
    """Guards against a second run through leading zeros."""
    book = create_book()
    text = book.issue("desk", 0)
    assert book.begin(text, "desk", 5, 0).state is TicketState.BEGAN
    for index, value in ((2, "0001"), (3, "000" + text.split("~")[3])):
        decision = book.begin(change(text, index, value), "desk", 5, 0)
        assert decision.state is TicketState.RUNNING, value


def test_full_book_refuses_and_recovers():
    """Guards against forgetting a used ticket to make room for another."""
    book = create_book(capacity=2, caller_share=1.0)
    texts = [book.issue("desk", now_us) for now_us in (0, 0, 500)]
    numbers = [book.begin(text, "desk", 5, 0).number for text in texts[:2]]
    assert all(numbers)
    assert book.begin(texts[2], "desk", 5, 0).state is TicketState.FULL
    for number in numbers:
        book.finish(number, RAN)
    assert book.begin(texts[2], "desk", 5, LIFETIME_US + 1).state is TicketState.BEGAN
    assert book.begin(texts[0], "desk", 5, LIFETIME_US + 1).state is TicketState.EXPIRED
    assert len(book) == 1


def test_dropped_result_still_tells_that_the_request_ran():
    """Guards against a second run after the stored result was dropped."""
    book = create_book(result_capacity_bytes=60)
    texts = [book.issue("desk", 0) for _ in range(2)]
    for text in texts:
        book.finish(book.begin(text, "desk", 5, 0).number, RAN)
    first, second = (book.begin(text, "desk", 5, 0) for text in texts)
    assert (first.state, first.answer.run) == (TicketState.FINISHED, RunState.RAN)
    assert first.answer.result is None
    assert first.answer.code is ResultCode.ANSWER_TOO_LARGE, "a result code without result"
    assert first.answer.detail
    assert second.answer == RAN


def test_answer_without_result_keeps_its_code():
    """Guards against a stored refusal that is changed although it takes no room."""
    book = create_book(result_capacity_bytes=1)
    text = book.issue("desk", 0)
    refusal = Answer(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)
    book.finish(book.begin(text, "desk", 5, 0).number, refusal)
    assert book.begin(text, "desk", 5, 0).answer == refusal


def test_unknown_numbers_are_ignored():
    """Guards against an error for a ticket that was dropped while its request ran."""
    book = create_book()
    book.finish(7, RAN)
    book.release(7)
    assert len(book) == 0
    assert parse_ticket("i0~ff~1~2~mac").incarnation == 255


@pytest.mark.parametrize(
    ("caller_share", "flooding", "others"), [(0.5, 5, 5), (0.8, 8, 2), (1.0, 10, 0)]
)
def test_one_caller_cannot_fill_the_book(caller_share, flooding, others):
    """Guards the other callers' writes while one sends far more than the book holds."""
    book = create_book(capacity=10, caller_share=caller_share)
    tickets = {name: [book.issue(name, 0) for _ in range(20)] for name in ("flood", "desk")}
    began = {
        name: sum(
            book.begin(text, name, number, 1).state is TicketState.BEGAN
            for number, text in enumerate(tickets[name])
        )
        for name in ("flood", "desk")
    }
    assert began == {"flood": flooding, "desk": others}


def test_room_of_a_caller_returns_with_its_tickets():
    book = create_book(capacity=4, caller_share=0.5)
    numbers = []
    for number in range(2):
        numbers.append(book.begin(book.issue("flood", 0), "flood", number, 1).number)
    assert book.issue("flood", 1) is None
    assert book.issue("desk", 1) is not None
    book.release(numbers[0])
    assert book.issue("flood", 1) is not None
    book.release(numbers[0])
    for number in numbers[1:]:
        book.finish(number, RAN)
    assert book.begin(book.issue("flood", 1), "flood", 9, 2).state is TicketState.BEGAN
    assert book.issue("flood", 2) is None
    assert book.issue("flood", LIFETIME_US + 3) is not None
