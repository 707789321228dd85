"""Actions of the relay that are due at a later time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from tamarack_core.clock import Clock


class Timers:
    """Runs actions once their time has come, in the order in which they are due."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The number keeps actions that are due at the same time from being compared.
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def next_ms(self) -> float:
        """Time of the next action, infinite if there is none."""
        return self._due[0][0] if self._due else float("inf")

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        due_ms = self._clock.now_ms + delay_ms
        heapq.heappush(self._due, (due_ms, next(self._numbers), action))

    def run(self) -> None:
        """Run the actions that are due."""
        now_ms = self._clock.now_ms
        while self._due and self._due[0][0] <= now_ms:
            heapq.heappop(self._due)[2]()
