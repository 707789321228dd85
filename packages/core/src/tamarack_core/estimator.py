"""Expected cost of a request before it has run."""

from __future__ import annotations

from tamarack_core.defaults import DEFAULT_COST, ESTIMATE_GAIN

HINT_RUNS = 3


class Estimator:
    """A moving estimate per workspace; hints count only before the first runs.

    A workspace that always says "small" gains nothing: its own costs replace the hint after
    `HINT_RUNS` runs, and what a run costs past its estimate is charged while it runs.
    """

    def __init__(self, default_cost: float = DEFAULT_COST) -> None:
        self._default_cost = default_cost
        self._means: dict[str, tuple[float, int]] = {}

    def estimate(self, workspace: str, hint: float = 0.0) -> float:
        """Cost units to charge at the grant."""
        mean, runs = self._means.get(workspace, (self._default_cost, 0))
        if runs >= HINT_RUNS or hint <= 0:
            return mean
        return max(hint, self._default_cost / 4)

    def learn(self, workspace: str, cost: float) -> None:
        """Take in what a finished request cost."""
        mean, runs = self._means.get(workspace, (cost, 0))
        mean += (cost - mean) * ESTIMATE_GAIN
        self._means[workspace] = (mean, runs + 1)
