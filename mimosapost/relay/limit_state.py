"""State of the limits of workspaces at one instance."""

from __future__ import annotations

from dataclasses import dataclass, field

from mimosapost.limits.fleet_limits import TokenBucket
from mimosapost.relay.messages import RelayRequest

__all__ = ["LimitAccount", "LimitState", "LimitUse"]


@dataclass(slots=True)
class LimitUse:
    """Requests of one workspace at this instance.

    :param advance: requests that may run before the account confirms them.
    :param capacity: largest number of these requests.
    :param unreported: requests that ran and that the account does not know of yet.
    :param waiting: numbers of the requests that wait for the account, by age.
    :param asked: how many of them the report that is open asks for.
    :param report_id: number of that report; 0 if none is open.
    :param reported_us: time at which it was sent.
    :param account_name: name of the instance that it was sent to.
    :param refused_until_us: time until which the account has no room.
    :param room_us: time that was last given to a refused caller for its return.
    """

    advance: TokenBucket
    capacity: int = 0
    unreported: int = 0
    waiting: list[int] = field(default_factory=list)
    asked: int = 0
    report_id: int = 0
    reported_us: int = 0
    account_name: str = ""
    refused_until_us: int = 0
    room_us: int = 0


@dataclass(slots=True)
class LimitAccount:
    """Account of one workspace, for all instances.

    :param asked_us: time of the last report of an instance, by name.
    :param room_us: time that was last given to a refused caller for its return.
    :param is_open: whether instances may run requests before they are confirmed.
    :param logged_us: time of the last log line on a change of ``is_open``.
    """

    bucket: TokenBucket
    asked_us: dict[str, int] = field(default_factory=dict)
    room_us: int = 0
    is_open: bool = True
    logged_us: int = 0


@dataclass(slots=True)
class LimitState:
    """Limits of all workspaces at one instance.

    :param uses: by name of the workspace.
    :param accounts: accounts that this instance keeps, by name of the workspace.
    :param reports: workspace of each open report, by number.
    :param held: requests that wait for an account, with the time of arrival, by number.
    :param granted: numbers of held requests that were granted during this event.
    :param resumed: number of the granted request that is being admitted.
    :param heard_us: time of the last message of an instance, by name.
    :param known_us: time at which an instance was last a member, by name. An instance that
        vanished without leaving counts for long, because it may run on the other side of a
        split.
    :param names: all known instances with this one, ordered.
    :param candidates: instances that may keep accounts.
    :param seen: number of instances that this one sees, with itself.
    :param surveyed_us: time at which the last three were updated.
    :param passed_until_us: time until which an instance without a reply is not asked, by name.
    :param passed_us: length of that time, which doubles with each failure.
    :param catalog_version: version of the configuration whose workspaces are kept.
    """

    uses: dict[str, LimitUse] = field(default_factory=dict)
    accounts: dict[str, LimitAccount] = field(default_factory=dict)
    reports: dict[int, str] = field(default_factory=dict)
    held: dict[int, tuple[RelayRequest, int]] = field(default_factory=dict)
    granted: list[int] = field(default_factory=list)
    resumed: int = 0
    heard_us: dict[str, int] = field(default_factory=dict)
    known_us: dict[str, int] = field(default_factory=dict)
    names: tuple[str, ...] = ()
    candidates: tuple[str, ...] = ()
    seen: int = 1
    surveyed_us: int = -1
    passed_until_us: dict[str, int] = field(default_factory=dict)
    passed_us: dict[str, int] = field(default_factory=dict)
    catalog_version: int = 0
    next_report_id: int = 1
