"""Gossip between instances: periodic rounds and the handling of peer messages."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from mimosapost.membership.config_store import Accepted, ConfigStore, Refused, Stale
from mimosapost.membership.gossip_choices import (
    FANOUT,
    choose_announced,
    choose_newer_versions,
    choose_requests,
)
from mimosapost.membership.members import DuplicateSeat, Member, MemberTable
from mimosapost.model.effects import SendPeer
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.peer_messages import (
    Gossip,
    Hello,
    PeerMessage,
    SubtreeReply,
    SubtreeRequest,
    SuspectNote,
    TreeVersion,
    WarmupNote,
)

__all__ = ["GossipExchange", "ExchangeResult"]

# Time in which a requested text is not requested again from any peer. Afterwards it may be,
# because the request or the reply may have been lost.
_REQUEST_TIMEOUT_US = 1_000_000
_MAX_RECENT_TEAMS = 32


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Result of a peer message or an offered subtree.

    :param sends: messages to send in response.
    :param team: team whose subtree was offered, or an empty string.
    :param offered: whether the subtree was accepted, or ``None`` if none was offered.
    :param duplicate: duplicate seat that this message revealed first, or ``None``.
    """

    sends: tuple[SendPeer, ...] = ()
    team: str = ""
    offered: Accepted | Refused | Stale | None = None
    duplicate: DuplicateSeat | None = None


