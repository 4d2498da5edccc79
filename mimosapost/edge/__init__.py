"""Input and output of an instance: sockets, clocks and random numbers around the reducer."""

import importlib
import platform
import sys


def _import_croniter() -> None:
    """Import croniter, a dependency of mode, without starting another program.

    When it is imported, croniter calls ``platform.architecture``, which runs the program
    ``file`` on the interpreter. An instance must not start other programs, so a replacement of
    that function derives the word size from ``sys.maxsize`` during the import.
    """
    original = platform.architecture
    platform.architecture = lambda *_, **__: ("64bit" if sys.maxsize > 2**32 else "32bit", "")
    try:
        importlib.import_module("croniter")
    finally:
        platform.architecture = original


_import_croniter()
