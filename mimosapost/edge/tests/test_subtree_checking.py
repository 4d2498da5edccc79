"""Tests of the check of large settings subtrees in a thread."""

import threading

import pytest

from mimosapost.edge.subtree_checking import SubtreeChecker
from mimosapost.model.events import ConfigRead, PeerMessageArrived, Ticked
from mimosapost.model.peer_messages import SubtreeReply, SubtreeRequest

LARGE = b" " * 20_000


@pytest.mark.parametrize(
    ("event", "found"),
    [
        pytest.param(ConfigRead(0, "desk", 1, LARGE), True, id="large_config"),
        pytest.param(ConfigRead(0, "desk", 1, b"{}"), False, id="small_config"),
        pytest.param(
            PeerMessageArrived(0, "p", SubtreeReply("desk", 1, LARGE)),
            True,
            id="large_reply_of_peer",
        ),
        pytest.param(
            PeerMessageArrived(0, "p", SubtreeRequest(("desk",))), False, id="request_of_peer"
        ),
        pytest.param(Ticked(0), False, id="other_event"),
    ],
)
def test_only_large_texts_are_checked_in_a_thread(event, found):
    """A check of a large text in the event loop would block all other work."""
    assert (SubtreeChecker(lambda *_: 1).find_large_subtree(event) is not None) is found


async def test_result_of_the_thread_is_used_once():
    """A cached result must replace the check in the event loop, once.

    After that the result leaves the cache, and an unknown text is checked at once.
    """
    threads = []

    def check(team, text):
        threads.append(threading.current_thread())
        return (team, len(text))

    checker = SubtreeChecker(check)
    await checker.check_in_thread("desk", LARGE)
    await checker.check_in_thread("desk", LARGE)
    assert checker.check("desk", LARGE) == ("desk", 20_000)
    assert len(threads) == 1
    assert threads[0] is not threading.current_thread()
    assert checker.check("other", LARGE) == ("other", 20_000)
    assert threads[1] is threading.current_thread()


async def test_cached_results_are_bounded():
    """Results of texts whose event never arrives must not accumulate in memory."""
    checker = SubtreeChecker(lambda team, _: team)
    for number in range(20):
        await checker.check_in_thread(f"t{number}", LARGE)
    assert len(checker._results) == 8
