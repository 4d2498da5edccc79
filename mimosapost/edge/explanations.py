"""Operators' questions where a request would go, which a running instance answers."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import replace

import msgspec
from aiohttp import web

from mimosapost.relay.explanations import (
    UnknownWorkspaceError,
    explain_request,
    use_workspace,
)
from mimosapost.relay.messages import RelayRequest
from mimosapost.relay.state import RelayState

__all__ = ["answer_explanation"]

_PARAMETERS = frozenset(("host", "path", "method", "workspace", "deadline_ms", "fingerprint"))
# Remaining time in milliseconds of a caller that names none.
_DEFAULT_DEADLINE_MS = "10000"
_FINGERPRINT = re.compile(r"[0-9a-fA-F]{1,16}")
_DEADLINE = re.compile(r"[0-9]{1,9}")
_METHOD = re.compile(r"[A-Za-z]{1,20}")


def answer_explanation(
    state: RelayState,
    create_request: Callable[[str, str, str, int], RelayRequest],
    parameters: Mapping[str, str],
    now_us: int,
) -> web.Response:
    """Return the explanation as JSON, or status 400 with the reason as text.

    :param create_request: returns a request from method, target, host and deadline.
    :param parameters: ``host`` and ``path`` of the request, and optionally ``method``,
        ``workspace``, ``deadline_ms`` and ``fingerprint``.
    """
    try:
        request = _read_request(state, create_request, parameters, now_us)
    except (UnknownWorkspaceError, ValueError) as error:
        return web.Response(status=400, text=str(error))
    body = msgspec.json.encode(explain_request(state, request, now_us))
    return web.Response(body=body, content_type="application/json")


def _read_request(
    state: RelayState,
    create_request: Callable[[str, str, str, int], RelayRequest],
    parameters: Mapping[str, str],
    now_us: int,
) -> RelayRequest:
    unknown = sorted(set(parameters) - _PARAMETERS)
    if unknown:
        raise ValueError(f"unknown parameter {unknown[0]}")
    host, path = parameters.get("host", ""), parameters.get("path", "")
    if not host:
        raise ValueError("host is missing")
    if not path.startswith("/"):
        raise ValueError("path: expected a path that starts with a slash")
    method = _read(parameters, "method", "GET", _METHOD, "a method of HTTP")
    deadline_ms = _read(
        parameters, "deadline_ms", _DEFAULT_DEADLINE_MS, _DEADLINE, "milliseconds"
    )
    fingerprint = _read(parameters, "fingerprint", "0", _FINGERPRINT, "1 to 16 hex digits")
    request = create_request(method, path, host, now_us + int(deadline_ms) * 1_000)
    if "fingerprint" in parameters:
        request = replace(request, fingerprint=int(fingerprint, 16))
    name = parameters.get("workspace", "")
    return use_workspace(state, request, name) if name else request


def _read(
    parameters: Mapping[str, str],
    name: str,
    default: str,
    pattern: re.Pattern[str],
    expected: str,
) -> str:
    value = parameters.get(name, default)
    if not pattern.fullmatch(value):
        raise ValueError(f"{name}: expected {expected}")
    return value
