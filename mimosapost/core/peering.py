"""Messages between instances: heartbeats, gossip, subtrees and forwarded queries."""

from __future__ import annotations

from collections.abc import Callable

from mimosapost.core import admission, configuration, forwarding
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import State
from mimosapost.model.effects import SendPeer, WriteLog
from mimosapost.model.events import PeerLost, PeerMessageArrived
from mimosapost.model.messages import (
    Forward,
    ForwardAnswer,
    Gossip,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    PeerMessage,
    SubtreeReply,
    SubtreeRequest,
)

__all__ = ["finish_join", "send_gossip", "send_heartbeats", "tell_suspects"]

# Up to 16 changes travel in a message. A settled fleet sends 4 notes on servers in turn: 16
# notes of 72 bytes to 3 peers twice a second were half of the 14 KB/s that control may send.
WARMUP_NOTES = 16
UNCHANGED_WARMUP_NOTES = 4
# All peers of a deployment of today; more hear of a suspect in the following rounds.
SUSPECT_FANOUT = 8

MessageFunction = Callable[[State, str, PeerMessage, int, Effects], None]
_RECEIVERS: dict[type, MessageFunction] = {}


def receives(message_type: type) -> Callable[[MessageFunction], MessageFunction]:
    """Register the function that receives a kind of message."""

    def decorate(function: MessageFunction) -> MessageFunction:
        _RECEIVERS[message_type] = function
        return function

    return decorate


@handles(PeerMessageArrived)
def handle_peer_message(state: State, event: PeerMessageArrived, effects: Effects) -> None:
    """Pass a message to the receiver of its kind."""
    _RECEIVERS[type(event.message)](state, event.peer, event.message, event.now_us, effects)


@handles(PeerLost)
def handle_peer_lost(state: State, event: PeerLost, effects: Effects) -> None:
    """Answer what was forwarded over the lost link."""
    forwarding.fail_forwards(state, event.peer, event.now_us, effects)


def send_heartbeats(state: State, now_us: int, effects: Effects) -> None:
    """Send a heartbeat to each witness of this instance's seat."""
    heartbeat = state.leases.create_heartbeat(now_us)
    for seat in state.leases.choose_witnesses():
        member = state.members.find_seat(seat)
        if member is not None:
            effects.append(SendPeer(member.name, member.peer_address, heartbeat))


def send_gossip(state: State, now_us: int, effects: Effects) -> None:
    """Send gossip to random members, and to the seed peers until this instance joined."""
    leaving = bool(state.stop_requested_us)
    suspects = state.suspects.export(now_us)
    warmups = state.warmup.export_notes(now_us, WARMUP_NOTES, UNCHANGED_WARMUP_NOTES)
    sends = state.exchange.start_round(now_us, leaving, suspects, warmups)
    effects.extend(sends)
    if not state.joined:
        reached = {send.address for send in sends}
        gossip = Gossip(state.identity, leaving, state.configs.versions(), (), True)
        for address in state.seed_peers:
            if address not in reached:
                effects.append(SendPeer("", address, gossip))
        effects.extend(state.exchange.request_all())


@receives(Hello)
@receives(Gossip)
@receives(SubtreeRequest)
@receives(SubtreeReply)
def receive_exchange(
    state: State, peer: str, message: PeerMessage, now_us: int, effects: Effects
) -> None:
    """Pass a message about members and configuration to the exchange."""
    if isinstance(message, Hello | Gossip):
        state.peer_addresses[peer] = message.identity.peer_address
    if isinstance(message, Gossip):
        state.suspects.merge(message.suspects, now_us)
        state.warmup.merge_notes(message.warmups, now_us)
    outcome = state.exchange.handle(peer, message, now_us)
    configuration.apply_outcome(state, outcome, now_us, effects)


@receives(Heartbeat)
def receive_heartbeat(
    state: State, peer: str, message: Heartbeat, now_us: int, effects: Effects
) -> None:
    """Answer as a witness."""
    answer = state.leases.answer_heartbeat(message, now_us)
    effects.append(SendPeer(peer, state.peer_addresses.get(peer, ""), answer))


@receives(HeartbeatAnswer)
def receive_heartbeat_answer(
    state: State, peer: str, message: HeartbeatAnswer, now_us: int, effects: Effects
) -> None:
    """Record the answer of a witness."""
    state.leases.record_answer(message, now_us)


@receives(Forward)
def receive_forward(
    state: State, peer: str, message: Forward, now_us: int, effects: Effects
) -> None:
    """Run a query that was forwarded to this instance as the issuer of its ticket."""
    query = forwarding.read_forward(state, peer, message, now_us)
    if query is not None:
        admission.accept_query(state, query, now_us, effects)


@receives(ForwardAnswer)
def receive_forward_answer(
    state: State, peer: str, message: ForwardAnswer, now_us: int, effects: Effects
) -> None:
    """Deliver the answer to a query that this instance forwarded."""
    forwarding.read_forward_answer(state, peer, message, now_us, effects)


def tell_suspects(state: State, now_us: int, effects: Effects) -> None:
    """Tell peers of the suspects of a crash at once instead of in the next round."""
    suspects = state.suspects.export(now_us)
    leaving = bool(state.stop_requested_us)
    gossip = Gossip(state.identity, leaving, (), suspects, False)
    for member in state.members.choose_targets(state.rng, SUSPECT_FANOUT):
        effects.append(SendPeer(member.name, member.peer_address, gossip))


def finish_join(state: State, now_us: int, effects: Effects) -> None:
    """Start serving after several rounds of gossip with the seed peers.

    A new instance that trusted a stale configuration service alone could go back to an older
    configuration than the one its peers have in force. The wait costs nothing, because the
    lease table allows no send for a longer time after the start.
    """
    if not state.joined and now_us - state.started_us >= state.policy.join_us:
        state.joined = True
        effects.append(WriteLog("instance_joined", (("peers", len(state.peer_addresses)),)))
