"""Reader of the platform's store: configuration, servers and domains out of service."""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import aiohttp
import mode
import msgspec

from mimosapost.edge.logs import Logs
from mimosapost.model.events import Event
from mimosapost.platform.store_entries import EntryError, decode_catalog, decode_server
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
    SourceLost,
    SourceRegained,
)

__all__ = ["StoreReader", "get_next_pause"]

_SERVER_PREFIX = "servers/"
_CONFIG_KEY = "op/config"
_DOMAIN_OUT_PREFIX = "op/evacuate/"
# Longest wait for the next bytes of an answer. A slow store takes up to 250 ms until an answer
# begins. The whole answer may take longer: when 300 instances start at once, a list of one
# megabyte takes seconds.
_READ_TIMEOUT_SECONDS = 0.7
# Time limit for a whole answer, in addition to the time that a watch waits for changes.
_TOTAL_TIMEOUT_SECONDS = 8.0
# A round trip takes up to 26 ms. The kernel retransmits a lost SYN packet only after a second,
# so a new attempt after this timeout connects sooner.
_CONNECT_TIMEOUT_SECONDS = 0.15
# Part of the detection time that is reserved for detecting a lost answer and reading the whole
# list again; a watch waits for changes during the rest.
_RECOVERY_MS = 1_200
_MIN_WATCH_WAIT_MS = 200
# The reader pauses after a watch that returned changes, so that the next watch returns several
# changes together. The first pause is short, because a single change should take effect at
# once. Each further watch in a burst of changes doubles the pause.
_FIRST_PAUSE_SECONDS = 0.1
# Longest pause, as a share of the time within which a change must take effect. The rest is left
# for reading the change and for a second attempt after a failure.
_MAX_PAUSE_SHARE = 1 / 3
# A watch that takes longer than this ends a burst of changes.
_BURST_GAP_US = 1_500_000
# Maximum size of an answer. A page holds about 1 MB; the changes of the whole history are
# several times as large.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Delays after failed calls. The platform charges for every call, including refused ones.
_FIRST_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.4


class _Item(msgspec.Struct):
    key: str
    revision: int = 0
    value: str | None = None
    # Set in the event that reports the removal of the item.
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    # Revision of the whole store when the page was read, not of its items.
    asOf: int  # noqa: N815
    truncated: bool = False


class _Changes(msgspec.Struct):
    events: list[_Item]
    asOf: int  # noqa: N815


class _HistoryLost(Exception):
    """The store has discarded changes made after the last revision that was read."""


class _AnswerTooLarge(aiohttp.ClientError):
    """The store sent more bytes in one answer than it may."""


def get_next_pause(pause_seconds: float, watch_us: int, max_pause_seconds: float) -> float:
    """Return the pause after the next watch that returns changes, in seconds.

    :param pause_seconds: previous pause.
    :param watch_us: duration of the last watch without its pause, in microseconds.
    :param max_pause_seconds: upper limit of the pauses in a burst of changes.

    >>> get_next_pause(0.4, 5_000, 1.0), get_next_pause(0.8, 5_000, 1.0)
    (0.8, 1.0)
    >>> get_next_pause(1.0, 2_000_000, 1.0)
    0.1
    """
    if watch_us > _BURST_GAP_US:
        return _FIRST_PAUSE_SECONDS
    return min(2 * pause_seconds, max_pause_seconds)


