"""Gathers at other instances, for parts whose servers are in another failure domain.

Load pattern: a query has parts at dozens of shards, and many of their servers are in another
domain or region, where each part would cross the same link. One message goes to an instance
there instead. It sends each part once, merges the answers and reports the others. Hedges and
retries stay here, so that the limits on sends of a query are counted in one place, and a part
that another instance may have sent has one send left if that instance fails.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mimosapost.membership.members import Member
from mimosapost.model.effects import IncrementCounter, ObserveDuration, SendPeer, WriteLog
from mimosapost.model.events import PeerLost, PeerMessageArrived
from mimosapost.model.peer_messages import Gather, GatherAnswer
from mimosapost.relay.completion import (
    CRASHED_REASON,
    check_progress,
    count_answered,
    fail_part,
)
from mimosapost.relay.feeds import release_reader
from mimosapost.relay.latency_pools import get_distance
from mimosapost.relay.partners import (
    find_partner,
    record_gathered,
    record_heard,
    record_peer_failure,
)
from mimosapost.relay.rate_limits import take_send
from mimosapost.relay.registry import (
    Effects,
    TimerKind,
    handles,
    handles_message,
    handles_timer,
)
from mimosapost.relay.repeats import get_report_delay_us
from mimosapost.relay.send_outcomes import retry_or_fail
from mimosapost.relay.sends import (
    StartResult,
    abandon_sends,
    hedge_stragglers,
    queue_hedge,
    queue_held_hedges,
    start_send,
)
from mimosapost.relay.served_gathers import cancel_gathers_for
from mimosapost.relay.server_selection import ServerRecord, record_failure
from mimosapost.relay.state import GatheredParts, OpenGather, OpenRequest, Part, RelayState

__all__ = ["MIN_GATHERED_PARTS", "PlannedPart", "assign_domains", "start_gather"]

#: Fewer parts than this are sent directly, which takes one hop less, by distance class. A
#: gather of two parts already crosses the link between regions with half of the bytes.
MIN_GATHERED_PARTS = (3, 3, 2)
# Round trip to an instance in microseconds, by distance class, and time for its reducer. A
# partner that has not reported anything after this time and its report delay has failed.
_ROUND_TRIP_US = (1_000, 4_000, 26_000)
_REPORT_MARGIN_US = 10_000

ChosenPart = tuple[Part, ServerRecord]


@dataclass(frozen=True, slots=True)
class PlannedPart:
    """A part that is about to be sent.

    :param choices: the best server, then those that are about as quick.
    """

    part: Part
    choices: tuple[ServerRecord, ...]


def assign_domains(
    own_domain: str, planned: Iterable[PlannedPart], has_partner: Callable[[str], bool]
) -> tuple[dict[str, list[ChosenPart]], list[ChosenPart]]:
    """Choose the parts that are gathered at other instances, and a server for each part.

    Load pattern: several domains far away have equally quick servers of a shard. Parts that
    may go to any of them go to the same one, so that a query crosses the link once.

    :param own_domain: domain of this instance, whose servers receive direct sends.
    :param has_partner: returns whether an instance of a domain can gather.
    :returns: the parts to gather by failure domain, and those to send directly.
    """
    planned = list(planned)
    options: dict[str, dict[int, ChosenPart]] = {}
    for entry in planned:
        for record in entry.choices:
            if record.server.domain != own_domain:
                domain_options = options.setdefault(record.server.domain, {})
                domain_options.setdefault(entry.part.shard, (entry.part, record))
    domains: dict[str, list[ChosenPart]] = {}
    gathered: set[int] = set()
    while options:
        domain = max(options, key=lambda name: len(options[name]))
        entries = options.pop(domain)
        if not entries:
            break
        distance = next(iter(entries.values()))[1].distance
        if len(entries) < MIN_GATHERED_PARTS[distance] or not has_partner(domain):
            continue
        domains[domain] = list(entries.values())
        gathered |= entries.keys()
        for others in options.values():
            for shard in entries:
                others.pop(shard, None)
    direct = [(e.part, e.choices[0]) for e in planned if e.part.shard not in gathered]
    return domains, direct


def start_gather(
    state: RelayState,
    open_request: OpenRequest,
    domain: str,
    entries: list[ChosenPart],
    now_us: int,
    effects: Effects,
    is_hedge: bool = False,
) -> None:
    """Gather parts at the partner of a domain.

    :param is_hedge: whether the parts were sent before and paid from the budget for repeats.
    """
    partner = find_partner(state.peers, domain, now_us)
    gather = _create_gather(state, open_request, partner, entries, is_hedge, now_us)
    for part, record in entries:
        part.gather_ids.append(gather.gather_id)
        part.possible_runs += 1
        part.tried_servers.append(record.server.server_id)
        take_send(state, record, now_us)
        if not part.is_counted:
            part.is_counted = True
            state.get_budget(part.service).earn()
    request = open_request.request
    message = Gather(
        gather.gather_id,
        open_request.version,
        open_request.route.name,
        request.request_id,
        request.head,
        request.body,
        request.fingerprint,
        max(0, open_request.deadline_us - now_us),
        tuple(gather.parts),
        is_hedge,
        open_request.workspace.name if open_request.workspace is not None else "",
    )
    effects.append(SendPeer(partner.name, partner.peer_address, message))
    fields = (
        ("request", request.request_id),
        ("partner", partner.name),
        ("domain", domain),
        ("parts", len(entries)),
        ("hedge", is_hedge),
        ("heard_ms", (now_us - state.peers.heard_us[partner.name]) // 1_000),
    )
    effects.append(WriteLog("gather_sent", fields))
    _count(effects, "sent")
    silent_us = (
        get_report_delay_us(open_request.route.goal_us)
        + _ROUND_TRIP_US[gather.distance]
        + _REPORT_MARGIN_US
    )
    state.timers.add(now_us + silent_us, TimerKind.GATHER, gather.gather_id)


def _create_gather(
    state: RelayState,
    open_request: OpenRequest,
    partner: Member,
    entries: list[ChosenPart],
    is_hedge: bool,
    now_us: int,
) -> OpenGather:
    gather_id, state.next_gather_id = state.next_gather_id, state.next_gather_id + 1
    own, identity = state.peers.own, partner.identity
    gather = OpenGather(
        gather_id,
        open_request.request.request_number,
        partner.name,
        partner.peer_address,
        get_distance(own.domain, own.region, identity.domain, identity.region),
        now_us,
        {part.shard: (part, record) for part, record in sorted(entries, key=_get_shard)},
        is_hedge,
    )
    state.gathers[gather_id] = gather
    open_request.gather_ids.append(gather_id)
    return gather


def _get_shard(entry: ChosenPart) -> int:
    return entry[0].shard


@handles_message(GatherAnswer)
def handle_gather_answer(
    state: RelayState, event: PeerMessageArrived, effects: Effects
) -> None:
    """Apply the parts that another instance gathered, and repeat those that it could not."""
    answer, now_us = event.message, event.now_us
    record_heard(state.peers, event.peer, now_us)
    gather = state.gathers.get(answer.gather_id)
    if gather is None or gather.peer != event.peer:
        # The request has ended, so that nothing waits for this answer.
        _count(effects, "late")
        return
    if not gather.parts.keys() >= {*answer.shards, *answer.failed}:
        fields = (("peer", event.peer), ("reason", "shards that were not asked for"))
        effects.append(WriteLog("gather_answer_refused", fields))
        record_peer_failure(state.peers, event.peer, now_us)
        _give_up(state, gather, "answer_refused", now_us, effects)
        return
    gather.is_reported |= answer.is_overdue
    if answer.refusal:
        _handle_refusal(state, gather, answer.refusal, now_us, effects)
        return
    record_gathered(state.peers, event.peer)
    open_request = state.requests[gather.request_number]
    if answer.shards:
        _accept_parts(state, open_request, gather, answer, now_us, effects)
    if answer.last:
        _count(effects, "answered")
        distance = str(gather.distance)
        elapsed_us = now_us - gather.sent_us
        effects.append(ObserveDuration("mimosapost_relay_gather_seconds", distance, elapsed_us))
        state.gathers.pop(gather.gather_id, None)
    for index in answer.failed:
        part, record = gather.parts.pop(index)
        part.gather_ids.remove(gather.gather_id)
        if index in answer.not_run:
            part.possible_runs -= 1
            part.rejections += 1
            if gather.is_hedge:
                state.get_budget(part.service).refund()
        record_failure(record, now_us)
        _repeat_part(
            state, open_request, part, gather.sent_us, "gather_failed", now_us, effects
        )
    if _is_open(state, open_request):
        check_progress(state, open_request, now_us, effects)
    if not _is_open(state, open_request):
        return
    hedge_stragglers(state, open_request, now_us)
    queue_held_hedges(state, open_request)
    if answer.is_overdue:
        _hedge_gathered_parts(state, open_request, gather, now_us)


def _accept_parts(
    state: RelayState,
    open_request: OpenRequest,
    gather: OpenGather,
    answer: GatherAnswer,
    now_us: int,
    effects: Effects,
) -> None:
    shards = frozenset(answer.shards)
    open_request.gathered_parts.append(GatheredParts(shards, answer.signatures, answer.records))
    for index in answer.shards:
        part, _ = gather.parts.pop(index)
        part.gather_ids.remove(gather.gather_id)
        part.gathered = True
        if not part.done:
            part.done = True
            part.answered_us = now_us
            open_request.open_parts -= 1
            abandon_sends(state, part, now_us, effects)
    open_request.answered = count_answered(open_request)


def _is_open(state: RelayState, open_request: OpenRequest) -> bool:
    return open_request.request.request_number in state.requests


def _handle_refusal(
    state: RelayState, gather: OpenGather, reason: str, now_us: int, effects: Effects
) -> None:
    """Send the parts of a gather that was refused before anything was sent."""
    open_request = state.requests[gather.request_number]
    fields = (
        ("request", open_request.request.request_id),
        ("peer", gather.peer),
        ("reason", reason),
        ("parts", len(gather.parts)),
    )
    effects.append(WriteLog("gather_refused", fields))
    _count(effects, "refused")
    del state.gathers[gather.gather_id]
    for part, record in gather.parts.values():
        part.gather_ids.remove(gather.gather_id)
        part.possible_runs -= 1
        part.tried_servers.remove(record.server.server_id)
        if gather.is_hedge:
            state.get_budget(part.service).refund()
        if part.done or not _is_open(state, open_request):
            continue
        if part.is_sent:
            server_id, waited_us = record.server.server_id, now_us - gather.sent_us
            queue_hedge(state, open_request, part, server_id, waited_us, 0, is_direct=True)
            continue
        if reason == CRASHED_REASON:
            fail_part(state, open_request, part, reason, now_us, effects)
        elif start_send(state, open_request, part, now_us, effects) is StartResult.NO_SERVER:
            fail_part(state, open_request, part, "no_server", now_us, effects)


def _repeat_part(
    state: RelayState,
    open_request: OpenRequest,
    part: Part,
    sent_us: int,
    reason: str,
    now_us: int,
    effects: Effects,
) -> None:
    if not part.done and not part.is_sent and _is_open(state, open_request):
        server_id, waited_us = part.tried_servers[-1], now_us - sent_us
        retry_or_fail(state, open_request, part, server_id, waited_us, reason, now_us, effects)


def _hedge_gathered_parts(
    state: RelayState, open_request: OpenRequest, gather: OpenGather, now_us: int
) -> None:
    usual_us = state.get_pools(open_request.route)[gather.distance].slow_us
    for part, record in gather.parts.values():
        server_id, waited_us = record.server.server_id, now_us - gather.sent_us
        queue_hedge(state, open_request, part, server_id, waited_us, usual_us)


@handles_timer(TimerKind.GATHER)
def handle_silent_partner(
    state: RelayState, gather_id: int, now_us: int, effects: Effects
) -> None:
    """Hedge the parts of a gather whose partner has reported nothing in time."""
    gather = state.gathers.get(gather_id)
    if gather is None or gather.is_reported:
        return
    open_request = state.requests[gather.request_number]
    fields = (
        ("request", open_request.request.request_id),
        ("peer", gather.peer),
        ("parts", len(gather.parts)),
        ("waited_ms", (now_us - gather.sent_us) // 1_000),
    )
    effects.append(WriteLog("gather_silent", fields))
    _count(effects, "silent")
    record_peer_failure(state.peers, gather.peer, now_us)
    _hedge_gathered_parts(state, open_request, gather, now_us)


@handles(PeerLost)
def handle_peer_lost(state: RelayState, event: PeerLost, effects: Effects) -> None:
    """Give up the gathers and the feed of an instance whose link broke, and gathers for it."""
    if state.peers is None or not event.peer:
        return
    record_peer_failure(state.peers, event.peer, event.now_us)
    release_reader(state, event.peer, event.now_us)
    for gather in [g for g in state.gathers.values() if g.peer == event.peer]:
        _give_up(state, gather, "peer_lost", event.now_us, effects)
    cancel_gathers_for(state, event.peer, event.now_us, effects)


def _give_up(
    state: RelayState, gather: OpenGather, reason: str, now_us: int, effects: Effects
) -> None:
    """Repeat the parts of a gather that brings no further answers."""
    open_request = state.requests.get(gather.request_number)
    state.gathers.pop(gather.gather_id, None)
    if open_request is None:
        return
    fields = (
        ("request", open_request.request.request_id),
        ("peer", gather.peer),
        ("reason", reason),
        ("parts", len(gather.parts)),
    )
    effects.append(WriteLog("gather_lost", fields))
    _count(effects, "lost")
    for part, _ in gather.parts.values():
        part.gather_ids.remove(gather.gather_id)
    for part, _ in gather.parts.values():
        _repeat_part(state, open_request, part, gather.sent_us, reason, now_us, effects)


def _count(effects: Effects, outcome: str) -> None:
    effects.append(IncrementCounter("mimosapost_relay_gathers_total", (("outcome", outcome),)))
