"""Check of large subtrees outside the event loop."""

import threading

import pytest

from mimosapost.edge.checking import SubtreeChecker
from mimosapost.model.events import ConfigRead, PeerMessageArrived, Ticked
from mimosapost.model.peer_messages import SubtreeReply, SubtreeRequest

LARGE = b" " * 20_000


@pytest.mark.parametrize(
    ("event", "found"),
    [
        (ConfigRead(0, "desk", 1, LARGE), True),
        (ConfigRead(0, "desk", 1, b"{}"), False),
        (PeerMessageArrived(0, "p", SubtreeReply("desk", 1, LARGE)), True),
        (PeerMessageArrived(0, "p", SubtreeRequest(("desk",))), False),
        (Ticked(0), False),
    ],
)
def test_only_large_texts_are_checked_in_a_thread(event, found):
    """Guards against a large text that stops the event loop while it is checked."""
    assert (SubtreeChecker(lambda *_: 1).find_text(event) is not None) is found


async def test_result_of_the_thread_is_used_once():
    """Guards against a second check in the event loop, and against results that stay."""
    threads = []

    def check(team, text):
        threads.append(threading.current_thread())
        return (team, len(text))

    checker = SubtreeChecker(check)
    await checker.prepare("desk", LARGE)
    await checker.prepare("desk", LARGE)
    assert checker.check("desk", LARGE) == ("desk", 20_000)
    assert len(threads) == 1
    assert threads[0] is not threading.current_thread()
    assert checker.check("other", LARGE) == ("other", 20_000)
    assert threads[1] is threading.current_thread()


async def test_remembered_results_are_bounded():
    """Guards against memory that grows with texts whose event never comes."""
    checker = SubtreeChecker(lambda team, _: team)
    for number in range(20):
        await checker.prepare(f"t{number}", LARGE)
    assert len(checker._results) == 8
