"""Delivery of events to a reducer, one after the other, and execution of its effects."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from mimosapost.edge.logs import Logs
from mimosapost.model.effects import Effect
from mimosapost.model.events import Event

__all__ = ["Reduction"]


class Reduction:
    """Reduces events in the order of their arrival.

    Effects that lead to further events are executed before these are reduced, so a reducer
    never runs inside itself.

    :param reduce: the reducer, bound to its state.
    :param logs: for events that fail; one of them must not end the service of all callers.
    """

    def __init__(self, reduce: Callable[[Event], list[Effect]], logs: Logs) -> None:
        self._reduce = reduce
        self._logs = logs
        self._events: deque[Event] = deque()
        self._running = False
        #: Executors by type of effect; filled once the edge has started.
        self.executors: Mapping[type[Effect], Callable] = {}
        #: Number of events that raised an exception.
        self.failed = 0

    def handle(self, event: Event) -> None:
        """Reduce an event and execute its effects; events that arrive meanwhile follow."""
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
