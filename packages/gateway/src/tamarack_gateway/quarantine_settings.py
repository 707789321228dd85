"""Operators' settings for the quarantine of requests that crash endpoints."""

from __future__ import annotations

from collections.abc import Mapping

from tamarack_core.quarantine_records import DEFAULT_BOUNDS, LONGEST_PAUSE_MS, QuarantineBounds

ENDS = "TAMARACK_QUARANTINE_ENDS"
PAUSE_S = "TAMARACK_QUARANTINE_PAUSE_S"

ENDS_RANGE = (2, 100)
"""With 1, every termination would quarantine a request that ran there alone; with 100, practically
no request would ever be quarantined."""

PAUSE_S_RANGE = (1.0, LONGEST_PAUSE_MS / 1000)
"""From one second, for trials, to the longest pause."""


def quarantine_bounds(environment: Mapping[str, str]) -> QuarantineBounds:
    """Read and check the settings in the environment; raises `ValueError` with all errors."""
    defaults = DEFAULT_BOUNDS
    errors: list[str] = []
    ends = _number(environment, ENDS, float(defaults.ends), ENDS_RANGE, errors)
    pause_s = _number(environment, PAUSE_S, defaults.first_pause_ms / 1000, PAUSE_S_RANGE, errors)
    if ends != int(ends):
        errors.append(f"{ENDS} is not a whole number")
    if errors:
        raise ValueError("; ".join(errors))
    return QuarantineBounds(int(ends), pause_s * 1000)


def _number(
    environment: Mapping[str, str],
    name: str,
    default: float,
    allowed: tuple[float, float],
    errors: list[str],
) -> float:
    try:
        number = float(environment.get(name, default))
    except ValueError:
        number = float("nan")
    least, most = allowed
    if least <= number <= most:
        return number
    errors.append(f"{name} is not a number from {least:g} to {most:g}")
    return default
