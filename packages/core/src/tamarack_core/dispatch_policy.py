"""What a dispatcher needs to know of its service's configuration."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.defaults import DEFAULT_COST, QUEUE_LIMIT


class DispatchPolicy(NamedTuple):
    """What the configuration in force says of one service."""

    weights: dict[str, float] = {}
    default_weight: float = 1.0
    queue_limit: int = QUEUE_LIMIT
    default_cost: float = DEFAULT_COST
