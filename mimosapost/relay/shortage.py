"""Decisions while services are short of room: admission and refusal.

Load pattern: requests of several ranks compete for servers that can't run all of them in time.
The less urgent ones are refused at once, unsent, with the time at which room is expected; the
urgent ones are sent as usual. A query is sent whole or not at all. While no service is short,
nothing here costs more than one count.
"""

from __future__ import annotations

import xxhash

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter
from mimosapost.relay.catalog import choose_rank
from mimosapost.relay.completion import refuse_request
from mimosapost.relay.eligibility import is_usable
from mimosapost.relay.messages import Refusal, ServerAnswer
from mimosapost.relay.registry import Effects
from mimosapost.relay.return_times import MIN_RETURN_US, is_early, plan_return
from mimosapost.relay.room import (
    Admission,
    RouteDemand,
    choose_admission,
    count_arrival,
    record_send,
)
from mimosapost.relay.server_selection import ServerRecord, estimate_us
from mimosapost.relay.state import OpenRequest, OpenSend, RelayState

__all__ = ["admit_within_room", "record_answer", "record_rejection"]

# Share of a route's latency objective after which an answer of a server with a queue is late.
_LATE_SHARE = 0.5
# Time for which a load report shows how full a server is, in microseconds.
_REPORT_VALID_US = 1_000_000


def record_answer(
    state: RelayState, send: OpenSend, answer: ServerAnswer, elapsed_us: int, now_us: int
) -> None:
    """Record whether an answer was late because the servers of its service were busy."""
    service = send.record.server.service
    is_late = (
        answer.load is not None
        and answer.load.waiting > 0
        and elapsed_us > send.goal_us * _LATE_SHARE
    )
    if is_late or service in state.room.services:
        is_short = is_late and not _has_server_in_time(state, send, now_us)
        record_send(state.room, service, is_short, now_us)


def record_rejection(state: RelayState, send: OpenSend, now_us: int) -> None:
    """Record a send that a full server rejected."""
    service = send.record.server.service
    is_short = not _has_server_in_time(state, send, now_us)
    record_send(state.room, service, is_short, now_us)


def _has_server_in_time(state: RelayState, send: OpenSend, now_us: int) -> bool:
    """Return whether some server of the service is expected to answer such a send in time.

    One that pauses is covered by a hedge to another one, which is no lack of room.
    """
    records = state.by_service.get(send.record.server.service, ())
    return any(_is_in_time(state, send, record, now_us) for record in records)


def _is_in_time(state: RelayState, send: OpenSend, record: ServerRecord, now_us: int) -> bool:
    if not is_usable(state, record, now_us) or record.is_hung(now_us):
        return False
    expected_us = estimate_us(record, send.pool, now_us)
    if record.load is not None and now_us - record.load_us < _REPORT_VALID_US:
        # The choice of servers ignores older reports, which still show whether all are full.
        rounds = (record.load.running + record.load.waiting + 1) / record.server.slots
        expected_us = max(expected_us, send.pool.median_us * record.latency_ratio * rounds)
    return expected_us <= send.goal_us * _LATE_SHARE


def admit_within_room(
    state: RelayState,
    open_request: OpenRequest,
    usable_parts: int,
    now_us: int,
    effects: Effects,
) -> bool:
    """Refuse a request for which there is no room.

    :param usable_parts: number of parts that have a usable server.
    :returns: whether the request is to be sent.
    """
    request, route = open_request.request, open_request.route
    services = route.shards or tuple(name for name, _ in route.split)
    left_us = min(request.deadline_us - now_us, route.timeout_us)
    rank = choose_rank(route, open_request.workspace)
    demand = count_arrival(state.room, route, rank, services, left_us, now_us)
    if not state.room.services:
        return True
    required = max(1.0, len(open_request.parts) * route.min_coverage)
    admission = choose_admission(
        state.room,
        demand,
        [part.service for part in open_request.parts],
        max(0.0, usable_parts - required),
        _get_place(request.request_id),
        demand.usual_left_us - left_us >= MIN_RETURN_US,
        now_us,
    )
    if admission.is_admitted:
        return True
    _refuse(state, open_request, demand, admission, now_us, effects)
    return False


def _get_place(request_id: str) -> float:
    return xxhash.xxh32_intdigest(request_id.encode("latin-1", "replace")) / 2**32


def _refuse(
    state: RelayState,
    open_request: OpenRequest,
    demand: RouteDemand,
    admission: Admission,
    now_us: int,
    effects: Effects,
) -> None:
    request, route = open_request.request, open_request.route
    early = is_early(state.returns, request, now_us)
    group = min(demand.services)
    retry_us = plan_return(
        state.returns,
        group,
        demand.rank,
        request,
        admission.room_us,
        admission.per_second,
        now_us,
        early,
    )
    refusal = Refusal(ResultCode.OVERLOADED, retry_us, "no room")
    fields = (
        ("route", route.name),
        ("rank", demand.rank),
        ("scarce", admission.scarce),
        ("room_ms", admission.room_us // 1_000),
        ("early", early),
    )
    refuse_request(state, request.request_number, request.request_id, refusal, effects, fields)
    labels = (("rank", str(demand.rank)), ("early", str(early).lower()))
    effects.append(IncrementCounter("mimosapost_relay_room_refusals_total", labels))
