"""Detection of retries by callers that were refused before."""

from __future__ import annotations

RETRY_WINDOW_FRACTION = 0.96
"""Fraction of a route's usual deadline below which a request counts as a retry: a caller sends the
rest of its original time, and retries after half a second at the earliest."""


class RetryDetector:
    """Recognizes retries by the remaining time of their callers.

    A retry has its own attempt id and differs from a new request only in its deadline: all callers
    of a route wait equally long, and a retry has used up some of that time.
    """

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}

    def is_retry(self, route: str, wait_ms: float | None) -> bool:
        """Whether a request for which its caller still waits `wait_ms` is a retry."""
        if wait_ms is None:
            return False
        usual_ms = max(self._usual_ms.get(route, 0.0), wait_ms)
        self._usual_ms[route] = usual_ms
        return wait_ms < RETRY_WINDOW_FRACTION * usual_ms
