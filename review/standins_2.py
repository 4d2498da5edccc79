"""Stand-ins of the platform for the scripts of the second review: store, leafs and consumers.

They use the standard library only and listen on loopback addresses. Every event is appended to
a ``Record``, which is written to ``record.txt`` beside the script.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
#: Command of the deploy file.
COMMAND = ("python3", "-P", "-m", "mimosapost.platform")
HELD, BROKEN, UNABLE = 0, 1, 2
_METRICS_PORT = 9464
_START_SECONDS = 20.0
_STORE_ANSWER_SECONDS = 0.004


class Record:
    """Events of a run with the seconds since its start."""

    def __init__(self) -> None:
        self._start = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def add(self, event: str, **fields: object) -> None:
        """Add an event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now():8.3f} {event} {text}".rstrip())

    def write(self, path: Path) -> None:
        """Write all events to a file."""
        path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


@dataclass
class Message:
    """An HTTP message: first line, header fields with names in lower case, and body."""

    line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length, is in chunks or is empty."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for field_line in rest:
        name, _, value = field_line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = bytearray()
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return Message(line, headers, bytes(body))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(line, headers, body)


def create_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a response; underscores in header names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class _Server:
    """HTTP server that passes each request to ``answer`` and counts its connections."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                response = await self.answer(request, reader)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def answer(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Return the response to a request, or ``None`` to close the connection."""
        raise NotImplementedError


class Store(_Server):
    """The platform's store: items, watches, and machines that it turns away.

    :ivar refuses: whether reading calls are turned away with 503 while writes are accepted.
    """

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.refuses = False
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: object) -> None:
        """Accept an item; the return is the acknowledgement."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("createdRev", self._revision)
        item = {"key": key, "value": text, "revision": self._revision, "lease": 0}
        self._items[key] = item | {"createdRev": created}
        await self._publish(self._items[key])
        self.record.add("store_accepts", key=key, revision=self._revision)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        await self._publish({"key": key, "revision": self._revision, "removed": True})
        self.record.add("store_removes", key=key, revision=self._revision)

    async def _publish(self, event: dict) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def answer(self, request: Message, _reader: asyncio.StreamReader) -> bytes | None:
        """Answer a reading call."""
        await asyncio.sleep(_STORE_ANSWER_SECONDS)
        if self.refuses:
            return create_response(503)
        url = urlsplit(request.line.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("pathPrefix", "")
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self._items if k.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            content = {
                "items": [self._items[key] for key in keys[:500]],
                "truncated": len(keys) > 500,
                "asOf": self._revision,
            }
        elif url.path == "/api/kv-watch":
            content = await self._watch(prefix, int(query["after"]), int(query["waitMs"]))
        elif url.path == "/api/kv-key":
            item = self._items.get(query.get("key", ""))
            if item is None:
                return create_response(404)
            content = item | {"asOf": self._revision}
        else:
            return create_response(404)
        if self.refuses:
            # A watch that was waiting is cut.
            return None
        body = json.dumps(content).encode()
        return create_response(200, body, Content_Type="application/json")

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> dict:
        def find() -> list[dict]:
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1_000), self._changed:
                await self._changed.wait_for(lambda: find() or self.refuses)
        return {"events": find(), "asOf": self._revision}

    async def turn_away(self, refuses: bool) -> None:
        """Begin or end turning machines away."""
        self.refuses = refuses
        self.record.add("store_turns_away" if refuses else "store_serves_again")
        async with self._changed:
            self._changed.notify_all()


class StoreFront(_Server):
    """An address of the store for one machine, which may be turned away there.

    :ivar mode: ``serve``, ``busy`` (503) or ``reset``; a watch that waits is cut at a change.
    """

    def __init__(self, record: Record, store: Store) -> None:
        super().__init__(record)
        self._store = store
        self.mode = "serve"

    def change_mode(self, mode: str) -> None:
        """Change the mode and cut all connections."""
        self.mode = mode
        self.record.add("store_mode", mode=mode, address=self.address)
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Pass a call on to the store, or turn it away."""
        if self.mode == "busy":
            return create_response(503)
        if self.mode == "reset":
            return None
        return await self._store.answer(request, reader)


