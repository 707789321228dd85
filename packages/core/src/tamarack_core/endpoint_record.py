"""How one endpoint has answered lately."""

from __future__ import annotations

FAILURE_HALF_LIFE_MS = 3_000.0
"""Time after which a failure counts half: a crashed endpoint is tried again within seconds, by a
few requests."""

SUCCESS_FACTOR = 0.75
"""What a success leaves of the failures counted."""

FAILURES_MAX = 6.0
"""Most failures that count, so that a long outage is not held against an endpoint for long."""

LATENCY_GAIN = 0.2
"""Weight of one answer in the mean latency."""

FIRST_LATENCY_MS = 45.0
"""Latency taken for an endpoint that has not answered yet, as the users' sheets tell it."""


class EndpointRecord:
    """Failures, latency and load of one endpoint as this router sees them."""

    def __init__(self) -> None:
        self._failures = 0.0
        self._failed_ms = 0.0
        self._latency_ms = FIRST_LATENCY_MS
        self.outstanding = 0

    def failures(self, now_ms: float) -> float:
        """Recent failures, older ones counted less."""
        past = max(0.0, now_ms - self._failed_ms)
        return self._failures * 0.5 ** (past / FAILURE_HALF_LIFE_MS)

    @property
    def latency_ms(self) -> float:
        """Mean time of its answers in milliseconds."""
        return self._latency_ms

    def succeeded(self, now_ms: float, latency_ms: float | None = None) -> None:
        """Take in a good answer."""
        self._failures = self.failures(now_ms) * SUCCESS_FACTOR
        self._failed_ms = now_ms
        if latency_ms is not None:
            self._latency_ms += LATENCY_GAIN * (latency_ms - self._latency_ms)

    def failed(self, now_ms: float, weight: float = 1.0) -> None:
        """Take in an answer that failed or did not come."""
        self._failures = min(FAILURES_MAX, self.failures(now_ms) + weight)
        self._failed_ms = now_ms
