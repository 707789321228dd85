"""Orders of service by name; all except `fair` are baselines for comparison."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from tamarack_core.fair_queue import FairQueue

Q = TypeVar("Q", bound=type[FairQueue])

QUEUES: dict[str, type[FairQueue]] = {}
FAIR = "fair"
FCFS = "fcfs"
LOCAL = "local"


def queue_policy(name: str) -> Callable[[Q], Q]:
    """Register a queue class as an order of service."""

    def register(cls: Q) -> Q:
        QUEUES[name] = cls
        return cls

    return register


QUEUES[FAIR] = FairQueue
# Each router dispatches its own requests with a part of the slots, in fair order.
QUEUES[LOCAL] = FairQueue


@queue_policy(FCFS)
class ArrivalQueue(FairQueue):
    """First come, first served across all workspaces."""

    def _lowest(self) -> str | None:
        oldest: tuple[float, str] | None = None
        for name in self.backlogged:
            arrived_ms = min(waiting.arrived_ms for waiting in self.waiting_in(name))
            if oldest is None or (arrived_ms, name) < oldest:
                oldest = (arrived_ms, name)
        return oldest[1] if oldest else None


def slots_of(router: str, routers: list[str], slots: int, first: int) -> int:
    """Slots of one endpoint that a router may use under the `local` order.

    Parameters
    ----------
    first
        Index of the endpoint's first slot, counted over all endpoints.
    """
    order = sorted(routers)
    rank = order.index(router)
    return sum(1 for number in range(first, first + slots) if number % len(order) == rank)
