"""Which requests are repeats by a caller that was refused before."""

from __future__ import annotations

RETURN_PART = 0.96
"""Part of a route's usual deadline below which a request counts as a repeat: a caller tells what
is left of the time that it had, and comes back after half a second at the earliest."""


class ReturnDetector:
    """Tells repeats by the time that their callers still wait.

    A repeat has an attempt id of its own and looks like a new request but for its deadline: callers
    of one route wait equally long, and one that comes back has used some of that time.
    """

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}

    def returned(self, route: str, wait_ms: float | None) -> bool:
        """Whether a request that its caller waits `wait_ms` for has come back."""
        if wait_ms is None:
            return False
        usual_ms = max(self._usual_ms.get(route, 0.0), wait_ms)
        self._usual_ms[route] = usual_ms
        return wait_ms < RETURN_PART * usual_ms
