"""Merge function for numbers and for mappings of numbers: sum."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Any

from mimosapost.merging.registry import register_merge

__all__ = ["merge_sum"]


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_summable(items: Any) -> bool:
    if isinstance(items, Mapping):
        return all(_is_number(value) for value in items.values())
    return _is_number(items)


def _sum_numbers(values: Sequence[float]) -> float:
    if all(isinstance(value, int) for value in values):
        return sum(values)
    # math.fsum rounds only once, so the sum does not depend on the order of the leafs.
    return math.fsum(values)


@register_merge("sum", _is_summable)
def merge_sum(parts: Sequence[Any], limit: int) -> Any:  # noqa: ARG001
    """Return the sum of numbers, or for mappings the sum for each key.

    :param parts: one number, or one mapping of numbers, for each covered leaf.
    :param limit: unused, because a sum has no items to limit.
    :raises ValueError: if ``parts`` contains both numbers and mappings.

    >>> merge_sum([1, 2], 0)
    3
    >>> merge_sum([{"a": 1}, {"a": 2, "b": 3}], 0)
    {'a': 3, 'b': 3}
    """
    mappings = [part for part in parts if isinstance(part, Mapping)]
    if not mappings:
        return _sum_numbers(parts)
    if len(mappings) != len(parts):
        raise ValueError("cannot sum parts: found both numbers and mappings")
    keys = sorted({key for part in mappings for key in part})
    return {key: _sum_numbers([part[key] for part in mappings if key in part]) for key in keys}
