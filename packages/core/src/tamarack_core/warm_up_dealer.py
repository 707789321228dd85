"""Leases parts of the rate of endpoints that are warming up to the routers with most requests.

One router of the fleet, the dealer, hears how many requests the others have and leases parts of
each endpoint's rate to the busiest ones. The sum of all valid leases of an endpoint stays within
its limit:

- a lease runs from the demand that it answers, by the clock of the router that sent the demand, so
  that a delayed message shortens it;
- the dealer leases a part again only after the lease has ended and the window of the limit has
  passed;
- a new dealer waits until all leases of its predecessor have ended, and one that stood still waits
  as if it were new.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.stall_detector import StallDetector
from tamarack_core.warm_up import WINDOW_MS
from tamarack_core.wire import message

LEASE_MS = 2_000.0
"""Length of a lease in milliseconds; two renewals may be lost."""

VIEW_MS = 2_500.0
"""Longest time in milliseconds for which two routers may each believe that they are the dealer: a
router counts as silent after 1.9 s, and its messages may take half a second."""

TAKEOVER_MS = VIEW_MS + LEASE_MS + WINDOW_MS
"""Time in milliseconds that a new dealer waits before its first lease."""

DEMAND_VALID_MS = 2_000.0
"""Time in milliseconds for which a demand is used."""

MAX_HOLDERS = 3
"""Routers among which the rate of one endpoint is divided. Requests of a router come unevenly, so
that small parts are used less."""


@message(69)
class Demand(NamedTuple):
    """Requests that a router has for services with endpoints that are warming up.

    Attributes
    ----------
    boot
        Incarnation of the router.
    stamp_ms
        Time of the demand by the router's own clock.
    per_s
        Requests in a second, by service.
    """

    router: str
    boot: int
    stamp_ms: float
    per_s: dict[str, float]


class Lease(NamedTuple):
    """A part of an endpoint's rate.

    Attributes
    ----------
    stamp_ms
        Time of the answered demand, by the clock of the router that holds the lease.
    part
        Requests in a second.
    """

    router: str
    boot: int
    stamp_ms: float
    endpoint: str
    life: int | None
    part: int

    @property
    def key(self) -> EndpointIncarnation:
        """The endpoint's incarnation."""
        return EndpointIncarnation(self.endpoint, self.life)


@message(70)
class Leases(NamedTuple):
    """Leases that a dealer hands out or renews."""

    dealer: str
    leases: list[Lease]


class Target(NamedTuple):
    """An endpoint whose rate is to be leased; `limit` is in requests a second."""

    key: EndpointIncarnation
    service: str
    limit: int
    grantable_ms: float


class _Holder(NamedTuple):
    """A router that holds a lease; another incarnation of it is another holder."""

    router: str
    boot: int


class _Holding(NamedTuple):
    """A lease as the dealer remembers it; `leased_ms` is by the dealer's clock."""

    part: int
    leased_ms: float
    stamp_ms: float


