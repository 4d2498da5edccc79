"""Log output that never blocks the process and has bounded memory."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable

__all__ = ["LogStream"]

# A busy instance completes about 50 requests a second, so normal operation stays well below
# this rate.
LINES_PER_SECOND = 400
_BURST_LINES = 800
# Lines that are buffered while the reader of the output is slow. At about 300 bytes a line
# they take about 300 KB.
_MAX_PENDING_LINES = 1_000


class LogStream:
    """Text stream over a file descriptor, for structlog's print logger.

    A line above the rate limit, or one for which the buffer is full, is dropped and counted.
    The next line that is written is preceded by a line with the number of dropped lines.

    :param descriptor: open file descriptor, which is switched to non-blocking mode.
    :param read_clock_us: monotonic clock in microseconds.
    """

    def __init__(self, descriptor: int, read_clock_us: Callable[[], int]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._read_clock_us = read_clock_us
        self._tokens = float(_BURST_LINES)
        self._refilled_us = read_clock_us()
        self._pending: deque[bytes] = deque()
        self._partial_line = ""
        self.dropped = 0
        self._unreported = 0

    def write(self, text: str) -> int:
        """Buffer text and write its complete lines as far as the descriptor accepts them."""
        self._partial_line += text
        while "\n" in self._partial_line:
            line, _, self._partial_line = self._partial_line.partition("\n")
            self._write_line(line)
        return len(text)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output, and there is no other place to report that.
                self._pending.clear()
                return
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()

    def _write_line(self, line: str) -> None:
        now_us = self._read_clock_us()
        refill = (now_us - self._refilled_us) * LINES_PER_SECOND / 1e6
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_us = now_us
        if self._tokens < 1 or len(self._pending) >= _MAX_PENDING_LINES:
            self.dropped += 1
            self._unreported += 1
            return
        self._tokens -= 1
        if self._unreported:
            notice = f'event="log_lines_dropped" lines={self._unreported}\n'
            self._pending.append(notice.encode())
            self._unreported = 0
        self._pending.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()
