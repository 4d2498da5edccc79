"""Start, hedging and abandonment of sends.

The state of a server is checked at the moment at which a send to it starts.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.peer_messages import GatherCancel
from mimosapost.relay.catalog import choose_rank, choose_regions
from mimosapost.relay.effects import AbandonSend, StartSend
from mimosapost.relay.eligibility import is_usable
from mimosapost.relay.latency_pools import get_work_us
from mimosapost.relay.rate_limits import (
    get_rate_wait_us,
    may_send,
    take_cold_send,
    take_send,
)
from mimosapost.relay.registry import Effects, TimerKind, handles_timer
from mimosapost.relay.repeats import get_hedge_delay_us
from mimosapost.relay.server_selection import ServerRecord, choose_server, rank_servers
from mimosapost.relay.state import HedgeDue, OpenRequest, OpenSend, Part, RelayState
from mimosapost.relay.workspace_fairness import order_waiting
from mimosapost.suspects.tracker import SuspicionState

__all__ = [
    "SUSPECT_HANG_US",
    "StartResult",
    "abandon_request",
    "abandon_sends",
    "can_start",
    "dispatch_waiting",
    "emit_send",
    "hedge_stragglers",
    "is_restricted",
    "list_usable",
    "list_warm",
    "queue_hedge",
    "queue_held_hedges",
    "rank_warm_servers",
    "start_send",
]

# A server's connections are divided among this many instances, and each may use at least the
# minimum below. Far more instances can share a server, because each rarely has more than two
# sends open there.
_SHARING_INSTANCES = 8
_MIN_CONNECTIONS = 2
_DEFAULT_CONNECTIONS = 16
# A connection that is not established after this time is given up. One round trip between
# regions takes 24 ms, and a server spends 6 ms on accepting a connection.
_CONNECT_TIMEOUT_US = 250_000
# Largest share of a query's parts that are hedged early once all others are answered.
STRAGGLER_SHARE = 0.1
# Largest share of gathered hedges that is still open when the others are reported.
SERVED_HEDGE_SHARE = 0.5
# The stragglers are hedged after the elapsed time of the query divided by this number.
_STRAGGLER_WAIT_DIVISOR = 8
# Time for which the connection of an abandoned send stays open. When a caller leaves, servers
# must stop working for it within half a second.
ABANDON_GRACE_US = 300_000
#: A suspect that a server has not answered for this time counts as the cause of its silence.
#: Pauses of healthy servers last up to 250 ms.
SUSPECT_HANG_US = 350_000
# Time for which a suspect has a server for itself. A request that crashes servers does so when
# it begins to run; a slow one must not keep the others waiting.
_RESERVATION_US = 100_000
# Share of the latency objective that a part may wait until a named limit allows its send; the
# rest is left for the answer.
_MAX_WAIT_SHARE = 0.5


class StartResult(Enum):
    """Result of an attempt to start a send."""

    SENT = "sent"
    WAITING = "waiting"
    NO_SERVER = "no_server"


def list_usable(
    state: RelayState, open_request: OpenRequest, part: Part, now_us: int
) -> list[ServerRecord]:
    """Return the servers that the next send of a part may use, regardless of their load.

    These are the servers that the part was not yet sent to. If there are none, they are the
    servers without an open send of the part; while another instance gathers it, none, because
    that instance has sent it to one of them.
    """
    regions = choose_regions(open_request.route, open_request.workspace)
    usable = [
        record
        for record in state.by_service.get(part.service, ())
        if is_usable(state, record, now_us) and (regions is None or record.region in regions)
    ]
    untried = [record for record in usable if record.server.server_id not in part.tried_servers]
    if untried or part.gather_ids:
        return untried
    busy = {state.sends[send_id].record.server.server_id for send_id in part.sends}
    return [record for record in usable if record.server.server_id not in busy]


def start_send(
    state: RelayState, open_request: OpenRequest, part: Part, now_us: int, effects: Effects
) -> StartResult:
    """Send a part to the server that is expected to answer first.

    The first part of a suspect is sent alone, and the others follow once it is answered.

    :returns: whether the part was sent, waits for a server with room or for another part, or
        has no usable server.
    """
    if is_restricted(state, open_request, now_us):
        return _start_restricted(state, open_request, part, now_us, effects)
    usable = list_usable(state, open_request, part, now_us)
    if not usable:
        return StartResult.NO_SERVER
    return _start_at_best(state, open_request, part, usable, now_us, effects)


def is_restricted(state: RelayState, open_request: OpenRequest, now_us: int) -> bool:
    """Return whether a request may crash servers, so that its sends are restricted."""
    suspicion = state.suspects.classify(open_request.request.fingerprint, now_us)
    if suspicion is SuspicionState.SUSPECT:
        return not open_request.passed_trial
    return suspicion is SuspicionState.REFUSED


def _start_restricted(
    state: RelayState, open_request: OpenRequest, part: Part, now_us: int, effects: Effects
) -> StartResult:
    fingerprint = open_request.request.fingerprint
    is_refused = state.suspects.classify(fingerprint, now_us) is SuspicionState.REFUSED
    if is_refused or open_request.served is not None:
        # The instance that asked for a gathered part tries it.
        return StartResult.NO_SERVER
    if not _has_permit(state, open_request):
        part.waiting = True
        open_request.parts_after_trial.append(part)
        state.requests_to_try.append(open_request.request.request_number)
        return StartResult.WAITING
    if open_request.trial not in (None, part):
        part.waiting = True
        open_request.parts_after_trial.append(part)
        return StartResult.WAITING
    usable = list_usable(state, open_request, part, now_us)
    # A service of its own would be down if the request crashed its last server. A query can be
    # answered without one of its shards.
    spare = sum(is_usable(state, r, now_us) for r in state.by_service.get(part.service, ()))
    if not usable or (spare < 2 and not open_request.route.shards):
        return StartResult.NO_SERVER
    idle = [record for record in usable if not record.open_sends]
    result = _start_at_best(state, open_request, part, idle, now_us, effects, ran_alone=True)
    open_request.trial = None if result is StartResult.NO_SERVER else part
    return result


def _has_permit(state: RelayState, open_request: OpenRequest) -> bool:
    trial = state.trials.get(open_request.request.fingerprint)
    number = open_request.request.request_number
    return trial is not None and trial.runner == number and not trial.has_failed


def _start_at_best(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    usable: list[ServerRecord],
    now_us: int,
    effects: Effects,
    ran_alone: bool = False,
) -> StartResult:
    limit = _get_cold_limit(state, part.service)
    warm = list_warm(state, part, usable, now_us)
    pools = state.get_pools(open_request.route)
    is_assigned = open_request.served is not None
    record = choose_server(warm, pools, now_us, state.rng, is_assigned)
    if record is None and limit:
        cold = [record for record in usable if record.cold_until_us > now_us]
        record = _choose_cold(state, cold, limit, now_us)
    if record is None:
        if not _may_wait(state, open_request, part, usable, now_us, effects):
            return StartResult.NO_SERVER
        _enqueue(state, open_request, part)
        return StartResult.WAITING
    emit_send(state, open_request, part, record, now_us, effects, ran_alone)
    return StartResult.SENT


def can_start(state: RelayState, open_request: OpenRequest, part: Part, now_us: int) -> bool:
    """Return whether a part has a server, now or soon enough for the latency objective."""
    usable = list_usable(state, open_request, part, now_us)
    return bool(usable) and _is_soon(open_request, _get_wait_us(state, part, usable, now_us))


def _get_wait_us(
    state: RelayState, part: Part, usable: list[ServerRecord], now_us: int
) -> int | None:
    queued = len(state.waiting.get(part.service, ()))
    return get_rate_wait_us(state, usable, queued, now_us)


def _is_soon(open_request: OpenRequest, wait_us: int | None) -> bool:
    return wait_us is None or wait_us <= open_request.route.goal_us * _MAX_WAIT_SHARE


def _may_wait(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    usable: list[ServerRecord],
    now_us: int,
    effects: Effects,
) -> bool:
    """Return whether a part without a server is to wait, and when it is tried again."""
    wait_us = _get_wait_us(state, part, usable, now_us)
    if wait_us is None:
        return True
    if not _is_soon(open_request, now_us - open_request.arrived_us + wait_us):
        fields = (
            ("request", open_request.request.request_id),
            ("service", part.service),
            ("wait_ms", wait_us // 1_000),
        )
        effects.append(WriteLog("named_limits_reached", fields))
        labels = (("outcome", "withheld"),)
        effects.append(IncrementCounter("mimosapost_relay_limited_parts_total", labels))
        return False
    _schedule_dispatch(state, part.service, now_us + wait_us)
    return True


def _schedule_dispatch(state: RelayState, service: str, due_us: int) -> None:
    key, state.next_timer_key = state.next_timer_key, state.next_timer_key + 1
    state.services_by_timer[key] = service
    state.timers.add(due_us, TimerKind.DISPATCH, key)


def rank_warm_servers(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    linked_domains: Collection[str],
    now_us: int,
) -> tuple[ServerRecord, ...]:
    """Return the warm servers with room that a send of a part may use now.

    :param linked_domains: failure domains with an instance that can send to the servers there.
    :returns: the server that a send would use, then those that are about as quick.
    """
    usable = list_usable(state, open_request, part, now_us)
    warm = list_warm(state, part, usable, now_us)
    pools = state.get_pools(open_request.route)
    return rank_servers(warm, pools, linked_domains, now_us, state.rng)


def list_warm(
    state: RelayState, part: Part, usable: list[ServerRecord], now_us: int
) -> list[ServerRecord]:
    """Return the usable servers that are warm and have room for a send now."""
    connections = _get_connections(state, part.service)
    limit = _get_cold_limit(state, part.service)
    return [
        record
        for record in usable
        if (not limit or record.cold_until_us <= now_us)
        and len(record.open_sends) < connections
        and record.reserved_until_us <= now_us
        and may_send(state, record, now_us)
    ]


def _choose_cold(
    state: RelayState, records: list[ServerRecord], limit: float, now_us: int
) -> ServerRecord | None:
    return next(
        (record for record in records if take_cold_send(state, record, limit, now_us)), None
    )


def _get_cold_limit(state: RelayState, service: str) -> float:
    """Return the limit of a cold server in requests per second, 0 for no limit."""
    rules = state.catalog.services.get(service) if state.catalog is not None else None
    return rules.cold_per_second if rules is not None else 0.0


def emit_send(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    record: ServerRecord,
    now_us: int,
    effects: Effects,
    ran_alone: bool = False,
) -> None:
    """Send a part to a server.

    :param ran_alone: whether the request is a suspect, to which the server is reserved.
    """
    take_send(state, record, now_us)
    send_id, state.next_send_id = state.next_send_id, state.next_send_id + 1
    pools = state.get_pools(open_request.route)
    pool = pools[record.distance]
    is_repeat = bool(part.tried_servers)
    if not part.is_counted:
        part.is_counted = True
        state.get_budget(part.service).earn()
    send = OpenSend(
        send_id,
        open_request.request.request_number,
        part,
        record,
        pool,
        now_us,
        open_request.request.fingerprint,
        is_repeat,
        ran_alone=ran_alone,
        goal_us=open_request.route.goal_us,
        work_us=get_work_us(pools),
    )
    if ran_alone:
        record.reserved_until_us = now_us + _RESERVATION_US
        _schedule_dispatch(state, part.service, record.reserved_until_us)
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
            open_request.request,
            open_request.deadline_us,
            min(open_request.deadline_us, now_us + _CONNECT_TIMEOUT_US),
            open_request.route.repeatable,
            open_request.workspace.name if open_request.workspace is not None else "",
        )
    )
    if open_request.route.repeatable and part.possible_runs < open_request.route.max_sends:
        delay_us = get_hedge_delay_us(pool, open_request.route.goal_us)
        state.timers.add(now_us + delay_us, TimerKind.HEDGE, send_id)


def queue_hedge(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    server_id: str,
    waited_us: int,
    usual_us: int,
    is_direct: bool = False,
) -> None:
    """Hedge a part once all events of the moment were applied.

    Hedges of several parts may then share one message to another instance.

    :param server_id: server that has not answered yet.
    :param waited_us: time since that send, in microseconds.
    :param usual_us: time in which most answers arrive, in microseconds.
    :param is_direct: whether another instance refused to gather the part.
    """
    due = HedgeDue(part, server_id, waited_us, usual_us, is_direct)
    state.hedges_due.setdefault(open_request.request.request_number, []).append(due)


def queue_held_hedges(state: RelayState, open_request: OpenRequest) -> None:
    """Queue the hedges that waited for the first answer of their query."""
    if open_request.held_hedges and open_request.answered:
        held, open_request.held_hedges = open_request.held_hedges, []
        due = state.hedges_due.setdefault(open_request.request.request_number, [])
        due.extend(held)


def hedge_stragglers(state: RelayState, open_request: OpenRequest, now_us: int) -> None:
    """Schedule early hedges of the last parts of a query once the others are answered.

    The other parts of the same query predict its answer times better than earlier queries do,
    because the query may have waited for the processor behind another one. Hedges that are
    gathered for another instance are reported once half of them are answered: few parts
    predict little, and a paused server among them must not hold back the answers of the others.
    """
    served = open_request.served
    share = SERVED_HEDGE_SHARE if served is not None and served.is_hedge else STRAGGLER_SHARE
    stragglers = len(open_request.parts) * share
    if (
        open_request.stragglers_hedged
        or open_request.open_parts > stragglers
        or not open_request.open_parts
    ):
        return
    open_request.stragglers_hedged = True
    due_us = now_us + (now_us - open_request.arrived_us) // _STRAGGLER_WAIT_DIVISOR
    if served is not None:
        # The instance that asked for the parts decides on hedges.
        served.overdue_us = min(served.overdue_us, due_us)
        state.timers.add(due_us, TimerKind.REPORT, open_request.request.request_number)
        return
    for part in open_request.parts:
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
    """Give up the open sends of a part; their outcomes are still recorded for the servers.

    :param grace_us: time in microseconds for which the connections stay open for the answers.
    """
    for send_id in part.sends:
        send = state.sends[send_id]
        if not send.abandoned_us:
            send.abandoned_us = now_us
            until_us = now_us + grace_us
            if send.ran_alone and grace_us:
                # Shows whether the server survives, also after a short deadline.
                until_us = max(until_us, send.sent_us + SUSPECT_HANG_US + 1)
            effects.append(AbandonSend(send_id, until_us))


def abandon_request(
    state: RelayState, open_request: OpenRequest, now_us: int, effects: Effects
) -> None:
    """Give up all open sends and gathers of a request that has ended."""
    for part in open_request.parts:
        if part.sends:
            abandon_sends(state, part, now_us, effects)
    for gather_id in open_request.gather_ids:
        gather = state.gathers.pop(gather_id, None)
        if gather is not None:
            effects.append(SendPeer(gather.peer, gather.peer_address, GatherCancel(gather_id)))
    if open_request.served is not None:
        served = open_request.served
        state.served_gathers.pop((served.peer, served.gather_id), None)


def _get_connections(state: RelayState, service: str) -> int:
    rules = state.catalog.services.get(service) if state.catalog is not None else None
    if rules is None:
        return _DEFAULT_CONNECTIONS
    return max(_MIN_CONNECTIONS, rules.connections // _SHARING_INSTANCES)


def _enqueue(state: RelayState, open_request: OpenRequest, part: Part) -> None:
    if not part.waiting:
        part.waiting = True
        rank = choose_rank(open_request.route, open_request.workspace)
        entry = (rank, open_request.request.request_number, part)
        state.waiting.setdefault(part.service, []).append(entry)


@handles_timer(TimerKind.DISPATCH)
def dispatch_service(state: RelayState, key: int, _now_us: int, _effects: Effects) -> None:
    """Try the parts that wait for a reserved server or for a limit again."""
    state.services_to_dispatch.add(state.services_by_timer.pop(key))


def dispatch_waiting(state: RelayState, now_us: int, effects: Effects) -> None:
    """Send waiting parts to servers with room, the urgent ones first, in turns and by age."""
    while state.services_to_dispatch:
        service = state.services_to_dispatch.pop()
        queue = state.waiting.pop(service, None)
        if not queue:
            continue
        queue = order_waiting(state, service, queue)
        for index, (_, request_number, part) in enumerate(queue):
            open_request = state.requests.get(request_number)
            if open_request is None or part.done or part.sends:
                continue
            part.waiting = False
            result = start_send(state, open_request, part, now_us, effects)
            if result is StartResult.NO_SERVER:
                state.unsent_parts.append((request_number, part))
            elif result is StartResult.WAITING:
                rest = [entry for entry in queue[index + 1 :] if entry[1] in state.requests]
                state.waiting.setdefault(service, []).extend(rest)
                break
