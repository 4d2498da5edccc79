"""Registry of merge functions; a service names the one that it uses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Merge", "find_merge", "list_merges", "register_merge"]

MergeParts = Callable[[Sequence[Any], int], Any]
CheckPart = Callable[[Any], bool]


@dataclass(frozen=True, slots=True)
class Merge:
    """A merge function and the check that a part must pass before it is merged.

    :param merge_parts: merges parts in shard-map order; the second argument is the largest
        number of items wanted, 0 for all.
    :param check_part: whether the items of one sub-answer have the shape this merge needs.
    """

    merge_parts: MergeParts
    check_part: CheckPart


_MERGES: dict[str, Merge] = {}


def register_merge(name: str, check_part: CheckPart) -> Callable[[MergeParts], MergeParts]:
    """Register a merge function under a name that service settings can use.

    :param name: name in the settings.
    :param check_part: shape check for the items of one sub-answer.
    :returns: decorator that leaves the function unchanged.
    :raises ValueError: if the name is taken.
    """

    def decorate(function: MergeParts) -> MergeParts:
        if name in _MERGES:
            raise ValueError(f"merge {name!r} is registered already")
        _MERGES[name] = Merge(function, check_part)
        return function

    return decorate


def find_merge(name: str) -> Merge:
    """Return the merge registered under a name.

    :param name: name in the settings.
    :raises KeyError: if no merge has that name.
    """
    return _MERGES[name]


def list_merges() -> tuple[str, ...]:
    """Return the registered names in alphabetical order."""
    return tuple(sorted(_MERGES))
