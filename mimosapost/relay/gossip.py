"""Gossip between the instances: who is there, and whether the chosen partners answer.

An instance starts from the seeds of its settings, which may be out of date. Every second, and
more often in its first seconds, it pings the partners that it needs. In every other round it
exchanges some known members with a random one. The messages of an instance do not grow with the
fleet.
"""

from __future__ import annotations

from mimosapost.membership.members import Member
from mimosapost.model.effects import SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import Gossip, Hello, MemberReport
from mimosapost.relay.events import InstanceStarted
from mimosapost.relay.expected_gathers import expect_gathers
from mimosapost.relay.feed_choices import list_followers
from mimosapost.relay.feeds import request_feed
from mimosapost.relay.partners import (
    DEMAND_US,
    READY_US,
    PeerState,
    choose_partner,
    record_heard,
)
from mimosapost.relay.registry import (
    Effects,
    TimerKind,
    find_message_handler,
    handles,
    handles_message,
    handles_timer,
)
from mimosapost.relay.state import RelayState
from mimosapost.relay.suspicion import merge_suspects

__all__ = ["announce_leaving", "create_introduction"]

_ROUND_US = 1_000_000
# Shorter rounds after the start: until an instance has met others, it sends every part itself
# and reads the source itself. All instances may start at the same moment under traffic.
_FIRST_ROUND_US = 250_000
_FIRST_ROUNDS = 12
# Time after the start in which another instance tells which requests crash servers. Before that
# no request is sent, because this instance may have refused the same one before its restart.
# A read of the configuration takes about as long.
_INTRODUCTION_US = 150_000
# Members in one message. A report takes about 110 bytes.
_REPORTS = 6
# An instance that knows no member asks a seed in each round; others do so in every 16th round,
# so that two parts of the fleet that forgot each other meet again.
_SEED_ROUNDS = 16


@handles(InstanceStarted)
def start_gossip(state: RelayState, event: InstanceStarted, effects: Effects) -> None:
    """Start the rounds of gossip if the instance has a peer address."""
    state.started_us = event.now_us
    if state.peers is None:
        return
    own_address = state.peers.own.peer_address
    if any(address != own_address for address in state.peers.seed_addresses):
        state.is_introduced = False
        state.timers.add(event.now_us + _INTRODUCTION_US, TimerKind.INTRODUCTION)
    run_gossip_round(state, 0, event.now_us, effects)


