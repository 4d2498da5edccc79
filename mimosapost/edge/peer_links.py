"""Peer links: messages over TCP between the instances of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import mode
import structlog

from mimosapost.edge.outgoing_link import (
    SILENCE_TIMEOUT_HEARTBEATS,
    OutgoingLink,
    split_address,
)
from mimosapost.edge.peer_frames import (
    EMPTY_FRAME,
    LINK_ERRORS,
    LinkError,
    create_frame,
    read_frame,
    read_hello,
)
from mimosapost.membership.codec import PROTOCOL_VERSION, decode_message, encode_message
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import Event, PeerLost, PeerMessageArrived
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import Forward, Gossip, Hello

__all__ = ["PeerLinks"]

# Allows for a fleet of 690 instances with one link each, and for their replacements.
_MAX_LINKS = 2_048
# Incoming connections that have not sent a Hello yet. Each buffers at most one small frame.
_MAX_PENDING_HANDSHAKES = 128
_REFUSAL_LOG_INTERVAL_US = 1_000_000

_log = structlog.get_logger()


class PeerLinks(mode.Service):
    """Accepts links of peers and keeps at most one outgoing link for each peer address.

    Messages flow from the connecting side to the listening side; only the Hello and
    acknowledgements flow back. Two instances that send each other messages use two links.

    :param identity: identity of this instance, whose ``peer_address`` is the listen address.
    :param handle: handles events; never called from within :meth:`send`.
    :param read_clock_us: monotonic clock in microseconds.
    :param is_known: returns whether an identity belongs to the fleet.
    :param heartbeat_us: heartbeat interval in microseconds.
    :param rng: random numbers for the jitter of the backoff.
    :param stop_wait_s: time in seconds for which the end waits for acknowledgements; 3
        heartbeats by default.
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        is_known: Callable[[InstanceIdentity], bool],
        *,
        heartbeat_us: int = 500_000,
        rng: Random | None = None,
        stop_wait_s: float | None = None,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._is_known = is_known
        self._heartbeat_s = heartbeat_us / 1e6
        self._silence_timeout_s = SILENCE_TIMEOUT_HEARTBEATS * self._heartbeat_s
        self._rng = rng or Random()
        self._stop_wait_s = self._silence_timeout_s if stop_wait_s is None else stop_wait_s
        self._links: dict[str, OutgoingLink] = {}
        self._tasks_by_link: dict[OutgoingLink, asyncio.Future[None]] = {}
        self._incoming_links = 0
        self._pending_handshakes = 0
        self._refusal_count = 0
        self._refusal_logged_us: int | None = None

    async def on_start(self) -> None:
        """Listen on the peer address."""
        host, port = split_address(self._identity.peer_address)
        server = await asyncio.start_server(self._accept, host, port)
        self.async_exit_stack.push_async_callback(server.wait_closed)
        self.async_exit_stack.callback(server.close)

    async def on_stop(self) -> None:
        """Wait until peers acknowledged all queued messages, for a limited time.

        The queues may hold the last answers to forwarded queries.
        """
        steps = 10 * SILENCE_TIMEOUT_HEARTBEATS
        for _ in range(steps):
            if all(link.is_acknowledged() for link in self._links.values()):
                break
            await asyncio.sleep(self._stop_wait_s / steps)

    def send(self, effect: SendPeer) -> None:
        """Send a message to another instance.

        :param effect: receiver and message. A message that cannot be sent is dropped; if it is
            a Forward, the event ``PeerLost`` follows.
        """
        link = self._links.get(effect.address)
        if link is not None and link.peer != effect.peer:
            # Another instance now uses the address.
            link.abandon()
            self._tasks_by_link[link].cancel()
            self._remove_link(link)
            link = None
        if link is None:
            if self.should_stop or len(self._links) >= _MAX_LINKS:
                if isinstance(effect.message, Forward):
                    self._report_lost(effect.peer)
                return
            link = self._create_link(effect.peer, effect.address)
        link.enqueue(effect.message)

    def describe(self) -> dict[str, int]:
        """Return counts of links, dropped messages and refused peers for the status page."""
        return {
            "outgoing_links": len(self._links),
            "incoming_links": self._incoming_links,
            "messages_dropped": sum(link.dropped for link in self._links.values()),
            "peers_refused": self._refusal_count,
        }

    def _create_link(self, peer: str, address: str) -> OutgoingLink:
        link = OutgoingLink(
            self._identity,
            peer,
            address,
            lambda hello: self._deliver(peer, hello),
            self._report_lost,
            self._heartbeat_s,
            self._rng,
        )
        self._links[address] = link
        self._tasks_by_link[link] = self.add_future(self._run_link(link))
        return link

    async def _run_link(self, link: OutgoingLink) -> None:
        try:
            await link.run()
        finally:
            self._remove_link(link)

    def _remove_link(self, link: OutgoingLink) -> None:
        if self._links.get(link.address) is link:
            del self._links[link.address]
        self._tasks_by_link.pop(link, None)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.should_stop:
            writer.transport.abort()
            return
        if (
            self._pending_handshakes >= _MAX_PENDING_HANDSHAKES
            or self._incoming_links >= _MAX_LINKS
        ):
            self._refuse("limit of incoming links or of pending handshakes reached", writer)
            writer.transport.abort()
            return
        self.add_future(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self._pending_handshakes += 1
            try:
                identity = await self._perform_handshake(reader, writer)
            except LINK_ERRORS as error:
                self._refuse(str(error) or type(error).__name__, writer)
                return
            finally:
                self._pending_handshakes -= 1
            self._incoming_links += 1
            try:
                await self._receive_messages(identity, reader, writer)
            except (EOFError, OSError, TimeoutError):
                # The peer that sends over the link detects its end and reports the loss itself.
                return
            except LINK_ERRORS as error:
                self._refuse(str(error), writer)
            finally:
                self._incoming_links -= 1
        finally:
            writer.transport.abort()

    async def _perform_handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> InstanceIdentity:
        hello = await read_hello(reader, self._silence_timeout_s)
        identity = hello.identity
        if identity.name == self._identity.name:
            raise LinkError("peer states the name of this instance")
        if not self._is_known(identity):
            raise LinkError(f"peer {identity.name!a} is not a known instance of the fleet")
        # Answers are sent to the address in the Hello, so the peer must connect from that host.
        if split_address(identity.peer_address)[0] != _get_host(writer):
            raise LinkError(
                f"peer {identity.name!a} states a peer address with another host than its own"
            )
        writer.write(create_frame(encode_message(Hello(PROTOCOL_VERSION, self._identity))))
        self._deliver(identity.name, hello)
        return identity

    async def _receive_messages(
        self,
        identity: InstanceIdentity,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            body = await read_frame(reader, self._silence_timeout_s)
            if body:
                message = decode_message(body)
                if isinstance(message, Hello):
                    raise LinkError("peer sent a second Hello on one link")
                if isinstance(message, Gossip) and message.identity != identity:
                    raise LinkError(
                        "identity in the gossip differs from the one in the Hello of the link"
                    )
                if message is not None:
                    self._deliver(identity.name, message)
            writer.write(EMPTY_FRAME)
            async with asyncio.timeout(self._silence_timeout_s):
                await writer.drain()

    def _deliver(self, peer: str, message: object) -> None:
        self._handle(PeerMessageArrived(self._read_clock_us(), peer, message))

    def _report_lost(self, peer: str) -> None:
        # send() runs while the reducer handles an event; calling the handler directly would
        # re-enter the reducer.
        asyncio.get_running_loop().call_soon(
            lambda: self._handle(PeerLost(self._read_clock_us(), peer))
        )

    def _refuse(self, reason: str, writer: asyncio.StreamWriter) -> None:
        self._refusal_count += 1
        now_us = self._read_clock_us()
        logged_us = self._refusal_logged_us
        if logged_us is not None and now_us - logged_us < _REFUSAL_LOG_INTERVAL_US:
            return
        self._refusal_logged_us = now_us
        host = _get_host(writer)
        _log.warning("peer_refused", reason=reason, host=host, refused=self._refusal_count)


def _get_host(writer: asyncio.StreamWriter) -> str:
    # A connection that is already closed has no remote address.
    name = writer.get_extra_info("peername")
    return name[0] if name else ""
