"""Bounds on figures, read from a file and checked after a run."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import NamedTuple

from tamarack_bench.scenarios import Reading


class Breach(NamedTuple):
    """A figure beyond its bound."""

    scenario: str
    figure: str
    value: float
    bound: str


def read_bounds(path: Path) -> dict[str, dict[str, dict[str, float]]]:
    """Bounds by scenario and figure, each with `min`, `max` or both."""
    return tomllib.loads(path.read_text())


def check(
    readings: list[Reading], bounds: dict[str, dict[str, dict[str, float]]], deployment: str
) -> list[Breach]:
    """Find every figure beyond its bound; a missing figure is a breach too."""
    breaches = []
    for reading in readings:
        name = reading.scenario
        wanted = {**bounds.get(name, {}), **bounds.get(f"{name}.{deployment}", {})}
        for figure, bound in wanted.items():
            value = reading.figures.get(figure)
            if value is None:
                breaches.append(Breach(name, figure, float("nan"), "missing"))
                continue
            if "min" in bound and value < bound["min"]:
                breaches.append(Breach(name, figure, value, f"min {bound['min']}"))
            if "max" in bound and value > bound["max"]:
                breaches.append(Breach(name, figure, value, f"max {bound['max']}"))
    return breaches
