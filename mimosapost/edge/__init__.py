"""Sockets, clocks and random numbers around the reducer."""

import importlib
import platform
import sys


def _import_croniter() -> None:
    """Import croniter, a dependency of mode, without starting a program.

    At import croniter calls ``platform.architecture``, which runs ``file`` on the interpreter.
    A process of the tier starts no other, so the answer comes from this interpreter instead.
    """
    original = platform.architecture
    platform.architecture = lambda *_, **__: ("64bit" if sys.maxsize > 2**32 else "32bit", "")
    try:
        importlib.import_module("croniter")
    finally:
        platform.architecture = original


_import_croniter()
