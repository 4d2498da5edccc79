"""Start of a process: its settings and its listening socket, before anything slow is loaded.

Load pattern that it answers: all instances start at once under traffic. The modules of the
program take a few tenths of a second to load. A caller that connects meanwhile is accepted by
the kernel and answered a moment later, where it would be turned away without the socket.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path

from returns.result import Failure, Result

from mimosapost.platform.settings import RelaySettings, decode_settings

__all__ = ["find_settings_path", "open_listener", "read_settings"]

_SETTINGS_VARIABLE = "MIMOSAPOST_CONFIG"
# Connections that wait to be accepted; a burst of callers opens some hundreds at once.
_BACKLOG = 1_024


def find_settings_path() -> Path:
    """Return the path of the settings file, from the environment."""
    return Path(os.environ.get(_SETTINGS_VARIABLE, ""))


def read_settings(path: Path) -> Result[RelaySettings, tuple[str, ...]]:
    """Read and decode a settings file.

    :returns: typed settings, or every fault as a line of text.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f"{_SETTINGS_VARIABLE}={path}: {error}",))
    return decode_settings(text).alt(lambda faults: tuple(f"{path}: {f}" for f in faults))


def open_listener(address: str) -> socket.socket:
    """Listen on an address; connections wait in the kernel until they are accepted.

    :param address: ``ip:port``.
    :raises OSError: if the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # The address may still have connections of an earlier process.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
