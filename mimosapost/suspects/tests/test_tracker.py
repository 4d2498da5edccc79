import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.model.peer_messages import SuspectNote
from mimosapost.suspects.tracker import SuspectTracker, SuspicionState

CLEAR, REFUSED = SuspicionState.CLEAR, SuspicionState.REFUSED
SECOND = 1_000_000
# Fingerprints: of the poison request, of an innocent neighbour and of two other requests.
P, N, Q, R = 101, 102, 103, 104
NAMES = {"P": P, "N": N, "Q": Q, "R": R}


def run_steps(steps, tracker=None):
    """Run steps "time in s, call, requests" and return the tracker.

    - "crash" and "alone": a server crashes with these requests in flight; "alone" means that
      the request was sent alone because it was a suspect.
    - "failed": the coordinator hears that a server crashed under the request alone.
    - "answered": the first request is answered.
    - "note": a peer reports a request; its number of crashes and the remaining seconds of its
      refusal follow.
    - "->": P must be classified as the first state that follows and N as the second.
    """
    tracker = tracker or SuspectTracker()
    for number, step in enumerate(filter(None, steps.split("; "))):
        at, call, names, *numbers = step.split()
        now_us = round(float(at) * SECOND)
        if call == "->":
            classified = tuple(tracker.classify(key, now_us).value for key in (P, N))
            assert classified == (names, *numbers)
            continue
        keys = [NAMES[name] for name in names]
        if call in ("crash", "alone"):
            tracker.record_crash(f"10.0.0.{number}:80", keys, now_us, ran_alone=call == "alone")
        elif call == "answered":
            tracker.record_answered(keys[0], now_us)
        elif call == "failed":
            tracker.record_failed_trial(keys[0], now_us)
        else:
            assert call == "note"
            crashes, refused = map(int, numbers)
            tracker.merge((SuspectNote(keys[0], crashes, refused * SECOND),), now_us)
    return tracker


RACK_FAILURE = "".join(f"0.{n:02} crash N; " for n in range(30))

