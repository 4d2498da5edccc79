"""Validation of large settings subtrees in a thread, outside the event loop."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from mimosapost.model.events import ConfigRead, Event, PeerMessageArrived
from mimosapost.model.peer_messages import SubtreeReply

__all__ = ["SubtreeChecker"]

# Larger texts are checked in a thread. A check takes about 0.3 ms per kilobyte, so that a
# check in the event loop blocks it for about 5 ms at most.
_MAX_EVENT_LOOP_BYTES = 16 * 1024
# Bounds the memory of results whose event never reaches the reducer.
_MAX_RESULTS = 8

Check = Callable[[str, bytes], Any]


class SubtreeChecker:
    """Check large subtrees in a thread and cache the results for the reducer.

    The check is a pure function of team and text, so that a cached result equals a new one
    and the reducer stays deterministic.

    :param check: checks the text of a team's subtree and returns the result.
    """

    def __init__(self, check: Check) -> None:
        self._check = check
        self._results: OrderedDict[tuple[str, bytes], Any] = OrderedDict()

    def check(self, team: str, text: bytes) -> Any:
        """Take the result of a check from the cache, or check the subtree now."""
        result = self._results.pop((team, text), None)
        return result if result is not None else self._check(team, text)

    def find_large_subtree(self, event: Event) -> tuple[str, bytes] | None:
        """Return team and text of the subtree in an event if it needs a check in a thread."""
        if isinstance(event, ConfigRead):
            team, text = event.team, event.text
        elif isinstance(event, PeerMessageArrived) and isinstance(event.message, SubtreeReply):
            team, text = event.message.team, event.message.text
        else:
            return None
        return (team, text) if len(text) > _MAX_EVENT_LOOP_BYTES else None

    async def check_in_thread(self, team: str, text: bytes) -> None:
        """Check a subtree in a thread and cache the result."""
        if (team, text) in self._results:
            return
        self._results[team, text] = await asyncio.to_thread(self._check, team, text)
        while len(self._results) > _MAX_RESULTS:
            self._results.popitem(last=False)
