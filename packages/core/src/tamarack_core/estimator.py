"""Expected cost of a request before it has run."""

from __future__ import annotations

from tamarack_core.defaults import DEFAULT_COST, ESTIMATE_GAIN

HINT_RUNS = 3  # finished runs of a workspace after which hints are ignored
OVERALL_GAIN = 0.02  # weight of a new cost in the mean over all workspaces


class Estimator:
    """Moving mean cost per workspace; before the first runs, the mean of all workspaces.

    A hint is the maximum that a caller allows, so it can only lower an early estimate. A hint that
    is too low has no benefit: cost beyond the estimate is charged during the run, and after
    `HINT_RUNS` runs only the workspace's own costs count. Charging a hint that is too high would
    delay the workspace's next request behind all others until the first is settled.
    """

    def __init__(self, default_cost: float = DEFAULT_COST) -> None:
        self._overall_mean = default_cost
        self._means: dict[str, tuple[float, int]] = {}

    def estimate(self, workspace: str, hint: float = 0.0) -> float:
        """Cost units to charge at the grant."""
        mean, runs = self._means.get(workspace, (self._overall_mean, 0))
        if runs >= HINT_RUNS:
            return mean
        return min(hint, mean) if hint > 0 else mean

    def learn(self, workspace: str, cost: float) -> None:
        """Add the cost of a finished request."""
        mean, runs = self._means.get(workspace, (cost, 0))
        mean += (cost - mean) * ESTIMATE_GAIN
        self._means[workspace] = (mean, runs + 1)
        self._overall_mean += (cost - self._overall_mean) * OVERALL_GAIN
