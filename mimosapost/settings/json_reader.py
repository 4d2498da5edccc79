"""JSON decoding with bounds on the size and nesting of a document."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from mimosapost.settings.faults import Fault, create_fault, format_path

__all__ = ["MAX_DOCUMENT_BYTES", "MAX_NESTING_DEPTH", "MAX_VALUES", "read_document"]

# The configuration service stores values of up to 1 MB, so a larger document cannot be
# published.
MAX_DOCUMENT_BYTES = 2**20
# Settings nest 7 levels deep, so valid documents stay far below this bound. A fixed bound is
# used instead of the interpreter's recursion limit, because with that limit the result would
# depend on the depth of the call stack.
MAX_NESTING_DEPTH = 32
# A document of 1 MiB that is full of slots holds about 45,000 values. Without this bound, the
# check of a document with 500,000 invalid values took 7.5 s.
MAX_VALUES = 100_000
# Python raises an error when it converts very long integers. No setting needs this many
# digits.
_MAX_INTEGER_DIGITS = 40

# Matches a string literal. The closing quote is optional and the quantifiers are possessive,
# so that an unterminated string is scanned only once and the scan takes linear time.
_STRING = re.compile(r'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_BRACKET = re.compile(r"[\[\]{}]")


def read_document(text: bytes) -> Result[Any, tuple[Fault, ...]]:
    """Decode a JSON document of bounded size and nesting.

    :param text: UTF-8 text of the document.
    :returns: the decoded value, or the faults: a document that is too large, not UTF-8, nested
        too deeply, has too many values or is not valid JSON has one fault; otherwise there is
        a fault for each duplicate key, each number that is not finite and each integer with
        too many digits.

    >>> read_document(b'{"seat": 1}').unwrap()
    {'seat': 1}
    >>> print(read_document(b'{"a": {"b": 1, "b": 2}}').failure()[0])
    a.b: found a duplicate key, expected each key once
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return _refuse_document(f"{len(text)} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes")
    try:
        decoded = text.decode("utf-8")
    except UnicodeDecodeError as error:
        return _refuse_document(f"an invalid byte at offset {error.start}", "UTF-8 text")
    text_without_strings = _STRING.sub("", decoded)
    if _is_too_deep(text_without_strings):
        return _refuse_document(
            "nesting beyond the limit", f"at most {MAX_NESTING_DEPTH} nested objects and lists"
        )
    if text_without_strings.count(",") >= MAX_VALUES:
        return _refuse_document("more values", f"at most {MAX_VALUES} values")
    hooks = _DecoderHooks()
    try:
        value = json.loads(
            decoded,
            object_pairs_hook=hooks.build_object,
            parse_constant=hooks.refuse_constant,
            parse_float=hooks.parse_float,
            parse_int=hooks.parse_int,
        )
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return _refuse_document(f"an error at {position}", f"valid JSON ({error.msg})")
    if hooks.found_fault:
        faults = tuple(_list_marked_faults(value, ()))
        if faults:
            return Failure(faults)
    return Success(value)


def _refuse_document(found: str, expected: str) -> Failure[tuple[Fault, ...]]:
    return Failure((Fault("(document)", found, expected),))


def _is_too_deep(text_without_strings: str) -> bool:
    depth = 0
    for match in _BRACKET.finditer(text_without_strings):
        depth += 1 if match[0] in "[{" else -1
        if depth > MAX_NESTING_DEPTH:
            return True
    return False


@dataclass(frozen=True, slots=True)
class _RefusedNumber:
    text: str
    expected: str

    def __str__(self) -> str:
        return self.text


class _ObjectWithDuplicates(dict[str, Any]):
    duplicates: tuple[str, ...] = ()


class _DecoderHooks:
    """Hooks of the JSON decoder that mark faults in the decoded value.

    The decoder builds values from the inside out and passes no paths to its hooks. The hooks
    therefore put markers into the value and set ``found_fault``; only then does a second pass
    over the value compute the path of each marker.
    """

    def __init__(self) -> None:
        self.found_fault = False

    def build_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) == len(pairs):
            return members
        self.found_fault = True
        marked = _ObjectWithDuplicates(members)
        seen: set[str] = set()
        repeated = {key: None for key, _ in pairs if key in seen or seen.add(key)}
        marked.duplicates = tuple(repeated)
        return marked

    def refuse_constant(self, text: str) -> _RefusedNumber:
        return self._refuse(text, "a finite number")

    def parse_float(self, text: str) -> float | _RefusedNumber:
        value = float(text)
        return value if math.isfinite(value) else self._refuse(text, "a finite number")

    def parse_int(self, text: str) -> int | _RefusedNumber:
        if len(text) > _MAX_INTEGER_DIGITS:
            return self._refuse(text, f"a number of at most {_MAX_INTEGER_DIGITS} digits")
        return int(text)

    def _refuse(self, text: str, expected: str) -> _RefusedNumber:
        self.found_fault = True
        return _RefusedNumber(text, expected)


def _list_marked_faults(value: Any, location: tuple[str | int, ...]) -> Iterator[Fault]:
    if isinstance(value, _RefusedNumber):
        yield create_fault(location, value, value.expected)
    elif isinstance(value, dict):
        if isinstance(value, _ObjectWithDuplicates):
            for key in value.duplicates:
                yield Fault(format_path((*location, key)), "a duplicate key", "each key once")
        for key, member in value.items():
            yield from _list_marked_faults(member, (*location, key))
    elif isinstance(value, list):
        for index, member in enumerate(value):
            yield from _list_marked_faults(member, (*location, index))
