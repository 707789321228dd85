"""Max-min fair division of a saturated router's processor between routes."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from tamarack_core.max_min import max_min_share
from tamarack_core.route_load import RouteCounts, RouteLoad

REQUEST_EVENTS = 15.0
"""Work of a request without its events, in events relayed: placing it, its connections and its
answer's head take as much processor time as relaying so many events."""

WINDOW_MS = 1_000.0
"""Time constant in milliseconds over which requests are counted; callers return within it."""

COST_WINDOW_MS = 5_000.0
"""Time constant in milliseconds of the work of a route's requests: it covers whole streams, whose
events follow their admission by a second or two."""

OBSERVE_MS = 50.0
"""Minimum time in milliseconds between two computations of the shares: a saturated router admits a
few requests in it, and decides on hundreds."""

NONE = RouteCounts()


class _Window(NamedTuple):
    """Decayed counts of a route; `streams` and `events` give the work of one request."""

    asked: float = 0.0
    admitted: float = 0.0
    streams: float = 0.0
    events: float = 0.0

    @property
    def cost(self) -> float:
        """Work of one request."""
        return REQUEST_EVENTS + self.events / max(1.0, self.streams)

    @property
    def demand(self) -> float:
        """Work that callers asked for."""
        return self.asked * self.cost

    @property
    def work(self) -> float:
        """Work that was admitted."""
        return self.admitted * self.cost


class RouteFairness:
    """Tells which routes had more than their share of a saturated router.

    In order of arrival, each route gets as much of the processor as callers ask for, and the one
    whose requests cost most gets most of it. Their tokens do not tell the cost: a short reply may
    have more events than the answer to ten times its prompt.
    """

    def __init__(self) -> None:
        self._observed_ms = -math.inf
        self._seen: dict[str, tuple[RouteLoad, RouteCounts]] = {}
        self._windows: dict[str, _Window] = {}
        self._ahead: frozenset[str] = frozenset()

    def ahead(self, route: str) -> bool:
        """Whether a route had more than its share while others asked for more than theirs."""
        return route in self._ahead

    def observe(self, loads: Mapping[str, RouteLoad], now_ms: float) -> None:
        """Update the shares; called with each request that a saturated router decides on."""
        elapsed_ms = now_ms - self._observed_ms
        if elapsed_ms < OBSERVE_MS:
            return
        self._observed_ms = now_ms
        counts = {route: (load, load.counts) for route, load in loads.items()}
        if elapsed_ms > WINDOW_MS:
            # What a router did while it had room for all took nothing from others.
            self._windows, self._ahead = {}, frozenset()
        else:
            self._windows = {
                route: self._window(route, elapsed_ms, *c) for route, c in counts.items()
            }
            self._ahead = _above_share(self._windows)
        self._seen = counts

    def _window(
        self, route: str, elapsed_ms: float, load: RouteLoad, counts: RouteCounts
    ) -> _Window:
        seen_load, seen = self._seen.get(route, (load, NONE))
        change = counts.since(seen if seen_load is load else NONE)
        before = self._windows.get(route, _Window())
        kept = math.exp(-elapsed_ms / WINDOW_MS)
        kept_cost = math.exp(-elapsed_ms / COST_WINDOW_MS)
        return _Window(
            asked=kept * before.asked + change.requests,
            admitted=kept * before.admitted + change.admitted,
            streams=kept_cost * before.streams + change.admitted,
            events=kept_cost * before.events + change.events,
        )


def _above_share(windows: Mapping[str, _Window]) -> frozenset[str]:
    total = sum(window.work for window in windows.values())
    share = max_min_share(total, (window.demand for window in windows.values()))
    return frozenset(route for route, window in windows.items() if window.work > share)
