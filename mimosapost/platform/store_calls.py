"""Calls to the platform's store, and the items that it answers with."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import aiohttp
import msgspec

from mimosapost.model.peer_messages import SourceEntry
from mimosapost.platform.workspace_entries import seal_config

__all__ = [
    "CONFIG_KEY",
    "AnswerTooLarge",
    "Changes",
    "HistoryLost",
    "Item",
    "Page",
    "create_entry",
    "fetch_answer",
]

#: Key of the operator's configuration.
CONFIG_KEY = "op/config"
# Longest wait for the next bytes of an answer. A slow store takes up to 250 ms until an answer
# begins. The whole answer may take longer: when 300 instances start at once, a list of one
# megabyte takes seconds.
_READ_TIMEOUT_SECONDS = 0.7
# Time limit for a whole answer, in addition to the time that a watch waits for changes.
_TOTAL_TIMEOUT_SECONDS = 8.0
# A round trip takes up to 26 ms. The kernel retransmits a lost SYN packet only after a second,
# so a new attempt after this timeout connects sooner.
_CONNECT_TIMEOUT_SECONDS = 0.15
# Maximum size of an answer. A page holds about 1 MB; the changes of the whole history are
# several times as large.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024


class Item(msgspec.Struct):
    """An item of the store, or the removal of one."""

    key: str
    revision: int = 0
    value: str | None = None
    # Set in the event that reports the removal of the item.
    removed: bool = False


class Page(msgspec.Struct):
    """A page of a list."""

    items: list[Item]
    # Revision of the whole store when the page was read, not of its items.
    asOf: int  # noqa: N815
    truncated: bool = False


class Changes(msgspec.Struct):
    """Answer to a watch."""

    events: list[Item]
    asOf: int  # noqa: N815


class HistoryLost(Exception):
    """The store has discarded changes made after the last revision that was read."""


class AnswerTooLarge(aiohttp.ClientError):
    """The store sent more bytes in one answer than it may."""


async def fetch_answer(
    session: aiohttp.ClientSession,
    url: str,
    fields: Mapping[str, Any],
    wait_seconds: float = 0,
) -> bytes:
    """Make one call and return the body of its answer.

    :param fields: fields of the query.
    :param wait_seconds: time for which a watch waits for changes.
    :raises HistoryLost: if a watch starts before the history of the store.
    :raises aiohttp.ClientError: if the call fails or its answer is too large.
    :raises TimeoutError: if no bytes came for too long.
    """
    timeout = aiohttp.ClientTimeout(
        total=wait_seconds + _TOTAL_TIMEOUT_SECONDS,
        sock_connect=_CONNECT_TIMEOUT_SECONDS,
        sock_read=wait_seconds + _READ_TIMEOUT_SECONDS,
    )
    async with session.get(f"{url}?{urlencode(fields)}", timeout=timeout) as response:
        if response.status == 410:
            raise HistoryLost
        response.raise_for_status()
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > _MAX_ANSWER_BYTES:
                raise AnswerTooLarge(f"answer of {url} exceeds {_MAX_ANSWER_BYTES} bytes")
        return bytes(body)


def create_entry(item: Item) -> SourceEntry:
    """Return an item with its value decoded; a value that is not valid is left empty.

    The configuration has digests in the place of keys.
    """
    try:
        value = base64.b64decode(item.value or "", validate=True)
    except (binascii.Error, ValueError):
        value = b""
    if item.key == CONFIG_KEY:
        value = seal_config(value)
    return SourceEntry(item.key, item.revision, value, item.removed)
