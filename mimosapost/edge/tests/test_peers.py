"""Contract of the peer links against well-behaved and faulty peers on loopback."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest

from mimosapost.edge.peer_frames import EMPTY_FRAME, create_frame
from mimosapost.edge.peers import PeerLinks
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

# Tests of silence use a short heartbeat; the others the usual one, so that a busy machine
# does not look like a silent peer.
SHORT_US = 60_000


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
    """A listening peer that follows the protocol only as far as a test wants."""

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


async def wait_for_event(events, wanted):
    while True:
        event = await events.get()
        if isinstance(event, wanted):
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
    # Guards against lost or reordered messages and against a second link to one address.
    async with (
        run_links("one") as (one, first, own_identity),
        run_links("two") as (two, second, you),
    ):
        for number in range(20):
            one.send(SendPeer("two", you.peer_address, Heartbeat(0, 1, number)))
        received = [await second.get() for _ in range(21)]
        assert [event.peer for event in received] == ["one"] * 21
        assert received[0].message == Hello(1, own_identity)
        assert [event.message.number for event in received[1:]] == list(range(20))
        assert one.describe()["outgoing_links"] == two.describe()["incoming_links"] == 1
        big = SubtreeReply("desk", 1, bytes(2**20))
        two.send(SendPeer("one", own_identity.peer_address, big))
        assert (await wait_for_event(first, PeerMessageArrived)).message.identity == you
        while (await first.get()).message != big:
            pass


async def test_idle_link_is_closed_without_a_loss():
    # Guards against 689 open links an instance, and against a false loss of the peer.
    async with (
        run_links("one", heartbeat_us=SHORT_US) as (one, events, _),
        run_links("two", heartbeat_us=SHORT_US) as (two, far, you),
    ):
        one.send(SendPeer("two", you.peer_address, Heartbeat(0, 1, 1)))
        await far.get()
        while one.describe()["outgoing_links"] or two.describe()["incoming_links"]:
            await asyncio.sleep(0.01)
        assert all(isinstance(events.get_nowait(), PeerMessageArrived) for _ in range(1))
        assert events.empty()


async def test_link_of_an_open_forward_outlives_idleness():
    # Guards against missing the death of an instance that still runs a forwarded query.
    async with run_links("one", heartbeat_us=SHORT_US) as (one, events, _):
        async with run_links("two") as (_, far, you):
            one.send(SendPeer("two", you.peer_address, Forward(1, 2, b"{}", 60_000_000)))
            await wait_for_event(far, PeerMessageArrived)
            await asyncio.sleep(6 * SHORT_US / 1e6)
            assert one.describe()["outgoing_links"] == 1
        assert (await wait_for_event(events, PeerLost)).peer == "two"


async def half_close(reader, writer):
    writer.write_eof()
    await read_all(reader)


async def keep_silent(reader, writer):
    await read_all(reader)


async def drip(reader, writer):
    # Each byte comes within 3 heartbeats; a whole frame does not.
    while True:
        writer.write(b"\0")
        await asyncio.sleep(2 * SHORT_US / 1e6)


async def send_garbage(reader, writer):
    writer.write(b"\xff" * 64)
    await read_all(reader)


@pytest.mark.parametrize("behave", [half_close, keep_silent, drip, send_garbage])
async def test_faulty_far_end_is_lost(behave):
    # Guards against a link that stays open although nothing reaches the other end.
    hello = Hello(1, create_identity("far", 1))
    async with (
        ScriptedPeer(hello, behave) as far,
        run_links(heartbeat_us=SHORT_US) as (links, events, _),
    ):
        links.send(SendPeer("far", far.identity.peer_address, Forward(1, 2, b"{}", 9)))
        assert (await wait_for_event(events, PeerMessageArrived)).message == hello
        assert (await wait_for_event(events, PeerLost)).peer == "far"


@pytest.mark.parametrize("wrong", ["name", "protocol"])
async def test_wrong_hello_of_the_far_end(wrong):
    # Guards against messages that reach another instance at a reused address.
    identity = create_identity("far", 1)
    hello = Hello(0, identity) if wrong == "protocol" else Hello(1, replace(identity, name="x"))
    async with ScriptedPeer(hello, keep_silent) as far, run_links() as (links, events, _):
        links.send(SendPeer("far", far.identity.peer_address, Heartbeat(0, 1, 1)))
        event = await events.get()
        assert isinstance(event, PeerLost)
        assert event.peer == "far"


@pytest.mark.parametrize("address", ["127.0.0.1:x", "127.0.0.1:70000", "host:1", ""])
async def test_malformed_address(address):
    # Guards against an address of the list that ends the service or asks a name server.
    async with run_links() as (links, events, _):
        links.send(SendPeer("far", address, Forward(1, 2, b"{}", 9)))
        assert (await events.get()).peer == "far"
        assert not links.crashed


async def test_forward_is_never_dropped_silently():
    # Guards against a query that waits for an answer to a message that was never sent.
    address = find_free_address()
    async with run_links() as (links, events, _):
        links.send(SendPeer("far", address, Forward(1, 2, b"{}", 9)))
        assert events.empty(), "send() must not enter the reducer"
        assert isinstance(await events.get(), PeerLost)
        # The link waits for its backoff now, and the loss must not wait with it.
        for number, size in ((2, 0), (3, 3 * 2**20)):
            links.send(SendPeer("far", address, Forward(number, 2, bytes(size), 9)))
            assert events.empty(), "send() must not enter the reducer"
            await asyncio.sleep(0)
            assert isinstance(events.get_nowait(), PeerLost)


async def test_full_queue_drops_the_oldest_heartbeats():
    # Guards against unbounded memory for an unreachable peer, and against old leases
    # that displace new ones.
    async with run_links("one") as (one, _, _), run_links("two") as (_, far, identity):
        one.send(SendPeer("two", identity.peer_address, Forward(7, 2, b"{}", 9)))
        for number in range(100):
            one.send(SendPeer("two", identity.peer_address, Heartbeat(0, 1, number)))
        await far.get()
        assert (await far.get()).message.forward_id == 7
        numbers = [(await far.get()).message.number for _ in range(63)]
        assert numbers == list(range(37, 100))
        assert one.describe()["messages_dropped"] == 37


async def test_heartbeat_overtakes_subtrees():
    # Guards against leases that expire while several subtrees of 1 MB are under way.
    async with run_links("one") as (one, _, _), run_links("two") as (_, far, you):
        for message in (SubtreeReply("desk", 1, bytes(2**20)), Heartbeat(0, 1, 1)):
            one.send(SendPeer("two", you.peer_address, message))
        kinds = [type((await far.get()).message) for _ in range(3)]
        assert kinds == [Hello, Heartbeat, SubtreeReply]


async def test_stop_delivers_queued_messages():
    # Guards against a graceful shutdown that loses answers to forwarded queries.
    async with run_links("two") as (_, far, you):
        async with run_links("one") as (one, _, _):
            for number in range(40):
                answer = ForwardAnswer(number, bytes(30_000))
                one.send(SendPeer("two", you.peer_address, answer))
        received = [(await far.get()).message for _ in range(41)]
        assert [answer.forward_id for answer in received[1:]] == list(range(40))


async def test_queue_full_of_forwards_reports_the_loss():
    async with run_links("one") as (one, events, _), run_links("two") as (_, _, you):
        for number in range(65):
            one.send(SendPeer("two", you.peer_address, Forward(number, 2, b"{}", 9)))
        assert (await wait_for_event(events, PeerLost)).peer == "two"


async def test_link_is_restored():
    # Guards against a peer that stays unreachable after it came back.
    hello = Hello(1, create_identity("far", 1))
    async with run_links() as (links, events, _):
        target = SendPeer("far", hello.identity.peer_address, Heartbeat(0, 1, 1))
        for _ in range(2):
            links.send(target)
            assert isinstance(await events.get(), PeerLost)
        async with ScriptedPeer(hello, keep_silent):
            links.send(target)
            assert (await events.get()).message == hello


BAD_GREETINGS = {
    "unknown peer": lambda own_identity: encode_frame(Hello(1, own_identity)),
    "own name": lambda own_identity: encode_frame(Hello(1, replace(own_identity, name="near"))),
    "other host": lambda own_identity: encode_frame(
        Hello(1, replace(own_identity, name="k", peer_address="127.9.9.9:1"))
    ),
    "bad address": lambda own_identity: encode_frame(
        Hello(1, replace(own_identity, name="k", peer_address="127.0.0.1:"))
    ),
    "no hello": lambda _: encode_frame(Heartbeat(0, 1, 1)),
    "old protocol": lambda own_identity: encode_frame(
        Hello(0, replace(own_identity, name="k"))
    ),
    "large frame": lambda _: (2_000).to_bytes(4, "big"),
    "rubbish": lambda _: b"GET / HTTP/1.1\r\n\r\n",
    "nothing": lambda _: b"",
    "part of a frame": lambda own_identity: encode_frame(Hello(1, own_identity))[:20],
}


@pytest.mark.parametrize("case", BAD_GREETINGS)
async def test_refused_greetings(case):
    # Guards against strangers that reach the reducer or hold a connection open.
    is_known = {"k", "near"}.__contains__
    async with run_links(is_known=is_known, heartbeat_us=SHORT_US) as (
        links,
        events,
        own_identity,
    ):
        reader, writer = await connect(own_identity.peer_address)
        writer.write(BAD_GREETINGS[case](create_identity("stranger")))
        assert await read_all(reader) == b""
        assert events.empty()
        assert links.describe()["peers_refused"] == 1
        writer.close()


async def test_peer_known_by_address():
    own_identity = create_identity("other")
    async with run_links(is_known=own_identity.peer_address.__eq__) as (_, events, near):
        _, writer = await connect(near.peer_address)
        writer.write(encode_frame(Hello(1, own_identity)))
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
    # Guards against a link that stays open after its peer broke the protocol or fell silent.
    async with run_links(heartbeat_us=SHORT_US) as (_, events, own_identity):
        reader, writer = await connect(own_identity.peer_address)
        writer.write(encode_frame(Hello(1, create_identity("k"))) + BAD_FRAMES[case])
        assert EMPTY_FRAME not in (await read_all(reader))[-4:]
        assert (await events.get()).peer == "k"
        assert events.empty()
        writer.close()
