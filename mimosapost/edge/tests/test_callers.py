"""Contract tests of the caller interface."""

import asyncio
import hashlib

import aiohttp
import msgspec
import pytest

from mimosapost.edge.callers import CallerServer
from mimosapost.edge.tests.conftest import Events, clock_us
from mimosapost.edge.wire import compute_fingerprint
from mimosapost.model.codes import Priority, ResultCode, RunState
from mimosapost.model.effects import AnswerCaller
from mimosapost.model.events import CallerGone, QueryArrived
from mimosapost.model.identities import Snapshot
from mimosapost.model.published import (
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
        core.handle, clock_us, CALLERS.get, SERVICES.get, read_timeout_s=0.3
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


async def test_caller_gone(core, server):
    """Guards against work for a caller that has left."""
    core.answers = False
    host, port = server.address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {QUERY} HTTP/1.1\r\nHost: x\r\nX-Caller: desk-app\r\n"
    head += f"Authorization: Bearer {TOKEN}\r\nContent-Length: 13\r\n\r\n"
    writer.write(head.encode() + b'{"request":1}')
    await core.wait_for(1)
    writer.close()
    arrived, gone = await core.wait_for(2)
    assert gone.query_id == arrived.query.query_id
    assert isinstance(gone, CallerGone)
    assert server.open_queries == 0
