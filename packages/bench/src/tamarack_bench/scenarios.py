"""The registry of scenarios, and their options and readings."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Reading(NamedTuple):
    """Figures of one scenario, and series for plots.

    Attributes
    ----------
    figures
        Values by name; the unit is in the name.
    series
        Points by name, for the report.
    """

    scenario: str
    figures: dict[str, float]
    series: dict[str, list[tuple[float, float]]] = {}


class Options(NamedTuple):
    """Options of every scenario, set on the command line."""

    deployment: str = "domandina"
    seed: int = 1
    seconds: float = 8.0
    minutes: float = 3.0
    log_dir: str = ""


Run = Callable[[Options], Reading]


class Scenario(NamedTuple):
    """One scenario; `standard` ones are part of `run all`."""

    name: str
    help: str
    run: Run
    standard: bool


SCENARIOS: dict[str, Scenario] = {}


def scenario(name: str, help: str, *, standard: bool = True) -> Callable[[Run], Run]:
    """Register a function as a scenario."""

    def register(run: Run) -> Run:
        SCENARIOS[name] = Scenario(name, help, run, standard)
        return run

    return register


def percentile(values: list[float], part: float) -> float:
    """Value below which the fraction `part` of the values lies; zero without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
