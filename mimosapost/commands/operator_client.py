"""Calls to the operators' address of a running instance, for the commands that read it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from mimosapost.commands.registry import CommandError

__all__ = ["fetch_object", "format_line"]

# Time limit for the whole answer of an instance.
_TIMEOUT_SECONDS = 5.0


async def fetch_object(
    address: str, path: str, parameters: Mapping[str, str] | None = None
) -> Mapping[str, Any]:
    """Return the JSON object that an instance answers.

    :param address: ``ip:port`` of the operators' address of the instance.
    :param path: path of the page, without its leading slash.
    :raises CommandError: if the instance can't be reached or does not answer with an object.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(
                f"http://{address}/{path}", params=parameters, allow_redirects=False
            ) as response,
        ):
            if response.status == 400:
                raise CommandError(f"{address}: {await response.text(errors='replace')}")
            if response.status != 200:
                raise CommandError(f"{address} answered with status {response.status}")
            content = msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise CommandError(f"cannot read the {path} of {address}: {reason}") from error
    if not isinstance(content, dict):
        raise CommandError(f"{address} is not an instance on the users' platform")
    return content


def format_line(kind: str, fields: Mapping[str, Any]) -> str:
    """Return a line of a kind with ``key=value`` pairs; values are JSON.

    >>> format_line("member", {"name": "n2", "heard_ms": None})
    'member name="n2" heard_ms=null'
    """
    pairs = (f"{key}={msgspec.json.encode(value).decode()}" for key, value in fields.items())
    return " ".join((kind, *pairs))
