"""How long a workspace's tickets wait, foretold from the time between its grants."""

from __future__ import annotations

# Part of a new interval in the mean.
RATE_GAIN = 0.1


class GrantIntervals:
    """Mean time between two grants of each workspace, in milliseconds."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}
        self._last_grant_ms: dict[str, float] = {}

    def mean_ms(self, workspace: str) -> float:
        """Mean interval, zero while none is known."""
        return self._mean_ms.get(workspace, 0.0)

    def granted(self, workspace: str, now_ms: float, *, backlogged: bool) -> None:
        """Note a grant, and whether tickets of the workspace still wait."""
        # Time in which nothing waited tells nothing of how fast the workspace is served.
        last_ms = self._last_grant_ms.pop(workspace, None)
        if last_ms is not None:
            mean_ms = self._mean_ms.get(workspace, 0.0)
            self._mean_ms[workspace] = mean_ms + (now_ms - last_ms - mean_ms) * RATE_GAIN
        if backlogged:
            self._last_grant_ms[workspace] = now_ms
