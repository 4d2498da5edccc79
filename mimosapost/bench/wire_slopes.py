"""Processor time of encoding, frames and sends."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
from aiohttp import web

from mimosapost.bench.fixtures import create_identity
from mimosapost.bench.sends import _answer, _run_bare, _run_client
from mimosapost.bench.slopes import Scale, Series, measurement, time_sizes
from mimosapost.edge.answers import parse_answer
from mimosapost.edge.peers import PeerLinks
from mimosapost.membership.codec import decode_message, encode_message
from mimosapost.model.effects import SendPeer
from mimosapost.model.peer_messages import Forward, Gossip, TreeVersion
from mimosapost.model.queries import SubRequest

__all__ = [
    "measure_batches",
    "measure_codec",
    "measure_frames",
    "measure_links",
    "measure_sends_edge",
]

_BODY = {"kind": "search", "term": "tutu", "size": 38, "colours": ["white", "rose"]}
_LENGTH = struct.Struct("!I")
_WIDTH = 20
# A short period ends idle links sooner; the number of frames of a link does not change.
_LINK_BEAT_US = 60_000


class _GatherRequest(msgspec.Struct, array_like=True):
    """Trial of a message that asks a gatherer for a part of a query's leafs."""

    query: str
    service: str
    map_version: int
    index_version: int
    deadline_ms: int
    body: Any
    leafs: list[int]


class _GatherAnswer(msgspec.Struct, array_like=True):
    """Trial of the answer: parts by leaf, because missing and late leafs are named."""

    query: str
    map_version: int
    index_version: int
    parts: list[tuple[int, list[tuple[float, str]]]]


_encode = msgspec.msgpack.Encoder().encode
_decode_request = msgspec.msgpack.Decoder(_GatherRequest).decode
_decode_answer = msgspec.msgpack.Decoder(_GatherAnswer).decode


def _create_request(items: int) -> SubRequest:
    return SubRequest(
        "ff-1", "desk", "leaf-0001", 1, 7, 1_000, {**_BODY, "ids": [*range(items)]}, True
    )


def _create_answer(items: int) -> bytes:
    found = [{"key": f"item-{number}", "score": number * 37 % 101} for number in range(items)]
    answer = {
        "request_id": "ff-1",
        "leaf": "leaf-0001",
        "map_version": 1,
        "index_version": 7,
        "boot_id": "b1",
        "load": 0.2,
        "items": found,
    }
    return msgspec.json.encode(answer)


@measurement("codec")
def measure_codec(scale: Scale) -> Iterable[Series]:
    """Measure JSON of a sub-request against the numbers in its body, and of its answer."""
    sizes = scale.choose((5, 20, 50, 100), (1, 2, 3, 4))
    calls = 10 if scale.small else 2_000
    encoding, decoding = [], []
    for items in sizes:
        request, raw = _create_request(items), _create_answer(items)

        def encode(request: SubRequest = request) -> None:
            for _ in range(calls):
                msgspec.json.encode(request)

        def decode(raw: bytes = raw, request: SubRequest = request) -> None:
            for _ in range(calls):
                if parse_answer(raw, request) is None:
                    raise RuntimeError("an answer was not read")

        encoding.append((items, encode))
        decoding.append((items, decode))
    for name, size, works in (
        ("encoding a sub-request", "numbers in the body", encoding),
        ("decoding a sub-answer", "items", decoding),
    ):
        spent = time_sizes(works, scale.rounds)
        yield Series(name, "us", size, tuple((items, us / calls) for items, us in spent))


@measurement("batches")
def measure_batches(scale: Scale) -> Iterable[Series]:
    """Measure one message for many leafs of a query, in both directions and at both ends.

    The message does not exist in the protocol yet. The payload is MessagePack inside the
    ``Forward`` message of today, which is the form that the design page intends.
    """
    calls = 10 if scale.small else 300
    works = []
    for leafs in scale.choose((15, 45, 90, 180), (2, 4, 6, 8)):
        request = _GatherRequest("q-1", "desk", 1, 7, 40, _BODY, [*range(leafs)])
        found = [(float(number), f"item-{number}") for number in range(5)]
        answer = _GatherAnswer("q-1", 1, 7, [(leaf, found) for leaf in range(leafs)])

        def exchange(request: _GatherRequest = request, answer: _GatherAnswer = answer) -> None:
            for _ in range(calls):
                raw = encode_message(Forward(1, 2, _encode(request), 40_000))
                _decode_request(decode_message(raw).query)
                raw = encode_message(Forward(1, 2, _encode(answer), 40_000))
                _decode_answer(decode_message(raw).query)

        works.append((leafs, exchange))
    points = tuple((leafs, us / calls) for leafs, us in time_sizes(works, scale.rounds))
    yield Series("gather messages, both ends", "us", "leafs in a message", points)


