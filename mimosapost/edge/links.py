"""Outgoing link to one peer address."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from ipaddress import ip_address
from random import Random

import structlog

from mimosapost.edge.frames import (
    EMPTY_FRAME,
    LINK_ERRORS,
    LinkError,
    create_frame,
    read_frame,
    read_hello,
)
from mimosapost.membership.codec import PROTOCOL_VERSION, CodecError, encode_message
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import Forward, ForwardAnswer, Hello, PeerMessage

__all__ = ["SILENT_HEARTBEATS", "OutgoingLink", "split_address"]

SILENT_HEARTBEATS = 3
_MAX_QUEUED = 64
# Room for four subtrees of the largest size; dropped ones are requested again.
_MAX_QUEUED_BYTES = 5 * 2**20
# The longest wait stays below the 5 s within which service must recover from a lost peer.
_FIRST_BACKOFF_S = 0.1
_LAST_BACKOFF_S = 2.0
_FORGET_S = 30.0
# Larger messages are subtrees, which must not delay lease heartbeats queued behind them.
_SMALL_BYTES = 64 * 2**10

_log = structlog.get_logger()


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    :param address: address of an instance, which must not need a name lookup.
    :raises LinkError: if it is not an IP number and a port.

    >>> split_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ip_address(host)
        number = int(port)
    except ValueError as error:
        raise LinkError(f"address {address!a} is not ip:port") from error
    if not 0 < number < 2**16:
        raise LinkError(f"address {address!a} has a port outside 1 to 65535")
    return host, number


class OutgoingLink:
    """Connects when there is something to send and carries messages to one address.

    Each frame is acknowledged by an empty one, so a connection that accepts writes but
    reaches nobody is found. A link with nothing to send is closed after 3 heartbeats, unless
    an answer to a forwarded query is still possible.

    :param own: identity of this instance.
    :param peer: name of the instance expected at the address.
    :param address: ``ip:port`` of that instance.
    :param greeted: called with the greeting of the other end.
    :param lost: called when the link broke, could not be opened or dropped a Forward.
    :param heartbeat_s: heartbeat interval in seconds.
    :param rng: random numbers for the jitter of the backoff.
    """

    def __init__(
        self,
        own: InstanceIdentity,
        peer: str,
        address: str,
        greeted: Callable[[Hello], None],
        lost: Callable[[str], None],
        heartbeat_s: float,
        rng: Random,
    ) -> None:
        self.peer = peer
        self.address = address
        self.dropped = 0
        self._own = own
        self._greeted = greeted
        self._lost = lost
        self._heartbeat_s = heartbeat_s
        self._silence_s = SILENT_HEARTBEATS * heartbeat_s
        self._rng = rng
        self._queue: deque[tuple[PeerMessage, bytes]] = deque()
        self._queued_bytes = 0
        self._filled = asyncio.Event()
        self._failures = 0
        self._waiting = False
        self._unacknowledged = 0
        self._held_until_s = 0.0

    def offer(self, message: PeerMessage) -> None:
        """Queue a message, dropping the oldest gossip or heartbeat of a full queue.

        A Forward that cannot be queued is reported as a lost peer, as are those queued before
        it, because the loss of a peer concerns every query forwarded to it.

        :param message: message to send.
        """
        try:
            frame = create_frame(encode_message(message))
        except CodecError as error:
            _log.error("peer_message_not_encoded", peer=self.peer, error=str(error))
            if isinstance(message, Forward):
                self._lost(self.peer)
            return
        if self._waiting and isinstance(message, Forward):
            self._lost(self.peer)
            return
        self._queue.append((message, frame))
        self._queued_bytes += len(frame)
        while len(self._queue) > _MAX_QUEUED or self._queued_bytes > _MAX_QUEUED_BYTES:
            self._drop_one()
        self._filled.set()

    def is_settled(self) -> bool:
        """Return whether the other end acknowledged every message."""
        return not self._queue and not self._unacknowledged

    def abandon(self) -> None:
        """Report the loss of queued and open Forwards before the link is given up."""
        loop = asyncio.get_running_loop()
        queued = any(isinstance(message, Forward) for message, _ in self._queue)
        if queued or loop.time() < self._held_until_s:
            self._lost(self.peer)
        self._clear()

    async def run(self) -> None:
        """Serve the queue until the link is not needed any more."""
        while await self._wait_filled():
            try:
                await self._connect()
            except LINK_ERRORS as error:
                self._failures += 1
                if self._failures == 1:
                    reason = str(error) or type(error).__name__
                    _log.warning(
                        "peer_link_lost", peer=self.peer, address=self.address, error=reason
                    )
                self._clear()
                self._lost(self.peer)
                self._waiting = True
                await asyncio.sleep(self._get_backoff_s())
                self._waiting = False

    async def _wait_filled(self) -> bool:
        # An idle link without failures is forgotten at once. After a failure it is kept for a
        # while, because a new one would connect without any backoff.
        if self._queue:
            return True
        if not self._failures:
            return False
        try:
            async with asyncio.timeout(_FORGET_S):
                await self._filled.wait()
        except TimeoutError:
            pass
        return bool(self._queue)

    async def _connect(self) -> None:
        async with AsyncExitStack() as stack:
            host, port = split_address(self.address)
            async with asyncio.timeout(self._silence_s):
                # The source address is the own peer address, which the other end checks.
                reader, writer = await asyncio.open_connection(
                    host, port, local_addr=(split_address(self._own.peer_address)[0], 0)
                )
            stack.callback(writer.transport.abort)
            writer.write(create_frame(encode_message(Hello(PROTOCOL_VERSION, self._own))))
            hello = await read_hello(reader, self._silence_s)
            # A seed peer is known by its address only, until it has stated its name.
            if self.peer and hello.identity.name != self.peer:
                raise LinkError(f"instance {hello.identity.name!a} answers at this address")
            if self._failures:
                _log.info("peer_link_restored", peer=self.peer, address=self.address)
            self._failures = 0
            self._unacknowledged = 0
            self._greeted(hello)
            acknowledged = asyncio.create_task(self._read_acknowledgements(reader))
            stack.callback(acknowledged.cancel)
            writing = asyncio.create_task(self._write_queue(writer))
            stack.callback(writing.cancel)
            done, _ = await asyncio.wait(
                (acknowledged, writing), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()

    async def _read_acknowledgements(self, reader: asyncio.StreamReader) -> None:
        while True:
            await read_frame(reader, self._silence_s, limit=0)
            self._unacknowledged -= 1

    async def _write_queue(self, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        idle = 0
        while idle < SILENT_HEARTBEATS or loop.time() < self._held_until_s or self._queue:
            if not self._queue:
                self._filled.clear()
                try:
                    async with asyncio.timeout(self._heartbeat_s):
                        await self._filled.wait()
                except TimeoutError:
                    idle += 1
                    self._unacknowledged += 1
                    writer.write(EMPTY_FRAME)
                    await writer.drain()
                continue
            idle = 0
            message, frame = self._take_next()
            self._unacknowledged += 1
            if isinstance(message, Forward):
                due_s = loop.time() + message.remaining_us / 1e6
                self._held_until_s = max(self._held_until_s, due_s)
            writer.write(frame)
            await writer.drain()

    def _take_next(self) -> tuple[PeerMessage, bytes]:
        sizes = (len(frame) for _, frame in self._queue)
        index = next((i for i, size in enumerate(sizes) if size <= _SMALL_BYTES), 0)
        message, frame = self._queue[index]
        del self._queue[index]
        self._queued_bytes -= len(frame)
        return message, frame

    def _drop_one(self) -> None:
        for index, (message, frame) in enumerate(self._queue):
            if not isinstance(message, Forward | ForwardAnswer):
                del self._queue[index]
                self._queued_bytes -= len(frame)
                self.dropped += 1
                return
        _log.warning("peer_queue_full", peer=self.peer, address=self.address)
        self._clear()
        self._lost(self.peer)

    def _clear(self) -> None:
        self.dropped += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        self._unacknowledged = 0
        self._filled.clear()
        self._held_until_s = 0.0

    def _get_backoff_s(self) -> float:
        full = min(_LAST_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** min(self._failures - 1, 10))
        return full * (0.5 + self._rng.random() / 2)
