"""Tracing: one span for each hop of a query, linked by W3C trace context."""

from __future__ import annotations

import os
import random
import re
from collections.abc import Sequence
from typing import TextIO

import msgspec
from opentelemetry import trace
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags

__all__ = ["Span", "Traces", "open_trace_stream", "parse_traceparent"]

_TRACEPARENT = re.compile(
    r"00-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})", re.ASCII
)
# Sampling by ratio compares the lower 64 bits of a trace id, as TraceIdRatioBased does.
_TRACE_ID_MASK = (1 << 64) - 1


def open_trace_stream(export: str) -> TextIO | None:
    """Open the output stream that the setting ``trace_export`` names.

    :param export: ``none``, or ``fd:NUMBER`` for a file descriptor that is already open.
    :returns: stream for :class:`Traces`, or ``None`` if tracing is off.
    :raises ValueError: if the export is of any other kind.
    """
    if export == "none":
        return None
    kind, _, number = export.partition(":")
    if kind != "fd":
        raise ValueError(
            f"trace export {export!r} is not supported; expected none or fd:NUMBER"
        )
    return os.fdopen(int(number), "w", buffering=1, closefd=False)


def parse_traceparent(text: str) -> SpanContext | None:
    """Parse a ``traceparent`` header of version 00.

    :param text: value of the header.
    :returns: the context, or ``None`` if the header is empty or invalid.

    >>> parse_traceparent("00-" + "a" * 32 + "-" + "b" * 16 + "-01").trace_flags.sampled
    True
    >>> parse_traceparent("00-zz") is None
    True
    """
    match = _TRACEPARENT.fullmatch(text)
    if match is None:
        return None
    trace_id, span_id, flags = (int(part, 16) for part in match.groups())
    return SpanContext(trace_id, span_id, is_remote=True, trace_flags=TraceFlags(flags))


class _LineExporter(SpanExporter):
    """Writes each span as one line of JSON."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            context, parent = span.context, span.parent
            line = {
                "trace_id": trace.format_trace_id(context.trace_id),
                "span_id": trace.format_span_id(context.span_id),
                "parent_id": trace.format_span_id(parent.span_id) if parent else "",
                "name": span.name,
                "start_ns": span.start_time,
                "end_ns": span.end_time,
                "attributes": dict(span.attributes or {}),
            }
            self._stream.write(msgspec.json.encode(line).decode() + "\n")
        return SpanExportResult.SUCCESS


class Span:
    """Open span of a sampled trace."""

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        context = span.get_span_context()
        trace_id = trace.format_trace_id(context.trace_id)
        span_id = trace.format_span_id(context.span_id)
        #: W3C trace context that is passed to the next hop.
        self.traceparent = f"00-{trace_id}-{span_id}-01"

    def end(self, **attributes: str | int) -> None:
        """Set the attributes and end the span."""
        self._span.set_attributes(attributes)
        self._span.end()


class Traces:
    """Starts the spans of sampled traces.

    A trace that a caller started is sampled by its trace id, so no caller can raise the share
    of traced queries, and all instances make the same decision for one trace. Nothing is
    allocated for a hop that is not sampled.

    :param stream: output for finished spans; ``None`` turns tracing off.
    :param ratio: share of traces that are recorded, from 0 to 1.
    :param seed: seed for the sampling of queries that come without a trace context.
    """

    def __init__(
        self, stream: TextIO | None = None, ratio: float = 0.0, seed: int | None = None
    ) -> None:
        self._sampling_ratio = ratio if stream is not None else 0.0
        self._sampling_bound = TraceIdRatioBased.get_bound_for_rate(ratio)
        self._random = random.Random(seed)
        self._provider: TracerProvider | None = None
        if stream is not None:
            self._provider = TracerProvider(shutdown_on_exit=False)
            self._provider.add_span_processor(SimpleSpanProcessor(_LineExporter(stream)))
            self._tracer = self._provider.get_tracer("mimosapost")

    def start(self, name: str, parent: str, **attributes: str | int) -> Span | None:
        """Start a span for one hop of a query.

        :param name: ``query``, ``send`` or ``forward``.
        :param parent: W3C trace context of the previous hop, or an empty string.
        :param attributes: attributes of the span.
        :returns: the span, or ``None`` if its trace is not sampled.
        """
        if not self._sampling_ratio:
            return None
        context = None
        if parent:
            parent_context = parse_traceparent(parent)
            if (
                parent_context is None
                or not parent_context.trace_flags.sampled
                or parent_context.trace_id & _TRACE_ID_MASK >= self._sampling_bound
            ):
                return None
            context = trace.set_span_in_context(NonRecordingSpan(parent_context))
        elif self._random.random() >= self._sampling_ratio:
            return None
        return Span(self._tracer.start_span(name, context, attributes=attributes))

    def close(self) -> None:
        """Flush finished spans and shut tracing down."""
        if self._provider is not None:
            self._provider.shutdown()
