"""The only clock of the edge."""

from __future__ import annotations

import time

__all__ = ["read_clock_us"]


def read_clock_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1_000
