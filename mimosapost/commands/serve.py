"""``mimosapost serve``: run one entry instance."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from returns.result import Failure, Success

from mimosapost.commands.registry import CommandError, command
from mimosapost.edge.instance import Instance
from mimosapost.edge.logs import configure_logs
from mimosapost.settings.local import LocalSettings, check_local_settings
from mimosapost.settings.subtree_directory import read_settings_file

__all__ = ["serve"]


@command("serve")
def serve(settings: Path) -> int:
    """Run one entry instance until SIGTERM or SIGINT, then stop gracefully.

    :param settings: path of the local settings file of the instance (JSON).
    :returns: 0 after a graceful stop.
    """
    local = _read_settings(settings)
    configure_logs(local.log_level, instance=local.name)
    asyncio.run(_run(local))
    return 0


def _read_settings(path: Path) -> LocalSettings:
    match read_settings_file(path).bind(check_local_settings):
        case Success(settings):
            return settings
        case Failure(faults):
            listed = faults if isinstance(faults, tuple) else (faults,)
            raise CommandError("; ".join(f"{path}: {fault}" for fault in listed))
    raise AssertionError("unreachable")


async def _run(settings: LocalSettings) -> None:
    instance = Instance(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        # A second signal has no effect, because the graceful stop has already begun.
        loop.add_signal_handler(signal_number, instance.request_stop)
    await instance.start()
    try:
        await instance.wait_until_drained()
    finally:
        await instance.stop()
