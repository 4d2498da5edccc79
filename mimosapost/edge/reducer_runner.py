"""Passes events to a reducer one at a time and executes the effects that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from mimosapost.edge.logs import Logs
from mimosapost.model.effects import Effect
from mimosapost.model.events import Event

__all__ = ["ReducerRunner"]


class ReducerRunner:
    """Runs a reducer on events in the order of their arrival.

    An event that arrives while another one is handled is queued until all effects of that
    other event are executed, so the reducer is never re-entered.

    :param reduce: the reducer, bound to its state.
    :param logs: log of events whose handling raised an exception. Such an event is logged and
        skipped, because one faulty event must not end the service for all callers.
    """

    def __init__(self, reduce: Callable[[Event], list[Effect]], logs: Logs) -> None:
        self._reduce = reduce
        self._logs = logs
        self._events: deque[Event] = deque()
        self._running = False
        #: Function that executes an effect, by type of effect; set when the instance starts.
        self.executors: Mapping[type[Effect], Callable] = {}
        #: Number of events whose handling raised an exception.
        self.failed = 0

    def handle(self, event: Event) -> None:
        """Reduce an event and execute its effects, or queue it while another one is handled."""
        self._events.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._running = False

    def execute(self, effects: list[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            self.executors[type(effect)](effect)

    def _handle_one(self, event: Event) -> None:
        try:
            self.execute(self._reduce(event))
        except Exception as error:
            self.failed += 1
            self._logs.write(
                "event_failed", {"event_type": type(event).__name__, "error": repr(error)}
            )
