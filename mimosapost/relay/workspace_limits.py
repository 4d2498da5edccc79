"""Limits of workspaces at the instance that receives their requests.

Load pattern: most workspaces are far below their limits, and a reply that waits for an instance
in another region misses its latency objective. A few send more than their limit.

A request runs at once while the workspace's advance lasts; the instance reports it, and the
reply restores the advance if the account has room. Otherwise the request waits for the account,
for a short time. After a refusal, the next ones are refused at once until the account has room
again. An instance without a reply uses its advance, which its own part of the limit refills.
"""

from __future__ import annotations

import xxhash

from mimosapost.limits.fleet_limits import FleetLimit, TokenBucket, compute_advance
from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import WorkspaceGrant, WorkspaceReport
from mimosapost.relay.completion import refuse_request
from mimosapost.relay.limit_state import LimitUse
from mimosapost.relay.messages import Refusal, RelayRequest
from mimosapost.relay.registry import Effects, TimerKind, handles_message, handles_timer
from mimosapost.relay.state import OpenRequest, RelayState
from mimosapost.relay.workspace_accounts import (
    MAX_SPREAD_US,
    choose_account,
    count_instances,
    find_limit,
    grant,
    survey_instances,
)

__all__ = ["check_limit", "pop_granted"]

# Time for which requests wait for the reply of an account.
_REPLY_US = 100_000
# Time in which it must reply to a report for which no request waits: links that were idle are
# opened again, and the process of the account may be busy.
_SLOW_REPLY_US = 1_000_000
# An instance without a reply is passed over: for the first time, and the bound of the doubling.
_PASS_OVER_US = 1_000_000
_MAX_PASS_OVER_US = 8_000_000
# A request that has waited this long when an account gave no reply isn't held for another one.
_MAX_WAIT_US = 100_000
# After the start, this many windows pass before an earlier process of the instance no longer
# counts.
_NEW_WINDOWS = 2
# Retry-After if no account replied, and its lower bound.
_UNKNOWN_ROOM_US = 200_000
_MIN_ROOM_US = 50_000


