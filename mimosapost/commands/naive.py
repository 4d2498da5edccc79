"""``mimosapost naive``: run an instance of the naive tier, the baseline of benchmarks.

The naive tier has no hedges, limits, retries or snapshots; see :mod:`mimosapost.bench.naive`.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from mimosapost.bench.naive import NaiveTier
from mimosapost.commands.registry import CommandError, command
from mimosapost.settings.subtree_directory import check_tree

__all__ = ["naive"]


@command("naive")
def naive(tree: Path, *, address: str, seed: int = 1) -> int:
    """Run one instance of the naive tier until SIGTERM or SIGINT.

    :param tree: directory with ``fleet.json`` and ``teams/``.
    :param address: IP address and port to listen on; requests to backend servers use the IP
        address as their source address.
    :param seed: seed of the random choice of slots.
    """
    report = check_tree(tree)
    if report.faults:
        raise CommandError("; ".join(str(fault) for fault in report.faults[:5]))
    services = {service.name: service for team in report.teams for service in team.services}
    host, _, port = address.rpartition(":")
    if not port.isdecimal():
        raise CommandError(f"address {address!r}: expected IP:PORT")
    asyncio.run(_run(NaiveTier(services, host, int(port), seed)))
    return 0


async def _run(tier: NaiveTier) -> None:
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    async with tier:
        await stop_requested.wait()
