"""Begin, change and end of the paces of servers, with their log lines and counters.

Load pattern: see :mod:`mimosapost.relay.pace`. One rule holds for servers that have started,
turned cold, or come back after a block or a hang: each of them gets a pace.
"""

from __future__ import annotations

from dataclasses import replace

from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.messages import LoadReport
from mimosapost.relay.pace import (
    Evidence,
    Pace,
    adjust_pace,
    begin_pace,
    get_share,
    judge_answer,
    merge_told_share,
)
from mimosapost.relay.registry import Effects
from mimosapost.relay.server_selection import ServerRecord

__all__ = [
    "adopt_told_share",
    "get_told_percent",
    "observe_answer",
    "observe_failure",
    "start_pace",
]

# Time in microseconds after which the end of a pace is not told any more.
_END_TOLD_US = 3_000_000


def start_pace(record: ServerRecord, reason: str, now_us: int, effects: Effects) -> None:
    """Give a server that has started or turned cold a pace.

    The line that tells of its entry is written by the caller.
    """
    record.pace = begin_pace(reason, now_us, record.cold_until_us)
    record.noted_share = record.pace.share
    _count(effects, "begun")


def observe_answer(
    record: ServerRecord,
    usual_us: int,
    elapsed_us: int,
    load: LoadReport | None,
    now_us: int,
    effects: Effects,
) -> None:
    """Adjust the pace of a server that answered.

    :param usual_us: median of the answer times of the route in this distance class.
    :param load: load that the server reported with the answer.
    """
    # Warm servers that answer in time cost no more than this check.
    if record.pace is None and not record.consecutive_slow_answers:
        return
    evidence = judge_answer(elapsed_us / max(1, usual_us), load)
    _apply(record, evidence, "slow", load, now_us, effects)


def observe_failure(
    record: ServerRecord, reason: str, now_us: int, effects: Effects, is_lost: bool = False
) -> None:
    """Adjust the pace of a server that failed or rejected a send.

    :param is_lost: whether the server is unreachable or hangs, so that nothing is known of it
        when it comes back.
    """
    evidence = Evidence.LOST if is_lost else Evidence.BAD
    _apply(record, evidence, reason, None, now_us, effects)


def _apply(
    record: ServerRecord,
    evidence: Evidence,
    reason: str,
    load: LoadReport | None,
    now_us: int,
    effects: Effects,
) -> None:
    before = record.pace
    if before is None:
        # A server that is slow or rejects is already chosen less, by its expected answer time.
        if evidence is not Evidence.LOST:
            return
        before = begin_pace(reason, now_us, share=1.0)
        record.pace = adjust_pace(before, evidence, load, now_us)
        _report_begin(record, effects)
    else:
        record.pace = adjust_pace(before, evidence, load, now_us)
    if record.pace is None:
        record.pace_ended_us = now_us
        _report_end(record, before, now_us, effects)
        return
    if evidence is Evidence.LOST:
        until_us = max(record.blocked_until_us, record.hung_until_us)
        record.pace = replace(record.pace, reason=reason, rising_from_us=until_us)
    if record.pace.cut_us == now_us:
        _count(effects, "cut")
    elif record.pace.raised_us == now_us:
        _count(effects, "raised")


def get_told_percent(record: ServerRecord, now_us: int) -> tuple[int, int]:
    """Return the share in percent that others are told, and the age of its evidence.

    :returns: percent, 0 if there is nothing to tell, and the age in milliseconds.
    """
    pace = record.pace
    if pace is not None and pace.observed_us:
        percent = max(1, min(99, int(get_share(pace, now_us) * 100)))
        return percent, max(0, now_us - pace.observed_us) // 1_000
    if pace is None and record.pace_ended_us and now_us - record.pace_ended_us < _END_TOLD_US:
        return 100, (now_us - record.pace_ended_us) // 1_000
    return 0, 0


def adopt_told_share(
    record: ServerRecord, percent: int, age_us: int, now_us: int, effects: Effects
) -> bool:
    """Adopt the share that another instance found, and return whether it changed anything.

    :param percent: share in percent, 0 if the other instance told none.
    :param age_us: time in microseconds since its evidence.
    """
    if not percent:
        return False
    observed_us = now_us - age_us
    before = record.pace
    pace = merge_told_share(before, record.pace_ended_us, percent / 100, observed_us, now_us)
    if pace is before:
        return False
    record.pace = pace
    if pace is None:
        record.pace_ended_us = observed_us
        _report_end(record, before, now_us, effects)
    record.noted_share = pace.share if pace is not None else 1.0
    _count(effects, "told")
    return True


def _report_begin(record: ServerRecord, effects: Effects) -> None:
    fields = (
        ("server", record.server.server_id),
        ("service", record.server.service),
        ("reason", record.pace.reason),
        ("percent", int(record.pace.share * 100)),
    )
    effects.append(WriteLog("server_pace_begun", fields))
    _count(effects, "begun")


def _report_end(record: ServerRecord, pace: Pace, now_us: int, effects: Effects) -> None:
    fields = (
        ("server", record.server.server_id),
        ("service", record.server.service),
        ("reason", pace.reason),
        ("after_ms", (now_us - pace.begun_us) // 1_000),
    )
    effects.append(WriteLog("server_pace_ended", fields))
    _count(effects, "ended")


def _count(effects: Effects, change: str) -> None:
    labels = (("change", change),)
    effects.append(IncrementCounter("mimosapost_relay_server_paces_total", labels))
