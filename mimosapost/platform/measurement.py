"""Measurement of the CPU time for one part of a gathered query, by layer.

``python -m mimosapost.platform.measurement --parts 90`` prints microseconds per part for
decisions (the relay's reducer), for translation (the header codec), and for sends over reused
and over new connections. The servers answer from another thread, whose CPU time is not counted.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import threading
import time
from collections.abc import Callable

import defopt

from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.logs import Logs
from mimosapost.edge.relay_connections import ServerConnections
from mimosapost.model.events import Event
from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.relay.catalog import Route, ServiceRules, create_catalog
from mimosapost.relay.effects import StartSend
from mimosapost.relay.events import (
    AnswerArrived,
    CatalogRead,
    RequestArrived,
    ServersReplaced,
    TimerFired,
)
from mimosapost.relay.messages import BackendServer, RelayRequest
from mimosapost.relay.reducer import reduce
from mimosapost.relay.state import InstanceSettings, create_relay_state

__all__ = ["measure_decisions", "measure_sends", "measure_translation"]

_ROUNDS = 40
_HOST = "bench.example"
_REQUEST_HEADERS = (
    (b"Host", _HOST.encode()),
    (b"X-Request-Id", b"4f89a0bc8cec4748"),
    (b"X-Deadline-Ms", b"600"),
)
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Response-Seal: 12.2.47.0.778f2555d33471a0\r\n"
    b"Content-Type: application/octet-stream\r\nX-Server-Load: 1,0,2\r\n"
    b"X-Request-Id: 4f89a0bc8cec4748\r\nKeep-Alive: timeout=10\r\n"
    b"Content-Length: 192\r\n\r\n" + b"r" * 192
)


def _create_request(codec: PlatformCodec, request_number: int, now_us: int) -> RelayRequest:
    return codec.decode_request(request_number, "GET", "/q/1", _REQUEST_HEADERS, b"", now_us)


def _decode_answer(codec: PlatformCodec):
    head, _, body = _ANSWER.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")[1:]
    headers = [
        (name.lower(), value) for name, _, value in (line.partition(b": ") for line in lines)
    ]
    return codec.decode_answer(200, headers, body)[0]


def measure_decisions(parts: int) -> float:
    """Return the reducer's CPU time for one part of a query, in microseconds.

    The time covers the arrival of the request, sends, answers, merge and reply.

    :param parts: number of shards of the query.
    """
    codec = PlatformCodec()
    state = create_relay_state(
        InstanceSettings("n", "a", "r", {"a": "r", "b": "s", "c": "t"}), 1
    )
    service_names = tuple(f"s{n}" for n in range(parts))
    servers = tuple(
        BackendServer(f"{name}-{domain}", name, "127.0.0.1:1", domain, 2)
        for name in service_names
        for domain in "abc"
    )
    route = Route("r", _HOST, "/q/", True, 600_000, 100_000, 0, 2, (), service_names, 10, 0.9)
    services = [ServiceRules(name, 60) for name in service_names]
    reduce(state, CatalogRead(0, create_catalog(1, [route], services)))
    reduce(state, ServersReplaced(0, servers))
    times = []
    for request_number in range(_ROUNDS):
        now_us = 1_000_000 * (request_number + 1)
        request = _create_request(codec, request_number, now_us)
        answer = _decode_answer(codec)
        started_ns = time.process_time_ns()
        effects = reduce(state, RequestArrived(now_us, request))
        sends = [effect.send_id for effect in effects if isinstance(effect, StartSend)]
        for send_id in sends:
            reduce(state, AnswerArrived(now_us + 9_000, send_id, answer))
        times.append(time.process_time_ns() - started_ns)
        reduce(state, TimerFired(now_us + 900_000))
    return statistics.median(times) / parts / 1_000


def measure_translation(parts: int) -> float:
    """Return the CPU time to encode one send and decode its answer, in microseconds.

    :param parts: number of sends in each of the measured rounds.
    """
    codec = PlatformCodec()
    request = _create_request(codec, 1, 0)
    server = BackendServer("i-1", "s", "127.0.0.1:1", "a", 2)
    send = StartSend(1, server, request, 600_000, 250_000, True)
    started_ns = time.process_time_ns()
    for _ in range(_ROUNDS * parts):
        codec.encode_send(send, 0)
        _decode_answer(codec)
    return (time.process_time_ns() - started_ns) / _ROUNDS / parts / 1_000


class _AnsweringServer(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(_ANSWER * data.count(b"\r\n\r\n"))


def _serve(on_listening: Callable[[int], None], stop_event: threading.Event) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(_AnsweringServer, "127.0.0.1", 0)
        on_listening(server.sockets[0].getsockname()[1])
        await loop.run_in_executor(None, stop_event.wait)
        server.close()

    asyncio.run(run())


def measure_sends(parts: int) -> tuple[float, float]:
    """Return the CPU time of a send over a new and over a reused connection, in microseconds.

    :param parts: number of sends in each round; each goes to a server of its own.
    """
    ports: list[int] = []
    listening_event, stop_event = threading.Event(), threading.Event()

    def report_port(port: int) -> None:
        ports.append(port)
        listening_event.set()

    thread = threading.Thread(target=_serve, args=(report_port, stop_event))
    thread.start()
    listening_event.wait()
    try:
        return asyncio.run(_send_rounds(parts, ports[0]))
    finally:
        stop_event.set()
        thread.join()


async def _send_rounds(parts: int, port: int) -> tuple[float, float]:
    events: asyncio.Queue[Event] = asyncio.Queue()
    codec = PlatformCodec()
    servers = [BackendServer(f"i-{n}", "s", f"127.0.0.1:{port}", "a", 2) for n in range(parts)]
    times = []
    logs = Logs()
    async with ServerConnections(events.put_nowait, read_clock_us, codec, logs) as connections:
        for request_number in range(_ROUNDS):
            now_us = read_clock_us()
            request = _create_request(codec, request_number, now_us)
            started_ns = time.thread_time_ns()
            for index, server in enumerate(servers):
                send_id = request_number * parts + index
                deadline_us = now_us + 1_000_000
                connections.start_send(
                    StartSend(send_id, server, request, deadline_us, deadline_us, True)
                )
            for _ in servers:
                await events.get()
            times.append((time.thread_time_ns() - started_ns) / parts / 1_000)
    return times[0], statistics.median(times[1:])


def main(*, parts: int = 90) -> None:
    """Print the CPU time of one part, by layer.

    :param parts: number of shards of the query.
    """
    new_us, reused_us = measure_sends(parts)
    rows = (
        ("decisions", measure_decisions(parts)),
        ("translation", measure_translation(parts)),
        ("send over a reused connection, with translation", reused_us),
        ("send over a new connection, with translation", new_us),
    )
    for name, microseconds in rows:
        sys.stdout.write(f"{name}: {microseconds:.1f} us per part\n")


if __name__ == "__main__":
    defopt.run(main)
