"""Checks the limits of workspaces over all instances, whatever happens to the instances.

Load pattern: 81 workspaces, a few of them large, one of them at many times its usual, with
traffic that moves from one failure domain to another.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from types import SimpleNamespace

import pytest

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, SendPeer
from mimosapost.model.peer_messages import WorkspaceGrant, WorkspaceReport
from mimosapost.relay.catalog import Workspace
from mimosapost.relay.effects import SendReply
from mimosapost.relay.events import TimerFired
from mimosapost.relay.messages import RelayRequest
from mimosapost.relay.state import OpenRequest
from mimosapost.relay.tests.fleet_harness import Fleet
from mimosapost.relay.tests.relay_harness import MS, create_single_route
from mimosapost.relay.workspace_limits import check_limit

WINDOW_MS = 5_000
DOMAINS = ("a1", "b1", "c1") * 4
HOT = "hot"
LIMIT = 5.0
BURST = 5.0
ALLOWED = (LIMIT * WINDOW_MS / 1_000 + BURST) * 1.25 + 20
STEP_MS = 10


class LimitedFleet:
    """Instances that receive requests of workspaces.

    :ivar runs: times in milliseconds at which requests ran, by workspace.
    :ivar waits: times in milliseconds that they waited for an account.
    :ivar refused: number of refused requests, by workspace.
    """

    def __init__(self, domains=DOMAINS, names=(HOT,), met_ms=12_000) -> None:
        self.workspaces = {name: Workspace(name, None, LIMIT, BURST) for name in names}
        self.fleet = Fleet(domains, [create_single_route()], ())
        self.rng = random.Random(7)
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.waits: list[float] = []
        self.refused: Counter[str] = Counter()
        self.owner: dict[tuple[str, int], tuple[str, float]] = {}
        self.next_number = 1
        self.frozen: set[str] = set()
        for relay in self.fleet.relays.values():
            self._configure(relay)
        self.fleet.advance(met_ms)
        self._collect()

    def _configure(self, relay) -> None:
        # A request that was granted after a wait is admitted again, finds no route, and is
        # refused for that reason.
        relay.state.catalog = SimpleNamespace(
            version=1, workspaces=self.workspaces, find_route=lambda host, target: None
        )

    @property
    def now_ms(self) -> float:
        return self.fleet.now_us / MS

    def restart(self, *names) -> None:
        """Replace instances by new processes, which know nothing of the others."""
        for name in names:
            self._configure(self.fleet.restart(name, ()))

    def request(self, name: str, workspace: str) -> None:
        """Let a request of a workspace arrive at an instance."""
        relay = self.fleet[name]
        number, self.next_number = self.next_number, self.next_number + 1
        request = RelayRequest(
            number, f"id-{number}", "h", "/", relay.now_us + 600 * MS, b"", b"", 1
        )
        open_request = OpenRequest(
            request, create_single_route(), 1, relay.now_us, request.deadline_us, []
        )
        open_request.workspace = self.workspaces[workspace]
        self.owner[name, number] = (workspace, self.now_ms)
        if check_limit(relay.state, open_request, relay.now_us, relay.effects):
            self.runs[workspace].append(self.now_ms)
            self.waits.append(0.0)
        relay.apply_event(TimerFired(relay.now_us))

    def _collect(self) -> None:
        for name, relay in self.fleet.relays.items():
            for effect in relay.effects:
                if not isinstance(effect, SendReply):
                    continue
                workspace, arrived_ms = self.owner[name, effect.request_number]
                if effect.reply.code is ResultCode.CALLER_LIMIT:
                    self.refused[workspace] += 1
                    assert effect.reply.retry_after_us > 0
                else:
                    self.runs[workspace].append(self.now_ms)
                    self.waits.append(self.now_ms - arrived_ms)
            relay.effects = [e for e in relay.effects if isinstance(e, SendPeer)]

    def play(self, seconds: float, rates, names) -> None:
        """Play random arrivals.

        :param rates: requests per second, by workspace.
        :param names: instances that receive them.
        """
        for _ in range(int(seconds * 1_000 / STEP_MS)):
            for workspace, per_second in rates.items():
                while self.rng.random() < per_second * STEP_MS / 1_000:
                    per_second = max(0.0, per_second - 1_000 / STEP_MS)
                    self.request(self.rng.choice(names), workspace)
            self.fleet.advance(STEP_MS)
            self._collect()

    def find_peak(self, workspace: str = HOT) -> int:
        """Return the largest number of runs in a sliding window."""
        times = sorted(self.runs[workspace])
        return max(
            (sum(t <= u < t + WINDOW_MS for u in times) for t in times),
            default=0,
        )
