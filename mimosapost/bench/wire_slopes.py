"""Measurements of the processor time of encoding, frames, peer links and sends."""

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
from mimosapost.bench.sends import _answer_sub_request, _time_bare_posts, _time_client_sends
from mimosapost.bench.slopes import Scale, Series, measurement, time_workloads
from mimosapost.edge.backend_responses import parse_answer
from mimosapost.edge.peer_links import PeerLinks
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
_LENGTH_PREFIX = struct.Struct("!I")
_CONCURRENT_SENDS = 20
# A short heartbeat interval closes idle links sooner, which shortens the measurement. The
# number of frames on a link does not depend on it.
_LINK_HEARTBEAT_US = 60_000


class _GatherRequest(msgspec.Struct, array_like=True):
    """Proposed message that asks a gatherer for the answers of some leafs of a query."""

    query: str
    service: str
    map_version: int
    index_version: int
    deadline_ms: int
    body: Any
    leafs: list[int]


class _GatherAnswer(msgspec.Struct, array_like=True):
    """Proposed answer of a gatherer.

    It has one part for each leaf, because the answer to the caller names the leafs that are
    missing or late.
    """

    query: str
    map_version: int
    index_version: int
    parts: list[tuple[int, list[tuple[float, str]]]]


_encode_payload = msgspec.msgpack.Encoder().encode
_decode_request = msgspec.msgpack.Decoder(_GatherRequest).decode
_decode_answer = msgspec.msgpack.Decoder(_GatherAnswer).decode


def _create_request(items: int) -> SubRequest:
    return SubRequest(
        "ff-1", "desk", "leaf-0001", 1, 7, 1_000, {**_BODY, "ids": [*range(items)]}, True
    )


def _create_answer(items: int) -> bytes:
    items_found = [
        {"key": f"item-{number}", "score": number * 37 % 101} for number in range(items)
    ]
    answer = {
        "request_id": "ff-1",
        "leaf": "leaf-0001",
        "map_version": 1,
        "index_version": 7,
        "boot_id": "b1",
        "load": 0.2,
        "items": items_found,
    }
    return msgspec.json.encode(answer)


@measurement("codec")
def measure_codec(scale: Scale) -> Iterable[Series]:
    """Measure JSON encoding of a sub-request and decoding of its answer.

    The sizes are the numbers in the request's body and the items of the answer.
    """
    sizes = scale.choose_sizes((5, 20, 50, 100), (1, 2, 3, 4))
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
                    raise RuntimeError("sub-answer could not be parsed")

        encoding.append((items, encode))
        decoding.append((items, decode))
    for name, size, workloads in (
        ("encoding a sub-request", "numbers in the body", encoding),
        ("decoding a sub-answer", "items", decoding),
    ):
        times_us = time_workloads(workloads, scale.rounds)
        yield Series(name, "us", size, tuple((items, us / calls) for items, us in times_us))


@measurement("batches")
def measure_batches(scale: Scale) -> Iterable[Series]:
    """Measure one request and one answer for many leafs of a query.

    The values include encoding and decoding of both messages. The messages are not in the
    protocol yet: their MessagePack payload is sent in the existing ``Forward`` message, as the
    design page proposes.
    """
    calls = 10 if scale.small else 300
    workloads = []
    for leafs in scale.choose_sizes((15, 45, 90, 180), (2, 4, 6, 8)):
        request = _GatherRequest("q-1", "desk", 1, 7, 40, _BODY, [*range(leafs)])
        items_found = [(float(number), f"item-{number}") for number in range(5)]
        answer = _GatherAnswer("q-1", 1, 7, [(leaf, items_found) for leaf in range(leafs)])

        def exchange(request: _GatherRequest = request, answer: _GatherAnswer = answer) -> None:
            for _ in range(calls):
                raw = encode_message(Forward(1, 2, _encode_payload(request), 40_000))
                _decode_request(decode_message(raw).query)
                raw = encode_message(Forward(1, 2, _encode_payload(answer), 40_000))
                _decode_answer(decode_message(raw).query)

        workloads.append((leafs, exchange))
    points = tuple((leafs, us / calls) for leafs, us in time_workloads(workloads, scale.rounds))
    yield Series("gather messages, both ends", "us", "leafs in a message", points)


@measurement("frames")
def measure_frames(scale: Scale) -> Iterable[Series]:
    """Measure frames that another task receives over loopback and sends back.

    Both tasks run in this process, so the value of a frame includes two writes and two reads.
    """
    payload = b"x" * 2_000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                (size,) = _LENGTH_PREFIX.unpack(await reader.readexactly(_LENGTH_PREFIX.size))
                body = await reader.readexactly(size)
                writer.write(_LENGTH_PREFIX.pack(size) + body)
        except asyncio.IncompleteReadError:
            writer.close()

    async def run(frames: int) -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        for _ in range(frames):
            writer.write(_LENGTH_PREFIX.pack(len(payload)) + payload)
            (size,) = _LENGTH_PREFIX.unpack(await reader.readexactly(_LENGTH_PREFIX.size))
            await reader.readexactly(size)
        writer.close()
        await writer.wait_closed()
        server.close()
        await server.wait_closed()

    workloads = [
        (frames, lambda frames=frames: asyncio.run(run(frames)))
        for frames in scale.choose_sizes((500, 1_000, 2_000, 4_000), (2, 4, 6, 8))
    ]
    points = time_workloads(workloads, min(4, scale.rounds))
    yield Series("frame of 2 KB and its answer", "us", "frames", points)