@handles_timer(TimerKind.INTRODUCTION)
def end_introduction(state: RelayState, _key: int, _now_us: int, effects: Effects) -> None:
    """Admit requests although no other instance has answered since the start."""
    if not state.is_introduced:
        state.is_introduced = True
        effects.append(
            WriteLog("introduction_missed", (("waited_ms", _INTRODUCTION_US // 1_000),))
        )


@handles_timer(TimerKind.GOSSIP)
def run_gossip_round(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Ping the partners, exchange members with a random instance, and ask a seed if alone."""
    peers = state.peers
    peers.round_number += 1
    round_us = _FIRST_ROUND_US if peers.round_number <= _FIRST_ROUNDS else _ROUND_US
    state.timers.add(now_us + round_us, TimerKind.GOSSIP)
    peers.members.delete_silent(now_us)
    expect_gathers(state, now_us)
    pinged = {
        partner.name: partner
        for domain, demanded_us in peers.demanded_us.items()
        if now_us - demanded_us < DEMAND_US
        and (partner := _update_partner(peers, domain, now_us, effects)) is not None
        and not state.stop_requested_us
    }
    for partner in pinged.values():
        effects.append(
            _create_gossip(state, partner.name, partner.peer_address, (), True, now_us)
        )
    if peers.round_number % 2:
        reports = peers.members.choose_reports(state.rng, _REPORTS, now_us)
        for member in peers.members.choose_targets(state.rng, 1):
            if member.name not in pinged:
                effects.append(
                    _create_gossip(
                        state, member.name, member.peer_address, reports, True, now_us
                    )
                )
    _ask_seed(state, now_us, effects)
    request_feed(state, now_us, effects)


def _update_partner(
    peers: PeerState, domain: str, now_us: int, effects: Effects
) -> Member | None:
    previous = peers.partners.get(domain)
    partner = choose_partner(peers, domain, now_us)
    if partner is None:
        peers.partners.pop(domain, None)
    else:
        peers.partners[domain] = partner
    name = partner.name if partner is not None else ""
    if name != (previous.name if previous is not None else ""):
        fields = (("domain", domain), ("partner", name))
        effects.append(WriteLog("partner_chosen", fields))
    return partner


def _ask_seed(state: RelayState, now_us: int, effects: Effects) -> None:
    peers = state.peers
    members = peers.members.list_members()
    seeds = [a for a in peers.seed_addresses if a != peers.own.peer_address]
    if not seeds or (members and peers.round_number % _SEED_ROUNDS):
        return
    address = seeds[peers.round_number // (_SEED_ROUNDS if members else 1) % len(seeds)]
    names = [member.name for member in members if member.peer_address == address]
    effects.append(_create_gossip(state, names[0] if names else "", address, (), True, now_us))


def _create_gossip(
    state: RelayState,
    name: str,
    address: str,
    reports: tuple[MemberReport, ...],
    reply_wanted: bool,
    now_us: int,
) -> SendPeer:
    leaving = bool(state.stop_requested_us)
    suspects = state.suspects.export(now_us)
    message = Gossip(state.peers.own, leaving, (), suspects, reply_wanted, (), reports)
    return SendPeer(name, address, message)


def create_introduction(
    state: RelayState, name: str, other: str, now_us: int
) -> SendPeer | None:
    """Create the message that tells one instance of another; ``None`` if one is unknown."""
    member = state.peers.members.find_by_name(name)
    report = state.peers.members.create_report(other, now_us)
    if member is None or report is None:
        return None
    return _create_gossip(state, name, member.peer_address, (report,), False, now_us)


def announce_leaving(state: RelayState, now_us: int, effects: Effects) -> None:
    """Tell the instances that lately pinged or follow this one that it is stopping."""
    if state.peers is None:
        return
    names = {name for name, at_us in state.peers.pinged_us.items() if now_us - at_us < READY_US}
    names |= {name for name, _ in list_followers(state.feed, now_us)}
    for name in sorted(names):
        member = state.peers.members.find_by_name(name)
        if member is not None:
            effects.append(_create_gossip(state, name, member.peer_address, (), False, now_us))


@handles(PeerMessageArrived)
def handle_message(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Handle a message of another instance; kinds that the relay does not use are ignored."""
    handler = find_message_handler(type(event.message))
    if handler is None or state.peers is None:
        fields = (("peer", event.peer), ("kind", type(event.message).__name__))
        effects.append(WriteLog("peer_message_ignored", fields))
        return
    state.limits.heard_us[event.peer] = event.now_us
    handler(state, event, effects)


@handles_message(Hello)
def handle_hello(state: RelayState, event: PeerMessageArrived, _effects: Effects) -> None:
    """Record the identity at the other end of a new link."""
    if state.peers.belongs(event.message.identity):
        state.peers.members.record_hello(event.message.identity, event.now_us)


@handles_message(Gossip)
def handle_gossip(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Record the sender and the members that it reports, and reply if it asks for that."""
    peers, message, now_us = state.peers, event.message, event.now_us
    if not peers.belongs(message.identity):
        effects.append(WriteLog("peer_not_of_fleet", (("peer", event.peer),)))
        return
    peers.members.record_gossip(message, now_us)
    merge_suspects(state, message.suspects, now_us, effects)
    state.is_introduced = True
    for report in message.members:
        if peers.belongs(report.identity):
            peers.members.record_report(report, now_us)
    if message.leaving:
        _release_partner(state, event.peer, now_us, effects)
        return
    if not message.reply_wanted:
        record_heard(peers, event.peer, now_us)
        return
    # An instance that pings every second already knows the members, so most replies to it
    # hold none.
    pinged_us = peers.pinged_us.get(event.peer)
    is_regular = pinged_us is not None and now_us - pinged_us < READY_US
    peers.pinged_us[event.peer] = now_us
    wants_reports = message.members or not is_regular or not peers.round_number % _SEED_ROUNDS
    limit = _REPORTS if wants_reports else 0
    reports = peers.members.choose_reports(state.rng, limit, now_us)
    address = message.identity.peer_address
    effects.append(_create_gossip(state, event.peer, address, reports, False, now_us))


def _release_partner(state: RelayState, name: str, now_us: int, effects: Effects) -> None:
    peers = state.peers
    for domain in [d for d, partner in peers.partners.items() if partner.name == name]:
        partner = _update_partner(peers, domain, now_us, effects)
        if partner is not None:
            effects.append(
                _create_gossip(state, partner.name, partner.peer_address, (), True, now_us)
            )
