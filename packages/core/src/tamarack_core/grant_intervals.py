"""Intervals between grants of a workspace, from which its waiting time is predicted."""

from __future__ import annotations

RATE_GAIN = 0.1  # weight of a new interval in the moving mean


class GrantIntervals:
    """Moving mean of the time between grants of each workspace, in milliseconds."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._last_grant_ms: dict[str, float] = {}

    def mean_ms(self, workspace: str) -> float:
        """Mean interval in milliseconds, zero if none is known."""
        return self._mean_ms.get(workspace, 0.0)

    def granted(self, workspace: str, now_ms: float, *, backlogged: bool) -> None:
        """Record a grant; `backlogged` means that tickets of the workspace still wait."""
        # Intervals without waiting tickets do not reflect the rate of service.
        last_ms = self._last_grant_ms.pop(workspace, None)
        if last_ms is not None:
            mean_ms = self._mean_ms.get(workspace, 0.0)
            self._mean_ms[workspace] = mean_ms + (now_ms - last_ms - mean_ms) * RATE_GAIN
        if backlogged:
            self._last_grant_ms[workspace] = now_ms
