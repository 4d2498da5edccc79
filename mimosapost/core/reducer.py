"""Event reducer: the only code that changes the state of an instance.

``reduce`` uses no clock, no socket and no unseeded random numbers, so that the same events
always give the same effects.
"""

from __future__ import annotations

from mimosapost.core import (  # noqa: F401 - imported for their registered handlers
    admission,
    answers,
    configuration,
    failures,
    peer_messages,
    schedule,
    stopping,
)
from mimosapost.core.registry import find_handler
from mimosapost.core.state import State
from mimosapost.model.effects import Effect, SetTimer, WriteLog
from mimosapost.model.events import Event

__all__ = ["reduce", "start"]


def start(state: State) -> list[Effect]:
    """Arm the periodic timers of a new state.

    :param state: state from :func:`~mimosapost.core.state.create_state`.
    :returns: effects to execute before the first event.
    """
    schedule.arm_periodic_timers(state)
    effects: list[Effect] = []
    _arm_timer(state, effects)
    return effects


def reduce(state: State, event: Event) -> list[Effect]:
    """Apply one event to the state.

    :param state: state of the instance; changed in place.
    :param event: event to apply.
    :returns: effects in the order in which the edge executes them.
    """
    effects: list[Effect] = []
    gap_us = event.now_us - state.last_event_us
    if gap_us > state.policy.pause_us:
        # A timer fires at least every housekeeping period, so a longer gap means that the
        # process was paused. Deadlines that passed meanwhile are handled before any new send.
        effects.append(WriteLog("process_paused", (("gap_ms", gap_us // 1000),)))
        state.resumed_us = event.now_us
        schedule.fire_due_timers(state, event.now_us, effects)
    state.last_event_us = event.now_us
    find_handler(type(event))(state, event, effects)
    schedule.use_freed_allowances(state, event.now_us, effects)
    _arm_timer(state, effects)
    return effects


def _arm_timer(state: State, effects: list[Effect]) -> None:
    due_us = state.timers.get_next_due_us()
    if due_us is not None and due_us != state.timers.armed_us:
        state.timers.armed_us = due_us
        effects.append(SetTimer(due_us))