class WarmUpDealer:
    """Hands out the leases of a fleet while this router is its dealer."""

    def __init__(self) -> None:
        self._leading_since_ms: float | None = None
        self._stalls = StallDetector()
        self._demands: dict[_Holder, tuple[Demand, float]] = {}
        self._holdings: dict[EndpointIncarnation, dict[_Holder, _Holding]] = {}

    def observe(self, leads: bool, now_ms: float) -> None:
        """Record whether this router is the dealer; called at least each `STALL_MS`."""
        stalled = self._stalls.observe(now_ms)
        if not leads:
            self._leading_since_ms = None
        elif self._leading_since_ms is None or stalled:
            self._leading_since_ms = now_ms

    def deals(self, now_ms: float) -> bool:
        """Whether this router may hand out leases now."""
        since_ms = self._leading_since_ms
        return (
            since_ms is not None
            and now_ms - since_ms >= TAKEOVER_MS
            and not self._stalls.stalled(now_ms)
        )

    def hear(self, demand: Demand, now_ms: float) -> None:
        """Record a router's demand."""
        holder = _Holder(demand.router, demand.boot)
        known = self._demands.get(holder)
        if known is None or demand.stamp_ms > known[0].stamp_ms:
            self._demands[holder] = (demand, now_ms)

    def deal(self, targets: Iterable[Target], now_ms: float) -> list[Lease]:
        """Renew leases and hand out new ones; empty if this router is not the dealer."""
        if not self.deals(now_ms):
            return []
        self._expire(now_ms)
        leases: list[Lease] = []
        targets = sorted(targets, key=lambda target: target.key.name)
        spare = {service: self._spare(service, targets) for service in {t.service for t in targets}}
        for target in targets:
            holdings = self._holdings.setdefault(target.key, {})
            leases += self._renew(target, holdings, now_ms)
            if now_ms >= target.grantable_ms:
                leases += self._lease_free(target, holdings, spare[target.service], now_ms)
        return leases

    def _spare(self, service: str, targets: list[Target]) -> dict[_Holder, float]:
        """Requests in a second of each router beyond what it may send by its leases."""
        spare = {
            holder: demand.per_s[service]
            for holder, (demand, _) in self._demands.items()
            if demand.per_s.get(service, 0.0) > 0.0
        }
        for target in targets:
            for holder, holding in self._holdings.get(target.key, {}).items():
                if target.service == service and holder in spare:
                    spare[holder] -= holding.part
        return spare

    def _renew(
        self, target: Target, holdings: dict[_Holder, _Holding], now_ms: float
    ) -> list[Lease]:
        renewed = []
        if sum(holding.part for holding in holdings.values()) > target.limit:
            # The limit was lowered: the leases end, and smaller ones follow.
            return []
        for holder, holding in holdings.items():
            demand, _ = self._demands.get(holder, (None, 0.0))
            if demand is not None and demand.stamp_ms > holding.stamp_ms:
                renewed.append((holder, holding.part, demand.stamp_ms))
        return [self._lease(target, holdings, *one, now_ms) for one in renewed]

    def _lease_free(
        self,
        target: Target,
        holdings: dict[_Holder, _Holding],
        spare: dict[_Holder, float],
        now_ms: float,
    ) -> list[Lease]:
        free = target.limit - sum(holding.part for holding in holdings.values())
        places = MAX_HOLDERS - len(holdings)
        if free <= 0 or places <= 0:
            return []
        ranked = sorted(spare.keys() - holdings.keys(), key=lambda h: (-spare[h], h))
        chosen = [holder for holder in ranked if spare[holder] > 0.0][:places] or ranked[:1]
        parts = divide(free, [max(spare[holder], 0.0) for holder in chosen])
        leases = []
        for holder, part in zip(chosen, parts, strict=True):
            if part:
                spare[holder] -= part
                stamp_ms = self._demands[holder][0].stamp_ms
                leases.append(self._lease(target, holdings, holder, part, stamp_ms, now_ms))
        return leases

    def _lease(
        self,
        target: Target,
        holdings: dict[_Holder, _Holding],
        holder: _Holder,
        part: int,
        stamp_ms: float,
        now_ms: float,
    ) -> Lease:
        holdings[holder] = _Holding(part, now_ms, stamp_ms)
        return Lease(holder.router, holder.boot, stamp_ms, *target.key, part)

    def _expire(self, now_ms: float) -> None:
        old_ms = now_ms - DEMAND_VALID_MS
        self._demands = {h: entry for h, entry in self._demands.items() if entry[1] >= old_ms}
        ended_ms = now_ms - LEASE_MS - WINDOW_MS
        for key, holdings in list(self._holdings.items()):
            valid = {h: holding for h, holding in holdings.items() if holding.leased_ms >= ended_ms}
            if valid:
                self._holdings[key] = valid
            else:
                del self._holdings[key]


def divide(whole: int, weights: list[float]) -> list[int]:
    """Divide a whole number in proportion to weights, by the largest remainders."""
    total = sum(weights)
    if not weights:
        return []
    if total <= 0.0:
        return [whole, *[0] * (len(weights) - 1)]
    exact = [whole * weight / total for weight in weights]
    parts = [int(part) for part in exact]
    order = sorted(range(len(parts)), key=lambda n: (parts[n] - exact[n], n))
    for number in order[: whole - sum(parts)]:
        parts[number] += 1
    return parts
