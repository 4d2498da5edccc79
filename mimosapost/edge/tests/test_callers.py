"""Contract tests of the caller interface."""

import asyncio
import hashlib
import io
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec
import pytest

from mimosapost.edge.callers import CallerServer
from mimosapost.edge.tests.conftest import Events, clock_us
from mimosapost.edge.traces import Traces
from mimosapost.edge.wire import compute_fingerprint
from mimosapost.model.codes import Priority, ResultCode, RunState
from mimosapost.model.effects import AnswerCaller
from mimosapost.model.events import CallerGone, QueryArrived
from mimosapost.model.identities import Snapshot
from mimosapost.model.published_settings import (
    CallerSettings,
    LeafSettings,
    ServiceSettings,
    SlotSettings,
)
from mimosapost.model.queries import Answer

TOKEN = "t0ken"
DIGEST = hashlib.sha256(TOKEN.encode()).hexdigest()
HEADERS = {"X-Caller": "desk-app", "Authorization": f"Bearer {TOKEN}"}
CALLERS = {DIGEST: CallerSettings("desk-app", DIGEST, ("desk", "gone"), top_priority="normal")}
SERVICES = {
    "desk": ServiceSettings(
        "desk", 1, 1, (LeafSettings("a", (SlotSettings("s", "127.0.0.1:1", "a"),)),)
    )
}
QUERY = "/v1/services/desk/query"


class Core(Events):
    """Answers each query with its own body, as a reducer would."""

    def __init__(self):
        super().__init__()
        self.server = None
        self.answers = True

    def handle(self, event):
        super().handle(event)
        if self.answers and isinstance(event, QueryArrived):
            result = Answer(
                ResultCode.COMPLETE, RunState.RAN, event.query.body, Snapshot(1, 7), ("a",)
            )
            self.server.execute(AnswerCaller(event.query.query_id, result))


@pytest.fixture
async def core():
    return Core()


@pytest.fixture
async def server(core):
    async with CallerServer(
        core.handle, clock_us, CALLERS.get, SERVICES.get, read_timeout_s=0.3, linger_s=0.2
    ) as caller_server:
        core.server = caller_server
        yield caller_server


@pytest.fixture
async def session(server):
    async with aiohttp.ClientSession(f"http://{server.address}") as client_session:
        yield client_session


async def post(session, body, path=QUERY, headers=HEADERS):
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    async with session.post(path, data=raw, headers=headers) as response:
        return response.status, await response.json()


async def test_answer(core, session):
    """Guards against a lost or renamed field of query or answer."""
    body = {
        "request": {"term": "tutu", "size": 3},
        "priority": "urgent",
        "deadline_ms": 500_000,
        "repeatable": True,
        "coverage": {"mode": "share", "share": 0.9},
        "limit": 4,
    }
    status, answer = await post(session, body)
    assert status == 200
    assert answer == {
        "code": 1000,
        "run": "ran",
        "result": {"term": "tutu", "size": 3},
        "snapshot": {"map_version": 1, "index_version": 7},
        "coverage": {"covered": ["a"], "missing": []},
        "ticket": "",
        "detail": "",
    }
    event = core[0]
    query = event.query
    assert (query.caller, query.service, query.limit) == ("desk-app", "desk", 4)
    assert query.min_coverage == 0.9
    # The caller's top priority and the service's longest deadline bound what it asks for.
    assert query.priority is Priority.NORMAL
    assert query.deadline_us - event.now_us <= 2_000_000
    assert query.fingerprint == compute_fingerprint("desk", {"size": 3, "term": "tutu"})


GOOD = {"request": 1}


