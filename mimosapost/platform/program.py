"""The program of one instance on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from returns.result import Failure, Success

from mimosapost.edge.clock import read_clock_us
from mimosapost.edge.log_stream import LogStream
from mimosapost.edge.logs import Logs
from mimosapost.edge.relay_instance import RelayInstance
from mimosapost.platform.settings import RelaySettings, decode_settings
from mimosapost.platform.store import StoreReader
from mimosapost.platform.wire import PlatformCodec

__all__ = ["main"]

_SETTINGS_VARIABLE = "MIMOSAPOST_CONFIG"


def main() -> int:
    """Run one instance until SIGTERM, then stop gracefully.

    :returns: 0 after a graceful stop, 2 for settings that cannot be used.
    """
    path = os.environ.get(_SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        sys.stderr.write(f"{_SETTINGS_VARIABLE}={path}: {error}\n")
        return 2
    match decode_settings(text):
        case Failure(faults):
            sys.stderr.write("".join(f"{path}: {fault}\n" for fault in faults))
            return 2
        case Success(settings):
            asyncio.run(_run(Path(path), settings))
    return 0


def _check_again(path: Path, settings: RelaySettings, logs: Logs) -> None:
    """Tell whether the settings file changed; what is in it takes a new process.

    Nothing that may change while a process runs is used by it: addresses and place are those
    of the machine, and limits come with the configuration.
    """
    try:
        result = decode_settings(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        logs.write("settings_not_read", {"error": str(error)})
        return
    match result:
        case Failure(faults):
            logs.write("settings_refused", {"faults": "; ".join(map(str, faults))})
        case Success(changed):
            logs.write("settings_read_again", {"same": changed == settings})


async def _run(path: Path, settings: RelaySettings) -> None:
    logs = Logs(LogStream(sys.stdout.fileno(), read_clock_us), instance=settings.place.name)
    instance = RelayInstance(
        settings.place,
        settings,
        PlatformCodec(),
        lambda *context: StoreReader(
            settings.store_address, *context, hear_ms=settings.hear_ms
        ),
        logs,
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
