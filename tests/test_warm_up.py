"""Endpoints that are warming up: leases of their rate keep all routers together below a limit."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from gateway_site import Fleet, configuration, play, until
from hypothesis import given, settings
from hypothesis import strategies as st
from warm_up_simulation import KEY, LIMIT, SECOND_MS, Simulation

from tamarack_bench.warm_up_model import WarmUpOptions, simulate
from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.stall_detector import STALL_MS
from tamarack_core.warm_up import WINDOW_MS, WarmUps
from tamarack_core.warm_up_dealer import (
    LEASE_MS,
    MAX_HOLDERS,
    TAKEOVER_MS,
    Demand,
    Target,
    WarmUpDealer,
    divide,
)
from tamarack_gateway import warm_up_feed
from tamarack_gateway.endpoint_rows import MAX_WARM_UP_MS
from tamarack_gateway.unavailability import unavailability
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)
COLD: dict[str, Any] = {"coldStartS": 3.0, "coldPerS": 4.0}


def cold_configuration(version: int = 1) -> dict[str, Any]:
    """A configuration whose engines tolerate four requests a second while they warm up."""
    changed = configuration(version)
    changed["services"] = [
        {**service, **(COLD if service["name"] == "pool" else {})}
        for service in changed["services"]
    ]
    return changed


# one router


def test_a_router_without_a_lease_sends_nothing_to_an_endpoint_that_is_warming_up() -> None:
    """Failure: routers out of touch with each other exceed an endpoint's limit together."""
    warm_ups = WarmUps()
    assert warm_ups.allows(KEY, 0.0)
    assert warm_ups.listed(KEY, 3_000.0, 0.0, grantable_ms=0.0)
    assert not warm_ups.allows(KEY, 0.0)
    assert warm_ups.allows(KEY, 3_000.0)


def test_a_lease_bounds_any_second_and_ends() -> None:
    """Failure: a router that missed its renewals goes on sending while another has its part."""
    warm_ups = WarmUps()
    warm_ups.listed(KEY, 10_000.0, 0.0, grantable_ms=0.0)
    warm_ups.lease(KEY, 2, 2_000.0)
    for at_ms in (0.0, 500.0):
        assert warm_ups.allows(KEY, at_ms)
        warm_ups.sent(KEY, at_ms)
    assert not warm_ups.allows(KEY, 999.0)
    assert warm_ups.allows(KEY, WINDOW_MS)
    warm_ups.sent(KEY, WINDOW_MS)
    assert not warm_ups.allows(KEY, WINDOW_MS)
    assert not warm_ups.allows(KEY, 2_000.0)


def test_an_entry_that_says_warm_ends_a_warm_up_but_not_that_of_a_restored_domain() -> None:
    """Failure: an endpoint that became cold during an evacuation is used as if it were warm.

    Its entry may be older than that.
    """
    warm_ups = WarmUps()
    warm_ups.listed(KEY, 3_000.0, 0.0, grantable_ms=0.0)
    warm_ups.listed(KEY, 0.0, 1_000.0, grantable_ms=0.0)
    assert not warm_ups.warming(KEY, 1_000.0)
    warm_ups.restored(KEY, 5_000.0, 2_000.0, grantable_ms=2_000.0)
    warm_ups.listed(KEY, 0.0, 2_500.0, grantable_ms=0.0)
    assert warm_ups.warming(KEY, 4_999.0)
    assert not warm_ups.warming(KEY, 5_000.0)


# the dealer


def dealing(now_ms: float = 100_000.0) -> WarmUpDealer:
    """A dealer that has led for long enough."""
    dealer = WarmUpDealer()
    at_ms = now_ms - TAKEOVER_MS
    while at_ms < now_ms:
        dealer.observe(True, at_ms)
        at_ms += 500.0
    dealer.observe(True, now_ms)
    return dealer


def target(name: str = "e1", limit: int = LIMIT) -> Target:
    return Target(EndpointIncarnation(name, None), "pool", limit, 0.0)


def test_the_busiest_routers_get_the_rate() -> None:
    """Failure: a zone that returns cold is hardly used, as its rate lies with idle routers."""
    dealer, now_ms = dealing(), 100_000.0
    rates = {f"r{n}": 1.0 for n in range(80)} | {"busy": 250.0, "next": 40.0}
    for router, rate in rates.items():
        dealer.hear(Demand(router, 1, 5.0, {"pool": rate}), now_ms)
    leases = dealer.deal([target("e1"), target("e2")], now_ms)
    for name in ("e1", "e2"):
        parts = {lease.router: lease.part for lease in leases if lease.endpoint == name}
        assert sum(parts.values()) == LIMIT
        assert parts["busy"] > LIMIT / 2
        assert len(parts) <= MAX_HOLDERS