@pytest.mark.parametrize(
    ("body", "path", "headers", "status", "code"),
    [
        (b"", QUERY, HEADERS, 400, 2001),
        (b"{", QUERY, HEADERS, 400, 2001),
        (b'{"request": "\xff"}', QUERY, HEADERS, 400, 2001),
        (b'{"request": 1e999}', QUERY, HEADERS, 400, 2001),
        (b'{"request": 1}{"request": 2}', QUERY, HEADERS, 400, 2001),
        ({}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"other": 1}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"deadline_ms": 0}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"deadline_ms": "5"}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"repeatable": 1}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"priority": "highest"}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"limit": -1}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"ticket": "x" * 513}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"coverage": {"mode": "share"}}, QUERY, HEADERS, 400, 2001),
        (GOOD | {"coverage": {"mode": "any", "share": 1}}, QUERY, HEADERS, 400, 2001),
        (b'{"request": ' + b"[" * 33 + b"1" + b"]" * 33 + b"}", QUERY, HEADERS, 400, 2001),
        (b'{"request": ' + b"[" * 60_000 + b"]" * 60_000 + b"}", QUERY, HEADERS, 400, 2001),
        ({"request": "x" * 300_000}, QUERY, HEADERS, 413, 2002),
        (GOOD, "/v1/services/gone/query", HEADERS, 404, 2003),
        (GOOD, "/v1/services/other/query", HEADERS, 403, 2005),
        (GOOD, "/v1/other", HEADERS, 400, 2001),
        (GOOD, QUERY, {}, 401, 2004),
        (GOOD, QUERY, HEADERS | {"Authorization": "Bearer other"}, 401, 2004),
        (GOOD, QUERY, HEADERS | {"Authorization": f"Basic {TOKEN}"}, 401, 2004),
        (GOOD, QUERY, HEADERS | {"X-Caller": "other"}, 401, 2004),
        (GOOD, QUERY, HEADERS | {"Content-Encoding": "gzip"}, 400, 2001),
        (GOOD, QUERY, HEADERS | {f"X-{n}": "1" for n in range(80)}, 400, 2001),
    ],
)
async def test_refusals(core, session, body, path, headers, status, code):
    """Guards against a bad request that reaches the core or gets no numbered code."""
    got_status, answer = await post(session, body, path, headers)
    assert (got_status, answer["code"], answer["run"]) == (status, code, "not_run")
    assert core == []


@asynccontextmanager
async def connect(server):
    host, port = server.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


