"""Check of a document against a frozen class and the registered rules."""

from __future__ import annotations

from collections.abc import Collection
from functools import cache
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from mimosapost.settings.documents import read_document
from mimosapost.settings.faults import Fault, create_fault
from mimosapost.settings.rules import DEFAULT_MERGES, apply_rules

__all__ = ["MAX_FAULTS", "check_document"]

# A document can hold 100,000 faults; people and logs need only the first.
MAX_FAULTS = 1000

T = TypeVar("T")


def check_document(
    kind: str,
    target: type[T],
    text: bytes,
    merges: Collection[str] = DEFAULT_MERGES,
    extra: tuple[str, str] | None = None,
) -> Result[T, tuple[Fault, ...]]:
    """Check a document; the result depends on nothing but the arguments.

    :param kind: kind of the rules: ``team``, ``fleet`` or ``local``.
    :param target: frozen data class that the document must match.
    :param text: UTF-8 text of the document.
    :param merges: names of the registered merges.
    :param extra: key at the root and the text that it must hold.
    :returns: the typed settings, or every fault at once, at most ``MAX_FAULTS`` and a note.
    """
    document = read_document(text)
    if not isinstance(document, Success):
        return Failure(_bound(document.failure()))
    value = document.unwrap()
    faults: list[Fault] = []
    checked: T | None = None
    try:
        # The text is parsed again, because strict checks accept arrays for tuples and objects
        # for data classes only from JSON.
        checked = _get_adapter(target).validate_json(text)
    except ValidationError as error:
        entries = error.errors(include_url=False)
        faults.extend(_translate(entry) for entry in entries if not _is_spurious(entry))
    typed = {fault.path for fault in faults}
    faults.extend(
        fault for fault in apply_rules(kind, value, merges) if fault.path not in typed
    )
    if extra is not None and isinstance(value, dict):
        key, wanted = extra
        found = value.get(key)
        if isinstance(found, str) and found != wanted:
            faults.append(create_fault((key,), found, f'"{wanted}", the name in the path'))
    if faults or checked is None:
        return Failure(_bound(tuple(dict.fromkeys(faults))))
    return Success(checked)


@cache
def _get_adapter(target: type[T]) -> TypeAdapter[T]:
    return TypeAdapter(target)


def _bound(faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    if len(faults) <= MAX_FAULTS:
        return faults
    rest = Fault("(document)", f"{len(faults) - MAX_FAULTS} more faults", "none")
    return (*faults[:MAX_FAULTS], rest)


_EXPECTED = {
    "dataclass_type": "an object",
    "dict_type": "an object",
    "tuple_type": "a list",
    "unexpected_keyword_argument": "no key of this name",
    "greater_than_equal": "at least {ge}",
    "less_than_equal": "at most {le}",
    "string_pattern_mismatch": "text that matches {pattern}",
    "literal_error": "{expected}",
    "too_short": "at least {min_length} items",
    "too_long": "at most {max_length} items",
    "string_type": "text",
    "int_type": "a whole number",
    "int_from_float": "a whole number",
    "float_type": "a number",
    "bool_type": "true or false",
}


def _is_spurious(entry: Any) -> bool:
    # pydantic counts only valid items, and so calls a list with one wrong item too short.
    return entry["type"] == "too_short" and len(entry["input"]) >= entry["ctx"]["min_length"]


def _translate(entry: Any) -> Fault:
    location = entry["loc"]
    kind = entry["type"]
    if kind == "missing":
        missing = create_fault(location, None, "a value, because the key is required")
        return Fault(missing.path, "nothing", missing.expected)
    if kind == "json_invalid":
        return Fault("(document)", "text that is not JSON", "valid JSON")
    template = _EXPECTED.get(kind)
    if template is not None:
        expected = template.format(**entry.get("ctx", {}))
    else:
        expected = entry["msg"].removeprefix("Input should be ")
    return create_fault(location, entry["input"], expected)
