"""Contract tests of the HTTP server for callers."""

import asyncio
import hashlib
import io
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec
import pytest

from mimosapost.edge.caller_codec import compute_fingerprint
from mimosapost.edge.caller_server import CallerServer
from mimosapost.edge.tests.conftest import Events, read_clock_us
from mimosapost.edge.traces import Traces
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


class FakeCore(Events):
    """Stand-in for the reducer that answers each query with the query's body."""

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
    return FakeCore()


@pytest.fixture
async def server(core):
    async with CallerServer(
        core.handle, read_clock_us, CALLERS.get, SERVICES.get, read_timeout_s=0.3, linger_s=0.2
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


async def test_query_and_answer_fields(core, session):
    """No field of a query or an answer may be lost or renamed on the way."""
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
    # The caller's top priority and the service's maximum deadline limit the requested values.
    assert query.priority is Priority.NORMAL
    assert query.deadline_us - event.now_us <= 2_000_000
    assert query.fingerprint == compute_fingerprint("desk", {"size": 3, "term": "tutu"})


GOOD = {"request": 1}


@pytest.mark.parametrize(
    ("body", "path", "headers", "status", "code"),
    [
        pytest.param(b"", QUERY, HEADERS, 400, 2001, id="empty_body"),
        pytest.param(b"{", QUERY, HEADERS, 400, 2001, id="truncated_json"),
        pytest.param(b'{"request": "\xff"}', QUERY, HEADERS, 400, 2001, id="invalid_utf8"),
        pytest.param(b'{"request": 1e999}', QUERY, HEADERS, 400, 2001, id="infinite_number"),
        pytest.param(
            b'{"request": 1}{"request": 2}', QUERY, HEADERS, 400, 2001, id="two_json_values"
        ),
        pytest.param({}, QUERY, HEADERS, 400, 2001, id="no_request"),
        pytest.param(GOOD | {"other": 1}, QUERY, HEADERS, 400, 2001, id="unknown_field"),
        pytest.param(GOOD | {"deadline_ms": 0}, QUERY, HEADERS, 400, 2001, id="zero_deadline"),
        pytest.param(
            GOOD | {"deadline_ms": "5"}, QUERY, HEADERS, 400, 2001, id="deadline_as_string"
        ),
        pytest.param(
            GOOD | {"repeatable": 1}, QUERY, HEADERS, 400, 2001, id="repeatable_as_number"
        ),
        pytest.param(
            GOOD | {"priority": "highest"}, QUERY, HEADERS, 400, 2001, id="unknown_priority"
        ),
        pytest.param(GOOD | {"limit": -1}, QUERY, HEADERS, 400, 2001, id="negative_limit"),
        pytest.param(GOOD | {"ticket": "x" * 513}, QUERY, HEADERS, 400, 2001, id="long_ticket"),
        pytest.param(
            GOOD | {"coverage": {"mode": "share"}},
            QUERY,
            HEADERS,
            400,
            2001,
            id="share_mode_without_share",
        ),
        pytest.param(
            GOOD | {"coverage": {"mode": "any", "share": 1}},
            QUERY,
            HEADERS,
            400,
            2001,
            id="share_without_share_mode",
        ),
        pytest.param(
            b'{"request": ' + b"[" * 33 + b"1" + b"]" * 33 + b"}",
            QUERY,
            HEADERS,
            400,
            2001,
            id="nesting_33",
        ),
        pytest.param(
            b'{"request": ' + b"[" * 60_000 + b"]" * 60_000 + b"}",
            QUERY,
            HEADERS,
            400,
            2001,
            id="nesting_60000",
        ),
        pytest.param({"request": "x" * 300_000}, QUERY, HEADERS, 413, 2002, id="large_body"),
        pytest.param(
            GOOD, "/v1/services/gone/query", HEADERS, 404, 2003, id="service_without_settings"
        ),
        pytest.param(
            GOOD, "/v1/services/other/query", HEADERS, 403, 2005, id="service_not_allowed"
        ),
        pytest.param(GOOD, "/v1/other", HEADERS, 400, 2001, id="unknown_path"),
        pytest.param(GOOD, QUERY, {}, 401, 2004, id="no_credentials"),
        pytest.param(
            GOOD,
            QUERY,
            HEADERS | {"Authorization": "Bearer other"},
            401,
            2004,
            id="wrong_token",
        ),
        pytest.param(
            GOOD,
            QUERY,
            HEADERS | {"Authorization": f"Basic {TOKEN}"},
            401,
            2004,
            id="basic_scheme",
        ),
        pytest.param(
            GOOD, QUERY, HEADERS | {"X-Caller": "other"}, 401, 2004, id="wrong_caller"
        ),
        pytest.param(
            GOOD, QUERY, HEADERS | {"Content-Encoding": "gzip"}, 400, 2001, id="compressed_body"
        ),
        pytest.param(
            GOOD,
            QUERY,
            HEADERS | {f"X-{n}": "1" for n in range(80)},
            400,
            2001,
            id="too_many_headers",
        ),
    ],
)
async def test_refusals(core, session, body, path, headers, status, code):
    """An invalid request must get a result code and must not reach the core."""
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


def create_raw_request(body, length=None, **headers):
    lines = [f"POST {QUERY} HTTP/1.1", "Host: x"]
    lines += [f"{name}: {value}" for name, value in (HEADERS | headers).items()]
    lines += [f"Content-Length: {len(body) if length is None else length}", "", ""]
    return "\r\n".join(lines).encode() + body


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head.split()[1]), msgspec.json.decode(await reader.readexactly(length))


