"""Rest periods that endpoints request when they reject a request."""

from __future__ import annotations

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.timed_exclusions import TimedExclusions

LONGEST_REST_MS = 600_000.0
"""Longest rest period in milliseconds; an endpoint that names more is offered a request after it,
so that a wrong value does not take it out of service for good."""


class RestPeriods(TimedExclusions):
    """Times until which endpoints want no requests from this router.

    Attributes
    ----------
    requested
        Number of rest periods that endpoints have requested.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.requested = 0

    def request(self, key: EndpointIncarnation, rest_ms: float) -> None:
        """Record that an endpoint wants no requests for `rest_ms`."""
        self.requested += 1
        self.exclude(key, self._clock.now_ms + min(rest_ms, LONGEST_REST_MS))
