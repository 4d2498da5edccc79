"""Guards against documents that crash the reader or hide a fault from it."""

import pytest
from returns.result import Success

from mimosapost.settings.json_reader import (
    MAX_DOCUMENT_BYTES,
    MAX_NESTING_DEPTH,
    MAX_VALUES,
    read_document,
)

TABLE = [
    # text, path, part of the value found
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


@pytest.mark.parametrize(("text", "path", "found"), TABLE)
def test_refuses_with_path(text, path, found):
    (fault,) = read_document(text).failure()
    assert fault.path == path
    assert found in fault.value


def test_reports_all_marks_at_once():
    faults = read_document(b'{"a": NaN, "b": {"c": 1, "c": 2}, "d": Infinity}').failure()
    assert [fault.path for fault in faults] == ["a", "b.c", "d"]


def test_accepts_up_to_both_bounds():
    nested = b"[" * MAX_NESTING_DEPTH + b"]" * MAX_NESTING_DEPTH
    assert isinstance(read_document(nested), Success)
    assert isinstance(read_document(nested.ljust(MAX_DOCUMENT_BYTES)), Success)


def test_accepts_the_largest_number_of_values():
    text = b"[" + b"0," * (MAX_VALUES - 1) + b"0]"
    assert len(read_document(text).unwrap()) == MAX_VALUES


def test_brackets_within_strings_are_no_nesting():
    assert read_document(b'["\\"' + b"[" * 100 + b'"]').unwrap() == ['"' + "[" * 100]
