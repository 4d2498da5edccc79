"""Stand-in for a backend server (a leaf in the words of the platform)."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable

from .http import Message, encode_response, read_message
from .store import Store

HEARTBEAT_SECONDS = 1.2
_signatures = itertools.count(1)


class Server:
    """A backend server that runs ``slots`` requests at a time and queues some more.

    It drops a request whose connection closes, answers 421 to requests for another instance,
    and sheds with 503 and ``X-Not-Executed`` when its queue is full.

    :param record: function that records an event.
    :param work: returns the seconds of work of a request.
    :ivar extra_headers: headers that are added to each answer.
    :ivar sheds: returns whether a request is rejected although there is room.
    :ivar repeats_shed: returns whether a shed answer is sent a second time, late: where the
        next answer on the connection is expected.
    :ivar crashes_on: returns whether a request crashes the server when it begins to run.
    :ivar on_crash: called after a crash.
    """

    def __init__(
        self,
        store: Store,
        record: Callable[..., None],
        server_id: str,
        service: str,
        zone: str,
        work: Callable[[Message], float],
        slots: int = 3,
        queue: int = 12,
    ) -> None:
        self.store, self.record, self.work = store, record, work
        self.server_id, self.service, self.zone, self.slots = server_id, service, zone, slots
        self.state = "ready"
        self.extra_headers: dict[str, str] = {}
        self.sheds: Callable[[], bool] = lambda: False
        self.repeats_shed: Callable[[], bool] = lambda: False
        self.crashes_on: Callable[[Message], bool] = lambda _message: False
        self.on_crash: Callable[[], None] = lambda: None
        self._connections: set[asyncio.StreamWriter] = set()
        self.is_crashed = False
        self.respond: Callable[[Message], bytes | None] = lambda _message: None
        self._limit = slots + queue
        self._held = 0
        self._semaphore = asyncio.Semaphore(slots)
        self._seq = 0
        self._born = int(time.time() * 1_000)
        self._cold_until = 0.0
        self._arrived: deque[float] = deque()

    async def start(self) -> None:
        """Listen on a free port and register in the store."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listener = server
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.write_entry()
        self._beats = asyncio.create_task(self._beat())

    def count_lately(self) -> int:
        """Return the number of requests that arrived in the last second."""
        oldest = time.monotonic() - 1
        while self._arrived and self._arrived[0] < oldest:
            self._arrived.popleft()
        return len(self._arrived)

    def become_cold(self, seconds: float) -> None:
        """Become cold for a time, and say so in the entry at once."""
        self._cold_until = time.monotonic() + seconds
        self.record("server_cold", server=self.server_id, seconds=seconds)
        self.write_entry()

    def write_entry(self) -> None:
        """Write the entry of the server to the store."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": max(0, int((self._cold_until - time.monotonic()) * 1_000)),
            "seq": self._seq,
            "born": self._born,
        }
        self.store.put(f"servers/{self.server_id}", entry)

    def stop_beats(self) -> None:
        """Send no further entries."""
        self._beats.cancel()

    def unlist(self) -> None:
        """Remove the entry, as the platform does after three silent heartbeats."""
        self.store.remove(f"servers/{self.server_id}")

    def crash(self, request_id: str) -> None:
        """End at once: reset all connections, refuse new ones and send no more entries."""
        self.record("server_crashed", id=request_id, server=self.server_id)
        self.is_crashed = True
        self._listener.close()
        self.stop_beats()
        for writer in self._connections:
            writer.transport.abort()
        self.on_crash()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.write_entry()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        extra = b""
        try:
            while (message := await read_message(reader)) is not None:
                if self.is_crashed:
                    return
                if extra:
                    next_id = message.headers.get("x-request-id", "")
                    self.record("server_sent_extra", before=next_id, server=self.server_id)
                    writer.write(extra)
                    extra = b""
                if self._held >= self._limit or self.sheds():
                    shed_id = message.headers.get("x-request-id", "")
                    self.record("server_shed", id=shed_id, server=self.server_id)
                    headers = {"X-Not-Executed": "1", "X-Request-Id": shed_id}
                    answer = encode_response(503, headers | {"Keep-Alive": "timeout=10"})
                    writer.write(answer)
                    extra = answer if self.repeats_shed() else b""
                    continue
                answer = await self._run_while_connected(message, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _run_while_connected(
        self, message: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        request_id = message.headers.get("x-request-id", "")
        if message.headers.get("x-expect-instance") != self.server_id:
            return encode_response(421, {"X-Instance-Id": self.server_id})
        self._arrived.append(time.monotonic())
        self.record("server_reached", id=request_id, server=self.server_id)
        special = self.respond(message)
        if special is not None:
            return special
        self._held += 1
        run = asyncio.create_task(self._run(message, request_id))
        try:
            # The next request on a connection comes after this answer, so the end of the
            # connection is the only thing that the reader can report meanwhile.
            while not run.done() or self.is_crashed:
                if self.is_crashed:
                    run.cancel()
                    return None
                await asyncio.wait({run}, timeout=0.02)
                if reader.at_eof() and not run.done():
                    run.cancel()
                    self.record("server_dropped", id=request_id, server=self.server_id)
                    return None
            return run.result()
        finally:
            self._held -= 1

    async def _run(self, message: Message, request_id: str) -> bytes:
        async with self._semaphore:
            if self.is_crashed:
                return b""
            self.record("server_run", id=request_id, server=self.server_id)
            if self.crashes_on(message):
                self.crash(request_id)
                return b""
            await asyncio.sleep(self.work(message))
        signature = f"{next(_signatures):04x}.07.5a2.600.0.c9f2a4d1"
        self.record("server_answered", id=request_id, server=self.server_id)
        headers = {"X-Request-Id": request_id, "X-Response-Seal": signature}
        headers |= {"Keep-Alive": "timeout=10"} | self.extra_headers
        return encode_response(200, headers, request_id.encode().ljust(16, b".")[:16])
