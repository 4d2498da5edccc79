"""Checks packed entries of the source, which come from another instance.

Nothing of an update may be believed if any part of it is malformed, and a small update must not
take much memory.
"""

import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.model.peer_messages import SourceEntry
from mimosapost.relay.source_entries import EntriesError, pack_entries, unpack_entries

ENTRIES = (
    SourceEntry("servers/i-1", 6, b"{}"),
    SourceEntry("op/config", 8, b"x" * 100_000),
    SourceEntry("servers/i-2", 8, b"", True),
    SourceEntry("servers/i-1", 9, b"\xff"),
)
PACKED = pack_entries(ENTRIES)


def pack(fields):
    return zlib.compress(msgspec.msgpack.encode(fields))


def test_entries_survive_packing():
    assert unpack_entries(PACKED, 5, 9) == ENTRIES
    assert len(PACKED) < 1_000


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"{}", id="not compressed"),
        pytest.param(PACKED[:-1], id="cut"),
        pytest.param(PACKED + b"x", id="followed by other bytes"),
        pytest.param(zlib.compress(b"\x00" * 2**26), id="too large when decompressed"),
        pytest.param(zlib.compress(b"\xc1"), id="no MessagePack"),
        pytest.param(pack({"key": "k"}), id="no list"),
        pytest.param(pack([["k", 7, b""]]), id="field missing"),
        pytest.param(pack([["k", "7", b"", False]]), id="revision is text"),
        pytest.param(pack([["k", 5, b"", False]]), id="revision at the start"),
        pytest.param(pack([["k", 10, b"", False]]), id="revision after the end"),
        pytest.param(pack([["k", -1, b"", False]]), id="negative revision"),
        pytest.param(
            pack([["k", 8, b"", False], ["k", 7, b"", False]]), id="revisions out of order"
        ),
    ],
)
def test_malformed_entries_are_refused(data):
    with pytest.raises(EntriesError):
        unpack_entries(data, 5, 9)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, len(PACKED) - 1), st.integers(0, 255))
def test_damaged_entries_raise_one_error(position, value):
    data = bytearray(PACKED)
    data[position] = value
    try:
        unpacked = unpack_entries(bytes(data), 5, 9)
    except EntriesError:
        return
    # The changed bits have no meaning to the decompressor.
    assert unpacked == ENTRIES
