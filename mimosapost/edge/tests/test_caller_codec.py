"""Tests of the codec of the caller interface, with random and with invalid bodies."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.edge.caller_codec import (
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
    """Return the decoded query, or the result code of its fault."""
    try:
        return decode_query(raw)
    except QueryFault as fault:
        return fault.code


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@given(st.binary(max_size=200) | st.dictionaries(FIELDS, JSON).map(msgspec.json.encode))
def test_any_body_gives_a_query_or_a_numbered_fault(raw):
    """Any bytes must give a query or a fault with a result code.

    Another exception would close the connection without a result code.
    """
    outcome = decode(raw)
    if outcome is not ResultCode.MALFORMED_REQUEST:
        assert compute_fingerprint("s", outcome.request) == compute_fingerprint(
            "s", msgspec.json.decode(msgspec.json.encode(outcome.request))
        )


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"null", id="null"),
        pytest.param(b"[]", id="array"),
        pytest.param(b'{"priority": "urgent"}', id="no_request"),
        pytest.param(b'{"request": 1, "priority": "first"}', id="unknown_priority"),
        pytest.param(b'{"request": 1, "deadline_ms": 0}', id="zero_deadline"),
        pytest.param(b'{"request": 1, "deadline_ms": 1e9}', id="deadline_too_long"),
        pytest.param(b'{"request": 1, "repeatable": "no"}', id="repeatable_as_string"),
        pytest.param(b'{"request": 1, "unknown": 1}', id="unknown_field"),
        pytest.param(
            b'{"request": 1, "coverage": {"mode": "share"}}', id="share_mode_without_share"
        ),
        pytest.param(
            b'{"request": 1, "coverage": {"mode": "share", "share": 2}}', id="share_above_1"
        ),
        pytest.param(
            b'{"request": 1, "coverage": {"mode": "any", "share": 0.5}}',
            id="share_without_share_mode",
        ),
        pytest.param(b'{"request": 1, "limit": -1}', id="negative_limit"),
        pytest.param(b'{"request": "\xff"}', id="invalid_utf8"),
        pytest.param(
            b'{"request": ' + b"[" * (MAX_NESTING + 1) + b"]" * (MAX_NESTING + 1) + b"}",
            id="nesting_above_limit",
        ),
        pytest.param(b'{"request": ' + b"[" * 100_000, id="unclosed_nesting_100000"),
    ],
)
def test_bad_body_is_refused(raw):
    """An invalid body must not reach the reducer."""
    assert decode(raw) is ResultCode.MALFORMED_REQUEST


def test_answer_keeps_an_encoded_result():
    """A result that is already encoded as JSON must not be encoded a second time."""
    answer = Answer(ResultCode.COMPLETE, RunState.RAN, msgspec.Raw(b'[{"key":"a"}]'))
    assert msgspec.json.decode(encode_answer(answer))["result"] == [{"key": "a"}]
