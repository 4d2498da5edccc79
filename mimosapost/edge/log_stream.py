"""Output for log lines that neither blocks the process nor grows without bound."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable

__all__ = ["LogStream"]

# Lines a second that are written; a busy instance ends about 50 requests a second.
LINES_PER_SECOND = 400
_BURST_LINES = 800
# Lines that wait for a reader of the output, about 300 bytes each.
_WAITING_LINES = 1_000


class LogStream:
    """Text stream over a file descriptor, for structlog's print logger.

    A line beyond the rate, or beyond those that wait for a slow reader, is dropped and counted;
    the next line that is written is preceded by one that tells how many.

    :param descriptor: open file descriptor; it is made non-blocking.
    :param read_clock_us: monotonic clock in microseconds.
    """

    def __init__(self, descriptor: int, read_clock_us: Callable[[], int]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._read_clock_us = read_clock_us
        self._tokens = float(_BURST_LINES)
        self._filled_us = read_clock_us()
        self._waiting: deque[bytes] = deque()
        self._part = ""
        self.dropped = 0
        self._untold = 0

    def write(self, text: str) -> int:
        """Take text; whole lines are written at once where the reader has room."""
        self._part += text
        while "\n" in self._part:
            line, _, self._part = self._part.partition("\n")
            self._write_line(line)
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as the reader has room."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; there is no other place to tell.
                self._waiting.clear()
                return
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()

    def _write_line(self, line: str) -> None:
        now_us = self._read_clock_us()
        gained = (now_us - self._filled_us) * LINES_PER_SECOND / 1e6
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._filled_us = now_us
        if self._tokens < 1 or len(self._waiting) >= _WAITING_LINES:
            self.dropped += 1
            self._untold += 1
            return
        self._tokens -= 1
        if self._untold:
            note = f'event="log_lines_dropped" lines={self._untold}\n'
            self._waiting.append(note.encode())
            self._untold = 0
        self._waiting.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()