async def test_pipelined_queries_get_their_own_answers(core, server):
    """Answers must be written in the order of the queries on a connection."""
    async with connect(server) as (reader, writer):
        for number in range(20):
            writer.write(create_raw_request(b'{"request": %d}' % number))
        results = [(await read_answer(reader))[1]["result"] for _ in range(20)]
    assert results == list(range(20))


async def test_late_answer_reaches_no_other_caller(core, server):
    """An answer for a disconnected caller must be dropped.

    The core may answer a query after its caller has left; a later caller must not receive
    that answer, nor an answer to its own query twice.
    """
    core.answers = False
    async with connect(server) as (_, writer):
        writer.write(create_raw_request(b'{"request": "first"}'))
        await core.wait_for(1)
    await core.wait_for(2)
    async with connect(server) as (reader, writer):
        writer.write(create_raw_request(b'{"request": "second"}'))
        await core.wait_for(3)
        for event in (core[0], core[2], core[0], core[2]):
            answer = Answer(ResultCode.COMPLETE, RunState.RAN, event.query.body)
            server.execute(AnswerCaller(event.query.query_id, answer))
        assert (await read_answer(reader))[1]["result"] == "second"
    assert [type(event) for event in core] == [QueryArrived, CallerGone, QueryArrived]


@pytest.mark.parametrize("end", ["close", "half_close", "reset"])
async def test_disconnected_caller_is_reported(core, server, end):
    """Without ``CallerGone`` the core would continue to work for a caller that has left."""
    core.answers = False
    async with connect(server) as (_, writer):
        writer.write(create_raw_request(b'{"request": 1}'))
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
        pytest.param(b"nothing like HTTP\r\n\r\n", 400, 2001, id="not_http"),
        pytest.param(
            b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            400,
            2001,
            id="invalid_content_length",
        ),
        pytest.param(
            b"GET /healthz HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 9_000 + b"\r\n\r\n",
            400,
            2001,
            id="header_too_long",
        ),
        # The body is shorter than announced, so the read timeout ends the request.
        pytest.param(create_raw_request(b'{"request"', 20), 400, 2001, id="incomplete_body"),
        pytest.param(create_raw_request(b"", 10**9), 413, 2002, id="body_too_large"),
    ],
)
async def test_raw_refusals(core, server, raw, status, code):
    """A broken request must get a result code and its connection must be closed.

    Otherwise such requests would hold connections open.
    """
    async with connect(server) as (reader, writer):
        writer.write(raw)
        got_status, answer = await read_answer(reader)
        assert (got_status, answer["code"], answer["run"]) == (status, code, "not_run")
        assert await reader.read() == b""
    assert core == []


