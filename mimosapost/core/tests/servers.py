"""Fake backend servers, what they hold, and its naive evaluation."""

from __future__ import annotations

import zlib
from collections import Counter
from dataclasses import dataclass


@dataclass(slots=True)
class FakeServer:
    """A backend server that runs requests and records what it ran."""

    address: str
    cold_limit: int
    median_us: int = 4_000
    boots: int = 1
    up: bool = True
    ramp_answers: int = 4
    answered: int = 0
    working: int = 0
    silent_until_us: int = 0
    held: tuple[int, int] = (1, 1)
    epoch: int = 0

    @property
    def bearable(self) -> int:
        """Requests that the server bears at a time; doubles with each ramp stage."""
        return self.cold_limit << min(10, self.answered // self.ramp_answers)

    @property
    def boot_id(self) -> str:
        """Identity of this run of the server."""
        return f"{self.address}#{self.boots}"


def create_content(merge, leaf, nonce, version):
    """Return what any slot of a leaf holds for a request at a snapshot."""
    key = f"{leaf}/{nonce}"
    score = zlib.crc32(f"{key}{version}".encode()) % 5
    if merge == "sum":
        return {"total": score, key: version[1]}
    return [{"key": key, "score": score, "v": list(version)}]


def evaluate_naively(merge, leafs, nonce, version):
    """Ask one slot of each leaf at one snapshot, one after the other, and merge."""
    parts = [create_content(merge, leaf, nonce, version) for leaf in leafs]
    if merge == "sum":
        totals: Counter = Counter()
        for part in parts:
            totals.update(part)
        return dict(totals)
    items = [item for part in parts for item in part]
    return sorted(items, key=lambda i: (-i["score"], i["key"])) if merge == "top_k" else items