@measurement("frames")
def measure_frames(scale: Scale) -> Iterable[Series]:
    """Measure frames that go to another task over loopback and come back.

    Both ends run in this process, so the value counts a frame's two writes and two reads.
    """
    payload = b"x" * 2_000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
                body = await reader.readexactly(size)
                writer.write(_LENGTH.pack(size) + body)
        except asyncio.IncompleteReadError:
            writer.close()

    async def run(frames: int) -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        for _ in range(frames):
            writer.write(_LENGTH.pack(len(payload)) + payload)
            (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
            await reader.readexactly(size)
        writer.close()
        await writer.wait_closed()
        server.close()
        await server.wait_closed()

    works = [
        (frames, lambda frames=frames: asyncio.run(run(frames)))
        for frames in scale.choose((500, 1_000, 2_000, 4_000), (2, 4, 6, 8))
    ]
    points = time_sizes(works, min(4, scale.rounds))
    yield Series("frame of 2 KB and its answer", "us", "frames", points)


def _find_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def _run_links(count: int, rounds: int) -> float:
    """Return the least processor time of one gossip message to each of some new peers."""
    versions = tuple(TreeVersion(f"team-{number:02}", 2, number) for number in range(8))
    async with AsyncExitStack() as stack:
        ends = []
        for seat in range(count + 1):
            identity = replace(create_identity(seat), peer_address=_find_address())
            links = PeerLinks(
                identity,
                lambda _: None,
                lambda: time.monotonic_ns() // 1_000,
                lambda _: True,
                heartbeat_us=_LINK_BEAT_US,
                rng=Random(seat),
            )
            await links.start()
            stack.push_async_callback(links.stop)
            ends.append((links, identity))
        (sender, own), peers = ends[0], ends[1:]
        times = []
        for _ in range(rounds):
            started_ns = time.process_time_ns()
            for _, peer in peers:
                gossip = Gossip(own, False, versions, (), True)
                sender.send(SendPeer(peer.name, peer.peer_address, gossip))
            greeted = 0
            # 10 s; a link closes after 3 heartbeats without a message.
            for _ in range(1_000):
                await asyncio.sleep(0.01)
                greeted = max(
                    greeted, sum(end.describe()["incoming_links"] for end, _ in peers)
                )
                if not sender.describe()["outgoing_links"]:
                    break
            if greeted != count or sender.describe()["outgoing_links"]:
                raise RuntimeError(f"{greeted} of {count} links were greeted and closed")
            times.append((time.process_time_ns() - started_ns) / 1e3)
        return min(times)


@measurement("links")
def measure_links(scale: Scale) -> Iterable[Series]:
    """Measure a gossip message over a new link, from connecting to closing, at both ends.

    It includes the greetings, the acknowledgement, and the empty frames until the close.
    """
    least: dict[int, float] = {}
    # The sizes take turns for the reason given at ``time_sizes``.
    for _ in range(min(3, scale.rounds)):
        for links in scale.choose((10, 20, 30, 40), (1, 2, 3, 4)):
            spent_us = asyncio.run(_run_links(links, 2))
            least[links] = min(spent_us, least.get(links, spent_us))
    yield Series("gossip over a new link", "us", "links", tuple(least.items()))


@contextmanager
def _run_server() -> Iterator[str]:
    """Run the answering server of ``sends`` in a thread; only the caller's thread is timed."""
    ready = threading.Event()
    address: list[str] = []

    async def serve(stopped: asyncio.Future[None]) -> None:
        runner = web.ServerRunner(web.Server(_answer, access_log=None))
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
            address.append(f"127.0.0.1:{runner.addresses[0][1]}")
            ready.set()
            await stopped
        finally:
            await runner.cleanup()

    loop = asyncio.new_event_loop()
    stopped = loop.create_future()
    thread = threading.Thread(target=loop.run_until_complete, args=(serve(stopped),))
    thread.start()
    try:
        if not ready.wait(10):
            raise RuntimeError("the answering server did not start")
        yield address[0]
    finally:
        loop.call_soon_threadsafe(stopped.set_result, None)
        thread.join(10)
        loop.close()


@measurement("sends")
def measure_sends_edge(scale: Scale) -> Iterable[Series]:
    """Measure sub-requests through the edge, and through a bare aiohttp POST.

    The thread's own processor time counts; the answering server has another thread.
    """
    sides = {"edge send": _run_client, "bare aiohttp POST": _run_bare}
    width = 2 if scale.small else _WIDTH
    sizes = scale.choose((800, 1_600, 2_400, 3_200), (4, 8, 12, 16))
    least: dict[str, dict[int, float]] = {name: {} for name in sides}
    with _run_server() as address:
        # The sizes take turns for the reason given at ``time_sizes``.
        for _ in range(min(6, scale.rounds)):
            for sends in sizes:
                for name, side in sides.items():
                    spent_us = asyncio.run(side(address, sends, width)) * (
                        sends // width * width
                    )
                    least[name][sends] = min(spent_us, least[name].get(sends, spent_us))
    for name, points in least.items():
        yield Series(name, "us", "sends", tuple(points.items()))
