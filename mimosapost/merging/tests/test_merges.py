"""Merges: results, shape checks and independence of the order of parts."""

import itertools

import pytest

from mimosapost.merging import find_merge, list_merges, register_merge


def scored(*pairs):
    return [{"key": key, "score": score} for key, score in pairs]


@pytest.mark.parametrize(
    ("name", "parts", "limit", "expected"),
    [
        ("concat", [], 0, []),
        ("concat", [[1, 2], [], [2]], 0, [1, 2, 2]),
        ("concat", [[1, 2], [3]], 2, [1, 2]),
        ("top_k", [scored(("a", 1)), scored(("b", 2))], 0, scored(("b", 2), ("a", 1))),
        ("top_k", [scored(("b", 1)), scored(("a", 1))], 1, scored(("a", 1))),
        ("top_k", [scored(("a", 1)), scored(("b", 1.5))], 9, scored(("b", 1.5), ("a", 1))),
        ("sum", [1, 2, 3], 0, 6),
        ("sum", [0.1, 0.2, 0.3], 0, 0.6),
        ("sum", [{"a": 1}, {"b": 2}, {"a": 3}], 1, {"a": 4, "b": 2}),
        ("sum", [2**62, 2**62], 0, 2**63),
    ],
)
def test_merge(name, parts, limit, expected):
    """Guards against lost, doubled or wrongly ordered items."""
    merge = find_merge(name)
    assert merge.merge_parts(parts, limit) == expected
    assert all(merge.check_part(part) for part in parts)
    if name != "concat":
        for order in itertools.permutations(parts):
            assert merge.merge_parts(order, limit) == expected


@pytest.mark.parametrize(
    ("name", "part"),
    [
        ("concat", {}),
        ("concat", "text"),
        ("concat", None),
        ("top_k", [1]),
        ("top_k", [{"key": "a"}]),
        ("top_k", [{"key": 1, "score": 1}]),
        ("top_k", [{"key": "a", "score": True}]),
        ("top_k", [{"key": "a", "score": "1"}]),
        ("sum", [1]),
        ("sum", True),
        ("sum", {"a": "1"}),
        ("sum", None),
    ],
)
def test_shape_check(name, part):
    """Guards against a malformed part that reaches the merge."""
    assert not find_merge(name).check_part(part)


def test_registry():
    """Guards against two merges of one name, and unknown names that pass."""
    assert list_merges() == ("concat", "sum", "top_k")
    with pytest.raises(ValueError, match="registered already"):
        register_merge("sum", bool)(sum)
    with pytest.raises(KeyError):
        find_merge("median")
