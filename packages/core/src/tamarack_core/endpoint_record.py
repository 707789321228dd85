"""Recent failures and latency of one endpoint."""

from __future__ import annotations

FAILURE_HALF_LIFE_MS = 3_000.0
"""Half-life in milliseconds of a failure: a crashed endpoint is tried again within seconds, with a
few requests."""

SUCCESS_FACTOR = 0.75
"""Factor by which a success reduces the failure count."""

FAILURES_MAX = 6.0
"""Upper bound of the failure count, so that an endpoint recovers soon after a long outage."""

LATENCY_GAIN = 0.2
"""Weight of one answer in the moving average of the latency."""

FIRST_LATENCY_MS = 45.0
"""Latency in milliseconds assumed for an endpoint that has not answered yet, from the users' data
sheets."""


class EndpointRecord:
    """Failures, latency and load of one endpoint as observed by this router."""

    def __init__(self) -> None:
        self._failures = 0.0
        self._failed_ms = 0.0
        self._latency_ms = FIRST_LATENCY_MS
        self.outstanding = 0

    def failures(self, now_ms: float) -> float:
        """Recent failures, decaying with their age."""
        elapsed_ms = max(0.0, now_ms - self._failed_ms)
        return self._failures * 0.5 ** (elapsed_ms / FAILURE_HALF_LIFE_MS)

    @property
    def latency_ms(self) -> float:
        """Moving average of the response time in milliseconds."""
        return self._latency_ms

    def succeeded(self, now_ms: float, latency_ms: float | None = None) -> None:
        """Record a successful answer."""
        self._failures = self.failures(now_ms) * SUCCESS_FACTOR
        self._failed_ms = now_ms
        if latency_ms is not None:
            self._latency_ms += LATENCY_GAIN * (latency_ms - self._latency_ms)

    def failed(self, now_ms: float, weight: float = 1.0) -> None:
        """Record a failed or missing answer."""
        self._failures = min(FAILURES_MAX, self.failures(now_ms) + weight)
        self._failed_ms = now_ms
