"""What operators set about requests that end endpoints, read from the environment."""

from __future__ import annotations

from collections.abc import Mapping

from tamarack_core.quarantine_records import LONGEST_PAUSE_MS, USUAL_BOUNDS, QuarantineBounds

ENDS = "TAMARACK_QUARANTINE_ENDS"
PAUSE_S = "TAMARACK_QUARANTINE_PAUSE_S"

ENDS_RANGE = (2, 100)
"""With one, every end would quarantine whoever was there alone; with a hundred, nobody ever."""

PAUSE_S_RANGE = (1.0, LONGEST_PAUSE_MS / 1000)
"""From a second, for trials, to the longest pause."""


def quarantine_bounds(environment: Mapping[str, str]) -> QuarantineBounds:
    """Read and check the settings; raises `ValueError` with every fault."""
    defaults = USUAL_BOUNDS
    faults: list[str] = []
    ends = _number(environment, ENDS, float(defaults.ends), ENDS_RANGE, faults)
    pause_s = _number(environment, PAUSE_S, defaults.first_pause_ms / 1000, PAUSE_S_RANGE, faults)
    if ends != int(ends):
        faults.append(f"{ENDS} is not a whole number")
    if faults:
        raise ValueError("; ".join(faults))
    return QuarantineBounds(int(ends), pause_s * 1000)


def _number(
    environment: Mapping[str, str],
    name: str,
    default: float,
    allowed: tuple[float, float],
    faults: list[str],
) -> float:
    try:
        number = float(environment.get(name, default))
    except ValueError:
        number = float("nan")
    least, most = allowed
    if least <= number <= most:
        return number
    faults.append(f"{name} is not a number from {least:g} to {most:g}")
    return default
