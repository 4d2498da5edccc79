"""Feeds between instances: ask one for updates of the source, and pass them on to others."""

from __future__ import annotations

import zlib
from dataclasses import replace
from typing import Any

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import FeedRequest, FeedUpdate, SourceEntry
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import SourceRead
from mimosapost.relay.feed_choices import choose_reader, list_followers
from mimosapost.relay.registry import Effects, handles, handles_message
from mimosapost.relay.state import RelayState

__all__ = ["describe_feed", "release_reader", "request_feed"]

# A reader that sent no update for this time is not asked for the time after it. The first
# update may take as long as the call to the source that was open before the request.
_SILENCE_US = 6_000_000
_BLOCK_US = 10_000_000
# Largest size of the compressed entries in an update, so that updates to all followers take
# little of the link. Followers read larger changes from the source.
_MAX_ENTRIES_BYTES = 32 * 2**10
# Largest size of an entry's value, which is that of the platform's store.
_MAX_VALUE_BYTES = 2**20
_MAX_ENTRIES = 1_000


def request_feed(state: RelayState, now_us: int, effects: Effects) -> None:
    """Ask the chosen instance for updates; called once a second."""
    feed, peers = state.feed, state.peers
    feed.followers = {name: feed.followers[name] for name, _ in list_followers(feed, now_us)}
    feed.blocked_until_us = {
        name: until_us for name, until_us in feed.blocked_until_us.items() if until_us > now_us
    }
    if feed.reader is not None and now_us - feed.heard_us > _SILENCE_US:
        release_reader(state, feed.reader.name, now_us)
    members = peers.members.list_members()
    reader = None
    if feed.revision and not state.stop_requested_us:
        reader = choose_reader(peers.own, members, feed.blocked_until_us)
    if (reader and reader.name) != (feed.reader and feed.reader.name):
        feed.heard_us = now_us
        fields = (
            ("reader", reader.name if reader is not None else ""),
            ("before", feed.reader.name if feed.reader is not None else ""),
            ("members", len(members)),
        )
        effects.append(WriteLog("feed_reader_chosen", fields))
    feed.reader = reader
    if reader is not None:
        request = FeedRequest(feed.revision)
        effects.append(SendPeer(reader.name, reader.peer_address, request))


def release_reader(state: RelayState, name: str, now_us: int) -> None:
    """Ask another instance than the given one from the next request on, for a time."""
    if state.feed.reader is not None and state.feed.reader.name == name:
        state.feed.blocked_until_us[name] = now_us + _BLOCK_US


@handles_message(FeedRequest)
def handle_feed_request(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Record a follower, and confirm the current revision to a new one."""
    member = state.peers.members.find_by_name(event.peer)
    if member is None or state.stop_requested_us:
        return
    feed = state.feed
    is_new = event.peer not in feed.followers
    feed.followers[event.peer] = (member.peer_address, event.now_us)
    if is_new and feed.revision:
        age_us = event.now_us - feed.confirmed_us
        update = FeedUpdate(feed.revision, feed.revision, (), age_us)
        effects.append(SendPeer(event.peer, member.peer_address, update))


@handles_message(FeedUpdate)
def handle_feed_update(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Apply an update of the instance that was asked for it."""
    feed, update = state.feed, event.message
    if feed.reader is None or feed.reader.name != event.peer:
        _count(effects, "not_asked")
        return
    feed.heard_us = event.now_us
    try:
        entries = tuple(_decompress(entry) for entry in update.entries)
    except zlib.error as error:
        effects.append(WriteLog("feed_refused", (("peer", event.peer), ("reason", str(error)))))
        _count(effects, "refused")
        release_reader(state, event.peer, event.now_us)
        return
    _count(effects, "received")
    update = replace(update, entries=entries)
    effects.append(ApplyFeed(update, event.now_us - update.age_us))


@handles(SourceRead)
def feed_followers(state: RelayState, event: SourceRead, effects: Effects) -> None:
    """Pass changes of the source on to the followers."""
    labels = (("by", "feed" if event.is_fed else "call"),)
    effects.append(IncrementCounter("mimosapost_relay_source_reads_total", labels))
    feed = state.feed
    feed.revision = event.as_of
    feed.confirmed_us = event.confirmed_us
    followers = list_followers(feed, event.now_us)
    if not followers:
        return
    after, entries = event.after, tuple(_compress(entry) for entry in event.entries)
    size = sum(len(entry.value) for entry in entries)
    if not after or len(entries) > _MAX_ENTRIES or size > _MAX_ENTRIES_BYTES:
        # The update starts where it ends, so that followers notice the changes in between.
        fields = (("after", after), ("as_of", event.as_of), ("bytes", size))
        effects.append(WriteLog("feed_left_out", fields))
        _count(effects, "left_out")
        after, entries = event.as_of, ()
    age_us = event.now_us - event.confirmed_us
    update = FeedUpdate(after, event.as_of, entries, age_us, event.is_regained)
    for name, address in followers:
        effects.append(SendPeer(name, address, update))
    _count(effects, "sent", len(followers))


def _compress(entry: SourceEntry) -> SourceEntry:
    return replace(entry, value=zlib.compress(entry.value)) if entry.value else entry


def _decompress(entry: SourceEntry) -> SourceEntry:
    """Return an entry with its value decompressed.

    :raises zlib.error: if the value is malformed, incomplete or too large.
    """
    if not entry.value:
        return entry
    stream = zlib.decompressobj()
    value = stream.decompress(entry.value, _MAX_VALUE_BYTES)
    if not stream.eof or stream.unused_data:
        raise zlib.error(f"value of {entry.key} is incomplete or larger than allowed")
    return replace(entry, value=value)


def describe_feed(state: RelayState, now_us: int) -> dict[str, Any]:
    """Return reader, followers and revision for the status page."""
    feed = state.feed
    return {
        "revision": feed.revision,
        "age_ms": (now_us - feed.confirmed_us) // 1_000 if feed.confirmed_us else None,
        "reader": feed.reader.name if feed.reader is not None else "",
        "followers": sorted(name for name, _ in list_followers(feed, now_us)),
    }


def _count(effects: Effects, outcome: str, amount: int = 1) -> None:
    labels = (("outcome", outcome),)
    effects.append(IncrementCounter("mimosapost_relay_feed_updates_total", labels, amount))