def check_limit(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> bool:
    """Return whether a request may start; otherwise it is refused, or held for its account."""
    request, workspace = open_request.request, open_request.workspace
    if workspace is None or workspace.per_second <= 0:
        return True
    limits, name = state.limits, workspace.name
    if limits.resumed == request.request_number:
        return True
    limit = FleetLimit(workspace.per_second, max(0.0, workspace.burst))
    survey_instances(state, now_us)
    use = _update_use(state, name, limit, now_us)
    if now_us < use.refused_until_us:
        use.room_us = max(use.refused_until_us, min(use.room_us, now_us + MAX_SPREAD_US)) + int(
            1e6 / limit.per_second
        )
        _refuse(name, request, use.room_us - now_us, state, effects)
        return False
    if not use.waiting and use.advance.take(1):
        use.unreported += 1
        _count(name, "advanced", effects)
        _report(state, name, use, now_us, effects)
        return True
    limits.held[request.request_number] = (request, now_us)
    if use.report_id:
        state.timers.add(now_us + _REPLY_US, TimerKind.LIMIT, use.report_id)
    use.waiting.append(request.request_number)
    _report(state, name, use, now_us, effects)
    return False


def pop_granted(state: RelayState) -> list[tuple[RelayRequest, int]]:
    """Return and forget the requests that were granted, with their times of arrival."""
    limits = state.limits
    granted, limits.granted = limits.granted, []
    # The callers of the others have left.
    return [limits.held.pop(number) for number in granted if number in limits.held]


def _update_use(state: RelayState, name: str, limit: FleetLimit, now_us: int) -> LimitUse:
    """Return the use of a workspace, with what its advance gained since the last request."""
    rules, limits = state.instance_settings.limit_rules, state.limits
    instances = count_instances(state, now_us)
    own_name = state.instance_settings.name
    if instances == len(limits.names):
        seat = limits.names.index(own_name)
    else:
        seat = xxhash.xxh3_64_intdigest(own_name.encode()) % instances
    is_new = now_us - state.started_us < _NEW_WINDOWS * rules.window_us
    capacity = compute_advance(limit, rules, seat, instances, name, is_new=is_new)
    use = limits.uses.get(name)
    if use is None:
        use = limits.uses[name] = LimitUse(TokenBucket(capacity, now_us))
    use.advance.refill(limit.per_second / instances, capacity, now_us)
    use.capacity = capacity
    return use


def _report(state: RelayState, name: str, use: LimitUse, now_us: int, effects: Effects) -> None:
    """Report to the account, unless a report is open, until nothing is left to tell."""
    limits = state.limits
    while not use.report_id and (use.unreported or use.waiting):
        use.report_id, limits.next_report_id = limits.next_report_id, limits.next_report_id + 1
        used, use.unreported, use.asked = use.unreported, 0, len(use.waiting)
        passed = {n for n, until_us in limits.passed_until_us.items() if now_us < until_us}
        use.account_name = choose_account(state, name, passed)
        report = WorkspaceReport(use.report_id, name, used, use.asked)
        if use.account_name == state.instance_settings.name:
            reply = grant(state, use.account_name, report, now_us, effects)
            _apply_grant(state, name, use, reply, now_us, effects)
            continue
        limits.reports[use.report_id] = name
        use.reported_us = now_us
        state.timers.add(
            now_us + (_REPLY_US if use.asked else _SLOW_REPLY_US),
            TimerKind.LIMIT,
            use.report_id,
        )
        member = state.peers.members.find_by_name(use.account_name)
        if member is not None:
            effects.append(SendPeer(use.account_name, member.peer_address, report))


@handles_message(WorkspaceGrant)
def handle_grant(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Start and refuse the requests that waited for an account."""
    name = state.limits.reports.pop(event.message.report_id, None)
    use = state.limits.uses.get(name) if name is not None else None
    if use is None or use.report_id != event.message.report_id:
        return
    state.limits.passed_until_us.pop(event.peer, None)
    state.limits.passed_us.pop(event.peer, None)
    _apply_grant(state, name, use, event.message, event.now_us, effects)
    _report(state, name, use, event.now_us, effects)


def _apply_grant(
    state: RelayState,
    name: str,
    use: LimitUse,
    reply: WorkspaceGrant,
    now_us: int,
    effects: Effects,
) -> None:
    asked, use.waiting = use.waiting[: use.asked], use.waiting[use.asked :]
    use.report_id, use.asked = 0, 0
    use.advance.tokens = max(0, use.capacity - use.unreported) if reply.is_open else 0
    for request_number in asked[: reply.granted]:
        state.limits.granted.append(request_number)
        _count(name, "granted", effects)
    refused = asked[reply.granted :]
    if refused:
        use.refused_until_us = now_us + reply.wait_us
        limit = find_limit(state, name)
        interval_us = int(1e6 / limit.per_second) if limit is not None else 0
        for index, request_number in enumerate(refused):
            room_us = reply.room_us + index * interval_us
            _refuse_held(name, request_number, room_us, state, effects)
        use.room_us = now_us + reply.room_us


@handles_timer(TimerKind.LIMIT)
def expire_report(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Pass over an account that did not reply, and use the advance of this instance."""
    limits = state.limits
    name = limits.reports.get(key)
    use = limits.uses.get(name) if name is not None else None
    if use is None or use.report_id != key:
        limits.reports.pop(key, None)
        return
    if not use.waiting and now_us - use.reported_us < _SLOW_REPLY_US:
        return
    del limits.reports[key]
    _pass_over(state, name, use, now_us, effects)
    waiting, use.waiting = use.waiting, []
    use.report_id, use.asked = 0, 0
    limit = find_limit(state, name)
    if limit is not None:
        _update_use(state, name, limit, now_us)
    advanced = waiting if limit is None else waiting[: use.advance.take(len(waiting))]
    for request_number in advanced:
        use.unreported += 1
        limits.granted.append(request_number)
        _count(name, "advanced", effects)
    for request_number in waiting[len(advanced) :]:
        _, arrived_us = limits.held.get(request_number, (None, now_us))
        if now_us - arrived_us < _MAX_WAIT_US:
            use.waiting.append(request_number)
        else:
            _refuse_held(name, request_number, _UNKNOWN_ROOM_US, state, effects)
    _report(state, name, use, now_us, effects)


def _pass_over(
    state: RelayState, name: str, use: LimitUse, now_us: int, effects: Effects
) -> None:
    limits, account_name = state.limits, use.account_name
    if now_us < limits.passed_until_us.get(account_name, 0):
        return
    length_us = max(2 * limits.passed_us.get(account_name, 0), _PASS_OVER_US)
    limits.passed_us[account_name] = min(length_us, _MAX_PASS_OVER_US)
    limits.passed_until_us[account_name] = now_us + limits.passed_us[account_name]
    fields = (
        ("workspace", name),
        ("peer", account_name),
        ("asked", use.asked),
        ("passed_ms", limits.passed_us[account_name] // 1_000),
    )
    effects.append(WriteLog("workspace_account_silent", fields))


def _refuse_held(
    name: str, request_number: int, room_us: int, state: RelayState, effects: Effects
) -> None:
    request, _ = state.limits.held.pop(request_number, (None, 0))
    if request is not None:
        _refuse(name, request, room_us, state, effects)


def _refuse(
    name: str, request: RelayRequest, room_us: int, state: RelayState, effects: Effects
) -> None:
    retry_us = max(room_us, _MIN_ROOM_US)
    refusal = Refusal(ResultCode.CALLER_LIMIT, retry_us, "limit of the workspace")
    fields = (("workspace", name),)
    number = request.request_number
    refuse_request(state, number, request.request_id, refusal, effects, fields)
    _count(name, "refused", effects)


def _count(name: str, outcome: str, effects: Effects) -> None:
    labels = (("workspace", name), ("outcome", outcome))
    effects.append(IncrementCounter("mimosapost_relay_workspace_decisions_total", labels))
