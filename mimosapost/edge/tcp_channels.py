"""Non-blocking TCP connections driven by the event loop's reader and writer callbacks.

Where many instances share many servers, an instance opens a new connection for one send in
five. ``loop.create_connection`` needs a task, a future and a transport for each connection; a
channel needs only two callbacks.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Protocol

__all__ = ["Channel", "ChannelOwner"]

_READ_BYTES = 64 * 1024
# The kernel ends a connection with an error if the peer does not acknowledge written bytes
# within this time.
_USER_TIMEOUT_MS = 3_000


class ChannelOwner(Protocol):
    """Receiver of a channel's events.

    A channel calls ``channel_ended`` exactly once, unless it is aborted before.
    """

    def channel_opened(self) -> None:
        """Handle the establishment of the connection."""

    def channel_read(self, data: bytes) -> None:
        """Handle received bytes."""

    def channel_ended(self, error: OSError | None) -> None:
        """Handle the end of the connection or of the attempt to connect.

        :param error: cause of the end, or ``None`` if the peer closed its sending side.
        """


class Channel:
    """TCP connection to ``host:port``, which starts to connect when it is created.

    :param owner: receives the events of the channel.
    :param host: IPv4 address of the peer.
    :param port: TCP port of the peer.
    :param connect_seconds: time in seconds after which the attempt to connect fails with a
        ``TimeoutError``.
    :raises OSError: if no socket can be created, or if the address is invalid.
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
        self._timer = self._loop.call_later(connect_seconds, self._handle_connect_timeout)
        status = self._sock.connect_ex((host, port))
        if status in (0, errno.EINPROGRESS):
            self._loop.add_writer(self._sock, self._finish_connecting)
        else:
            self._loop.call_soon(self._close_and_report, OSError(status, "connect"))

    @property
    def is_open(self) -> bool:
        """Whether the channel is connected or connecting."""
        return self._sock is not None

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes are buffered because the kernel's send buffer is full."""
        return bool(self._unsent)

    def write(self, data: bytes) -> None:
        """Write bytes; buffer those that do not fit into the kernel's send buffer."""
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._loop.call_soon(self._close_and_report, error)
            return
        if sent < len(data):
            self._unsent = data[sent:]
            self._loop.add_writer(self._sock, self._write_unsent)

    def abort(self) -> None:
        """Close the connection immediately without further calls of the owner."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._timer.cancel()
            self._loop.remove_reader(sock)
            self._loop.remove_writer(sock)
            sock.close()

    def _finish_connecting(self) -> None:
        self._loop.remove_writer(self._sock)
        self._timer.cancel()
        status = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if status:
            self._close_and_report(OSError(status, "connect"))
            return
        self._loop.add_reader(self._sock, self._read)
        self._owner.channel_opened()

    def _read(self) -> None:
        try:
            data = self._sock.recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._close_and_report(error)
            return
        if data:
            self._owner.channel_read(data)
        else:
            self._close_and_report(None)

    def _write_unsent(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._close_and_report(error)
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._loop.remove_writer(self._sock)

    def _handle_connect_timeout(self) -> None:
        self._close_and_report(TimeoutError("connect"))

    def _close_and_report(self, error: OSError | None) -> None:
        if self._sock is not None:
            self.abort()
            self._owner.channel_ended(error)