class StoreReader(mode.Service):
    """Reads all entries of the store, then watches for changes, with one call at a time.

    :param address: ``ip:port`` of the store.
    :param handle: function that passes an event to the reducer.
    :param read_clock_us: monotonic clock in microseconds.
    :param logs: log for entries that are ignored and for lost history.
    :param detection_limit_ms: time in milliseconds within which the reader detects a silent
        connection or a lost answer; a watch waits for changes for a shorter time.
    :param apply_limit_ms: time in milliseconds within which a change must take effect.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        logs: Logs,
        detection_limit_ms: int,
        apply_limit_ms: int,
    ) -> None:
        super().__init__()
        self._url = f"http://{address}"
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._logs = logs
        self._watch_wait_ms = max(_MIN_WATCH_WAIT_MS, detection_limit_ms - _RECOVERY_MS)
        self._session: aiohttp.ClientSession | None = None
        self._revisions: dict[str, int] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._source_lost = False
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._max_pause_seconds = max(
            _FIRST_PAUSE_SECONDS, apply_limit_ms / 1e3 * _MAX_PAUSE_SHARE
        )

    async def on_start(self) -> None:
        """Open the HTTP session and start reading."""
        self._session = await self.async_exit_stack.enter_async_context(aiohttp.ClientSession())
        self.add_future(self._read_until_stopped())

    async def _read_until_stopped(self) -> None:
        last_revision = None
        backoff = _FIRST_BACKOFF_SECONDS
        while not self.should_stop:
            try:
                if last_revision is None:
                    last_revision = await self._read_all()
                else:
                    last_revision = await self._read_changes(last_revision)
            except _HistoryLost:
                self._logs.write("store_history_lost", {"after": last_revision})
                last_revision = None
                continue
            except _AnswerTooLarge as error:
                # A watch over fewer changes could be as large, so the whole list is read.
                self._report_source_lost(error)
                last_revision = None
                await asyncio.sleep(_MAX_BACKOFF_SECONDS)
                continue
            except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
                self._report_source_lost(error)
                await asyncio.sleep(backoff)
                backoff = min(2 * backoff, _MAX_BACKOFF_SECONDS)
                continue
            backoff = _FIRST_BACKOFF_SECONDS
            self._report_source_regained()

    async def _fetch(self, path: str, fields: dict[str, Any], wait_seconds: float = 0) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=wait_seconds + _TOTAL_TIMEOUT_SECONDS,
            sock_connect=_CONNECT_TIMEOUT_SECONDS,
            sock_read=wait_seconds + _READ_TIMEOUT_SECONDS,
        )
        url = f"{self._url}{path}?{urlencode(fields)}"
        async with self._session.get(url, timeout=timeout) as response:
            if response.status == 410:
                raise _HistoryLost
            response.raise_for_status()
            chunks, size = [], 0
            async for chunk in response.content.iter_any():
                size += len(chunk)
                if size > _MAX_ANSWER_BYTES:
                    raise _AnswerTooLarge(f"answer to {path} exceeds {_MAX_ANSWER_BYTES} bytes")
                chunks.append(chunk)
            return b"".join(chunks)

    async def _read_all(self) -> int:
        """Read all items, page by page, and pass them to the reducer.

        :returns: revision of the first page, from which the next watch starts. The pages are
            no consistent snapshot, so changes made after the first page must be read again.
        """
        items: list[_Item] = []
        fields: dict[str, Any] = {"pathPrefix": ""}
        first_revision = None
        while True:
            data = await self._fetch("/api/kv-range", fields)
            page = msgspec.json.decode(data, type=_Page)
            first_revision = page.asOf if first_revision is None else first_revision
            items.extend(page.items)
            if not page.truncated or not page.items:
                break
            fields["after"] = page.items[-1].key
        self._apply_items(items)
        return first_revision

    def _apply_items(self, items: list[_Item]) -> None:
        self._revisions = {item.key: item.revision for item in items}
        for item in items:
            if item.key == _CONFIG_KEY:
                self._apply_config(item)
        domains_out = (
            item.key.removeprefix(_DOMAIN_OUT_PREFIX)
            for item in items
            if item.key.startswith(_DOMAIN_OUT_PREFIX)
        )
        self._set_domains_out(frozenset(domains_out))
        # The server list is passed last, because it releases the requests that were held until
        # the instance is ready.
        entries = [item for item in items if item.key.startswith(_SERVER_PREFIX)]
        servers = [self._decode_server(item) for item in entries]
        usable_servers = tuple(server for server in servers if server is not None)
        self._handle(ServersReplaced(self._read_clock_us(), usable_servers))

    async def _read_changes(self, last_revision: int) -> int:
        fields = {"pathPrefix": "", "after": last_revision, "waitMs": self._watch_wait_ms}
        started_us = self._read_clock_us()
        data = await self._fetch("/api/kv-watch", fields, self._watch_wait_ms / 1_000)
        changes = msgspec.json.decode(data, type=_Changes)
        for item in changes.events:
            if item.revision > self._revisions.get(item.key, 0):
                self._revisions[item.key] = item.revision
                self._apply_change(item)
        watch_us = self._read_clock_us() - started_us
        if changes.events:
            await asyncio.sleep(self._pause_seconds)
        self._pause_seconds = get_next_pause(
            self._pause_seconds, watch_us, self._max_pause_seconds
        )
        return max(last_revision, changes.asOf)

    def _apply_change(self, item: _Item) -> None:
        if item.key.startswith(_SERVER_PREFIX):
            server_id = item.key.removeprefix(_SERVER_PREFIX)
            if item.removed:
                event = ServerUnlisted(self._read_clock_us(), server_id, "removed")
                self._handle(event)
                return
            server = self._decode_server(item)
            if server is not None:
                self._handle(ServerListed(self._read_clock_us(), server))
        elif item.key.startswith(_DOMAIN_OUT_PREFIX):
            domain = frozenset((item.key.removeprefix(_DOMAIN_OUT_PREFIX),))
            self._set_domains_out(
                self._domains_out - domain if item.removed else self._domains_out | domain
            )
        elif item.key == _CONFIG_KEY and not item.removed:
            self._apply_config(item)

    def _set_domains_out(self, domains: frozenset[str]) -> None:
        self._domains_out = domains
        self._handle(DomainsOut(self._read_clock_us(), domains))

    def _decode_server(self, item: _Item) -> Any:
        server_id = item.key.removeprefix(_SERVER_PREFIX)
        try:
            return decode_server(server_id, _decode_value(item))
        except EntryError as error:
            self._logs.write("entry_ignored", {"key": item.key, "reason": str(error)})
            # The entry may have replaced a valid one. The current address and state of its
            # server are unknown, so the server must not be used any longer.
            event = ServerUnlisted(self._read_clock_us(), server_id, "unreadable")
            self._handle(event)
            return None

    def _apply_config(self, item: _Item) -> None:
        try:
            catalog = decode_catalog(_decode_value(item))
        except EntryError as error:
            self._logs.write("entry_ignored", {"key": item.key, "reason": str(error)})
            return
        self._handle(CatalogRead(self._read_clock_us(), catalog))

    def _report_source_lost(self, error: Exception) -> None:
        if not self._source_lost:
            reason = f"{type(error).__name__} {error}"[:200]
            self._handle(SourceLost(self._read_clock_us(), reason))
        self._source_lost = True

    def _report_source_regained(self) -> None:
        if self._source_lost:
            self._source_lost = False
            self._handle(SourceRegained(self._read_clock_us()))


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value or "", validate=True)
    except (binascii.Error, ValueError) as error:
        raise EntryError(f"value is not valid base64: {error}") from error
