"""A bound on retries as a part of all requests."""

from __future__ import annotations

from tamarack_core.defaults import RETRY_BUDGET

BURST = 10.0


class RetryBudget:
    """Allows `ratio` retries per request, with a small burst.

    Without it, endpoints that fail under load would get every request several times over.
    """

    def __init__(self, ratio: float = RETRY_BUDGET) -> None:
        self._ratio = ratio
        self._left = BURST

    def earn(self) -> None:
        """Count a request."""
        self._left = min(BURST, self._left + self._ratio)

    def spend(self) -> bool:
        """Take one retry; False if the budget is used up."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
