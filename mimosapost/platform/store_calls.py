"""Calls to the platform's store, and the items that it answers with."""

from __future__ import annotations

import base64
import binascii
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlencode

import aiohttp
import msgspec
from msgspec import Meta

from mimosapost.edge.clock import read_clock_us
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.platform.store_positions import MAX_ERA, MAX_REVISION, create_position
from mimosapost.platform.workspace_entries import seal_config

__all__ = [
    "CONFIG_KEY",
    "Answer",
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
# Number of the store's present copy of its data; it rises when the store returns from a backup.
_ERA_HEADER = "Store-Era"
_ERA_VALUE = re.compile(r"[0-9]{1,9}")
# Maximum size of an answer. A page holds about 1 MB; the changes of the whole history are
# several times as large.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024


_Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]


class Item(msgspec.Struct):
    """An item of the store, or the removal of one."""

    key: str
    revision: _Revision = 0
    value: str | None = None
    # Set in the event that reports the removal of the item.
    removed: bool = False


class Page(msgspec.Struct):
    """A page of a list."""

    items: list[Item]
    # Revision of the whole store when the page was read, not of its items.
    asOf: _Revision  # noqa: N815
    truncated: bool = False


class Changes(msgspec.Struct):
    """Answer to a watch."""

    events: list[Item]
    asOf: _Revision  # noqa: N815


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a call.

    :param began_us: monotonic time in microseconds at which its first bytes arrived; what the
        store changed since then may be missing.
    :param era: era that the store named; ``None`` if it named none or a malformed one.
    :param is_era_malformed: whether it named a malformed one.
    """

    body: bytes
    began_us: int
    era: int | None = None
    is_era_malformed: bool = False


class HistoryLost(Exception):
    """The store has discarded changes made after the last revision that was read."""


class AnswerTooLarge(aiohttp.ClientError):
    """The store sent more bytes in one answer than it may."""


async def fetch_answer(
    session: aiohttp.ClientSession,
    url: str,
    fields: Mapping[str, Any],
    wait_seconds: float = 0,
    read_clock_us: Callable[[], int] = read_clock_us,
) -> Answer:
    """Make one call and return its answer.

    :param fields: fields of the query.
    :param wait_seconds: time for which a watch waits for changes.
    :param read_clock_us: monotonic clock in microseconds.
    :raises HistoryLost: if a watch starts before the history of the store.
    :raises aiohttp.ClientError: if the call fails or its answer is too large.
    :raises TimeoutError: if no bytes came for too long.
    """
    timeout = aiohttp.ClientTimeout(
        total=wait_seconds + _TOTAL_TIMEOUT_SECONDS,
        sock_connect=_CONNECT_TIMEOUT_SECONDS,
        sock_read=wait_seconds + _READ_TIMEOUT_SECONDS,
    )
    async with session.get(
        f"{url}?{urlencode(fields)}", timeout=timeout, allow_redirects=False
    ) as response:
        began_us = read_clock_us()
        if response.status == 410:
            raise HistoryLost
        if response.status != 200:
            raise aiohttp.ClientResponseError(
                response.request_info, response.history, status=response.status
            )
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > _MAX_ANSWER_BYTES:
                raise AnswerTooLarge(f"answer of {url} exceeds {_MAX_ANSWER_BYTES} bytes")
        era = _decode_era(response.headers.getall(_ERA_HEADER, []))
        return Answer(bytes(body), began_us, *era)


def _decode_era(values: Sequence[str]) -> tuple[int | None, bool]:
    """Return the era that the headers name, and whether they are malformed."""
    if not values:
        return None, False
    if len(values) == 1 and _ERA_VALUE.fullmatch(values[0].strip()):
        era = int(values[0])
        if era <= MAX_ERA:
            return era, False
    return None, True


def create_entry(item: Item, era: int) -> SourceEntry:
    """Return an item with its position, and its value decoded.

    A value that is not valid is left empty, and the configuration has digests in the place of
    keys.
    """
    try:
        value = base64.b64decode(item.value or "", validate=True)
    except (binascii.Error, ValueError):
        value = b""
    if item.key == CONFIG_KEY:
        value = seal_config(value)
    return SourceEntry(item.key, create_position(era, item.revision), value, item.removed)
