"""Bounds on what callers may make a process hold."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerBounds"]


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Bounds on what all callers, or one of them, may make a process hold.

    :param process_bytes: memory for heads, bodies and answers of all connections.
    :param connection_bytes: memory for those of one connection.
    :param connections: number of open connections.
    :param header_lines: lines of a head with its trailers; 0 for as many as its limit in bytes
        has room for.
    :param read_timeout_us: time in microseconds after which a caller that reads nothing of its
        answer is closed.
    """

    process_bytes: int = 48 * 1024 * 1024
    connection_bytes: int = 24 * 1024 * 1024
    connections: int = 1_900
    header_lines: int = 0
    read_timeout_us: int = 60_000_000

    def get_header_lines(self, header_bytes: int) -> int:
        """Return the maximum number of lines for a limit on the bytes of a head.

        A line takes at least a character, a colon and the end of the line.

        >>> CallerBounds().get_header_lines(8_192), CallerBounds(header_lines=64).header_lines
        (2048, 64)
        """
        return self.header_lines or header_bytes // len(b"a:\r\n")
