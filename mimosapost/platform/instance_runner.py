"""Main loop of one instance on the users' platform, with its signal handlers."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

from returns.result import Failure, Success

from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.log_stream import LogStream
from mimosapost.edge.logs import Logs, configure_logs
from mimosapost.edge.relay_instance import RelayInstance
from mimosapost.platform.http_codec import PlatformCodec
from mimosapost.platform.settings import RelaySettings
from mimosapost.platform.startup import read_settings
from mimosapost.platform.store_reader import StoreReader

__all__ = ["run"]


def run(path: Path, settings: RelaySettings, listener: socket.socket) -> None:
    """Run one instance until SIGTERM, then stop gracefully.

    :param path: settings file, read again on SIGHUP.
    :param settings: settings that were decoded from this file at startup.
    :param listener: listening socket that callers connect to.
    """
    asyncio.run(_run(path, settings, listener))


def _log_settings_check(path: Path, settings: RelaySettings, logs: Logs) -> None:
    """Log whether the settings file is valid and whether it differs from the settings in use.

    Changed settings take effect only in a new process. The file holds nothing that may change
    while a process runs: addresses, failure domain and region belong to the machine, and limits
    come with the configuration in the store.
    """
    match read_settings(path):
        case Failure(faults):
            logs.write("settings_refused", {"faults": "; ".join(faults)})
        case Success(new_settings):
            _log_ignored(new_settings, logs)
            logs.write("settings_read_again", {"same": new_settings == settings})


def _log_ignored(settings: RelaySettings, logs: Logs) -> None:
    for fault in settings.ignored:
        logs.write("settings_ignored", {"fault": str(fault)})


async def _run(path: Path, settings: RelaySettings, listener: socket.socket) -> None:
    stream = LogStream(sys.stdout.fileno(), read_clock_us)
    name = settings.instance_settings.name
    logs = Logs(stream, instance=name)
    configure_logs("info", stream, instance=name)
    _log_ignored(settings, logs)
    instance = RelayInstance(
        settings.instance_settings,
        settings,
        PlatformCodec(),
        lambda *context: StoreReader(
            settings.store_address,
            *context,
            detection_limit_ms=settings.detection_limit_ms,
            apply_limit_ms=settings.apply_limit_ms,
            is_first_start=settings.is_first_start,
        ),
        logs,
        listener,
        settings.max_held_bytes,
        settings.caller_bounds,
        settings.max_server_connections,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, instance.request_stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log_settings_check(path, settings, logs))
    await instance.start()
    try:
        await instance.wait_until_drained()
    finally:
        await instance.stop()
        logs.write("instance_stopped")
