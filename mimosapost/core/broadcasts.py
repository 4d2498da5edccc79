"""Messages that an instance sends to others on its own: heartbeats, gossip and suspects."""

from __future__ import annotations

from mimosapost.core.registry import Effects
from mimosapost.core.state import State
from mimosapost.model.effects import SendPeer, WriteLog
from mimosapost.model.messages import Gossip

__all__ = ["broadcast_suspects", "finish_join", "send_gossip", "send_heartbeats"]

# Up to 16 changes travel in a message. A settled fleet sends 4 notes on servers in turn: 16
# notes of 72 bytes to 3 peers twice a second were half of the 14 KB/s that control may send.
MAX_WARMUP_NOTES = 16
MAX_UNCHANGED_WARMUP_NOTES = 4
# All peers of a deployment of today; more hear of a suspect in the following rounds.
SUSPECT_FANOUT = 8


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
    warmups = state.warmup.export_notes(now_us, MAX_WARMUP_NOTES, MAX_UNCHANGED_WARMUP_NOTES)
    sends = state.exchange.start_round(now_us, leaving, suspects, warmups)
    effects.extend(sends)
    if not state.joined:
        reached = {send.address for send in sends}
        gossip = Gossip(state.identity, leaving, state.configs.versions(), (), True)
        for address in state.seed_peers:
            if address not in reached:
                effects.append(SendPeer("", address, gossip))
        effects.extend(state.exchange.request_all())


def broadcast_suspects(state: State, now_us: int, effects: Effects) -> None:
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
