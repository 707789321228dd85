"""Local state expires according to the fleet's bounds, whatever their values."""

from __future__ import annotations

import pytest

from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import Endpoint
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import FleetBounds, GatewaySettings
from tamarack_platform.settings import settings_from

ADDRESS = "127.0.0.1:1"


def state_with(clock: ManualClock, **bounds: float) -> FleetState:
    settings = GatewaySettings(
        router="router-1",
        failure_domain="a",
        callers=ADDRESS,
        readiness=ADDRESS,
        directory=ADDRESS,
        peers=ADDRESS,
        metrics=ADDRESS,
        store=ADDRESS,
        bounds=FleetBounds()._replace(**bounds),
    )
    return FleetState(settings, clock, DecisionLog("router-1", clock, output=2), seed=1)


@pytest.mark.parametrize("revoke_ms", [2_000.0, 3_000.0, 5_000.0, 30_000.0])
def test_callers_are_not_sent_to_a_router_whose_keys_have_expired(revoke_ms: float) -> None:
    """Callers with valid keys were refused for seconds, though other routers would serve them.

    A router cannot reach the store, on a deployment that revokes keys within 3 s. Its keys expire
    after 2.5 s, but callers got its address until 3 s: the age limit for that was a constant that
    suits a bound of 5 s.
    """
    clock = ManualClock()
    state = state_with(clock, revoke_ms=revoke_ms)
    state.freshness.confirm(clock.now_ms)
    while state.fresh:
        assert state.freshness.trusted(clock.now_ms)
        clock.advance(50.0)
    assert clock.now_ms >= 0.5 * revoke_ms


@pytest.mark.parametrize("drain_ms", [1_000.0, 2_000.0, 4_000.0])
def test_a_missing_endpoint_is_retained_no_longer_than_it_may_get_work(drain_ms: float) -> None:
    clock = ManualClock()
    state = state_with(clock, drain_ms=drain_ms)
    state.registry.put(Endpoint("e1", "pool", ADDRESS, "a", 4, False), clock.now_ms)
    state.registry.remove("e1", clock.now_ms, keep_until_ms=99_000.0)
    assert state.registry.next_expiry_ms is not None
    assert 0.5 * drain_ms < state.registry.next_expiry_ms < drain_ms


def test_bounds_are_read_from_the_settings_file() -> None:
    listen = {"front": ADDRESS, "ready": ADDRESS, "directory": ADDRESS}
    settings = settings_from(
        {
            "nodeName": "n",
            "ip": "127.0.0.1",
            "zone": "a",
            "listen": listen,
            "internalPorts": [1, 2],
            "bounds": {"revokeMs": 3_000, "drainMs": 4_000},
            "platform": {"address": ADDRESS},
        }
    )
    assert (settings.bounds.revoke_ms, settings.bounds.drain_ms) == (3_000.0, 4_000.0)
