"""The relay's reducer, the only code that changes its state.

``reduce`` reads no clock, socket or unseeded random number, so that the same events always
produce the same effects.
"""

from __future__ import annotations

from mimosapost.model.effects import Effect, SetTimer
from mimosapost.model.events import Event
from mimosapost.relay import (  # noqa: F401 - imported for their registered handlers
    admission,
    completion,
    feeds,
    gathers,
    gossip,
    graceful_stop,
    hedges,
    reply_times,
    send_outcomes,
    sends,
    served_gathers,
    server_notes,
    service_discovery,
    trials,
    workspace_accounts,
    workspace_limits,
)
from mimosapost.relay.events import TimerFired
from mimosapost.relay.registry import Effects, find_handler, find_timer_handler, handles
from mimosapost.relay.state import RelayState

__all__ = ["reduce"]


def reduce(state: RelayState, event: Event) -> list[Effect]:
    """Apply one event to the state and return the resulting effects.

    :param state: state of the relay; changed in place.
    :param event: the event.
    :returns: effects in the order in which the edge executes them.
    """
    effects: list[Effect] = []
    find_handler(type(event))(state, event, effects)
    admission.admit_held_requests(state, event.now_us, effects)
    admission.admit_granted_requests(state, event.now_us, effects)
    sends.dispatch_waiting(state, event.now_us, effects)
    trials.advance_trials(state, event.now_us, effects)
    completion.fail_unsent_parts(state, event.now_us, effects)
    hedges.start_hedges(state, event.now_us, effects)
    due_us = state.timers.get_next_due_us()
    if due_us is not None and due_us != state.timers.armed_us:
        state.timers.armed_us = due_us
        effects.append(SetTimer(due_us))
    return effects


@handles(TimerFired)
def handle_timer(state: RelayState, event: TimerFired, effects: Effects) -> None:
    """Run the handlers of all due timers in the order of their due times."""
    while (due := state.timers.pop_due(event.now_us)) is not None:
        kind, key = due
        find_timer_handler(kind)(state, key, event.now_us, effects)
    state.timers.armed_us = 0
