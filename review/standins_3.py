"""Stand-ins for the platform, its leafs and its consumers, for the scripts of review 3.

They use the standard library alone and speak what ``PROTOCOL.md`` says. Everything listens on
loopback addresses, and each process of the system runs with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "shop.example"
#: Places of a small deployment: failure domain and region of each instance.
PLACES = (("rocklea", "brisbane"), ("wilsonton", "darling-downs"), ("portsmith", "far-north"))
_WATCH_POLL_SECONDS = 0.005


@dataclass
class Message:
    """An HTTP message: its first line, its header fields in lower case, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length or chunks; ``None`` if the connection ended."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first_line, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    message = Message(first_line, {name.lower(): value.strip() for name, _, value in pairs})
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        size = int(message.headers.get("content-length", 0))
        message.body = await reader.readexactly(size)
    return message


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Record:
    """Writes what was sent, answered and run to a file, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store:
    """The platform's store: lists and watches its items; ``put`` and ``remove`` change them."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.address = ""

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port."""
        self.address = await _listen(stack, self._serve)

    def put(self, key: str, value: object) -> None:
        """Write an item as JSON."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "createdRev": self.items.get(key, {}).get("createdRev", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "removed": True})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            parts = urlsplit(request.target)
            query = {key: values[0] for key, values in parse_qs(parts.query).items()}
            prefix = query.get("pathPrefix", "")
            if parts.path == "/api/kv-range":
                answer = self._list(prefix, query.get("after", ""))
            else:
                answer = await self._watch(
                    prefix, int(query["after"]), int(query["waitMs"]) / 1_000
                )
            headers = {"Content-Type": "application/json"}
            writer.write(encode_answer(200, headers, json.dumps(answer).encode()))
            await writer.drain()

    def _list(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys]
        return {"items": items, "truncated": False, "asOf": self.revision}

    async def _watch(self, prefix: str, after: int, wait_seconds: float) -> dict:
        deadline = time.monotonic() + wait_seconds
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= deadline:
                return {"events": events, "asOf": self.revision}
            await asyncio.sleep(_WATCH_POLL_SECONDS)


