"""Contract table of the peer codec."""

import contextlib
from pathlib import Path

import capnp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.membership import codec
from mimosapost.membership.codec import CodecError, decode_message, encode_message
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.messages import (
    Forward,
    ForwardAnswer,
    Gossip,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    SubtreeReply,
    SubtreeRequest,
    SuspectNote,
    TreeVersion,
)

ME = InstanceIdentity("entry-1", 2**64 - 1, 3, "zone-a", "north", "127.0.0.1:7000")
GOSSIP = Gossip(
    ME, True, (TreeVersion("desk", 2**53, 2**64 - 1),), (SuspectNote(1, 2, 3),), True
)
MESSAGES = [
    Hello(1, ME),
    Heartbeat(1, 2**64 - 1, 3),
    HeartbeatAnswer(1, 2, 3, 4, 5, True, (6, 7)),
    GOSSIP,
    Gossip(ME, False, (), (), False),
    SubtreeRequest(("desk", "fleet")),
    SubtreeReply("desk", 9, bytes(range(256))),
    Forward(1, 2, b"{}", 3),
    ForwardAnswer(1, b""),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_round_trip(message):
    # Guards against fields that are lost, swapped or cut to a narrower integer.
    assert decode_message(encode_message(message)) == message


def frame(**body):
    return codec._schema.Envelope.new_message(**body).to_bytes()


def identity(**changes):
    return {"name": "n", "seat": 1, "domain": "d", "region": "r", **changes}


MALFORMED = {
    "empty": b"",
    "no whole word": b"x",
    "no segment": b"\0" * 8,
    "segment count": b"\xff" * 64,
    "truncated": encode_message(GOSSIP)[:-8],
    "cut within a word": encode_message(GOSSIP)[:-3],
    "too large": b"\0" * (codec.MAX_FRAME_BYTES + 8),
    "long name": frame(hello={"identity": identity(name="n" * 65)}),
    "no name": frame(hello={"identity": identity(name="")}),
    "seat": frame(hello={"identity": identity(seat=10_000)}),
    "teams": frame(subtreeRequest={"teams": ["t"] * 1_002}),
    "long team": frame(subtreeRequest={"teams": ["t" * 65]}),
    "versions": frame(gossip={"identity": identity(), "versions": [{}] * 1_002}),
    "suspects": frame(gossip={"identity": identity(), "suspects": [{}] * 1_001}),
    "lapsed": frame(heartbeatAnswer={"lapsed": [1] * 10_001}),
    "text": frame(subtreeReply={"team": "t", "text": b"x" * (2**20 + 1)}),
    "version": frame(subtreeReply={"team": "t", "version": 2**53 + 1}),
    "bad utf-8": encode_message(SubtreeRequest(("desk",))).replace(
        b"desk", b"\xff\xfe\xfd\xfc"
    ),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_frames_raise_one_error(name):
    # Guards against a peer's bad frame ending a link task with an untyped error.
    with pytest.raises(CodecError):
        decode_message(MALFORMED[name])


def test_aliased_pointers_are_bounded():
    # Guards against a small frame whose list elements all point at one large list.
    teams = ["t" * 60] * 900
    data = bytearray(encode_message(SubtreeRequest(tuple(teams))))
    name_at = data.index(b"t" * 60)
    first = (name_at - 900 * 8 + 7) // 8 * 8
    # Every pointer is redirected at one text of 4,000 bytes that spans its neighbours.
    for index in range(900):
        at = first + index * 8
        offset = (name_at - at - 8) // 8
        pointer = (offset << 2 & 0xFFFFFFFF) | 1 | (2 << 32) | (4_000 << 35)
        data[at : at + 8] = pointer.to_bytes(8, "little")
    with pytest.raises(CodecError):
        decode_message(bytes(data))


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(-1, 1, 1),
        Heartbeat(1, 2**64, 1),
        SubtreeRequest(("t" * 65,)),
        SubtreeReply("t", 1, b"x" * (2**20 + 1)),
        ForwardAnswer(1, b"x" * codec.MAX_FRAME_BYTES),
    ],
    ids=lambda m: type(m).__name__,
)
def test_out_of_bounds_messages_are_not_encoded(message):
    # Guards against frames that every receiver would answer by closing the link.
    with pytest.raises(CodecError):
        encode_message(message)


def test_next_protocol_version(tmp_path):
    # Guards against a link that breaks while a newer release is rolled out.
    text = Path(codec.__file__).with_name("peer.capnp").read_text()
    text = text.replace("@0xc1b6f0a93d5e7284", "@0xc1b6f0a93d5e7285")
    last = "forwardAnswer @7 :ForwardAnswer;"
    text = text.replace(last, last + " novel @8 :Hello;")
    text = text.replace("number @2 :UInt64;\n}", "number @2 :UInt64;\n extra @3 :Text;\n}")
    path = tmp_path / "next.capnp"
    path.write_text(text)
    newer = capnp.load(str(path))
    unknown = newer.Envelope.new_message(novel={"protocol": 2})
    assert decode_message(unknown.to_bytes()) is None
    grown = newer.Envelope.new_message(
        heartbeat={"seat": 1, "incarnation": 2, "number": 3, "extra": "x"}
    )
    assert decode_message(grown.to_bytes()) == Heartbeat(1, 2, 3)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, len(MESSAGES) - 1), st.data())
def test_damaged_frames(index, data):
    # Guards against any single damaged byte raising something other than CodecError.
    frame_bytes = bytearray(encode_message(MESSAGES[index]))
    at = data.draw(st.integers(0, len(frame_bytes) - 1))
    frame_bytes[at] = data.draw(st.integers(0, 255))
    with contextlib.suppress(CodecError):
        decode_message(bytes(frame_bytes))
