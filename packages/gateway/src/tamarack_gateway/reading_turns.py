"""Shares the event loop's time among connections whose bytes take long to parse."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from tamarack_core.clock import Clock

TURN_MS = 5.0
"""Longest time in milliseconds in one event-loop iteration for what did not fit into the first
slice of a packet: a packet of tiny chunks takes far longer than its bytes suggest."""


class ReadingTurns:
    """Reads one slice of each connection in turn, for a bounded time in each iteration."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[Callable[[], bool]] = deque()
        self._scheduled = False

    def wait(self, read_slice: Callable[[], bool]) -> None:
        """Call a function in turn with others, until it returns False: it has no more to read."""
        self._waiting.append(read_slice)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._read)

    def _read(self) -> None:
        self._scheduled = False
        clock = self._clock
        end_ms = clock.now_ms + TURN_MS
        while self._waiting and clock.now_ms < end_ms:
            read_slice = self._waiting.popleft()
            if read_slice():
                self._waiting.append(read_slice)
        if self._waiting:
            self._schedule()
