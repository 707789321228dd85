"""Max-min fair division."""

from __future__ import annotations

import math
from collections.abc import Iterable


def max_min_share(total: float, demands: Iterable[float]) -> float:
    """Share of those who demand more than it, if `total` is divided; infinite if all is met."""
    left, ordered = total, sorted(demands)
    for position, demand in enumerate(ordered):
        share = left / (len(ordered) - position)
        if demand > share:
            return share
        left -= demand
    return math.inf
