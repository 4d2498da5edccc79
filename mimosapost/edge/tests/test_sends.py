"""Tests of ``BackendClient``: run states, use of connections, and cancellation."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from mimosapost.edge.backend_client import BackendClient
from mimosapost.edge.sub_requests import SubRequestBody
from mimosapost.edge.tests.conftest import create_send, read_clock_us
from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import CancelSend, CloseConnections, EmitSend, OpenProbe
from mimosapost.model.events import ProbeAnswered, ProbeFailed, SendAnswered, SendFailed
from mimosapost.standins.backends import Backends
from mimosapost.standins.behaviour import Behaviour

SLOW = 60_000.0


class RawServer:
    """HTTP server that records requests.

    :param answers: number of requests that are answered; a later one closes its connection.
    :param reply: bytes of each answer.
    """

    def __init__(self, answers, reply=b""):
        self.answers = answers
        self.reply = reply
        self.requests = []
        self.address = ""

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                self.requests.append(head + await reader.readexactly(length))
                if len(self.requests) > self.answers:
                    break
                writer.write(self.reply)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    @asynccontextmanager
    async def run(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()


ANSWER = (
    b'{"request_id":"r1","leaf":"a","map_version":1,"index_version":7,'
    b'"boot_id":"b","load":0,"items":[]}'
)
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(ANSWER), ANSWER)


async def test_no_second_request_after_kept_connection_breaks(client, events):
    """The HTTP client must not send a request again on its own.

    aiohttp does so for idempotent methods when a reused connection breaks.
    """
    async with RawServer(1, REPLY).run() as server:
        client.execute(create_send(1, server.address))
        await events.wait_for(1)
        client.execute(create_send(2, server.address))
        await events.wait_for(2)
        await asyncio.sleep(0.05)
        assert len(server.requests) == 2
    assert isinstance(events[0], SendAnswered)
    assert (events[1].kind, events[1].run) == (FailureKind.RESET, RunState.UNKNOWN)
    assert all(raw.startswith(b"POST /v1/search ") for raw in server.requests)


async def test_refused_connection_is_not_run(client, events):
    """Nothing was written, so the run state must be known to be "not run"."""
    async with RawServer(0).run() as server:
        pass
    client.execute(create_send(1, server.address))
    (event,) = await events.wait_for(1)
    assert (event.kind, event.run) == (FailureKind.REFUSED, RunState.NOT_RUN)


@pytest.mark.parametrize(
    ("reply", "kind", "run"),
    [
        pytest.param(
            b"HTTP/1.1 503 x\r\nX-Run-State: not-run",
            FailureKind.SHED,
            RunState.NOT_RUN,
            id="shed_with_proof",
        ),
        pytest.param(
            b"HTTP/1.1 503 x\r\nX-Run-State: ran",
            FailureKind.SHED,
            RunState.UNKNOWN,
            id="shed_after_run",
        ),
        pytest.param(
            b"HTTP/1.1 503 x", FailureKind.SHED, RunState.UNKNOWN, id="shed_without_proof"
        ),
        pytest.param(
            b"HTTP/1.1 409 x",
            FailureKind.MALFORMED,
            RunState.NOT_RUN,
            id="conflict_without_versions",
        ),
        pytest.param(
            b"HTTP/1.1 500 x\r\nX-Run-State: not-run",
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="server_error_despite_proof",
        ),
        pytest.param(
            b"HTTP/1.1 302 x\r\nLocation: /other",
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="redirect",
        ),
        pytest.param(
            b"HTTP/1.1 200 x", FailureKind.MALFORMED, RunState.UNKNOWN, id="empty_answer"
        ),
        pytest.param(
            b"HTTP/9.9 what", FailureKind.MALFORMED, RunState.UNKNOWN, id="unknown_http_version"
        ),
        pytest.param(
            b"nothing like HTTP", FailureKind.MALFORMED, RunState.UNKNOWN, id="not_http"
        ),
        pytest.param(
            b"HTTP/1.1 200 x\r\nX-A: " + b"a" * 20_000,
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="header_too_long",
        ),
    ],
)
async def test_statuses(client, events, reply, kind, run):
    """Only the documented responses prove "not run".

    A false proof lets a retry run the request twice. A redirect must not be followed.
    """
    async with RawServer(9, reply + b"\r\nContent-Length: 0\r\n\r\n").run() as server:
        client.execute(create_send(1, server.address))
        (event,) = await events.wait_for(1)
        assert len(server.requests) == 1
    assert (event.kind, event.run) == (kind, run)


@pytest.mark.parametrize("end", ["deadline", "cancel"])
async def test_send_that_waits_for_a_connection_is_not_run(client, events, end):
    """A send that ends before it gets a connection must be reported as not run."""
    async with Backends({"s": Behaviour(median_ms=SLOW)}) as backends:
        address = backends.addresses["s"]
        client.execute(create_send(1, address, connections=1))
        while backends.servers["s"].running_requests == 0:
            await asyncio.sleep(0.01)
        deadline_us = read_clock_us() + (50_000 if end == "deadline" else 10_000_000)
        client.execute(create_send(2, address, connections=1, deadline_us=deadline_us))
        if end == "cancel":
            await asyncio.sleep(0.02)
            client.execute(CancelSend(2))
        (event,) = await events.wait_for(1)
        assert backends.servers["s"].requests == 1
    kind = FailureKind.CLOSED if end == "deadline" else FailureKind.WITHDRAWN
    assert (event.send_id, event.kind, event.run) == (2, kind, RunState.NOT_RUN)


@pytest.mark.parametrize("close", [False, True])
async def test_cancelled_send(client, events, close):
    """A cancelled send must inform the server and end in exactly one event.

    The request was written, so the event must not state that it was not run.
    """
    async with Backends({"s": Behaviour(median_ms=SLOW)}) as backends:
        server = backends.servers["s"]
        client.execute(create_send(1, server.address))
        while server.running_requests == 0:
            await asyncio.sleep(0.01)
        client.execute(CancelSend(1, close))
        client.execute(CancelSend(1, close))
        (event,) = await events.wait_for(1)
        while server.running_requests:
            await asyncio.sleep(0.01)
        assert server.records[0].outcome == "cancelled"
        await asyncio.sleep(0.05)
    assert len(events) == 1
    assert (event.kind, event.run) == (FailureKind.WITHDRAWN, RunState.UNKNOWN)


async def test_cancellation_that_found_no_connection_is_dropped(client, events):
    """A cancellation is no longer needed when its send has ended.

    While it waits for a connection, the answer may arrive; sent after that, it would take a
    connection from another send.
    """
    async with Backends({"s": Behaviour(median_ms=100.0)}) as backends:
        server = backends.servers["s"]
        client.execute(create_send(1, server.address, connections=1))
        while server.running_requests == 0:
            await asyncio.sleep(0.01)
        client.execute(CancelSend(1))
        client.execute(create_send(2, server.address, connections=1))
        await events.wait_for(2)
        await asyncio.sleep(0.05)
    assert [(type(event), event.send_id) for event in events] == [
        (SendAnswered, 1),
        (SendAnswered, 2),
    ]
    assert (server.cancel_requests, server.connections_accepted) == (0, 1)


async def test_deadline_closes_the_send(client, events):
    """A server that sends its answer byte by byte must not extend the deadline."""
    async with Backends({"s": Behaviour(next_faults=["slow_drip"])}) as backends:
        server = backends.servers["s"]
        client.execute(create_send(1, server.address, deadline_us=read_clock_us() + 100_000))
        (event,) = await events.wait_for(1)
        while server.transports:
            await asyncio.sleep(0.01)
    assert (event.kind, event.run) == (FailureKind.CLOSED, RunState.UNKNOWN)


async def test_late_and_doubled_answers_reach_no_other_send(client, events):
    """Late and repeated answers must not reach the next send on the same connection.

    The server sends some answers twice and others too slowly for the deadline.
    """
    faults = ["doubled_answer", "slow_drip"] * 3
    async with Backends({"s": Behaviour(next_faults=faults, drip_ms=1.0)}) as backends:
        address = backends.addresses["s"]
        for number in range(1, 13):
            deadline_us = read_clock_us() + (60_000 if number % 2 == 0 else 10_000_000)
            leaf = f"leaf{number}"
            client.execute(
                create_send(number, address, leaf=leaf, connections=1, deadline_us=deadline_us)
            )
            await events.wait_for(number)
    assert [event.send_id for event in events] == list(range(1, 13))
    answered = [event for event in events if isinstance(event, SendAnswered)]
    assert len(answered) >= 6
    assert all(event.answer.leaf == f"leaf{event.send_id}" for event in answered)


async def test_connection_bound_follows_the_effect(client, events):
    """The connections to a server must not exceed the limit of the latest effect.

    This must also hold when the limit falls while connections are open.
    """
    async with Backends({"s": Behaviour(median_ms=20.0)}) as backends:
        server = backends.servers["s"]
        number = 0
        for connections in (2, 6, 3):
            server.peak = 0
            for _ in range(20):
                number += 1
                client.execute(create_send(number, server.address, connections=connections))
            while server.running_requests < connections:
                await asyncio.sleep(0.001)
            assert len(server.transports) <= connections
            server.connections_peak = len(server.transports)
            await events.wait_for(number)
            assert server.connections_peak == connections
            assert server.peak == connections
    assert all(isinstance(event, SendAnswered) for event in events)


async def test_idle_connections_are_closed(events):
    """Connections to a server that is no longer used must not stay open."""
    async with (
        Backends({"s": Behaviour()}) as backends,
        BackendClient(events.handle, read_clock_us, idle_us=50_000) as client,
    ):
        server = backends.servers["s"]
        client.execute(create_send(1, server.address))
        await events.wait_for(1)
        assert len(server.transports) == 1
        while server.transports:
            await asyncio.sleep(0.01)
        client.execute(create_send(2, server.address))
        await events.wait_for(2)
    assert all(isinstance(event, SendAnswered) for event in events)


async def test_silent_connection_is_probed_and_closed(client, events):
    """A connection that stopped delivering data must not be used again.

    The probe uses a new connection, which works, and the next send must do so as well.
    """
    async with Backends({"s": Behaviour()}) as backends:
        server = backends.servers["s"]
        client.execute(create_send(1, server.address))
        await events.wait_for(1)
        server.silence_connections()
        client.execute(create_send(2, server.address))
        client.execute(OpenProbe(server.address))
        client.execute(OpenProbe(server.address))
        await events.wait_for(2)
        assert isinstance(events[1], ProbeAnswered)
        assert events[1].boot_id == server.boot_id
        client.execute(CancelSend(2, close=True))
        client.execute(CloseConnections(server.address))
        await events.wait_for(3)
        client.execute(create_send(3, server.address))
        await events.wait_for(4)
    assert isinstance(events[3], SendAnswered)
    assert len(events) == 4


async def test_probe_of_a_dead_server_fails(client, events):
    """A dead server must not be mistaken for a server with a silent connection."""
    async with RawServer(0).run() as server:
        pass
    client.execute(OpenProbe(server.address))
    (event,) = await events.wait_for(1)
    assert event == ProbeFailed(event.now_us, server.address)


async def test_crash_then_cold_start(client, events):
    """A send during a crash may have run, so it must not be reported as not run.

    After the restart the answer must carry the new boot id.
    """
    poison = {"kind": "search", "crash": True}
    behaviour = Behaviour(crash_bodies=[poison], restart_ms=50.0)
    async with Backends({"s": behaviour}) as backends:
        server = backends.servers["s"]
        client.execute(create_send(1, server.address))
        await events.wait_for(1)
        client.execute(create_send(2, server.address, body=poison))
        await events.wait_for(2)
        client.execute(create_send(3, server.address))
        await events.wait_for(3)
        while server.behaviour.cold is False or server._site._server is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        client.execute(create_send(4, server.address))
        await events.wait_for(4)
    assert (events[1].kind, events[1].run) == (FailureKind.RESET, RunState.UNKNOWN)
    assert (events[2].kind, events[2].run) == (FailureKind.REFUSED, RunState.NOT_RUN)
    assert events[3].answer.boot_id != events[0].answer.boot_id


async def test_closing_ends_each_send_once(events):
    """When the client is closed, each open send must end in exactly one event."""
    async with Backends({"s": Behaviour(median_ms=SLOW)}) as backends:
        async with BackendClient(events.handle, read_clock_us) as client:
            for number in range(8):
                client.execute(create_send(number, backends.addresses["s"]))
            while backends.servers["s"].running_requests < 4:
                await asyncio.sleep(0.01)
        assert sorted(event.send_id for event in events) == list(range(8))
    assert all(isinstance(event, SendFailed) for event in events)
    runs = [event.run for event in events]
    assert runs.count(RunState.UNKNOWN) == 4
    assert runs.count(RunState.NOT_RUN) == 4


async def test_unexpected_error_still_ends_the_send(client, events):
    """An error that no rule covers must not leave a send without an event."""
    async with RawServer(9, REPLY).run() as server:
        # aiohttp rejects a header with a line break before it writes any bytes.
        client.execute(create_send(1, server.address, traceparent="a\nb"))
        (event,) = await events.wait_for(1)
        assert server.requests == []
    assert (event.kind, event.run) == (FailureKind.CLOSED, RunState.NOT_RUN)


async def test_effects_are_declared(client):
    """The instance routes effects by this list; a missing one would not be executed."""
    assert set(client.effects) == {EmitSend, CancelSend, OpenProbe, CloseConnections}


SHED = b"HTTP/1.1 503 x\r\nX-Run-State: not-run\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "late",
    [
        pytest.param(SHED, id="shed"),
        pytest.param(REPLY.replace(b'"a"', b'"b"'), id="answer_of_other_leaf"),
    ],
)
async def test_unasked_answer_on_an_idle_connection(client, events, late):
    """A second answer on an idle connection must not be used for the next send.

    With status 503 it would be a false "not run".
    """
    server = RawServer(9, REPLY)
    writers = []
    serve = server.serve

    async def keep_writer(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server.serve = keep_writer
    async with server.run():
        client.execute(create_send(1, server.address))
        await events.wait_for(1)
        writers[0].write(late)
        await asyncio.sleep(0.05)
        client.execute(create_send(2, server.address, request_id="r1"))
        await events.wait_for(2)
    assert [type(event) for event in events] == [SendAnswered, SendAnswered]
    assert len(writers) == 2


@pytest.mark.parametrize(
    ("copy", "kind", "run"),
    [
        pytest.param(SHED, FailureKind.MALFORMED, RunState.UNKNOWN, id="shed_without_an_id"),
        pytest.param(
            b'HTTP/1.1 409 x\r\nContent-Length: 24\r\n\r\n{"held_index_version":8}',
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="conflict_without_an_id",
        ),
        pytest.param(
            SHED[:-5] + b'19\r\n\r\n{"request_id":"r1"}',
            FailureKind.SHED,
            RunState.NOT_RUN,
            id="with_the_own_id",
        ),
        pytest.param(
            SHED[:-5] + b'19\r\n\r\n{"request_id":"r0"}',
            FailureKind.MALFORMED,
            RunState.UNKNOWN,
            id="with_another_id",
        ),
    ],
)
async def test_a_rejection_on_a_reused_connection_must_name_its_request(
    client, events, copy, kind, run
):
    """It may be a copy of an earlier rejection, while the server runs the request."""
    server = RawServer(9, copy)
    async with server.run():
        client.execute(create_send(1, server.address, request_id="r0"))
        await events.wait_for(1)
        client.execute(create_send(2, server.address, request_id="r1"))
        await events.wait_for(2)
    assert (events[1].kind, events[1].run) == (kind, run)


async def test_withdrawn_sends_free_silent_connections(client, events):
    """Closing a server's connections must also end withdrawn sends.

    Otherwise such a send would hold a silent connection until its deadline.
    """
    async with Backends({"s": Behaviour()}) as backends:
        server = backends.servers["s"]
        client.execute(create_send(1, server.address))
        await events.wait_for(1)
        server.silence_connections()
        (silent,) = server.transports
        withdrawn = create_send(2, server.address)
        client.execute(withdrawn)
        await asyncio.sleep(0.05)
        client.execute(CancelSend(2))
        client.execute(CloseConnections(server.address))
        await events.wait_for(2)
        assert events[1].now_us < withdrawn.deadline_us
        async with asyncio.timeout(5):
            while silent in server.transports:
                await asyncio.sleep(0.01)


async def test_blocked_body_is_never_written():
    """No bytes may be written after a send has been reported as not run."""
    body = SubRequestBody(b"{}")
    body.blocked = True
    with pytest.raises(ConnectionAbortedError):
        await body.write_with_length(None, None)
    assert body.started is False
