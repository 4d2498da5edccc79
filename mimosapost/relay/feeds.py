"""Feeds between instances: ask one for updates of the source, and pass them on to others."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from mimosapost.model.effects import IncrementCounter, SendPeer, WriteLog
from mimosapost.model.events import PeerMessageArrived
from mimosapost.model.peer_messages import FeedRequest, FeedUpdate, SourceEntry
from mimosapost.relay.effects import ApplyFeed
from mimosapost.relay.events import SourceRead
from mimosapost.relay.feed_choices import (
    Follower,
    choose_reader,
    find_changes_since,
    list_followers,
)
from mimosapost.relay.registry import Effects, handles, handles_message
from mimosapost.relay.source_entries import EntriesError, pack_entries, unpack_entries
from mimosapost.relay.state import RelayState

__all__ = ["describe_feed", "release_reader", "request_feed"]

# A reader that sent no update for this time is not asked for the time after it. The first
# update may take as long as the call to the source that was open before the request.
_SILENCE_US = 6_000_000
_BLOCK_US = 10_000_000
# Largest size of the packed entries in an update, so that updates to all followers take little
# of the link. Followers read larger changes from the source.
_MAX_ENTRIES_BYTES = 32 * 2**10


def request_feed(state: RelayState, now_us: int, effects: Effects) -> None:
    """Ask the chosen instance for updates; called in each round of gossip."""
    feed, peers = state.feed, state.peers
    feed.followers = dict(list_followers(feed, now_us))
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
        request = FeedRequest(feed.revision, now_us)
        effects.append(SendPeer(reader.name, reader.peer_address, request))


def release_reader(state: RelayState, name: str, now_us: int) -> None:
    """Ask another instance than the given one from the next request on, for a time."""
    if state.feed.reader is not None and state.feed.reader.name == name:
        state.feed.blocked_until_us[name] = now_us + _BLOCK_US


@handles_message(FeedRequest)
def handle_feed_request(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Record a follower, and send the changes since its revision to one that is behind."""
    member = state.peers.members.find_by_name(event.peer)
    if member is None or state.stop_requested_us:
        return
    feed, revision = state.feed, event.message.revision
    is_new = event.peer not in feed.followers
    follower = Follower(member.peer_address, event.now_us, event.message.sent_us)
    feed.followers[event.peer] = follower
    if not feed.revision or not (is_new or revision < feed.revision):
        return
    after, entries = find_changes_since(feed, revision)
    update = _create_update(after, feed.revision, entries, event.now_us - feed.confirmed_us)
    _send_update(event.peer, follower, update, feed.confirmed_us, effects)


@handles_message(FeedUpdate)
def handle_feed_update(state: RelayState, event: PeerMessageArrived, effects: Effects) -> None:
    """Apply an update of the instance that was asked for it."""
    feed, update = state.feed, event.message
    if feed.reader is None or feed.reader.name != event.peer:
        _count(effects, "not_asked")
        return
    feed.heard_us = event.now_us
    try:
        entries = unpack_entries(update.packed_entries, update.after, update.as_of)
    except EntriesError as error:
        effects.append(WriteLog("feed_refused", (("peer", event.peer), ("reason", str(error)))))
        _count(effects, "refused")
        release_reader(state, event.peer, event.now_us)
        return
    _count(effects, "received")
    confirmed_us = _find_confirmed_us(update, event.now_us)
    effects.append(
        ApplyFeed(update.after, update.as_of, entries, confirmed_us, update.is_regained)
    )


def _find_confirmed_us(update: FeedUpdate, now_us: int) -> int:
    """Return a time at or before which the source stated that the update was its newest state.

    The stated age leaves out the time on the way, and that in which the reader was paused and
    its clock stood still. The source confirmed the update a known time after the reader had a
    request of this instance, and so no earlier than that time after the request was sent.
    """
    confirmed_us = now_us - update.age_us
    if not update.request_sent_us:
        return confirmed_us
    return min(confirmed_us, update.request_sent_us + update.confirmed_after_us)


@handles(SourceRead)
def feed_followers(state: RelayState, event: SourceRead, effects: Effects) -> None:
    """Pass changes of the source on to the followers."""
    labels = (("by", "feed" if event.is_fed else "call"),)
    effects.append(IncrementCounter("mimosapost_relay_source_reads_total", labels))
    feed = state.feed
    feed.revision = event.as_of
    feed.confirmed_us = event.confirmed_us
    if state.peers is None:
        return
    if event.after:
        feed.reads.append(event)
    else:
        # The entries of a first list are not known as changes.
        feed.reads.clear()
    followers = list_followers(feed, event.now_us)
    if not followers:
        return
    after = event.after or event.as_of
    age_us = event.now_us - event.confirmed_us
    update = _create_update(after, event.as_of, event.entries, age_us, event.is_regained)
    if update.after != event.after:
        fields = (
            ("after", event.after),
            ("as_of", event.as_of),
            ("entries", len(event.entries)),
        )
        effects.append(WriteLog("feed_left_out", fields))
        _count(effects, "left_out")
    for name, follower in followers:
        _send_update(name, follower, update, event.confirmed_us, effects)
    _count(effects, "sent", len(followers))


def _create_update(
    after: int,
    as_of: int,
    entries: tuple[SourceEntry, ...],
    age_us: int,
    is_regained: bool = False,
) -> FeedUpdate:
    """Create an update; one that would be too large has no entries and starts where it ends.

    A follower notices the changes in between and reads them from the source.
    """
    packed_entries = pack_entries(entries)
    if len(packed_entries) > _MAX_ENTRIES_BYTES:
        after, packed_entries = as_of, b""
    return FeedUpdate(after, as_of, packed_entries, age_us, is_regained)


def _send_update(
    name: str, follower: Follower, update: FeedUpdate, confirmed_us: int, effects: Effects
) -> None:
    if follower.request_sent_us:
        update = replace(
            update,
            request_sent_us=follower.request_sent_us,
            confirmed_after_us=confirmed_us - follower.asked_us,
        )
    effects.append(SendPeer(name, follower.peer_address, update))


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
