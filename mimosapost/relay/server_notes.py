"""Notes on backend servers in trouble, from the instances near them to all others.

Load pattern: at dozens of instances each one sends to a server about once a second, and avoids
it after two slow answers. When many servers turn slow or dark at once, the hedges of these
seconds are spent before the servers are known, and answers come late. Instances of the region
of a server see it first and most often, and cut links between regions don't disturb what they
see, so they tell the others. Own observations that are newer are kept.
"""

from __future__ import annotations

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import ServerNote, ServerNotes
from mimosapost.relay.feed_choices import list_followers, list_readers
from mimosapost.relay.registry import Effects, TimerKind, handles_message, handles_timer
from mimosapost.relay.server_selection import (
    ServerRecord,
    adopt_observation,
    get_trouble_level,
)
from mimosapost.relay.state import RelayState

__all__ = ["note_server"]

# Notes that follow each other within this time are sent together, because many servers change
# at once and a reader passes on the notes of all its followers.
_FLUSH_DELAY_US = 80_000
_MAX_NOTES = 500
# A server that is still in trouble is noted again after this time.
_RENEWAL_US = 1_000_000
# Distance class of servers in another region, of which an instance sends no notes.
_OTHER_REGION = 2


def note_server(state: RelayState, record: ServerRecord, now_us: int) -> None:
    """Queue a note on a server of this region if others should hear of its trouble level."""
    level = get_trouble_level(record, now_us)
    if state.peers is None or record.distance == _OTHER_REGION:
        return
    is_recent = not level or now_us - record.noted_us < _RENEWAL_US
    if level == record.noted_level and is_recent:
        return
    record.noted_level, record.noted_us = level, now_us
    _queue(state, record.server.server_id, 0, now_us)


def _queue(state: RelayState, server_id: str, stage: int, now_us: int) -> None:
    if not state.pending_notes:
        state.timers.add(now_us + _FLUSH_DELAY_US, TimerKind.NOTES)
    state.pending_notes[server_id] = min(stage, state.pending_notes.get(server_id, stage))


@handles_timer(TimerKind.NOTES)
def send_notes(state: RelayState, _key: int, now_us: int, effects: Effects) -> None:
    """Send the queued notes on their way to the other instances."""
    pending, state.pending_notes = state.pending_notes, {}
    notes = {
        server_id: _create_note(state.servers[server_id], now_us)
        for server_id in list(pending)[:_MAX_NOTES]
        if server_id in state.servers
    }
    new = tuple(notes[server_id] for server_id in notes if pending[server_id] == 0)
    feed, peers = state.feed, state.peers
    if feed.reader is not None and feed.reader.name not in feed.followers:
        if new:
            _send(effects, [(feed.reader.name, feed.reader.peer_address)], 0, new)
    elif new:
        members = peers.members.list_members()
        readers = list_readers(peers.own, members, feed.blocked_until_us)
        _send(effects, [(reader.name, reader.peer_address) for reader in readers], 1, new)
    _send(effects, list_followers(feed, now_us), 2, tuple(notes.values()))


def _send(
    effects: Effects,
    receivers: list[tuple[str, str]],
    stage: int,
    notes: tuple[ServerNote, ...],
) -> None:
    if not notes:
        return
    for name, address in receivers:
        effects.append(SendPeer(name, address, ServerNotes(stage, notes)))
    _count(effects, "sent", len(notes) * len(receivers))


def _create_note(record: ServerRecord, now_us: int) -> ServerNote:
    hung_until_us = max(record.hung_until_us, record.blocked_until_us)
    return ServerNote(
        record.server.server_id,
        record.server.process_started_ms,
        min(100_000, int(record.latency_ratio * 100)),
        int(record.failure_rate * 100),
        max(0, hung_until_us - now_us) // 1_000,
        max(0, now_us - record.observed_us) // 1_000,
    )


@handles_message(ServerNotes)
def handle_notes(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Adopt notes of another instance, and queue them for those that follow this one."""
    now_us, stage = event.now_us, event.message.stage
    adopted = 0
    for note in event.message.notes:
        record = state.servers.get(note.server_id)
        if record is None or record.server.process_started_ms != note.process_started_ms:
            continue
        if not adopt_observation(
            record,
            note.latency_percent / 100,
            note.failure_percent / 100,
            now_us + note.hung_ms * 1_000,
            now_us - note.age_ms * 1_000,
        ):
            continue
        adopted += 1
        record.noted_level, record.noted_us = get_trouble_level(record, now_us), now_us
        if stage < 2:
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
