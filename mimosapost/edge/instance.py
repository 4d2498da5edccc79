"""Entry instance: connects the reducer to sockets, clocks and random numbers."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from dataclasses import replace
from random import Random

import aiohttp
import mode

from mimosapost.core.reducer import reduce, start
from mimosapost.core.state import Policy, State, create_state
from mimosapost.core.status import describe_state
from mimosapost.edge.backend_client import BackendClient
from mimosapost.edge.caller_server import CallerServer
from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.forward_spans import ForwardSpans
from mimosapost.edge.logs import Logs
from mimosapost.edge.metrics import Metrics
from mimosapost.edge.operator_server import OperatorServer
from mimosapost.edge.peer_links import PeerLinks
from mimosapost.edge.platform_clients import (
    HttpConfigSource,
    HttpInstanceSource,
    PlatformReader,
)
from mimosapost.edge.reducer_runner import ReducerRunner
from mimosapost.edge.subtree_checking import SubtreeChecker
from mimosapost.edge.traces import Traces, open_trace_stream
from mimosapost.merging import list_merges
from mimosapost.model.effects import (
    AnswerCaller,
    CancelSend,
    CloseConnections,
    Effect,
    EmitSend,
    IncrementCounter,
    OpenProbe,
    SendPeer,
    SetTimer,
    StopServing,
    WriteLog,
)
from mimosapost.model.events import Event, StopRequested, Ticked
from mimosapost.model.identities import InstanceIdentity
from mimosapost.settings.local import LocalSettings
from mimosapost.settings.published import check_subtree

__all__ = ["Instance", "create_policy"]

# Only a small share of queries is traced, because a span costs tens of microseconds.
_TRACED_QUERY_RATIO = 0.01


def create_policy(settings: LocalSettings) -> Policy:
    """Create the policy of the reducer from local settings."""
    return Policy(
        lease_us=settings.lease_ms * 1_000,
        drain_us=int(settings.drain_seconds * 1e6),
        stop_us=int(settings.stop_deadline_seconds * 1e6),
    )


class Instance(mode.Service):
    """Service that runs one entry instance.

    :param settings: local settings.
    :param policy: times and limits of the reducer; derived from the settings if ``None``.
    """

    def __init__(self, settings: LocalSettings, policy: Policy | None = None) -> None:
        super().__init__()
        self._settings = settings
        self._identity = InstanceIdentity(
            settings.name,
            secrets.randbits(63),
            settings.seat,
            settings.domain,
            settings.region,
            settings.peer_address,
        )
        self._checker = SubtreeChecker(
            lambda team, text: check_subtree(team, text, list_merges())
        )
        self._state = create_state(
            self._identity,
            self._checker.check,
            secrets.token_bytes(32),
            secrets.randbits(63),
            read_clock_us(),
            policy or create_policy(settings),
            ceiling=max(4, settings.seat + 1),
            seed_peers=settings.seed_peers,
        )
        self._timer = None
        self._drained = asyncio.Event()
        self.metrics = Metrics()
        self._logs = Logs()
        self._runner = ReducerRunner(self._reduce, self._logs)
        stream = open_trace_stream(settings.trace_export)
        self._traces = Traces(stream, _TRACED_QUERY_RATIO if stream else 0.0)
        self._forward_spans = ForwardSpans(self._traces)

    @property
    def state(self) -> State:
        """State of the reducer, for the status page and tests."""
        return self._state

    @property
    def failed_events(self) -> int:
        """Number of events whose handling raised an exception."""
        return self._runner.failed

    async def on_start(self) -> None:
        """Start all parts in dependency order; the exit stack closes them in reverse."""
        enter = self.async_exit_stack.enter_async_context
        self.async_exit_stack.callback(self._traces.close)
        backends = await enter(
            BackendClient(
                self.handle,
                read_clock_us,
                local_host=self._settings.caller_address.rpartition(":")[0],
                metrics=self.metrics,
                traces=self._traces,
                logs=self._logs,
            )
        )
        peers = PeerLinks(self._identity, self.handle, read_clock_us, self._is_known_peer)
        await self.add_runtime_dependency(peers)
        platform = await self._start_platform()
        callers = await enter(self._create_caller_server())
        await enter(self._create_operator_server(peers, platform))
        self._runner.executors = {
            AnswerCaller: callers.execute,
            CancelSend: backends.execute,
            CloseConnections: backends.execute,
            IncrementCounter: self.metrics.execute,
            EmitSend: backends.execute,
            OpenProbe: backends.execute,
            SendPeer: lambda effect: self._send_peer(peers, effect),
            StopServing: self._stop_serving,
            SetTimer: self._set_timer,
            WriteLog: self._logs.execute,
        }
        self._logs.write("instance_started", {"seat": self._identity.seat})
        self.metrics.register_gauge(
            "mimosapost_open_queries_count", lambda: len(self._state.queries)
        )
        self.metrics.register_gauge(
            "mimosapost_open_sends_count", lambda: len(self._state.sends)
        )
        self._runner.execute(start(self._state))

    async def _start_platform(self) -> PlatformReader:
        settings = self._settings
        session = await self.async_exit_stack.enter_async_context(aiohttp.ClientSession())
        reader = PlatformReader(
            HttpConfigSource(settings.config_url, session),
            HttpInstanceSource(settings.instances_url, session),
            self.handle,
            read_clock_us,
            self._list_teams,
            self._get_accepted_version,
            settings.seat,
            lambda: self._state.ceiling,
            rng=Random(secrets.randbits(63)),
        )
        await self.add_runtime_dependency(reader)
        return reader

    def _create_caller_server(self) -> CallerServer:
        host, _, port = self._settings.caller_address.rpartition(":")
        return CallerServer(
            self.handle,
            read_clock_us,
            lambda digest: self._state.caller_digests.get(digest),
            self._find_service,
            host=host,
            port=int(port),
            is_configured=lambda: bool(self._state.services),
            is_ready=self.is_ready,
            next_query_id=itertools.count(1).__next__,
            metrics=self.metrics,
            traces=self._traces,
            logs=self._logs,
        )

    def _create_operator_server(
        self, peers: PeerLinks, platform: PlatformReader
    ) -> OperatorServer:
        host, _, port = self._settings.operator_address.rpartition(":")
        return OperatorServer(
            lambda: {
                **describe_state(self._state, read_clock_us()),
                "failed_events": self.failed_events,
                "peer_links": peers.describe(),
                "platform": platform.describe(),
            },
            self.metrics,
            host=host,
            port=int(port),
            is_ready=self.is_ready,
        )

    def _find_service(self, name: str):
        service = self._state.services.get(name)
        return service.settings if service is not None else None

    def is_ready(self) -> bool:
        """Return whether the load balancer may send queries to this instance."""
        return self._state.is_ready(read_clock_us())

    def _is_known_peer(self, identity: InstanceIdentity) -> bool:
        return self._is_known_name(identity.name) or self._is_known_name(identity.peer_address)

    def _is_known_name(self, name_or_address: str) -> bool:
        settings = self._settings
        host = name_or_address.rpartition(":")[0]
        if settings.known_peers is not None:
            return host in settings.known_peers
        return (
            name_or_address in settings.seed_peers
            or name_or_address in self._state.peer_addresses
            or name_or_address in self._state.peer_addresses.values()
        )

    def _list_teams(self) -> tuple[str, ...]:
        fleet = self._state.configs.get_fleet()
        return ("fleet", *fleet.teams) if fleet is not None else ("fleet",)

    def _get_accepted_version(self, team: str) -> int:
        for entry in self._state.configs.list_versions():
            if entry.team == team:
                return entry.version
        return 0

    def handle(self, event: Event) -> None:
        """Reduce an event and execute its effects; first check a subtree that it holds."""
        team_and_text = self._checker.find_large_subtree(event)
        if team_and_text is not None:
            self.add_future(self._handle_after_check(event, *team_and_text))
            return
        self._runner.handle(event)

    async def _handle_after_check(self, event: Event, team: str, text: bytes) -> None:
        await self._checker.check_in_thread(team, text)
        # Other events may have been reduced during the check. The event gets the current time,
        # because the time that the reducer sees must not go back.
        self._runner.handle(replace(event, now_us=read_clock_us()))

    def _reduce(self, event: Event) -> list[Effect]:
        self._forward_spans.record_event(event)
        return reduce(self._state, event)

    def _send_peer(self, peers: PeerLinks, effect: SendPeer) -> None:
        self._forward_spans.record_effect(effect)
        peers.send(effect)

    def _set_timer(self, effect: SetTimer) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0, effect.due_us - read_clock_us()) / 1e6
        self._timer = self.loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self.handle(Ticked(read_clock_us()))

    def request_stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        self.handle(StopRequested(read_clock_us()))

    def _stop_serving(self, effect: StopServing) -> None:  # noqa: ARG002
        if self._timer is not None:
            self._timer.cancel()
        self._drained.set()

    async def wait_until_drained(self) -> None:
        """Wait until a graceful stop is complete, so that the service may be stopped."""
        await self._drained.wait()
