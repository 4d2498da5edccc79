"""Outgoing link of an instance to one peer address."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from ipaddress import ip_address
from random import Random

import structlog

from mimosapost.edge.peer_frames import (
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

__all__ = ["SILENCE_TIMEOUT_HEARTBEATS", "OutgoingLink", "split_address"]

# A link on which nothing arrives for this many heartbeats counts as broken.
SILENCE_TIMEOUT_HEARTBEATS = 3
_MAX_QUEUED_MESSAGES = 64
# Holds four subtrees of the largest size, 1 MB each. Dropped subtrees are requested again.
_MAX_QUEUED_BYTES = 5 * 2**20
# The longest backoff is below the 5 s within which service must recover from a lost peer.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_FAILED_LINK_RETENTION_S = 30.0
# Larger frames hold subtrees, which must not delay lease heartbeats queued behind them.
_MAX_SMALL_FRAME_BYTES = 64 * 2**10

_log = structlog.get_logger()


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port number.

    :param address: address of an instance. Host names are refused, because they would need a
        name lookup.
    :raises LinkError: if the host is not an IP address or the port is not valid.

    >>> split_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ip_address(host)
        port_number = int(port)
    except ValueError as error:
        raise LinkError(f"peer address {address!a} is not of the form ip:port") from error
    if not 0 < port_number < 2**16:
        raise LinkError(f"peer address {address!a} has a port outside 1 to 65535")
    return host, port_number


class OutgoingLink:
    """Connects to one peer address when messages are queued and sends them.

    The peer acknowledges each frame with an empty one, so that a connection that accepts
    writes but delivers nothing is detected. A link without messages is closed after 3
    heartbeats, unless the deadline of a forwarded query has not passed yet.

    :param own_identity: identity of this instance.
    :param peer: name of the instance expected at the address; empty for a seed peer, of which
        only the address is known.
    :param address: ``ip:port`` of that instance.
    :param on_hello: called with the Hello of the peer.
    :param on_lost: called with the name of the peer when the link broke, could not be opened or
        dropped a Forward.
    :param heartbeat_s: heartbeat interval in seconds.
    :param rng: random numbers for the jitter of the backoff.
    """

    def __init__(
        self,
        own_identity: InstanceIdentity,
        peer: str,
        address: str,
        on_hello: Callable[[Hello], None],
        on_lost: Callable[[str], None],
        heartbeat_s: float,
        rng: Random,
    ) -> None:
        self.peer = peer
        self.address = address
        self.dropped = 0
        self._own_identity = own_identity
        self._on_hello = on_hello
        self._on_lost = on_lost
        self._heartbeat_s = heartbeat_s
        self._silence_timeout_s = SILENCE_TIMEOUT_HEARTBEATS * heartbeat_s
        self._rng = rng
        self._queue: deque[tuple[PeerMessage, bytes]] = deque()
        self._queued_bytes = 0
        self._queue_filled = asyncio.Event()
        self._failures = 0
        self._in_backoff = False
        self._unacknowledged = 0
        self._forward_deadline_s = 0.0

    def enqueue(self, message: PeerMessage) -> None:
        """Queue a message and drop others if the queue is full.

        The oldest messages other than Forwards and their answers are dropped first; if none of
        them is left, the whole queue is dropped and the peer is reported as lost. The peer is
        also reported as lost if a Forward cannot be queued. The report applies to all queries
        that were forwarded to that peer, including those queued earlier.

        :param message: message to send.
        """
        try:
            frame = create_frame(encode_message(message))
        except CodecError as error:
            _log.error("peer_message_not_encoded", peer=self.peer, error=str(error))
            if isinstance(message, Forward):
                self._on_lost(self.peer)
            return
        if self._in_backoff and isinstance(message, Forward):
            self._on_lost(self.peer)
            return
        self._queue.append((message, frame))
        self._queued_bytes += len(frame)
        while len(self._queue) > _MAX_QUEUED_MESSAGES or self._queued_bytes > _MAX_QUEUED_BYTES:
            self._drop_one()
        self._queue_filled.set()

    def is_acknowledged(self) -> bool:
        """Return whether the peer acknowledged every message."""
        return not self._queue and not self._unacknowledged

    def abandon(self) -> None:
        """Report the peer as lost if a Forward is queued or unanswered, and clear the queue."""
        loop = asyncio.get_running_loop()
        queued = any(isinstance(message, Forward) for message, _ in self._queue)
        if queued or loop.time() < self._forward_deadline_s:
            self._on_lost(self.peer)
        self._clear()

    async def run(self) -> None:
        """Send queued messages, reconnecting after failures, until the link is not needed."""
        while await self._wait_for_messages():
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
                self._on_lost(self.peer)
                self._in_backoff = True
                await asyncio.sleep(self._get_backoff_s())
                self._in_backoff = False

    async def _wait_for_messages(self) -> bool:
        # An idle link without failures ends at once. After a failure the link waits for further
        # messages, because a new link to the same address would connect without any backoff.
        if self._queue:
            return True
        if not self._failures:
            return False
        try:
            async with asyncio.timeout(_FAILED_LINK_RETENTION_S):
                await self._queue_filled.wait()
        except TimeoutError:
            pass
        return bool(self._queue)

    async def _connect(self) -> None:
        async with AsyncExitStack() as stack:
            host, port = split_address(self.address)
            async with asyncio.timeout(self._silence_timeout_s):
                # The peer checks that the connection comes from the peer address in the Hello.
                reader, writer = await asyncio.open_connection(
                    host,
                    port,
                    local_addr=(split_address(self._own_identity.peer_address)[0], 0),
                )
            stack.callback(writer.transport.abort)
            writer.write(
                create_frame(encode_message(Hello(PROTOCOL_VERSION, self._own_identity)))
            )
            hello = await read_hello(reader, self._silence_timeout_s)
            # The name of a seed peer is not known before its Hello.
            if self.peer and hello.identity.name != self.peer:
                raise LinkError(
                    f"instance at address is {hello.identity.name!a}, expected {self.peer!a}"
                )
            if self._failures:
                _log.info("peer_link_restored", peer=self.peer, address=self.address)
            self._failures = 0
            self._unacknowledged = 0
            self._on_hello(hello)
            reader_task = asyncio.create_task(self._read_acknowledgements(reader))
            stack.callback(reader_task.cancel)
            writer_task = asyncio.create_task(self._write_queue(writer))
            stack.callback(writer_task.cancel)
            done, _ = await asyncio.wait(
                (reader_task, writer_task), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()

    async def _read_acknowledgements(self, reader: asyncio.StreamReader) -> None:
        while True:
            await read_frame(reader, self._silence_timeout_s, limit=0)
            self._unacknowledged -= 1

    async def _write_queue(self, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        idle_heartbeats = 0
        while (
            idle_heartbeats < SILENCE_TIMEOUT_HEARTBEATS
            or loop.time() < self._forward_deadline_s
            or self._queue
        ):
            if not self._queue:
                self._queue_filled.clear()
                try:
                    async with asyncio.timeout(self._heartbeat_s):
                        await self._queue_filled.wait()
                except TimeoutError:
                    idle_heartbeats += 1
                    self._unacknowledged += 1
                    writer.write(EMPTY_FRAME)
                    await writer.drain()
                continue
            idle_heartbeats = 0
            message, frame = self._pop_next()
            self._unacknowledged += 1
            if isinstance(message, Forward):
                due_s = loop.time() + message.remaining_us / 1e6
                self._forward_deadline_s = max(self._forward_deadline_s, due_s)
            writer.write(frame)
            await writer.drain()

    def _pop_next(self) -> tuple[PeerMessage, bytes]:
        sizes = (len(frame) for _, frame in self._queue)
        index = next((i for i, size in enumerate(sizes) if size <= _MAX_SMALL_FRAME_BYTES), 0)
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
        self._on_lost(self.peer)

    def _clear(self) -> None:
        self.dropped += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        self._unacknowledged = 0
        self._queue_filled.clear()
        self._forward_deadline_s = 0.0

    def _get_backoff_s(self) -> float:
        backoff_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** min(self._failures - 1, 10))
        return backoff_s * (0.5 + self._rng.random() / 2)
