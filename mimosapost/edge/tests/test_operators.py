"""Tests of metrics, logs, traces and the operators' pages."""

import io
import json

import aiohttp
import pytest

from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import METRICS, Metrics, declare
from mimosapost.edge.operators import OperatorServer
from mimosapost.edge.traces import Traces, parse_traceparent
from mimosapost.model.effects import IncrementCounter, WriteLog

PARENT = "00-" + "0af7651916cd43dd8448eb211c80319c" + "-b7ad6b7169203331-01"


@pytest.mark.parametrize(
    ("path", "ready", "status", "text"),
    [
        ("/healthz", False, 200, "alive"),
        ("/readyz", True, 200, "ready"),
        ("/readyz", False, 503, "not ready"),
        ("/status", True, 200, '"name":"one"'),
        ("/metrics", True, 200, 'mimosapost_queries_total{code="1000",service="desk"} 1'),
        ("/metrics", True, 200, 'mimosapost_send_seconds_count{service="desk"} 2'),
        ("/other", True, 404, ""),
    ],
)
async def test_pages(path, ready, status, text):
    """Guards against a page that is missing, or ready while the instance stops."""
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
    """Guards against a metric whose unit has to be guessed."""
    for name, metric in METRICS.items():
        unit = {"counter": "_total", "histogram": "_seconds", "gauge": "_count"}[metric.kind]
        assert name.startswith("mimosapost_")
        assert name.endswith(unit)


def test_count_effect():
    """Guards against lost counts and against counts that vanish under a misspelt name."""
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
        declare("mimosapost_no_unit", "")


def test_label_values_cannot_forge_a_metric():
    """Guards against a label value that ends its line and adds another metric."""
    metrics = Metrics()
    metrics.execute(IncrementCounter('x"} 1\nforged_total{a="'))
    body, _ = metrics.render()
    assert not any(line.startswith(b"forged") for line in body.splitlines())
    assert b'name="x\\"} 1\\nforged_total{a=\\""} 1' in body


@pytest.mark.parametrize(
    "value",
    [
        'a" event="forged',
        "a\nevent=forged",
        "a\r\nevent=forged",
        "a\u2028event=forged",
        "a\x85event=forged",
        "\x1b[2Ka\x7f\x08",
        "a\\",
        "é \ud800",
    ],
)
def test_values_cannot_forge_a_log_line(value):
    """Guards against a caller that writes lines or keys into the log."""
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
    """Guards against forged or fixed keys from fields, and against secrets in the log."""
    stream = io.StringIO()
    fields = (("a b=c", 1), ("event", "forged"), ("Authorization", "x"), ("ticket", "t9"))
    logs = Logs(stream)
    logs.execute(WriteLog("read", (*fields, ("detail", "sent Bearer abc.def to s"))))
    line = stream.getvalue()
    assert ' level="info" event="read" ' in line
    assert ' invalid_key=1 event_="forged" Authorization="***" ticket="***"' in line
    assert 'detail="sent Bearer *** to s"' in line


def test_spans_of_one_trace():
    """Guards against spans that lose their trace or their parent."""
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
    """Guards against a caller that raises the share of traced queries."""
    traces = Traces(io.StringIO(), 0.1, seed=1)
    sampled = sum(traces.start("query", "") is not None for _ in range(2_000))
    assert 150 < sampled < 250
    assert traces.start("query", f"00-{'a' * 16}{'f' * 16}-{'b' * 16}-01") is None
    assert traces.start("query", f"00-{'a' * 16}{'0' * 15}1-{'b' * 16}-01") is not None
    assert traces.start("query", f"00-{'a' * 16}{'0' * 15}1-{'b' * 16}-00") is None
    assert traces.start("query", "not a context") is None
    assert Traces().start("query", PARENT) is None


@pytest.mark.parametrize(
    "text", ["", PARENT + "\n", PARENT.upper(), PARENT[:-1], "00-" + "0" * 32 + PARENT[35:]]
)
def test_invalid_contexts(text):
    """Guards against passing on a header that is no trace context."""
    assert parse_traceparent(text) is None
