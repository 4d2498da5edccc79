"""Reader of the platform's store: configuration, servers and domains out of service.

The reader follows the updates of another instance while they are recent, and reads the store
itself otherwise. Updates are applied also while a call to the store is open, whose connection
may be silent, and the call is given up once they are recent again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import mode
import msgspec

from mimosapost.edge.feed_inbox import FeedInbox
from mimosapost.edge.logs import Logs
from mimosapost.model.events import Event
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.platform.entry_application import EntryApplication
from mimosapost.platform.store_calls import (
    Answer,
    AnswerTooLarge,
    Changes,
    HistoryLost,
    Page,
    create_entry,
    fetch_answer,
)
from mimosapost.platform.store_pacing import (
    FEED_AGE_SHARE,
    get_idle_seconds,
    get_next_pause,
    get_watch_limits,
)
from mimosapost.platform.store_positions import create_position, get_era, get_revision
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import SourceLost, SourceRead, SourceRegained

__all__ = ["StoreReader"]

# When all instances start together before there is traffic, each waits for this time after its
# first list. It meets the others meanwhile, and most entries of the servers are written then.
_FIRST_START_WAIT_SECONDS = 2.5
# Number of changes from which an answer of the store may lack others; it holds about 500.
_MIN_CUT_OFF_CHANGES = 400
# Delays after failed calls. The platform charges for every call, including refused ones.
_FIRST_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.4
# The same for an instance that was fed lately: those that it follows try more often.
_MAX_FED_BACKOFF_SECONDS = 1.2


# Errors of a call to the store; JSON that is nested too deeply raises RecursionError.
_CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
    RecursionError,
)


class _StaleAnswer(aiohttp.ClientError):
    """The store sent an answer that is older than what was read from it before."""


class _SourceRewound(Exception):
    """The store returned from an older copy, so that what was read of it may not be there."""


class StoreReader(mode.Service):
    """Reads all entries of the store, then watches for changes, with one call at a time.

    :param address: ``ip:port`` of the store.
    :param handle: function that passes an event to the reducer.
    :param read_clock_us: monotonic clock in microseconds.
    :param logs: log for entries that are ignored and for lost history.
    :param is_followed: returns whether other instances follow this one.
    :param detection_limit_ms: time in milliseconds within which the reader detects a silent
        connection or a lost answer; a watch waits for changes for a shorter time.
    :param apply_limit_ms: time in milliseconds within which a change must take effect.
    :param is_first_start: whether all instances start together before there is traffic.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[Event], None],
        read_clock_us: Callable[[], int],
        logs: Logs,
        is_followed: Callable[[], bool],
        detection_limit_ms: int,
        apply_limit_ms: int,
        is_first_start: bool = False,
    ) -> None:
        super().__init__()
        self._url = f"http://{address}"
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._logs = logs
        self._entries = EntryApplication(handle, read_clock_us, logs)
        self._is_followed = is_followed
        self._detection_limit_ms = detection_limit_ms
        self._session: aiohttp.ClientSession | None = None
        # Positions of the entries, and the position up to which all changes were applied; 0
        # before the first list.
        self._revisions: dict[str, int] = {}
        self._revision = 0
        # Time at which the store stated that nothing newer existed.
        self._confirmed_us = 0
        self._era = 0
        self._is_era_malformed = False
        # Latest era that updates named, and the latest of them that caused a list.
        self._fed_era = 0
        self._checked_era = 0
        # Whether the next list is the first one since the store returned from an older copy.
        self._is_rewound = False
        self._is_list_needed = True
        self._inbox = FeedInbox(read_clock_us, int(apply_limit_ms * 1_000 * FEED_AGE_SHARE))
        # Whether updates are applied now, and whether they were since the last own call.
        self._is_fed = False
        self._was_fed = False
        self._source_lost = False
        self._pause_seconds = 0.0
        self._pause_ended_us = 0
        self._apply_limit_ms = apply_limit_ms
        self._is_first_start = is_first_start

    async def on_start(self) -> None:
        """Open the HTTP session and start reading."""
        connector = aiohttp.TCPConnector(
            keepalive_timeout=get_idle_seconds(self._apply_limit_ms)
        )
        self._session = await self.async_exit_stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        self.add_future(self._read_until_stopped())

    def apply_feed(self, update: ApplyFeed) -> None:
        """Queue changes that another instance has read."""
        self._fed_era = max(self._fed_era, get_era(update.as_of))
        self._inbox.put(update)

    async def _read_until_stopped(self) -> None:
        backoff = _FIRST_BACKOFF_SECONDS
        while not self.should_stop:
            await self._follow_feed()
            try:
                if self._is_list_needed:
                    await self._read_until_fed(self._read_all())
                    if self._is_first_start:
                        self._is_first_start = False
                        await self._inbox.wait(_FIRST_START_WAIT_SECONDS)
                else:
                    await self._read_until_fed(self._read_changes())
            except _SourceRewound:
                self._is_list_needed = True
                continue
            except HistoryLost:
                self._logs.write("store_history_lost", {"after": get_revision(self._revision)})
                self._is_list_needed = True
                continue
            except AnswerTooLarge as error:
                # A watch over fewer changes could be as large, so the whole list is read.
                self._report_source_lost(error)
                self._is_list_needed = True
                await self._wait_for_feed(_MAX_BACKOFF_SECONDS)
                continue
            except _CALL_ERRORS as error:
                self._report_source_lost(error)
                await self._wait_for_feed(backoff)
                longest = _MAX_FED_BACKOFF_SECONDS if self._was_fed else _MAX_BACKOFF_SECONDS
                backoff = min(2 * backoff, longest)
                continue
            backoff = _FIRST_BACKOFF_SECONDS
            self._was_fed = False

    async def _wait_for_feed(self, seconds: float) -> None:
        """Wait for a time, or until an update arrives that can be applied."""
        if self._can_follow():
            await self._inbox.wait(seconds)
        else:
            await asyncio.sleep(seconds)

    async def _read_until_fed(self, read: Awaitable[None]) -> None:
        """Read the store, and give up as soon as recent updates have been applied."""
        reading = asyncio.ensure_future(read)
        feeding = asyncio.ensure_future(self._wait_until_fed())
        try:
            await asyncio.wait((reading, feeding), return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                reading.result()
            else:
                feeding.result()
                self._logs.write("store_call_left", {"revision": get_revision(self._revision)})
        finally:
            for task in (reading, feeding):
                task.cancel()
            await asyncio.gather(reading, feeding, return_exceptions=True)

    async def _wait_until_fed(self) -> None:
        """Apply updates until they are recent or show that the list must be read."""
        while self._can_follow():
            self._apply_updates()
            if self._inbox.get_remaining_seconds():
                return
            await self._inbox.wait()
        if not self._is_newer_era_fed():
            # Without a revision that updates could continue, only a call brings news.
            await asyncio.Event().wait()

    async def _follow_feed(self) -> None:
        """Apply the updates of another instance until they are missing or too old."""
        while self._can_follow() and not self.should_stop:
            self._apply_updates()
            remaining_seconds = self._inbox.get_remaining_seconds()
            if not remaining_seconds:
                break
            if not self._is_fed:
                self._logs.write("feed_followed", {"revision": get_revision(self._revision)})
            self._is_fed = self._was_fed = True
            self._is_list_needed = False
            await self._inbox.wait(remaining_seconds)
        if self._is_newer_era_fed():
            # A watch from a revision of the older era could wait although there are changes.
            self._checked_era, self._is_list_needed = self._fed_era, True
        if self._is_fed:
            revision = get_revision(self._revision)
            fields = {"revision": revision, "reason": self._inbox.end_reason}
            self._logs.write("feed_ended", fields)
        self._is_fed = False

    def _can_follow(self) -> bool:
        """Return whether updates may continue from the revision that was reached.

        They also replace a list that is needed only because the store has lost its history.
        """
        if not self._revision or self._is_newer_era_fed():
            return False
        newest_era = max(self._era, self._fed_era)
        return not self._is_list_needed or get_era(self._revision) == newest_era

    def _is_newer_era_fed(self) -> bool:
        return self._fed_era > max(get_era(self._revision), self._checked_era)

    def _apply_updates(self) -> None:
        while (update := self._inbox.take(self._revision)) is not None:
            if get_era(update.as_of) == get_era(self._revision):
                self._apply_update(update)

    def _apply_update(self, update: ApplyFeed) -> None:
        if update.is_regained and not self._source_lost:
            # The source failed and recovered between two updates. Entries may be missing only
            # because they expired meanwhile.
            now_us = self._read_clock_us()
            self._handle(SourceLost(now_us, "reported by the instance that reads it"))
            self._source_lost = True
        self._apply_changes(update.as_of, update.entries, update.confirmed_us, is_fed=True)

    def _apply_changes(
        self,
        as_of: int,
        entries: tuple[SourceEntry, ...],
        confirmed_us: int,
        is_fed: bool = False,
    ) -> None:
        after = self._revision
        is_regained = self._report_source_regained()
        for entry in entries:
            if entry.revision <= max(after, self._revisions.get(entry.key, 0)):
                continue
            if entry.is_removed:
                self._revisions.pop(entry.key, None)
            else:
                self._revisions[entry.key] = entry.revision
            self._entries.apply_change(entry)
        self._revision = as_of
        self._confirmed_us = confirmed_us
        now_us = self._read_clock_us()
        self._handle(
            SourceRead(now_us, after, as_of, entries, confirmed_us, is_regained, is_fed)
        )

    async def _read_all(self) -> None:
        """Read all items, page by page, and pass them to the reducer.

        The pages are no consistent snapshot, so the next watch starts from the revision of the
        first page.
        """
        entries: list[SourceEntry] = []
        fields: dict[str, Any] = {"pathPrefix": ""}
        revision_before = self._revision
        first_revision, confirmed_us = None, 0
        while True:
            answer = await self._call("kv-range", fields)
            page = msgspec.json.decode(answer.body, type=Page)
            as_of = create_position(self._era, page.asOf)
            if first_revision is None:
                first_revision, confirmed_us = as_of, answer.began_us
            elif get_era(first_revision) != self._era:
                raise _StaleAnswer(f"the era changed to {self._era} between two pages")
            entries += [create_entry(item, self._era) for item in page.items]
            if not page.truncated or not page.items:
                break
            fields["after"] = page.items[-1].key
        self._check_revision(first_revision, revision_before)
        if first_revision < self._revision:
            # Updates of another instance continue from what was known, and have overtaken it.
            self._is_list_needed = False
            return
        self._apply_list(first_revision, entries, confirmed_us)

    async def _call(self, name: str, fields: dict[str, Any], wait_seconds: float = 0) -> Answer:
        """Make one call and return its answer, unless it is of another era.

        An answer without a usable era counts as one of the era that is known.
        """
        url = f"{self._url}/api/{name}"
        answer = await fetch_answer(
            self._session, url, fields, wait_seconds, self._read_clock_us
        )
        if answer.is_era_malformed and not self._is_era_malformed:
            self._logs.write("store_era_malformed", {"era": self._era})
        self._is_era_malformed = answer.is_era_malformed
        era = self._era if answer.era is None else answer.era
        if era < self._era:
            raise _StaleAnswer(f"answer of era {era}, after {self._era}")
        is_newer, self._era = era > self._era, era
        if is_newer and self._revision:
            self._is_rewound = True
            fields = {"era": era, "revision": get_revision(self._revision)}
            self._logs.write("store_rewound", fields)
            # Entries that were written since the copy are missing until they are written
            # again, as after an outage.
            error = _SourceRewound("the store returned from an older copy")
            self._report_source_lost(error)
            if not self._is_list_needed:
                raise error
        return answer

    def _check_revision(self, as_of: int, before: int) -> None:
        """Check that an answer is no older than what was known before the call."""
        if as_of < before:
            revisions = get_revision(as_of), get_revision(before)
            raise _StaleAnswer("answer as of revision {}, after {}".format(*revisions))

    def _apply_list(self, as_of: int, entries: list[SourceEntry], confirmed_us: int) -> None:
        is_regained = self._report_source_regained()
        is_rewound, self._is_rewound = self._is_rewound, False
        # A list of a new era does not continue the earlier one; followers read it themselves.
        changes = () if is_rewound else self._find_changes(as_of, entries)
        after, self._revision = 0 if is_rewound else self._revision, as_of
        self._confirmed_us = confirmed_us
        self._is_list_needed = False
        self._revisions = {entry.key: entry.revision for entry in entries}
        self._entries.apply_list(entries, is_rewound)
        now_us = self._read_clock_us()
        self._handle(SourceRead(now_us, after, as_of, changes, confirmed_us, is_regained))

    def _find_changes(self, as_of: int, entries: list[SourceEntry]) -> tuple[SourceEntry, ...]:
        """Return how a list differs from what was applied, up to a revision.

        Entries that changed later are left out, because the next watch brings them.
        """
        listed = {entry.key for entry in entries}
        changed = [entry for entry in entries if self._revision < entry.revision <= as_of]
        removed = [
            SourceEntry(key, as_of, is_removed=True)
            for key in self._revisions
            if key not in listed
        ]
        return tuple(sorted((*changed, *removed), key=lambda entry: entry.revision))

    async def _read_changes(self) -> None:
        wait_ms, max_pause_seconds = get_watch_limits(
            self._detection_limit_ms, self._apply_limit_ms, self._is_followed()
        )
        revision_before = self._revision
        after = get_revision(revision_before)
        fields = {"pathPrefix": "", "after": after, "waitMs": wait_ms}
        answer = await self._call("kv-watch", fields, wait_ms / 1_000)
        changes = msgspec.json.decode(answer.body, type=Changes)
        events = sorted(changes.events, key=lambda item: item.revision)
        entries = tuple(
            create_entry(item, self._era) for item in events if item.revision > after
        )
        # Newer changes may exist already if an answer is cut off, so that it confirms nothing.
        is_cut_off = len(entries) >= _MIN_CUT_OFF_CHANGES
        confirmed_us = self._confirmed_us if is_cut_off else answer.began_us
        as_of = create_position(self._era, changes.asOf)
        as_of = max([as_of, *(entry.revision for entry in entries)])
        self._check_revision(as_of, revision_before)
        if as_of < self._revision:
            # Updates of another instance have brought all of this and more meanwhile.
            return
        entries = tuple(entry for entry in entries if entry.revision > self._revision)
        self._apply_changes(as_of, entries, confirmed_us)
        if not is_cut_off:
            await self._pause(bool(entries), answer.began_us, max_pause_seconds)

    async def _pause(
        self, is_changed: bool, answered_us: int, max_pause_seconds: float
    ) -> None:
        """Wait after an answer with changes, so that the next one brings several together."""
        self._pause_seconds = get_next_pause(
            self._pause_seconds, answered_us - self._pause_ended_us, max_pause_seconds
        )
        if is_changed:
            await asyncio.sleep(self._pause_seconds)
        self._pause_ended_us = self._read_clock_us()

    def _report_source_lost(self, error: Exception) -> None:
        if not self._source_lost:
            reason = f"{type(error).__name__} {error}"[:200]
            self._handle(SourceLost(self._read_clock_us(), reason))
        self._source_lost = True

    def _report_source_regained(self) -> bool:
        """Report that the source is reachable, and return whether it was not before."""
        if not self._source_lost:
            return False
        self._source_lost = False
        self._handle(SourceRegained(self._read_clock_us()))
        return True
