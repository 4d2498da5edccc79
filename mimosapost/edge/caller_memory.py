"""Bound on what callers make a process hold, for callers that the operator doesn't control.

Load pattern: many connections whose heads don't end, whose bodies don't come, or whose answers
aren't read. Each stays within the limits on what it sends, and all of them together take the
memory and the descriptors of the machine. The connections that hold most for longest are closed
first; callers that wait for an answer or read one are closed last.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol, TypeVar

from mimosapost.edge.logs import Logs
from mimosapost.model.caller_bounds import CallerBounds

__all__ = [
    "Activity",
    "CallerMemory",
    "Holding",
    "choose_holders",
    "choose_idle",
]

# Shares of the bound above which connections are closed, except those whose requests are being
# served, and below which enough of them are closed.
_CLOSING_SHARE = 0.9
_FREED_SHARE = 0.8
# Connections that are closed beyond the number that is too much, as a share of their bound:
# ranking takes a look at all of them.
_SPARE_CONNECTIONS_SHARE = 0.05
# Growth, as a share of the bound, after which it is tried again to free memory.
_RETRY_SHARE = 0.01
# Time in seconds after which it is tried again although nothing has grown.
_RETRY_SECONDS = 0.1
# Added to the age of what a connection holds, in seconds, so that a new one counts too.
_MIN_AGE_SECONDS = 1.0

_Key = TypeVar("_Key")


class Activity(IntEnum):
    """What a connection is doing, in the order in which connections are closed."""

    #: No complete request, or an answer that isn't read.
    WAITS_FOR_CALLER = 0
    #: An answer that is being read and has been for a while.
    READS = 1
    #: A request that is being served, or an answer that has just arrived.
    IS_SERVED = 2


@dataclass(frozen=True, slots=True)
class Holding:
    """What a connection holds.

    :param held_bytes: memory of its heads, bodies and answers.
    :param since: time in seconds since when it holds any, or has been idle.
    :param activity: what it is doing.
    :param answered: number of its requests that were answered.
    """

    held_bytes: int
    since: float
    activity: Activity
    answered: int = 0


def choose_holders(
    holdings: Mapping[_Key, Holding], excess_bytes: int, now: float
) -> list[_Key]:
    """Choose connections to close so that memory is freed.

    Those that hold most for longest are first, by the product of both.

    :param excess_bytes: memory to free.
    :param now: current time in seconds.

    >>> waits = Activity.WAITS_FOR_CALLER
    >>> holdings = {"old": Holding(50, 0.0, waits), "new": Holding(90, 8.0, waits)}
    >>> holdings["served"] = Holding(400, 0.0, Activity.IS_SERVED)
    >>> choose_holders(holdings, 40, now=9.0), choose_holders(holdings, 60, now=9.0)
    (['old'], ['old', 'new'])
    """

    def rank(key: _Key) -> tuple[Activity, float]:
        holding = holdings[key]
        age = now - holding.since + _MIN_AGE_SECONDS
        return holding.activity, -holding.held_bytes * age

    chosen = []
    for key in sorted((key for key in holdings if holdings[key].held_bytes), key=rank):
        if excess_bytes <= 0:
            break
        chosen.append(key)
        excess_bytes -= holdings[key].held_bytes
    return chosen


def choose_idle(holdings: Mapping[_Key, Holding], count: int) -> list[_Key]:
    """Choose a number of connections to close so that descriptors are freed.

    Those without any answered request are first, and among them those that have waited longest.
    Among connections whose requests are being served, the newest is first.

    >>> waits = Activity.WAITS_FOR_CALLER
    >>> holdings = {"kept": Holding(0, 1.0, waits, 5), "silent": Holding(0, 2.0, waits)}
    >>> choose_idle(holdings, 1)
    ['silent']
    """

    def rank(key: _Key) -> tuple[Activity, bool, float]:
        holding = holdings[key]
        if holding.activity is Activity.WAITS_FOR_CALLER:
            return holding.activity, holding.answered > 0, holding.since
        return holding.activity, False, -holding.since

    return sorted(holdings, key=rank)[:count]


class HeldConnection(Protocol):
    """Connection whose memory is counted.

    :ivar held_bytes: memory that was charged for it.
    """

    held_bytes: int

    def describe_holding(self) -> Holding:
        """Return what the connection holds."""

    def abort(self) -> None:
        """Close the connection without waiting for the caller."""


class CallerMemory:
    """Account of the memory and the descriptors that all callers' connections hold.

    :param bounds: bounds of the process.
    :param logs: receives the connections that are closed.
    :param count_closed: counts a connection that is closed, by reason.
    :param read_clock: returns the time of a monotonic clock in seconds.
    """

    def __init__(
        self,
        bounds: CallerBounds,
        logs: Logs,
        count_closed: Callable[[str], None],
        read_clock: Callable[[], float],
    ) -> None:
        self.bounds = bounds
        #: Memory that all connections hold, in bytes.
        self.held_bytes = 0
        self._connections: set[HeldConnection] = set()
        self._logs = logs
        self._count_closed = count_closed
        self._read_clock = read_clock
        self._usual_closing_bytes = bounds.process_bytes * _CLOSING_SHARE
        # Memory above which connections are closed.
        self._closing_bytes = self._usual_closing_bytes
        # Time of the last attempt to free memory, in seconds.
        self._tried_at = 0.0

    def add(self, connection: HeldConnection) -> None:
        """Count a connection that was accepted; close others if there are too many."""
        self._connections.add(connection)
        excess = len(self._connections) - self.bounds.connections
        if excess > 0:
            excess += int(self.bounds.connections * _SPARE_CONNECTIONS_SHARE)
            for chosen in choose_idle(self._describe(), excess):
                if (
                    chosen.describe_holding().activity is Activity.WAITS_FOR_CALLER
                    or len(self._connections) > self.bounds.connections
                ):
                    self.close(chosen, "connections")

    def remove(self, connection: HeldConnection) -> None:
        """Stop counting a connection that has ended."""
        if connection in self._connections:
            self._connections.remove(connection)
            self.held_bytes -= connection.held_bytes
            connection.held_bytes = 0

    def charge(self, connection: HeldConnection, size: int) -> None:
        """Count memory of a connection, and close connections if it is too much.

        :param size: number of bytes; below 0 if they are free again.
        """
        if connection not in self._connections:
            return
        connection.held_bytes += size
        self.held_bytes += size
        if connection.held_bytes > self.bounds.connection_bytes:
            self.close(connection, "connection_memory")
        elif self.held_bytes > self._closing_bytes:
            self._free_memory()
        elif self._closing_bytes > self._usual_closing_bytes:
            self._reset_closing()

    def is_short(self) -> bool:
        """Return whether requests that are being served hold all memory."""
        if self.held_bytes <= self._usual_closing_bytes:
            return False
        # Others may have stopped to read since the last attempt, which changes no account.
        if self._read_clock() - self._tried_at >= _RETRY_SECONDS:
            self._free_memory()
        return self.held_bytes > self._usual_closing_bytes

    def close(self, connection: HeldConnection, reason: str) -> None:
        """Close a connection at once and count it.

        :param reason: bound that it exceeds, for the log.
        """
        holding = connection.describe_holding()
        fields = {
            "reason": reason,
            "held_bytes": holding.held_bytes,
            "seconds": round(self._read_clock() - holding.since, 3),
            "activity": holding.activity.name.lower(),
        }
        self.remove(connection)
        connection.abort()
        self._count_closed(reason)
        self._logs.write("caller_closed", fields)

    def _reset_closing(self) -> None:
        if self.held_bytes <= self._usual_closing_bytes:
            self._closing_bytes = self._usual_closing_bytes

    def _free_memory(self) -> None:
        self._tried_at = self._read_clock()
        allowed = self.bounds.process_bytes
        excess = self.held_bytes - int(allowed * _FREED_SHARE)
        for chosen in choose_holders(self._describe(), excess, self._read_clock()):
            is_served = chosen.describe_holding().activity is Activity.IS_SERVED
            if not is_served or self.held_bytes > allowed:
                self.close(chosen, "memory")
        self._closing_bytes = self.held_bytes + allowed * _RETRY_SHARE
        self._reset_closing()

    def _describe(self) -> dict[HeldConnection, Holding]:
        return {each: each.describe_holding() for each in self._connections}
