"""Timers and housekeeping: work that no external event triggers."""

from __future__ import annotations

from collections.abc import Callable

from mimosapost.core import (
    admission,
    broadcasts,
    failures,
    fanout,
    finish,
    forwarding,
    slots,
    stopping,
)
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import ServerState, State
from mimosapost.core.timers import TimerKind
from mimosapost.model.effects import CancelSend, CloseConnections, OpenProbe
from mimosapost.model.events import Ticked
from mimosapost.routing.silence_detection import SilenceAction

__all__ = ["arm_periodic_timers", "fire_due_timers", "use_freed_allowances"]

TimerFunction = Callable[[State, int, int, Effects], None]

_TIMERS: dict[TimerKind, TimerFunction] = {}
# After a pause of the process no hedge is sent for this time, in which the answers that arrived
# during the pause are read.
_RESUME_GRACE_US = 20_000


def fires(kind: TimerKind) -> Callable[[TimerFunction], TimerFunction]:
    """Register the decorated function to run when a timer of a kind is due."""

    def decorate(function: TimerFunction) -> TimerFunction:
        _TIMERS[kind] = function
        return function

    return decorate


def arm_periodic_timers(state: State) -> None:
    """Add the first timer of each periodic kind."""
    now_us = state.started_us
    state.timers.add(now_us + state.policy.housekeeping_us, TimerKind.HOUSEKEEPING)
    state.timers.add(now_us, TimerKind.HEARTBEAT)
    state.timers.add(now_us, TimerKind.GOSSIP)


@handles(Ticked)
def handle_ticked(state: State, event: Ticked, effects: Effects) -> None:
    """Fire all timers that are due."""
    fire_due_timers(state, event.now_us, effects)


def fire_due_timers(state: State, now_us: int, effects: Effects) -> None:
    """Fire all timers that are due, in the order of their due times."""
    # A timer that fires is added again only for a time after now, so the loop ends.
    while (due := state.timers.pop_due(now_us)) is not None:
        kind, key = due
        _TIMERS[kind](state, key, now_us, effects)
    state.timers.armed_us = 0


@fires(TimerKind.QUERY_DEADLINE)
def end_query(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Answer a query at its deadline with the partial results that have arrived."""
    open_query = state.queries.get(key)
    if open_query is not None:
        finish.finish_at_deadline(state, open_query, now_us, effects)
    else:
        finish.expire_joined(state, key, now_us, effects)


@fires(TimerKind.FORWARD_DEADLINE)
def end_forward(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Answer a forwarded query whose issuer has not answered by the deadline."""
    forwarding.expire_forward(state, key, now_us, effects)


@fires(TimerKind.HEDGE)
def hedge_open_send(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Hedge a send that is still open, unless the process has just resumed from a pause."""
    if now_us - state.resumed_us < _RESUME_GRACE_US and key in state.sends:
        state.timers.add(now_us + _RESUME_GRACE_US, TimerKind.HEDGE, key)
        return
    fanout.hedge_send(state, key, now_us, effects)


@fires(TimerKind.RETRY)
def retry_after_hold(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Retry the leafs that were held back after a server broke its connections."""
    failures.retry_held_leafs(state, key, now_us, effects)


@fires(TimerKind.HEARTBEAT)
def renew_lease(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Ask the witnesses to acknowledge this instance's lease."""
    broadcasts.send_heartbeats(state, now_us, effects)
    state.timers.add(now_us + state.policy.heartbeat_us, TimerKind.HEARTBEAT)


@fires(TimerKind.GOSSIP)
def gossip_with_peers(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Send configuration versions, suspects and warm-up notes to some peers."""
    broadcasts.send_gossip(state, now_us, effects)
    state.timers.add(now_us + state.policy.heartbeat_us, TimerKind.GOSSIP)


@fires(TimerKind.HOUSEKEEPING)
def run_housekeeping(state: State, key: int, now_us: int, effects: Effects) -> None:
    """Probe servers, detect silent ones, and serve queues whose limits may have changed."""
    state.timers.add(now_us + state.policy.housekeeping_us, TimerKind.HOUSEKEEPING)
    broadcasts.finish_join(state, now_us, effects)
    for server in list(state.servers.values()):
        if failures.forget_if_unused(state, server):
            continue
        if server.down and slots.is_server_eligible(state, server):
            failures.probe_server(server, now_us, effects)
        if server.sends:
            _check_silence(state, server, now_us, effects)
    fanout.send_all_waiting_leafs(state, now_us, effects)
    for service in list(state.services.values()):
        if service.queue.has_pending_work:
            admission.start_queued_queries(state, service, now_us, effects)
    stopping.finish_stop(state, now_us, effects)


def _check_silence(state: State, server: ServerState, now_us: int, effects: Effects) -> None:
    match state.silence.choose_action(server.address, now_us):
        case SilenceAction.PROBE:
            if not server.probing:
                server.probing = True
                effects.append(OpenProbe(server.address))
        case SilenceAction.CLOSE:
            effects.append(CloseConnections(server.address))
            close_sends(state, state.silence.pop_silent_sends(server.address), effects)
        case SilenceAction.DEAD:
            failures.mark_down(state, server, now_us, effects)
            close_sends(state, tuple(sorted(server.sends)), effects)
        case _:
            pass


def close_sends(state: State, send_ids: tuple[int, ...], effects: Effects) -> None:
    """Close the connections of sends, whose failures then retry or give up their leafs."""
    for send_id in send_ids:
        send = state.sends.get(send_id)
        if send is not None and not send.closing:
            send.closing = True
            effects.append(CancelSend(send_id, close=True))


def use_freed_allowances(state: State, now_us: int, effects: Effects) -> None:
    """Start queued queries and waiting leafs with the allowances that an event freed."""
    while state.dirty_servers or state.dirty_services:
        servers, state.dirty_servers = state.dirty_servers, set()
        services, state.dirty_services = state.dirty_services, set()
        for address in sorted(servers):
            server = state.servers[address]
            if len(server.waiting):
                fanout.send_waiting_leafs(state, server, now_us, effects)
        for name in sorted(services):
            service = state.services.get(name)
            if service is not None and service.queue.has_pending_work:
                admission.start_queued_queries(state, service, now_us, effects)
