"""What the sockets of callers tell about the way to them."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable

from mimosapost.edge.clock import read_clock_us
from mimosapost.model.events import Event
from mimosapost.relay.events import ReplyDelivered

__all__ = ["DeliveryWatch", "count_unacknowledged", "read_round_trip_us"]

# Offset in bytes of the round trip in the structure tcp_info of Linux, after which its
# variation follows; both are unsigned and in microseconds.
_ROUND_TRIP_OFFSET = 68
_ROUND_TRIP_FORMAT = "=II"
# Longest round trip in microseconds that is believed.
_MAX_ROUND_TRIP_US = 1_000_000
# Time in seconds between two looks at the bytes that a caller has not acknowledged.
_POLL_SECONDS = 0.001
# Number of looks after which a reply counts as delayed as long as that.
_MAX_POLLS = 30


def read_round_trip_us(transport: asyncio.BaseTransport | None) -> tuple[int, int]:
    """Return the round trip of a connection and its variation in microseconds.

    :returns: two zeros if the system does not tell them.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sys.platform != "linux":
        return 0, 0
    size = _ROUND_TRIP_OFFSET + struct.calcsize(_ROUND_TRIP_FORMAT)
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        # The connection is closed, or is none of TCP.
        return 0, 0
    if len(info) < size:
        return 0, 0
    round_trip_us, variation_us = struct.unpack_from(
        _ROUND_TRIP_FORMAT, info, _ROUND_TRIP_OFFSET
    )
    if round_trip_us > _MAX_ROUND_TRIP_US:
        return 0, 0
    return round_trip_us, min(variation_us, round_trip_us)


class DeliveryWatch:
    """Watches one reply after the other until its caller has acknowledged it.

    Replies that are written meanwhile are not watched, so that the cost stays small at any
    rate of replies.

    :param handle: receives a ``ReplyDelivered`` for each reply that was watched.
    """

    def __init__(self, handle: Callable[[Event], None]) -> None:
        self._handle = handle
        self._timer: asyncio.TimerHandle | None = None

    def watch(self, transport: asyncio.BaseTransport, decided_us: int, is_new: bool) -> None:
        """Watch a reply that was just written, unless another one is watched.

        :param decided_us: monotonic time of the decision on the reply in microseconds.
        :param is_new: whether the reply is the first one of the connection.
        """
        if self._timer is not None or transport.is_closing():
            return
        round_trip_us, _ = read_round_trip_us(transport)
        written_us = read_clock_us()
        if not round_trip_us:
            self._handle(
                ReplyDelivered(written_us, decided_us, written_us, written_us, 0, is_new)
            )
            return

        def poll(polls: int) -> None:
            self._timer = None
            pending_bytes = _count_pending_bytes(transport)
            if pending_bytes is None:
                return
            if pending_bytes and polls < _MAX_POLLS:
                self._timer = loop.call_later(_POLL_SECONDS, poll, polls + 1)
                return
            now_us = read_clock_us()
            self._handle(
                ReplyDelivered(now_us, decided_us, written_us, now_us, round_trip_us, is_new)
            )

        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(round_trip_us / 1e6, poll, 0)

    def stop(self) -> None:
        """Forget the reply that is watched."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def count_unacknowledged(transport: asyncio.BaseTransport) -> int | None:
    """Return the number of bytes in the socket that the peer has not acknowledged.

    :returns: ``None`` if the connection is closed.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        sent = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return None
    return struct.unpack("=i", sent)[0]


def _count_pending_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the bytes that were not acknowledged, or ``None`` if the connection is closed."""
    unacknowledged = None if transport.is_closing() else count_unacknowledged(transport)
    if unacknowledged is None:
        return None
    return unacknowledged + transport.get_write_buffer_size()
