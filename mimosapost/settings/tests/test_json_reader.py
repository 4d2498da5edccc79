"""Tests for the bounded JSON reader.

Without the checks of the reader, ``json.loads`` raises RecursionError for deep nesting and
silently accepts duplicate keys and numbers that are not finite.
"""

import pytest
from returns.result import Success

from mimosapost.settings.json_reader import (
    MAX_DOCUMENT_BYTES,
    MAX_NESTING_DEPTH,
    MAX_VALUES,
    read_document,
)

INVALID_DOCUMENTS = [
    # Text, path of the fault, part of the value in the fault.
    pytest.param(b"", "(document)", "an error at line 1 column 1", id="empty text"),
    pytest.param(b"{", "(document)", "an error at line 1 column 2", id="unclosed object"),
    pytest.param(b"\xff\xfe{}", "(document)", "an invalid byte at offset 0", id="not UTF-8"),
    pytest.param(
        b"\xef\xbb\xbf{}", "(document)", "an error at line 1 column 1", id="byte order mark"
    ),
    pytest.param(
        b" " * (MAX_DOCUMENT_BYTES + 1),
        "(document)",
        f"{MAX_DOCUMENT_BYTES + 1} bytes",
        id="too many bytes",
    ),
    pytest.param(
        b"[" * 100_000, "(document)", "nesting beyond the limit", id="deeply nested lists"
    ),
    pytest.param(
        b'{"a":' * 100_000, "(document)", "nesting beyond the limit", id="deeply nested objects"
    ),
    pytest.param(
        b"[" + b"0," * MAX_VALUES + b"0]", "(document)", "more values", id="too many values"
    ),
    pytest.param(
        b'["' + b"\\" * 500_000, "(document)", "an error at", id="unterminated string"
    ),
    pytest.param(b'{"a": 1, "a": 2}', "a", "a duplicate key", id="duplicate key of the root"),
    pytest.param(
        b'{"a": [{"b": {}}, {"b": 1, "b": 2}]}',
        "a[1].b",
        "a duplicate key",
        id="duplicate key within a list",
    ),
    pytest.param(
        b'{"\\n": 1, "\\n": 2}', '["\\n"]', "a duplicate key", id="duplicate key with an escape"
    ),
    pytest.param(b'{"a": NaN}', "a", "NaN", id="NaN"),
    pytest.param(b'{"a": [-Infinity]}', "a[0]", "-Infinity", id="negative infinity"),
    pytest.param(b'{"a": 1e999}', "a", "1e999", id="float overflow"),
    pytest.param(b'{"a": ' + b"9" * 5000 + b"}", "a", "9" * 60 + "...", id="long integer"),
]


@pytest.mark.parametrize(("text", "path", "found"), INVALID_DOCUMENTS)
def test_invalid_document_is_refused_with_its_path(text, path, found):
    (fault,) = read_document(text).failure()
    assert fault.path == path
    assert found in fault.value


def test_all_faults_are_reported_together():
    faults = read_document(b'{"a": NaN, "b": {"c": 1, "c": 2}, "d": Infinity}').failure()
    assert [fault.path for fault in faults] == ["a", "b.c", "d"]


def test_document_at_the_bounds_is_accepted():
    nested = b"[" * MAX_NESTING_DEPTH + b"]" * MAX_NESTING_DEPTH
    assert isinstance(read_document(nested), Success)
    assert isinstance(read_document(nested.ljust(MAX_DOCUMENT_BYTES)), Success)


def test_largest_number_of_values_is_accepted():
    text = b"[" + b"0," * (MAX_VALUES - 1) + b"0]"
    assert len(read_document(text).unwrap()) == MAX_VALUES


def test_brackets_within_strings_do_not_count_as_nesting():
    assert read_document(b'["\\"' + b"[" * 100 + b'"]').unwrap() == ['"' + "[" * 100]
