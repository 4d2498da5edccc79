"""Bounded reading of JSON documents."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from mimosapost.settings.faults import Fault, create_fault, format_path

__all__ = ["MAX_BYTES", "MAX_DEPTH", "MAX_VALUES", "read_document"]

# The config service carries values up to 1 MB.
MAX_BYTES = 2**20
# Settings nest 7 levels deep; the bound is independent of the interpreter's recursion limit,
# which would make the result depend on the depth of the calling stack.
MAX_DEPTH = 32
# A full document of slots holds about 45,000 values in 1 MiB. Without this bound a document of
# 500,000 wrong values took 7.5 s to check.
MAX_VALUES = 100_000
# Python refuses to convert very long integers; every setting fits into far fewer digits.
_MAX_DIGITS = 40

# The closing quote is optional and the quantifiers are possessive, so that an unterminated
# string is scanned once and the scan stays linear.
_STRING = re.compile(r'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_BRACKET = re.compile(r"[\[\]{}]")


def read_document(text: bytes) -> Result[Any, tuple[Fault, ...]]:
    """Decode a JSON document of bounded size and nesting.

    :param text: UTF-8 text of the document.
    :returns: the decoded value, or every fault found: too large, not UTF-8, nested too deeply,
        too many values, no JSON, duplicate keys, numbers that are not finite or too long.

    >>> read_document(b'{"seat": 1}').unwrap()
    {'seat': 1}
    >>> print(read_document(b'{"a": {"b": 1, "b": 2}}').failure()[0])
    a.b: found a duplicate key, expected each key once
    """
    if len(text) > MAX_BYTES:
        return _fail(f"{len(text)} bytes", f"at most {MAX_BYTES} bytes")
    try:
        decoded = text.decode("utf-8")
    except UnicodeDecodeError as error:
        return _fail(f"a wrong byte at offset {error.start}", "UTF-8 text")
    structure = _STRING.sub("", decoded)
    if _is_too_deep(structure):
        return _fail("deeper nesting", f"at most {MAX_DEPTH} nested objects and lists")
    if structure.count(",") >= MAX_VALUES:
        return _fail("more values", f"at most {MAX_VALUES} values")
    reader = _Reader()
    try:
        value = json.loads(
            decoded,
            object_pairs_hook=reader.build_object,
            parse_constant=reader.refuse_constant,
            parse_float=reader.parse_float,
            parse_int=reader.parse_int,
        )
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return _fail(f"an error at {position}", f"valid JSON ({error.msg})")
    if reader.suspicious:
        faults = tuple(_find_faults(value, ()))
        if faults:
            return Failure(faults)
    return Success(value)


def _fail(found: str, expected: str) -> Failure[tuple[Fault, ...]]:
    return Failure((Fault("(document)", found, expected),))


def _is_too_deep(structure: str) -> bool:
    depth = 0
    for match in _BRACKET.finditer(structure):
        depth += 1 if match[0] in "[{" else -1
        if depth > MAX_DEPTH:
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


class _Reader:
    """Hooks of the decoder, which mark faults where they stand.

    The decoder builds values from the inside out and gives hooks no path. So the hooks leave
    marks in the value, and a second pass finds their paths only where there are any.
    """

    def __init__(self) -> None:
        self.suspicious = False

    def build_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) == len(pairs):
            return members
        self.suspicious = True
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
        if len(text) > _MAX_DIGITS:
            return self._refuse(text, f"a number of at most {_MAX_DIGITS} digits")
        return int(text)

    def _refuse(self, text: str, expected: str) -> _RefusedNumber:
        self.suspicious = True
        return _RefusedNumber(text, expected)


def _find_faults(value: Any, location: tuple[str | int, ...]) -> Iterator[Fault]:
    if isinstance(value, _RefusedNumber):
        yield create_fault(location, value, value.expected)
    elif isinstance(value, dict):
        if isinstance(value, _ObjectWithDuplicates):
            for key in value.duplicates:
                yield Fault(format_path((*location, key)), "a duplicate key", "each key once")
        for key, member in value.items():
            yield from _find_faults(member, (*location, key))
    elif isinstance(value, list):
        for index, member in enumerate(value):
            yield from _find_faults(member, (*location, index))