def create_raw(body, length=None, **headers):
    lines = [f"POST {QUERY} HTTP/1.1", "Host: x"]
    lines += [f"{name}: {value}" for name, value in (HEADERS | headers).items()]
    lines += [f"Content-Length: {len(body) if length is None else length}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head.split()[1]), msgspec.json.decode(await reader.readexactly(length))


async def test_pipelined_queries_get_their_own_answers(core, server):
    """Guards against crossed answers on one connection."""
    async with connect(server) as (reader, writer):
        for number in range(20):
            writer.write(create_raw(b'{"request": %d}' % number))
        results = [(await read_answer(reader))[1]["result"] for _ in range(20)]
    assert results == list(range(20))


async def test_late_answer_reaches_no_other_caller(core, server):
    """Guards against an answer to a caller that is gone reaching the next one."""
    core.answers = False
    async with connect(server) as (_, writer):
        writer.write(create_raw(b'{"request": "first"}'))
        await core.wait_for(1)
    await core.wait_for(2)
    async with connect(server) as (reader, writer):
        writer.write(create_raw(b'{"request": "second"}'))
        await core.wait_for(3)
        for event in (core[0], core[2], core[0], core[2]):
            answer = Answer(ResultCode.COMPLETE, RunState.RAN, event.query.body)
            server.execute(AnswerCaller(event.query.query_id, answer))
        assert (await read_answer(reader))[1]["result"] == "second"
    assert [type(event) for event in core] == [QueryArrived, CallerGone, QueryArrived]


@pytest.mark.parametrize("end", ["close", "half_close", "reset"])
async def test_caller_gone(core, server, end):
    """Guards against work for a caller that has left."""
    core.answers = False
    async with connect(server) as (_, writer):
        writer.write(create_raw(b'{"request": 1}'))
        await core.wait_for(1)
        match end:
            case "close":
                writer.close()
            case "half_close":
                writer.write_eof()
            case "reset":
                writer.transport.abort()
        arrived, gone = await core.wait_for(2)
    assert isinstance(gone, CallerGone)
    assert gone.query_id == arrived.query.query_id
    assert server.open_queries == 0


@pytest.mark.parametrize(
    ("raw", "status", "code"),
    [
        (b"nothing like HTTP\r\n\r\n", 400, 2001),
        (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, 2001),
        (b"GET /healthz HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 9_000 + b"\r\n\r\n", 400, 2001),
        # The body stops early; the time in which it must arrive whole ends the request.
        (create_raw(b'{"request"', 20), 400, 2001),
        (create_raw(b"", 10**9), 413, 2002),
    ],
)
async def test_raw_refusals(core, server, raw, status, code):
    """Guards against a connection held by a broken request, or an answer without a code."""
    async with connect(server) as (reader, writer):
        writer.write(raw)
        got_status, answer = await read_answer(reader)
        assert (got_status, answer["code"], answer["run"]) == (status, code, "not_run")
        assert await reader.read() == b""
    assert core == []


async def test_refusal_of_a_large_body_arrives(core):
    """Guards against a reset that destroys the refusal while the caller still writes."""
    server = CallerServer(core.handle, clock_us, CALLERS.get, SERVICES.get, linger_s=20.0)
    async with server, connect(server) as (reader, writer):
        raw = create_raw(b" " * 4_000_000)
        writer.write(raw[:1_000_000])
        await asyncio.sleep(0.05)
        writer.write(raw[1_000_000:])
        await writer.drain()
        await asyncio.sleep(0.05)
        status, answer = await read_answer(reader)
    assert (status, answer["code"]) == (413, 2002)


async def test_slow_drip_of_a_body(core, server):
    """Guards against a caller that holds a connection by sending byte after byte."""
    async with connect(server) as (reader, writer):
        writer.write(create_raw(b"", 10_000))

        async def drip():
            while True:
                writer.write(b" ")
                await asyncio.sleep(0.01)

        dripping = asyncio.create_task(drip())
        status, answer = await read_answer(reader)
        dripping.cancel()
    assert (status, answer["code"]) == (400, 2001)
    assert core == []


async def test_large_answer_is_whole(core, session):
    """Guards against a large answer that is cut or mixed up between chunks."""
    core.answers = False
    request = asyncio.create_task(post(session, {"request": 1}))
    (event,) = await core.wait_for(1)
    result = [f"item-{number}" for number in range(200_000)]
    answer = Answer(ResultCode.COMPLETE, RunState.RAN, result)
    core.server.execute(AnswerCaller(event.query.query_id, answer))
    status, body = await request
    assert status == 200
    assert body["result"] == result


async def test_closing_completes_answers_in_flight(core):
    """Guards against a graceful stop that interrupts a query."""
    core.answers = False
    server = CallerServer(core.handle, clock_us, CALLERS.get, SERVICES.get)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(server)
        reader, writer = await asyncio.open_connection(*server.address.split(":"))
        writer.write(create_raw(b'{"request": 1}'))
        (event,) = await core.wait_for(1)
        closing = asyncio.create_task(stack.pop_all().aclose())
        await asyncio.sleep(0.05)
        assert not closing.done()
        answer = Answer(ResultCode.COMPLETE, RunState.RAN, "whole")
        server.execute(AnswerCaller(event.query.query_id, answer))
        assert (await read_answer(reader))[1]["result"] == "whole"
        writer.close()
        await closing


@pytest.mark.parametrize(
    ("configured", "ready", "path", "status"),
    [
        (True, True, "/readyz", 200),
        (True, False, "/readyz", 503),
        (True, False, "/healthz", 200),
        (False, True, QUERY, 503),
    ],
)
async def test_states(core, configured, ready, path, status):
    """Guards against readiness while stopping, and against 401 before settings are in force."""
    server = CallerServer(
        core.handle,
        clock_us,
        CALLERS.get,
        SERVICES.get,
        is_configured=lambda: configured,
        is_ready=lambda: ready,
    )
    async with server, aiohttp.ClientSession(f"http://{server.address}") as session:
        method = "POST" if path == QUERY else "GET"
        async with session.request(method, path, json=GOOD, headers=HEADERS) as response:
            assert response.status == status
            if path == QUERY:
                assert (await response.json())["code"] == ResultCode.NOT_CONFIGURED


@pytest.mark.parametrize(
    ("ratio", "sent", "same"),
    [(0.0, True, True), (1.0, True, False), (1.0, False, False), (0.0, False, True)],
)
async def test_traceparent(core, ratio, sent, same):
    """Guards against a trace that ends at this hop, in both directions."""
    header = "00-" + "a" * 32 + "-" + "b" * 16 + "-01" if sent else ""
    stream = io.StringIO()
    traces = Traces(stream, ratio, seed=1)
    server = CallerServer(core.handle, clock_us, CALLERS.get, SERVICES.get, traces=traces)
    core.server = server
    headers = HEADERS | ({"traceparent": header} if sent else {})
    async with (
        server,
        aiohttp.ClientSession(f"http://{server.address}") as session,
        session.post(QUERY, json=GOOD, headers=headers) as response,
    ):
        traceparent = response.headers.get("traceparent", "")
    assert core[0].query.traceparent == traceparent
    assert (traceparent == header) == same
    assert bool(stream.getvalue()) != same
    if sent:
        assert traceparent[3:35] == "a" * 32


async def test_internal_error_is_of_unknown_outcome(core, session):
    """Guards against "not run" for a query that the core had already taken."""
    core.answers = False
    request = asyncio.create_task(post(session, {"request": 1}))
    (event,) = await core.wait_for(1)
    answer = Answer(ResultCode.COMPLETE, RunState.RAN, result=object())
    core.server.execute(AnswerCaller(event.query.query_id, answer))
    status, body = await request
    assert (status, body["code"], body["run"]) == (500, 5002, "unknown")
