"""Encoding of messages between instances (Cap'n Proto, unpacked).

The unpacked form is used because a packed frame of 2 MB can expand to about 2 GB.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.messages import (
    Forward,
    ForwardAnswer,
    Gossip,
    Heartbeat,
    HeartbeatAnswer,
    Hello,
    PeerMessage,
    SubtreeReply,
    SubtreeRequest,
    SuspectNote,
    TreeVersion,
    WarmupNote,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_TEXT_BYTES",
    "PROTOCOL_VERSION",
    "CodecError",
    "decode_message",
    "encode_message",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 2**20
MAX_TEXT_BYTES = 2**20
_MAX_NAME_BYTES = 64
# The published settings allow at most 1,000 teams and 10,000 seats.
_MAX_TEAMS = 1_001
_MAX_SUSPECTS = 1_000
_MAX_SEATS = 10_000
_MAX_WARMUPS = 1_000
# Largest version in the published settings. A higher one could never be superseded.
_MAX_VERSION = 2**53
_MAX_BODY_BYTES = MAX_FRAME_BYTES - 1_024
# The deepest message is Envelope, Gossip, list, TreeVersion, text.
_NESTING_LIMIT = 8

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

_Writer = Callable[[Any], dict[str, Any]]
_Reader = Callable[[Any], PeerMessage]
_writers: dict[type, tuple[str, _Writer]] = {}
_readers: dict[str, _Reader] = {}


class CodecError(ValueError):
    """A message breaks the peer protocol or one of its bounds."""


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as the body of one frame.

    :param message: any peer message.
    :returns: bytes without the frame length.
    :raises CodecError: if a value is outside the bounds of the protocol.

    >>> decode_message(encode_message(Heartbeat(seat=1, incarnation=2, number=3)))
    Heartbeat(seat=1, incarnation=2, number=3)
    """
    kind, write = _writers[type(message)]
    try:
        encoded = _schema.Envelope.new_message(**{kind: write(message)}).to_bytes()
    except CodecError:
        raise
    except (capnp.KjException, OverflowError, TypeError, ValueError) as error:
        raise CodecError(f"{kind} cannot be encoded: {_summarize(error)}") from error
    if len(encoded) > MAX_FRAME_BYTES:
        raise CodecError(f"{kind} has {len(encoded)} bytes; at most {MAX_FRAME_BYTES} allowed")
    return encoded


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode the body of one frame.

    :param data: bytes without the frame length.
    :returns: the message, or ``None`` for a kind that only a newer protocol knows.
    :raises CodecError: if the bytes are malformed or outside the bounds of the protocol.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise CodecError(f"frame has {len(data)} bytes; at most {MAX_FRAME_BYTES} allowed")
    # Pointers may alias, so a small frame could be traversed without end. Twice the frame
    # covers each word once plus the words that bounds checks read again.
    limits = {
        "traversal_limit_in_words": 2 * (len(data) // 8) + 64,
        "nesting_limit": _NESTING_LIMIT,
    }
    try:
        with _schema.EnvelopeOrdinal.from_bytes(data, **limits) as overlay:
            if overlay.ordinal >= len(_schema.Envelope.schema.union_fields):
                return None
        with _schema.Envelope.from_bytes(data, **limits) as envelope:
            kind = str(envelope.which())
            return _readers[kind](getattr(envelope, kind))
    except CodecError:
        raise
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        raise CodecError(f"malformed frame: {_summarize(error)}") from error


def _summarize(error: Exception) -> str:
    return str(error).partition("\n")[0][:120]


def _writes(message_type: type, kind: str) -> Callable[[_Writer], _Writer]:
    def register(write: _Writer) -> _Writer:
        _writers[message_type] = (kind, write)
        return write

    return register


def _reads(kind: str) -> Callable[[_Reader], _Reader]:
    def register(read: _Reader) -> _Reader:
        _readers[kind] = read
        return read

    return register


def _check_name(name: str, field: str) -> str:
    if len(name.encode()) > _MAX_NAME_BYTES:
        raise CodecError(f"{field} is longer than {_MAX_NAME_BYTES} bytes")
    return name


def _check_size(values: Any, limit: int, field: str) -> Any:
    if len(values) > limit:
        raise CodecError(f"{field} has {len(values)} elements; at most {limit} allowed")
    return values


def _check_version(version: int) -> int:
    if version > _MAX_VERSION:
        raise CodecError(f"version {version} is above {_MAX_VERSION}")
    return version


def _write_identity(identity: InstanceIdentity) -> dict[str, Any]:
    return {
        "name": _check_name(identity.name, "name"),
        "incarnation": identity.incarnation,
        "seat": identity.seat,
        "domain": _check_name(identity.domain, "domain"),
        "region": _check_name(identity.region, "region"),
        "peerAddress": _check_name(identity.peer_address, "peerAddress"),
    }


def _read_identity(reader: Any) -> InstanceIdentity:
    name = _check_name(reader.name, "name")
    if not name:
        raise CodecError("an identity has no name")
    if reader.seat >= _MAX_SEATS:
        raise CodecError(f"seat {reader.seat} is not below {_MAX_SEATS}")
    return InstanceIdentity(
        name=name,
        incarnation=reader.incarnation,
        seat=reader.seat,
        domain=_check_name(reader.domain, "domain"),
        region=_check_name(reader.region, "region"),
        peer_address=_check_name(reader.peerAddress, "peerAddress"),
    )


@_writes(Hello, "hello")
def _write_hello(message: Hello) -> dict[str, Any]:
    return {"protocol": message.protocol, "identity": _write_identity(message.identity)}


@_reads("hello")
def _read_hello(reader: Any) -> Hello:
    return Hello(reader.protocol, _read_identity(reader.identity))


@_writes(Heartbeat, "heartbeat")
def _write_heartbeat(message: Heartbeat) -> dict[str, Any]:
    return {
        "seat": message.seat,
        "incarnation": message.incarnation,
        "number": message.number,
    }


@_reads("heartbeat")
def _read_heartbeat(reader: Any) -> Heartbeat:
    return Heartbeat(reader.seat, reader.incarnation, reader.number)


@_writes(HeartbeatAnswer, "heartbeatAnswer")
def _write_heartbeat_answer(message: HeartbeatAnswer) -> dict[str, Any]:
    return {
        "witnessSeat": message.witness_seat,
        "witnessIncarnation": message.witness_incarnation,
        "seat": message.seat,
        "incarnation": message.incarnation,
        "number": message.number,
        "acknowledged": message.acknowledged,
        "lapsed": list(_check_size(message.lapsed, _MAX_SEATS, "lapsed")),
    }


@_reads("heartbeatAnswer")
def _read_heartbeat_answer(reader: Any) -> HeartbeatAnswer:
    return HeartbeatAnswer(
        witness_seat=reader.witnessSeat,
        witness_incarnation=reader.witnessIncarnation,
        seat=reader.seat,
        incarnation=reader.incarnation,
        number=reader.number,
        acknowledged=reader.acknowledged,
        lapsed=tuple(_check_size(reader.lapsed, _MAX_SEATS, "lapsed")),
    )


@_writes(Gossip, "gossip")
def _write_gossip(message: Gossip) -> dict[str, Any]:
    return {
        "identity": _write_identity(message.identity),
        "leaving": message.leaving,
        "versions": [
            {
                "team": _check_name(entry.team, "team"),
                "version": _check_version(entry.version),
                "digest": entry.digest,
            }
            for entry in _check_size(message.versions, _MAX_TEAMS, "versions")
        ],
        "suspects": [
            {
                "fingerprint": note.fingerprint,
                "crashes": note.crashes,
                "refusedForUs": note.refused_for_us,
            }
            for note in _check_size(message.suspects, _MAX_SUSPECTS, "suspects")
        ],
        "replyWanted": message.reply_wanted,
        "warmups": [
            {
                "server": _check_name(note.server, "server"),
                "bootId": _check_name(note.boot_id, "bootId"),
                "falls": note.falls,
                "limit": note.limit,
            }
            for note in _check_size(message.warmups, _MAX_WARMUPS, "warmups")
        ],
    }


@_reads("gossip")
def _read_gossip(reader: Any) -> Gossip:
    return Gossip(
        identity=_read_identity(reader.identity),
        leaving=reader.leaving,
        versions=tuple(
            TreeVersion(
                _check_name(entry.team, "team"), _check_version(entry.version), entry.digest
            )
            for entry in _check_size(reader.versions, _MAX_TEAMS, "versions")
        ),
        suspects=tuple(
            SuspectNote(note.fingerprint, note.crashes, note.refusedForUs)
            for note in _check_size(reader.suspects, _MAX_SUSPECTS, "suspects")
        ),
        reply_wanted=reader.replyWanted,
        warmups=tuple(
            WarmupNote(
                _check_name(note.server, "server"),
                _check_name(note.bootId, "bootId"),
                note.falls,
                note.limit,
            )
            for note in _check_size(reader.warmups, _MAX_WARMUPS, "warmups")
        ),
    )


@_writes(SubtreeRequest, "subtreeRequest")
def _write_subtree_request(message: SubtreeRequest) -> dict[str, Any]:
    teams = _check_size(message.teams, _MAX_TEAMS, "teams")
    return {"teams": [_check_name(team, "team") for team in teams]}


@_reads("subtreeRequest")
def _read_subtree_request(reader: Any) -> SubtreeRequest:
    teams = _check_size(reader.teams, _MAX_TEAMS, "teams")
    return SubtreeRequest(tuple(_check_name(team, "team") for team in teams))


@_writes(SubtreeReply, "subtreeReply")
def _write_subtree_reply(message: SubtreeReply) -> dict[str, Any]:
    return {
        "team": _check_name(message.team, "team"),
        "version": _check_version(message.version),
        "text": _check_size(message.text, MAX_TEXT_BYTES, "text"),
    }


@_reads("subtreeReply")
def _read_subtree_reply(reader: Any) -> SubtreeReply:
    text = bytes(_check_size(reader.text, MAX_TEXT_BYTES, "text"))
    team = _check_name(reader.team, "team")
    return SubtreeReply(team, _check_version(reader.version), text)


@_writes(Forward, "forward")
def _write_forward(message: Forward) -> dict[str, Any]:
    return {
        "forwardId": message.forward_id,
        "targetIncarnation": message.target_incarnation,
        "query": _check_size(message.query, _MAX_BODY_BYTES, "query"),
        "remainingUs": message.remaining_us,
    }


@_reads("forward")
def _read_forward(reader: Any) -> Forward:
    return Forward(
        forward_id=reader.forwardId,
        target_incarnation=reader.targetIncarnation,
        query=bytes(_check_size(reader.query, _MAX_BODY_BYTES, "query")),
        remaining_us=reader.remainingUs,
    )


@_writes(ForwardAnswer, "forwardAnswer")
def _write_forward_answer(message: ForwardAnswer) -> dict[str, Any]:
    answer = _check_size(message.answer, _MAX_BODY_BYTES, "answer")
    return {"forwardId": message.forward_id, "answer": answer}


@_reads("forwardAnswer")
def _read_forward_answer(reader: Any) -> ForwardAnswer:
    answer = bytes(_check_size(reader.answer, _MAX_BODY_BYTES, "answer"))
    return ForwardAnswer(reader.forwardId, answer)
