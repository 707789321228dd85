"""Work that a router spends while many endpoints warm up together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from gateway_site import play
from test_ended_exclusions import ENDPOINTS, WARM_UP, LookUps, state_of_a_pool

from tamarack_core import warm_up
from tamarack_core.clock import Clock, ManualClock
from tamarack_core.endpoint_registry import EndpointRegistry
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.unavailability import unavailability
from tamarack_gateway.warm_up_feed import RENEW_MS, WarmUpFeed


def warm_all_up(state: FleetState) -> None:
    for endpoint in state.registry.usable("pool"):
        state.record_warm_up(endpoint._replace(warm_up_ms=WARM_UP.duration_ms), unused=True)


def counted(function: Callable[..., Any], counts: list[int]) -> Callable[..., Any]:
    def count(*arguments: Any) -> Any:
        counts[0] += 1
        return function(*arguments)

    return count


def test_warm_ups_that_begin_together_do_not_look_at_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a failure domain's endpoints return cold, and each looks at all others for old ones.

    With 750 endpoints that takes 142 ms of every router.
    """
    state = state_of_a_pool(ManualClock(1_000.0))
    looked = [0]
    monkeypatch.setattr(
        warm_up._WarmUp, "until_ms", property(counted(warm_up._WarmUp.until_ms.fget, looked))
    )
    warm_all_up(state)
    assert looked[0] <= 3 * ENDPOINTS


def test_a_router_that_does_not_deal_rarely_lists_the_endpoints_that_warm_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: each router of a large fleet lists all endpoints that warm up ten times a second."""

    async def scenario() -> None:
        state = state_of_a_pool(Clock())
        feed = WarmUpFeed(state, boot=1, leads=lambda: False, publish=lambda notice: None)
        state.allowance.record_request("pool", state.clock.now_ms)
        warm_all_up(state)
        found = [0]
        monkeypatch.setattr(EndpointRegistry, "find", counted(EndpointRegistry.find, found))
        task = asyncio.ensure_future(feed.run())
        await asyncio.sleep(RENEW_MS / 1000)
        task.cancel()
        # At the beginning, and once more when it may ask again.
        assert found[0] <= 2 * ENDPOINTS

    play(scenario())


@pytest.mark.parametrize("warming", [0, 1, ENDPOINTS - 1])
def test_a_refusal_looks_at_few_endpoints_while_others_take_requests(
    warming: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: each refusal looks at thousands of endpoints for one that rests or warms up."""
    state = state_of_a_pool(ManualClock(1_000.0))
    for endpoint in state.registry.usable("pool")[:warming]:
        state.record_warm_up(endpoint._replace(warm_up_ms=WARM_UP.duration_ms), unused=True)
    look_ups = LookUps(monkeypatch)
    assert unavailability(state, "pool") is None
    assert look_ups.count <= warming + 1


def test_a_request_looks_only_at_warming_endpoints_that_this_router_may_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: each request looks at hundreds of endpoints that other routers hold leases of."""
    clock = ManualClock(1_000.0)
    state = state_of_a_pool(clock)
    warm_all_up(state)
    leased, *_ = state.registry.usable("pool")
    state.warm_ups.lease(leased.key, 1, clock.now_ms + 2_000.0)
    assert state.available("pool") == [leased]
    look_ups = LookUps(monkeypatch)
    assert state.available("pool") == [leased]
    assert look_ups.count <= 1


def test_what_may_be_sent_to_warming_endpoints_follows_each_change() -> None:
    """Failure: a lease, its end, a request, a restart or the end of a warm-up is noticed late."""
    clock = ManualClock(1_000.0)
    state = state_of_a_pool(clock)
    first, second, *others = state.registry.usable("pool")
    state.record_warm_up(first._replace(warm_up_ms=WARM_UP.duration_ms), unused=True)
    assert state.available("pool") == [second, *others]
    state.warm_ups.lease(first.key, 1, clock.now_ms + 1_500.0)
    assert state.available("pool") == [first, second, *others]
    state.warm_ups.sent(first.key, clock.now_ms)
    assert state.available("pool") == [second, *others]
    clock.advance(warm_up.WINDOW_MS)
    assert state.available("pool") == [first, second, *others]
    clock.advance(1_500.0 - warm_up.WINDOW_MS)
    assert state.available("pool") == [second, *others]
    restarted = first._replace(life=first.life + 1)
    state.registry.put(restarted, clock.now_ms)
    assert set(state.available("pool")) == {restarted, second, *others}
    state.record_warm_up(second._replace(warm_up_ms=100.0), unused=True)
    assert set(state.available("pool")) == {restarted, *others}
    clock.advance(100.0)
    assert set(state.available("pool")) == {restarted, second, *others}
