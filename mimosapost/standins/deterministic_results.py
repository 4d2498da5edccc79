"""Deterministic results of stand-in backend servers."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

__all__ = ["compute_items"]

_ENCODER = msgspec.json.Encoder(order="sorted")


def compute_items(service: str, leaf: str, body: Any, index_version: int) -> list[dict]:
    """Compute the items that a backend server returns for one leaf.

    Differential tests call this function to know what a query must return. The result
    depends on every parameter and on nothing else, so it differs if leafs or index versions
    are mixed up.

    :param service: name of the service.
    :param leaf: name of the leaf.
    :param body: query body; ``{"kind": "search", "count": n}`` gives ``n`` items (default 5),
        ``{"kind": "sum"}`` gives one item, whose score is the value of the leaf.
    :param index_version: version of the data.
    :returns: items with ``key`` and ``score``, highest score first.

    >>> compute_items("desk", "a", {"kind": "sum"}, 1)[0]["key"]
    'a'
    """
    hash_input = _ENCODER.encode([service, leaf, body, index_version])
    kind = body.get("kind", "search") if isinstance(body, dict) else "search"
    if kind == "sum":
        return [{"key": leaf, "score": xxhash.xxh64_intdigest(hash_input) % 1_000}]
    count = body.get("count", 5) if isinstance(body, dict) else 5
    items = [
        {
            "key": f"{leaf}/{index}",
            "score": xxhash.xxh64_intdigest(hash_input, index) % 1_000_000,
        }
        for index in range(count)
    ]
    items.sort(key=lambda item: (-item["score"], item["key"]))
    return items
