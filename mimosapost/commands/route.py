"""``mimosapost route``: show where a request would go now, and why, without sending it."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from mimosapost.commands.operator_client import fetch_object, format_line
from mimosapost.commands.registry import CommandError, command

__all__ = ["route"]


@command("route")
def route(
    address: str,
    host: str,
    path: str,
    *,
    workspace: str = "",
    method: str = "GET",
    deadline_ms: int = 10_000,
    fingerprint: str = "",
    json: bool = False,
) -> None:
    """Show where a running instance would send a request that arrives now, and why.

    The instance must run on the users' platform. It sends nothing and changes nothing. Lines
    have ``key=value`` pairs: the request, the refusal if there is one, the gathers at other
    instances, then one line for each part with all its servers.

    :param address: ``ip:port`` of the operators' address of the instance.
    :param host: host that the caller names.
    :param path: path of the request, with its query string.
    :param workspace: name of the caller's workspace.
    :param method: method of the request, which tells repeats of a request apart.
    :param deadline_ms: time in milliseconds that the caller will wait.
    :param fingerprint: fingerprint of a request with a body, from the log.
    :param json: print JSON instead of text.
    """
    if deadline_ms < 0:
        raise CommandError(f"deadline of {deadline_ms} ms: expected 0 or more")
    parameters = {
        "host": host,
        "path": path,
        "method": method,
        "workspace": workspace,
        "deadline_ms": str(deadline_ms),
    }
    if fingerprint:
        parameters["fingerprint"] = fingerprint
    explanation = asyncio.run(fetch_object(address, "explain", parameters))
    if "parts" not in explanation:
        raise CommandError(f"{address} is not an instance on the users' platform")
    if json:
        sys.stdout.write(f"{msgspec.json.format(msgspec.json.encode(explanation)).decode()}\n")
        return
    for line in _format_explanation(explanation):
        sys.stdout.write(f"{line}\n")


def _format_explanation(explanation: Mapping[str, Any]) -> Iterator[str]:
    fields = {k: v for k, v in explanation.items() if not isinstance(v, dict | list)}
    fields.pop("refusal", None)
    yield format_line("request", fields)
    if explanation["refusal"] is not None:
        yield format_line("refusal", explanation["refusal"])
    for gather in explanation["gathers"]:
        yield format_line("gather", gather)
    for part in explanation["parts"]:
        servers = [_format_server(server) for server in part["servers"]]
        yield format_line("part", part | {"servers": servers})


def _format_server(server: Mapping[str, Any]) -> str:
    """Return a server in one word.

    >>> server = {"server": "i-1", "domain": "a1", "expected_ms": 4.2, "is_last": True}
    >>> _format_server(server | {"excluded": ["cold"]})
    'i-1@a1:4.2ms:cold:last'
    """
    words = [f"{server['server']}@{server['domain']}", f"{server['expected_ms']}ms"]
    return ":".join([*words, *server["excluded"], *(["last"] if server["is_last"] else [])])
