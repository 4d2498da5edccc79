"""Trace spans of queries that one instance forwards to another."""

from __future__ import annotations

import msgspec

from mimosapost.edge.traces import Span, Traces
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import Event, PeerLost, PeerMessageArrived
from mimosapost.model.peer_messages import Forward, ForwardAnswer

__all__ = ["ForwardSpans"]

# Limits the memory for forwarded queries that are never answered; above it the oldest span is
# ended with the outcome "forgotten".
_MAX_OPEN_SPANS = 1_000


class _QueryContext(msgspec.Struct):
    traceparent: str = ""
    service: str = ""


class ForwardSpans:
    """Opens a span when a query is forwarded and ends it when it is answered or the peer lost.

    :param traces: starts the spans of the instance.
    """

    def __init__(self, traces: Traces) -> None:
        self._traces = traces
        self._open_spans: dict[int, tuple[str, Span]] = {}

    def record_effect(self, effect: SendPeer) -> None:
        """Open a span if the message forwards a query of a sampled trace."""
        message = effect.message
        if not isinstance(message, Forward):
            return
        context = msgspec.json.decode(message.query, type=_QueryContext)
        span = None
        if context.traceparent:
            span = self._traces.start(
                "forward", context.traceparent, peer=effect.peer, service=context.service
            )
        if span is None:
            return
        if len(self._open_spans) >= _MAX_OPEN_SPANS:
            self._end(next(iter(self._open_spans)), "forgotten")
        self._open_spans[message.forward_id] = (effect.peer, span)

    def record_event(self, event: Event) -> None:
        """End the span that an answer concerns, or all spans of a lost peer."""
        if not self._open_spans:
            return
        if isinstance(event, PeerLost):
            for forward_id in [
                k for k, (peer, _) in self._open_spans.items() if peer == event.peer
            ]:
                self._end(forward_id, "lost")
        elif isinstance(event, PeerMessageArrived) and isinstance(event.message, ForwardAnswer):
            self._end(event.message.forward_id, "answered")

    def _end(self, forward_id: int, outcome: str) -> None:
        _, span = self._open_spans.pop(forward_id, ("", None))
        if span is not None:
            span.end(outcome=outcome)
