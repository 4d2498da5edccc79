"""Messages between instances, independent of the encoding on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from mimosapost.model.identities import InstanceIdentity

__all__ = [
    "FeedRequest",
    "FeedUpdate",
    "Forward",
    "ForwardAnswer",
    "Gather",
    "GatherAnswer",
    "GatherCancel",
    "Gossip",
    "Heartbeat",
    "HeartbeatAnswer",
    "Hello",
    "MemberReport",
    "PeerMessage",
    "ServerNote",
    "ServerNotes",
    "SourceEntry",
    "SubtreeReply",
    "SubtreeRequest",
    "SuspectNote",
    "TreeVersion",
    "TrialMessage",
    "TrialStep",
    "WarmupNote",
    "WorkspaceGrant",
    "WorkspaceReport",
]


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a peer link, in both directions.

    :param protocol: version of the peer protocol that the sender uses.
    """

    protocol: int
    identity: InstanceIdentity


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Request to a witness to acknowledge the lease of a seat.

    :param number: sequence number, repeated in the answer.
    """

    seat: int
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer of a witness to a heartbeat.

    :param acknowledged: whether the witness acknowledges the lease.
    :param lapsed: seats whose lease has lapsed according to the witness.
    """

    witness_seat: int
    witness_incarnation: int
    seat: int
    incarnation: int
    number: int
    acknowledged: bool
    lapsed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TreeVersion:
    """Version of a team's accepted subtree; ordered by version, then by digest."""

    team: str
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class SuspectNote:
    """Report on a request that was in flight when a server crashed.

    :param fingerprint: hash of service and body.
    :param crashes: number of crashes during which the request was in flight.
    :param refused_for_us: remaining time of refusal, in microseconds; 0 if the request is only
        suspected.
    """

    fingerprint: int
    crashes: int
    refused_for_us: int


@dataclass(frozen=True, slots=True)
class WarmupNote:
    """Report of one instance to others on the cold start of a server.

    :param server: address of the backend server.
    :param boot_id: boot ID of the server process.
    :param falls: number of returns to cold start known so far; of two notes, the one with the
        higher number is newer.
    :param limit: limit of requests in flight at the server over all instances, reached since
        the last return to cold start.
    """

    server: str
    boot_id: str
    falls: int
    limit: int


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What one instance knows of another.

    :param silent_us: time in microseconds since that instance was last heard from.
    """

    identity: InstanceIdentity
    leaving: bool
    silent_us: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Periodic announcement of members, subtree versions, suspects and cold starts.

    :param leaving: whether the sender is leaving the fleet.
    :param reply_wanted: whether the receiver is to answer: with versions that the sender
        lacks, or on the users' platform with a gossip message of its own.
    :param members: some of the other instances that the sender knows.
    """

    identity: InstanceIdentity
    leaving: bool
    versions: tuple[TreeVersion, ...]
    suspects: tuple[SuspectNote, ...]
    reply_wanted: bool
    warmups: tuple[WarmupNote, ...] = ()
    members: tuple[MemberReport, ...] = ()


