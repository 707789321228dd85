"""Relays and subscriptions in a large fleet, on a simulated clock."""

from __future__ import annotations

from tamarack_core.relay_plan import CANDIDATES, SILENCE_MS, Peer, RelayPlan

DOMAINS = ("a", "b", "c", "d")


def fleet(size: int) -> dict[str, Peer]:
    names = [f"router-{number}" for number in range(size)]
    return {
        name: Peer(name, f"{name}:1", DOMAINS[number % len(DOMAINS)])
        for number, name in enumerate(names)
    }


def plans(peers: dict[str, Peer], now_ms: float = 0.0) -> dict[str, RelayPlan]:
    found = {}
    for name, peer in peers.items():
        found[name] = RelayPlan(name, peer.failure_domain)
        found[name].put(peers, now_ms)
    return found


def relays(of: dict[str, RelayPlan], peers: dict[str, Peer], now_ms: float) -> list[str]:
    names = [name for name, plan in of.items() if plan.links(now_ms).relays]
    return sorted(names, key=lambda name: peers[name].failure_domain)


def test_routers_of_a_small_fleet_subscribe_to_all_others() -> None:
    peers = fleet(8)
    for name, plan in plans(peers).items():
        links = plan.links(0.0)
        assert not links.relays
        assert links.domains is None
        assert links.addresses == {p.address for p in peers.values() if p.router != name}


def test_each_failure_domain_of_a_large_fleet_has_one_relay() -> None:
    peers = fleet(66)
    found = relays(plans(peers), peers, 0.0)
    assert [peers[name].failure_domain for name in found] == list(DOMAINS)


def test_routers_and_their_relay_subscribe_to_each_other() -> None:
    """Failure: some routers do not receive the placements of others.

    This happens if a router reports to another one than its relay, or if the relays do not
    subscribe to each other.
    """
    peers = fleet(66)
    of = plans(peers)
    found = relays(of, peers, 0.0)
    for relay in found:
        domain = peers[relay].failure_domain
        subscribed = of[relay].links(0.0).addresses
        near = {p.address for p in peers.values() if p.failure_domain == domain}
        assert near - {peers[relay].address} <= subscribed
        assert {peers[other].address for other in found if other != relay} <= subscribed
        for name, peer in peers.items():
            if peer.failure_domain == domain and name != relay:
                assert peers[relay].address in of[name].links(0.0).addresses


def test_subscriptions_do_not_grow_with_the_fleet() -> None:
    for size in (66, 300):
        peers = fleet(size)
        of = plans(peers)
        idle = [plan for plan in of.values() if not plan.links(0.0).relays]
        assert max(len(plan.links(0.0).addresses) for plan in idle) <= CANDIDATES


def test_the_next_candidate_takes_over_from_a_silent_relay() -> None:
    """Failure: a failure domain permanently receives nothing from the others.

    Its relay is killed while its row in the store stays, and the choice of the relay depends on the
    store's rows alone.
    """
    peers = fleet(66)
    of = plans(peers)
    dead = relays(of, peers, 0.0)[0]
    lost_ms = SILENCE_MS + 1.0
    alive = {name: plan for name, plan in of.items() if name != dead}
    for name, plan in alive.items():
        for other in relays(of, peers, 0.0)[1:]:
            if peers[other].failure_domain == peers[name].failure_domain:
                plan.record_relay(other, lost_ms)
    found = relays(alive, peers, lost_ms)
    assert [peers[name].failure_domain for name in found] == list(DOMAINS)
    for plan in alive.values():
        plan.record_relay(dead, lost_ms + 50.0)
    assert dead not in relays(alive, peers, lost_ms + 50.0)
    assert len(relays(alive, peers, lost_ms + 50.0)) == len(DOMAINS) - 1


def test_a_relay_that_receives_nothing_stops_publishing() -> None:
    """Failure: a failure domain receives no updates although its relay publishes.

    The relay is partitioned in one direction: it sends, but receives nothing. The others receive
    its messages, so that none of them takes over.
    """
    peers = fleet(66)
    of = plans(peers)
    relay = of[relays(of, peers, 0.0)[0]]
    relay.record_report(1_000.0)
    assert relay.should_publish(2_000.0)
    assert not relay.should_publish(1_000.0 + 2 * SILENCE_MS + 1.0)


def test_a_router_alone_in_its_failure_domain_is_its_relay() -> None:
    peers = fleet(13)
    single = Peer("z", "z:1", "z")
    peers["z"] = single
    plan = RelayPlan("z", "z")
    plan.put(peers, 0.0)
    assert plan.links(60_000.0).relays
    assert plan.should_publish(60_000.0)
