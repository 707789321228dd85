"""Detection of times in which a router stood still, frozen or without processor time."""

from __future__ import annotations

STALL_MS = 1_500.0
"""Time in milliseconds between two observations after which a router may have stood still; it
observes twice a second."""


class StallDetector:
    """Tells from regular observations whether the router stood still between them.

    What a router knew before a stall may have changed meanwhile without its notice.
    """

    def __init__(self) -> None:
        self._observed_ms: float | None = None

    def observe(self, now_ms: float) -> bool:
        """Record an observation; returns whether the router stood still before it."""
        before_ms, self._observed_ms = self._observed_ms, now_ms
        return before_ms is None or now_ms - before_ms > STALL_MS

    def stalled(self, now_ms: float) -> bool:
        """Whether the last observation is too long ago."""
        return self._observed_ms is None or now_ms - self._observed_ms > STALL_MS