@dataclass(frozen=True, slots=True)
class SubtreeRequest:
    """Request to a peer for the newest accepted subtrees of teams.

    :param teams: names of the teams; if empty, the peer announces the versions of all subtrees.
    """

    teams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SubtreeReply:
    """Published text of one team's newest accepted subtree."""

    team: str
    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Forward:
    """Non-idempotent query, forwarded to the instance that issued its ticket.

    :param forward_id: number chosen by the sender, echoed in the answer.
    :param target_incarnation: incarnation that issued the ticket; any other refuses the query.
    :param query: the query as JSON, without its deadline.
    :param remaining_us: time left until the deadline, in microseconds.
    """

    forward_id: int
    target_incarnation: int
    query: bytes
    remaining_us: int


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Answer to a forwarded query, as JSON of :class:`~mimosapost.model.queries.Answer`."""

    forward_id: int
    answer: bytes


@dataclass(frozen=True, slots=True)
class Gather:
    """Request to send a query to some of its shards and to return the merged answers.

    The receiver sends to each shard once. Hedges and retries are left to the sender.

    :param gather_id: number chosen by the sender, echoed in the answers.
    :param version: version of the configuration that names the shards.
    :param route: name of the route in that version.
    :param request_id: id that the caller gave this attempt.
    :param head: request line and headers for backend servers.
    :param fingerprint: hash of method, target, host and body.
    :param remaining_us: time left until the deadline, in microseconds.
    :param shards: indexes of the shards within the route, ascending.
    :param is_hedge: whether the shards were asked before, so that little time is left.
    :param workspace: name of the caller's workspace in that version; empty for none.
    """

    gather_id: int
    version: int
    route: str
    request_id: str
    head: bytes
    body: bytes
    fingerprint: int
    remaining_us: int
    shards: tuple[int, ...]
    is_hedge: bool = False
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class GatherAnswer:
    """Outcome of some shards of a :class:`Gather`; several answers may follow one request.

    Each shard of the request is in at most one of them, as answered or as failed.

    :param shards: indexes of the shards that answered, ascending.
    :param signatures: signature of each of these answers, in the same order.
    :param records: greatest records of these answers, merged.
    :param failed: indexes of the shards without an answer, ascending.
    :param not_run: those of the failed shards at which the request certainly did not run.
    :param last: whether no further answer follows.
    :param refusal: why the request was refused before anything was sent, or an empty string.
    :param is_overdue: whether the shards without an outcome are late and should be hedged.
    """

    gather_id: int
    shards: tuple[int, ...] = ()
    signatures: tuple[str, ...] = ()
    records: bytes = b""
    failed: tuple[int, ...] = ()
    not_run: tuple[int, ...] = ()
    last: bool = True
    refusal: str = ""
    is_overdue: bool = False


@dataclass(frozen=True, slots=True)
class GatherCancel:
    """Notice that the answers to a :class:`Gather` are no longer needed."""

    gather_id: int


@dataclass(frozen=True, slots=True)
class SourceEntry:
    """One entry of the source of configuration and servers, not decoded.

    :param revision: number of the entry's last change, which counts all changes of the source.
    """

    key: str
    revision: int
    value: bytes = b""
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class FeedRequest:
    """Request to pass on what the receiver reads from the source during the next seconds.

    :param revision: revision up to which the sender has applied the changes of the source.
    :param sent_us: time of the sender in microseconds, which updates return; 0 for none.
    """

    revision: int
    sent_us: int = 0


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """Changes that the sender has read from the source.

    :param after: revision from which the receiver must start.
    :param as_of: revision of the source up to which the changes are complete.
    :param packed_entries: entries that changed between the two, see
        :mod:`mimosapost.relay.source_entries`.
    :param age_us: time in microseconds since the source stated that nothing newer existed.
    :param is_regained: whether the source was unreachable before, so that entries may be
        missing only because they expired meanwhile.
    :param request_sent_us: time in the last request of the receiver; 0 for none.
    :param confirmed_after_us: time in microseconds from the arrival of that request until the
        source stated that nothing newer existed; negative if it had stated it before.
    """

    after: int
    as_of: int
    packed_entries: bytes
    age_us: int
    is_regained: bool = False
    request_sent_us: int = 0
    confirmed_after_us: int = 0


@dataclass(frozen=True, slots=True)
class ServerNote:
    """What an instance lately observed of a backend server of its own region.

    :param process_started_ms: start of the server process that was observed, in Unix
        milliseconds.
    :param latency_percent: answer times relative to the usual one, in percent.
    :param failure_percent: share of failed sends, in percent.
    :param hung_ms: time in milliseconds for which the server is to be used last.
    :param age_ms: time in milliseconds since the observation.
    :param share_percent: share of its usual sends that the server can take, in percent; 0 if
        nothing is told of it.
    :param share_age_ms: time in milliseconds since the evidence for that.
    """

    server_id: str
    process_started_ms: int
    latency_percent: int
    failure_percent: int
    hung_ms: int
    age_ms: int
    share_percent: int = 0
    share_age_ms: int = 0


@dataclass(frozen=True, slots=True)
class ServerNotes:
    """Notes on their way to all instances.

    :param stage: 0 from the observer to the instance that it follows, 1 from there to those
        that others follow, 2 from these to their followers. Only the first two are passed on.
    :param suspects: requests that may crash servers.
    """

    stage: int
    notes: tuple[ServerNote, ...]
    suspects: tuple[SuspectNote, ...] = ()


class TrialStep(IntEnum):
    """Step of a trial, which is a run of a suspect alone at a server.

    The first four go to the coordinator of the request, the others come from it.
    """

    REQUESTED = 0
    #: The request was answered by all its servers.
    PASSED = 1
    #: The trial ended without a result.
    ENDED = 2
    #: A server crashed under the request.
    FAILED = 3
    PERMITTED = 4
    #: Another trial of the request is running.
    QUEUED = 5
    #: The request is no suspect any more.
    CLEARED = 6
    DENIED = 7


@dataclass(frozen=True, slots=True)
class TrialMessage:
    """Message between an instance that wants to run a suspect and the suspect's coordinator.

    :param trial_id: number chosen by the instance that asks, echoed by the coordinator.
    :param retry_after_us: time in microseconds until a denied trial may be asked for again.
    :param suspects: what the sender knows of the request.
    """

    step: TrialStep
    fingerprint: int
    trial_id: int
    retry_after_us: int = 0
    suspects: tuple[SuspectNote, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkspaceReport:
    """Report of one instance on the requests of a workspace, to the one that counts them.

    :param report_id: number chosen by the sender, echoed in the reply.
    :param used: requests that the sender ran since its last report.
    :param asked: further requests that it wants to run.
    """

    report_id: int
    workspace: str
    used: int
    asked: int


@dataclass(frozen=True, slots=True)
class WorkspaceGrant:
    """Reply to a :class:`WorkspaceReport`.

    :param granted: number of the further requests that may run, the oldest first.
    :param is_open: whether the workspace is so far below its limit that the receiver may run
        some requests before it reports them.
    :param wait_us: time in microseconds until there is room for a request; 0 if there is now.
    :param room_us: time in microseconds after which the first refused caller may return.
    """

    report_id: int
    granted: int
    is_open: bool
    wait_us: int = 0
    room_us: int = 0


PeerMessage = (
    Hello
    | Heartbeat
    | HeartbeatAnswer
    | Gossip
    | SubtreeRequest
    | SubtreeReply
    | Forward
    | ForwardAnswer
    | Gather
    | GatherAnswer
    | GatherCancel
    | FeedRequest
    | FeedUpdate
    | ServerNotes
    | TrialMessage
    | WorkspaceReport
    | WorkspaceGrant
)
