"""Monotonic clock that times all events of an instance."""

from __future__ import annotations

import time

__all__ = ["read_clock_us"]


def read_clock_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1_000
