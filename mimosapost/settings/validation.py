"""Validation of a document against a frozen data class and the registered rules."""

from __future__ import annotations

from collections.abc import Collection
from functools import cache
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from mimosapost.settings.faults import Fault, create_fault
from mimosapost.settings.json_reader import read_document
from mimosapost.settings.rules import DEFAULT_MERGES, apply_rules

__all__ = ["MAX_FAULTS", "check_document"]

# A document can hold 100,000 faults. Only the first ones are reported, because operators and
# logs do not need the others.
MAX_FAULTS = 1000

T = TypeVar("T")


def check_document(
    kind: str,
    settings_class: type[T],
    text: bytes,
    merges: Collection[str] = DEFAULT_MERGES,
    required_entry: tuple[str, str] | None = None,
) -> Result[T, tuple[Fault, ...]]:
    """Check a document; the result depends only on the arguments.

    :param kind: kind of document whose rules apply: ``team``, ``fleet`` or ``local``.
    :param settings_class: frozen data class that the document must match.
    :param text: UTF-8 JSON text of the document.
    :param merges: names of the registered merge functions.
    :param required_entry: key of the root object and the string that it must hold.
    :returns: the typed settings, or all faults. If there are more than ``MAX_FAULTS``, an
        additional last entry states how many are omitted.
    """
    document = read_document(text)
    if not isinstance(document, Success):
        return Failure(_limit_faults(document.failure()))
    value = document.unwrap()
    faults: list[Fault] = []
    checked: T | None = None
    try:
        # pydantic parses the text again, because in strict mode it accepts arrays for tuples
        # and objects for data classes only in JSON input.
        checked = _get_adapter(settings_class).validate_json(text)
    except ValidationError as error:
        entries = error.errors(include_url=False)
        faults.extend(
            _convert_error(details) for details in entries if not _is_spurious(details)
        )
    paths_of_wrong_type = {fault.path for fault in faults}
    faults.extend(
        fault
        for fault in apply_rules(kind, value, merges)
        if fault.path not in paths_of_wrong_type
    )
    if required_entry is not None and isinstance(value, dict):
        key, required_text = required_entry
        found = value.get(key)
        if isinstance(found, str) and found != required_text:
            faults.append(
                create_fault((key,), found, f'"{required_text}", the name in the path')
            )
    if faults or checked is None:
        return Failure(_limit_faults(tuple(dict.fromkeys(faults))))
    return Success(checked)


@cache
def _get_adapter(settings_class: type[T]) -> TypeAdapter[T]:
    return TypeAdapter(settings_class)


def _limit_faults(faults: tuple[Fault, ...]) -> tuple[Fault, ...]:
    if len(faults) <= MAX_FAULTS:
        return faults
    omitted = Fault("(document)", f"{len(faults) - MAX_FAULTS} more faults", "none")
    return (*faults[:MAX_FAULTS], omitted)


_EXPECTED_BY_ERROR_TYPE = {
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


def _is_spurious(details: Any) -> bool:
    # pydantic counts only valid items and therefore reports a list of sufficient length as too
    # short if one of its items is invalid.
    return (
        details["type"] == "too_short" and len(details["input"]) >= details["ctx"]["min_length"]
    )


def _convert_error(details: Any) -> Fault:
    location = details["loc"]
    error_type = details["type"]
    if error_type == "missing":
        missing = create_fault(location, None, "a value, because the key is required")
        return Fault(missing.path, "nothing", missing.expected)
    if error_type == "json_invalid":
        return Fault("(document)", "text that is not JSON", "valid JSON")
    template = _EXPECTED_BY_ERROR_TYPE.get(error_type)
    if template is not None:
        expected = template.format(**details.get("ctx", {}))
    else:
        expected = details["msg"].removeprefix("Input should be ")
    return create_fault(location, details["input"], expected)