class Leaf(_Server):
    """A leaf that works on each request for a time and drops one whose connection closes.

    :ivar work_seconds: function of the request that returns how long the work takes.
    :ivar body: function of the request that returns the body of the answer.
    :ivar is_leaving: whether answers say that the leaf leaves.
    :ivar arrivals: time and id of each request that it began to run, in order.
    :ivar is_quiet: whether the record has no line for the answers.
    """

    def __init__(self, record: Record, leaf_id: str, service: str, zone: str) -> None:
        super().__init__(record)
        self.leaf_id, self.service, self.zone = leaf_id, service, zone
        self.work_seconds = lambda _request: 0.01
        self.body = lambda _request: self.leaf_id.encode().ljust(16, b".")[:16]
        self.is_leaving = False
        self.is_quiet = False
        self.slots = 3
        self.arrivals: list[tuple[float, str]] = []
        self.open_ids: set[str] = set()
        self._numbers = itertools.count(1)
        self._born = int(time.time() * 1_000)

    def create_entry(self, **changes: object) -> dict:
        """Return the entry of the leaf for the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": next(self._numbers),
            "born": self._born,
        }
        return entry | changes

    async def answer(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Run a request."""
        request_id = request.headers.get("x-request-id", "")
        if "x-expect-instance" not in request.headers and "/health" in request.line:
            return create_response(503 if self.is_leaving else 200, X_Instance_Id=self.leaf_id)
        if request.headers.get("x-expect-instance", self.leaf_id) != self.leaf_id:
            return create_response(421, X_Not_Executed="1", X_Request_Id=request_id)
        self.arrivals.append((self.record.now(), request_id))
        self.open_ids.add(request_id)
        line = request.line.rsplit(" ", 1)[0].replace(" ", "_")
        self.record.add("leaf_begins", leaf=self.leaf_id, request=request_id, line=line)
        work = asyncio.create_task(asyncio.sleep(self.work_seconds(request)))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.open_ids.discard(request_id)
            self.record.add("leaf_drops", leaf=self.leaf_id, request=request_id)
            return None
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        self.open_ids.discard(request_id)
        if not self.is_quiet:
            self.record.add("leaf_answers", leaf=self.leaf_id, request=request_id)
        leaving = {"Server_Leaving": "1"} if self.is_leaving else {}
        return create_response(
            200,
            self.body(request),
            X_Request_Id=request_id,
            X_Response_Seal=f"{self.leaf_id}.{next(self._numbers)}",
            X_Server_Load=f"{len(self.open_ids)},0,{self.slots}",
            Keep_Alive="timeout=10",
            **leaving,
        )

    async def stop(self) -> None:
        """End the process of the leaf, with all that it works on."""
        for request_id in sorted(self.open_ids):
            self.record.add("leaf_ends_under", leaf=self.leaf_id, request=request_id)
        self.record.add("leaf_ends", leaf=self.leaf_id)
        await super().stop()


