"""Relay instance: connects its reducer to sockets, clocks and random numbers."""

from __future__ import annotations

import asyncio
import gc
import secrets
import socket
from collections.abc import Callable
from typing import Any, Protocol

import mode
import msgspec
from aiohttp import web

from mimosapost.edge.caller_connections import LimitedServer
from mimosapost.edge.caller_memory import CallerMemory
from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.explanations import answer_explanation
from mimosapost.edge.limited_logs import LimitedLogs
from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import Metrics
from mimosapost.edge.peer_links import PeerLinks
from mimosapost.edge.reducer_runner import ReducerRunner
from mimosapost.edge.relay_callers import RelayCallerServer, RequestCodec, start_listener
from mimosapost.edge.relay_connections import (
    DEFAULT_CONNECTIONS,
    DEFAULT_HELD_BYTES,
    AnswerCodec,
    ServerConnections,
)
from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.model.effects import (
    IncrementCounter,
    ObserveDuration,
    SendPeer,
    SetTimer,
    StopServing,
    WriteLog,
)
from mimosapost.model.events import StopRequested
from mimosapost.relay.catalog import CallerLimits
from mimosapost.relay.effects import (
    AbandonSend,
    ApplyFeed,
    ForgetServer,
    ProbeServer,
    SendReply,
    StartSend,
)
from mimosapost.relay.events import InstanceStarted, TimerFired
from mimosapost.relay.feed_choices import has_followers
from mimosapost.relay.feeds import describe_feed
from mimosapost.relay.partners import describe_peers
from mimosapost.relay.reducer import reduce
from mimosapost.relay.state import InstanceSettings, RelayState, create_relay_state

__all__ = ["ListenAddresses", "Codec", "RelayInstance"]

# Wait for the acknowledgement of the last answers to other instances. It fits into the time
# between the graceful stop and the platform's SIGKILL, in which callers are answered too.
_LINK_CLOSE_WAIT_SECONDS = 0.1


class Codec(AnswerCodec, RequestCodec, Protocol):
    """Translation between the formats of callers and of servers, in both directions."""


class ListenAddresses(Protocol):
    """Listen addresses of an instance, each as ``ip:port``.

    :param caller_address: accepts requests of callers.
    :param ready_address: answers readiness checks of the load balancer.
    :param operator_addresses: serve metrics, the status and explanations.
    """

    caller_address: str
    ready_address: str
    operator_addresses: tuple[str, ...]


