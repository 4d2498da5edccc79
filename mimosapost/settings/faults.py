"""Faults of a settings document, formatted on one line each, with secrets masked."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Fault", "create_fault", "format_path", "format_value"]

Location = Sequence[str | int]

_MAX_SHOWN_CHARACTERS = 60
_SECRET_KEY_PATTERN = re.compile(
    r"token|secret|password|passwd|credential|authorization", re.IGNORECASE
)
_PLAIN_KEY_PATTERN = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_-]*")
_URL_USERINFO_PATTERN = re.compile(r"//[^/@]*@")


@dataclass(frozen=True, slots=True)
class Fault:
    """One reason for which a document is refused.

    :param path: path of the value in the document, for example ``services[0].leafs[2].name``.
    :param value: the value that was found: printable, shortened, secrets masked.
    :param expected: description of the values that are valid at the path.

    >>> str(Fault("services[0].connections", "0", "at least 1"))
    'services[0].connections: found 0, expected at least 1'
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.value}, expected {self.expected}"


def create_fault(location: Location, value: Any, expected: str) -> Fault:
    """Return a fault whose path and value are safe to print on one line.

    :param location: keys and list indexes from the root of the document to the value.
    :param value: the decoded JSON value that was found.
    :param expected: description of the values that are valid at this location.
    :returns: the fault.
    """
    return Fault(format_path(location), format_value(location, value), expected)


def format_path(location: Location) -> str:
    """Return a location as text, with unusual keys quoted and long keys shortened.

    :param location: keys and list indexes from the root of the document to the value.
    :returns: one printable line; ``(document)`` for the root.

    >>> format_path(("services", 0, "name"))
    'services[0].name'
    """
    segments: list[str] = []
    for key in location:
        if isinstance(key, int):
            segments.append(f"[{key}]")
        elif _PLAIN_KEY_PATTERN.fullmatch(key) and len(key) <= _MAX_SHOWN_CHARACTERS:
            segments.append(f".{key}" if segments else key)
        else:
            segments.append(f"[{_quote(key)}]")
    return "".join(segments) or "(document)"


def format_value(location: Location, value: Any) -> str:
    """Return a short printable form of a value.

    A value at or below a key that names a secret is masked. Of objects and lists only the size
    is shown, because their members could be secrets.

    :param location: keys and list indexes from the root of the document to the value.
    :param value: the decoded JSON value.
    :returns: one printable line.

    >>> format_value(("callers", 0, "token_digest"), "abc")
    '***'
    """
    if any(isinstance(key, str) and _SECRET_KEY_PATTERN.search(key) for key in location):
        return "***"
    if isinstance(value, Mapping):
        return f"an object of {len(value)} keys"
    if isinstance(value, (list, tuple)):
        return f"a list of {len(value)} items"
    if isinstance(value, str):
        return _quote(_URL_USERINFO_PATTERN.sub("//***@", value))
    if value is None or isinstance(value, bool):
        return json.dumps(value)
    return _shorten(str(value))


def _quote(text: str) -> str:
    # json.dumps escapes everything but printable ASCII, so that control characters and lone
    # surrogates reach neither logs nor terminals.
    return json.dumps(_shorten(text))


def _shorten(text: str) -> str:
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else f"{text[:_MAX_SHOWN_CHARACTERS]}..."
