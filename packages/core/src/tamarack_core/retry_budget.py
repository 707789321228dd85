"""Limit on retries as a fraction of all requests."""

from __future__ import annotations

from tamarack_core.defaults import RETRY_BUDGET

BURST = 10.0


class RetryBudget:
    """Allows `ratio` retries per request, with a small burst.

    Without a limit, endpoints that fail under load would receive each request several times.
    """

    def __init__(self, ratio: float = RETRY_BUDGET) -> None:
        self._ratio = ratio
        self._available = BURST

    def earn(self) -> None:
        """Credit the budget for a request."""
        self._available = min(BURST, self._available + self._ratio)

    def spend(self) -> bool:
        """Use one retry; False if the budget is exhausted."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
