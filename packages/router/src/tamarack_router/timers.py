"""Delayed actions of the relay."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from tamarack_core.clock import Clock


class Timers:
    """Runs actions at their due times, in due order."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # The number breaks ties, since actions cannot be compared.
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def next_ms(self) -> float:
        """Due time of the next action in milliseconds, infinite if there is none."""
        return self._due[0][0] if self._due else float("inf")

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        due_ms = self._clock.now_ms + delay_ms
        heapq.heappush(self._due, (due_ms, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions that are due."""
        now_ms = self._clock.now_ms
        while self._due and self._due[0][0] <= now_ms:
            heapq.heappop(self._due)[2]()
