"""Accounts of workspaces, each kept by one instance for all.

Load pattern: the requests of a workspace come through a few instances, then through others; one
workspace sends many times its usual; instances restart, freeze and lose each other meanwhile.

The account of a workspace is kept by the first of the known instances in the order of a
rendezvous hash. It counts what the others report and grants what they ask for. On one side of a
split it gives out the part of the limit that belongs to the instances there, and in place of a
better account only what belongs to those that ask. An account starts almost empty, because
another one may have been emptied just before.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from mimosapost.limits.fleet_limits import (
    FleetLimit,
    TokenBucket,
    compute_headroom,
    compute_side_share,
    compute_substitute_share,
)
from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import WorkspaceGrant, WorkspaceReport
from mimosapost.relay.gossip import create_introduction
from mimosapost.relay.limit_state import LimitAccount
from mimosapost.relay.rate_limits import ASSUMED_INSTANCES
from mimosapost.relay.registry import Effects, handles_message
from mimosapost.relay.state import RelayState

__all__ = [
    "MAX_SPREAD_US",
    "choose_account",
    "count_instances",
    "find_limit",
    "grant",
    "survey_instances",
]

# Time between surveys of the instances.
_SURVEY_US = 1_000_000
# A region counts as lost if no message came from it for this time. Instances that gather or
# exchange members hear from each region about once a second.
_REGION_SILENCE_US = 6_000_000
# A member counts as lost if no instance reported a message of it for this time: per known
# instance, because reports name some members only, and the bounds.
_MEMBER_SILENCE_US = 1_000_000
_MIN_SILENCE_US = 20_000_000
_MAX_SILENCE_US = 60_000_000
# An instance that vanished without leaving counts as known for this time.
_RETENTION_US = 600_000_000
_MAX_KNOWN = 4_096
# Time after the start in which an instance may not have met the others yet.
_MEETING_US = 4_000_000
# Part of the tolerated requests that an account holds beyond the burst: the reports of requests
# within the limit come in another order than the requests, and late.
_SPARE_TOKENS = 0.15
# Part of the tolerated requests that is in a new account.
_FIRST_TOKENS = 0.25
# Debt of an account, in seconds of its limit. A larger one is waived, so that a workspace that
# suddenly sends much isn't refused for long.
_MAX_DEBT_SECONDS = 2.0
# Part of the burst that is left while instances may run requests ahead.
_OPEN_SHARE = 0.5
#: The returns of refused callers are spread over this time, in microseconds.
MAX_SPREAD_US = 2_000_000
_LOG_INTERVAL_US = 1_000_000


def find_limit(state: RelayState, workspace: str) -> FleetLimit | None:
    """Return the limit of a workspace, or ``None`` if it has none or is unknown."""
    found = state.catalog.workspaces.get(workspace) if state.catalog is not None else None
    if found is None or found.per_second <= 0:
        return None
    return FleetLimit(found.per_second, max(0.0, found.burst))


def survey_instances(state: RelayState, now_us: int) -> None:
    """Update, once a second, which instances are known, seen and may keep accounts."""
    limits = state.limits
    if now_us - limits.surveyed_us < _SURVEY_US and limits.surveyed_us >= 0:
        return
    limits.surveyed_us = now_us
    own_name = state.instance_settings.name
    fresh: list[str] = []
    seen = 1
    if state.peers is not None:
        members = state.peers.members.list_members()
        heard_since_us = now_us - _REGION_SILENCE_US
        regions = {
            member.identity.region
            for member in members
            if member.identity and limits.heard_us.get(member.name, -1) >= heard_since_us
        }
        silence_us = min(
            max(len(members) * _MEMBER_SILENCE_US, _MIN_SILENCE_US), _MAX_SILENCE_US
        )
        heard = state.peers.members.list_heard(now_us - silence_us)
        for member in members:
            if member.leaving:
                limits.known_us.pop(member.name, None)
            elif member.name in heard:
                limits.known_us[member.name] = now_us
                fresh.append(member.name)
                seen += member.identity is not None and member.identity.region in regions
        _forget_instances(state, now_us)
    limits.seen = seen
    limits.names = tuple(sorted({own_name, *limits.known_us}))
    own = () if state.stop_requested_us and fresh else (own_name,)
    limits.candidates = tuple(sorted({*own, *fresh}))
    if state.catalog is not None and state.catalog.version != limits.catalog_version:
        limits.catalog_version = state.catalog.version
        _forget_workspaces(state)


def _forget_instances(state: RelayState, now_us: int) -> None:
    limits = state.limits
    for table, age_us in (
        (limits.known_us, _RETENTION_US),
        (limits.heard_us, _MAX_SILENCE_US),
        (limits.passed_until_us, _MAX_SILENCE_US),
    ):
        for name in [name for name, at_us in table.items() if now_us - at_us > age_us]:
            del table[name]
    while len(limits.known_us) > _MAX_KNOWN:
        del limits.known_us[min(limits.known_us, key=limits.known_us.__getitem__)]


def _forget_workspaces(state: RelayState) -> None:
    limits = state.limits
    for name in [n for n in limits.accounts if find_limit(state, n) is None]:
        del limits.accounts[name]
    for name, use in list(limits.uses.items()):
        if find_limit(state, name) is None and not use.waiting and not use.report_id:
            del limits.uses[name]


def count_instances(state: RelayState, now_us: int) -> int:
    """Return the number of instances that may use a limit at the same time.

    An instance that has just started may not have met them all.
    """
    known = len(state.limits.names)
    return max(known, ASSUMED_INSTANCES) if _is_meeting(state, now_us) else max(1, known)


def _is_meeting(state: RelayState, now_us: int) -> bool:
    return state.peers is not None and now_us - state.started_us < _MEETING_US


def choose_account(state: RelayState, workspace: str, passed_over: Iterable[str] = ()) -> str:
    """Return the name of the instance that keeps the account of a workspace.

    :param passed_over: names of instances that did not reply.
    """
    names = set(state.limits.candidates) - set(passed_over)
    return max(
        names or {state.instance_settings.name},
        key=lambda name: xxhash.xxh3_64_intdigest(f"{workspace} {name}".encode()),
    )


def _compute_share(
    state: RelayState, workspace: str, limit: FleetLimit, account: LimitAccount, now_us: int
) -> float:
    known = count_instances(state, now_us)
    rules = state.instance_settings.limit_rules
    if choose_account(state, workspace) == state.instance_settings.name:
        return compute_side_share(min(state.limits.seen, known), known, rules.excess)
    since_us = now_us - rules.window_us
    account.asked_us = {n: at_us for n, at_us in account.asked_us.items() if at_us > since_us}
    return compute_substitute_share(limit, rules, len(account.asked_us), known)


def grant(
    state: RelayState, peer: str, report: WorkspaceReport, now_us: int, effects: Effects
) -> WorkspaceGrant:
    """Count the requests that an instance reports, and decide on those that it asks for.

    :param peer: name of that instance.
    """
    survey_instances(state, now_us)
    limits, name = state.limits, report.workspace
    limit = find_limit(state, name)
    if limit is None:
        # A limit that was lifted, or the workspace is new in a configuration that this instance
        # hasn't read.
        return WorkspaceGrant(report.report_id, report.asked, True)
    account = limits.accounts.get(name)
    is_first = account is None
    if account is None:
        account = limits.accounts[name] = LimitAccount(TokenBucket(0.0, now_us))
    account.asked_us[peer] = now_us
    share = _compute_share(state, name, limit, account, now_us)
    headroom = compute_headroom(limit, state.instance_settings.limit_rules)
    per_second = limit.per_second * share
    capacity = max(1.0, (limit.burst + _SPARE_TOKENS * headroom) * share)
    bucket = account.bucket
    if is_first:
        bucket.tokens = min(capacity, _FIRST_TOKENS * headroom * share)
    bucket.refill(per_second, capacity, now_us)
    bucket.charge(report.used, -_MAX_DEBT_SECONDS * per_second)
    granted = bucket.take(report.asked)
    is_open = bucket.tokens >= max(1.0, _OPEN_SHARE * capacity)
    # The share rises when the others are met, before its present rate gives a token.
    return_rate = limit.per_second if _is_meeting(state, now_us) else per_second
    wait_us = bucket.get_wait_us(return_rate)
    refused = report.asked - granted
    room_us = 0
    if refused:
        first_us = max(now_us + wait_us, min(account.room_us, now_us + MAX_SPREAD_US))
        room_us = first_us - now_us
        account.room_us = first_us + int(refused / return_rate * 1e6)
    _record_change(account, name, is_open, share, report, now_us, effects)
    return WorkspaceGrant(report.report_id, granted, is_open, wait_us, room_us)


def _record_change(
    account: LimitAccount,
    name: str,
    is_open: bool,
    share: float,
    report: WorkspaceReport,
    now_us: int,
    effects: Effects,
) -> None:
    if is_open == account.is_open:
        return
    account.is_open = is_open
    if not is_open:
        labels = (("workspace", name),)
        effects.append(IncrementCounter("mimosapost_relay_workspace_limits_total", labels))
    if now_us - account.logged_us < _LOG_INTERVAL_US and account.logged_us:
        return
    account.logged_us = now_us
    fields = (
        ("workspace", name),
        ("open", is_open),
        ("room", round(account.bucket.tokens, 1)),
        ("share_percent", round(share * 100)),
        ("used", report.used),
        ("asked", report.asked),
    )
    effects.append(WriteLog("workspace_limit_near", fields))


@handles_message(WorkspaceReport)
def handle_report(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Reply to the report of another instance."""
    name, now_us = event.message.workspace, event.now_us
    account = state.limits.accounts.get(name)
    is_new = account is None or event.peer not in account.asked_us
    reply = grant(state, event.peer, event.message, now_us, effects)
    member = state.peers.members.find_by_name(event.peer)
    if member is not None:
        effects.append(SendPeer(event.peer, member.peer_address, reply))
    better = choose_account(state, name, state.limits.passed_until_us)
    if is_new and better != state.instance_settings.name:
        # The other instance may not have met the better one yet.
        message = create_introduction(state, event.peer, better, now_us)
        effects += [message] if message is not None else []
