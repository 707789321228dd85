"""A router's part of the retries that a service gets from the whole fleet."""

from __future__ import annotations

from collections import deque

SAFETY = 0.7
"""Part of the fleet's bound that is used: routers count with clocks and windows of their own, and
a window of one may overlap two windows of another."""


class RetryAllowance:
    """Allows a share of the requests, and a part of a fixed slack, to be sent again.

    All routers together may send a service no more than `ratio` of its requests plus `slack`
    again within any window. A router counts its own requests for the ratio, and takes an equal
    part of the slack, by the most routers that it has seen: one that is cut off and sees fewer
    must not take a larger part. Without a bound, endpoints that fail under load would get every
    request several times over.

    Parameters
    ----------
    ratio, slack, window_ms
        The fleet's bound.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._routers = 1
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self.taken = 0

    @property
    def routers(self) -> int:
        """The most routers that were seen."""
        return self._routers

    def seen(self, routers: int) -> None:
        """Note how many routers there are; the largest number counts."""
        self._routers = max(self._routers, routers)

    def note_request(self, service: str, now_ms: float) -> None:
        """Count a request for a service."""
        times = self._requests.setdefault(service, deque())
        times.append(now_ms)
        self._forget(times, now_ms)

    def take(self, service: str, now_ms: float) -> bool:
        """Take one retry for a service; False if none is left in this window."""
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        self._forget(requests, now_ms)
        self._forget(retries, now_ms)
        allowed = SAFETY * (self._ratio * len(requests) + self._slack / self._routers)
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_ms)
        self.taken += 1
        return True

    def _forget(self, times: deque[float], now_ms: float) -> None:
        while times and times[0] < now_ms - self._window_ms:
            times.popleft()
