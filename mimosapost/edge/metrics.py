"""All metrics of an instance; each name ends in its unit or in ``_total``."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Literal

import aioprometheus
from aioprometheus.histogram import Histogram

from mimosapost.core.counters import COUNTERS
from mimosapost.model.effects import IncrementCounter, ObserveDuration

__all__ = ["METRICS", "Metric", "Metrics", "declare_counter"]

_DURATION_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
_UNDECLARED_COUNTER = "mimosapost_undeclared_counts_total"


@dataclass(frozen=True, slots=True)
class Metric:
    """Declaration of a metric: its kind, description and label names."""

    kind: Literal["counter", "gauge", "histogram"]
    doc: str
    labels: tuple[str, ...] = ()


METRICS: dict[str, Metric] = {
    "mimosapost_queries_total": Metric(
        "counter", "Answers to callers by result code.", ("service", "code")
    ),
    "mimosapost_query_seconds": Metric(
        "histogram", "Time from the arrival of a query to its answer.", ("service",)
    ),
    "mimosapost_sends_total": Metric(
        "counter", "Sends to backend servers by outcome.", ("service", "outcome")
    ),
    "mimosapost_send_seconds": Metric(
        "histogram", "Time from a send to its outcome.", ("service",)
    ),
    "mimosapost_open_queries_count": Metric("gauge", "Queries that wait for an answer."),
    "mimosapost_open_sends_count": Metric("gauge", "Sends without an outcome."),
    "mimosapost_relay_request_seconds": Metric(
        "histogram", "Time from the arrival of a request to its reply.", ("route",)
    ),
    "mimosapost_relay_send_seconds": Metric(
        "histogram", "Time from a send to its answer, by distance of the server.", ("distance",)
    ),
    "mimosapost_relay_gather_seconds": Metric(
        "histogram",
        "Time from a gather to its last answer, by distance of the other instance.",
        ("distance",),
    ),
    "mimosapost_relay_reply_way_seconds": Metric(
        "histogram",
        "Time from the decision on a gathered reply until its caller has acknowledged it.",
        ("connection",),
    ),
    "mimosapost_relay_caller_memory_bytes_count": Metric(
        "gauge", "Memory of callers' heads, bodies and answers."
    ),
    _UNDECLARED_COUNTER: Metric(
        "counter", "Counts under a name that no table declares.", ("name",)
    ),
}


def declare_counter(name: str, doc: str, labels: tuple[str, ...] = ()) -> str:
    """Declare a counter that ``IncrementCounter`` effects may increment.

    :param name: name of the counter; must start with ``mimosapost_`` and end in ``_total``.
    :param doc: description of the counter.
    :param labels: names of its labels, in the order in which ``IncrementCounter`` gives them.
    :returns: the name.
    :raises ValueError: if the name is already declared or has another prefix or suffix.

    >>> declare_counter("mimosapost_retries", "Retries of sends.")
    Traceback (most recent call last):
    ValueError: counter 'mimosapost_retries' must start with mimosapost_ and end in _total
    """
    if not (name.startswith("mimosapost_") and name.endswith("_total")):
        raise ValueError(f"counter {name!r} must start with mimosapost_ and end in _total")
    if name in METRICS:
        raise ValueError(f"metric {name!r} is already declared")
    METRICS[name] = Metric("counter", doc, labels)
    return name


for _name, _doc in COUNTERS.items():
    declare_counter(_name, _doc)
declare_counter("mimosapost_relay_replies_total", "Replies of the relay by code.", ("code",))
declare_counter(
    "mimosapost_relay_repeats_total", "Sends beyond the first by reason.", ("reason",)
)
declare_counter(
    "mimosapost_relay_send_failures_total", "Sends without an answer by kind.", ("kind",)
)
declare_counter(
    "mimosapost_relay_source_reads_total",
    "Reads of the source, by a call of this instance or by a feed.",
    ("by",),
)
declare_counter(
    "mimosapost_relay_server_notes_total",
    "Notes on servers that were sent to and adopted from other instances.",
    ("outcome",),
)
declare_counter(
    "mimosapost_relay_server_paces_total",
    "Changes of the paces of servers that have started or recovered.",
    ("change",),
)
declare_counter(
    "mimosapost_relay_feed_updates_total",
    "Updates of the source between instances by outcome.",
    ("outcome",),
)
declare_counter(
    "mimosapost_relay_gathers_total", "Gathers at other instances by outcome.", ("outcome",)
)
declare_counter(
    "mimosapost_relay_served_gathers_total",
    "Gathers for other instances by outcome.",
    ("outcome",),
)
declare_counter(
    "mimosapost_relay_server_changes_total", "Changes of the server list.", ("change",)
)
declare_counter(
    "mimosapost_relay_server_crashes_total",
    "Servers that ended with unanswered requests of this instance, by evidence.",
    ("evidence",),
)
declare_counter(
    "mimosapost_relay_suspects_total",
    "Requests that became suspect, refused or clear.",
    ("standing", "source"),
)
declare_counter(
    "mimosapost_relay_trials_total", "Lone runs of suspects by result.", ("result",)
)
declare_counter(
    "mimosapost_relay_probes_total", "Connections opened after a break.", ("outcome",)
)
declare_counter(
    "mimosapost_relay_limited_parts_total",
    "Parts withheld because of limits that servers name.",
    ("outcome",),
)
declare_counter(
    "mimosapost_relay_room_refusals_total",
    "Requests refused unsent because more urgent ones need the room of their services.",
    ("rank", "early"),
)
declare_counter(
    "mimosapost_relay_server_signals_total",
    "Servers that asked for no sends in their answers, by signal.",
    ("signal",),
)
declare_counter(
    "mimosapost_relay_malformed_headers_total",
    "Answers with a header that can't be read.",
    ("header",),
)
declare_counter(
    "mimosapost_relay_workspace_decisions_total",
    "Requests of workspaces with a limit by outcome.",
    ("workspace", "outcome"),
)
declare_counter(
    "mimosapost_relay_workspace_limits_total",
    "Times that a workspace came near its limit, at the instance with its account.",
    ("workspace",),
)
declare_counter(
    "mimosapost_relay_workspace_requests_total", "Requests with a known key.", ("workspace",)
)
declare_counter(
    "mimosapost_relay_workspace_replies_total",
    "Replies to started requests of a workspace by result code.",
    ("workspace", "code"),
)
declare_counter(
    "mimosapost_relay_key_refusals_total", "Requests without a known key.", ("reason",)
)
declare_counter(
    "mimosapost_relay_workspace_faults_total",
    "Workspaces and keys that a configuration lost.",
    ("kind",),
)
declare_counter(
    "mimosapost_relay_odd_loads_total",
    "Load reports whose figure on the server's machine can't be used.",
)
declare_counter(
    "mimosapost_relay_withheld_answers_total",
    "Answers whose status told callers without proof that the request has not run.",
)
declare_counter(
    "mimosapost_relay_odd_entries_total",
    "Entries of the store that were ignored, by the first part of the key.",
    ("group",),
)
declare_counter(
    "mimosapost_relay_rewound_entries_total",
    "Entries of a source that returned from an older copy and were not believed, by outcome.",
    ("outcome",),
)
declare_counter(
    "mimosapost_relay_callers_closed_total",
    "Connections of callers that were closed because of what they held, by reason.",
    ("reason",),
)


class Metrics:
    """Values of all metrics of one instance.

    Counts are collected in a plain dictionary and passed to aioprometheus only when metrics
    are rendered, because its collectors serialize the labels on each increment.
    """

    def __init__(self) -> None:
        self._counts: defaultdict[tuple[str, tuple[tuple[str, str], ...]], int] = defaultdict(
            int
        )
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def execute(self, effect: IncrementCounter) -> None:
        """Increment a declared counter; count any other name or labels as undeclared."""
        metric = METRICS.get(effect.name)
        if (
            metric is None
            or metric.kind != "counter"
            or tuple(label for label, _ in effect.labels) != metric.labels
        ):
            self._counts[_UNDECLARED_COUNTER, (("name", effect.name),)] += effect.value
        else:
            self._counts[effect.name, effect.labels] += effect.value

    def observe_duration(self, effect: ObserveDuration) -> None:
        """Add the duration of an ``ObserveDuration`` effect to its histogram."""
        self._observe(effect.name, effect.label, effect.elapsed_us)

    def observe_query(self, service: str, code: int, elapsed_us: int) -> None:
        """Count the answer to a query and add its duration to the histogram."""
        labels = (("service", service), ("code", str(code)))
        self._counts["mimosapost_queries_total", labels] += 1
        self._observe("mimosapost_query_seconds", service, elapsed_us)

    def observe_send(self, service: str, outcome: str, elapsed_us: int) -> None:
        """Count the outcome of a send and add its duration to the histogram."""
        labels = (("service", service), ("outcome", outcome))
        self._counts["mimosapost_sends_total", labels] += 1
        self._observe("mimosapost_send_seconds", service, elapsed_us)

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Set the callable that returns the value of a declared gauge at each rendering."""
        if METRICS[name].kind != "gauge":
            raise ValueError(f"metric {name!r} is not declared as a gauge")
        self._gauges[name] = read

    def _observe(self, name: str, label_value: str, elapsed_us: int) -> None:
        histogram = self._histograms.get((name, label_value))
        if histogram is None:
            histogram = self._histograms[name, label_value] = Histogram(*_DURATION_BUCKETS_S)
        histogram.observe(elapsed_us / 1e6)

    def get_count(self, name: str, /, **labels: str) -> int:
        """Return the value of a counter, 0 if it was never incremented."""
        return self._counts.get((name, tuple(labels.items())), 0)

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in the Prometheus exposition format, and the HTTP headers for it.

        :param accept: values of the request's ``Accept`` headers.
        """
        registry = aioprometheus.Registry()
        collectors: dict[str, aioprometheus.Collector] = {}
        for name, metric in METRICS.items():
            match metric.kind:
                case "counter":
                    collector = aioprometheus.Counter(name, metric.doc, registry=registry)
                case "gauge":
                    collector = aioprometheus.Gauge(name, metric.doc, registry=registry)
                case "histogram":
                    collector = aioprometheus.Histogram(
                        name, metric.doc, registry=registry, buckets=_DURATION_BUCKETS_S
                    )
            collectors[name] = collector
        for (name, labels), value in self._counts.items():
            collectors[name].set_value({k: _escape(v) for k, v in labels}, value)
        for (name, value), histogram in self._histograms.items():
            (label,) = METRICS[name].labels
            collectors[name].set_value({label: _escape(value)}, histogram)
        for name, read in self._gauges.items():
            collectors[name].set_value({}, read())
        return aioprometheus.render(registry, list(accept))


def _escape(value: str) -> str:
    """Escape a label value for the exposition format, which aioprometheus does not do."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
