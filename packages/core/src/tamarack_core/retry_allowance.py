"""One router's share of the fleet-wide retry budget of each service."""

from __future__ import annotations

from collections import deque

SAFETY = 0.7
"""Fraction of the fleet's budget that is used: routers have their own clocks and windows, and the
window of one may overlap two windows of another."""


class RetryAllowance:
    """Retry budget: a fraction of the router's requests plus a part of a fixed slack.

    All routers together may retry no more than `ratio` of a service's requests plus `slack` within
    any window. A router applies the ratio to its own requests and takes an equal part of the slack,
    divided by the highest number of routers that it has seen: a partitioned router that sees fewer
    must not take a larger part, and one that does not know their number yet takes none. Without a
    budget, endpoints that fail under load would receive every request several times.

    A router that has just started does not know what it used before, or what the router in whose
    place it starts used. That may be the whole `SAFETY` part of its slack, so for one window it
    earns only the rest, with time: however often routers start, and whichever of them, their
    retries stay within the slack. Requests since its start are certain to be unused.

    Parameters
    ----------
    ratio, slack, window_ms
        The fleet-wide budget.
    started_ms
        When the router started.
    """

    def __init__(
        self, ratio: float, slack: float, window_ms: float, *, started_ms: float = float("-inf")
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._routers = 0
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self.taken = 0

    @property
    def routers(self) -> int:
        """Highest number of routers seen, this one included."""
        return max(1, self._routers)

    def settle(self) -> None:
        """Record that nothing was used before this router's start: no router has run before."""
        self._started_ms = float("-inf")

    def seen(self, routers: int) -> None:
        """Record the current number of routers; the highest one counts."""
        self._routers = max(self._routers, routers)

    def record_request(self, service: str, now_ms: float) -> None:
        """Count a request for a service."""
        times = self._requests.setdefault(service, deque())
        times.append(now_ms)
        self._expire(times, now_ms)

    def requests_per_s(self, service: str, now_ms: float) -> float:
        """Mean rate of requests for a service within the window."""
        times = self._requests.get(service, deque())
        self._expire(times, now_ms)
        return 1_000.0 * len(times) / self._window_ms

    def available(self, service: str, now_ms: float) -> bool:
        """Whether the budget of this window has a retry left for a service."""
        requests = self._requests.get(service, deque())
        retries = self._retries.get(service, deque())
        self._expire(requests, now_ms)
        self._expire(retries, now_ms)
        allowed = SAFETY * self._ratio * len(requests) + self._slack_part(now_ms)
        return len(retries) + 1 <= allowed

    def take(self, service: str, now_ms: float) -> bool:
        """Consume one retry for a service; False if the budget of this window is used up."""
        if not self.available(service, now_ms):
            return False
        self._retries.setdefault(service, deque()).append(now_ms)
        self.taken += 1
        return True

    def _slack_part(self, now_ms: float) -> float:
        if not self._routers:
            return 0.0
        age_ms = now_ms - self._started_ms
        unused = SAFETY if age_ms >= self._window_ms else (1.0 - SAFETY) * age_ms / self._window_ms
        return unused * self._slack / self._routers

    def _expire(self, times: deque[float], now_ms: float) -> None:
        while times and times[0] < now_ms - self._window_ms:
            times.popleft()
