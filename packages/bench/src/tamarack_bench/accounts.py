"""Figures from the stand-ins' logs: runs, shares, utilisation, duplicate runs."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_bench.load import Result
from tamarack_standins.fleet import Fleet
from tamarack_standins.run_log import RunRecord


class Window(NamedTuple):
    """A span of time, in milliseconds since the Unix epoch."""

    start_ms: float
    end_ms: float

    @property
    def length_ms(self) -> float:
        """Length in milliseconds."""
        return self.end_ms - self.start_ms


class PromiseReport(NamedTuple):
    """Numbers of requests by outcome, and of violated promises to callers.

    Attributes
    ----------
    lost
        Streams that broke off, and answered requests without a run.
    doubled
        Runs beyond the first of each request.
    mixed
        Answers with content that does not belong to the request.
    false_refusals
        Requests that were refused as not run, and ran.
    """

    answered: int
    refused: int
    unknown: int
    lost: int
    doubled: int
    mixed: int
    false_refusals: int

    @property
    def broken(self) -> bool:
        """Whether a promise was broken."""
        return bool(self.lost or self.doubled or self.mixed or self.false_refusals)


def read_runs(fleet: Fleet, kind: str = "") -> list[RunRecord]:
    """Runs of all endpoints, of one kind or of both kinds."""
    return fleet.runs(kind)


def served_in(runs: list[RunRecord], window: Window) -> Counter[str]:
    """Tokens per workspace that were produced in a window, spread evenly over each run's time."""
    served: Counter[str] = Counter()
    for run in runs:
        end = run["finished"] or window.end_ms
        overlap = min(end, window.end_ms) - max(run["started"], window.start_ms)
        if overlap > 0 and end > run["started"]:
            part = overlap / (end - run["started"])
            served[run["workspace"]] += run["tokens"] * part  # type: ignore[assignment]
    return served


def fair_shares(
    served: Counter[str], weights: dict[str, float], backlogged: set[str]
) -> dict[str, float]:
    """Weighted max-min shares of what was served.

    A workspace without backlog got all that it requested; the rest is divided between the
    backlogged ones by weight.
    """
    rest = sum(served[name] for name in backlogged)
    weight = sum(weights.get(name, 1.0) for name in backlogged) or 1.0
    shares = {name: float(tokens) for name, tokens in served.items() if name not in backlogged}
    for name in backlogged:
        shares[name] = rest * weights.get(name, 1.0) / weight
    return shares


def busy_slots(runs: list[RunRecord], window: Window) -> float:
    """Slot time used in a window, in milliseconds."""
    busy = 0.0
    for run in runs:
        end = run["finished"] or window.end_ms
        busy += max(0.0, min(end, window.end_ms) - max(run["started"], window.start_ms))
    return busy


def doubled_runs(runs: list[RunRecord]) -> list[RunRecord]:
    """Runs whose marker is in the logs more than once, for diagnosis."""
    runs_of = Counter(run["marker"] for run in runs if run["marker"])
    doubled = [run for run in runs if runs_of[run["marker"]] > 1]
    return sorted(doubled, key=lambda run: (run["marker"], run["started"]))


def check_promises(results: list[Result], runs: list[RunRecord]) -> PromiseReport:
    """Compare the outcomes that callers saw with the endpoints' runs, by the callers' markers."""
    runs_of = Counter(run["marker"] for run in runs if run["marker"])
    outcomes = Counter(result.outcome for result in results)
    refused = [r for r in results if r.outcome == "not-run"]
    answered = [r for r in results if r.outcome == "answered"]
    return PromiseReport(
        len(answered),
        len(refused),
        outcomes["unknown"],
        outcomes["cut"] + sum(1 for r in answered if not runs_of[r.marker]),
        sum(count - 1 for count in runs_of.values() if count > 1),
        outcomes["mixed"],
        sum(1 for r in refused if runs_of[r.marker]),
    )
