"""Configuration of a service as its dispatchers use it."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.defaults import DEFAULT_COST, QUEUE_LIMIT


class DispatchPolicy(NamedTuple):
    """Weights, queue limit and default cost of one service."""

    weights: dict[str, float] = {}
    default_weight: float = 1.0
    queue_limit: int = QUEUE_LIMIT
    default_cost: float = DEFAULT_COST
