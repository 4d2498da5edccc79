"""Peer links: frames over TCP between the instances of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import mode
import structlog

from mimosapost.edge.frames import (
    EMPTY_FRAME,
    LINK_ERRORS,
    LinkError,
    create_frame,
    read_frame,
    read_hello,
)
from mimosapost.edge.links import SILENT_HEARTBEATS, OutgoingLink, split_address
from mimosapost.membership.codec import PROTOCOL_VERSION, decode_message, encode_message
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import Event, PeerLost, PeerMessageArrived
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import Forward, Gossip, Hello

__all__ = ["PeerLinks"]

# 690 instances with one link each, and room for their replacements.
_MAX_LINKS = 2_048
# Connections that did not greet yet; each holds at most one small frame.
_MAX_UNGREETED = 128
_REFUSAL_LOG_US = 1_000_000

_log = structlog.get_logger()


class PeerLinks(mode.Service):
    """Listens for peers and keeps at most one outgoing link for each peer address.

    Messages flow from the connecting side to the listening side; the other direction carries
    the greeting and acknowledgements. Two instances that talk to each other use two links.

    :param identity: identity of this instance; it listens on its ``peer_address``.
    :param handle: takes events; it is never called from within :meth:`send`.
    :param clock_us: monotonic clock in microseconds.
    :param known: tells whether a name or a peer address belongs to the fleet.
    :param heartbeat_us: heartbeat interval in microseconds.
    :param rng: random numbers for the jitter of the backoff.
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        handle: Callable[[Event], None],
        clock_us: Callable[[], int],
        known: Callable[[str], bool],
        *,
        heartbeat_us: int = 500_000,
        rng: Random | None = None,
    ) -> None:
        super().__init__()
        self._identity = identity
        self._handle = handle
        self._clock_us = clock_us
        self._known = known
        self._heartbeat_s = heartbeat_us / 1e6
        self._silence_s = SILENT_HEARTBEATS * self._heartbeat_s
        self._rng = rng or Random()
        self._links: dict[str, OutgoingLink] = {}
        self._tasks_by_link: dict[OutgoingLink, asyncio.Future[None]] = {}
        self._greeted = 0
        self._ungreeted = 0
        self._refusals = 0
        self._refusal_logged_us: int | None = None

    async def on_start(self) -> None:
        """Listen on the peer address."""
        host, port = split_address(self._identity.peer_address)
        server = await asyncio.start_server(self._accept, host, port)
        self.async_exit_stack.push_async_callback(server.wait_closed)
        self.async_exit_stack.callback(server.close)

    async def on_stop(self) -> None:
        """Let queued messages reach their peers, for at most 3 heartbeats.

        The last answers to forwarded queries are among them.
        """
        steps = 10 * SILENT_HEARTBEATS
        for _ in range(steps):
            if all(link.is_settled() for link in self._links.values()):
                break
            await asyncio.sleep(self._silence_s / steps)

    def send(self, effect: SendPeer) -> None:
        """Send a message to another instance.

        :param effect: receiver and message. What cannot be sent is dropped; for a Forward
            ``PeerLost`` follows.
        """
        link = self._links.get(effect.address)
        if link is not None and link.peer != effect.peer:
            # Another instance took over the address.
            link.abandon()
            self._tasks_by_link[link].cancel()
            self._forget(link)
            link = None
        if link is None:
            if self.should_stop or len(self._links) >= _MAX_LINKS:
                if isinstance(effect.message, Forward):
                    self._report_lost(effect.peer)
                return
            link = self._create_link(effect.peer, effect.address)
        link.offer(effect.message)

    def describe(self) -> dict[str, int]:
        """Return counts for the status page."""
        return {
            "outgoing_links": len(self._links),
            "incoming_links": self._greeted,
            "messages_dropped": sum(link.dropped for link in self._links.values()),
            "peers_refused": self._refusals,
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
            self._forget(link)

    def _forget(self, link: OutgoingLink) -> None:
        if self._links.get(link.address) is link:
            del self._links[link.address]
        self._tasks_by_link.pop(link, None)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.should_stop:
            writer.transport.abort()
            return
        if self._ungreeted >= _MAX_UNGREETED or self._greeted >= _MAX_LINKS:
            self._refuse("too many connections", writer)
            writer.transport.abort()
            return
        self.add_future(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self._ungreeted += 1
            try:
                identity = await self._admit(reader, writer)
            except LINK_ERRORS as error:
                self._refuse(str(error) or type(error).__name__, writer)
                return
            finally:
                self._ungreeted -= 1
            self._greeted += 1
            try:
                await self._receive(identity, reader, writer)
            except (EOFError, OSError, TimeoutError):
                # The end of a link is reported by the side that sends over it.
                return
            except LINK_ERRORS as error:
                self._refuse(str(error), writer)
            finally:
                self._greeted -= 1
        finally:
            writer.transport.abort()

    async def _admit(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> InstanceIdentity:
        hello = await read_hello(reader, self._silence_s)
        identity = hello.identity
        if identity.name == self._identity.name:
            raise LinkError("a peer has the name of this instance")
        if not (self._known(identity.name) or self._known(identity.peer_address)):
            raise LinkError(f"unknown peer {identity.name!a}")
        # Answers go to the stated address, so it must be the one that the peer holds.
        if split_address(identity.peer_address)[0] != _get_host(writer):
            raise LinkError(f"peer {identity.name!a} states an address it does not hold")
        writer.write(create_frame(encode_message(Hello(PROTOCOL_VERSION, self._identity))))
        self._deliver(identity.name, hello)
        return identity

    async def _receive(
        self,
        identity: InstanceIdentity,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            body = await read_frame(reader, self._silence_s)
            if body:
                message = decode_message(body)
                if isinstance(message, Hello):
                    raise LinkError("second Hello on one link")
                if isinstance(message, Gossip) and message.identity != identity:
                    raise LinkError("gossip of another instance than the greeting's")
                if message is not None:
                    self._deliver(identity.name, message)
            writer.write(EMPTY_FRAME)
            async with asyncio.timeout(self._silence_s):
                await writer.drain()

    def _deliver(self, peer: str, message: object) -> None:
        self._handle(PeerMessageArrived(self._clock_us(), peer, message))

    def _report_lost(self, peer: str) -> None:
        # The reducer executes send() while it handles an event; it must not be entered again.
        asyncio.get_running_loop().call_soon(
            lambda: self._handle(PeerLost(self._clock_us(), peer))
        )

    def _refuse(self, reason: str, writer: asyncio.StreamWriter) -> None:
        self._refusals += 1
        now_us = self._clock_us()
        logged_us = self._refusal_logged_us
        if logged_us is not None and now_us - logged_us < _REFUSAL_LOG_US:
            return
        self._refusal_logged_us = now_us
        host = _get_host(writer)
        _log.warning("peer_refused", reason=reason, host=host, refused=self._refusals)


def _get_host(writer: asyncio.StreamWriter) -> str:
    # A connection that is already closed has no peer name.
    name = writer.get_extra_info("peername")
    return name[0] if name else ""
