"""Receivers of peer messages: heartbeats, gossip, subtrees and forwarded queries."""

from __future__ import annotations

from collections.abc import Callable

from mimosapost.core import admission, configuration, forwarding
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import State
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import PeerLost, PeerMessageArrived
from mimosapost.model.peer_messages import (
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

__all__: list[str] = []

MessageFunction = Callable[[State, str, PeerMessage, int, Effects], None]
_RECEIVERS: dict[type, MessageFunction] = {}


def receives(message_type: type) -> Callable[[MessageFunction], MessageFunction]:
    """Register the receiver of a message type."""

    def decorate(function: MessageFunction) -> MessageFunction:
        _RECEIVERS[message_type] = function
        return function

    return decorate


@handles(PeerMessageArrived)
def handle_peer_message(state: State, event: PeerMessageArrived, effects: Effects) -> None:
    """Pass a message to the receiver of its type."""
    _RECEIVERS[type(event.message)](state, event.peer, event.message, event.now_us, effects)


@handles(PeerLost)
def handle_peer_lost(state: State, event: PeerLost, effects: Effects) -> None:
    """Answer the queries that were forwarded over the lost link."""
    forwarding.fail_forwards(state, event.peer, event.now_us, effects)


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
    """Answer a heartbeat as a witness of the sender's seat."""
    answer = state.leases.answer_heartbeat(message, now_us)
    effects.append(SendPeer(peer, state.peer_addresses.get(peer, ""), answer))


@receives(HeartbeatAnswer)
def receive_heartbeat_answer(
    state: State, peer: str, message: HeartbeatAnswer, now_us: int, effects: Effects
) -> None:
    """Record a witness's answer to a heartbeat of this instance."""
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