class Proxy:
    """A proxy to one address whose open connections may go silent while new ones work."""

    def __init__(self, target: str) -> None:
        self.address = ""
        self._target = target
        self._silenced: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port."""
        self.address = await _listen(stack, self._serve)

    def silence(self) -> int:
        """Pass on nothing more on the open connections, and return their number."""
        self._silenced |= self._open
        return len(self._open)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        self._open.add(writer)
        copies = [
            asyncio.create_task(self._copy(reader, upstream_writer, writer)),
            asyncio.create_task(self._copy(upstream_reader, writer, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            self._open.discard(writer)
            upstream_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(65_536):
            if connection in self._silenced:
                # Neither bytes nor the end of the connection are passed on any more.
                await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
        if connection in self._silenced:
            await asyncio.Event().wait()


@dataclass
class Leaf:
    """A leaf that runs each request for some time and signs its answer.

    :ivar work_seconds: time for which a request runs.
    :ivar respond: coroutine function that takes a request and returns the bytes of the answer;
        ``None`` for the usual answer.
    :ivar runs: ids of the requests that it has begun to run, in order.
    """

    server_id: str
    service: str
    zone: str
    record: Record
    work_seconds: float = 0.01
    respond: Callable[[Leaf, Message], Awaitable[bytes]] | None = None
    runs: list[str] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    stack: AsyncExitStack | None = None
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1_000))

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port."""
        self.stack = await stack.enter_async_context(AsyncExitStack())
        self.address = await _listen(self.stack, self._serve, self.writers)

    async def end(self) -> None:
        """Stop to listen and close all connections, as at the end of the process."""
        await self.stack.aclose()
        for writer in list(self.writers):
            writer.transport.abort()

    def create_entry(self, **changes: object) -> dict:
        """Return the entry of the leaf in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }
        return entry | changes

    def create_headers(self, request: Message) -> dict[str, str]:
        """Return the header fields of an answer to a request that has run."""
        request_id = request.headers["x-request-id"]
        seal = f"{self.server_id}.{len(self.runs)}.{request_id}"
        return {"X-Request-Id": request_id, "X-Response-Seal": seal}

    def run(self, request: Message) -> None:
        """Record that a request runs."""
        self.runs.append(request.headers["x-request-id"])
        self.record.write(f"leaf {self.server_id} runs {self.runs[-1]}: {request.first_line}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            if request.headers.get("x-expect-instance") != self.server_id:
                headers = {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"}
                writer.write(encode_answer(421, headers))
            elif self.respond is not None:
                writer.write(await self.respond(self, request))
            else:
                self.run(request)
                await asyncio.sleep(self.work_seconds)
                headers = self.create_headers(request)
                writer.write(encode_answer(200, headers, request.target.encode()))
            await writer.drain()


@dataclass
class Instance:
    """A process of the system, started with the command of the deploy file."""

    name: str
    host: str
    zone: str
    region: str
    store_address: str
    seeds: str
    directory: Path
    more_settings: str = ""
    handle: asyncio.subprocess.Process | None = None

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        settings = self.directory / f"{self.name}.conf"
        settings.write_text(self._create_settings() + self.more_settings, encoding="utf-8")
        return settings

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the process; it is killed when the stack closes."""
        settings = self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["relay"]
        known = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment = known | role["env"]
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["MIMOSAPOST_CONFIG"] = str(settings)
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.handle = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        stack.push_async_callback(self.kill)

    def _create_settings(self) -> str:
        zones = "".join(f"zones.{zone}={region}\n" for zone, region in PLACES)
        return (
            f"nodeName={self.name}\nrole=relay\nmachineClass=front\nserves=front,control\n"
            f"ip={self.host}\nzone={self.zone}\nregion={self.region}\n{zones}"
            f"listenAddrs.front={self.host}:8104\nlistenAddrs.readyAddr={self.host}:8108\n"
            f"listenAddrs.control={self.host}:8106\nportRange=7380,7395\nseeds={self.seeds}\n"
            "bootstrap=false\nlimits.memoryMb=560\nlimits.maxFds=8200\n"
            f"platform.address={self.store_address}\nplatform.form=read\nheartbeatMs=1200\n"
            "bounds.contactMs=5000\nbounds.graceS=6\nbounds.drainMs=3000\n"
            "bounds.lossSlackMs=200\nbounds.configApplyMs=3000\nbounds.evacMs=5000\n"
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.handle is not None and self.handle.returncode is None:
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.handle is not None:
            await self.handle.wait()

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        async with asyncio.timeout(20):
            while await self.fetch_ready() != 200:
                await asyncio.sleep(0.05)

    async def fetch_ready(self) -> int:
        """Return the status of the readiness check, or 0 without an answer."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.host, 8108)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await read_message(reader)
                writer.transport.abort()
                return answer.status if answer is not None else 0
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0


class Consumer:
    """A consumer that keeps its connection open for several requests."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, instance: Instance) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(instance.host, 8104)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def send(
        self,
        path: str,
        deadline_ms: int,
        method: str = "GET",
        body: bytes = b"",
        body_seconds: float = 0.0,
        pieces: int = 1,
    ) -> tuple[str, Message | None]:
        """Send a request and wait for its answer.

        :param body_seconds: time in which the body is sent.
        :param pieces: number of pieces in which it is sent.
        :returns: id of the request, and the answer; ``None`` if the connection ended first.
        """
        self._count += 1
        request_id = f"{self.name}-{self._count}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n"
        )
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self._record.write(f"consumer sends {request_id}: {method} {path}")
        try:
            self._writer.write(head.encode() + b"\r\n")
            size = -(-len(body) // pieces)
            for start in range(0, len(body), max(1, size)):
                self._writer.write(body[start : start + size])
                await asyncio.sleep(body_seconds / pieces)
            if pieces > 1:
                self._record.write(f"consumer has sent the body of {request_id}")
            async with asyncio.timeout(deadline_ms / 1_000 + 1):
                answer = await read_message(self._reader)
            reason = "the connection was closed"
        except TimeoutError:
            answer, reason = None, "the deadline has passed"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer, reason = None, f"the connection ended: {type(error).__name__}"
        if answer is None:
            self._record.write(f"consumer has no answer to {request_id}: {reason}")
        else:
            seal = answer.headers.get("x-response-seal", "none")
            self._record.write(f"answer to {request_id}: {answer.status}, seal {seal}")
        return request_id, answer


def create_route(name: str, **changes: object) -> dict:
    """Return a route with the times of the requests to one leaf of a small deployment."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "routeKind": "idempotent",
        "timeoutMs": 4_000,
        "goalMs": 839,
        "priority": 1,
        "maxAttempts": 2,
    }
    return route | changes


def create_config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "maxConns": 38} for name in services],
        "limits": {
            "maxHeaderBytes": 32_768,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 10_000,
            "idleTimeoutMs": 60_000,
        },
    }


def create_instances(count: int, store: Store, directory: Path) -> list[Instance]:
    """Return the instances of a deployment, on loopback addresses that are free."""
    prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
    seeds = ",".join(f"{prefix}.{n + 1}:8106" for n in range(min(3, count)))
    return [
        Instance(
            f"front-{n + 1}",
            f"{prefix}.{n + 1}",
            *PLACES[n % 3],
            store.address,
            seeds,
            directory,
        )
        for n in range(count)
    ]


def run_case(play: Callable[[AsyncExitStack, Record, Path, bool], Awaitable[bool]]) -> int:
    """Play a case in its folder and return the exit status.

    :param play: coroutine function that returns whether the rule held. Its arguments are the
        exit stack, the record, a temporary folder and whether the disruption is played.
    :returns: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return 0 if asyncio.run(_run_case(play, has_trouble)) else 1
    except Exception as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2


async def _run_case(play: Callable[..., Awaitable[bool]], has_trouble: bool) -> bool:
    async with asyncio.timeout(110), AsyncExitStack() as stack:
        record = Record(Path.cwd() / "record.txt")
        stack.callback(record.close)
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        record.write(f"trouble {has_trouble}")
        held = await play(stack, record, directory, has_trouble)
        record.write(f"the rule {'held' if held else 'was broken'}")
        return held


async def _listen(
    stack: AsyncExitStack,
    serve: Callable[..., Awaitable[None]],
    writers: set[asyncio.StreamWriter] | None = None,
) -> str:
    open_writers = set() if writers is None else writers

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        open_writers.add(writer)
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            open_writers.discard(writer)
            writer.transport.abort()

    listener = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    stack.callback(listener.close)
    host, port = listener.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
