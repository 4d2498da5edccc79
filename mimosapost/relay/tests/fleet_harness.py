"""Test harness of several relays that exchange peer messages over links with a delay."""

from __future__ import annotations

import heapq
import itertools

from mimosapost.membership.codec import decode_message, encode_message
from mimosapost.model.effects import SendPeer
from mimosapost.model.events import PeerLost, PeerMessageArrived
from mimosapost.model.peer_messages import Hello
from mimosapost.relay.events import InstanceStarted
from mimosapost.relay.tests.relay_harness import MS, Relay

PORT = 7380


def create_address(number: int) -> str:
    """Return the peer address of an instance."""
    return f"10.0.0.{number}:{PORT}"


class Fleet:
    """Relays with one clock and links between them.

    :param domains: failure domain of each instance; the names are ``n1``, ``n2`` and so on.
    :param delay_ms: time in milliseconds that a message takes.
    :ivar cut: pairs of names; messages from the first to the second are lost.
    :ivar messages: messages that were sent, with the names of sender and receiver.
    """

    def __init__(self, domains, routes, servers, delay_ms=8.0, seeds=(1,)) -> None:
        self.delay_us = int(delay_ms * MS)
        self.cut: set[tuple[str, str]] = set()
        self.messages: list[tuple[str, str, object]] = []
        self._in_transit: list[tuple[int, int, str, str, bytes]] = []
        self._order = itertools.count()
        self._routes = routes
        self._domains = domains
        self._seeds = seeds
        self.relays: dict[str, Relay] = {
            f"n{number}": self._create_relay(number, servers)
            for number in range(1, len(domains) + 1)
        }
        self.now_us = next(iter(self.relays.values())).now_us
        for relay in self.relays.values():
            relay.apply_event(InstanceStarted(self.now_us))
        self._collect()

    def _create_relay(self, number: int, servers) -> Relay:
        return Relay(
            self._routes,
            servers,
            domain=self._domains[number - 1],
            seed=number,
            name=f"n{number}",
            peer_address=create_address(number),
            seed_addresses=tuple(create_address(seed) for seed in self._seeds),
        )

    def restart(self, name: str, servers) -> Relay:
        """Replace an instance by one that knows only the configuration and the servers."""
        relay = self.relays[name] = self._create_relay(int(name[1:]), servers)
        relay.state.rng.seed(self.now_us)
        relay.now_us = self.now_us
        relay.apply_event(InstanceStarted(self.now_us))
        self._collect()
        return relay

    def __getitem__(self, name: str) -> Relay:
        return self.relays[name]

    def _collect(self) -> None:
        for name, relay in self.relays.items():
            effects, relay.effects = relay.effects, []
            for effect in effects:
                if isinstance(effect, SendPeer):
                    self._post(name, effect)
                else:
                    relay.effects.append(effect)

    def _post(self, sender: str, effect: SendPeer) -> None:
        receiver = next(
            name
            for name, relay in self.relays.items()
            if relay.state.peers.own.peer_address == effect.address
        )
        self.messages.append((sender, receiver, effect.message))
        if (sender, receiver) not in self.cut:
            frame = encode_message(effect.message)
            entry = (self.now_us + self.delay_us, next(self._order), sender, receiver, frame)
            heapq.heappush(self._in_transit, entry)

    def _deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        relay = self.relays[receiver]
        identity = self.relays[sender].state.peers.own
        relay.apply_event(PeerMessageArrived(self.now_us, sender, Hello(1, identity)))
        relay.apply_event(PeerMessageArrived(self.now_us, sender, decode_message(frame)))

    def advance(self, milliseconds: float) -> None:
        """Advance the clock, deliver messages and fire timers."""
        until_us = self.now_us + int(milliseconds * MS)
        self._collect()
        while True:
            due = [r.state.timers.get_next_due_us() for r in self.relays.values()]
            due += [self._in_transit[0][0]] if self._in_transit else []
            next_us = min((at_us for at_us in due if at_us is not None), default=until_us + 1)
            self.now_us = max(self.now_us, min(next_us, until_us))
            while self._in_transit and self._in_transit[0][0] <= self.now_us:
                _, _, sender, receiver, frame = heapq.heappop(self._in_transit)
                self._deliver(sender, receiver, frame)
            for relay in self.relays.values():
                relay.advance((self.now_us - relay.now_us) / MS)
            self._collect()
            if next_us > until_us:
                return

    def lose(self, name: str, lost: str) -> None:
        """Report to an instance that its link to another one broke."""
        self.relays[name].apply_event(PeerLost(self.now_us, lost))
        self._collect()

    def count_messages(self, kind: type) -> int:
        """Return the number of messages of one kind that were sent."""
        return sum(isinstance(message, kind) for _, _, message in self.messages)
