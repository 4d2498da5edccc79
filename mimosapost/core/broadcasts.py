"""Messages that an instance sends unasked to its peers: heartbeats, gossip and suspects."""

from __future__ import annotations

from mimosapost.core.registry import Effects
from mimosapost.core.state import State
from mimosapost.model.effects import SendPeer, WriteLog
from mimosapost.model.peer_messages import Gossip

__all__ = ["broadcast_suspects", "finish_join", "send_gossip", "send_heartbeats"]

# Warm-up notes of a gossip message: up to 16, of which up to 4 are on servers whose state did
# not change, in rotation. In a steady fleet, 16 notes of 72 bytes to 3 peers twice a second
# used half of the 14 KB/s that control traffic may use.
MAX_WARMUP_NOTES = 16
MAX_UNCHANGED_WARMUP_NOTES = 4
# Peers that are notified of a suspect at once: all peers of a deployment of today's size. In a
# larger one, the others learn of it in the following gossip rounds.
SUSPECT_FANOUT = 8


def send_heartbeats(state: State, now_us: int, effects: Effects) -> None:
    """Send a heartbeat to each witness of this instance's seat."""
    heartbeat = state.leases.create_heartbeat(now_us)
    for seat in state.leases.list_other_witnesses():
        member = state.members.find_by_seat(seat)
        if member is not None:
            effects.append(SendPeer(member.name, member.peer_address, heartbeat))


def send_gossip(state: State, now_us: int, effects: Effects) -> None:
    """Send gossip to random members, and to the seed peers until this instance has joined."""
    leaving = bool(state.stop_requested_us)
    suspects = state.suspects.export(now_us)
    warmups = state.warmup.export_notes(now_us, MAX_WARMUP_NOTES, MAX_UNCHANGED_WARMUP_NOTES)
    sends = state.exchange.start_round(now_us, leaving, suspects, warmups)
    effects.extend(sends)
    if not state.joined:
        reached = {send.address for send in sends}
        gossip = Gossip(state.identity, leaving, state.configs.list_versions(), (), True)
        for address in state.seed_peers:
            if address not in reached:
                effects.append(SendPeer("", address, gossip))
        effects.extend(state.exchange.request_all_subtrees())


def broadcast_suspects(state: State, now_us: int, effects: Effects) -> None:
    """Send the suspects of a crash to peers at once instead of in the next gossip round."""
    suspects = state.suspects.export(now_us)
    leaving = bool(state.stop_requested_us)
    gossip = Gossip(state.identity, leaving, (), suspects, False)
    for member in state.members.choose_targets(state.rng, SUSPECT_FANOUT):
        effects.append(SendPeer(member.name, member.peer_address, gossip))


def finish_join(state: State, now_us: int, effects: Effects) -> None:
    """Mark the instance as joined when the wait for its seed peers is over.

    A new instance that relied on a stale configuration service alone could apply an older
    configuration than the one that its peers use. The wait lasts several rounds of gossip
    and delays no query, because after a start the lease table allows no send for even longer.
    """
    if not state.joined and now_us - state.started_us >= state.policy.join_us:
        state.joined = True
        effects.append(WriteLog("instance_joined", (("peers", len(state.peer_addresses)),)))