async def test_refusal_of_a_large_body_arrives(core):
    """The caller must receive a refusal while it is still writing a large body.

    If the server closed the connection at once, the kernel would reset it because of the
    unread bytes, and the caller would lose the refusal.
    """
    server = CallerServer(core.handle, read_clock_us, CALLERS.get, SERVICES.get, linger_s=20.0)
    async with server, connect(server) as (reader, writer):
        raw = create_raw_request(b" " * 4_000_000)
        writer.write(raw[:1_000_000])
        await asyncio.sleep(0.05)
        writer.write(raw[1_000_000:])
        await writer.drain()
        await asyncio.sleep(0.05)
        status, answer = await read_answer(reader)
    assert (status, answer["code"]) == (413, 2002)


async def test_body_sent_byte_by_byte_times_out(core, server):
    """The read timeout covers the whole body; single bytes must not extend it."""
    async with connect(server) as (reader, writer):
        writer.write(create_raw_request(b"", 10_000))

        async def send_single_bytes():
            while True:
                writer.write(b" ")
                await asyncio.sleep(0.01)

        sender = asyncio.create_task(send_single_bytes())
        status, answer = await read_answer(reader)
        sender.cancel()
    assert (status, answer["code"]) == (400, 2001)
    assert core == []


async def test_large_answer_is_whole(core, session):
    """A large answer is written in chunks, which must arrive completely and in order."""
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
    """A graceful stop must not interrupt open queries."""
    core.answers = False
    server = CallerServer(core.handle, read_clock_us, CALLERS.get, SERVICES.get)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(server)
        reader, writer = await asyncio.open_connection(*server.address.split(":"))
        writer.write(create_raw_request(b'{"request": 1}'))
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
        pytest.param(True, True, "/readyz", 200, id="ready"),
        pytest.param(True, False, "/readyz", 503, id="not_ready"),
        pytest.param(True, False, "/healthz", 200, id="alive_while_not_ready"),
        pytest.param(False, True, QUERY, 503, id="not_configured"),
    ],
)
async def test_readiness_and_missing_settings(core, configured, ready, path, status):
    """Check the status while the instance is stopping and before settings are in force.

    A stopping instance must not be ready. Before settings are in force, no caller is known,
    and callers must get ``NOT_CONFIGURED`` instead of 401.
    """
    server = CallerServer(
        core.handle,
        read_clock_us,
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
    [
        pytest.param(0.0, True, True, id="received_ratio_0"),
        pytest.param(1.0, True, False, id="received_ratio_1"),
        pytest.param(1.0, False, False, id="none_ratio_1"),
        pytest.param(0.0, False, True, id="none_ratio_0"),
    ],
)
async def test_traceparent(core, ratio, sent, same):
    """The trace context of a caller must reach the core and return in the answer.

    With a sampled trace, both carry the span of this instance within the same trace.
    """
    header = "00-" + "a" * 32 + "-" + "b" * 16 + "-01" if sent else ""
    stream = io.StringIO()
    traces = Traces(stream, ratio, seed=1)
    server = CallerServer(core.handle, read_clock_us, CALLERS.get, SERVICES.get, traces=traces)
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


async def test_internal_error_has_unknown_run_state(core, session):
    """An error after the core has received the query must not report "not run".

    The query may have run; here its result cannot be encoded.
    """
    core.answers = False
    request = asyncio.create_task(post(session, {"request": 1}))
    (event,) = await core.wait_for(1)
    answer = Answer(ResultCode.COMPLETE, RunState.RAN, result=object())
    core.server.execute(AnswerCaller(event.query.query_id, answer))
    status, body = await request
    assert (status, body["code"], body["run"]) == (500, 5002, "unknown")
