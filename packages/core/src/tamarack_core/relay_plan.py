"""Which routers pass messages on for their failure domain, and who listens to whom.

In a small fleet each router listens to all others. In a large one that costs more than the
requests themselves: at 66 routers each took in some 440 messages a second, 29,000 together, most
of them across failure domains. There one router of each failure domain, its relay, gathers what
the others of it tell, and passes it on at short intervals to its own and to the other relays.

Nobody is elected: all rank the routers of a failure domain alike, by hashing, and the first one
that is not silent relays. While views differ two may relay, and what both pass on is counted twice
for that time; the next first events of engines set it right.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from tamarack_core.rendezvous import ranked

SMALL_FLEET = 12
"""Routers up to which each listens to all others: what that costs is less than what a relay that
fails would."""

CANDIDATES = 6
"""Routers of a failure domain that may relay. All others listen to these, so that the next one is
heard at once; six of them are lost together hardly ever."""

SILENCE_MS = 700.0
"""Time without a message after which a relay counts as silent. Relays speak each 100 ms at the
least; until the next one takes over, its failure domain hears nothing new."""

STAGGER_MS = 300.0
"""What each further rank adds to that time: the one before has taken over and been heard by then.
Without it all that remain take over at once, and what they pass on is counted several times."""


class Peer(NamedTuple):
    """A router as the store lists it; `address` is where others subscribe."""

    router: str
    address: str
    failure_domain: str


class Links(NamedTuple):
    """What a router listens to.

    Attributes
    ----------
    addresses
        Routers to subscribe to.
    domains
        Failure domains whose routers it hears directly; None for all.
    relays
        Whether it relays for its own.
    """

    addresses: frozenset[str]
    domains: frozenset[str] | None
    relays: bool


class RelayPlan:
    """One router's view of who relays.

    Parameters
    ----------
    router, failure_domain
        This router.
    """

    def __init__(self, router: str, failure_domain: str) -> None:
        self._router = router
        self._failure_domain = failure_domain
        self._peers: dict[str, Peer] = {}
        self._since_ms: dict[str, float] = {}
        self._reported_ms = 0.0
        self._orders: dict[str, list[str]] = {}
        self._links: dict[bool, Links] = {}

    @property
    def large(self) -> bool:
        """Whether the fleet is large enough for relays."""
        return len(self._peers.keys() | {self._router}) > SMALL_FLEET

    def put(self, peers: Mapping[str, Peer], now_ms: float) -> None:
        """Take in the routers that the store lists."""
        self._peers = {name: peer for name, peer in peers.items() if name != self._router}
        self._since_ms = {name: self._since_ms.get(name, now_ms) for name in self._peers}
        self._orders, self._links = {}, {}
        self._reported_ms = max(self._reported_ms, now_ms)

    def relay_heard(self, router: str, now_ms: float) -> None:
        """Take in that a router relays."""
        if router in self._since_ms:
            self._since_ms[router] = now_ms

    def report_heard(self, now_ms: float) -> None:
        """Take in that a router of this failure domain reported to this one."""
        self._reported_ms = now_ms

    def links(self, now_ms: float) -> Links:
        """What to listen to now."""
        relays = self.large and self._relays(now_ms)
        if relays not in self._links:
            self._links[relays] = self._links_if(relays)
        return self._links[relays]

    def _links_if(self, relays: bool) -> Links:
        if not self.large:
            return Links(frozenset(p.address for p in self._peers.values()), None, False)
        own = self._failure_domain
        addresses = {peer.address for peer in self.candidates(own)}
        if relays:
            for peer in self._peers.values():
                if peer.failure_domain == own:
                    addresses.add(peer.address)
            for domain in {peer.failure_domain for peer in self._peers.values()}:
                addresses.update(peer.address for peer in self.candidates(domain))
        return Links(frozenset(addresses), frozenset((own,)) if relays else frozenset(), relays)

    def speaks(self, now_ms: float) -> bool:
        """Whether this router, if it relays, has anything to pass on.

        A relay that hears nobody of its own failure domain is cut off from it in one direction. It
        falls silent, so that the next one takes over; its domain would otherwise hear nothing.
        """
        alone = all(peer.failure_domain != self._failure_domain for peer in self._peers.values())
        return alone or now_ms - self._reported_ms <= 2 * SILENCE_MS

    def _relays(self, now_ms: float) -> bool:
        order = self._order(self._failure_domain)
        if self._router not in order:
            return False
        ahead = order[: order.index(self._router)]
        silence_ms = SILENCE_MS + STAGGER_MS * max(0, len(ahead) - 1)
        return all(now_ms - self._since_ms[name] > silence_ms for name in ahead)

    def candidates(self, domain: str) -> list[Peer]:
        """Other routers that may relay for a failure domain, in order."""
        order = [name for name in self._order(domain) if name != self._router]
        return [self._peers[name] for name in order[:CANDIDATES]]

    def _order(self, domain: str) -> list[str]:
        # Looked at ten times a second, and the same until the list of routers changes.
        if domain not in self._orders:
            self._orders[domain] = self._ranked(domain)
        return self._orders[domain]

    def _ranked(self, domain: str) -> list[str]:
        names = {n for n, peer in self._peers.items() if peer.failure_domain == domain}
        if domain == self._failure_domain:
            names.add(self._router)
        return ranked(f"relay/{domain}", names)[:CANDIDATES]
