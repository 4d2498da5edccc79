"""Pace of sends to a server that has just started or recovered, found from its answers.

Load pattern: servers crash and come back in a burst, cold or at a third of their speed. Without
a pace, a new record looks as good as the others and takes its whole share at once, and a server
that recovers is tried by all instances in the same moment, when their observations have aged.

A pace is a share of the sends that an instance would give the server otherwise. The sum over
all instances is then the mean of their shares, whatever their number, and can't exceed the
usual load. It rises by a step while answers are good and is cut when they are not (AIMD).
Without any evidence it rises slowly, so that an instance that hears nothing doesn't leave a
server idle.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from mimosapost.relay.messages import LoadReport

__all__ = [
    "START_SHARE",
    "Evidence",
    "Pace",
    "adjust_pace",
    "begin_pace",
    "get_open_limit",
    "get_share",
    "judge_answer",
    "list_withheld",
    "merge_told_share",
]

#: Share of its usual sends with which a server starts.
START_SHARE = 0.25
# Lowest share. The sends of all instances together still show within seconds that a server has
# recovered.
_MIN_SHARE = 1 / 16
# Largest rise of the share, for an answer of a server whose slots are all free.
_STEP = 0.25
# Share that a cut leaves.
_CUT_RATIO = 0.5
# Shortest time between two steps, and between two cuts, in microseconds. Answers of sends that
# were open at the same time show the same state of the server.
_INTERVAL_US = 200_000
# Time in microseconds in which the share rises from 0 to 1 without any evidence.
_QUIET_RISE_US = 8_000_000
# Answers up to this multiple of the usual time are good, and bad from the second one.
_GOOD_RATIO = 2.0
_BAD_RATIO = 2.5
# Servers whose shares are within this ratio of the largest one have about as much room. A
# choice among them would only send to farther servers.
_EQUAL_SHARE_RATIO = 0.6
# Share from which a server has room for the sends that are withheld from others.
_ROOM_SHARE = 0.6
# Evidence of other instances is ignored after this time, in microseconds.
_TOLD_VALID_US = 3_000_000
# Time in microseconds in which a note reaches all instances. Evidence that is less apart was
# found without knowing of the other.
_TOLD_DELAY_US = 300_000


class Evidence(Enum):
    """What an answer or failure shows of the room that a server has."""

    GOOD = "good"
    NEUTRAL = "neutral"
    BAD = "bad"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Pace:
    """Pace of this instance at one server.

    :param reason: why the server got a pace.
    :param share: share of the usual sends when it was last changed, above 0 and at most 1.
    :param begun_us: time at which the pace began.
    :param rising_from_us: time from which the share rises without evidence.
    :param observed_us: time of the last evidence, 0 without any.
    :param raised_us: time of the last step.
    :param cut_us: time of the last cut.
    """

    reason: str
    share: float
    begun_us: int
    rising_from_us: int
    observed_us: int = 0
    raised_us: int = 0
    cut_us: int = 0


def begin_pace(
    reason: str, now_us: int, rising_from_us: int = 0, share: float = START_SHARE
) -> Pace:
    """Return the pace of a server that nothing is known of.

    :param rising_from_us: time until which the server is cold, blocked or hung; 0 if it is not.
    """
    return Pace(reason, share, now_us, max(now_us, rising_from_us))


def get_share(pace: Pace, now_us: int) -> float:
    """Return the share of the usual sends that a server gets now.

    >>> pace = begin_pace("started", 0)
    >>> [get_share(pace, now_us) for now_us in (0, 4_000_000, 9_000_000)]
    [0.25, 0.75, 1.0]
    """
    quiet_us = max(0, now_us - pace.rising_from_us)
    return min(1.0, pace.share + quiet_us / _QUIET_RISE_US)


def get_open_limit(share: float, slots: int) -> int:
    """Return the largest number of sends of this instance that may be open at a server.

    >>> [get_open_limit(share, 4) for share in (0.1, 0.5, 0.75)]
    [1, 2, 3]
    """
    return max(1, int(share * slots))


def judge_answer(ratio: float, load: LoadReport | None) -> Evidence:
    """Judge a good answer by its time and by the load that the server reported in it.

    The report counts the sends of all instances, so it also shows what others send.

    :param ratio: answer time relative to the usual one of the route.

    >>> judge_answer(1.0, LoadReport(1, 0, 2)), judge_answer(1.0, LoadReport(2, 2, 2))
    (<Evidence.GOOD: 'good'>, <Evidence.BAD: 'bad'>)
    >>> judge_answer(3.0, None)
    <Evidence.BAD: 'bad'>
    """
    if ratio >= _BAD_RATIO or (load is not None and load.waiting >= max(1, load.slots)):
        return Evidence.BAD
    if ratio > _GOOD_RATIO or (load is not None and load.waiting):
        return Evidence.NEUTRAL
    return Evidence.GOOD


def adjust_pace(
    pace: Pace, evidence: Evidence, load: LoadReport | None, now_us: int
) -> Pace | None:
    """Return the pace after some evidence, or ``None`` if the server carries its whole share.

    :param load: load that the server reported with it.
    """
    share = get_share(pace, now_us)
    if share >= 1 and evidence in (Evidence.GOOD, Evidence.NEUTRAL):
        return None
    raised_us, cut_us = pace.raised_us, pace.cut_us
    if evidence is Evidence.LOST:
        share, cut_us = min(share, START_SHARE), now_us
    elif evidence is Evidence.BAD and now_us - cut_us >= _INTERVAL_US:
        share, cut_us = max(_MIN_SHARE, share * _CUT_RATIO), now_us
    elif evidence is Evidence.GOOD and now_us - max(raised_us, cut_us) >= _INTERVAL_US:
        share, raised_us = share + _STEP * _get_free_share(load), now_us
    if share >= 1:
        return None
    return replace(
        pace,
        share=share,
        rising_from_us=max(now_us, pace.rising_from_us),
        observed_us=now_us,
        raised_us=raised_us,
        cut_us=cut_us,
    )


def _get_free_share(load: LoadReport | None) -> float:
    if load is None:
        return 1.0
    # At least a quarter, because a server that answers in time with all slots busy has room.
    return max(0.25, 1 - load.running / max(1, load.slots))


def merge_told_share(
    pace: Pace | None, ended_us: int, told_share: float, observed_us: int, now_us: int
) -> Pace | None:
    """Return the pace after another instance told the share that it found.

    Evidence of the same moment counts with the lower share. Newer evidence replaces the own
    one, but cuts the share only once a note, so that an instance with a broken link of its own
    can't take a server from the others.

    :param ended_us: time at which the last pace of this server ended here, 0 if there was none.
    :param observed_us: time of the other instance's evidence, by the clock of this one.
    :returns: ``pace`` itself if the note changes nothing.
    """
    if now_us - observed_us > _TOLD_VALID_US:
        return pace
    known_us = pace.observed_us if pace is not None else ended_us
    own_share = get_share(pace, now_us) if pace is not None else 1.0
    share = max(_MIN_SHARE, told_share, own_share * _CUT_RATIO)
    if known_us and abs(observed_us - known_us) <= _TOLD_DELAY_US:
        if pace is None or share >= own_share:
            return pace
    elif observed_us <= known_us:
        return pace
    if share >= 1:
        return None
    if pace is None:
        pace = begin_pace("told", now_us)
    return replace(
        pace,
        share=share,
        rising_from_us=max(now_us, pace.rising_from_us),
        observed_us=max(observed_us, known_us),
    )


def list_withheld(
    paces: Iterable[tuple[str, Pace | None, int, int]],
    now_us: int,
    rng: random.Random | None,
) -> frozenset[str]:
    """Return the servers that a send is to use only where the others are much slower.

    The shares count relative to the largest one among the servers. Where all of a shard have
    just come back, none has room for the sends of another one, so none is withheld.

    :param paces: id, pace, number of open sends and number of slots of each server.
    :param rng: source of the choice; ``None`` where another instance has already made it, so
        that only the numbers of open sends count.
    """
    known = [
        (server_id, get_share(pace, now_us) if pace is not None else 1.0, busy, slots)
        for server_id, pace, busy, slots in paces
    ]
    largest = max(share for _, share, _, _ in known)
    if largest < _ROOM_SHARE:
        return frozenset()
    return frozenset(
        server_id
        for server_id, share, busy, slots in known
        if share < 1
        and (
            busy >= get_open_limit(share, slots)
            or (rng is not None and not _is_drawn(share / largest, rng))
        )
    )


def _is_drawn(relative_share: float, rng: random.Random) -> bool:
    return relative_share >= _EQUAL_SHARE_RATIO or rng.random() < relative_share
