"""Harness for a single reducer without a network: tests apply events and read the effects."""

from __future__ import annotations

from dataclasses import replace

from mimosapost.core.reducer import reduce, start
from mimosapost.core.state import create_state
from mimosapost.core.tests.simulated_fleet import SERVICE, create_team, encode_subtree
from mimosapost.model import effects as fx
from mimosapost.model import events as ev
from mimosapost.model.codes import FailureKind, Priority, RunState
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.published_settings import FleetTree
from mimosapost.model.queries import Query, SubAnswer
from mimosapost.settings.published import check_subtree


class ReducerHarness:
    """The reducer of the only instance of a deployment with one seat, ready to serve.

    The waiting period after the start is over, so queries are accepted.

    :param team: published subtree; by default that of ``create_team``.
    :param settings: arguments of ``create_team``.
    """

    def __init__(self, team=None, **settings):
        self.now_us = 1_000_000
        identity = InstanceIdentity("i0", 100, 0, "north", "r", "127.9.0.1:9")
        self.state = create_state(identity, check_subtree, b"k" * 32, 1, self.now_us, ceiling=1)
        self.effects = list(start(self.state))
        self.team = team or create_team(**settings)
        regions = {"north": "r", "south": "r", "east": "r"}
        self.apply_event(
            ev.ConfigRead, "fleet", 1, encode_subtree(FleetTree(1, ("desk",), regions, (), 1))
        )
        self.publish(self.team)
        self.advance_time(3_000_000)
        self.query_ids = iter(range(1, 10**9))

    def apply_event(self, event_type, *fields):
        """Apply an event at the current time and return its effects."""
        effects = reduce(self.state, event_type(self.now_us, *fields))
        self.effects += effects
        return effects

    def advance_time(self, duration_us, step_us=50_000):
        """Advance the time in steps, with a timer event after each.

        A step above 0.5 s counts as a pause of the process.
        """
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.now_us = min(end_us, self.now_us + step_us)
            self.apply_event(ev.Ticked)

    def publish(self, team, **changes):
        """Publish a subtree; ``changes`` replace fields of its first service."""
        if changes:
            service = replace(team.services[0], **changes)
            team = replace(team, version=self.team.version + 1, services=(service,))
        self.team = team
        self.apply_event(ev.ConfigRead, "desk", team.version, encode_subtree(team))

    def submit_query(self, fingerprint=7, deadline_us=400_000, **fields):
        """Submit a query and return its id."""
        query_id = next(self.query_ids)
        options = {"priority": Priority.NORMAL, "repeatable": True} | fields
        query = Query(
            query_id,
            SERVICE,
            "school",
            {},
            fingerprint,
            deadline_us=self.now_us + deadline_us,
            **options,
        )
        self.apply_event(ev.QueryArrived, query)
        return query_id

    def issue_ticket(self):
        """Return a new ticket for the caller."""
        return self.state.tickets.issue("school", self.now_us)

    def list_open_sends(self):
        """Return the emitted sends that have not ended for the reducer, oldest first."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, fx.EmitSend) and effect.send_id in self.state.sends
        ]

    def list_answers(self, query_id=None):
        """Return the answers to one query, or to all queries if no id is given."""
        return [
            effect.answer
            for effect in self.effects
            if isinstance(effect, fx.AnswerCaller) and query_id in (None, effect.query_id)
        ]

    def answer_send(self, send, items=None, **changes):
        """Answer a send as its server would; ``changes`` replace fields of the sub-answer."""
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
        return self.apply_event(ev.SendAnswered, send.send_id, replace(sub_answer, **changes))

    def fail_send(self, send, kind=FailureKind.RESET, run=RunState.UNKNOWN):
        """Report the failure of a send."""
        return self.apply_event(ev.SendFailed, send.send_id, kind, run)