@dataclass
class Machine:
    """A process of the deploy file in a network address of its own."""

    record: Record
    directory: Path
    name: str
    host: str
    zone: str
    region: str
    zones: dict[str, str]
    store_address: str
    seeds: tuple[str, ...]
    grace_seconds: int = 6
    memory_mb: int = 560
    descriptors: int = 8_200
    handle: asyncio.subprocess.Process | None = None
    exit_at: float | None = None
    _waiter: asyncio.Task | None = field(default=None, repr=False)

    @property
    def front(self) -> str:
        """Address that consumers connect to."""
        return f"{self.host}:8104"

    async def start(self) -> None:
        """Write the settings and start the process."""
        lines = {
            "nodeName": self.name,
            "role": "relay",
            "machineClass": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.zone,
            "region": self.region,
            **{f"zones.{zone}": region for zone, region in self.zones.items()},
            "listenAddrs.front": self.front,
            "listenAddrs.readyAddr": f"{self.host}:8108",
            "listenAddrs.control": f"{self.host}:8106",
            "portRange": "7380,7395",
            "seeds": ",".join(self.seeds),
            "bootstrap": "true",
            "limits.cpuShare": "0.717",
            "limits.cpuCores": "3",
            "limits.memoryMb": str(self.memory_mb),
            "limits.maxFds": str(self.descriptors),
            "limits.linkMbps": "2000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": "1200",
            "bounds.contactMs": "4000",
            "bounds.drainMs": "3000",
            "bounds.graceS": str(self.grace_seconds),
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "3000",
            "bounds.evacMs": "5000",
            "platform.address": self.store_address,
            "platform.form": "read",
        }
        path = self.directory / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()), encoding="utf-8")
        passed = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in passed if name in os.environ}
        environment |= {
            "MIMOSAPOST_CONFIG": str(path),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.handle = await asyncio.create_subprocess_exec(
                *COMMAND, stdout=log, stderr=log, env=environment, cwd=REPOSITORY
            )
        self.record.add("machine_starts", name=self.name, pid=self.handle.pid)
        self._waiter = asyncio.create_task(self._wait())

    async def _wait(self) -> None:
        status = await self.handle.wait()
        self.exit_at = self.record.now()
        self.record.add("machine_ends", name=self.name, status=status)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.handle is not None and self.handle.returncode is None:
            self.record.add("signal", name=self.name, signal=number.name)
            self.handle.send_signal(number)

    async def wait(self, seconds: float) -> bool:
        """Wait for the end of the process; return whether it came."""
        await asyncio.wait((self._waiter,), timeout=seconds)
        return self._waiter.done()

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.handle is not None and self.handle.returncode is None:
            self.handle.kill()
            await self.handle.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        path = self.directory / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""


async def get_ready_status(machine: Machine) -> int:
    """Return the status of the readiness check, 0 without an answer."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(machine.host, 8108)
            request = f"GET /api/ready HTTP/1.1\r\nHost: {machine.host}\r\n\r\n"
            writer.write(request.encode())
            status = (await read_message(reader)).status
            writer.transport.abort()
            return status
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


async def wait_ready(machines: list[Machine]) -> None:
    """Wait until all machines say that they are ready."""
    async with asyncio.timeout(_START_SECONDS):
        for machine in machines:
            while await get_ready_status(machine) != 200:
                await asyncio.sleep(0.1)
            machine.record.add("machine_ready", name=machine.name)


def choose_hosts(count: int) -> list[str]:
    """Return loopback addresses on which all ports of a machine are free."""
    while True:
        prefix = f"127.{random.randrange(130, 250)}.{random.randrange(1, 250)}"
        hosts = [f"{prefix}.{number + 1}" for number in range(count)]
        try:
            for host in hosts:
                for port in (8104, 8106, 8108, 7380, _METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return hosts


class Consumer:
    """A consumer with one connection, which it keeps for several requests.

    :param is_quiet: whether each request gets one line in the record, at its end.
    """

    def __init__(
        self, record: Record, machine: Machine, host: str, is_quiet: bool = False
    ) -> None:
        self.record, self.machine, self.host = record, machine, host
        self._is_quiet = is_quiet
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is kept, as far as the consumer has seen."""
        return self._writer is not None and not self._reader.at_eof()

    async def open(self) -> None:
        """Open the connection."""
        address = self.machine.front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            address[0], int(address[2]), limit=2**24
        )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def send(
        self,
        request_id: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        upload_seconds: float = 0.0,
        method: str = "",
    ) -> tuple[int, Message | None]:
        """Send a request and wait for the answer.

        :param upload_seconds: time that the body takes.
        :returns: status and answer; status 0 if the connection closed without a whole answer,
            -1 if the deadline passed.
        """
        if not self.is_open:
            self.close()
            await self.open()
        method = method or ("POST" if body else "GET")
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if not self._is_quiet:
            self.record.add("consumer_sends", request=request_id, method=method, path=path)
        started = self.record.now()
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 0.2):
                self._writer.write("\r\n".join([*lines, "", ""]).encode())
                pieces = max(1, int(upload_seconds / 0.1)) if body else 0
                for number in range(pieces):
                    start = len(body) * number // pieces
                    end = len(body) * (number + 1) // pieces
                    self._writer.write(body[start:end])
                    await self._writer.drain()
                    if number < pieces - 1:
                        await asyncio.sleep(upload_seconds / (pieces - 1))
                if body and not self._is_quiet:
                    self.record.add("consumer_sent_last_byte", request=request_id)
                answer = await read_message(self._reader)
        except TimeoutError:
            self.record.add("deadline_passed", request=request_id)
            self.close()
            return -1, None
        except (OSError, asyncio.IncompleteReadError) as error:
            elapsed = self.record.now() - started
            self.record.add(
                "closed_without_answer",
                request=request_id,
                error=type(error).__name__,
                after=f"{elapsed:.3f}",
            )
            self.close()
            return 0, None
        if self._is_quiet:
            sent = f"{started:.3f}"
            self.record.add(
                "consumer_gets", request=request_id, sent=sent, status=answer.status
            )
        else:
            self.record.add(
                "consumer_gets",
                request=request_id,
                status=answer.status,
                retry_after=answer.headers.get("retry-after", "-"),
                leaving=answer.headers.get("server-leaving", "-"),
            )
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer.status, answer


def create_route(name: str, prefix: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "routeKind": "idempotent",
        "timeoutMs": 4_000,
        "goalMs": 839,
        "priority": 2,
        "maxAttempts": 2,
    }
    return route | changes


def create_config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "maxConns": 38, "healthPath": "/health", "warmupS": 0}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def run_case(script: str, case) -> int:
    """Run a case and write its record.

    :param script: path of the script, whose folder gets ``record.txt``.
    :param case: coroutine function of the record, a temporary folder and whether there is the
        disruption. It returns ``HELD`` or ``BROKEN``.
    :returns: exit status.
    """
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("run", trouble=int(has_trouble))
    result = UNABLE
    try:
        with tempfile.TemporaryDirectory() as directory:
            result = asyncio.run(_run(case, record, Path(directory), has_trouble))
    except Exception as error:
        record.add("could_not_run", error=repr(error))
    record.add("result", status=result)
    record.write(Path(script).resolve().parent / "record.txt")
    sys.stdout.write(f"{Path(script).resolve().parent.name}: exit {result}\n")
    return result


async def _run(case, record: Record, directory: Path, has_trouble: bool) -> int:
    async with asyncio.timeout(110):
        return await case(record, directory, has_trouble)
