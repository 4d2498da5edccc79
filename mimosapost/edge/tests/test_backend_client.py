"""Contract tests of ``BackendClient`` against the stand-in backend server."""

import pytest

from mimosapost.edge.tests.conftest import create_send
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.events import SendAnswered, SendFailed, SendRejected
from mimosapost.standins.backends import Backends, compute_items
from mimosapost.standins.behaviour import Behaviour


@pytest.mark.parametrize(
    "body",
    [
        pytest.param({"kind": "search", "count": 3}, id="search"),
        pytest.param({"kind": "sum"}, id="sum"),
    ],
)
async def test_answer_is_the_computed_result(client, events, body):
    """The client must deliver the result unchanged, whether as items or as a value."""
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
        pytest.param({"next_faults": ["crossed_id"]}, MALFORMED, id="other_request_id"),
        pytest.param({"next_faults": ["wrong_version"]}, MALFORMED, id="other_version"),
        pytest.param({"next_faults": ["wrong_leaf"]}, MALFORMED, id="other_leaf"),
        pytest.param({"next_faults": ["malformed"]}, MALFORMED, id="invalid_json"),
        pytest.param({"next_faults": ["doubled_body"]}, MALFORMED, id="two_bodies"),
        pytest.param(
            {"next_faults": ["crossed_409"]}, MALFORMED, id="conflict_for_other_request"
        ),
        pytest.param({"next_faults": ["crossed_503"]}, MALFORMED, id="shed_for_other_request"),
        pytest.param(
            {"next_faults": ["oversized"]},
            (FailureKind.TOO_LARGE, RunState.UNKNOWN),
            id="too_large",
        ),
        pytest.param({"next_faults": ["truncated"]}, RESET, id="truncated_body"),
        pytest.param({"next_faults": ["half_closed"]}, RESET, id="half_closed"),
        pytest.param({"next_faults": ["close_unanswered"]}, RESET, id="closed_unanswered"),
        pytest.param(
            {"crash_bodies": [{"kind": "search", "term": "tutu"}]}, RESET, id="server_crash"
        ),
        pytest.param({"draining": True}, (FailureKind.SHED, RunState.NOT_RUN), id="draining"),
        pytest.param({"shedding": True}, (FailureKind.SHED, RunState.NOT_RUN), id="shedding"),
    ],
)
async def test_failures(client, events, behaviour, expected):
    """Check kind and run state of each failure of a server.

    A response to another request, version or leaf must fail the send: delivered as an answer,
    it would be a wrong result.
    """
    async with Backends({"s": Behaviour(**behaviour)}) as backends:
        client.execute(create_send(1, backends.addresses["s"]))
        (event,) = await events.wait_for(1)
    assert isinstance(event, SendFailed), event
    assert (event.kind, event.run) == expected


async def test_held_versions(client, events):
    """The rejection must carry the versions that the server holds instead."""
    async with Backends({"s": Behaviour(held=[(2, 9)])}) as backends:
        client.execute(create_send(1, backends.addresses["s"]))
        (event,) = await events.wait_for(1)
    assert isinstance(event, SendRejected)
    assert (event.map_version, event.index_version) == (2, 9)
