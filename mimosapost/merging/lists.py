"""Merge functions for lists: concatenation and ordered top-k."""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from itertools import chain
from typing import Any

from mimosapost.merging.registry import register_merge

__all__ = ["merge_concat", "merge_top_k"]


def _is_list(items: Any) -> bool:
    return isinstance(items, list)


def _is_scored_list(items: Any) -> bool:
    return isinstance(items, list) and all(_is_scored(item) for item in items)


def _is_scored(item: Any) -> bool:
    if not isinstance(item, Mapping):
        return False
    score = item.get("score")
    is_number = isinstance(score, int | float) and not isinstance(score, bool)
    return is_number and isinstance(item.get("key"), str)


def _sort_key(item: Mapping[str, Any]) -> tuple[float, str]:
    return (-item["score"], item["key"])


@register_merge("concat", _is_list)
def merge_concat(parts: Sequence[list[Any]], limit: int) -> list[Any]:
    """Concatenate lists in shard-map order.

    :param parts: one list for each covered leaf.
    :param limit: largest number of items to return, 0 for all.

    >>> merge_concat([[1, 2], [3]], 0)
    [1, 2, 3]
    """
    merged = list(chain.from_iterable(parts))
    return merged[:limit] if limit else merged


@register_merge("top_k", _is_scored_list)
def merge_top_k(parts: Sequence[list[Any]], limit: int) -> list[Any]:
    """Return the items with the highest scores, in descending order of score.

    Items with equal scores are sorted by key, so that the order is total.

    :param parts: one list of ``{"key", "score", ...}`` for each covered leaf, in any order.
    :param limit: largest number of items to return, 0 for all.

    >>> merge_top_k([[{"key": "a", "score": 1}], [{"key": "b", "score": 2}]], 1)
    [{'key': 'b', 'score': 2}]
    """
    items = chain.from_iterable(parts)
    if limit:
        return heapq.nsmallest(limit, items, key=_sort_key)
    return sorted(items, key=_sort_key)