class GossipExchange:
    """Spreads configuration versions between instances by push and pull.

    :param own: identity of this instance.
    :param members: table in which the identities of peers are recorded.
    :param configs: store to which received texts are offered.
    :param rng: seeded random numbers for the choice of targets.
    """

    def __init__(
        self, own: InstanceIdentity, members: MemberTable, configs: ConfigStore, rng: Random
    ) -> None:
        self._own = own
        self._members = members
        self._configs = configs
        self._rng = rng
        # Starts at the seat, so that instances started together announce different parts of
        # the rotation.
        self._round_number = own.seat
        self._leaving = False
        self._more_to_request = False
        self._recent_teams: deque[str] = deque(maxlen=_MAX_RECENT_TEAMS)
        self._requested: dict[TreeVersion, int] = {}

    def start_round(
        self,
        now_us: int,
        leaving: bool = False,
        suspects: tuple[SuspectNote, ...] = (),
        warmups: tuple[WarmupNote, ...] = (),
    ) -> tuple[SendPeer, ...]:
        """Create the messages of one gossip round.

        :param now_us: monotonic time in microseconds.
        :param leaving: whether this instance is leaving; once set, it stays set.
        :param suspects: suspect requests to report.
        :param warmups: cold starts to report.
        :returns: one message for each target.
        """
        self._round_number += 1
        self._leaving = self._leaving or leaving
        for version, requested_us in list(self._requested.items()):
            if now_us - requested_us >= _REQUEST_TIMEOUT_US:
                del self._requested[version]
        announced = choose_announced(
            self._configs.list_versions(), tuple(self._recent_teams), self._round_number
        )
        return self._send_gossip(announced, suspects, True, warmups)

    def request_all_subtrees(self) -> tuple[SendPeer, ...]:
        """Request all subtrees from other members, before a new instance starts to serve.

        A peer responds to a request without teams by announcing all its versions.

        :returns: one message for each target.
        """
        targets = self._members.choose_targets(self._rng, FANOUT)
        return tuple(
            SendPeer(target.name, target.peer_address, SubtreeRequest(())) for target in targets
        )

    def offer(self, team: str, version: int, text: bytes, now_us: int) -> ExchangeResult:
        """Offer a subtree to the store, and announce it at once if it is accepted.

        :param team: team that published the subtree, or ``fleet``.
        :param version: version assigned by the configuration service.
        :param text: document as published.
        :param now_us: monotonic time in microseconds.
        :returns: result of the offer and the messages that announce the subtree.
        """
        offered = self._configs.offer(team, version, text, now_us)
        if not isinstance(offered, Accepted):
            return ExchangeResult(team=team, offered=offered)
        if team in self._recent_teams:
            self._recent_teams.remove(team)
        self._recent_teams.appendleft(team)
        announcement = tuple(
            entry for entry in self._configs.list_versions() if entry.team == team
        )
        return ExchangeResult(
            self._send_gossip(announcement, (), reply_wanted=False), team, offered
        )

    def handle(self, peer: str, message: PeerMessage, now_us: int) -> ExchangeResult:
        """Handle a ``Hello``, ``Gossip``, ``SubtreeRequest`` or ``SubtreeReply`` message.

        :param peer: name of the sending instance.
        :param message: peer message; messages of other kinds are ignored.
        :param now_us: monotonic time in microseconds.
        :returns: messages to send, and what the message revealed.
        """
        if isinstance(message, Hello):
            return ExchangeResult(
                duplicate=self._members.record_hello(message.identity, now_us)
            )
        if isinstance(message, Gossip):
            return self._handle_gossip(message, now_us)
        if isinstance(message, SubtreeRequest):
            return ExchangeResult(self._answer_request(peer, message))
        if isinstance(message, SubtreeReply):
            return self._handle_reply(peer, message, now_us)
        return ExchangeResult()

    def _handle_reply(self, peer: str, message: SubtreeReply, now_us: int) -> ExchangeResult:
        outcome = self.offer(message.team, message.version, message.text, now_us)
        for version in [v for v in self._requested if v.team == message.team]:
            del self._requested[version]
        member = self._members.find_by_name(peer)
        if self._requested or not self._more_to_request or member is None:
            return outcome
        if isinstance(outcome.offered, Stale):
            # A peer may announce a newer version but send an older text. Requesting again would
            # then never end.
            return outcome
        # The announcement listed more newer versions than fit into one request.
        self._more_to_request = False
        follow_up = SendPeer(peer, member.peer_address, SubtreeRequest(()))
        return replace(outcome, sends=(*outcome.sends, follow_up))

    def _handle_gossip(self, message: Gossip, now_us: int) -> ExchangeResult:
        duplicate = self._members.record_gossip(message, now_us)
        sender = message.identity
        own = self._configs.list_versions()
        wanted = choose_requests(own, message.versions, self._is_requested_or_refused)
        sends = []
        if wanted:
            for entry in message.versions:
                if entry.team in wanted:
                    self._requested[entry] = now_us
            remaining = choose_requests(
                own, message.versions, self._is_requested_or_refused, limit=1
            )
            self._more_to_request = self._more_to_request or bool(remaining)
            request = SubtreeRequest(wanted)
            sends.append(SendPeer(sender.name, sender.peer_address, request))
        if message.reply_wanted:
            newer = choose_newer_versions(own, message.versions)
            if newer:
                reply = Gossip(self._own, self._leaving, newer, (), reply_wanted=False)
                sends.append(SendPeer(sender.name, sender.peer_address, reply))
        return ExchangeResult(tuple(sends), duplicate=duplicate)

    def _answer_request(self, peer: str, message: SubtreeRequest) -> tuple[SendPeer, ...]:
        member = self._members.find_by_name(peer)
        if member is None:
            return ()
        held = {entry.team: entry for entry in self._configs.list_versions()}
        if not message.teams:
            full_announcement = Gossip(
                self._own, self._leaving, tuple(held.values()), (), False
            )
            return (SendPeer(peer, member.peer_address, full_announcement),)
        return tuple(
            SendPeer(peer, member.peer_address, SubtreeReply(team, held[team].version, text))
            for team in dict.fromkeys(message.teams)
            if team in held
            for text in [self._configs.get_text(team)]
            if text is not None
        )

    def _send_gossip(
        self,
        versions: tuple[TreeVersion, ...],
        suspects: tuple[SuspectNote, ...],
        reply_wanted: bool,
        warmups: tuple[WarmupNote, ...] = (),
    ) -> tuple[SendPeer, ...]:
        message = Gossip(self._own, self._leaving, versions, suspects, reply_wanted, warmups)
        targets: list[Member] = self._members.choose_targets(self._rng, FANOUT)
        return tuple(SendPeer(target.name, target.peer_address, message) for target in targets)

    def _is_requested_or_refused(self, entry: TreeVersion) -> bool:
        return entry in self._requested or self._configs.is_refused(entry)
