"""The program of one instance on the users' platform."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

from returns.result import Failure, Success

from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.log_stream import LogStream
from mimosapost.edge.logs import Logs
from mimosapost.edge.relay_instance import RelayInstance
from mimosapost.platform.settings import RelaySettings
from mimosapost.platform.start import read_settings
from mimosapost.platform.store import StoreReader
from mimosapost.platform.wire import PlatformCodec

__all__ = ["run"]


def run(path: Path, settings: RelaySettings, listener: socket.socket) -> None:
    """Run one instance until SIGTERM, then stop gracefully.

    :param path: settings file, read again at SIGHUP.
    :param settings: what it held at the start.
    :param listener: socket that callers connect to.
    """
    asyncio.run(_run(path, settings, listener))


def _check_again(path: Path, settings: RelaySettings, logs: Logs) -> None:
    """Tell whether the settings file changed; what is in it takes a new process.

    Nothing that may change while a process runs is used by it: addresses and place are those
    of the machine, and limits come with the configuration.
    """
    match read_settings(path):
        case Failure(faults):
            logs.write("settings_refused", {"faults": "; ".join(faults)})
        case Success(changed):
            logs.write("settings_read_again", {"same": changed == settings})


async def _run(path: Path, settings: RelaySettings, listener: socket.socket) -> None:
    logs = Logs(
        LogStream(sys.stdout.fileno(), read_clock_us), instance=settings.instance_settings.name
    )
    instance = RelayInstance(
        settings.instance_settings,
        settings,
        PlatformCodec(),
        lambda *context: StoreReader(
            settings.store_address,
            *context,
            hear_ms=settings.hear_ms,
            apply_ms=settings.apply_ms,
        ),
        logs,
        listener,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, instance.request_stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: _check_again(path, settings, logs))
    await instance.start()
    try:
        await instance.wait_until_served()
    finally:
        await instance.stop()
        logs.write("instance_stopped")
