"""Merge functions: results, checks of parts and independence of the order of parts."""

import itertools

import pytest

from mimosapost.merging import find_merge, list_merges, register_merge


def create_scored_items(*pairs):
    return [{"key": key, "score": score} for key, score in pairs]


@pytest.mark.parametrize(
    ("name", "parts", "limit", "expected"),
    [
        pytest.param("concat", [], 0, [], id="concat-none"),
        pytest.param("concat", [[1, 2], [], [2]], 0, [1, 2, 2], id="concat-all"),
        pytest.param("concat", [[1, 2], [3]], 2, [1, 2], id="concat-limited"),
        pytest.param(
            "top_k",
            [create_scored_items(("a", 1)), create_scored_items(("b", 2))],
            0,
            create_scored_items(("b", 2), ("a", 1)),
            id="top-k-all",
        ),
        pytest.param(
            "top_k",
            [create_scored_items(("b", 1)), create_scored_items(("a", 1))],
            1,
            create_scored_items(("a", 1)),
            id="top-k-tie",
        ),
        pytest.param(
            "top_k",
            [create_scored_items(("a", 1)), create_scored_items(("b", 1.5))],
            9,
            create_scored_items(("b", 1.5), ("a", 1)),
            id="top-k-limit-above-count",
        ),
        pytest.param("sum", [1, 2, 3], 0, 6, id="sum-integers"),
        pytest.param("sum", [0.1, 0.2, 0.3], 0, 0.6, id="sum-floats"),
        pytest.param(
            "sum", [{"a": 1}, {"b": 2}, {"a": 3}], 1, {"a": 4, "b": 2}, id="sum-mappings"
        ),
        pytest.param("sum", [2**62, 2**62], 0, 2**63, id="sum-above-64-bits"),
    ],
)
def test_merge(name, parts, limit, expected):
    """Items must not be lost, duplicated or ordered differently for another order of parts."""
    merge = find_merge(name)
    assert merge.merge_parts(parts, limit) == expected
    assert all(merge.check_part(part) for part in parts)
    if name != "concat":
        for order in itertools.permutations(parts):
            assert merge.merge_parts(order, limit) == expected


@pytest.mark.parametrize(
    ("name", "part"),
    [
        pytest.param("concat", {}, id="concat-mapping"),
        pytest.param("concat", "text", id="concat-text"),
        pytest.param("concat", None, id="concat-none"),
        pytest.param("top_k", [1], id="top-k-number"),
        pytest.param("top_k", [{"key": "a"}], id="top-k-no-score"),
        pytest.param("top_k", [{"key": 1, "score": 1}], id="top-k-numeric-key"),
        pytest.param("top_k", [{"key": "a", "score": True}], id="top-k-boolean-score"),
        pytest.param("top_k", [{"key": "a", "score": "1"}], id="top-k-text-score"),
        pytest.param("sum", [1], id="sum-list"),
        pytest.param("sum", True, id="sum-boolean"),
        pytest.param("sum", {"a": "1"}, id="sum-text-value"),
        pytest.param("sum", None, id="sum-none"),
    ],
)
def test_check_part_refuses_malformed_parts(name, part):
    """A malformed part must not reach the merge function."""
    assert not find_merge(name).check_part(part)


def test_registry():
    """A name must not be registered twice, and an unknown name must not be accepted."""
    assert list_merges() == ("concat", "sum", "top_k")
    with pytest.raises(ValueError, match="registered already"):
        register_merge("sum", bool)(sum)
    with pytest.raises(KeyError):
        find_merge("median")
