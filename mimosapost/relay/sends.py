"""Sends: each is checked for its server's state at the moment at which it starts."""

from __future__ import annotations

from enum import Enum

from mimosapost.model.effects import Count, WriteLog
from mimosapost.relay.effects import AbandonSend, StartSend
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.repeats import get_hedge_delay_us
from mimosapost.relay.server_selection import ServerRecord, choose_server
from mimosapost.relay.service_discovery import is_usable
from mimosapost.relay.state import OpenRequest, OpenSend, Part, RelayState
from mimosapost.relay.warmup import ColdAllowance

__all__ = [
    "StartResult",
    "abandon_sends",
    "hedge_stragglers",
    "list_usable",
    "dispatch_waiting",
    "start_send",
]

# Instances that a server's connections are divided by, and the least that each may have. An
# instance rarely has more than two sends open at one server, so far more instances fit.
_SHARING_INSTANCES = 8
_MIN_CONNECTIONS = 2
_DEFAULT_CONNECTIONS = 16
# A connection that does not stand after this time is given up: one round trip between regions
# takes 24 ms, and a server spends 6 ms on it.
_CONNECT_TIMEOUT_US = 250_000
# Parts of a query that are hedged when all others are in.
STRAGGLER_SHARE = 0.1
# They get one part in so many of the time that the others took.
_STRAGGLER_WAIT_DIVISOR = 8
# A caller that left must not keep servers at work for longer than half a second.
ABANDON_GRACE_US = 300_000


class StartResult(Enum):
    """What became of the wish to send."""

    SENT = "sent"
    WAITING = "waiting"
    NO_SERVER = "no_server"


def list_usable(
    state: RelayState, opened: OpenRequest, part: Part, now_us: int
) -> list[ServerRecord]:
    """Return the servers that the next send of a part may use, whatever their load is.

    Servers that the part was not sent to come first; if there are none, those that it was
    sent to and that no longer work on it.
    """
    regions = opened.route.regions
    usable = [
        record
        for record in state.by_service.get(part.service, ())
        if is_usable(state, record, now_us) and (not regions or record.region in regions)
    ]
    fresh = [record for record in usable if record.server.server_id not in part.tried_servers]
    if fresh:
        return fresh
    busy = {state.sends[send_id].record.server.server_id for send_id in part.sends}
    return [record for record in usable if record.server.server_id not in busy]


def start_send(
    state: RelayState, opened: OpenRequest, part: Part, now_us: int, effects: Effects
) -> StartResult:
    """Send a part to the server that is expected to answer first.

    :returns: whether it was sent, waits for a server with room, or has no server.
    """
    usable = list_usable(state, opened, part, now_us)
    if not usable:
        return StartResult.NO_SERVER
    connections = _get_connections(state, part.service)
    pools = state.get_pools(opened.route)
    limit = _get_cold_limit(state, part.service)
    warm = [record for record in usable if not limit or record.cold_until_us <= now_us]
    free = [record for record in warm if len(record.open_sends) < connections]
    record = choose_server(free, pools, now_us, state.rng)
    if record is None and limit:
        cold = [record for record in usable if record.cold_until_us > now_us]
        record = _choose_cold(state, cold, limit, now_us)
    if record is None:
        _enqueue(state, opened, part)
        return StartResult.WAITING
    _emit_send(state, opened, part, record, now_us, effects)
    return StartResult.SENT


def _choose_cold(
    state: RelayState, records: list[ServerRecord], limit: float, now_us: int
) -> ServerRecord | None:
    for record in records:
        server_id = record.server.server_id
        allowance = state.cold_allowances.get(server_id)
        if allowance is None:
            allowance = state.cold_allowances[server_id] = ColdAllowance(
                limit, now_us, state.rng
            )
        if allowance.try_take(now_us):
            return record
    return None


def _get_cold_limit(state: RelayState, service: str) -> float:
    """Return the requests a second that a cold server of a service bears, 0 for any number."""
    rules = state.catalog.services.get(service) if state.catalog is not None else None
    return rules.cold_per_second if rules is not None else 0.0


