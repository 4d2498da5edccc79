"""Work of others on the machine of a server, as the server reports it.

Load pattern: servers share machines with others. The time that work takes there changes
several times a second, so that a server is quick in one answer and slow in the next. What an
answer took is compared with the usual time at the load of its moment, so that the speed of the
server itself stays known; the load of the last report counts for about as long as it lasts.
"""

from __future__ import annotations

from mimosapost.relay.messages import LoadReport

__all__ = ["explain_extra_us", "get_extra_work_us"]

# Time in microseconds in which a report loses half of its weight. Most of the load of the
# machine changes within twice as long.
_HALF_LIFE_US = 300_000
# Highest share of an answer time that a report explains, whatever figure it tells.
_MAX_EXPLAINED_SHARE = 0.75


def get_extra_work_us(report: LoadReport | None, age_us: int, work_us: float) -> float:
    """Return how much longer than usual work is expected to take, in microseconds.

    :param report: last report of the server.
    :param age_us: time since the report in microseconds.
    :param work_us: usual time of the work in microseconds.
    :returns: extra time; below 0 on a machine that is quicker than usual.

    >>> busy = LoadReport(1, 0, 2, work_time_percent=250)
    >>> get_extra_work_us(busy, 0, 10_000), get_extra_work_us(busy, 300_000, 10_000)
    (15000.0, 7500.0)
    """
    if report is None or report.work_time_percent is None:
        return 0.0
    weight = 0.5 ** (age_us / _HALF_LIFE_US)
    return work_us * (report.work_time_percent / 100 - 1) * weight


def explain_extra_us(elapsed_us: int, report: LoadReport | None, work_us: float) -> int:
    """Return how much of an answer time the load of the machine explains, in microseconds.

    :param elapsed_us: time to the answer in microseconds.
    :param report: report in that answer.
    :param work_us: usual time of the work in microseconds.
    :returns: extra time; below 0 on a machine that is quicker than usual.

    >>> explain_extra_us(40_000, LoadReport(1, 0, 2, work_time_percent=250), 10_000)
    15000
    """
    extra_us = get_extra_work_us(report, 0, work_us)
    return int(min(extra_us, elapsed_us * _MAX_EXPLAINED_SHARE))
