"""Gossip rounds and answers: joins member table, configuration book and decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from mimosapost.membership.configs import Accepted, ConfigBook, Refused, Stale
from mimosapost.membership.gossip import (
    FANOUT,
    choose_announced,
    choose_pushes,
    choose_requests,
)
from mimosapost.membership.members import DuplicateSeat, Member, MemberTable
from mimosapost.model.effects import SendPeer
from mimosapost.model.identities import InstanceIdentity
from mimosapost.model.messages import (
    Gossip,
    Hello,
    PeerMessage,
    SubtreeReply,
    SubtreeRequest,
    SuspectNote,
    TreeVersion,
    WarmupNote,
)

__all__ = ["Exchange", "Outcome"]

# A text that was requested is not requested from another peer for this long.
_REQUEST_HELD_US = 1_000_000
_RECENT_TEAMS = 32


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a message led to.

    :param sends: messages to send.
    :param team: team whose subtree was offered, or an empty string.
    :param offered: what became of the offered subtree.
    :param duplicate: duplicate seat that the message showed for the first time.
    """

    sends: tuple[SendPeer, ...] = ()
    team: str = ""
    offered: Accepted | Refused | Stale | None = None
    duplicate: DuplicateSeat | None = None


class Exchange:
    """Spreads configuration versions between instances by push and pull.

    :param own: identity of this instance.
    :param members: member table that receives the identities heard.
    :param configs: configuration book that receives the texts.
    :param rng: seeded random numbers for the choice of targets.
    """

    def __init__(
        self, own: InstanceIdentity, members: MemberTable, configs: ConfigBook, rng: Random
    ) -> None:
        self._own = own
        self._members = members
        self._configs = configs
        self._rng = rng
        # Instances that started together must not announce the same rotating part.
        self._round = own.seat
        self._leaving = False
        self._unfinished = False
        self._recent: deque[str] = deque(maxlen=_RECENT_TEAMS)
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
        :param leaving: whether this instance leaves.
        :param suspects: suspects to pass on.
        :param warmups: cold starts to pass on.
        :returns: one message for each target.
        """
        self._round += 1
        self._leaving = self._leaving or leaving
        for version, asked_us in list(self._requested.items()):
            if now_us - asked_us >= _REQUEST_HELD_US:
                del self._requested[version]
        announced = choose_announced(self._configs.versions(), tuple(self._recent), self._round)
        return self._send_gossip(announced, suspects, True, warmups)

    def request_all(self) -> tuple[SendPeer, ...]:
        """Ask members for everything they hold, as a new instance does before it serves.

        A request without teams is answered by an announcement of all versions.

        :returns: one message for each target.
        """
        targets = self._members.choose_targets(self._rng, FANOUT)
        return tuple(
            SendPeer(target.name, target.peer_address, SubtreeRequest(())) for target in targets
        )

    def offer(self, team: str, version: int, text: bytes, now_us: int) -> Outcome:
        """Take a subtree, and announce it at once if it was accepted.

        :param team: team that published it, or ``fleet``.
        :param version: version that the configuration service gave it.
        :param text: value document as published.
        :param now_us: monotonic time in microseconds.
        :returns: the result and the messages that announce it.
        """
        offered = self._configs.offer(team, version, text, now_us)
        if not isinstance(offered, Accepted):
            return Outcome(team=team, offered=offered)
        if team in self._recent:
            self._recent.remove(team)
        self._recent.appendleft(team)
        news = tuple(entry for entry in self._configs.versions() if entry.team == team)
        return Outcome(self._send_gossip(news, (), reply_wanted=False), team, offered)

    def handle(self, peer: str, message: PeerMessage, now_us: int) -> Outcome:
        """Handle a greeting, gossip, subtree request or subtree reply.

        :param peer: name of the instance that sent it.
        :param message: peer message; other kinds lead to nothing.
        :param now_us: monotonic time in microseconds.
        """
        if isinstance(message, Hello):
            return Outcome(duplicate=self._members.record_hello(message.identity, now_us))
        if isinstance(message, Gossip):
            return self._handle_gossip(message, now_us)
        if isinstance(message, SubtreeRequest):
            return Outcome(self._answer_request(peer, message))
        if isinstance(message, SubtreeReply):
            return self._handle_reply(peer, message, now_us)
        return Outcome()

    def _handle_reply(self, peer: str, message: SubtreeReply, now_us: int) -> Outcome:
        outcome = self.offer(message.team, message.version, message.text, now_us)
        for version in [v for v in self._requested if v.team == message.team]:
            del self._requested[version]
        member = self._members.find_name(peer)
        if self._requested or not self._unfinished or member is None:
            return outcome
        if isinstance(outcome.offered, Stale):
            # A peer that announces more than it sends must not cause an endless exchange.
            return outcome
        # The announcement named more newer versions than one request may.
        self._unfinished = False
        again = SendPeer(peer, member.peer_address, SubtreeRequest(()))
        return replace(outcome, sends=(*outcome.sends, again))

    def _handle_gossip(self, message: Gossip, now_us: int) -> Outcome:
        duplicate = self._members.record_gossip(message, now_us)
        sender = message.identity
        own = self._configs.versions()
        wanted = choose_requests(own, message.versions, self._is_unwanted)
        sends = []
        if wanted:
            for entry in message.versions:
                if entry.team in wanted:
                    self._requested[entry] = now_us
            remaining = choose_requests(own, message.versions, self._is_unwanted, limit=1)
            self._unfinished = self._unfinished or bool(remaining)
            request = SubtreeRequest(wanted)
            sends.append(SendPeer(sender.name, sender.peer_address, request))
        if message.reply_wanted:
            lacking = choose_pushes(own, message.versions)
            if lacking:
                reply = Gossip(self._own, self._leaving, lacking, (), reply_wanted=False)
                sends.append(SendPeer(sender.name, sender.peer_address, reply))
        return Outcome(tuple(sends), duplicate=duplicate)

    def _answer_request(self, peer: str, message: SubtreeRequest) -> tuple[SendPeer, ...]:
        member = self._members.find_name(peer)
        if member is None:
            return ()
        held = {entry.team: entry for entry in self._configs.versions()}
        if not message.teams:
            everything = Gossip(self._own, self._leaving, tuple(held.values()), (), False)
            return (SendPeer(peer, member.peer_address, everything),)
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

    def _is_unwanted(self, entry: TreeVersion) -> bool:
        return entry in self._requested or self._configs.is_refused(entry)
