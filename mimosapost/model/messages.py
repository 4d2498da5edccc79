"""Messages between instances, independent of their encoding."""

from __future__ import annotations

from dataclasses import dataclass

from mimosapost.model.identities import InstanceIdentity

__all__ = [
    "Forward",
    "ForwardAnswer",
    "Gossip",
    "Heartbeat",
    "HeartbeatAnswer",
    "Hello",
    "PeerMessage",
    "SubtreeReply",
    "SubtreeRequest",
    "SuspectNote",
    "TreeVersion",
    "WarmupNote",
]


@dataclass(frozen=True, slots=True)
class Hello:
    """First message on a peer link, in both directions."""

    protocol: int
    identity: InstanceIdentity


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks a witness to acknowledge the lease of a seat."""

    seat: int
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer of a witness; ``lapsed`` lists the seats that it reports as lapsed."""

    witness_seat: int
    witness_incarnation: int
    seat: int
    incarnation: int
    number: int
    acknowledged: bool
    lapsed: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TreeVersion:
    """Newest accepted subtree of a team: ordered by version, then digest."""

    team: str
    version: int
    digest: int


@dataclass(frozen=True, slots=True)
class SuspectNote:
    """What an instance knows of a request that was in flight when a server crashed.

    :param fingerprint: hash of service and body.
    :param crashes: crashes during which the request was in flight.
    :param refused_for_us: remaining time of refusal in microseconds, 0 for a mere suspect.
    """

    fingerprint: int
    crashes: int
    refused_for_us: int


@dataclass(frozen=True, slots=True)
class WarmupNote:
    """What one instance tells others about the cold start of a server.

    :param falls: returns to cold start known so far; the note with more of them is newer.
    :param limit: limit reached since the last return to cold start.
    """

    server: str
    boot_id: str
    falls: int
    limit: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Periodic exchange of versions, leaving mark, suspects and cold starts."""

    identity: InstanceIdentity
    leaving: bool
    versions: tuple[TreeVersion, ...]
    suspects: tuple[SuspectNote, ...]
    reply_wanted: bool
    warmups: tuple[WarmupNote, ...] = ()


@dataclass(frozen=True, slots=True)
class SubtreeRequest:
    """Asks a peer for the newest subtrees of some teams."""

    teams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SubtreeReply:
    """The published text of one team's newest accepted subtree."""

    team: str
    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Forward:
    """A non-idempotent query for the instance that issued its ticket.

    :param forward_id: number chosen by the sender, echoed in the answer.
    :param target_incarnation: incarnation that issued the ticket; any other one refuses.
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


PeerMessage = (
    Hello
    | Heartbeat
    | HeartbeatAnswer
    | Gossip
    | SubtreeRequest
    | SubtreeReply
    | Forward
    | ForwardAnswer
)
