"""Non-blocking TCP connections driven by the event loop's reader and writer callbacks.

An instance opens a connection for one send in five where many instances share many servers.
``loop.create_connection`` takes a task, a future and a transport for each; a channel takes two
callbacks.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Protocol

__all__ = ["Channel", "ChannelOwner"]

_READ_BYTES = 64 * 1024
# Time after which the kernel gives up bytes that the peer does not acknowledge.
_USER_TIMEOUT_MS = 3_000


class ChannelOwner(Protocol):
    """What hears of a channel's life; exactly one ``channel_ended`` unless it is aborted."""

    def channel_opened(self) -> None:
        """Take note that the connection stands."""

    def channel_read(self, data: bytes) -> None:
        """Take bytes."""

    def channel_ended(self, error: OSError | None) -> None:
        """Take note of the end: ``None`` if the peer closed in order."""


class Channel:
    """One connection to ``host:port``; it begins to connect at once.

    :param connect_seconds: time after which an attempt to connect ends with a timeout.
    """

    __slots__ = ("_loop", "_owner", "_sock", "_timer", "_unsent")

    def __init__(
        self, owner: ChannelOwner, host: str, port: int, connect_seconds: float
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._owner = owner
        self._unsent = b""
        self._sock: socket.socket | None = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        self._timer = self._loop.call_later(connect_seconds, self._time_out)
        status = self._sock.connect_ex((host, port))
        if status in (0, errno.EINPROGRESS):
            self._loop.add_writer(self._sock, self._connect)
        else:
            self._loop.call_soon(self._end, OSError(status, "connect"))

    @property
    def is_open(self) -> bool:
        """Whether the channel may carry bytes or is about to."""
        return self._sock is not None

    @property
    def has_unsent(self) -> bool:
        """Whether bytes wait because the peer does not read."""
        return bool(self._unsent)

    def write(self, data: bytes) -> None:
        """Write bytes; what the kernel does not take follows when it has room."""
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._loop.call_soon(self._end, error)
            return
        if sent < len(data):
            self._unsent = data[sent:]
            self._loop.add_writer(self._sock, self._write_rest)

    def abort(self) -> None:
        """Close at once; nothing more is reported."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._timer.cancel()
            self._loop.remove_reader(sock)
            self._loop.remove_writer(sock)
            sock.close()

    def _connect(self) -> None:
        self._loop.remove_writer(self._sock)
        self._timer.cancel()
        status = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if status:
            self._end(OSError(status, "connect"))
            return
        self._loop.add_reader(self._sock, self._read)
        self._owner.channel_opened()

    def _read(self) -> None:
        try:
            data = self._sock.recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._end(error)
            return
        if data:
            self._owner.channel_read(data)
        else:
            self._end(None)

    def _write_rest(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._end(error)
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._loop.remove_writer(self._sock)

    def _time_out(self) -> None:
        self._end(TimeoutError("connect"))

    def _end(self, error: OSError | None) -> None:
        if self._sock is not None:
            self.abort()
            self._owner.channel_ended(error)
