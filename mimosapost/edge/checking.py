"""Check of large subtrees outside the event loop."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from mimosapost.model.events import ConfigRead, Event, PeerMessageArrived
from mimosapost.model.peer_messages import SubtreeReply

__all__ = ["SubtreeChecker"]

# A check takes about 0.3 ms a kilobyte; smaller texts are checked in the event loop.
_THREAD_BYTES = 16 * 1024
_REMEMBERED = 8

Check = Callable[[str, bytes], Any]


class SubtreeChecker:
    """Checks large subtrees in a thread and remembers the results for the reducer.

    The check is a pure function of team and text, so a remembered result is the same as a new
    one; the reducer stays deterministic.

    :param check: check of a subtree.
    """

    def __init__(self, check: Check) -> None:
        self._check = check
        self._results: OrderedDict[tuple[str, bytes], Any] = OrderedDict()

    def check(self, team: str, text: bytes) -> Any:
        """Return the result of the check, remembered or new."""
        result = self._results.pop((team, text), None)
        return result if result is not None else self._check(team, text)

    def find_text(self, event: Event) -> tuple[str, bytes] | None:
        """Return team and text of an event that needs a check in a thread."""
        if isinstance(event, ConfigRead):
            team, text = event.team, event.text
        elif isinstance(event, PeerMessageArrived) and isinstance(event.message, SubtreeReply):
            team, text = event.message.team, event.message.text
        else:
            return None
        return (team, text) if len(text) > _THREAD_BYTES else None

    async def prepare(self, team: str, text: bytes) -> None:
        """Check a subtree in a thread and remember the result."""
        if (team, text) in self._results:
            return
        self._results[team, text] = await asyncio.to_thread(self._check, team, text)
        while len(self._results) > _REMEMBERED:
            self._results.popitem(last=False)
