"""Deterministic results of stand-in backend servers."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

__all__ = ["compute_items"]

_ENCODER = msgspec.json.Encoder(order="sorted")


def compute_items(service: str, leaf: str, body: Any, index_version: int) -> list[dict]:
    """Compute the result of a leaf from its inputs alone.

    Differential tests call this function to know what a query must return. The result
    depends on every parameter, so mixing leafs or index versions changes it.

    :param service: name of the service.
    :param leaf: name of the leaf.
    :param body: query body; ``{"kind": "search", "count": n}`` gives ``n`` items (default 5),
        ``{"kind": "sum"}`` gives one item, whose score is the value of the leaf.
    :param index_version: version of the data.
    :returns: items with ``key`` and ``score``, highest score first.

    >>> compute_items("desk", "a", {"kind": "sum"}, 1)[0]["key"]
    'a'
    """
    seed = _ENCODER.encode([service, leaf, body, index_version])
    kind = body.get("kind", "search") if isinstance(body, dict) else "search"
    if kind == "sum":
        return [{"key": leaf, "score": xxhash.xxh64_intdigest(seed) % 1_000}]
    count = body.get("count", 5) if isinstance(body, dict) else 5
    items = [
        {"key": f"{leaf}/{number}", "score": xxhash.xxh64_intdigest(seed, number) % 1_000_000}
        for number in range(count)
    ]
    items.sort(key=lambda item: (-item["score"], item["key"]))
    return items
