"""Test harness that drives a relay by events and a manual clock."""

from __future__ import annotations

import itertools

from mimosapost.model.codes import FailureKind, RunState
from mimosapost.model.effects import Effect, SetTimer
from mimosapost.model.events import Event
from mimosapost.relay.catalog import Route, ServiceRules, create_catalog
from mimosapost.relay.effects import AbandonSend, ProbeServer, SendReply, StartSend
from mimosapost.relay.events import (
    AnswerArrived,
    CatalogRead,
    ExchangeFailed,
    ProbeEnded,
    ProbeOutcome,
    RequestArrived,
    ServersReplaced,
    TimerFired,
)
from mimosapost.relay.messages import BackendServer, RelayRequest, ServerAnswer
from mimosapost.relay.reducer import reduce
from mimosapost.relay.state import InstanceSettings, create_relay_state

MS = 1_000
REGIONS = {"a1": "north", "b1": "south", "c1": "west"}
HOST = "shop.example"


def create_route(name: str = "search", **changes) -> Route:
    """Return a gathered route over four shards, with fields replaced by ``changes``."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "repeatable": True,
        "timeout_us": 600 * MS,
        "goal_us": 100 * MS,
        "rank": 1,
        "max_sends": 2,
        "shards": ("s0", "s1", "s2", "s3"),
        "max_records": 3,
        "min_coverage": 0.7,
    }
    return Route(**(fields | changes))


def create_single_route(name: str = "look", **changes) -> Route:
    """Return a route to one server of service ``one``."""
    fields = {"shards": (), "split": (("one", 1.0),), "goal_us": 300 * MS, "max_records": 0}
    return create_route(name, **(fields | changes))


def create_servers(service: str, domains=("a1", "b1"), **changes) -> list[BackendServer]:
    """Return one server of a service in each domain."""
    return [
        BackendServer(
            f"{service}-{n}", service, f"10.0.{n}.1:80", domain, **({"slots": 2} | changes)
        )
        for n, domain in enumerate(domains)
    ]


def create_answer(status: int = 200, **changes) -> ServerAnswer:
    """Return a complete, signed answer with one record."""
    fields = {"headers": (), "body": b"r" * 16, "signature": "sig"}
    return ServerAnswer(status, **(fields | changes))


class Relay:
    """A relay under test that collects effects and has a manual clock.

    :ivar probe_outcome: outcome of all probes; ``None`` if the test ends them.
    """

    def __init__(
        self, routes, servers, rules=(), domain="a1", seed=1, name="n1", **settings
    ) -> None:
        instance_settings = InstanceSettings(name, domain, REGIONS[domain], REGIONS, **settings)
        self.state = create_relay_state(instance_settings, seed)
        self.now_us = 1_000_000
        self.effects: list[Effect] = []
        self.probe_outcome: ProbeOutcome | None = ProbeOutcome.OPEN
        self._request_numbers = itertools.count(1)
        names = {server.service for server in servers}
        self.rules = {rule.name: rule for rule in rules}
        services = [self.rules.get(name, ServiceRules(name, 100)) for name in sorted(names)]
        self.apply_event(CatalogRead(self.now_us, create_catalog(1, routes, services)))
        self.apply_event(ServersReplaced(self.now_us, tuple(servers)))
        self.effects.clear()

    def apply_event(self, event: Event) -> list[Effect]:
        """Apply one event and the end of probes that it starts; return the new effects."""
        new = reduce(self.state, event)
        self.effects += new
        for effect in new:
            if isinstance(effect, ProbeServer) and self.probe_outcome is not None:
                ended = ProbeEnded(self.now_us, effect.server, self.probe_outcome)
                new = new + self.apply_event(ended)
        return new

    def advance(self, milliseconds: float) -> None:
        """Advance the clock and fire the timers that become due."""
        until_us = self.now_us + int(milliseconds * MS)
        while (due_us := self.state.timers.get_next_due_us()) is not None:
            if due_us > until_us:
                break
            self.now_us = max(self.now_us, due_us)
            self.apply_event(TimerFired(self.now_us))
        self.now_us = until_us

    def request(
        self, path: str = "/search/x", deadline_ms: int = 600, fingerprint=1, **changes
    ) -> int:
        """Apply the arrival of a request, with fields replaced, and return its number."""
        request_number = next(self._request_numbers)
        deadline_us = self.now_us + deadline_ms * MS
        request = RelayRequest(
            request_number,
            f"id-{request_number}",
            HOST,
            path,
            deadline_us,
            b"GET",
            b"",
            fingerprint,
            **changes,
        )
        self.apply_event(RequestArrived(self.now_us, request))
        return request_number

    def answer(self, send: StartSend, **changes) -> None:
        """Apply a server's answer to a send."""
        answer = create_answer(**({"signature": f"sig-{send.send_id}"} | changes))
        self.apply_event(AnswerArrived(self.now_us, send.send_id, answer))

    def fail(self, send: StartSend, kind=FailureKind.RESET, run=RunState.UNKNOWN) -> None:
        """Apply the failure of a send."""
        self.apply_event(ExchangeFailed(self.now_us, send.send_id, kind, run))

    def pop_sends(self) -> list[StartSend]:
        """Return the sends since the last call and remove them from the effects."""
        sends = [effect for effect in self.effects if isinstance(effect, StartSend)]
        self.effects = [e for e in self.effects if not isinstance(e, StartSend)]
        return sends

    def get_reply(self, request_number: int):
        """Return the reply to a request, or ``None``; fail if there are several."""
        found = [
            effect.reply
            for effect in self.effects
            if isinstance(effect, SendReply) and effect.request_number == request_number
        ]
        assert len(found) <= 1, "a request has two replies"
        return found[0] if found else None

    def list_abandoned(self) -> list[int]:
        """Return the numbers of the abandoned sends."""
        return [e.send_id for e in self.effects if isinstance(e, AbandonSend)]

    def list_due_times(self) -> list[int]:
        """Return the due times of the timers that the relay requested."""
        return [effect.due_us for effect in self.effects if isinstance(effect, SetTimer)]


def create_gathered_relay(**changes) -> Relay:
    """Return a relay with a gathered route over four shards of two servers each."""
    servers = [s for n in range(4) for s in create_servers(f"s{n}")]
    return Relay([create_route(**changes)], servers)


def create_single_relay(domains=("a1", "b1"), rules=(), slots=2, **changes) -> Relay:
    """Return a relay with a route to one server of service ``one``."""
    return Relay(
        [create_single_route(**changes)], create_servers("one", domains, slots=slots), rules
    )
