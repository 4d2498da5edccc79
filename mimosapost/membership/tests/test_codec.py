"""Encoding and decoding of peer messages, malformed frames and newer protocol versions.

A frame comes from another process, possibly of another release, so the decoder must reject
everything that it cannot handle with one typed error and within bounded time.
"""

import contextlib
from pathlib import Path

import capnp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapost.membership import codec
from mimosapost.membership.codec import CodecError, decode_message, encode_message
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import (
    FeedRequest,
    FeedUpdate,
    Forward,
    ForwardAnswer,
    Gather,
    GatherAnswer,
    GatherCancel,
    Gossip,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    MemberReport,
    ServerNote,
    ServerNotes,
    SubtreeReply,
    SubtreeRequest,
    SuspectNote,
    TreeVersion,
    TrialMessage,
    TrialStep,
    WorkspaceGrant,
    WorkspaceReport,
)

OWN_IDENTITY = InstanceIdentity("entry-1", 2**64 - 1, 3, "zone-a", "north", "127.0.0.1:7000")
GOSSIP = Gossip(
    OWN_IDENTITY, True, (TreeVersion("desk", 2**53, 2**64 - 1),), (SuspectNote(1, 2, 3),), True
)
MESSAGES = [
    Hello(1, OWN_IDENTITY),
    Heartbeat(1, 2**64 - 1, 3),
    HeartbeatAnswer(1, 2, 3, 4, 5, True, (6, 7)),
    GOSSIP,
    Gossip(OWN_IDENTITY, False, (), (), False),
    SubtreeRequest(("desk", "fleet")),
    SubtreeReply("desk", 9, bytes(range(256))),
    Forward(1, 2, b"{}", 3),
    ForwardAnswer(1, b""),
    Gossip(OWN_IDENTITY, False, (), (), True, (), (MemberReport(OWN_IDENTITY, True, 7),)),
    Gather(2**64 - 1, 2**53, "r-search", "9c41", b"GET /", b"body", 2**64 - 1, 5, (0, 8, 128)),
    GatherAnswer(1, (0, 9), ("s.1", "s.2"), b"r" * 32, (1, 3), (3,), False),
    GatherAnswer(1, refusal="stopping"),
    GatherCancel(2),
    FeedRequest(2**53),
    FeedUpdate(0, 2**53, b"", 2**64 - 1, True),
    FeedUpdate(5, 9, b"packed", 3),
    FeedRequest(2**53, 2**64 - 1),
    FeedUpdate(5, 9, b"packed", 3, False, 2**64 - 1, -(2**63)),
    ServerNotes(
        2,
        (ServerNote("i-1", 2**64 - 1, 2**32 - 1, 100, 2**32 - 1, 7, 99, 2**32 - 1),),
        (SuspectNote(2**64 - 1, 2, 60_000_000),),
    ),
    TrialMessage(TrialStep.REQUESTED, 2**64 - 1, 2**64 - 1, 0, (SuspectNote(1, 2, 3),)),
    TrialMessage(TrialStep.DENIED, 1, 2, 2**64 - 1),
    WorkspaceReport(2**64 - 1, "w" * 200, 2**32 - 1, 3),
    WorkspaceGrant(2**64 - 1, 2**32 - 1, True, 5, 2**64 - 1),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_messages_survive_encoding_and_decoding(message):
    # The codec lists each field by hand, so one could be lost, swapped or truncated to a
    # narrower integer.
    assert decode_message(encode_message(message)) == message


def frame(**body):
    return codec._schema.Envelope.new_message(**body).to_bytes()


def identity(**changes):
    return {"name": "n", "seat": 1, "domain": "d", "region": "r", **changes}


MALFORMED = {
    "empty": b"",
    "no whole word": b"x",
    "no segment": b"\0" * 8,
    "segment count too high": b"\xff" * 64,
    "truncated": encode_message(GOSSIP)[:-8],
    "cut within a word": encode_message(GOSSIP)[:-3],
    "frame too large": b"\0" * (codec.MAX_FRAME_BYTES + 8),
    "long name": frame(hello={"identity": identity(name="n" * 65)}),
    "no name": frame(hello={"identity": identity(name="")}),
    "seat too high": frame(hello={"identity": identity(seat=10_000)}),
    "too many teams": frame(subtreeRequest={"teams": ["t"] * 1_002}),
    "long team name": frame(subtreeRequest={"teams": ["t" * 65]}),
    "too many versions": frame(gossip={"identity": identity(), "versions": [{}] * 1_002}),
    "too many suspects": frame(gossip={"identity": identity(), "suspects": [{}] * 1_001}),
    "too many lapsed seats": frame(heartbeatAnswer={"lapsed": [1] * 10_001}),
    "text too long": frame(subtreeReply={"team": "t", "text": b"x" * (2**20 + 1)}),
    "version too high": frame(subtreeReply={"team": "t", "version": 2**53 + 1}),
    "bad utf-8": encode_message(SubtreeRequest(("desk",))).replace(
        b"desk", b"\xff\xfe\xfd\xfc"
    ),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_frames_raise_one_error(name):
    # The task of a peer link handles CodecError only; any other error would end it.
    with pytest.raises(CodecError):
        decode_message(MALFORMED[name])


def test_aliased_pointers_are_bounded():
    # In a small frame, all elements of a list can point at one large text. Decoding it must
    # fail instead of reading the text once for each element.
    teams = ["t" * 60] * 900
    data = bytearray(encode_message(SubtreeRequest(tuple(teams))))
    text_offset = data.index(b"t" * 60)
    first_pointer = (text_offset - 900 * 8 + 7) // 8 * 8
    # Every pointer now refers to one text of 4,000 bytes, which includes the texts that follow.
    for index in range(900):
        at = first_pointer + index * 8
        offset = (text_offset - at - 8) // 8
        pointer = (offset << 2 & 0xFFFFFFFF) | 1 | (2 << 32) | (4_000 << 35)
        data[at : at + 8] = pointer.to_bytes(8, "little")
    with pytest.raises(CodecError):
        decode_message(bytes(data))


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(Heartbeat(-1, 1, 1), id="negative seat"),
        pytest.param(Heartbeat(1, 2**64, 1), id="incarnation above 64 bits"),
        pytest.param(SubtreeRequest(("t" * 65,)), id="long team name"),
        pytest.param(SubtreeReply("t", 1, b"x" * (2**20 + 1)), id="text too long"),
        pytest.param(ForwardAnswer(1, b"x" * codec.MAX_FRAME_BYTES), id="answer too long"),
        pytest.param(GatherAnswer(1, (4_096,), ("s",)), id="shard out of range"),
        pytest.param(GatherAnswer(1, (0,), ("a,b",)), id="comma in a signature"),
    ],
)
def test_out_of_bounds_messages_are_not_encoded(message):
    # Every receiver closes the link on a frame that it cannot decode, so the sender must not
    # create one.
    with pytest.raises(CodecError):
        encode_message(message)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"shards": b"\x03", "signatures": "one"}, id="signature missing"),
        pytest.param({"shards": b"\x01", "signatures": "one,two"}, id="signature too many"),
        pytest.param({"shards": b"\x03", "signatures": "one,"}, id="signature empty"),
        pytest.param({"signatures": "one"}, id="signature without a shard"),
        pytest.param({"shards": b"\x01", "signatures": "s", "failed": b"\x01"}, id="both"),
        pytest.param({"failed": b"\x01", "notRun": b"\x02"}, id="not run but not failed"),
        pytest.param({"shards": b"\x01" * 513}, id="bitmap too long"),
        pytest.param({"refusal": "r" * 201}, id="refusal too long"),
    ],
)
def test_inconsistent_gather_answers_are_refused(fields):
    with pytest.raises(CodecError):
        decode_message(frame(gatherAnswer={"gatherId": 1, **fields}))


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"after": 6, "asOf": 5}, id="older than its start"),
        pytest.param({"after": 2**53 + 1, "asOf": 2**53 + 1}, id="revision too high"),
        pytest.param({"entries": b"x" * (2**20 + 1)}, id="entries too long"),
    ],
)
def test_inconsistent_feed_updates_are_refused(fields):
    with pytest.raises(CodecError):
        decode_message(frame(feedUpdate={"after": 5, "asOf": 9, **fields}))


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"stage": 3}, id="stage unknown"),
        pytest.param({"notes": [{"failurePercent": 101}]}, id="share above 1"),
        pytest.param({"notes": [{"serverId": "i" * 201}]}, id="long id"),
        pytest.param({"notes": [{}] * 1_001}, id="too many notes"),
    ],
)
def test_inconsistent_server_notes_are_refused(fields):
    with pytest.raises(CodecError):
        decode_message(frame(serverNotes={"stage": 0, **fields}))


def test_an_unknown_step_of_a_trial_is_refused():
    with pytest.raises(CodecError):
        decode_message(frame(trialMessage={"step": max(TrialStep) + 1}))


def test_messages_of_the_next_protocol_version(tmp_path):
    # While a newer release is rolled out, its instances may send message kinds and fields that
    # this release does not know. These must not break the link.
    text = Path(codec.__file__).with_name("peer.capnp").read_text()
    text = text.replace("@0xc1b6f0a93d5e7284", "@0xc1b6f0a93d5e7285")
    last = "workspaceGrant @16 :WorkspaceGrant;"
    assert last in text
    text = text.replace(last, last + " novel @17 :Hello;")
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
def test_damaged_frames_raise_codec_errors_only(index, data):
    # A single damaged byte may change any length, pointer or ordinal; no error other than
    # CodecError may result.
    frame_bytes = bytearray(encode_message(MESSAGES[index]))
    at = data.draw(st.integers(0, len(frame_bytes) - 1))
    frame_bytes[at] = data.draw(st.integers(0, 255))
    with contextlib.suppress(CodecError):
        decode_message(bytes(frame_bytes))
