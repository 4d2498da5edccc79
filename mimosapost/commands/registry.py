"""Registry of the program's commands."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from importlib.util import find_spec

__all__ = ["CommandError", "command", "load_commands"]

CommandFunction = Callable[..., int | None]

_COMMANDS: dict[str, CommandFunction] = {}
# Each command is defined in the module of the same name in this package.
_COMMAND_NAMES = (
    "serve",
    "check",
    "explain",
    "members",
    "route",
    "reference",
    "demo",
    "standin",
    "bench",
    "load",
    "naive",
)


class CommandError(Exception):
    """Error that ends a command; the message is one line for the operator."""


def command(name: str) -> Callable[[CommandFunction], CommandFunction]:
    """Register a function as a command of the program.

    The signature of the function defines the arguments, its docstring the help text. The
    function returns an exit status; ``None`` means 0.

    :param name: name on the command line.
    :returns: a decorator that returns its function unchanged.
    """

    def register(function: CommandFunction) -> CommandFunction:
        _COMMANDS[name] = function
        return function

    return register


def load_commands(wanted: str = "") -> dict[str, CommandFunction]:
    """Import the module of one command, or the modules of all commands if the name is unknown.

    The other modules are not imported, because importing the server modules takes far longer
    than a check of settings.

    :param wanted: name of a command.
    :returns: functions of the loaded commands by name.
    """
    names = (wanted,) if wanted in _COMMAND_NAMES else _COMMAND_NAMES
    for name in names:
        module = f"mimosapost.commands.{name}"
        # A module that is not installed is skipped; an import error within a module is raised.
        if find_spec(module) is not None:
            import_module(module)
    return {name: _COMMANDS[name] for name in names if name in _COMMANDS}
