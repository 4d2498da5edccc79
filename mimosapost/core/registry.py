"""Registry of event handlers, which register themselves with a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from mimosapost.model.effects import Effect
from mimosapost.model.events import Event

__all__ = ["Handler", "find_handler", "handles", "list_handled"]

Handler = Callable[..., None]
HandlerType = TypeVar("HandlerType", bound=Handler)

_HANDLERS: dict[type[Event], Handler] = {}


def handles(event_type: type[Event]) -> Callable[[HandlerType], HandlerType]:
    """Register the decorated function as the handler of an event type.

    A handler is called with the state, the event and a list to which it appends its effects.

    :param event_type: concrete event class.
    :raises ValueError: if the type has a handler already.
    """

    def decorate(function: HandlerType) -> HandlerType:
        if event_type in _HANDLERS:
            raise ValueError(f"{event_type.__name__} has a handler already")
        _HANDLERS[event_type] = function
        return function

    return decorate


def find_handler(event_type: type[Event]) -> Handler:
    """Return the handler of an event type.

    :raises KeyError: if the type has none.
    """
    return _HANDLERS[event_type]


def list_handled() -> tuple[type[Event], ...]:
    """Return all event types that have a handler."""
    return tuple(_HANDLERS)


Effects = list[Effect]
