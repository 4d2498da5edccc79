"""Simulated backend servers for a fleet of relays: answers, crashes and restarts."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, replace
from functools import partial

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import SendPeer, WriteLog
from mimosapost.relay.effects import AbandonSend, ProbeServer, SendReply, StartSend
from mimosapost.relay.events import (
    ExchangeFailed,
    ProbeEnded,
    ProbeOutcome,
    ServerListed,
    ServerUnlisted,
)
from mimosapost.relay.messages import BackendServer
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import MS

ANSWER_US = 10 * MS
ROUND_TRIP_US = 2 * MS
CONNECT_TIMEOUT_US = 250 * MS
UNKNOWN = RunState.UNKNOWN


@dataclass
class Arrival:
    """Arrival of a request at a running server."""

    at_us: int
    instance: str
    server: BackendServer
    fingerprint: int


class SimulatedServers:
    """Servers that answer the sends of a fleet.

    :param crashing: fingerprints of requests that crash each server that begins to run them.
    :param down_ms: time in milliseconds until a crashed server runs again with a new id.
    :param is_silent: whether a crashed server answers nothing instead of breaking connections.
    :param crash_delay_ms: shortest and longest time in milliseconds from the arrival of such a
        request until its server crashes.
    :param crashing_services: services whose servers crash; all of them if empty.
    """

    def __init__(
        self,
        fleet: Fleet,
        servers,
        crashing=(),
        down_ms: int = 3_000,
        is_silent: bool = False,
        seed: int = 1,
        crash_delay_ms: tuple[int, int] = (0, 0),
        crashing_services=(),
    ) -> None:
        self.fleet = fleet
        for relay in fleet.relays.values():
            relay.probe_outcome = None
        self.running = {server.address: server for server in servers}
        self.crashing = set(crashing)
        self.down_us = down_ms * MS
        self.is_silent = is_silent
        self.crash_delay_ms = crash_delay_ms
        self.crashing_services = set(crashing_services)
        #: Limit in requests per second that a server names in its answers, by address.
        self.limits: dict[str, float] = {}
        #: Time at which an instance first got such an answer, by address and instance.
        self.told_us: dict[str, dict[str, int]] = {}
        self.rng = random.Random(seed)
        self.arrivals: list[Arrival] = []
        self.crash_times_us: list[int] = []
        self.replies: dict[tuple[str, int], object] = {}
        self.logs: list[tuple[int, str, WriteLog]] = []
        self._open: dict[tuple[str, int], StartSend] = {}
        self._due: list[tuple[int, int, object]] = []
        self._order = itertools.count()

    def _add(self, due_us: int, action) -> None:
        heapq.heappush(self._due, (due_us, next(self._order), action))

    def advance(self, milliseconds: int) -> None:
        """Advance the fleet in steps of a millisecond and answer its sends."""
        for _ in range(milliseconds):
            self.fleet.advance(1)
            while self._due and self._due[0][0] <= self.fleet.now_us:
                heapq.heappop(self._due)[2]()
            for name, relay in self.fleet.relays.items():
                effects = relay.effects
                relay.effects = [e for e in effects if isinstance(e, SendPeer)]
                for effect in effects:
                    self._execute(name, relay, effect)

    def _execute(self, name, relay, effect) -> None:
        now_us = self.fleet.now_us
        if isinstance(effect, SendReply):
            self.replies[name, effect.request_number] = effect.reply
        elif isinstance(effect, StartSend):
            self._open[name, effect.send_id] = effect
            self._receive(name, relay, effect)
        elif isinstance(effect, AbandonSend):
            failure = (FailureKind.WITHDRAWN, RunState.UNKNOWN)
            until_us = max(now_us, effect.until_us)
            self._add(until_us, lambda: self._fail(name, relay, effect.send_id, *failure))
        elif isinstance(effect, ProbeServer):
            outcome = ProbeOutcome.SILENT if self.is_silent else ProbeOutcome.REFUSED
            if effect.server.address in self.running:
                outcome = ProbeOutcome.OPEN
            self._add(
                now_us + ROUND_TRIP_US,
                lambda: relay.apply_event(
                    ProbeEnded(self.fleet.now_us, effect.server, outcome)
                ),
            )
        elif isinstance(effect, WriteLog):
            self.logs.append((now_us, name, effect))

    def _receive(self, name, relay, send: StartSend) -> None:
        now_us, server = self.fleet.now_us, send.server
        running = self.running.get(server.address)
        if running is None or running.server_id != server.server_id:
            delay_us = CONNECT_TIMEOUT_US if self.is_silent else ROUND_TRIP_US
            failure = (FailureKind.REFUSED, RunState.NOT_RUN)
            self._add(
                now_us + delay_us, lambda: self._fail(name, relay, send.send_id, *failure)
            )
            return
        fingerprint = send.request.fingerprint
        self.arrivals.append(Arrival(now_us, name, server, fingerprint))
        services = self.crashing_services
        if fingerprint in self.crashing and (not services or server.service in services):
            delay_us = self.rng.randint(*self.crash_delay_ms) * MS
            if delay_us:
                self._add(now_us + delay_us, partial(self._crash_process, server))
            else:
                self.crash(server.address)
            return
        self._add(now_us + ANSWER_US, lambda: self._answer(name, relay, send))

    def _answer(self, name, relay, send: StartSend) -> None:
        running = self.running.get(send.server.address)
        if running is None or running.server_id != send.server.server_id:
            return
        if self._open.pop((name, send.send_id), None) is not None:
            limit = self.limits.get(send.server.address)
            if limit is not None:
                told = self.told_us.setdefault(send.server.address, {})
                told.setdefault(name, self.fleet.now_us)
            relay.answer(send, limit_per_second=limit)

    def _fail(self, name, relay, send_id: int, kind, run) -> None:
        if self._open.pop((name, send_id), None) is not None:
            relay.apply_event(ExchangeFailed(self.fleet.now_us, send_id, kind, run))

    def _crash_process(self, server: BackendServer) -> None:
        """Crash a server unless it has crashed already."""
        if self.running.get(server.address) is server:
            self.crash(server.address)

    def crash(self, address: str) -> None:
        """Crash a server with all requests that it runs."""
        now_us, server = self.fleet.now_us, self.running.pop(address)
        self.crash_times_us.append(now_us)
        for (name, send_id), send in list(self._open.items()):
            if send.server.address != address:
                continue
            relay = self.fleet.relays[name]
            if self.is_silent:
                self._open[name, send_id] = replace(send, server=replace(server, address=""))
                continue
            reset = partial(self._fail, name, relay, send_id, FailureKind.RESET, UNKNOWN)
            self._add(now_us + ROUND_TRIP_US // 2, reset)
        self._add(now_us + self.down_us, lambda: self._restart(server))

    def _restart(self, server: BackendServer) -> None:
        started_ms = server.process_started_ms + 1
        name = server.server_id.split("+")[0]
        new = replace(server, server_id=f"{name}+{started_ms}", process_started_ms=started_ms)
        self.running[new.address] = new
        for relay in self.fleet.relays.values():
            now_us = self.fleet.now_us
            relay.apply_event(ServerUnlisted(now_us, server.server_id, "removed"))
            relay.apply_event(ServerListed(now_us, new))

    def restart(self, name: str):
        """Restart an instance; its open sends are lost."""
        relay = self.fleet.restart(name, list(self.running.values()))
        relay.probe_outcome = None
        self._open = {key: send for key, send in self._open.items() if key[0] != name}
        return relay

    def count_limited(self, address: str, window_us: int, delay_us: int) -> int:
        """Return the largest number of arrivals at a server in a window.

        Counted are those from instances that had an answer with its limit before.

        :param window_us: length of the window in microseconds.
        :param delay_us: time in microseconds between that answer and the arrival.
        """
        told_us = self.told_us.get(address, {})
        times_us = [
            arrival.at_us
            for arrival in self.arrivals
            if arrival.server.address == address
            and arrival.at_us >= told_us.get(arrival.instance, arrival.at_us + 1) + delay_us
        ]
        return max(
            (sum(start <= t < start + window_us for t in times_us) for start in times_us),
            default=0,
        )

    def count_arrivals(self, fingerprint: int, since_us: int = 0) -> int:
        """Return how often a request arrived at running servers since a time."""
        return sum(
            arrival.fingerprint == fingerprint and arrival.at_us >= since_us
            for arrival in self.arrivals
        )
