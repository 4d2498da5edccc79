"""Delays of the replies of an instance, on the way from their due time to the callers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RecentDelays", "ReplyDelays"]

# Quantile of the observed delays that is reserved. A late reply is worth little, while a part
# that is left out costs a small share.
_RESERVED_QUANTILE = 0.85
# Observations of one kind that are kept, and the time in microseconds for which they count.
_WINDOW_SAMPLES = 24
_SAMPLE_VALID_US = 30_000_000
# Longest delay in microseconds that one observation counts for; a lost packet takes longer.
_MAX_DELAY_US = 20_000


class RecentDelays:
    """Recent observations of a delay.

    >>> delays = RecentDelays()
    >>> delays.estimate_us(2_000, now_us=0)
    2000
    >>> for delay_us in range(1_000, 11_000, 1_000):
    ...     delays.record(delay_us, now_us=0)
    >>> delays.estimate_us(2_000, now_us=0), delays.estimate_us(2_000, now_us=60_000_000)
    (9000, 2000)
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: deque[tuple[int, int]] = deque(maxlen=_WINDOW_SAMPLES)

    def record(self, delay_us: int, now_us: int) -> None:
        """Add an observation."""
        self._samples.append((now_us, min(max(0, delay_us), _MAX_DELAY_US)))

    def estimate_us(self, start_us: int, now_us: int) -> int:
        """Return the delay to expect at most, in microseconds.

        :param start_us: value assumed without observations; counts as one of them.
        """
        delays = [d for at_us, d in self._samples if now_us - at_us < _SAMPLE_VALID_US]
        delays.append(start_us)
        delays.sort()
        return delays[int(len(delays) * _RESERVED_QUANTILE)]


@dataclass(slots=True)
class ReplyDelays:
    """Delays of the replies of this instance.

    :param timer_delays: times by which the timers of replies fired late.
    :param write_delays: times from the decision on a reply to its last byte written.
    :param way_delays: times from there to the acknowledgement beyond the round trip, by the
        magnitude of the round trip, which tells callers of other failure domains apart.
    """

    timer_delays: RecentDelays = field(default_factory=RecentDelays)
    write_delays: RecentDelays = field(default_factory=RecentDelays)
    way_delays: dict[int, RecentDelays] = field(default_factory=dict)

    def get_way_delays(self, round_trip_us: int) -> RecentDelays:
        """Return the delays on the way to callers at about the same distance."""
        return self.way_delays.setdefault(round_trip_us.bit_length(), RecentDelays())