def _find_free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def _time_links(count: int, rounds: int) -> float:
    """Return the processor time of sending a gossip message to each of ``count`` peers.

    The time is the minimum of the rounds, in microseconds. In each round the sender opens a new
    link to every peer, and the time includes that all links close.
    """
    versions = tuple(TreeVersion(f"team-{number:02}", 2, number) for number in range(8))
    async with AsyncExitStack() as stack:
        endpoints = []
        for seat in range(count + 1):
            identity = replace(create_identity(seat), peer_address=_find_free_address())
            links = PeerLinks(
                identity,
                lambda _: None,
                lambda: time.monotonic_ns() // 1_000,
                lambda _: True,
                heartbeat_us=_LINK_HEARTBEAT_US,
                rng=Random(seat),
            )
            await links.start()
            stack.push_async_callback(links.stop)
            endpoints.append((links, identity))
        (sender, sender_identity), peers = endpoints[0], endpoints[1:]
        round_us = []
        for _ in range(rounds):
            started_ns = time.process_time_ns()
            for _, peer in peers:
                gossip = Gossip(sender_identity, False, versions, (), True)
                sender.send(SendPeer(peer.name, peer.peer_address, gossip))
            incoming_links = 0
            # Waits at most 10 s for the links to close; a link without messages closes after 3
            # heartbeat intervals.
            for _ in range(1_000):
                await asyncio.sleep(0.01)
                incoming_links = max(
                    incoming_links,
                    sum(endpoint.describe()["incoming_links"] for endpoint, _ in peers),
                )
                if not sender.describe()["outgoing_links"]:
                    break
            if incoming_links != count or sender.describe()["outgoing_links"]:
                raise RuntimeError(
                    f"{incoming_links} links opened, expected {count}, or a link did not close"
                )
            round_us.append((time.process_time_ns() - started_ns) / 1e3)
        return min(round_us)


@measurement("links")
def measure_links(scale: Scale) -> Iterable[Series]:
    """Measure a gossip message over a new link, from connecting to closing, at both ends.

    The value includes the greetings, the acknowledgement, and the empty frames that are sent
    until the link closes.
    """
    minimum_us: dict[int, float] = {}
    # Each round runs all sizes; ``time_workloads`` explains why.
    for _ in range(min(3, scale.rounds)):
        for links in scale.choose_sizes((10, 20, 30, 40), (1, 2, 3, 4)):
            spent_us = asyncio.run(_time_links(links, 2))
            minimum_us[links] = min(spent_us, minimum_us.get(links, spent_us))
    yield Series("gossip over a new link", "us", "links", tuple(minimum_us.items()))


@contextmanager
def _run_server() -> Iterator[str]:
    """Run the stand-in server of ``sends`` in another thread and yield its address.

    Only the processor time of the thread that sends is measured.
    """
    ready = threading.Event()
    address: list[str] = []

    async def serve(stopped: asyncio.Future[None]) -> None:
        runner = web.ServerRunner(web.Server(_answer_sub_request, access_log=None))
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
            raise RuntimeError("stand-in server did not start within 10 s")
        yield address[0]
    finally:
        loop.call_soon_threadsafe(stopped.set_result, None)
        thread.join(10)
        loop.close()


@measurement("sends")
def measure_sends_edge(scale: Scale) -> Iterable[Series]:
    """Measure sub-requests sent by ``BackendClient``, and by bare aiohttp POST requests.

    Only the processor time of the sending thread counts; the stand-in server runs in another
    thread.
    """
    clients = {"edge send": _time_client_sends, "bare aiohttp POST": _time_bare_posts}
    concurrency = 2 if scale.small else _CONCURRENT_SENDS
    sizes = scale.choose_sizes((800, 1_600, 2_400, 3_200), (4, 8, 12, 16))
    minimum_us: dict[str, dict[int, float]] = {name: {} for name in clients}
    with _run_server() as address:
        # Each round runs all sizes; ``time_workloads`` explains why.
        for _ in range(min(6, scale.rounds)):
            for sends in sizes:
                for name, time_sends in clients.items():
                    spent_us = asyncio.run(time_sends(address, sends, concurrency)) * (
                        sends // concurrency * concurrency
                    )
                    minimum_us[name][sends] = min(
                        spent_us, minimum_us[name].get(sends, spent_us)
                    )
    for name, points in minimum_us.items():
        yield Series(name, "us", "sends", tuple(points.items()))
