"""Registry of the program's commands."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from importlib.util import find_spec

__all__ = ["CommandError", "command", "load_commands"]

CommandFunction = Callable[..., int | None]

_COMMANDS: dict[str, CommandFunction] = {}
# Each command stands in the module of this package that has its name.
_COMMAND_NAMES = (
    "serve",
    "check",
    "explain",
    "reference",
    "demo",
    "standin",
    "bench",
    "load",
    "naive",
)


class CommandError(Exception):
    """A command cannot go on; the message is one line for the operator."""


def command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Register a function as a command of the program.

    Its signature gives the arguments and its docstring the help. It returns an exit status,
    ``None`` for 0.

    :param name: name on the command line.
    :returns: a decorator that returns its function unchanged.
    """

    def register(function: CommandFunction) -> CommandFunction:
        _COMMANDS[name] = function
        return function

    return register


def load_commands(wanted: str = "") -> dict[str, CommandFunction]:
    """Import the module of one command, or of all where the name is none of them.

    The others are left out, because importing the servers takes far longer than a check.

    :param wanted: name of a command.
    :returns: functions by name.
    """
    names = (wanted,) if wanted in _COMMAND_NAMES else _COMMAND_NAMES
    for name in names:
        module = f"mimosapost.commands.{name}"
        # Only a module that does not exist is passed over; errors within one are shown.
        if find_spec(module) is not None:
            import_module(module)
    return {name: _COMMANDS[name] for name in names if name in _COMMANDS}
