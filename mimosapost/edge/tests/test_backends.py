"""Contract tests of the backend interface."""

import pytest

from mimosapost.edge.tests.conftest import create_send
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import SendAnswered, SendFailed, SendRejected
from mimosapost.standins.backends import Backends, compute_items
from mimosapost.standins.behaviour import Behaviour


@pytest.mark.parametrize("body", [{"kind": "search", "count": 3}, {"kind": "sum"}])
async def test_answer_is_the_computed_result(client, events, body):
    """Guards against an answer that differs from what the server computed."""
    async with Backends({"s": Behaviour()}) as backends:
        client.execute(create_send(1, backends.addresses["s"], body=body))
        (event,) = await events.wait_for(1)
    assert isinstance(event, SendAnswered)
    expected = compute_items("desk", "a", body, 7)
    if body["kind"] == "sum":
        expected = expected[0]["score"]
    assert event.answer.items == expected


MALFORMED = (FailureKind.MALFORMED, RunState.UNKNOWN)
RESET = (FailureKind.RESET, RunState.UNKNOWN)


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        ({"next_faults": ["crossed_id"]}, MALFORMED),
        ({"next_faults": ["wrong_version"]}, MALFORMED),
        ({"next_faults": ["wrong_leaf"]}, MALFORMED),
        ({"next_faults": ["malformed"]}, MALFORMED),
        ({"next_faults": ["doubled_body"]}, MALFORMED),
        ({"next_faults": ["crossed_409"]}, MALFORMED),
        ({"next_faults": ["crossed_503"]}, MALFORMED),
        ({"next_faults": ["oversized"]}, (FailureKind.TOO_LARGE, RunState.UNKNOWN)),
        ({"next_faults": ["truncated"]}, RESET),
        ({"next_faults": ["half_closed"]}, RESET),
        ({"next_faults": ["close_unanswered"]}, RESET),
        ({"crash_bodies": [{"kind": "search", "term": "tutu"}]}, RESET),
        ({"draining": True}, (FailureKind.SHED, RunState.NOT_RUN)),
        ({"shedding": True}, (FailureKind.SHED, RunState.NOT_RUN)),
    ],
)
async def test_failures(client, events, behaviour, expected):
    """Guards against a wrong kind or run state, and against delivering a wrong answer."""
    async with Backends({"s": Behaviour(**behaviour)}) as backends:
        client.execute(create_send(1, backends.addresses["s"]))
        (event,) = await events.wait_for(1)
    assert isinstance(event, SendFailed), event
    assert (event.kind, event.run) == expected


async def test_held_versions(client, events):
    """Guards against a lost version number when a server no longer holds the snapshot."""
    async with Backends({"s": Behaviour(held=[(2, 9)])}) as backends:
        client.execute(create_send(1, backends.addresses["s"]))
        (event,) = await events.wait_for(1)
    assert isinstance(event, SendRejected)
    assert (event.map_version, event.index_version) == (2, 9)
