"""Demands and leases for endpoints that are warming up, exchanged with the other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.warm_up import WarmingEndpoint
from tamarack_core.warm_up_dealer import (
    LEASE_MS,
    Demand,
    Lease,
    Leases,
    Target,
    WarmUpDealer,
)
from tamarack_gateway.fleet_state import FleetState

STEP_MS = 100.0
"""Time between two steps while endpoints are warming up."""

GATHER_MS = 200.0
"""Time for which the dealer collects the first demands: a lease to whoever asked first would miss
the busiest routers."""

RENEW_MS = 500.0
"""Time between two demands of a router that holds leases."""

REPEAT_MS = 1_500.0
"""The same for a router without leases, which may get one that another router no longer uses."""


class _Warming(NamedTuple):
    """An endpoint that is warming up, its service and the limit of its rate."""

    endpoint: WarmingEndpoint
    service: str
    limit: int


class WarmUpFeed:
    """Takes part in the division of warming endpoints' rates, as a router and as the dealer.

    Parameters
    ----------
    boot
        Incarnation of this router.
    leads
        Returns whether this router is the dealer.
    publish
        Called with messages for the other routers.
    """

    def __init__(
        self,
        state: FleetState,
        *,
        boot: int,
        leads: Callable[[], bool],
        publish: Callable[[Demand | Leases], None],
    ) -> None:
        self._state = state
        self._boot = boot
        self._leads = leads
        self._publish = publish
        self._dealer = WarmUpDealer()
        self._demanded_ms = float("-inf")
        self._demand_due_ms = float("-inf")
        self._begun_event = asyncio.Event()
        state.warm_ups.on_begin = self._begun_event.set

    def observe(self) -> None:
        """Note whether this router is the dealer; called regularly."""
        self._dealer.observe(self._leads(), self._state.clock.now_ms)

    @property
    def deals(self) -> bool:
        """Whether this router hands out leases."""
        return self._dealer.deals(self._state.clock.now_ms)

    def receive(self, notice: Demand | Leases) -> None:
        """Apply a demand or leases of another router."""
        if isinstance(notice, Demand):
            self._dealer.hear(notice, self._state.clock.now_ms)
            return
        for lease in notice.leases:
            self._apply(lease)

    async def run(self) -> None:
        """Send demands, and leases if this router is the dealer, until cancelled."""
        warm_ups, clock = self._state.warm_ups, self._state.clock
        while True:
            await self._begun_event.wait()
            self._demand_due_ms = clock.now_ms
            self._begun_event.clear()
            while warm_ups.any_warming(clock.now_ms):
                if self._begun_event.is_set() or clock.now_ms >= self._demand_due_ms:
                    self._begun_event.clear()
                    self._demand()
                if self.deals:
                    self._deal()
                await asyncio.sleep(STEP_MS / 1000)

    def _warming(self) -> list[_Warming]:
        """Listed endpoints that are warming up and have a limit."""
        state, warming = self._state, []
        for one in state.warm_ups.warming_endpoints(state.clock.now_ms):
            endpoint = state.registry.find(one.key.name)
            if endpoint is None or endpoint.key != one.key:
                continue
            limit = state.warm_up_limit(endpoint.service)
            if limit is not None:
                warming.append(_Warming(one, endpoint.service, limit))
        return warming

    def _demand(self) -> None:
        state, now_ms = self._state, self._state.clock.now_ms
        warming = self._warming()
        gap_ms = RENEW_MS if any(one.endpoint.part for one in warming) else REPEAT_MS
        self._demanded_ms, self._demand_due_ms = now_ms, now_ms + gap_ms
        rates = {
            service: round(state.allowance.requests_per_s(service, now_ms), 1)
            for service in {one.service for one in warming}
        }
        per_s = {service: rate for service, rate in rates.items() if rate > 0.0}
        if per_s:
            demand = Demand(state.settings.router, self._boot, now_ms, per_s)
            self._dealer.hear(demand, now_ms)
            self._publish(demand)

    def _deal(self) -> None:
        targets = [
            Target(one.key, service, limit, one.grantable_ms + GATHER_MS)
            for one, service, limit in self._warming()
        ]
        leases = self._dealer.deal(targets, self._state.clock.now_ms)
        if not leases:
            return
        self._state.log.event("warm-up leases", leases=len(leases), endpoints=len(targets))
        for lease in leases:
            self._apply(lease)
        self._publish(Leases(self._state.settings.router, leases))

    def _apply(self, lease: Lease) -> None:
        state = self._state
        if (lease.router, lease.boot) != (state.settings.router, self._boot):
            return
        endpoint = state.registry.find(lease.endpoint)
        limit = state.warm_up_limit(endpoint.service) if endpoint is not None else None
        # A lease runs from this router's own demand, so that one with a later time is invalid.
        if limit is not None and lease.stamp_ms <= state.clock.now_ms:
            state.warm_ups.lease(lease.key, min(lease.part, limit), lease.stamp_ms + LEASE_MS)
            self._demand_due_ms = min(self._demand_due_ms, self._demanded_ms + RENEW_MS)