def test_a_silent_holder_keeps_its_part_until_its_lease_and_its_window_have_ended() -> None:
    """Failure: two routers use the same part of an endpoint's rate at the same time."""
    dealer, now_ms = dealing(), 100_000.0
    dealer.hear(Demand("first", 1, 5.0, {"pool": 50.0}), now_ms)
    assert [lease.router for lease in dealer.deal([target()], now_ms)] == ["first"]
    for later_ms in range(500, int(LEASE_MS + WINDOW_MS), 500):
        dealer.observe(True, now_ms + later_ms)
        dealer.hear(Demand("second", 1, 5.0 + later_ms, {"pool": 50.0}), now_ms + later_ms)
        assert dealer.deal([target()], now_ms + later_ms) == []
    over_ms = now_ms + LEASE_MS + WINDOW_MS + 1.0
    dealer.observe(True, over_ms)
    assert [lease.router for lease in dealer.deal([target()], over_ms)] == ["second"]


def test_a_new_dealer_waits_for_the_leases_of_its_predecessor() -> None:
    """Failure: two dealers lease the same rate, one of which has just lost its task."""
    dealer = WarmUpDealer()
    demand = Demand("r", 1, 5.0, {"pool": 50.0})
    for at_ms in range(0, int(TAKEOVER_MS), 500):
        dealer.observe(True, float(at_ms))
        dealer.hear(demand._replace(stamp_ms=float(at_ms)), float(at_ms))
        assert dealer.deal([target()], float(at_ms)) == []
    dealer.observe(True, TAKEOVER_MS)
    assert dealer.deal([target()], TAKEOVER_MS) != []


def test_a_dealer_that_stood_still_waits_as_a_new_one_does() -> None:
    """Failure: a frozen dealer goes on leasing when it wakes up, beside the one that took over."""
    dealer, now_ms = dealing(), 100_000.0
    assert dealer.deals(now_ms)
    woken_ms = now_ms + STALL_MS + 1.0
    assert not dealer.deals(woken_ms)
    dealer.observe(True, woken_ms)
    assert not dealer.deals(woken_ms)


def test_leases_above_a_lowered_limit_are_not_renewed() -> None:
    """Failure: after a change of the configuration an endpoint gets more than it tolerates."""
    dealer, now_ms = dealing(), 100_000.0
    dealer.hear(Demand("r", 1, 5.0, {"pool": 50.0}), now_ms)
    assert dealer.deal([target()], now_ms)[0].part == LIMIT
    dealer.hear(Demand("r", 1, 6.0, {"pool": 50.0}), now_ms)
    assert dealer.deal([target(limit=5)], now_ms) == []


@given(st.integers(0, 200), st.lists(st.floats(0.0, 1e6), max_size=8))
def test_parts_add_up_to_the_whole(whole: int, weights: list[float]) -> None:
    parts = divide(whole, weights)
    assert len(parts) == len(weights)
    assert sum(parts) == (whole if weights else 0)
    assert all(part >= 0 for part in parts)


# any order of messages, losses and pauses


@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 2**32), routers=st.integers(1, 7))
def test_no_order_of_messages_losses_and_pauses_exceeds_the_limit(seed: int, routers: int) -> None:
    """Failure: an endpoint that is warming up gets more than its limit and crashes."""
    simulation = Simulation(seed, routers)
    simulation.play(60_000.0)
    assert simulation.most_in_a_second <= LIMIT


def test_the_simulated_routers_use_the_rate() -> None:
    """Failure: the limit is kept because nothing is sent at all."""
    simulation = Simulation(3, 3)
    simulation.play(60_000.0)
    assert len(simulation.sent_ms) > 60


