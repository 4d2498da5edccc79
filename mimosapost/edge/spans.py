"""Spans of forwarded queries, the hop between two instances."""

from __future__ import annotations

import msgspec

from mimosapost.edge.traces import Span, Traces
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import Event, PeerLost, PeerMessageArrived
from mimosapost.model.peer_messages import Forward, ForwardAnswer

__all__ = ["ForwardSpans"]

# Spans of queries whose answer never came; the oldest are ended first.
_MOST_OPEN = 1_000


class _Context(msgspec.Struct):
    traceparent: str = ""
    service: str = ""


class ForwardSpans:
    """Opens a span when a query is forwarded and ends it with the answer or the lost link.

    :param traces: tracing of the instance.
    """

    def __init__(self, traces: Traces) -> None:
        self._traces = traces
        self._open: dict[int, tuple[str, Span]] = {}

    def record_effect(self, effect: SendPeer) -> None:
        """Open a span if the message is a forwarded query of a sampled trace."""
        message = effect.message
        if not isinstance(message, Forward):
            return
        context = msgspec.json.decode(message.query, type=_Context)
        span = None
        if context.traceparent:
            span = self._traces.start(
                "forward", context.traceparent, peer=effect.peer, service=context.service
            )
        if span is None:
            return
        if len(self._open) >= _MOST_OPEN:
            self._end(next(iter(self._open)), "forgotten")
        self._open[message.forward_id] = (effect.peer, span)

    def record_event(self, event: Event) -> None:
        """End the spans that an event answers."""
        if not self._open:
            return
        if isinstance(event, PeerLost):
            for forward_id in [k for k, (peer, _) in self._open.items() if peer == event.peer]:
                self._end(forward_id, "lost")
        elif isinstance(event, PeerMessageArrived) and isinstance(event.message, ForwardAnswer):
            self._end(event.message.forward_id, "answered")

    def _end(self, forward_id: int, outcome: str) -> None:
        _, span = self._open.pop(forward_id, ("", None))
        if span is not None:
            span.end(outcome=outcome)
