"""Tests of the spans of forwarded queries."""

import io

import msgspec
import pytest

from mimosapost.edge.forward_spans import ForwardSpans
from mimosapost.edge.traces import Traces
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import PeerLost, PeerMessageArrived
from mimosapost.model.peer_messages import Forward, ForwardAnswer

PARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


@pytest.mark.parametrize(
    ("event", "outcome"),
    [
        pytest.param(
            PeerMessageArrived(0, "entry-1", ForwardAnswer(7, b"{}")), "answered", id="answer"
        ),
        pytest.param(PeerLost(0, "entry-1"), "lost", id="peer-lost"),
        pytest.param(PeerLost(0, "entry-2"), None, id="other-peer-lost"),
        pytest.param(
            PeerMessageArrived(0, "entry-1", ForwardAnswer(8, b"{}")),
            None,
            id="answer-to-another-forward",
        ),
    ],
)
def test_forward_span_ends_once_with_its_outcome(event, outcome):
    """Only the answer to the forwarded query or the loss of its peer ends the span.

    The second delivery of the event must not write the span again.
    """
    stream = io.StringIO()
    spans = ForwardSpans(Traces(stream, 1.0))
    query = msgspec.json.encode({"traceparent": PARENT, "service": "fitting"})
    spans.record_effect(SendPeer("entry-1", "127.0.0.1:1", Forward(7, 1, query, 1_000)))
    spans.record_event(event)
    spans.record_event(event)
    lines = [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]
    assert [line["attributes"]["outcome"] for line in lines] == ([outcome] if outcome else [])
    assert all((line["name"], line["parent_id"]) == ("forward", "b" * 16) for line in lines)