@pytest.mark.parametrize("routers", [8, 83])
def test_a_domain_that_returns_cold_gets_its_whole_rate_and_no_more(routers: int) -> None:
    """Failure: a third of the fleet idles because no router may send there enough."""
    fleet = WarmUpOptions(routers, cold=routers // 5 + 1, per_s=11.4 * routers)
    result = simulate("dealt", fleet)
    assert result.most <= fleet.limit
    assert result.used >= 1.0


# a fleet


async def start_cold(fleet: Fleet, worker: PlatformWorker, remaining_ms: float) -> None:
    """Add a worker that is cold."""
    entry = {**worker.entry("pool"), "coldRemainingMs": remaining_ms}
    await fleet.store.put("servers", worker.name, entry)
    await until(lambda: fleet.gateway.state.registry.find(worker.name) is not None)


def in_any_second(worker: PlatformWorker) -> int:
    times = worker.received_ms
    return max((sum(0 <= t - start < SECOND_MS for t in times) for start in times), default=0)


def test_routers_together_keep_the_limit_of_a_cold_worker_and_use_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a worker that returns cold crashes under the requests of all routers."""
    monkeypatch.setattr("tamarack_core.warm_up_dealer.TAKEOVER_MS", 300.0)
    monkeypatch.setattr(warm_up_feed, "GATHER_MS", 50.0)

    async def scenario() -> None:
        cold = PlatformWorker("cold", STREAM)
        bounds = {"warm_up_factor": 1.5, "warm_up_slack": 5.0}
        async with Fleet({"pool": []}, **bounds) as fleet, cold:
            await fleet.store.put("op", "config", cold_configuration(2))
            await fleet.add_routers(2)
            routers = [fleet.gateway, *fleet.others]
            await until(lambda: all(r.state.warm_up_limit("pool") == 11 for r in routers))
            await until(lambda: any(r._warm_ups.deals for r in routers))
            warm_ms = Clock().now_ms + 2_500.0
            await start_cold(fleet, cold, 2_500.0)
            statuses = []
            while Clock().now_ms < warm_ms - 100.0:
                asked = [fleet.ask("/draft/1", at=router) for router in routers]
                statuses += [answer.status for answer in await asyncio.gather(*asked)]
                await asyncio.sleep(0.015)
            assert in_any_second(cold) <= 11
            assert len(cold.received) >= 11
            assert set(statuses) == {200, 503}

    play(scenario())


def test_a_request_that_finds_only_cold_workers_is_refused_until_they_are_warm() -> None:
    """Failure: callers retry while no endpoint may get their requests."""

    async def scenario() -> None:
        cold = PlatformWorker("cold", STREAM)
        async with Fleet({"pool": []}) as fleet, cold:
            await fleet.store.put("op", "config", cold_configuration(2))
            await until(lambda: fleet.gateway.state.warm_up_limit("pool") == 4)
            await start_cold(fleet, cold, 1_500.0)
            answer = await fleet.ask("/draft/1")
            assert answer.status == 503
            assert 0.5 < float(answer.headers["retry-after"]) < 2.0
            assert cold.received == []
            state = fleet.gateway.state
            await until(lambda: unavailability(state, "pool") is None)
            assert (await fleet.ask("/draft/1")).status == 200

    play(scenario())


def test_endpoints_of_a_restored_domain_are_taken_to_be_cold() -> None:
    """Failure: a domain's endpoints restarted during its evacuation and get all requests at once.

    Their entries do not say so yet.
    """

    async def scenario() -> None:
        worker = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [worker]}) as fleet:
            state = fleet.gateway.state
            await fleet.store.put("op", "config", cold_configuration(2))
            await fleet.store.put("op", "evacuate/a", {})
            await until(lambda: state.evacuations.covers("a"))
            await until(lambda: state.warm_up_limit("pool") == 4)
            await fleet.store.remove("op", "evacuate/a")
            await until(lambda: not state.evacuations.covers("a"))
            assert state.warm_ups.warming(
                EndpointIncarnation("e1", worker.born), state.clock.now_ms
            )

    play(scenario())


def test_a_worker_that_crashes_while_it_is_cold_is_no_evidence_against_its_requests() -> None:
    """Failure: requests are isolated or quarantined because a worker got too many of them."""

    async def scenario() -> None:
        worker = PlatformWorker("e1", Script(fatal=True, pause_s=0.01))
        async with Fleet({"pool": [worker]}) as fleet:
            await fleet.store.put("op", "config", cold_configuration(2))
            state = fleet.gateway.state
            await until(lambda: state.warm_up_limit("pool") == 4)
            key = EndpointIncarnation("e1", worker.born)
            now_ms = state.clock.now_ms
            state.warm_ups.listed(key, 2_000.0, now_ms, grantable_ms=now_ms)
            state.warm_ups.lease(key, 4, now_ms + 2_000.0)
            await fleet.try_ask("/rewrite/1")
            await until(lambda: state.quarantine.ends_seen == 1)
            assert state.quarantine.suspect_count == 0

    play(scenario())


@pytest.mark.parametrize(
    ("remaining_ms", "warming"), [(-5.0, False), (0.0, False), (1_000.0, True), (1e15, True)]
)
def test_an_implausible_warm_up_is_bounded_by_the_service(
    remaining_ms: float, warming: bool
) -> None:
    """Failure: an endpoint with an invalid entry gets no requests for hours."""

    async def scenario() -> None:
        worker = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": []}) as fleet, worker:
            await fleet.store.put("op", "config", cold_configuration(2))
            state = fleet.gateway.state
            await until(lambda: state.warm_up_limit("pool") == 4)
            await start_cold(fleet, worker, remaining_ms)
            now_ms = state.clock.now_ms
            ending = [one.until_ms for one in state.warm_ups.warming_endpoints(now_ms)]
            assert bool(ending) is warming
            assert all(until_ms <= now_ms + 3_000.0 for until_ms in ending)
            implausible = not 0 <= remaining_ms <= MAX_WARM_UP_MS
            assert bool(state.unreadable.counts) is implausible

    play(scenario())


def test_a_service_without_a_warm_up_is_not_limited() -> None:
    """Failure: endpoints get no work as their entries say that they are cold, with no limit set."""

    async def scenario() -> None:
        worker = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": []}) as fleet, worker:
            await start_cold(fleet, worker, 3_000.0)
            assert (await fleet.ask("/draft/1")).status == 200

    play(scenario())
