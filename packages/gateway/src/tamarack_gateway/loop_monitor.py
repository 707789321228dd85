"""Samples the event-loop lag, and reports when the router becomes overloaded or recovers."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import TypedDict

from tamarack_core.clock import Clock
from tamarack_core.concurrency_limit import ConcurrencyLimit
from tamarack_core.loop_lag import SAMPLE_MS, LoopLag
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.decision_log import DecisionLog

IDLE_SAMPLE_MS = 250.0
"""Time between two samples while no caller is connected: there are no requests to reject, and idle
routers wake up often enough for other reasons: each of 195 routers 100 times a second, even with
four samples a second."""


class LoopStatus(TypedDict):
    """Load of a router's event loop; times in milliseconds."""

    lag_ms: int
    most_lag_ms: int
    overloaded: bool
    overloads: int
    turned_away: int
    most_in_progress: int
    connections: int
    requests: int


class LoopMonitor:
    """Monitors the lag of the running event loop; use it as a context manager.

    Parameters
    ----------
    connections
        Open connections of callers.
    changed
        Called when an overload begins or ends.
    turned_away
        Returns the number of connections closed unread because the limit was reached.
    """

    def __init__(
        self,
        clock: Clock,
        log: DecisionLog,
        connections: Collection[CallerConnection],
        *,
        changed: Callable[[], None],
        turned_away: Callable[[], int] = int,
    ) -> None:
        self._clock = clock
        self._log = log
        self._connections = connections
        self._changed = changed
        self._turned_away = turned_away
        self._lag = LoopLag()
        self._limit = ConcurrencyLimit()
        self._running: Counter[str | None] = Counter()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> LoopMonitor:
        self._schedule()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    @property
    def overloaded(self) -> bool:
        """Whether the event loop has lagged for several samples."""
        return self._lag.overloaded

    @property
    def avoid(self) -> bool:
        """Whether callers should be directed to other routers."""
        return self._lag.avoid(self._clock.now_ms)

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running.total()

    def should_refuse(self, workspace: str | None) -> bool:
        """Whether a new request of a workspace is to be refused at once."""
        own = self._running[workspace]
        workspaces = len(self._running) + (own == 0)
        if not self._limit.admits(own, self.running, workspaces):
            return True
        return self._lag.should_refuse(self._clock.now_ms)

    @contextmanager
    def in_progress(self, workspace: str | None) -> Iterator[None]:
        """Count a request of a workspace as in progress within the context."""
        self._running[workspace] += 1
        try:
            yield
        finally:
            self._running[workspace] -= 1
            if not self._running[workspace]:
                del self._running[workspace]

    def status(self) -> LoopStatus:
        """Current load of the event loop."""
        lag, limit = self._lag, self._limit.limit
        return {
            "lag_ms": round(lag.lag_ms),
            "most_lag_ms": round(lag.max_ms),
            "overloaded": lag.overloaded,
            "overloads": lag.overloads,
            "turned_away": self._turned_away(),
            "most_in_progress": 0 if math.isinf(limit) else int(limit),
            "connections": len(self._connections),
            "requests": sum(connection.busy for connection in self._connections),
        }

    def _schedule(self) -> None:
        sample_ms = SAMPLE_MS if self._connections else IDLE_SAMPLE_MS
        due_ms = self._clock.now_ms + sample_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(sample_ms / 1000, self._sample, due_ms)

    def _sample(self, due_ms: float) -> None:
        now_ms = self._clock.now_ms
        self._limit.observe(now_ms - due_ms, self.running, now_ms)
        overload_changed = self._lag.record_lag(now_ms - due_ms, now_ms)
        self._schedule()
        if overload_changed:
            message = "overloaded" if self._lag.overloaded else "no longer overloaded"
            self._log.event(message, **self.status())
            self._changed()
