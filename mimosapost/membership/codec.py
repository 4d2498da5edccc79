"""Encoding of messages between instances (Cap'n Proto, unpacked).

Frames use the unpacked encoding, because a packed frame of 2 MB can expand to about 2 GB.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from mimosapost.model.identities import NO_SEAT, InstanceIdentity
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
    PeerMessage,
    ServerNote,
    ServerNotes,
    SubtreeReply,
    SubtreeRequest,
    SuspectNote,
    TreeVersion,
    TrialMessage,
    TrialStep,
    WarmupNote,
    WorkspaceGrant,
    WorkspaceReport,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_SUBTREE_TEXT_BYTES",
    "PROTOCOL_VERSION",
    "CodecError",
    "decode_message",
    "encode_message",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 2**20
MAX_SUBTREE_TEXT_BYTES = 2**20
_MAX_NAME_BYTES = 64
_MAX_WORKSPACE_BYTES = 200
# The published settings allow at most 1,000 teams and 10,000 seats. The subtree ``fleet`` is
# announced in addition to those of the teams.
_MAX_SUBTREES = 1_001
_MAX_SUSPECTS = 1_000
_MAX_SEATS = 10_000
_MAX_WARMUPS = 1_000
_MAX_REPORTED_MEMBERS = 64
# Largest number of shards of a route, which bounds the bitmaps of a gather.
_MAX_SHARDS = 4_096
_MAX_REFUSAL_BYTES = 200
_MAX_NOTES = 1_000
# Keys of the platform's store have at most 200 bytes, and an id is a part of a key.
_MAX_SERVER_ID_BYTES = 200
_MAX_NOTE_STAGE = 2
_MAX_WORKSPACE_BYTES = 200
# Packed entries of a feed update; a sender leaves larger ones out.
_MAX_FEED_BYTES = 2**20
# Largest version allowed in the published settings. A subtree with a higher version could
# never be superseded.
_MAX_VERSION = 2**53
_MAX_BODY_BYTES = MAX_FRAME_BYTES - 1_024
# The most deeply nested value is a text: Envelope, Gossip, list, TreeVersion, text.
_NESTING_LIMIT = 8

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

_Writer = Callable[[Any], dict[str, Any]]
_Reader = Callable[[Any], PeerMessage]
_writers: dict[type, tuple[str, _Writer]] = {}
_readers: dict[str, _Reader] = {}


class CodecError(ValueError):
    """A message violates the peer protocol or one of its limits."""


def encode_message(message: PeerMessage) -> bytes:
    """Encode a peer message as the body of one frame.

    :param message: any peer message.
    :returns: encoded message without the length prefix of the frame.
    :raises CodecError: if a value exceeds a limit of the protocol.

    >>> decode_message(encode_message(Heartbeat(seat=1, incarnation=2, number=3)))
    Heartbeat(seat=1, incarnation=2, number=3)
    """
    kind, write = _writers[type(message)]
    try:
        encoded = _schema.Envelope.new_message(**{kind: write(message)}).to_bytes()
    except CodecError:
        raise
    except (capnp.KjException, OverflowError, TypeError, ValueError) as error:
        raise CodecError(f"message {kind} cannot be encoded: {_summarize(error)}") from error
    if len(encoded) > MAX_FRAME_BYTES:
        raise CodecError(
            f"message {kind} has {len(encoded)} bytes; at most {MAX_FRAME_BYTES} allowed"
        )
    return encoded


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode the body of one frame to a peer message.

    :param data: body of the frame, without its length prefix.
    :returns: the message, or ``None`` if its kind is unknown to this protocol version.
    :raises CodecError: if the body is malformed or exceeds a limit of the protocol.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise CodecError(f"frame has {len(data)} bytes; at most {MAX_FRAME_BYTES} allowed")
    # Several pointers may refer to the same data, so reading a small frame could take almost
    # unlimited time. Twice the frame size allows for reading each word once, and again the
    # words that the length checks have read before.
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


def _register_writer(message_type: type, kind: str) -> Callable[[_Writer], _Writer]:
    def register(write: _Writer) -> _Writer:
        _writers[message_type] = (kind, write)
        return write

    return register


def _register_reader(kind: str) -> Callable[[_Reader], _Reader]:
    def register(read: _Reader) -> _Reader:
        _readers[kind] = read
        return read

    return register


def _check_name(name: str, field: str, limit: int = _MAX_NAME_BYTES) -> str:
    if len(name.encode()) > limit:
        raise CodecError(f"{field} is too long; at most {limit} bytes allowed")
    return name


def _check_length(values: Any, limit: int, field: str) -> Any:
    if len(values) > limit:
        raise CodecError(f"{field} has {len(values)} elements; at most {limit} allowed")
    return values


def _check_version(version: int) -> int:
    if version > _MAX_VERSION:
        raise CodecError(f"version {version} is too large; at most {_MAX_VERSION} allowed")
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
        raise CodecError("name of an identity is empty; at least 1 byte expected")
    if reader.seat >= _MAX_SEATS and reader.seat != NO_SEAT:
        raise CodecError(f"seat {reader.seat} is too large; it must be below {_MAX_SEATS}")
    return InstanceIdentity(
        name=name,
        incarnation=reader.incarnation,
        seat=reader.seat,
        domain=_check_name(reader.domain, "domain"),
        region=_check_name(reader.region, "region"),
        peer_address=_check_name(reader.peerAddress, "peerAddress"),
    )


@_register_writer(Hello, "hello")
def _write_hello(message: Hello) -> dict[str, Any]:
    return {"protocol": message.protocol, "identity": _write_identity(message.identity)}


@_register_reader("hello")
def _read_hello(reader: Any) -> Hello:
    return Hello(reader.protocol, _read_identity(reader.identity))


@_register_writer(Heartbeat, "heartbeat")
def _write_heartbeat(message: Heartbeat) -> dict[str, Any]:
    return {
        "seat": message.seat,
        "incarnation": message.incarnation,
        "number": message.number,
    }


@_register_reader("heartbeat")
def _read_heartbeat(reader: Any) -> Heartbeat:
    return Heartbeat(reader.seat, reader.incarnation, reader.number)


@_register_writer(HeartbeatAnswer, "heartbeatAnswer")
def _write_heartbeat_answer(message: HeartbeatAnswer) -> dict[str, Any]:
    return {
        "witnessSeat": message.witness_seat,
        "witnessIncarnation": message.witness_incarnation,
        "seat": message.seat,
        "incarnation": message.incarnation,
        "number": message.number,
        "acknowledged": message.acknowledged,
        "lapsed": list(_check_length(message.lapsed, _MAX_SEATS, "lapsed")),
    }


@_register_reader("heartbeatAnswer")
def _read_heartbeat_answer(reader: Any) -> HeartbeatAnswer:
    return HeartbeatAnswer(
        witness_seat=reader.witnessSeat,
        witness_incarnation=reader.witnessIncarnation,
        seat=reader.seat,
        incarnation=reader.incarnation,
        number=reader.number,
        acknowledged=reader.acknowledged,
        lapsed=tuple(_check_length(reader.lapsed, _MAX_SEATS, "lapsed")),
    )


def _write_suspects(notes: tuple[SuspectNote, ...]) -> list[dict[str, int]]:
    return [
        {
            "fingerprint": note.fingerprint,
            "crashes": note.crashes,
            "refusedForUs": note.refused_for_us,
        }
        for note in _check_length(notes, _MAX_SUSPECTS, "suspects")
    ]


def _read_suspects(reader: Any) -> tuple[SuspectNote, ...]:
    return tuple(
        SuspectNote(note.fingerprint, note.crashes, note.refusedForUs)
        for note in _check_length(reader, _MAX_SUSPECTS, "suspects")
    )


@_register_writer(Gossip, "gossip")
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
            for entry in _check_length(message.versions, _MAX_SUBTREES, "versions")
        ],
        "suspects": _write_suspects(message.suspects),
        "replyWanted": message.reply_wanted,
        "warmups": [
            {
                "server": _check_name(note.server, "server"),
                "bootId": _check_name(note.boot_id, "bootId"),
                "falls": note.falls,
                "limit": note.limit,
            }
            for note in _check_length(message.warmups, _MAX_WARMUPS, "warmups")
        ],
        "members": [
            {
                "identity": _write_identity(report.identity),
                "leaving": report.leaving,
                "silentUs": report.silent_us,
            }
            for report in _check_length(message.members, _MAX_REPORTED_MEMBERS, "members")
        ],
    }


@_register_reader("gossip")
def _read_gossip(reader: Any) -> Gossip:
    return Gossip(
        identity=_read_identity(reader.identity),
        leaving=reader.leaving,
        versions=tuple(
            TreeVersion(
                _check_name(entry.team, "team"), _check_version(entry.version), entry.digest
            )
            for entry in _check_length(reader.versions, _MAX_SUBTREES, "versions")
        ),
        suspects=_read_suspects(reader.suspects),
        reply_wanted=reader.replyWanted,
        warmups=tuple(
            WarmupNote(
                _check_name(note.server, "server"),
                _check_name(note.bootId, "bootId"),
                note.falls,
                note.limit,
            )
            for note in _check_length(reader.warmups, _MAX_WARMUPS, "warmups")
        ),
        members=tuple(
            MemberReport(_read_identity(report.identity), report.leaving, report.silentUs)
            for report in _check_length(reader.members, _MAX_REPORTED_MEMBERS, "members")
        ),
    )


@_register_writer(SubtreeRequest, "subtreeRequest")
def _write_subtree_request(message: SubtreeRequest) -> dict[str, Any]:
    teams = _check_length(message.teams, _MAX_SUBTREES, "teams")
    return {"teams": [_check_name(team, "team") for team in teams]}


@_register_reader("subtreeRequest")
def _read_subtree_request(reader: Any) -> SubtreeRequest:
    teams = _check_length(reader.teams, _MAX_SUBTREES, "teams")
    return SubtreeRequest(tuple(_check_name(team, "team") for team in teams))


@_register_writer(SubtreeReply, "subtreeReply")
def _write_subtree_reply(message: SubtreeReply) -> dict[str, Any]:
    return {
        "team": _check_name(message.team, "team"),
        "version": _check_version(message.version),
        "text": _check_length(message.text, MAX_SUBTREE_TEXT_BYTES, "text"),
    }


@_register_reader("subtreeReply")
def _read_subtree_reply(reader: Any) -> SubtreeReply:
    text = bytes(_check_length(reader.text, MAX_SUBTREE_TEXT_BYTES, "text"))
    team = _check_name(reader.team, "team")
    return SubtreeReply(team, _check_version(reader.version), text)


@_register_writer(Forward, "forward")
def _write_forward(message: Forward) -> dict[str, Any]:
    return {
        "forwardId": message.forward_id,
        "targetIncarnation": message.target_incarnation,
        "query": _check_length(message.query, _MAX_BODY_BYTES, "query"),
        "remainingUs": message.remaining_us,
    }


@_register_reader("forward")
def _read_forward(reader: Any) -> Forward:
    return Forward(
        forward_id=reader.forwardId,
        target_incarnation=reader.targetIncarnation,
        query=bytes(_check_length(reader.query, _MAX_BODY_BYTES, "query")),
        remaining_us=reader.remainingUs,
    )


@_register_writer(ForwardAnswer, "forwardAnswer")
def _write_forward_answer(message: ForwardAnswer) -> dict[str, Any]:
    answer = _check_length(message.answer, _MAX_BODY_BYTES, "answer")
    return {"forwardId": message.forward_id, "answer": answer}


@_register_reader("forwardAnswer")
def _read_forward_answer(reader: Any) -> ForwardAnswer:
    answer = bytes(_check_length(reader.answer, _MAX_BODY_BYTES, "answer"))
    return ForwardAnswer(reader.forwardId, answer)


def _write_bitmap(indexes: tuple[int, ...], field: str) -> bytes:
    if not indexes:
        return b""
    if not 0 <= min(indexes) <= max(indexes) < _MAX_SHARDS:
        raise CodecError(f"{field} holds a shard outside 0 to {_MAX_SHARDS - 1}")
    bits = sum(1 << index for index in set(indexes))
    return bits.to_bytes(max(indexes) // 8 + 1, "little")


def _read_bitmap(data: bytes, field: str) -> tuple[int, ...]:
    bits = int.from_bytes(_check_length(data, _MAX_SHARDS // 8, field), "little")
    return tuple(index for index in range(bits.bit_length()) if bits >> index & 1)


@_register_writer(Gather, "gather")
def _write_gather(message: Gather) -> dict[str, Any]:
    return {
        "gatherId": message.gather_id,
        "version": _check_version(message.version),
        "route": _check_name(message.route, "route"),
        "requestId": message.request_id,
        "head": _check_length(message.head, _MAX_BODY_BYTES, "head"),
        "body": _check_length(message.body, _MAX_BODY_BYTES, "body"),
        "fingerprint": message.fingerprint,
        "remainingUs": message.remaining_us,
        "shards": _write_bitmap(message.shards, "shards"),
        "hedge": message.is_hedge,
        "workspace": _check_name(message.workspace, "workspace", _MAX_WORKSPACE_BYTES),
    }


@_register_reader("gather")
def _read_gather(reader: Any) -> Gather:
    return Gather(
        gather_id=reader.gatherId,
        version=_check_version(reader.version),
        route=_check_name(reader.route, "route"),
        request_id=reader.requestId,
        head=bytes(reader.head),
        body=bytes(reader.body),
        fingerprint=reader.fingerprint,
        remaining_us=reader.remainingUs,
        shards=_read_bitmap(reader.shards, "shards"),
        is_hedge=reader.hedge,
        workspace=_check_name(reader.workspace, "workspace", _MAX_WORKSPACE_BYTES),
    )


@_register_writer(GatherAnswer, "gatherAnswer")
def _write_gather_answer(message: GatherAnswer) -> dict[str, Any]:
    if any("," in signature or not signature for signature in message.signatures):
        raise CodecError("a signature is empty or contains a comma")
    return {
        "gatherId": message.gather_id,
        "shards": _write_bitmap(message.shards, "shards"),
        "signatures": ",".join(message.signatures),
        "records": _check_length(message.records, _MAX_BODY_BYTES, "records"),
        "failed": _write_bitmap(message.failed, "failed"),
        "notRun": _write_bitmap(message.not_run, "notRun"),
        "last": message.last,
        "refusal": message.refusal,
        "overdue": message.is_overdue,
    }


@_register_reader("gatherAnswer")
def _read_gather_answer(reader: Any) -> GatherAnswer:
    text = reader.signatures
    answer = GatherAnswer(
        gather_id=reader.gatherId,
        shards=_read_bitmap(reader.shards, "shards"),
        signatures=tuple(text.split(",")) if text else (),
        records=bytes(reader.records),
        failed=_read_bitmap(reader.failed, "failed"),
        not_run=_read_bitmap(reader.notRun, "notRun"),
        last=reader.last,
        refusal=_check_length(reader.refusal, _MAX_REFUSAL_BYTES, "refusal"),
        is_overdue=reader.overdue,
    )
    if len(answer.signatures) != len(answer.shards) or "" in answer.signatures:
        raise CodecError(
            f"answer has {len(answer.signatures)} signatures for {len(answer.shards)} shards"
        )
    if set(answer.shards) & set(answer.failed) or not set(answer.not_run) <= set(answer.failed):
        raise CodecError("answer lists a shard as both answered and failed")
    return answer


@_register_writer(GatherCancel, "gatherCancel")
def _write_gather_cancel(message: GatherCancel) -> dict[str, Any]:
    return {"gatherId": message.gather_id}


@_register_reader("gatherCancel")
def _read_gather_cancel(reader: Any) -> GatherCancel:
    return GatherCancel(reader.gatherId)


@_register_writer(FeedRequest, "feedRequest")
def _write_feed_request(message: FeedRequest) -> dict[str, Any]:
    return {"revision": _check_version(message.revision), "sentUs": message.sent_us}


@_register_reader("feedRequest")
def _read_feed_request(reader: Any) -> FeedRequest:
    return FeedRequest(_check_version(reader.revision), reader.sentUs)


@_register_writer(FeedUpdate, "feedUpdate")
def _write_feed_update(message: FeedUpdate) -> dict[str, Any]:
    return {
        "after": _check_version(message.after),
        "asOf": _check_version(message.as_of),
        "entries": _check_length(message.packed_entries, _MAX_FEED_BYTES, "entries"),
        "ageUs": message.age_us,
        "regained": message.is_regained,
        "requestSentUs": message.request_sent_us,
        "confirmedAfterUs": message.confirmed_after_us,
    }


@_register_reader("feedUpdate")
def _read_feed_update(reader: Any) -> FeedUpdate:
    update = FeedUpdate(
        after=_check_version(reader.after),
        as_of=_check_version(reader.asOf),
        packed_entries=bytes(_check_length(reader.entries, _MAX_FEED_BYTES, "entries")),
        age_us=reader.ageUs,
        is_regained=reader.regained,
        request_sent_us=reader.requestSentUs,
        confirmed_after_us=reader.confirmedAfterUs,
    )
    if update.after > update.as_of:
        raise CodecError(f"feed update goes from {update.after} back to {update.as_of}")
    return update


@_register_writer(ServerNotes, "serverNotes")
def _write_server_notes(message: ServerNotes) -> dict[str, Any]:
    return {
        "stage": message.stage,
        "notes": [
            {
                "serverId": _check_name(note.server_id, "serverId", _MAX_SERVER_ID_BYTES),
                "processStartedMs": note.process_started_ms,
                "latencyPercent": note.latency_percent,
                "failurePercent": note.failure_percent,
                "hungMs": note.hung_ms,
                "ageMs": note.age_ms,
                "sharePercent": note.share_percent,
                "shareAgeMs": note.share_age_ms,
            }
            for note in _check_length(message.notes, _MAX_NOTES, "notes")
        ],
        "suspects": _write_suspects(message.suspects),
    }


@_register_reader("serverNotes")
def _read_server_notes(reader: Any) -> ServerNotes:
    if reader.stage > _MAX_NOTE_STAGE:
        raise CodecError(f"stage is {reader.stage}; at most {_MAX_NOTE_STAGE} allowed")
    return ServerNotes(
        reader.stage,
        tuple(
            ServerNote(
                _check_name(note.serverId, "serverId", _MAX_SERVER_ID_BYTES),
                note.processStartedMs,
                note.latencyPercent,
                _check_percent("failurePercent", note.failurePercent),
                note.hungMs,
                note.ageMs,
                _check_percent("sharePercent", note.sharePercent),
                note.shareAgeMs,
            )
            for note in _check_length(reader.notes, _MAX_NOTES, "notes")
        ),
        _read_suspects(reader.suspects),
    )


def _check_percent(field: str, value: int) -> int:
    if value > 100:
        raise CodecError(f"{field} is {value}; at most 100 allowed")
    return value


@_register_writer(TrialMessage, "trialMessage")
def _write_trial_message(message: TrialMessage) -> dict[str, Any]:
    return {
        "step": int(message.step),
        "fingerprint": message.fingerprint,
        "trialId": message.trial_id,
        "retryAfterUs": message.retry_after_us,
        "suspects": _write_suspects(message.suspects),
    }


@_register_reader("trialMessage")
def _read_trial_message(reader: Any) -> TrialMessage:
    if reader.step > max(TrialStep):
        raise CodecError(f"step of a trial is {reader.step}; at most {max(TrialStep)} allowed")
    return TrialMessage(
        TrialStep(reader.step),
        reader.fingerprint,
        reader.trialId,
        reader.retryAfterUs,
        _read_suspects(reader.suspects),
    )


@_register_writer(WorkspaceReport, "workspaceReport")
def _write_workspace_report(message: WorkspaceReport) -> dict[str, Any]:
    return {
        "reportId": message.report_id,
        "workspace": _check_name(message.workspace, "workspace", _MAX_WORKSPACE_BYTES),
        "used": message.used,
        "asked": message.asked,
    }


@_register_reader("workspaceReport")
def _read_workspace_report(reader: Any) -> WorkspaceReport:
    name = _check_name(reader.workspace, "workspace", _MAX_WORKSPACE_BYTES)
    return WorkspaceReport(reader.reportId, name, reader.used, reader.asked)


@_register_writer(WorkspaceGrant, "workspaceGrant")
def _write_workspace_grant(message: WorkspaceGrant) -> dict[str, Any]:
    return {
        "reportId": message.report_id,
        "granted": message.granted,
        "open": message.is_open,
        "waitUs": message.wait_us,
        "roomUs": message.room_us,
    }


@_register_reader("workspaceGrant")
def _read_workspace_grant(reader: Any) -> WorkspaceGrant:
    return WorkspaceGrant(
        reader.reportId, reader.granted, reader.open, reader.waitUs, reader.roomUs
    )
