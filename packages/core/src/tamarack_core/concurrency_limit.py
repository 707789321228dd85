"""Limit on a router's requests in progress, adapted to its event-loop lag."""

from __future__ import annotations

import math

HIGH_MS = 60.0
LOW_MS = 50.0
"""Event-loop lag in milliseconds above which the limit falls and below which it grows. `HIGH_MS` is
half of the shortest time in which events have to be forwarded; both exceed the 48 ms for which a
CPU quota of half a core pauses a process, which is no sign of overload."""

DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_MS = 250.0
"""Factor of a decrease of the limit, and the shortest time between two in milliseconds: streams
admitted before go on for a second or two, and the loop recovers as they end."""

GROWTH = 2.0
"""Requests by which the limit grows with each lag sample while it is nearly used up."""

LATE_SAMPLES = 2
"""Consecutive late samples that decrease the limit: a single one is a suspended process or a long
callback, after which the router can handle as much as before."""

MIN_LIMIT = 32.0
"""Lower bound of the limit: so few requests do not cause event-loop lag."""

OVER_LIMIT_FACTOR = 2.0
"""Multiple of the limit up to which requests of workspaces below an equal share of it are admitted:
it bounds the case of many workspaces with a few requests each."""

AHEAD_FACTOR = 0.85
"""Fraction of the limit up to which a route is admitted that had more than its share; the rest is
for routes that had less, and is not so much that the router idles without them."""


class ConcurrencyLimit:
    """Adaptive limit that keeps a router within the capacity of its processor.

    Without it, a caller with much traffic that uses one router gets as many streams there as the
    engines can serve. The event loop lags, all streams are delayed, and new connections are not
    read before their callers give up. Refusing a request costs a tenth of a stream, so a router
    with fewer streams answers every caller at once.
    """

    def __init__(self) -> None:
        self._limit = math.inf
        self._decreased_ms = -math.inf
        self._late_samples = 0

    @property
    def limit(self) -> float:
        """Current limit on requests in progress; infinite until it first decreases."""
        return self._limit

    @property
    def least(self) -> float:
        """Requests in progress up to which every request is admitted."""
        return AHEAD_FACTOR * self._limit

    def admits(self, own: int, running: int, workspaces: int, *, route_ahead: bool = False) -> bool:
        """Whether one more request is admitted.

        Beyond the limit, only workspaces below an equal share of it are admitted. Otherwise a
        workspace with few requests would be refused as often as the one that fills the router.

        Parameters
        ----------
        own
            Requests in progress of the requesting workspace.
        running, workspaces
            Requests in progress in total, and the number of workspaces including this one.
        route_ahead
            Whether the route had more than its share of the router while others had less.
        """
        limit = self.least if route_ahead else self._limit
        if running < limit:
            return True
        return running < OVER_LIMIT_FACTOR * self._limit and own < limit / workspaces

    def observe(
        self, late_ms: float, running: int, now_ms: float, *, starved: bool = False
    ) -> None:
        """Update the limit by the lag of the event loop's timer and the requests in progress.

        Parameters
        ----------
        starved
            Whether new connections wait while too few of them are accepted.
        """
        late = starved or late_ms > HIGH_MS
        self._late_samples = self._late_samples + 1 if late else 0
        if (
            self._late_samples >= LATE_SAMPLES
            and now_ms - self._decreased_ms >= DECREASE_INTERVAL_MS
        ):
            self._decreased_ms = now_ms
            self._limit = max(MIN_LIMIT, DECREASE_FACTOR * min(self._limit, running))
        elif not starved and late_ms < LOW_MS and running >= DECREASE_FACTOR * self._limit:
            self._limit += GROWTH