CASES = {
    "no crash": "0 -> clear clear",
    "one crash, both in flight": "0 crash PN; 1 -> suspect suspect",
    "one crash, only request in flight by chance": "0 crash P; 1 -> suspect clear",
    "second crash while alone": "0 crash PN; 5 crash P; 6 -> refused suspect",
    "second crash of a suspect sent alone, within the time of one incident": (
        "0 crash PN; 0.1 alone P; 0.2 -> refused suspect"
    ),
    "innocent neighbour ran alone and was answered": (
        "0 crash PN; 1 answered N; 5 crash P; 6 -> refused clear"
    ),
    "innocent neighbour of two unrelated crashes": (
        "0 crash PN; 5 crash QN; 6 -> suspect suspect"
    ),
    "two crashes with the same neighbours": (
        "0 crash PN; 5 crash PN; 9 crash PN; 10 -> suspect suspect"
    ),
    "three crashes that one request alone explains": (
        "0 crash PN; 5 crash PQ; 9 crash PR; 10 -> refused suspect"
    ),
    "answered between joint crashes": (
        "0 crash PN; 3 crash QN; 4 answered N; 9 crash RN; 10 -> suspect suspect"
    ),
    "rack fails: many servers at once, one request in flight": RACK_FAILURE
    + "2 -> clear suspect",
    "servers without this request in flight crash at the same time": (
        "0 crash PN; 4.5 crash QR; 5 alone N; 6 -> suspect suspect"
    ),
    "crash of a refused request does not make its neighbours suspects": (
        "0 crash P; 5 crash P; 6 crash PN; 7 -> refused clear"
    ),
    "refusal ends as suspect": "0 crash P; 5 crash P; 66 -> suspect clear",
    "an answer does not end a refusal": (
        "0 crash P; 5 crash P; 6 answered P; 7 -> refused clear"
    ),
    "suspicion expires": "0 crash PN; 121 -> clear clear",
    "a crash after the expiry is a first crash": (
        "0 crash P; 130 crash P; 131 -> suspect clear"
    ),
    "a peer's refusal is in force here": "0 note P 2 50; 49 -> refused clear",
    "a peer's suspect that crashes alone here": ("0 note P 1 0; 5 crash P; 6 -> refused clear"),
    "a peer reports a crash just before it is observed here": (
        "0 note N 1 0; 0.2 crash N; 1 -> clear suspect"
    ),
    "a peer's old note after the answer": (
        "0 crash PN; 1 answered N; 2 note N 1 0; 3 -> suspect clear"
    ),
    "a peer's refusal after the answer here": (
        "0 crash PN; 3 crash QN; 4 answered N; 5 note N 2 50; 6 -> suspect refused"
    ),
    "a peer's newer crash after the answer": (
        "0 crash PN; 1 answered N; 2 note N 2 0; 3 -> suspect suspect"
    ),
    "a peer's late note of an ended refusal": (
        "0 note P 2 50; 55 note P 2 4; 56 -> suspect clear"
    ),
    "the second refusal lasts twice as long": (
        "0 crash P; 5 crash P; 66 alone P; 185 -> refused clear; 187 -> suspect clear"
    ),
    "the third refusal lasts four times as long": (
        "0 crash P; 5 crash P; 66 alone P; 187 alone P; 426 -> refused clear; "
        "428 -> suspect clear"
    ),
    "an answer after a refusal ends the doubling": (
        "0 crash P; 5 crash P; 66 answered P; 70 crash P; 75 crash P; 134 -> refused clear; "
        "136 -> suspect clear"
    ),
    "a peer's refusal is doubled": "0 note P 2 60; 61 alone P; 180 -> refused clear",
    "a peer's longer refusal is in force here": (
        "0 note P 3 120; 119 -> refused clear; 121 -> suspect clear"
    ),
    "a peer's late note does not prolong a longer refusal": (
        "0 note P 3 120; 100 note P 3 120; 121 -> suspect clear"
    ),
    "a request stays suspect for as long as it was refused": (
        "0 crash P; 5 crash P; 66 alone P; 187 alone P; 660 -> suspect clear; "
        "670 -> clear clear"
    ),
    "the second crash alone while others crash is not excused": (
        "0 crash PN; 4.5 crash QR; 5 alone N; 5 failed N; 6 -> suspect suspect; "
        "9.5 crash QR; 10 alone N; 10 failed N; 11 -> suspect refused"
    ),
    "an answer clears the crash that was excused": (
        "0 crash PN; 4.5 crash QR; 5 alone N; 5 failed N; 6 answered N; 7 crash N; "
        "9.5 crash QR; 10 alone N; 10 failed N; 11 -> suspect suspect"
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_classification(name):
    """A request that crashes servers must be refused, and an innocent one must not.

    Fails when ``if alone and was_suspect:`` becomes ``if was_suspect:`` (neighbour of two
    unrelated crashes), when ``_MIN_JOINT_CRASHES`` becomes 2, when ``same_incident`` is always
    false (rack fails), when ``not self._has_other_crash`` is dropped, when ``is
    SuspicionState.REFUSED`` is compared with ``CLEAR``, when ``not (alone and ran_alone)``
    becomes ``True`` or when ``entry.cleared_crashes = entry.crashes`` in ``record_answered`` is
    dropped.
    """
    run_steps(CASES[name])


ANY_NOTES = st.lists(
    st.builds(
        SuspectNote, st.sampled_from([P, N]), st.integers(0, 4), st.integers(0, 70 * SECOND)
    ),
    max_size=6,
)


@given(ANY_NOTES, st.randoms(use_true_random=False))
@settings(derandomize=True, database=None, deadline=None)
def test_merge_is_commutative_and_idempotent(notes, random):
    """A crash must count once when several peers report it, or one peer several times.

    Fails when ``entry.crashes = note.crashes`` becomes ``entry.crashes += note.crashes``.
    """
    in_order, shuffled = SuspectTracker(), SuspectTracker()
    in_order.merge(notes, SECOND)
    repeated = notes * 2
    random.shuffle(repeated)
    for note in repeated:
        shuffled.merge((note,), SECOND)
    assert sorted(in_order.export(SECOND), key=str) == sorted(shuffled.export(SECOND), key=str)
    for key in (P, N):
        assert in_order.classify(key, SECOND) is shuffled.classify(key, SECOND)


def test_repeated_notes_do_not_prolong():
    """Notes that circulate between peers must not prolong a refusal or a suspicion.

    Fails when ``entry.refused_from_us + entry.refusal_us`` is dropped from the minimum.
    """
    tracker = SuspectTracker()
    for second in range(59):
        tracker.merge((SuspectNote(P, 2, 60 * SECOND), SuspectNote(N, 1, 0)), second * SECOND)
    assert tracker.classify(P, 59 * SECOND) is REFUSED
    for second in range(60, 200):
        tracker.merge((SuspectNote(P, 2, 5 * SECOND), SuspectNote(N, 1, 0)), second * SECOND)
        assert tracker.classify(P, second * SECOND) is not REFUSED
    assert tracker.classify(N, 199 * SECOND) is CLEAR


def test_two_peers_converge_and_expire_their_entries():
    """Two peers must not make an expired suspect a suspect again by each other's notes.

    Fails when ``entry.expires_us + self._suspect_us`` becomes ``entry.expires_us``.
    """
    trackers = [SuspectTracker(), SuspectTracker()]
    run_steps("0 crash PN; 5 crash P", trackers[0])
    for tick in range(12, 1_200):
        now_us = tick * SECOND // 2
        for sender, receiver in (trackers, trackers[::-1]):
            # Notes arrive 20 ms after their export.
            receiver.merge(sender.export(now_us), now_us + 20_000)
        if tick == 20:
            assert trackers[1].classify(P, now_us) is REFUSED
        if tick > 140:
            assert REFUSED not in [tracker.classify(P, now_us) for tracker in trackers]
    assert [tracker.export(600 * SECOND) for tracker in trackers] == [(), ()]
    assert [len(tracker._entries) for tracker in trackers] == [0, 0]


def test_memory_is_bounded_and_keeps_refusals():
    """A caller must not end the refusal of its request by filling the table.

    Fails when ``refused_until_us > now_us`` is dropped from the sort key.
    """
    tracker = run_steps("0 crash P; 5 crash P", SuspectTracker(limit=16))
    tracker.record_crash("10.0.0.9:80", range(1_000, 2_000), 6 * SECOND)
    assert len(tracker._entries) == 16
    assert tracker.classify(P, 7 * SECOND) is REFUSED
    assert len(tracker.export(7 * SECOND, limit=4)) == 4
