"""Entries of the source as one compressed value, for updates between instances."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from mimosapost.model.peer_messages import SourceEntry

__all__ = ["EntriesError", "pack_entries", "unpack_entries"]

# Largest size of the entries when decompressed: the largest value that the platform's store
# accepts, and a list of 4,000 servers.
_MAX_UNPACKED_BYTES = 2 * 2**20

_EntryFields = tuple[str, int, bytes, bool]


class EntriesError(ValueError):
    """Packed entries are malformed, too large or inconsistent."""


def pack_entries(entries: Iterable[SourceEntry]) -> bytes:
    """Encode and compress entries together, because those of servers are much alike.

    >>> unpack_entries(pack_entries([SourceEntry("a", 7, b"{}")]), 6, 7)
    (SourceEntry(key='a', revision=7, value=b'{}', is_removed=False),)
    >>> pack_entries([])
    b''
    """
    fields = [(e.key, e.revision, e.value, e.is_removed) for e in entries]
    return zlib.compress(msgspec.msgpack.encode(fields)) if fields else b""


def unpack_entries(data: bytes, after: int, as_of: int) -> tuple[SourceEntry, ...]:
    """Decode packed entries.

    :param after: revision below those of all entries.
    :param as_of: revision that no entry exceeds.
    :raises EntriesError: if the data are malformed, too large or out of order.
    """
    if not data:
        return ()
    stream = zlib.decompressobj()
    try:
        unpacked = stream.decompress(data, _MAX_UNPACKED_BYTES)
        if not stream.eof or stream.unused_data:
            raise EntriesError("entries are incomplete, too large or followed by other bytes")
        fields = msgspec.msgpack.decode(unpacked, type=list[_EntryFields])
    except (zlib.error, msgspec.MsgspecError) as error:
        raise EntriesError(f"entries are malformed: {error}") from error
    entries = tuple(SourceEntry(*entry_fields) for entry_fields in fields)
    previous = after + 1
    for entry in entries:
        if not previous <= entry.revision <= as_of:
            raise EntriesError(
                f"entry has revision {entry.revision}, expected {previous} to {as_of}"
            )
        previous = entry.revision
    return entries
