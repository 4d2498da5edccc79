"""Registry of the merge functions that the settings of a service can name."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Merge", "find_merge", "list_merges", "register_merge"]

MergeParts = Callable[[Sequence[Any], int], Any]
CheckPart = Callable[[Any], bool]


@dataclass(frozen=True, slots=True)
class Merge:
    """Combine a merge function with a check that each part must pass before it is merged.

    A part is the list, number or mapping in the sub-answer of one leaf.

    :param merge_parts: function that merges parts in shard-map order; its second argument is
        the largest number of items to return, 0 for all.
    :param check_part: function that returns whether a part has the type and fields that
        ``merge_parts`` needs.
    """

    merge_parts: MergeParts
    check_part: CheckPart


_MERGES: dict[str, Merge] = {}


def register_merge(name: str, check_part: CheckPart) -> Callable[[MergeParts], MergeParts]:
    """Register a merge function under a name that service settings can use.

    :param name: name of the merge function in service settings.
    :param check_part: function that returns whether a part can be merged.
    :returns: decorator that registers the function and returns it unchanged.
    :raises ValueError: if a merge function is already registered under this name.
    """

    def decorate(function: MergeParts) -> MergeParts:
        if name in _MERGES:
            raise ValueError(f"merge function {name!r} is registered already")
        _MERGES[name] = Merge(function, check_part)
        return function

    return decorate


def find_merge(name: str) -> Merge:
    """Return the merge function registered under a name, with its check.

    :param name: name of the merge function in service settings.
    :raises KeyError: if no merge function is registered under this name.
    """
    return _MERGES[name]


def list_merges() -> tuple[str, ...]:
    """Return the names of the registered merge functions in alphabetical order."""
    return tuple(sorted(_MERGES))
