"""Decoder for the workspaces of the operator's configuration; keeps their keys as digests.

A key becomes a digest twice. The first digest is the same in all processes, so that an instance
passes a configuration on without its keys. The second is keyed with a secret of the process and
is what keys of requests are compared by, in a table.
"""

from __future__ import annotations

import binascii
import hashlib
import re
import secrets
from collections import Counter
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from mimosapost.relay.catalog import Workspace, WorkspaceFault, WorkspaceRules

__all__ = ["decode_workspaces", "digest_key", "seal_config"]

_DIGEST_BYTES = 16
# Separates these digests from others of the same text.
_PERSON = b"workspace-key"
_PROCESS_SECRET = secrets.token_bytes(32)
# Names are sent in a header and between instances.
_NAME = re.compile(r"[!-~]{1,200}")
# Keys come in a header, so that others could not be sent.
_KEY = re.compile(r"[!-~]{1,1024}")


class _Workspace(msgspec.Struct):
    name: str
    priority: Annotated[int, Meta(ge=-(2**31), le=2**31)] | None = None
    ratePerS: Annotated[float, Meta(ge=0, le=1e9)] | None = None  # noqa: N815
    burst: Annotated[float, Meta(ge=0, le=1e9)] | None = None
    allowedRegions: list[str] | None = None  # noqa: N815


def digest_key(key: bytes) -> bytes:
    """Return the digest by which this process compares a key.

    >>> digest_key(b"a") == digest_key(b"a") != digest_key(b"b")
    True
    """
    return _digest_for_process(_digest_for_all(key))


def _digest_for_all(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, person=_PERSON).digest()


def _digest_for_process(digest: bytes) -> bytes:
    return hashlib.blake2b(digest, digest_size=_DIGEST_BYTES, key=_PROCESS_SECRET).digest()


def seal_config(data: bytes) -> bytes:
    """Return a configuration with digests in the place of its keys.

    :returns: the configuration, or nothing if it is not valid JSON and its keys can't be found.
    """
    if b"tenants" not in data and b"\\u" not in data:
        return data
    try:
        config = msgspec.json.decode(data)
        workspaces = config.get("tenants") if isinstance(config, dict) else None
        for workspace in workspaces if isinstance(workspaces, list) else ():
            if isinstance(workspace, dict) and "apiKeys" in workspace:
                _seal_workspace(workspace)
        return msgspec.json.encode(config)
    except (msgspec.MsgspecError, UnicodeError, OverflowError, RecursionError):
        return b""


def _seal_workspace(workspace: dict[str, Any]) -> None:
    keys = workspace.pop("apiKeys")
    if keys is None:
        return
    workspace["keyDigests"] = [
        _digest_for_all(key.encode()).hex() if _is_key(key) else ""
        for key in (keys if isinstance(keys, list) else ("",))
    ]


def _is_key(key: Any) -> bool:
    return isinstance(key, str) and bool(_KEY.fullmatch(key))


def decode_workspaces(value: Any) -> WorkspaceRules:
    """Decode the workspaces of a sealed configuration; what is malformed costs itself alone.

    :param value: the decoded list.
    """
    if not isinstance(value, list):
        fault = WorkspaceFault("", "not_a_list")
        return WorkspaceRules(MappingProxyType({}), MappingProxyType({}), (fault,))
    workspaces: dict[str, Workspace] = {}
    by_digest: dict[bytes, Workspace] = {}
    shared: set[bytes] = set()
    faults: list[WorkspaceFault] = []
    for position, fields in enumerate(value):
        workspace = _decode_workspace(fields)
        if workspace is None:
            faults.append(WorkspaceFault(f"position {position}", "malformed_workspace"))
            continue
        if workspace.name in workspaces:
            faults.append(WorkspaceFault(workspace.name, "repeated_name"))
            continue
        workspaces[workspace.name] = workspace
        kinds: Counter[str] = Counter()
        for digest in _list_digests(fields):
            if digest is None:
                kinds["malformed_key"] += 1
            elif by_digest.setdefault(digest, workspace) is not workspace:
                kinds["shared_key"] += 1
                shared.add(digest)
        faults += [WorkspaceFault(workspace.name, kind, n) for kind, n in kinds.items()]
    # Nobody can tell whose callers use such a key.
    for digest in shared:
        del by_digest[digest]
    return WorkspaceRules(
        MappingProxyType(workspaces), MappingProxyType(by_digest), tuple(faults)
    )


def _decode_workspace(fields: Any) -> Workspace | None:
    try:
        entry = msgspec.convert(fields, _Workspace)
    except (msgspec.MsgspecError, RecursionError):
        return None
    if not _NAME.fullmatch(entry.name):
        return None
    return Workspace(
        entry.name,
        entry.priority,
        entry.ratePerS or 0.0,
        entry.burst or 0.0,
        frozenset(entry.allowedRegions or ()),
    )


def _list_digests(fields: Mapping[str, Any]) -> Iterator[bytes | None]:
    """Yield the digest of each key, or ``None`` for one that is malformed."""
    digests = fields.get("keyDigests", ())
    for text in digests if isinstance(digests, list | tuple) else (None,):
        try:
            digest = binascii.unhexlify(text)
        except (binascii.Error, TypeError, ValueError):
            digest = b""
        yield _digest_for_process(digest) if len(digest) == _DIGEST_BYTES else None
