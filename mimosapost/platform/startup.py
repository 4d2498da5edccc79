"""Startup of a process: read settings and open the listening socket before slow imports.

All instances may start at once under traffic, and the modules of the program take a few tenths
of a second to load. Because the socket listens before that, the kernel accepts a caller that
connects during the imports, and the instance answers it a moment later. Without the socket the
connection would be refused.
"""

from __future__ import annotations

import os
import socket
from pathlib import Path

from returns.result import Failure, Result

from mimosapost.platform.settings import RelaySettings, decode_settings

__all__ = ["find_settings_path", "open_listener", "read_settings"]

_SETTINGS_PATH_VARIABLE = "MIMOSAPOST_CONFIG"
# Length of the kernel's queue of connections that the process has not accepted yet. A burst of
# callers opens several hundred connections at once.
_LISTEN_BACKLOG = 1_024


def find_settings_path() -> Path:
    """Return the path that the environment variable ``MIMOSAPOST_CONFIG`` holds."""
    return Path(os.environ.get(_SETTINGS_PATH_VARIABLE, ""))


def read_settings(path: Path) -> Result[RelaySettings, tuple[str, ...]]:
    """Read and decode a settings file; bytes that are not UTF-8 cost their own line alone.

    :returns: decoded settings, or one line of text for each fault.
    """
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        return Failure((f"{_SETTINGS_PATH_VARIABLE}={path}: {error}",))
    return decode_settings(text).alt(
        lambda faults: tuple(f"{path}: {fault}" for fault in faults)
    )


def open_listener(address: str) -> socket.socket:
    """Open a listening socket; the kernel queues connections until they are accepted.

    :param address: ``ip:port``.
    :returns: non-blocking listening socket.
    :raises OSError: if the socket cannot be bound to the address.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Connections of an earlier process may still use the address, for example in TIME_WAIT.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(_LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
