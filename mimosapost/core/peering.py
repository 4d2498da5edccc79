"""Messages between instances: heartbeats, gossip, subtrees and forwarded queries."""

from __future__ import annotations

from collections.abc import Callable

from mimosapost.core import admission, configuration, forwarding
from mimosapost.core.registry import Effects, handles
from mimosapost.core.state import State
from mimosapost.membership.gossip import choose_announced, choose_pushes, choose_requests
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
    TreeVersion,
)

__all__ = ["finish_join", "send_gossip", "send_heartbeats"]

GOSSIP_FANOUT = 3

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
    """Send gossip to random members, and to the seed peers until they were heard."""
    state.gossip_round += 1
    gossip = create_gossip(state, now_us, reply_wanted=True)
    targets = state.members.choose_targets(state.rng, GOSSIP_FANOUT)
    addresses = {member.peer_address: member.name for member in targets}
    if not state.joined:
        known = set(state.peer_addresses.values())
        for address in state.seed_peers:
            if address not in known:
                addresses.setdefault(address, "")
    for address, name in addresses.items():
        effects.append(SendPeer(name, address, gossip))


def create_gossip(state: State, now_us: int, *, reply_wanted: bool) -> Gossip:
    """Create a gossip message with a bounded part of what this instance knows."""
    versions = choose_announced(
        state.configs.versions(), state.recent_teams, state.gossip_round
    )
    suspects = state.suspects.export(now_us)
    leaving = bool(state.stop_requested_us)
    return Gossip(state.identity, leaving, versions, suspects, reply_wanted)


@receives(Hello)
def receive_hello(
    state: State, peer: str, message: Hello, now_us: int, effects: Effects
) -> None:
    """Record the identity of a peer."""
    state.peer_addresses[peer] = message.identity.peer_address
    _report_duplicate(state.members.record_hello(message.identity, now_us), effects)


def _report_duplicate(duplicate: object, effects: Effects) -> None:
    if duplicate is not None:
        effects.append(WriteLog("seat_held_twice", (("seat", duplicate.seat),)))


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


@receives(Gossip)
def receive_gossip(
    state: State, peer: str, message: Gossip, now_us: int, effects: Effects
) -> None:
    """Merge what a peer knows, ask for newer subtrees and answer with newer versions."""
    state.peer_addresses[peer] = message.identity.peer_address
    _report_duplicate(state.members.record_gossip(message, now_us), effects)
    state.peers_heard.add(message.identity.peer_address)
    state.suspects.merge(message.suspects, now_us)
    own = state.configs.versions()
    wanted = choose_requests(own, message.versions, state.configs.is_refused)
    address = message.identity.peer_address
    if wanted:
        state.subtrees_wanted.update(wanted)
        effects.append(SendPeer(peer, address, SubtreeRequest(wanted)))
    if message.reply_wanted:
        reply = create_gossip(state, now_us, reply_wanted=False)
        lacking = choose_pushes(own, message.versions)
        if lacking:
            reply = Gossip(reply.identity, reply.leaving, lacking, reply.suspects, False)
        effects.append(SendPeer(peer, address, reply))


@receives(SubtreeRequest)
def receive_subtree_request(
    state: State, peer: str, message: SubtreeRequest, now_us: int, effects: Effects
) -> None:
    """Send the subtrees that a peer lacks."""
    versions: dict[str, TreeVersion] = {v.team: v for v in state.configs.versions()}
    for team in message.teams:
        text = state.configs.get_text(team)
        if text is not None:
            reply = SubtreeReply(team, versions[team].version, text)
            effects.append(SendPeer(peer, state.peer_addresses.get(peer, ""), reply))


@receives(SubtreeReply)
def receive_subtree_reply(
    state: State, peer: str, message: SubtreeReply, now_us: int, effects: Effects
) -> None:
    """Offer a subtree that a peer sent; it is checked like one that was read."""
    state.subtrees_wanted.discard(message.team)
    configuration.apply_subtree(
        state, message.team, message.version, message.text, now_us, effects
    )


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


def finish_join(state: State, now_us: int, effects: Effects) -> None:
    """Start serving when all seed peers were heard and their subtrees taken, or after a wait.

    A new instance that trusted a stale configuration service alone could go back to an older
    configuration than the one its peers have in force.
    """
    if state.joined:
        return
    heard_all = state.peers_heard.issuperset(state.seed_peers)
    waited = now_us - state.started_us >= state.policy.join_us
    if waited or (heard_all and not state.subtrees_wanted):
        state.joined = True
        effects.append(WriteLog("instance_joined", (("peers", len(state.peers_heard)),)))
