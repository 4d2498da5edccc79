"""Tests of peer links to correct and faulty peers on loopback."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest

from mimosapost.edge.peer_frames import EMPTY_FRAME, create_frame
from mimosapost.edge.peer_links import PeerLinks
from mimosapost.membership.codec import encode_message
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import PeerLost, PeerMessageArrived
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import (
    Forward,
    ForwardAnswer,
    Gossip,
    Heartbeat,
    Hello,
    SubtreeReply,
)

# Heartbeat for tests of silent peers. Other tests use the usual heartbeat, so that a peer on a
# busy machine is not taken for a silent one.
SHORT_HEARTBEAT_US = 60_000


def find_free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def create_identity(name, seat=0):
    return InstanceIdentity(name, seat + 1, seat, "a", "r", find_free_address())


def encode_frame(message):
    return create_frame(encode_message(message))


@asynccontextmanager
async def run_links(name="near", is_known=lambda _: True, heartbeat_us=500_000):
    """Run the peer links of one instance; yield them, their events and the identity.

    ``is_known`` decides from an identity whether a peer may connect.
    """
    events = asyncio.Queue()
    links = PeerLinks(
        create_identity(name),
        events.put_nowait,
        lambda: time.monotonic_ns() // 1_000,
        is_known,
        heartbeat_us=heartbeat_us,
        rng=Random(1),
    )
    await links.start()
    try:
        yield links, events, links._identity
    finally:
        await links.stop()


class ScriptedPeer:
    """Listening peer that sends a Hello and then behaves as the test defines."""

    def __init__(self, hello, behave):
        self.identity = hello.identity
        self.connections = 0
        self._hello = hello
        self._behave = behave

    async def __aenter__(self):
        host, port = self.identity.peer_address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            size = int.from_bytes(await reader.readexactly(4), "big")
            await reader.readexactly(size)
            writer.write(encode_frame(self._hello))
            await self._behave(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.transport.abort()


async def wait_for_event(events, event_type):
    while True:
        event = await events.get()
        if isinstance(event, event_type):
            return event


async def read_all(reader):
    try:
        return await reader.read(-1)
    except ConnectionError:
        return b""


async def connect(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def test_messages_pass_both_ways_and_links_are_reused():
    """Messages must arrive complete and in order over one link in each direction.

    A link for each message would open many links to one address.
    """
    async with (
        run_links("one") as (one, events_one, identity_one),
        run_links("two") as (two, events_two, identity_two),
    ):
        for number in range(20):
            one.send(SendPeer("two", identity_two.peer_address, Heartbeat(0, 1, number)))
        received = [await events_two.get() for _ in range(21)]
        assert [event.peer for event in received] == ["one"] * 21
        assert received[0].message == Hello(1, identity_one)
        assert [event.message.number for event in received[1:]] == list(range(20))
        assert one.describe()["outgoing_links"] == two.describe()["incoming_links"] == 1
        subtree = SubtreeReply("desk", 1, bytes(2**20))
        two.send(SendPeer("one", identity_one.peer_address, subtree))
        assert (
            await wait_for_event(events_one, PeerMessageArrived)
        ).message.identity == identity_two
        while (await events_one.get()).message != subtree:
            pass


async def test_idle_link_is_closed_without_a_loss():
    """An idle link must close, and its close must not be reported as a lost peer.

    Without the close an instance would keep 689 links open, one to each peer.
    """
    async with (
        run_links("one", heartbeat_us=SHORT_HEARTBEAT_US) as (one, events, _),
        run_links("two", heartbeat_us=SHORT_HEARTBEAT_US) as (two, events_two, identity),
    ):
        one.send(SendPeer("two", identity.peer_address, Heartbeat(0, 1, 1)))
        await events_two.get()
        while one.describe()["outgoing_links"] or two.describe()["incoming_links"]:
            await asyncio.sleep(0.01)
        assert all(isinstance(events.get_nowait(), PeerMessageArrived) for _ in range(1))
        assert events.empty()


async def test_idle_link_stays_open_for_a_forwarded_query():
    """An idle link must stay open until the deadline of a forwarded query.

    Otherwise the failure of the peer that runs the query would go unnoticed.
    """
    async with run_links("one", heartbeat_us=SHORT_HEARTBEAT_US) as (one, events, _):
        async with run_links("two") as (_, events_two, identity):
            one.send(SendPeer("two", identity.peer_address, Forward(1, 2, b"{}", 60_000_000)))
            await wait_for_event(events_two, PeerMessageArrived)
            await asyncio.sleep(6 * SHORT_HEARTBEAT_US / 1e6)
            assert one.describe()["outgoing_links"] == 1
        assert (await wait_for_event(events, PeerLost)).peer == "two"


async def half_close(reader, writer):
    writer.write_eof()
    await read_all(reader)


async def keep_silent(reader, writer):
    await read_all(reader)


async def send_single_bytes(reader, writer):
    # A link is lost after 3 heartbeats without a frame. Each byte arrives within this time, but
    # a whole frame does not.
    while True:
        writer.write(b"\0")
        await asyncio.sleep(2 * SHORT_HEARTBEAT_US / 1e6)


async def send_garbage(reader, writer):
    writer.write(b"\xff" * 64)
    await read_all(reader)


@pytest.mark.parametrize("behave", [half_close, keep_silent, send_single_bytes, send_garbage])
async def test_faulty_peer_is_lost(behave):
    """A peer that sends no valid frames must be reported as lost, however it fails.

    The faults are a half-closed connection, silence, single bytes and garbage. Without the
    check the link would stay open although no message is delivered.
    """
    hello = Hello(1, create_identity("far", 1))
    async with (
        ScriptedPeer(hello, behave) as far,
        run_links(heartbeat_us=SHORT_HEARTBEAT_US) as (links, events, _),
    ):
        links.send(SendPeer("far", far.identity.peer_address, Forward(1, 2, b"{}", 9)))
        assert (await wait_for_event(events, PeerMessageArrived)).message == hello
        assert (await wait_for_event(events, PeerLost)).peer == "far"


@pytest.mark.parametrize("wrong_field", ["name", "protocol"])
async def test_wrong_hello_closes_the_link(wrong_field):
    """A Hello with another name or an unsupported protocol must end the link.

    After an address is reused, messages would otherwise reach another instance.
    """
    identity = create_identity("far", 1)
    hello = (
        Hello(0, identity)
        if wrong_field == "protocol"
        else Hello(1, replace(identity, name="x"))
    )
    async with ScriptedPeer(hello, keep_silent) as far, run_links() as (links, events, _):
        links.send(SendPeer("far", far.identity.peer_address, Heartbeat(0, 1, 1)))
        event = await events.get()
        assert isinstance(event, PeerLost)
        assert event.peer == "far"


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:x", "127.0.0.1:70000", "host:1", ""],
    ids=["port-not-numeric", "port-too-large", "host-name", "empty"],
)
async def test_malformed_address(address):
    """A malformed address must be reported as a lost peer without a name lookup.

    The addresses come from the instance list; a malformed one must not crash the links.
    """
    async with run_links() as (links, events, _):
        links.send(SendPeer("far", address, Forward(1, 2, b"{}", 9)))
        assert (await events.get()).peer == "far"
        assert not links.crashed


async def test_forward_is_never_dropped_silently():
    """Each Forward that is not sent must be reported, also during the backoff.

    Otherwise its query would wait for an answer that cannot come.
    """
    address = find_free_address()
    async with run_links() as (links, events, _):
        links.send(SendPeer("far", address, Forward(1, 2, b"{}", 9)))
        assert events.empty(), "send() must not enter the reducer"
        assert isinstance(await events.get(), PeerLost)
        # The link is in backoff now, and the loss must be reported without waiting for its end.
        for number, size in ((2, 0), (3, 3 * 2**20)):
            links.send(SendPeer("far", address, Forward(number, 2, bytes(size), 9)))
            assert events.empty(), "send() must not enter the reducer"
            await asyncio.sleep(0)
            assert isinstance(events.get_nowait(), PeerLost)


async def test_full_queue_drops_the_oldest_heartbeats():
    """A full queue must drop the oldest heartbeats and keep the Forward.

    Without a limit the queue of an unreachable peer would grow. If the newest messages were
    dropped, heartbeats of old leases would be sent in place of those of new ones.
    """
    async with run_links("one") as (one, _, _), run_links("two") as (_, events_two, identity):
        one.send(SendPeer("two", identity.peer_address, Forward(7, 2, b"{}", 9)))
        for number in range(100):
            one.send(SendPeer("two", identity.peer_address, Heartbeat(0, 1, number)))
        await events_two.get()
        assert (await events_two.get()).message.forward_id == 7
        numbers = [(await events_two.get()).message.number for _ in range(63)]
        assert numbers == list(range(37, 100))
        assert one.describe()["messages_dropped"] == 37


async def test_heartbeat_overtakes_subtrees():
    """A heartbeat must be sent before a subtree that was queued earlier.

    Otherwise leases would expire while several subtrees of 1 MB are sent.
    """
    async with run_links("one") as (one, _, _), run_links("two") as (_, events_two, identity):
        for message in (SubtreeReply("desk", 1, bytes(2**20)), Heartbeat(0, 1, 1)):
            one.send(SendPeer("two", identity.peer_address, message))
        kinds = [type((await events_two.get()).message) for _ in range(3)]
        assert kinds == [Hello, Heartbeat, SubtreeReply]


async def test_stop_delivers_queued_messages():
    """A graceful stop must not lose queued answers to forwarded queries."""
    async with run_links("two") as (_, events_two, identity):
        async with run_links("one") as (one, _, _):
            for number in range(40):
                answer = ForwardAnswer(number, bytes(30_000))
                one.send(SendPeer("two", identity.peer_address, answer))
        received = [(await events_two.get()).message for _ in range(41)]
        assert [answer.forward_id for answer in received[1:]] == list(range(40))


async def test_forward_to_a_full_queue_is_reported():
    """A Forward that does not fit in a full queue must be reported as a lost peer."""
    async with run_links("one") as (one, events, _), run_links("two") as (_, _, identity):
        # One message more than the queue holds.
        for number in range(65):
            one.send(SendPeer("two", identity.peer_address, Forward(number, 2, b"{}", 9)))
        assert (await wait_for_event(events, PeerLost)).peer == "two"


async def test_link_is_restored():
    """The link must reconnect when a peer that was unreachable listens again."""
    hello = Hello(1, create_identity("far", 1))
    async with run_links() as (links, events, _):
        target = SendPeer("far", hello.identity.peer_address, Heartbeat(0, 1, 1))
        for _ in range(2):
            links.send(target)
            assert isinstance(await events.get(), PeerLost)
        async with ScriptedPeer(hello, keep_silent):
            links.send(target)
            assert (await events.get()).message == hello


BAD_HELLOS = {
    "unknown peer": lambda identity: encode_frame(Hello(1, identity)),
    "own name": lambda identity: encode_frame(Hello(1, replace(identity, name="near"))),
    "other host": lambda identity: encode_frame(
        Hello(1, replace(identity, name="k", peer_address="127.9.9.9:1"))
    ),
    "bad address": lambda identity: encode_frame(
        Hello(1, replace(identity, name="k", peer_address="127.0.0.1:"))
    ),
    "no hello": lambda _: encode_frame(Heartbeat(0, 1, 1)),
    "old protocol": lambda identity: encode_frame(Hello(0, replace(identity, name="k"))),
    "large frame": lambda _: (2_000).to_bytes(4, "big"),
    "rubbish": lambda _: b"GET / HTTP/1.1\r\n\r\n",
    "nothing": lambda _: b"",
    "part of a frame": lambda identity: encode_frame(Hello(1, identity))[:20],
}


@pytest.mark.parametrize("case", BAD_HELLOS)
async def test_invalid_hello_is_refused(case):
    """An invalid Hello must close the connection and cause no event.

    Otherwise an unknown sender could reach the reducer or hold a connection open.
    """

    def is_known(identity):
        return identity.name in {"k", "near"}

    async with run_links(is_known=is_known, heartbeat_us=SHORT_HEARTBEAT_US) as (
        links,
        events,
        identity,
    ):
        reader, writer = await connect(identity.peer_address)
        writer.write(BAD_HELLOS[case](create_identity("stranger")))
        assert await read_all(reader) == b""
        assert events.empty()
        assert links.describe()["peers_refused"] == 1
        writer.close()


async def test_peer_known_by_address():
    peer = create_identity("other")
    async with run_links(
        is_known=lambda identity: identity.peer_address == peer.peer_address
    ) as (_, events, identity):
        _, writer = await connect(identity.peer_address)
        writer.write(encode_frame(Hello(1, peer)))
        assert (await events.get()).peer == "other"
        writer.close()


BAD_FRAMES = {
    "silent": b"",
    "gossip of another": encode_frame(Gossip(create_identity("k", 2), False, (), (), False)),
    "second hello": encode_frame(Hello(1, create_identity("k"))),
    "too large": (2 * 2**20 + 1).to_bytes(4, "big"),
    "malformed": create_frame(b"\xff" * 16),
}


@pytest.mark.parametrize("case", BAD_FRAMES)
async def test_incoming_link_is_closed(case):
    """An incoming link must close when its peer violates the protocol or falls silent."""
    async with run_links(heartbeat_us=SHORT_HEARTBEAT_US) as (_, events, identity):
        reader, writer = await connect(identity.peer_address)
        writer.write(encode_frame(Hello(1, create_identity("k"))) + BAD_FRAMES[case])
        # An empty frame acknowledges a valid frame, and none follows the Hello.
        assert EMPTY_FRAME not in (await read_all(reader))[-4:]
        assert (await events.get()).peer == "k"
        assert events.empty()
        writer.close()
