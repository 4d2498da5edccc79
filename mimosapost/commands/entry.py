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
    """Run the command that the arguments name.

    :param argv: arguments without the program's name; by default those of the process.
    :returns: exit status: 2 for invalid arguments, unreadable files or invalid settings, 1 if
        the reader of the output closed the pipe, 130 after SIGINT, otherwise the command's
        own status (0 on success).
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        if arguments == ["--version"]:
            sys.stdout.write(f"{_PROGRAM} {version(_PROGRAM)}\n")
            sys.stdout.flush()
            return 0
        bound_command = _bind_arguments(arguments)
        if bound_command is None:
            return 2
        status = bound_command()
        sys.stdout.flush()
        return status or 0
    except CommandError as error:
        return _report_error(str(error))
    except BrokenPipeError:
        # The reader of the output has exited, as ``head`` does, so nobody would read an error.
        return 1
    except OSError as error:
        name = f": {error.filename}" if error.filename else ""
        return _report_error(f"{error.strerror or error}{name}")
    except KeyboardInterrupt:
        return 130


def _bind_arguments(arguments: list[str]) -> Callable[[], int | None] | None:
    commands = load_commands(arguments[0] if arguments else "")
    if not commands:
        _report_error(f"command {arguments[0]} is not available in this installation")
        return None
    argparse_output = io.StringIO()
    try:
        with redirect_stderr(argparse_output):
            return defopt.bind(
                commands,
                argv=arguments,
                argparse_kwargs={"prog": _PROGRAM},
                no_negated_flags=True,
            )
    except SystemExit as error:
        if not error.code:
            raise
        # argparse writes the usage first and the reason on the last line.
        lines = argparse_output.getvalue().strip().splitlines() or ["invalid arguments"]
        sys.stderr.write(f"{lines[-1]}\n")
        return None


def _report_error(message: str) -> int:
    text = " ".join(message.splitlines())
    sys.stderr.write(f"{_PROGRAM}: error: {text if text.isprintable() else ascii(text)}\n")
    return 2
