"""The fairness gap over time, from the engines' logs."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_bench.accounts import Window
from tamarack_standins.run_log import RunRecord

STEP_MS = 100.0
PROMPT_WEIGHT = 0.25


class Gap(NamedTuple):
    """Gap over a window, in cost units per weight.

    Attributes
    ----------
    points
        Seconds since the window's start, and the gap at that time.
    largest_request
        Cost of the largest request in the window.
    """

    points: list[tuple[float, float]]
    largest_request: float

    @property
    def largest(self) -> float:
        """Largest gap of the window."""
        return max((gap for _, gap in self.points), default=0.0)


def cost_of(run: RunRecord) -> float:
    """Cost units of a run, as the routers count them."""
    return run["tokens"] + PROMPT_WEIGHT * run["prompt_tokens"]


def gap_over_time(
    runs: list[RunRecord], backlogged: set[str], weights: dict[str, float], window: Window
) -> Gap:
    """Largest difference of service since the window's start, at each tenth of a second.

    A run's cost is spread evenly over its time, as an engine produces tokens at an even rate.
    """
    steps = int(window.length_ms / STEP_MS)
    served = {name: [0.0] * (steps + 1) for name in backlogged}
    largest = 0.0
    for run in runs:
        end = run["finished"] or window.end_ms
        if run["workspace"] not in backlogged or end <= window.start_ms:
            continue
        largest = max(largest, cost_of(run))
        weight = weights.get(run["workspace"], 1.0)
        _spread(served[run["workspace"]], run["started"], end, cost_of(run) / weight, window)
    points = []
    totals = dict.fromkeys(backlogged, 0.0)
    for step in range(steps):
        for name in backlogged:
            totals[name] += served[name][step]
        gap = max(totals.values()) - min(totals.values())
        points.append(((step + 1) * STEP_MS / 1000, gap))
    return Gap(points, largest)


def _spread(steps: list[float], start: float, end: float, cost: float, window: Window) -> None:
    length = max(1.0, end - start)
    first = max(0, int((start - window.start_ms) // STEP_MS))
    last = min(len(steps) - 1, int((end - window.start_ms) // STEP_MS))
    for step in range(first, last + 1):
        from_ms = max(start, window.start_ms + step * STEP_MS)
        to_ms = min(end, window.start_ms + (step + 1) * STEP_MS)
        steps[step] += cost * max(0.0, to_ms - from_ms) / length
