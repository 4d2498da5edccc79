"""Merge functions in two steps: gatherers merge some leafs each, then their results are merged.

The tests show for which leafs this gives the result of a single merge, which
``docs/CAPACITY.md`` relies on. Leafs are in shard-map order.
"""

import itertools
import random

import pytest

from mimosapost.merging import find_merge, list_merges


def merge_in_parts(name, parts, limit, cuts):
    """Merge runs of consecutive leafs first, then the results of the runs."""
    merge = find_merge(name).merge_parts
    edges = [0, *cuts, len(parts)]
    runs = [parts[a:b] for a, b in itertools.pairwise(edges) if a < b]
    return merge([merge(run, limit) for run in runs], limit)


def create_parts(name, rng):
    leafs = rng.randrange(2, 12)
    if name == "sum":
        return [{rng.choice("abc"): rng.randrange(-9, 9)} for _ in range(leafs)]
    return [
        [
            {"key": f"k{rng.randrange(4)}", "score": rng.randrange(4), "leaf": [leaf, item]}
            for item in range(rng.randrange(5))
        ]
        for leaf in range(leafs)
    ]


@pytest.mark.parametrize("name", ["concat", "sum", "top_k"])
@pytest.mark.parametrize("seed", range(40))
def test_merge_of_consecutive_runs_equals_merge_of_all(name, seed):
    """The result must not depend on which gatherer merged which consecutive leafs."""
    rng = random.Random(seed)
    parts = create_parts(name, rng)
    cuts = sorted(rng.randrange(len(parts) + 1) for _ in range(rng.randrange(4)))
    limit = rng.randrange(6)
    assert merge_in_parts(name, parts, limit, cuts) == find_merge(name).merge_parts(
        parts, limit
    )


def test_every_merge_function_is_covered():
    """A new merge function must be tested here before gatherers use it."""
    assert list_merges() == ("concat", "sum", "top_k")


def test_sum_of_rounded_sums_differs():
    """Floats must not be summed in two steps: each step rounds, a single sum rounds once."""
    parts = [1e100, 1.0, -1e100, 1.0]
    assert find_merge("sum").merge_parts(parts, 0) == 2.0
    assert merge_in_parts("sum", parts, 0, [2]) != 2.0


@pytest.mark.parametrize(
    ("name", "parts"),
    [
        pytest.param("concat", [[1], [2], [3]], id="concat"),
        pytest.param(
            "top_k", [[{"key": "a", "score": 1, "leaf": n}] for n in range(3)], id="top-k"
        ),
    ],
)
def test_merge_of_scattered_leafs_differs(name, parts):
    """A gatherer must not merge leafs that are not consecutive: order and ties would change."""
    merge = find_merge(name).merge_parts
    scattered = merge([merge([parts[0], parts[2]], 0), merge([parts[1]], 0)], 0)
    assert scattered != merge(parts, 0)
