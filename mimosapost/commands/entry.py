"""Entry point of the console script ``mimosapost``."""

from __future__ import annotations

import io
import sys
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr
from importlib.metadata import version

import defopt

from mimosapost.commands.registry import CommandError, load_commands

__all__ = ["main"]

_PROGRAM = "mimosapost"


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    :param argv: arguments without the program's name, those of the process by default.
    :returns: exit status: 0, 2 for bad arguments, files or settings, else the command's own.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        if arguments == ["--version"]:
            sys.stdout.write(f"{_PROGRAM} {version(_PROGRAM)}\n")
            sys.stdout.flush()
            return 0
        call = _bind_arguments(arguments)
        if call is None:
            return 2
        status = call()
        sys.stdout.flush()
        return status or 0
    except CommandError as error:
        return _report(str(error))
    except BrokenPipeError:
        # The reader of a pipe ended, as head does; there is nobody to tell.
        return 1
    except OSError as error:
        name = f": {error.filename}" if error.filename else ""
        return _report(f"{error.strerror or error}{name}")
    except KeyboardInterrupt:
        return 130


def _bind_arguments(arguments: list[str]) -> Callable[[], int | None] | None:
    commands = load_commands(arguments[0] if arguments else "")
    if not commands:
        _report(f"command {arguments[0]} is not available")
        return None
    usage = io.StringIO()
    try:
        with redirect_stderr(usage):
            return defopt.bind(
                commands,
                argv=arguments,
                argparse_kwargs={"prog": _PROGRAM},
                no_negated_flags=True,
            )
    except SystemExit as error:
        if not error.code:
            raise
        # argparse writes its usage first; the last line is the reason.
        lines = usage.getvalue().strip().splitlines() or ["bad arguments"]
        sys.stderr.write(f"{lines[-1]}\n")
        return None


def _report(message: str) -> int:
    text = " ".join(message.splitlines())
    sys.stderr.write(f"{_PROGRAM}: error: {text if text.isprintable() else ascii(text)}\n")
    return 2
