"""One reducer without a network: events go in by hand, effects come out."""

from __future__ import annotations

from dataclasses import replace

from mimosapost.core.reducer import reduce, start
from mimosapost.core.state import create_state
from mimosapost.core.tests.fleet import SERVICE, create_team, encode
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, Priority, RunState
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.published import FleetTree
from mimosapost.model.queries import Query, SubAnswer
from mimosapost.settings.published import check_subtree


class Solo:
    """An instance alone under its ceiling of 1, past its waiting period after the start."""

    def __init__(self, team=None, **settings):
        self.now_us = 1_000_000
        identity = InstanceIdentity("i0", 100, 0, "north", "r", "127.9.0.1:9")
        self.state = create_state(identity, check_subtree, b"k" * 32, 1, self.now_us, ceiling=1)
        self.effects = list(start(self.state))
        self.team = team or create_team(**settings)
        regions = {"north": "r", "south": "r", "east": "r"}
        self.give(ev.ConfigRead, "fleet", 1, encode(FleetTree(1, ("desk",), regions, (), 1)))
        self.publish(self.team)
        self.tick(3_000_000)
        self.ids = iter(range(1, 10**9))

    def give(self, event_type, *fields):
        """Apply an event and return its effects."""
        effects = reduce(self.state, event_type(self.now_us, *fields))
        self.effects += effects
        return effects

    def tick(self, duration_us, step_us=50_000):
        """Let time pass in steps; a step above 0.5 s is a pause of the process."""
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.now_us = min(end_us, self.now_us + step_us)
            self.give(ev.Ticked)

    def publish(self, team, **changes):
        """Put a subtree in force; ``changes`` are those of its first service."""
        if changes:
            service = replace(team.services[0], **changes)
            team = replace(team, version=self.team.version + 1, services=(service,))
        self.team = team
        self.give(ev.ConfigRead, "desk", team.version, encode(team))

    def ask(self, fingerprint=7, deadline_us=400_000, **fields):
        """Let a query arrive and return its number."""
        number = next(self.ids)
        options = {"priority": Priority.NORMAL, "repeatable": True} | fields
        query = Query(
            number,
            SERVICE,
            "school",
            {},
            fingerprint,
            deadline_us=self.now_us + deadline_us,
            **options,
        )
        self.give(ev.QueryArrived, query)
        return number

    def get_ticket(self):
        """Return a fresh ticket of the caller."""
        return self.state.tickets.issue("school", self.now_us)

    def list_open(self):
        """Return the emitted sends that the reducer holds open, oldest first."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, fx.EmitSend) and effect.send_id in self.state.sends
        ]

    def list_answers(self, number=None):
        """Return the answers to callers, of one query or of all."""
        return [
            effect.answer
            for effect in self.effects
            if isinstance(effect, fx.AnswerCaller) and number in (None, effect.query_id)
        ]

    def answer(self, send, items=None, **changes):
        """Answer a send as its server would."""
        request = send.request
        sub_answer = SubAnswer(
            request.request_id,
            request.leaf,
            request.map_version,
            request.index_version,
            "boot",
            0.1,
            [f"{request.leaf}"] if items is None else items,
        )
        return self.give(ev.SendAnswered, send.send_id, replace(sub_answer, **changes))

    def fail(self, send, kind=FailureKind.RESET, run=RunState.UNKNOWN):
        """End a send without an answer."""
        return self.give(ev.SendFailed, send.send_id, kind, run)
