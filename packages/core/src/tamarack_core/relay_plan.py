"""Relays of failure domains, and the subscriptions between routers that follow from them.

In a small fleet each router subscribes to all others. In a large one that costs more than the
requests themselves: at 66 routers each received some 440 messages a second, 29,000 in total, most
of them across failure domains. There one router of each failure domain, its relay, aggregates the
reports of the others and publishes them at short intervals to its own failure domain and to the
other relays.

There is no election: all routers rank those of a failure domain in the same order, by rendezvous
hashing, and the first one that is not silent is the relay. While local views differ there may be
two, and their reports are counted twice; the next first events of engines correct that.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from tamarack_core.rendezvous import ranked

SMALL_FLEET = 12
"""Largest fleet in which each router subscribes to all others; up to this size that costs less than
the failure of a relay."""

CANDIDATES = 6
"""Routers of a failure domain that may be its relay. All others subscribe to them in advance, so
that they receive a new relay's messages at once; the loss of all six together is very unlikely."""

SILENCE_MS = 700.0
"""Milliseconds without a message after which a relay counts as silent. Relays publish at least each
100 ms; until the next one takes over, the failure domain receives no updates."""

STAGGER_MS = 300.0
"""Milliseconds added to that time for each further rank, so that the candidate before it can take
over and publish. Otherwise all remaining candidates would take over at once, and their reports
would be counted several times."""


class Peer(NamedTuple):
    """A router listed in the store; `address` is where others subscribe."""

    router: str
    address: str
    failure_domain: str


class Links(NamedTuple):
    """Subscriptions of a router.

    Attributes
    ----------
    addresses
        Routers to subscribe to.
    domains
        Failure domains whose routers' own reports it receives; None for all.
    relays
        Whether it is the relay of its own failure domain.
    """

    addresses: frozenset[str]
    domains: frozenset[str] | None
    relays: bool


class RelayPlan:
    """One router's local view of the relays.

    Parameters
    ----------
    router, failure_domain
        This router.
    """

    def __init__(self, router: str, failure_domain: str) -> None:
        self._router = router
        self._failure_domain = failure_domain
        self._peers: dict[str, Peer] = {}
        self._last_heard_ms: dict[str, float] = {}
        self._reported_ms = 0.0
        self._rankings: dict[str, list[str]] = {}
        self._links: dict[bool, Links] = {}

    @property
    def large(self) -> bool:
        """Whether the fleet is large enough for relays."""
        return len(self._peers.keys() | {self._router}) > SMALL_FLEET

    @property
    def other_domains(self) -> set[str]:
        """The other failure domains that have routers."""
        return {peer.failure_domain for peer in self._peers.values()} - {self._failure_domain}

    def put(self, peers: Mapping[str, Peer], now_ms: float) -> None:
        """Replace the set of routers listed in the store."""
        self._peers = {name: peer for name, peer in peers.items() if name != self._router}
        self._last_heard_ms = {name: self._last_heard_ms.get(name, now_ms) for name in self._peers}
        self._rankings, self._links = {}, {}
        self._reported_ms = max(self._reported_ms, now_ms)

    def record_relay(self, router: str, now_ms: float) -> None:
        """Record that a router published as a relay."""
        if router in self._last_heard_ms:
            self._last_heard_ms[router] = now_ms

    def record_report(self, now_ms: float) -> None:
        """Record that a router of this failure domain reported to this one."""
        self._reported_ms = now_ms

    def links(self, now_ms: float) -> Links:
        """Current subscriptions."""
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

    def should_publish(self, now_ms: float) -> bool:
        """Whether this router, if it is the relay, should publish.

        A relay that receives nothing from its own failure domain is partitioned from it in one
        direction. It stops publishing, so that the next candidate takes over; otherwise the failure
        domain's reports would be lost.
        """
        alone = all(peer.failure_domain != self._failure_domain for peer in self._peers.values())
        return alone or now_ms - self._reported_ms <= 2 * SILENCE_MS

    def _relays(self, now_ms: float) -> bool:
        order = self._ranking(self._failure_domain)
        if self._router not in order:
            return False
        ahead = order[: order.index(self._router)]
        silence_ms = SILENCE_MS + STAGGER_MS * max(0, len(ahead) - 1)
        return all(now_ms - self._last_heard_ms[name] > silence_ms for name in ahead)

    def candidates(self, domain: str) -> list[Peer]:
        """Other routers that may be the relay of a failure domain, in order of preference."""
        order = [name for name in self._ranking(domain) if name != self._router]
        return [self._peers[name] for name in order[:CANDIDATES]]

    def _ranking(self, domain: str) -> list[str]:
        # Cached because it is used ten times a second and changes only with the list of routers.
        if domain not in self._rankings:
            self._rankings[domain] = self._rank_domain(domain)
        return self._rankings[domain]

    def _rank_domain(self, domain: str) -> list[str]:
        names = {n for n, peer in self._peers.items() if peer.failure_domain == domain}
        if domain == self._failure_domain:
            names.add(self._router)
        return ranked(f"relay/{domain}", names)[:CANDIDATES]
