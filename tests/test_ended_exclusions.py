"""Work that a router spends on endpoints that warmed up, rested or terminated before."""

from __future__ import annotations

import pytest
from gateway_site import Fleet, play, until
from test_gateway_bounds import ADDRESS, state_with

from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation
from tamarack_core.rest_periods import LONGEST_REST_MS
from tamarack_core.ruleset import EngineTraits, Ruleset, Service, WarmUp
from tamarack_gateway.fleet_state import FleetState
from tamarack_standins.platform_worker import PlatformWorker, Script

ENDPOINTS = 40
WARM_UP = WarmUp(3_000.0, 8.8)


class LookUps:
    """Counts how often the incarnation of an endpoint is looked at."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0

        def key(endpoint: Endpoint) -> EndpointIncarnation:
            self.count += 1
            return EndpointIncarnation(endpoint.name, endpoint.life)

        monkeypatch.setattr(Endpoint, "key", property(key))


def state_of_a_pool(clock: ManualClock) -> FleetState:
    """State of a router with one service of engines that warm up."""
    state = state_with(clock)
    service = Service("pool", 100, EngineTraits(64, 500_000, 5), WARM_UP)
    state.put_rules(Ruleset(1, [], [service], {}))
    for number in range(ENDPOINTS):
        endpoint = Endpoint(f"e{number}", "pool", ADDRESS, "a", 64, False, life=number + 1)
        state.registry.put(endpoint, clock.now_ms)
    state.sync_endpoints()
    return state


def test_ended_exclusions_cost_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: after one endpoint has warmed up, each request looks at all endpoints for good."""
    clock = ManualClock(1_000.0)
    state = state_of_a_pool(clock)
    first, second, third = state.registry.usable("pool")[:3]
    state.record_warm_up(first._replace(warm_up_ms=WARM_UP.duration_ms), unused=True)
    state.terminations.record(second.key, refused=True)
    state.notices.rests.request(third.key, 1_000.0)
    assert len(state.available("pool")) == ENDPOINTS - 3
    clock.advance(LONGEST_REST_MS)
    look_ups = LookUps(monkeypatch)
    assert len(state.available("pool")) == ENDPOINTS
    assert look_ups.count == 0


def test_a_request_does_not_look_at_all_endpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: the cost of a request grows with the number of endpoints that it does not use."""

    async def scenario() -> None:
        pool = [PlatformWorker(f"e{number}", Script(events=2)) for number in range(ENDPOINTS)]
        async with Fleet({"pool": pool}) as fleet:
            await until(lambda: len(fleet.gateway.state.registry.usable("pool")) == ENDPOINTS)
            assert (await fleet.ask("/draft/1")).status == 200
            look_ups, counts = LookUps(monkeypatch), []
            for _ in range(5):
                look_ups.count = 0
                assert (await fleet.ask("/draft/1")).status == 200
                counts.append(look_ups.count)
            # The queries of the engines' caches may fall into one of these requests.
            assert min(counts) < ENDPOINTS

    play(scenario())
