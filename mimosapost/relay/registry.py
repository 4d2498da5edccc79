"""Registries of the relay's event handlers and timer handlers, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import TypeVar

from mimosapost.model.effects import Effect
from mimosapost.model.events import Event

__all__ = [
    "Effects",
    "TimerKind",
    "find_handler",
    "find_message_handler",
    "find_timer_handler",
    "handles",
    "handles_message",
    "handles_timer",
    "list_handled_types",
]

Effects = list[Effect]
Handler = TypeVar("Handler", bound=Callable[..., None])


class TimerKind(IntEnum):
    """Purpose of a timer.

    The key of a timer is the number of a request or send, the fingerprint of a suspect, or
    ``RelayState.next_timer_key``.
    """

    DEADLINE = 1
    GOAL = 2
    HEDGE = 3
    RETRY = 4
    REMOVE_SERVER = 5
    STOP = 6
    HOLD = 7
    GOSSIP = 8
    GATHER = 9
    REPORT = 10
    NOTES = 11
    DISPATCH = 12
    TRIAL = 13
    INTRODUCTION = 14
    REWOUND = 19
    LIMIT = 20
    REWOUND_DOMAINS = 21
    LEAVING = 22


_EVENT_HANDLERS: dict[type[Event], Callable[..., None]] = {}
_TIMER_HANDLERS: dict[TimerKind, Callable[..., None]] = {}
_MESSAGE_HANDLERS: dict[type, Callable[..., None]] = {}


def handles(event_type: type[Event]) -> Callable[[Handler], Handler]:
    """Register the handler of an event type, called with state, event and effects.

    :raises ValueError: if the type already has a handler.
    """
    return _register(_EVENT_HANDLERS, event_type)


def handles_timer(kind: TimerKind) -> Callable[[Handler], Handler]:
    """Register the handler of a timer kind, called with state, key, time and effects.

    :raises ValueError: if the kind already has a handler.
    """
    return _register(_TIMER_HANDLERS, kind)


def handles_message(message_type: type) -> Callable[[Handler], Handler]:
    """Register the handler of a peer message, called with state, event and effects.

    :raises ValueError: if the type already has a handler.
    """
    return _register(_MESSAGE_HANDLERS, message_type)


def find_message_handler(message_type: type) -> Callable[..., None] | None:
    """Return the handler of a type of peer message, or ``None`` if the relay ignores it."""
    return _MESSAGE_HANDLERS.get(message_type)


def find_handler(event_type: type[Event]) -> Callable[..., None]:
    """Return the handler of an event type.

    :raises KeyError: if the type has no handler.
    """
    return _EVENT_HANDLERS[event_type]


def list_handled_types() -> tuple[type[Event], ...]:
    """Return all event types that have a handler."""
    return tuple(_EVENT_HANDLERS)


def find_timer_handler(kind: TimerKind) -> Callable[..., None]:
    """Return the handler of a timer kind.

    :raises KeyError: if the kind has no handler.
    """
    return _TIMER_HANDLERS[kind]


def _register(table: dict, key: object) -> Callable[[Handler], Handler]:
    def decorate(function: Handler) -> Handler:
        if key in table:
            raise ValueError(f"cannot register a second handler for {key}")
        table[key] = function
        return function

    return decorate
