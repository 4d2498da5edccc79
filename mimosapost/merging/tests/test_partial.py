"""Which merges may be done in parts: at gatherers, and then of their results.

``docs/CAPACITY.md`` relies on it. The order of leafs is that of the shard map.
"""

import itertools
import random

import pytest

from mimosapost.merging import find_merge, list_merges


def merge_in_parts(name, parts, limit, cuts):
    """Merge runs of neighbouring leafs first, then the results."""
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
def test_merge_of_neighbouring_runs_is_the_merge_of_all(name, seed):
    """Guards against a merge whose result depends on who merged which neighbouring leafs."""
    rng = random.Random(seed)
    parts = create_parts(name, rng)
    cuts = sorted(rng.randrange(len(parts) + 1) for _ in range(rng.randrange(4)))
    limit = rng.randrange(6)
    assert merge_in_parts(name, parts, limit, cuts) == find_merge(name).merge_parts(
        parts, limit
    )


def test_every_merge_is_judged():
    """Guards against a new merge that gatherers would use without a check."""
    assert list_merges() == ("concat", "sum", "top_k")


def test_sum_of_rounded_sums_differs():
    """Guards against merging float sums in parts: each part rounds, the whole rounds once."""
    parts = [1e100, 1.0, -1e100, 1.0]
    assert find_merge("sum").merge_parts(parts, 0) == 2.0
    assert merge_in_parts("sum", parts, 0, [2]) != 2.0


@pytest.mark.parametrize(
    ("name", "parts"),
    [
        ("concat", [[1], [2], [3]]),
        ("top_k", [[{"key": "a", "score": 1, "leaf": n}] for n in range(3)]),
    ],
)
def test_merge_of_scattered_leafs_differs(name, parts):
    """Guards against gatherers of leafs that are no neighbours: order and ties change."""
    merge = find_merge(name).merge_parts
    scattered = merge([merge([parts[0], parts[2]], 0), merge([parts[1]], 0)], 0)
    assert scattered != merge(parts, 0)
