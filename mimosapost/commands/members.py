"""``mimosapost members``: show the instances that one instance knows, and its partners."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterator, Mapping
from typing import Any

from mimosapost.commands.operator_client import fetch_object, format_line
from mimosapost.commands.registry import CommandError, command

__all__ = ["members"]


@command("members")
def members(address: str) -> None:
    """Show the members, partners, feed and links of a running instance.

    The instance must run on the users' platform, where instances gather parts of queries and
    read the store for each other. Each line has ``key=value`` pairs: first the instance, then
    whom it reads the store from and for, then its partner in each failure domain, then every
    member.

    :param address: ``ip:port`` of the operators' address of the instance.
    """
    for line in _format_status(asyncio.run(_fetch_status(address))):
        sys.stdout.write(f"{line}\n")


async def _fetch_status(address: str) -> Mapping[str, Any]:
    status = await fetch_object(address, "status")
    if "partners" not in status:
        raise CommandError(f"{address} is not an instance on the users' platform")
    return status


def _format_status(status: Mapping[str, Any]) -> Iterator[str]:
    fields = {k: v for k, v in status.items() if not isinstance(v, dict | list)}
    yield format_line("instance", fields | status["links"])
    # Instances of earlier releases have no feeds.
    if (feed := status.get("feed")) is not None:
        yield format_line("feed", feed | {"followers": ",".join(feed["followers"])})
    for partner in status["partners"]:
        yield format_line("partner", partner)
    for member in status["members"]:
        yield format_line("member", member)
