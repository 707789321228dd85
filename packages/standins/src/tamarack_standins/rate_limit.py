"""A token bucket on the process's monotonic clock."""

from __future__ import annotations

import time


class RateLimit:
    """Allows `per_second` on average, with a burst of one second's worth."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._at = time.monotonic()

    def allow(self, cost: float = 1.0) -> bool:
        """Take `cost` tokens if they are available."""
        now = time.monotonic()
        self._tokens = min(self._per_second, self._tokens + (now - self._at) * self._per_second)
        self._at = now
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True
