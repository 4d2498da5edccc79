"""Fake backend servers, the items that they serve and a naive evaluation to compare with."""

from __future__ import annotations

import zlib
from collections import Counter
from dataclasses import dataclass


@dataclass(slots=True)
class FakeServer:
    """A backend server with a warm-up ramp.

    It counts the requests in flight and its answers, and doubles its capacity with each
    ``ramp_answers`` answers. ``held_snapshot`` is the map and index version that it serves.
    ``epoch`` is raised at each crash, so that work from before the crash is not answered.
    """

    address: str
    cold_limit: int
    median_us: int = 4_000
    boot_count: int = 1
    up: bool = True
    ramp_answers: int = 4
    answer_count: int = 0
    in_flight: int = 0
    silent_until_us: int = 0
    held_snapshot: tuple[int, int] = (1, 1)
    epoch: int = 0

    @property
    def request_capacity(self) -> int:
        """Number of concurrent requests that the server can handle.

        It is the cold limit at first and doubles with each ramp stage.
        """
        return self.cold_limit << min(10, self.answer_count // self.ramp_answers)

    @property
    def boot_id(self) -> str:
        """Identity of the server's current process; changes with each restart."""
        return f"{self.address}#{self.boot_count}"


def create_leaf_items(merge, leaf, nonce, version):
    """Return the items that each slot of a leaf serves for a request at a snapshot."""
    key = f"{leaf}/{nonce}"
    score = zlib.crc32(f"{key}{version}".encode()) % 5
    if merge == "sum":
        return {"total": score, key: version[1]}
    return [{"key": key, "score": score, "v": list(version)}]


def evaluate_naively(merge, leafs, nonce, version):
    """Return the merge of what one slot of each leaf serves at one snapshot."""
    parts = [create_leaf_items(merge, leaf, nonce, version) for leaf in leafs]
    if merge == "sum":
        totals: Counter = Counter()
        for part in parts:
            totals.update(part)
        return dict(totals)
    items = [item for part in parts for item in part]
    return sorted(items, key=lambda i: (-i["score"], i["key"])) if merge == "top_k" else items
