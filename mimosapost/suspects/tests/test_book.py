from itertools import permutations

import pytest

from mimosapost.model.messages import SuspectNote
from mimosapost.suspects.book import Standing, SuspectBook

CLEAR, SUSPECT, REFUSED = Standing.CLEAR, Standing.SUSPECT, Standing.REFUSED
SECOND = 1_000_000
P, N, Q, R = 101, 102, 103, 104


def run(steps, book=None):
    """Run (second, call, argument) steps on a book."""
    book = book or SuspectBook()
    for number, (at, call, argument) in enumerate(steps):
        now_us = int(at * SECOND)
        if call == "crash":
            book.record_crash(f"10.0.0.{number}:80", argument, now_us)
        elif call == "alone":
            book.record_crash(f"10.0.0.{number}:80", (argument,), now_us, ran_alone=True)
        elif call == "answered":
            book.record_answered(argument, now_us)
        else:
            book.merge((SuspectNote(*argument),), now_us)
    return book


# name: steps, time of the check in seconds, expected standing of P and of N
CASES = {
    "no crash": ([], 0, CLEAR, CLEAR),
    "one crash, both in flight": ([(0, "crash", (P, N))], 1, SUSPECT, SUSPECT),
    "one crash, alone by chance": ([(0, "crash", (P,))], 1, SUSPECT, CLEAR),
    "second crash while alone": (
        [(0, "crash", (P, N)), (5, "crash", (P,))],
        6,
        REFUSED,
        SUSPECT,
    ),
    "second crash in a run known to be alone, at once": (
        [(0, "crash", (P, N)), (0.1, "alone", P)],
        0.2,
        REFUSED,
        SUSPECT,
    ),
    "innocent neighbour ran alone and was answered": (
        [(0, "crash", (P, N)), (1, "answered", N), (5, "crash", (P,))],
        6,
        REFUSED,
        CLEAR,
    ),
    "innocent neighbour of two unrelated crashes": (
        [(0, "crash", (P, N)), (5, "crash", (Q, N))],
        6,
        SUSPECT,
        SUSPECT,
    ),
    "two crashes with the same neighbours": (
        [(0, "crash", (P, N)), (5, "crash", (P, N)), (9, "crash", (P, N))],
        10,
        SUSPECT,
        SUSPECT,
    ),
    "three crashes that one request alone explains": (
        [(0, "crash", (P, N)), (5, "crash", (P, Q)), (9, "crash", (P, R))],
        10,
        REFUSED,
        SUSPECT,
    ),
    "answered between joint crashes": (
        [
            (0, "crash", (P, N)),
            (3, "crash", (Q, N)),
            (4, "answered", N),
            (9, "crash", (R, N)),
        ],
        10,
        SUSPECT,
        SUSPECT,
    ),
    "rack fails: many servers at once, one request in flight": (
        [(0.01 * number, "crash", (N,)) for number in range(30)],
        2,
        CLEAR,
        SUSPECT,
    ),
    "servers without this request crash at the same time": (
        [(0, "crash", (P, N)), (4.5, "crash", (Q, R)), (5, "alone", N)],
        6,
        SUSPECT,
        SUSPECT,
    ),
    "crash of a refused request does not touch its neighbours": (
        [(0, "crash", (P,)), (5, "crash", (P,)), (6, "crash", (P, N))],
        7,
        REFUSED,
        CLEAR,
    ),
    "refusal ends as suspect": (
        [(0, "crash", (P,)), (5, "crash", (P,))],
        66,
        SUSPECT,
        CLEAR,
    ),
    "an answer does not end a refusal": (
        [(0, "crash", (P,)), (5, "crash", (P,)), (6, "answered", P)],
        7,
        REFUSED,
        CLEAR,
    ),
    "suspicion expires": ([(0, "crash", (P, N))], 121, CLEAR, CLEAR),
    "a crash after the expiry is a first crash": (
        [(0, "crash", (P,)), (130, "crash", (P,))],
        131,
        SUSPECT,
        CLEAR,
    ),
    "a peer's refusal is in force here": (
        [(0, "note", (P, 2, 50 * SECOND))],
        49,
        REFUSED,
        CLEAR,
    ),
    "a peer's suspect that crashes alone here": (
        [(0, "note", (P, 1, 0)), (5, "crash", (P,))],
        6,
        REFUSED,
        CLEAR,
    ),
    "a peer tells of the crash that is seen here just after": (
        [(0, "note", (N, 1, 0)), (0.2, "crash", (N,))],
        1,
        CLEAR,
        SUSPECT,
    ),
    "a peer's old note after the answer": (
        [(0, "crash", (P, N)), (1, "answered", N), (2, "note", (N, 1, 0))],
        3,
        SUSPECT,
        CLEAR,
    ),
    "a peer's newer crash after the answer": (
        [(0, "crash", (P, N)), (1, "answered", N), (2, "note", (N, 2, 0))],
        3,
        SUSPECT,
        SUSPECT,
    ),
    "a peer's late note of an ended refusal": (
        [(0, "note", (P, 2, 50 * SECOND)), (55, "note", (P, 2, 4 * SECOND))],
        56,
        SUSPECT,
        CLEAR,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_case(name):
    """Guards against refusing an innocent request and against not refusing a guilty one.

    Fails when ``if alone and was_suspect:`` becomes ``if was_suspect:`` (neighbour of two
    unrelated crashes), when ``_JOINT_CRASHES`` becomes 2, when ``same_incident`` is always
    false (rack fails) or when ``not self._has_other_crash`` is dropped.
    """
    steps, at, of_p, of_i = CASES[name]
    book = run(steps)
    assert (book.classify(P, at * SECOND), book.classify(N, at * SECOND)) == (of_p, of_i)


NOTES = (
    SuspectNote(P, 1, 0),
    SuspectNote(P, 2, 30 * SECOND),
    SuspectNote(P, 3, 10 * SECOND),
    SuspectNote(N, 1, 0),
)


def test_merge_is_commutative_and_idempotent():
    """Guards against counts that grow when one crash is told several times.

    Fails when ``entry.crashes = note.crashes`` becomes ``entry.crashes += note.crashes``.
    """
    results = set()
    for order in permutations(NOTES):
        book = SuspectBook()
        for note in order:
            book.merge((note,), 0)
        book.merge(order + order, 0)
        results.add(book.export(0))
    assert results == {(SuspectNote(P, 3, 30 * SECOND), SuspectNote(N, 1, 0))}


def test_repeated_notes_do_not_prolong():
    """Guards against refusals and suspicion that circle between peers for good.

    Fails when ``entry.refused_from_us + self._refuse_us`` is dropped from the minimum.
    """
    book = SuspectBook()
    for second in range(59):
        book.merge((SuspectNote(P, 2, 60 * SECOND), SuspectNote(N, 1, 0)), second * SECOND)
    assert book.classify(P, 59 * SECOND) is REFUSED
    for second in range(60, 200):
        book.merge((SuspectNote(P, 2, 5 * SECOND), SuspectNote(N, 1, 0)), second * SECOND)
        assert book.classify(P, second * SECOND) is not REFUSED
    assert book.classify(N, 199 * SECOND) is CLEAR


def test_two_peers_converge_and_forget():
    """Guards against two peers that bring an expired suspect back to each other.

    Fails when ``entry.expires_us + self._suspect_us`` becomes ``entry.expires_us``.
    """
    books = [SuspectBook(), SuspectBook()]
    run([(0, "crash", (P, N)), (5, "crash", (P,))], books[0])
    for tick in range(12, 1_200):
        now_us = tick * SECOND // 2
        for sender, receiver in (books, books[::-1]):
            # Notes arrive 20 ms after their export.
            receiver.merge(sender.export(now_us), now_us + 20_000)
        if tick == 20:
            assert books[1].classify(P, now_us) is REFUSED
        if tick > 140:
            assert REFUSED not in [book.classify(P, now_us) for book in books]
    assert [book.export(600 * SECOND) for book in books] == [(), ()]
    assert [len(book._entries) for book in books] == [0, 0]


def test_memory_is_bounded_and_keeps_refusals():
    """Guards against a caller that fills the table to free its refused request.

    Fails when ``refused_until_us > now_us`` is dropped from the sort key.
    """
    book = run([(0, "crash", (P,)), (5, "crash", (P,))], SuspectBook(limit=16))
    book.record_crash("10.0.0.9:80", range(1_000, 2_000), 6 * SECOND)
    assert len(book._entries) == 16
    assert book.classify(P, 7 * SECOND) is REFUSED
    assert len(book.export(7 * SECOND, limit=4)) == 4
