"""Rest periods that endpoints request when they reject a request."""

from __future__ import annotations

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation

LONGEST_REST_MS = 600_000.0
"""Longest rest period in milliseconds; an endpoint that names more is offered a request after it,
so that a wrong value does not take it out of service for good."""


class RestPeriods:
    """Times until which endpoints want no requests from this router.

    Attributes
    ----------
    requested
        Number of rest periods that endpoints have requested.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: dict[EndpointIncarnation, float] = {}
        self.requested = 0

    @property
    def active(self) -> dict[EndpointIncarnation, float]:
        """Endpoints that rest now, with the end of their rest period."""
        now_ms = self._clock.now_ms
        return {key: until_ms for key, until_ms in self._until_ms.items() if until_ms > now_ms}

    def request(self, key: EndpointIncarnation, rest_ms: float) -> None:
        """Record that an endpoint wants no requests for `rest_ms`."""
        self.requested += 1
        until_ms = self._clock.now_ms + min(rest_ms, LONGEST_REST_MS)
        active = self.active
        self._until_ms = {**active, key: max(until_ms, active.get(key, 0.0))}

    def without_resting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Those of some endpoints that do not rest."""
        if not self._until_ms:
            return endpoints
        now_ms, until_ms = self._clock.now_ms, self._until_ms
        return [e for e in endpoints if until_ms.get(e.key, 0.0) <= now_ms]
