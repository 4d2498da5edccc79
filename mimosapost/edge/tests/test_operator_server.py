"""Tests of metrics, logs, traces and the HTTP server for operators."""

import io
import json

import aiohttp
import pytest

from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import METRICS, Metrics, declare_counter
from mimosapost.edge.operator_server import OperatorServer
from mimosapost.edge.traces import Traces, parse_traceparent
from mimosapost.model.effects import IncrementCounter, WriteLog

PARENT = "00-" + "0af7651916cd43dd8448eb211c80319c" + "-b7ad6b7169203331-01"


@pytest.mark.parametrize(
    ("path", "ready", "status", "text"),
    [
        pytest.param("/healthz", False, 200, "alive", id="alive_while_not_ready"),
        pytest.param("/readyz", True, 200, "ready", id="ready"),
        pytest.param("/readyz", False, 503, "not ready", id="not_ready"),
        pytest.param("/status", True, 200, '"name":"one"', id="status"),
        pytest.param(
            "/metrics",
            True,
            200,
            'mimosapost_queries_total{code="1000",service="desk"} 1',
            id="query_counter",
        ),
        pytest.param(
            "/metrics",
            True,
            200,
            'mimosapost_send_seconds_count{service="desk"} 2',
            id="send_histogram",
        ),
        pytest.param("/other", True, 404, "", id="unknown_path"),
    ],
)
async def test_pages(path, ready, status, text):
    """Each page must exist, and a stopping instance must not be ready."""
    metrics = Metrics()
    metrics.observe_query("desk", 1000, 2_500)
    metrics.observe_send("desk", "answered", 1_500)
    metrics.observe_send("desk", "reset", 1_500)
    server = OperatorServer(lambda: {"name": "one"}, metrics, is_ready=lambda: ready)
    async with (
        server,
        aiohttp.ClientSession(f"http://{server.address}") as session,
        session.get(path) as response,
    ):
        assert response.status == status
        assert text in await response.text()


def test_metric_names_carry_units():
    """The unit of a metric must be part of its name."""
    for name, metric in METRICS.items():
        unit = {"counter": "_total", "histogram": "_seconds", "gauge": "_count"}[metric.kind]
        assert name.startswith("mimosapost_")
        assert name.endswith(unit)


def test_increments_are_counted_or_reported():
    """An increment must be counted, also if its name or labels are not declared.

    A misspelt name must not make counts disappear; it is counted as undeclared.
    """
    metrics = Metrics()
    labels = (("service", "desk"), ("code", "3001"))
    metrics.execute(IncrementCounter("mimosapost_queries_total", labels, 3))
    metrics.execute(IncrementCounter("mimosapost_queries_total", labels[:1]))
    metrics.execute(IncrementCounter("mimosapost_misspelt_total"))
    assert metrics.get_count("mimosapost_queries_total", service="desk", code="3001") == 3
    undeclared = "mimosapost_undeclared_counts_total"
    assert metrics.get_count(undeclared, name="mimosapost_queries_total") == 1
    assert metrics.get_count(undeclared, name="mimosapost_misspelt_total") == 1
    with pytest.raises(ValueError, match="_total"):
        declare_counter("mimosapost_no_unit", "")


def test_label_values_cannot_forge_a_metric():
    """A label value must not be able to end its line and add another metric."""
    metrics = Metrics()
    metrics.execute(IncrementCounter('x"} 1\nforged_total{a="'))
    body, _ = metrics.render()
    assert not any(line.startswith(b"forged") for line in body.splitlines())
    assert b'name="x\\"} 1\\nforged_total{a=\\""} 1' in body


@pytest.mark.parametrize(
    "value",
    [
        pytest.param('a" event="forged', id="quote"),
        pytest.param("a\nevent=forged", id="newline"),
        pytest.param("a\r\nevent=forged", id="crlf"),
        pytest.param("a\u2028event=forged", id="line_separator"),
        pytest.param("a\x85event=forged", id="next_line"),
        pytest.param("\x1b[2Ka\x7f\x08", id="control_characters"),
        pytest.param("a\\", id="trailing_backslash"),
        pytest.param("é \ud800", id="non_ascii_and_surrogate"),
    ],
)
def test_values_cannot_forge_a_log_line(value):
    """A value from a caller must not be able to add lines or keys to the log."""
    stream = io.StringIO()
    Logs(stream, instance="one").execute(WriteLog("refused", (("caller", value), ("n", 3))))
    text = stream.getvalue()
    assert text.isascii()
    assert text.endswith("\n")
    assert len(text.splitlines()) == 1
    assert "\x1b" not in text
    assert "\x7f" not in text
    start = text.index("caller=") + len("caller=")
    parsed, end = json.JSONDecoder().raw_decode(text, start)
    assert parsed == value
    assert text[end:] == " n=3\n"


def test_log_keys_and_secrets():
    """Field names must not replace fixed keys, and secrets must not be logged.

    Invalid keys are replaced, and a field that is named like a fixed key is renamed.
    """
    stream = io.StringIO()
    fields = (("a b=c", 1), ("event", "forged"), ("Authorization", "x"), ("ticket", "t9"))
    logs = Logs(stream)
    logs.execute(WriteLog("read", (*fields, ("detail", "sent Bearer abc.def to s"))))
    line = stream.getvalue()
    assert ' level="info" event="read" ' in line
    assert ' invalid_key=1 event_="forged" Authorization="***" ticket="***"' in line
    assert 'detail="sent Bearer *** to s"' in line


def test_spans_of_one_trace():
    """Spans must keep the trace id and the parent of the received trace context."""
    stream = io.StringIO()
    traces = Traces(stream, 1.0, seed=1)
    query = traces.start("query", PARENT, service="desk")
    send = traces.start("send", query.traceparent)
    send.end(outcome="answered")
    query.end(code=1000)
    traces.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["name"] for line in lines] == ["send", "query"]
    assert {line["trace_id"] for line in lines} == {PARENT[3:35]}
    assert lines[0]["parent_id"] == lines[1]["span_id"]
    assert lines[1]["parent_id"] == PARENT[36:52]
    assert lines[1]["attributes"] == {"service": "desk", "code": 1000}


def test_sampling():
    """Callers must not be able to raise the share of traced queries.

    The decision depends on the sampled flag and the trace id of a received context, so that
    the flag alone does not cause a span.
    """
    traces = Traces(io.StringIO(), 0.1, seed=1)
    sampled = sum(traces.start("query", "") is not None for _ in range(2_000))
    assert 150 < sampled < 250
    assert traces.start("query", f"00-{'a' * 16}{'f' * 16}-{'b' * 16}-01") is None
    assert traces.start("query", f"00-{'a' * 16}{'0' * 15}1-{'b' * 16}-01") is not None
    assert traces.start("query", f"00-{'a' * 16}{'0' * 15}1-{'b' * 16}-00") is None
    assert traces.start("query", "not a context") is None
    assert Traces().start("query", PARENT) is None


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param(PARENT + "\n", id="trailing_newline"),
        pytest.param(PARENT.upper(), id="upper_case"),
        pytest.param(PARENT[:-1], id="truncated"),
        pytest.param("00-" + "0" * 32 + PARENT[35:], id="zero_trace_id"),
    ],
)
def test_invalid_contexts(text):
    """An invalid trace context must not be passed on."""
    assert parse_traceparent(text) is None
