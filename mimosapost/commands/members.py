"""``mimosapost members``: show the instances that one instance knows, and its partners."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterator, Mapping
from typing import Any

import aiohttp
import msgspec

from mimosapost.commands.registry import CommandError, command

__all__ = ["members"]

# Time limit for the whole answer of an instance.
_TIMEOUT_SECONDS = 5.0


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
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/status", allow_redirects=False) as response,
        ):
            if response.status != 200:
                raise CommandError(f"{address} answered with status {response.status}")
            status = msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise CommandError(f"cannot read the status of {address}: {reason}") from error
    if not isinstance(status, dict) or "partners" not in status:
        raise CommandError(f"{address} is not an instance on the users' platform")
    return status


def _format_status(status: Mapping[str, Any]) -> Iterator[str]:
    fields = {k: v for k, v in status.items() if not isinstance(v, dict | list)}
    yield _format_line("instance", fields | status["links"])
    # Instances of earlier releases have no feeds.
    if (feed := status.get("feed")) is not None:
        yield _format_line("feed", feed | {"followers": ",".join(feed["followers"])})
    for partner in status["partners"]:
        yield _format_line("partner", partner)
    for member in status["members"]:
        yield _format_line("member", member)


def _format_line(kind: str, fields: Mapping[str, Any]) -> str:
    pairs = (f"{key}={msgspec.json.encode(value).decode()}" for key, value in fields.items())
    return " ".join((kind, *pairs))
