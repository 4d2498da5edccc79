"""Log whose lines of one event are bounded in number, for events that callers cause."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from mimosapost.edge.logs import Logs

__all__ = ["LimitedLogs"]

# Lines of one event that are written in each period, and its length in seconds.
_MAX_LINES = 20
_PERIOD_SECONDS = 10.0


class LimitedLogs:
    """Writes the first lines of each event in a period and counts the others.

    The first line of a later period names the number of those that were left out.

    :param logs: log of the process.
    :param read_clock: returns the time of a monotonic clock in seconds.
    """

    def __init__(self, logs: Logs, read_clock: Callable[[], float]) -> None:
        self._logs = logs
        self._read_clock = read_clock
        # Start of the period and lines in it, by event.
        self._periods: dict[str, tuple[float, int]] = {}

    def write(self, event: str, fields: Mapping[str, Any]) -> None:
        """Write a line unless there were too many of its event."""
        now = self._read_clock()
        start, count = self._periods.get(event, (now, 0))
        left_out = 0
        if now - start >= _PERIOD_SECONDS:
            left_out = max(0, count - _MAX_LINES)
            start, count = now, 0
        self._periods[event] = (start, count + 1)
        if count < _MAX_LINES:
            more = {"left_out": left_out} if left_out else {}
            self._logs.write(event, {**fields, **more})