def _emit_send(
    state: RelayState,
    opened: OpenRequest,
    part: Part,
    record: ServerRecord,
    now_us: int,
    effects: Effects,
) -> None:
    send_id, state.next_send_id = state.next_send_id, state.next_send_id + 1
    pool = state.get_pools(opened.route)[record.distance]
    is_repeat = bool(part.tried_servers)
    if not is_repeat:
        state.get_budget(part.service).earn()
    send = OpenSend(
        send_id,
        opened.request.number,
        part,
        record,
        pool,
        now_us,
        opened.request.fingerprint,
        is_repeat,
    )
    state.sends[send_id] = send
    record.open_sends[send_id] = now_us
    part.sends.append(send_id)
    part.tried_servers.append(record.server.server_id)
    part.waiting = False
    part.possible_runs += 1
    effects.append(
        StartSend(
            send_id,
            record.server,
            opened.request,
            opened.deadline_us,
            min(opened.deadline_us, now_us + _CONNECT_TIMEOUT_US),
            opened.route.repeatable,
        )
    )
    if opened.route.repeatable and part.possible_runs < opened.route.max_sends:
        delay_us = get_hedge_delay_us(pool, opened.route.goal_us)
        state.timers.add(now_us + delay_us, TimerKind.HEDGE, send_id)


@handles_timer(TimerKind.HEDGE)
def hedge_send(state: RelayState, key: int, now_us: int, effects: Effects) -> None:
    """Ask a second server where the first has not answered in the usual time."""
    send = state.sends.get(key)
    opened = state.requests.get(send.request_number) if send is not None else None
    if send is None or opened is None or send.part.done or send.abandoned_us:
        return
    part = send.part
    if len(part.sends) > 1 or part.possible_runs >= opened.route.max_sends or opened.past_goal:
        return
    limit = _get_cold_limit(state, part.service)
    usable = [
        record
        for record in list_usable(state, opened, part, now_us)
        if (not limit or record.cold_until_us <= now_us)
        and len(record.open_sends) < _get_connections(state, part.service)
    ]
    if not usable or not state.get_budget(part.service).try_spend():
        return
    record = choose_server(usable, state.get_pools(opened.route), now_us, state.rng)
    opened.hedges += 1
    fields = (
        ("request", opened.request.request_id),
        ("server", send.record.server.server_id),
        ("next_server", record.server.server_id),
        ("waited_ms", (now_us - send.sent_us) // 1_000),
        ("usual_ms", send.pool.p90_us // 1_000),
        ("budget", state.get_budget(part.service).available),
    )
    effects.append(WriteLog("send_hedged", fields))
    effects.append(Count("mimosapost_relay_repeats_total", (("reason", "hedge"),)))
    _emit_send(state, opened, part, record, now_us, effects)


def hedge_stragglers(state: RelayState, opened: OpenRequest, now_us: int) -> None:
    """Hedge the last parts of a query soon after the others are in.

    The other parts of a query tell more about the time that it needs now than earlier queries
    do: this one may have waited for the processor behind another.
    """
    stragglers = len(opened.parts) * STRAGGLER_SHARE
    if opened.stragglers_hedged or opened.open_parts > stragglers or not opened.open_parts:
        return
    opened.stragglers_hedged = True
    due_us = now_us + (now_us - opened.arrived_us) // _STRAGGLER_WAIT_DIVISOR
    for part in opened.parts:
        if not part.done:
            for send_id in part.sends:
                state.timers.add(due_us, TimerKind.HEDGE, send_id)


def abandon_sends(
    state: RelayState,
    part: Part,
    now_us: int,
    effects: Effects,
    grace_us: int = ABANDON_GRACE_US,
) -> None:
    """Give up the open sends of a part; their ends still tell about the servers."""
    for send_id in part.sends:
        send = state.sends[send_id]
        if not send.abandoned_us:
            send.abandoned_us = now_us
            effects.append(AbandonSend(send_id, now_us + grace_us))


def _get_connections(state: RelayState, service: str) -> int:
    rules = state.catalog.services.get(service) if state.catalog is not None else None
    if rules is None:
        return _DEFAULT_CONNECTIONS
    return max(_MIN_CONNECTIONS, rules.connections // _SHARING_INSTANCES)


def _enqueue(state: RelayState, opened: OpenRequest, part: Part) -> None:
    if not part.waiting:
        part.waiting = True
        entry = (opened.route.rank, opened.request.number, part)
        state.waiting.setdefault(part.service, []).append(entry)


def dispatch_waiting(state: RelayState, now_us: int, effects: Effects) -> None:
    """Send what waits for servers with room, the most urgent and oldest first."""
    while state.services_to_dispatch:
        service = state.services_to_dispatch.pop()
        queue = state.waiting.pop(service, None)
        if not queue:
            continue
        queue.sort(key=lambda entry: entry[:2])
        for index, (_, number, part) in enumerate(queue):
            opened = state.requests.get(number)
            if opened is None or part.done or part.sends:
                continue
            part.waiting = False
            if start_send(state, opened, part, now_us, effects) is StartResult.WAITING:
                rest = [entry for entry in queue[index + 1 :] if entry[1] in state.requests]
                state.waiting.setdefault(service, []).extend(rest)
                break
