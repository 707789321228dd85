"""Incarnations of endpoints that get no requests for a time."""

from __future__ import annotations

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation


class TimedExclusions:
    """Times until which incarnations of endpoints get no requests.

    Once the last of them has ended, nothing is looked up any more: there may be thousands of
    endpoints, and each request would pay for one that was excluded hours ago.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: dict[EndpointIncarnation, float] = {}
        self._last_ms = float("-inf")

    @property
    def active(self) -> dict[EndpointIncarnation, float]:
        """Incarnations that are excluded now, with the end of their exclusion."""
        now_ms = self._clock.now_ms
        if now_ms >= self._last_ms:
            return {}
        return {key: until_ms for key, until_ms in self._until_ms.items() if until_ms > now_ms}

    def exclude(self, key: EndpointIncarnation, until_ms: float) -> None:
        """Exclude an incarnation until a time, unless it is excluded for longer already."""
        active = self.active
        self._until_ms = {**active, key: max(until_ms, active.get(key, 0.0))}
        self._last_ms = max(self._last_ms, until_ms)

    def covers(self, key: EndpointIncarnation) -> bool:
        """Whether an incarnation is excluded now."""
        return self._clock.now_ms < self._until_ms.get(key, float("-inf"))

    def without_excluded(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Those of some endpoints that are not excluded."""
        active = self.active
        if not active:
            return endpoints
        names = {key.name for key in active}
        return [e for e in endpoints if e.name not in names or e.key not in active]