class RelayInstance(mode.Service):
    """Service that runs one instance of the relay.

    :param instance_settings: name, failure domain and region of the instance.
    :param addresses: listen addresses.
    :param codec: translation of requests and answers.
    :param create_source: creates the service that reads the configuration and the servers. Its
        arguments are the function that handles events, the clock, the log and a function that
        returns whether other instances follow this one. Its method ``apply_feed`` executes the
        effect of that name.
    :param logs: log of the process.
    :param listener: socket that callers connect to, if it is already open; the service closes
        it when it stops.
    :param max_held_bytes: maximum number of bytes of all unfinished answers of servers.
    :param caller_bounds: bounds on what callers may make the process hold.
    :param max_server_connections: number of connections to servers above which idle ones are
        closed.
    """

    def __init__(
        self,
        instance_settings: InstanceSettings,
        addresses: ListenAddresses,
        codec: Codec,
        create_source: Callable[..., mode.Service],
        logs: Logs,
        listener: socket.socket | None = None,
        max_held_bytes: int = DEFAULT_HELD_BYTES,
        caller_bounds: CallerBounds = CallerBounds(),  # noqa: B008
        max_server_connections: int = DEFAULT_CONNECTIONS,
    ) -> None:
        super().__init__()
        self._caller_bounds = caller_bounds
        self._max_server_connections = max_server_connections
        self._max_held_bytes = max_held_bytes
        self._listener = listener
        self._addresses = addresses
        self._codec = codec
        self._create_source = create_source
        self._logs = logs
        self._state = create_relay_state(instance_settings, secrets.randbits(63))
        self._runner = ReducerRunner(lambda event: reduce(self._state, event), logs)
        #: Handles an event: reduces it and executes its effects.
        self.handle = self._runner.handle
        self._timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self.metrics = Metrics()
        #: Links to other instances, or ``None`` for an instance that works alone.
        self.links: PeerLinks | None = None
        #: Address that callers connect to, set when the service has started.
        self.caller_address = ""

    @property
    def state(self) -> RelayState:
        """State of the reducer, for the status page and tests."""
        return self._state

    async def on_start(self) -> None:
        """Start all parts in dependency order; the exit stack closes them in reverse."""
        enter = self.async_exit_stack.enter_async_context
        servers = await enter(
            ServerConnections(
                self.handle,
                read_clock_us,
                self._codec,
                self._logs,
                self._max_held_bytes,
                self._max_server_connections,
            )
        )
        caller_logs = LimitedLogs(self._logs, self.loop.time)
        memory = CallerMemory(
            self._caller_bounds, caller_logs, self._count_closed, self.loop.time
        )
        self.metrics.register_gauge(
            "mimosapost_relay_caller_memory_bytes_count", lambda: memory.held_bytes
        )
        callers = RelayCallerServer(
            self._listener or self._addresses.caller_address,
            self._codec,
            self.handle,
            read_clock_us,
            self._get_limits,
            lambda: bool(self._state.stop_requested_us),
            caller_logs,
            memory,
        )
        self._runner.executors = {
            AbandonSend: servers.abandon_send,
            IncrementCounter: self.metrics.execute,
            ObserveDuration: self.metrics.observe_duration,
            ForgetServer: servers.forget_server,
            ProbeServer: servers.probe_server,
            SendReply: callers.send_reply,
            StartSend: servers.start_send,
            StopServing: self._stop_serving,
            SetTimer: self._set_timer,
            WriteLog: self._logs.execute,
        }
        await self._start_links()
        await enter(callers)
        self.caller_address = callers.address
        for handler, address in (
            (self._answer_ready, self._addresses.ready_address),
            *((self._answer_operator, each) for each in self._addresses.operator_addresses),
        ):
            server = LimitedServer(handler, CallerLimits, caller_logs, memory)
            await start_listener(self.async_exit_stack, server, address)
            server.start_checks(self.async_exit_stack)
        source = self._create_source(self.handle, read_clock_us, self._logs, self._is_followed)
        self._runner.executors = {**self._runner.executors, ApplyFeed: source.apply_feed}
        await self.add_runtime_dependency(source)
        self.handle(InstanceStarted(read_clock_us()))
        # Modules and tables live as long as the process, so garbage collection can skip them.
        gc.freeze()
        instance_settings = self._state.instance_settings
        self._logs.write(
            "instance_started",
            {
                "domain": instance_settings.domain,
                "region": instance_settings.region,
                "caller_address": callers.address,
            },
        )

    async def _start_links(self) -> None:
        peers = self._state.peers
        if peers is None:
            return
        self.links = PeerLinks(
            peers.own,
            self.handle,
            read_clock_us,
            peers.belongs,
            stop_wait_s=_LINK_CLOSE_WAIT_SECONDS,
        )
        self._runner.executors = {**self._runner.executors, SendPeer: self.links.send}
        await self.add_runtime_dependency(self.links)

    def _is_followed(self) -> bool:
        return has_followers(self._state.feed, read_clock_us())

    def _count_closed(self, reason: str) -> None:
        labels = (("reason", reason),)
        self.metrics.execute(IncrementCounter("mimosapost_relay_callers_closed_total", labels))

    def _get_limits(self) -> CallerLimits:
        catalog = self._state.catalog
        return catalog.limits if catalog is not None else CallerLimits()

    async def _answer_ready(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._state.is_ready() else 503)

    async def _answer_operator(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/status":
            body = msgspec.json.encode(self._describe())
            return web.Response(body=body, content_type="application/json")
        if request.path == "/explain":
            return answer_explanation(
                self._state, self._codec.create_request, request.query, read_clock_us()
            )
        if request.path != "/metrics":
            return web.Response(status=404)
        body, headers = self.metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    def _describe(self) -> dict[str, Any]:
        state = self._state
        peers = {"members": [], "partners": []}
        if state.peers is not None:
            peers = describe_peers(state.peers, read_clock_us())
        return {
            "name": state.instance_settings.name,
            "version": state.catalog.version if state.catalog is not None else 0,
            "stopping": bool(state.stop_requested_us),
            "open_requests": len(state.requests),
            "open_gathers": len(state.gathers),
            "served_gathers": len(state.served_gathers),
            "links": self.links.describe() if self.links is not None else {},
            "feed": describe_feed(state, read_clock_us()),
            **peers,
        }

    def _set_timer(self, effect: SetTimer) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_seconds = max(0, effect.due_us - read_clock_us()) / 1e6
        self._timer = self.loop.call_later(delay_seconds, self._tick)

    def _tick(self) -> None:
        self.handle(TimerFired(read_clock_us()))

    def request_stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        self.handle(StopRequested(read_clock_us()))

    def _stop_serving(self, _effect: StopServing) -> None:
        self._drained.set()

    async def wait_until_drained(self) -> None:
        """Wait until a graceful stop is complete, so that the service may be stopped."""
        await self._drained.wait()
