"""Fuzz of query bodies: any bytes give a query or a fault with a code."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.edge.wire import (
    MAX_NESTING,
    QueryFault,
    compute_fingerprint,
    decode_query,
    encode_answer,
)
from mimosapost.model.codes import ResultCode, RunState
from mimosapost.model.queries import Answer

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
FIELDS = st.sampled_from(
    ["request", "priority", "deadline_ms", "repeatable", "ticket", "coverage", "limit", "x"]
)


def decode(raw):
    """Decode and return the query, or the code of its fault."""
    try:
        return decode_query(raw)
    except QueryFault as fault:
        return fault.code


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.binary(max_size=200) | st.dictionaries(FIELDS, JSON).map(msgspec.json.encode))
def test_any_body_gives_a_query_or_a_numbered_fault(raw):
    """Guards against an exception that ends the connection without a result code."""
    outcome = decode(raw)
    if outcome is not ResultCode.MALFORMED_REQUEST:
        assert compute_fingerprint("s", outcome.request) == compute_fingerprint(
            "s", msgspec.json.decode(msgspec.json.encode(outcome.request))
        )


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"null",
        b"[]",
        b'{"priority": "urgent"}',
        b'{"request": 1, "priority": "first"}',
        b'{"request": 1, "deadline_ms": 0}',
        b'{"request": 1, "deadline_ms": 1e9}',
        b'{"request": 1, "repeatable": "no"}',
        b'{"request": 1, "unknown": 1}',
        b'{"request": 1, "coverage": {"mode": "share"}}',
        b'{"request": 1, "coverage": {"mode": "share", "share": 2}}',
        b'{"request": 1, "coverage": {"mode": "any", "share": 0.5}}',
        b'{"request": 1, "limit": -1}',
        b'{"request": "\xff"}',
        b'{"request": ' + b"[" * (MAX_NESTING + 1) + b"]" * (MAX_NESTING + 1) + b"}",
        b'{"request": ' + b"[" * 100_000,
    ],
)
def test_bad_body_is_refused(raw):
    """Guards against bad input that reaches the reducer."""
    assert decode(raw) is ResultCode.MALFORMED_REQUEST


def test_answer_keeps_an_encoded_result():
    """Guards against a result that is encoded twice."""
    answer = Answer(ResultCode.COMPLETE, RunState.RAN, msgspec.Raw(b'[{"key":"a"}]'))
    assert msgspec.json.decode(encode_answer(answer))["result"] == [{"key": "a"}]
