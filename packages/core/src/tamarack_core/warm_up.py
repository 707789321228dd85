"""Limit on what one router sends to endpoints that are warming up.

An endpoint that has just started tolerates a low rate of requests and crashes well above it. The
limit holds for all routers together, so that a router sends to such an endpoint only within a part
of the rate that the dealer has leased to it, see `warm_up_dealer`. Without a lease it sends
nothing: routers that have lost touch with each other stay within the limit without agreeing on
anything.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation

WINDOW_MS = 1_050.0
"""Sliding window of the limit in milliseconds: one second, and a margin for differences between the
clocks of routers and endpoints."""

SETTLE_MS = 1_500.0
"""Time in milliseconds after which nothing counts any more that routers sent while they did not
know that an endpoint is warming up: half a second until all of them know, and the window."""

RETAINED_MS = 10_000.0
"""Time in milliseconds for which an ended warm-up is remembered, for reports about its crash that
arrive late."""


class _WarmUp:
    """One incarnation's warm-up, and this router's lease of its rate."""

    def __init__(self, grantable_ms: float) -> None:
        self.listed_until_ms = float("-inf")
        self.restored_until_ms = float("-inf")
        self.grantable_ms = grantable_ms
        self.part = 0
        self.lease_until_ms = float("-inf")
        self.sent: deque[float] = deque()

    @property
    def until_ms(self) -> float:
        return max(self.listed_until_ms, self.restored_until_ms)


class WarmingEndpoint(NamedTuple):
    """An endpoint that is warming up.

    Attributes
    ----------
    until_ms
        When it will be warm.
    grantable_ms
        From when on parts of its rate may be leased.
    part
        Requests in a second that this router may send there; zero without a lease.
    """

    key: EndpointIncarnation
    until_ms: float
    grantable_ms: float
    part: int


class _Partition(NamedTuple):
    """Endpoints that are warming up, by whether this router has a lease.

    Attributes
    ----------
    closed
        Incarnations without a lease, by name.
    leased
        Names of the others.
    valid_until_ms
        When the first of the closed ones is warm.
    """

    closed: dict[str, set[int | None]]
    leased: set[str]
    valid_until_ms: float


class WarmUps:
    """Warm-ups that one router knows of, its leases, and its recent requests to such endpoints.

    Attributes
    ----------
    sent_count
        Number of requests that this router has sent to endpoints that were warming up.
    on_begin
        Called when a warm-up begins.
    """

    def __init__(self) -> None:
        self._warm_ups: dict[EndpointIncarnation, _WarmUp] = {}
        self._last_ms = float("-inf")
        self._forget_ms = float("-inf")
        self._partitioned: _Partition | None = None
        self.sent_count = 0
        self.on_begin: Callable[[], None] = _ignore

    def listed(
        self, key: EndpointIncarnation, remaining_ms: float, now_ms: float, *, grantable_ms: float
    ) -> bool:
        """Record what an endpoint says of its own warm-up; returns whether one begins.

        Parameters
        ----------
        remaining_ms
            Milliseconds until it is warm; zero if it already is.
        grantable_ms
            From when on parts of its rate may be leased, if a warm-up begins.
        """
        if remaining_ms <= 0.0 and key not in self._warm_ups:
            return False
        begins = remaining_ms > 0.0 and not self.warming(key, now_ms)
        warm_up = self._begin(key, now_ms, grantable_ms)
        warm_up.listed_until_ms = now_ms + remaining_ms
        self._partitioned = None
        self._last_ms = max(self._last_ms, warm_up.listed_until_ms)
        return begins

    def restored(
        self, key: EndpointIncarnation, until_ms: float, now_ms: float, *, grantable_ms: float
    ) -> None:
        """Record that an endpoint's failure domain was restored: it may be warming up."""
        self._begin(key, now_ms, grantable_ms).restored_until_ms = until_ms
        self._last_ms = max(self._last_ms, until_ms)
        self._partitioned = None

    def warming(self, key: EndpointIncarnation, now_ms: float) -> bool:
        """Whether an endpoint is warming up."""
        warm_up = self._warm_ups.get(key)
        return warm_up is not None and now_ms < warm_up.until_ms

    def warmed_within(self, key: EndpointIncarnation, span_ms: float, now_ms: float) -> bool:
        """Whether an endpoint is warming up or was within the last `span_ms`."""
        return self.warming(key, now_ms - span_ms)

    def any_warming(self, now_ms: float) -> bool:
        """Whether an endpoint may still be warming up; looks at none."""
        return now_ms < self._last_ms

    def warming_endpoints(self, now_ms: float) -> list[WarmingEndpoint]:
        """All endpoints that are warming up."""
        if not self.any_warming(now_ms):
            return []
        return [
            WarmingEndpoint(key, w.until_ms, w.grantable_ms, _part(w, now_ms))
            for key, w in self._warm_ups.items()
            if now_ms < w.until_ms
        ]

    def lease(self, key: EndpointIncarnation, part: int, until_ms: float) -> None:
        """Record this router's part of an endpoint's rate, by its own clock."""
        warm_up = self._warm_ups.get(key)
        if warm_up is not None and until_ms > warm_up.lease_until_ms:
            warm_up.part, warm_up.lease_until_ms = part, until_ms
            self._partitioned = None

    def allows(self, key: EndpointIncarnation, now_ms: float) -> bool:
        """Whether this router may send a request to an endpoint now."""
        warm_up = self._warm_ups.get(key)
        if warm_up is None or now_ms >= warm_up.until_ms:
            return True
        while warm_up.sent and warm_up.sent[0] <= now_ms - WINDOW_MS:
            warm_up.sent.popleft()
        return len(warm_up.sent) < _part(warm_up, now_ms)

    def without_limited(self, endpoints: list[Endpoint], now_ms: float) -> list[Endpoint]:
        """Those of some endpoints that this router may send a request to now."""
        if not self.any_warming(now_ms):
            return endpoints
        closed, leased, _ = self._partition(now_ms)
        return [
            e
            for e in endpoints
            if e.life not in closed.get(e.name, ())
            and (e.name not in leased or self.allows(e.key, now_ms))
        ]

    def sent(self, key: EndpointIncarnation, now_ms: float) -> None:
        """Record that this router sends a request to an endpoint."""
        warm_up = self._warm_ups.get(key)
        if warm_up is not None and now_ms < warm_up.until_ms:
            warm_up.sent.append(now_ms)
            self.sent_count += 1

    def _partition(self, now_ms: float) -> _Partition:
        # Kept between requests: of hundreds of endpoints, a router holds leases of few.
        known = self._partitioned
        if known is not None and now_ms < known.valid_until_ms:
            return known
        closed: dict[str, set[int | None]] = {}
        leased: set[str] = set()
        valid_until_ms = float("inf")
        for key, warm_up in self._warm_ups.items():
            if now_ms >= warm_up.until_ms:
                continue
            if _part(warm_up, now_ms):
                leased.add(key.name)
            else:
                closed.setdefault(key.name, set()).add(key.life)
                valid_until_ms = min(valid_until_ms, warm_up.until_ms)
        self._partitioned = _Partition(closed, leased, valid_until_ms)
        return self._partitioned

    def _begin(self, key: EndpointIncarnation, now_ms: float, grantable_ms: float) -> _WarmUp:
        warm_up = self._warm_ups.get(key)
        if warm_up is None or now_ms >= warm_up.until_ms:
            self._forget(now_ms)
            warm_up = self._warm_ups[key] = _WarmUp(grantable_ms)
            self.on_begin()
        return warm_up

    def _forget(self, now_ms: float) -> None:
        # Hundreds of warm-ups may begin at once.
        if now_ms < self._forget_ms:
            return
        self._forget_ms = now_ms + RETAINED_MS
        past_ms = now_ms - RETAINED_MS
        self._warm_ups = {k: w for k, w in self._warm_ups.items() if w.until_ms > past_ms}


def _ignore() -> None:
    """Default of `WarmUps.on_begin`: does nothing."""


def _part(warm_up: _WarmUp, now_ms: float) -> int:
    return warm_up.part if now_ms < warm_up.lease_until_ms else 0
