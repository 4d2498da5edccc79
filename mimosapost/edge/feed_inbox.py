"""Updates of the source from another instance that wait to be applied."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.feed_choices import Fit, classify_update

__all__ = ["FeedInbox"]

# Updates that arrive while the source is read. After a longer call the oldest are dropped, and
# the call has read their changes too.
_MAX_UPDATES = 32


class FeedInbox:
    """Queue of updates, and the age of the newest one.

    :param read_clock_us: monotonic clock in microseconds.
    :param limit_us: age in microseconds from which the source must be read instead.
    """

    def __init__(self, read_clock_us: Callable[[], int], limit_us: int) -> None:
        self._read_clock_us = read_clock_us
        self._limit_us = limit_us
        self._updates: deque[ApplyFeed] = deque(maxlen=_MAX_UPDATES)
        self._arrived = asyncio.Event()
        self._confirmed_us: int | None = None
        #: Why the feed ended: ``silent`` or ``gap``.
        self.end_reason = "silent"

    def put(self, update: ApplyFeed) -> None:
        """Queue an update."""
        self._updates.append(update)
        self._arrived.set()

    def take(self, revision: int) -> ApplyFeed | None:
        """Return the next update that continues from a revision.

        An update that starts behind the revision ends the feed, so that the changes in between
        are read from the source.
        """
        while self._updates:
            update = self._updates.popleft()
            fit = classify_update(update, revision)
            if fit is Fit.GAP:
                self._confirmed_us = None
                self.end_reason = "gap"
            elif fit is Fit.NEXT:
                self._confirmed_us = max(self._confirmed_us or 0, update.confirmed_us)
                self.end_reason = "silent"
                return update
        self._arrived.clear()
        return None

    def get_remaining_seconds(self) -> float:
        """Return the time after which the source must be read unless an update arrives."""
        if self._confirmed_us is None:
            return 0.0
        return max(0, self._confirmed_us + self._limit_us - self._read_clock_us()) / 1e6

    async def wait(self, seconds: float | None = None) -> None:
        """Wait until an update arrives, but at most for a time if one is given."""
        try:
            async with asyncio.timeout(seconds):
                await self._arrived.wait()
        except TimeoutError:
            return
