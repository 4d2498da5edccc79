"""Tests that the committed OpenAPI description and the pages match the servers."""

from pathlib import Path

import aiohttp
import msgspec
import pytest

from mimosapost.edge.caller_codec import WireQuery, encode_answer
from mimosapost.edge.caller_server import CallerServer
from mimosapost.edge.metrics import METRICS, Metrics
from mimosapost.edge.openapi import encode_openapi
from mimosapost.edge.operator_server import OperatorServer
from mimosapost.edge.tests.conftest import read_clock_us
from mimosapost.model.codes import MissingReason, ResultCode, RunState, get_http_status
from mimosapost.model.identities import Snapshot
from mimosapost.model.queries import Answer, MissingLeaf

DOCS = Path(__file__).parents[3] / "docs"
DOCUMENT = msgspec.json.decode((DOCS / "openapi.json").read_bytes())
PAGES = [(method.upper(), path) for path, item in DOCUMENT["paths"].items() for method in item]


def test_committed_description_is_current():
    """The description must be generated again after each change of an interface."""
    assert (DOCS / "openapi.json").read_bytes() == encode_openapi()


@pytest.mark.parametrize(("method", "path"), PAGES)
async def test_described_routes_exist(method, path):
    """Each described route must exist and answer with a described status."""
    caller_server = CallerServer(print, read_clock_us, {}.get, {}.get)
    operator_server = OperatorServer(dict, Metrics())
    operators_only = path in ("/status", "/metrics")
    async with operator_server if operators_only else caller_server as server:
        url = f"http://{server.address}" + path.replace("{service}", "desk")
        async with aiohttp.request(method, url) as response:
            assert response.status == (401 if path.startswith("/v1/") else 200)
            assert str(response.status) in DOCUMENT["paths"][path][method.lower()]["responses"]


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "HEAD"])
async def test_other_methods_are_refused(method):
    """Queries must use POST.

    HTTP clients automatically send idempotent methods again, which would run a query twice.
    """
    async with CallerServer(print, read_clock_us, {}.get, {}.get) as server:
        url = f"http://{server.address}/v1/services/desk/query"
        async with aiohttp.request(method, url) as response:
            assert response.status == 400


def test_query_fields():
    """The description and the decoder must have the same fields of a query."""
    schema = DOCUMENT["components"]["schemas"]["WireQuery"]
    assert set(schema["properties"]) == set(WireQuery.__struct_fields__)
    assert schema["additionalProperties"] is False
    assert schema["required"] == ["request"]


def test_answer_fields_and_codes():
    """Fields, codes and statuses of an answer must be as described."""
    answer = Answer(
        ResultCode.PARTIAL,
        RunState.RAN,
        [],
        Snapshot(1, 2),
        ("a",),
        (MissingLeaf("b", MissingReason.TIMED_OUT),),
    )
    value = msgspec.json.decode(encode_answer(answer))
    schema = DOCUMENT["components"]["schemas"]["Answer"]
    parts = schema["properties"]
    missing = parts["coverage"]["properties"]["missing"]["items"]
    assert set(value) == set(parts)
    assert set(value["coverage"]) == set(parts["coverage"]["properties"])
    assert set(value["coverage"]["missing"][0]) == set(missing["properties"])
    assert set(value["snapshot"]) == set(parts["snapshot"]["anyOf"][0]["properties"])
    assert parts["code"]["enum"] == [code.value for code in ResultCode]
    assert missing["properties"]["reason"]["enum"] == [reason.value for reason in MissingReason]
    query = DOCUMENT["paths"]["/v1/services/{service}/query"]["post"]
    for code in ResultCode:
        assert str(code.value) in query["responses"][str(get_http_status(code))]["description"]


def test_every_code_and_metric_is_documented():
    """The pages must explain each result code, missing reason and metric."""
    page = (DOCS / "caller-interface.md").read_text()
    for code in (*ResultCode, *MissingReason):
        assert f"| {code.value} | `{code.name}` |" in page
    page = (DOCS / "metrics-and-logs.md").read_text()
    for name in METRICS:
        assert f"| `{name}` |" in page
