"""Notes to all instances: backend servers in trouble, and requests that crash servers.

Load pattern: at dozens of instances each one sends to a server about once a second, and avoids
it after two slow answers. When many servers turn slow or dark at once, the hedges of these
seconds are spent before the servers are known, and answers come late. Instances of the region
of a server see it first and most often, and cut links between regions don't disturb what they
see, so they tell the others. Own observations that are newer are kept.

A request that crashes servers comes again at any instance, so notes on suspects are sent at
once. Gossip repeats them, for instances that start later or missed a note.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import ServerNote, ServerNotes, SuspectNote
from mimosapost.relay.feed_choices import list_followers, list_readers
from mimosapost.relay.paced_servers import adopt_told_share, get_told_percent
from mimosapost.relay.registry import Effects, TimerKind, handles_message, handles_timer
from mimosapost.relay.server_selection import (
    ServerRecord,
    adopt_observation,
    get_trouble_level,
)
from mimosapost.relay.state import RelayState
from mimosapost.relay.suspicion import merge_suspects

__all__ = ["LAST_STAGE", "create_suspect_notes", "note_server", "note_suspects"]

# Notes that follow each other within this time are sent together, because many servers change
# at once and a reader passes on the notes of all its followers.
_FLUSH_DELAY_US = 80_000
_MAX_NOTES = 500
#: Stage of notes that are not passed on.
LAST_STAGE = 2
# A server that is still in trouble is noted again after this time.
_RENEWAL_US = 1_000_000
# Change of the share of a pace that others are told.
_NOTED_SHARE_STEP = 0.1
# Distance class of servers in another region, of which an instance sends no notes.
_OTHER_REGION = 2


def note_server(state: RelayState, record: ServerRecord, now_us: int) -> None:
    """Queue a note on a server of this region if others should hear of its trouble level."""
    level = get_trouble_level(record, now_us)
    if state.peers is None or record.distance == _OTHER_REGION:
        return
    is_recent = not level or now_us - record.noted_us < _RENEWAL_US
    share = record.pace.share if record.pace is not None else 1.0
    is_share_told = abs(share - record.noted_share) < _NOTED_SHARE_STEP
    if level == record.noted_level and is_recent and is_share_told:
        return
    record.noted_level, record.noted_us, record.noted_share = level, now_us, share
    _queue(state, record.server.server_id, 0, now_us)


def note_suspects(
    state: RelayState, fingerprints: Iterable[int], stage: int, now_us: int
) -> None:
    """Queue notes on requests that may crash servers; they are sent at once."""
    if state.peers is None or stage >= LAST_STAGE:
        return
    for fingerprint in fingerprints:
        known = state.pending_suspects.get(fingerprint, stage)
        state.pending_suspects[fingerprint] = min(stage, known)
        state.timers.add(now_us, TimerKind.NOTES)


def create_suspect_notes(
    state: RelayState, fingerprints: Collection[int], now_us: int
) -> tuple[SuspectNote, ...]:
    """Return the notes on some requests, without those that are clear."""
    notes = state.suspects.export(now_us, _MAX_NOTES)
    return tuple(note for note in notes if note.fingerprint in fingerprints)


def _queue(state: RelayState, server_id: str, stage: int, now_us: int) -> None:
    if not state.pending_notes:
        state.timers.add(now_us + _FLUSH_DELAY_US, TimerKind.NOTES)
    state.pending_notes[server_id] = min(stage, state.pending_notes.get(server_id, stage))


@handles_timer(TimerKind.NOTES)
def send_notes(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Send the queued notes on their way to the other instances."""
    pending, state.pending_notes = state.pending_notes, {}
    pending_suspects, state.pending_suspects = state.pending_suspects, {}
    notes = {
        server_id: _create_note(state.servers[server_id], now_us)
        for server_id in list(pending)[:_MAX_NOTES]
        if server_id in state.servers
    }
    new = tuple(notes[server_id] for server_id in notes if pending[server_id] == 0)
    suspects = create_suspect_notes(state, pending_suspects, now_us)
    new_suspects = tuple(s for s in suspects if pending_suspects[s.fingerprint] == 0)
    feed, peers = state.feed, state.peers
    if feed.reader is not None and feed.reader.name not in feed.followers:
        receivers = [(feed.reader.name, feed.reader.peer_address)]
        _send(effects, receivers, 0, new, new_suspects)
    elif new or new_suspects:
        members = peers.members.list_members()
        readers = list_readers(peers.own, members, feed.blocked_until_us)
        receivers = [(reader.name, reader.peer_address) for reader in readers]
        _send(effects, receivers, 1, new, new_suspects)
    followers = [(name, f.peer_address) for name, f in list_followers(feed, now_us)]
    _send(effects, followers, LAST_STAGE, tuple(notes.values()), suspects)


def _send(
    effects: Effects,
    receivers: list[tuple[str, str]],
    stage: int,
    notes: tuple[ServerNote, ...],
    suspects: tuple[SuspectNote, ...],
) -> None:
    if not (notes or suspects) or not receivers:
        return
    for name, address in receivers:
        effects.append(SendPeer(name, address, ServerNotes(stage, notes, suspects)))
    _count(effects, "sent", (len(notes) + len(suspects)) * len(receivers))


def _create_note(record: ServerRecord, now_us: int) -> ServerNote:
    hung_until_us = max(record.hung_until_us, record.blocked_until_us)
    share_percent, share_age_ms = get_told_percent(record, now_us)
    return ServerNote(
        record.server.server_id,
        record.server.process_started_ms,
        min(100_000, int(record.latency_ratio * 100)),
        int(record.failure_rate * 100),
        max(0, hung_until_us - now_us) // 1_000,
        max(0, now_us - record.observed_us) // 1_000,
        share_percent,
        share_age_ms,
    )


@handles_message(ServerNotes)
def handle_notes(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Adopt notes of another instance, and queue them for those that follow this one."""
    now_us, stage = event.now_us, event.message.stage
    learned = merge_suspects(state, event.message.suspects, now_us, effects)
    note_suspects(state, learned, stage, now_us)
    adopted = 0
    for note in event.message.notes:
        record = state.servers.get(note.server_id)
        if record is None or record.server.process_started_ms != note.process_started_ms:
            continue
        has_share = adopt_told_share(
            record, note.share_percent, note.share_age_ms * 1_000, now_us, effects
        )
        has_observation = adopt_observation(
            record,
            note.latency_percent / 100,
            note.failure_percent / 100,
            now_us + note.hung_ms * 1_000,
            now_us - note.age_ms * 1_000,
        )
        if not (has_observation or has_share):
            continue
        adopted += 1
        record.noted_level, record.noted_us = get_trouble_level(record, now_us), now_us
        if stage < LAST_STAGE:
            _queue(state, note.server_id, stage, now_us)
    if not adopted:
        return
    _count(effects, "adopted", adopted)
    fields = (
        ("peer", event.peer),
        ("stage", stage),
        ("notes", len(event.message.notes)),
        ("adopted", adopted),
    )
    effects.append(WriteLog("server_notes", fields))


def _count(effects: Effects, outcome: str, amount: int) -> None:
    labels = (("outcome", outcome),)
    effects.append(IncrementCounter("mimosapost_relay_server_notes_total", labels, amount))
