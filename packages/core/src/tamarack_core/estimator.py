"""Expected cost of a request before it has run."""

from __future__ import annotations

from tamarack_core.defaults import DEFAULT_COST, ESTIMATE_GAIN

HINT_RUNS = 3
TYPICAL_GAIN = 0.02


class Estimator:
    """A moving estimate per workspace; before its first runs, what others' requests cost.

    A hint is the most that a caller allows, so it can only lower a first estimate. One that says
    too little gains nothing: what a run costs past its estimate is charged while it runs, and
    after `HINT_RUNS` runs the workspace's own costs count alone. One that says too much would
    push its own next request behind everybody's, until the first has been settled.
    """

    def __init__(self, default_cost: float = DEFAULT_COST) -> None:
        self._typical = default_cost
        self._means: dict[str, tuple[float, int]] = {}

    def estimate(self, workspace: str, hint: float = 0.0) -> float:
        """Cost units to charge at the grant."""
        mean, runs = self._means.get(workspace, (self._typical, 0))
        if runs >= HINT_RUNS:
            return mean
        return min(hint, mean) if hint > 0 else mean

    def learn(self, workspace: str, cost: float) -> None:
        """Take in what a finished request cost."""
        mean, runs = self._means.get(workspace, (cost, 0))
        mean += (cost - mean) * ESTIMATE_GAIN
        self._means[workspace] = (mean, runs + 1)
        self._typical += (cost - self._typical) * TYPICAL_GAIN
