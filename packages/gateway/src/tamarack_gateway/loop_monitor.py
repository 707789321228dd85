"""Samples the event-loop lag, and reports when the router becomes overloaded or recovers."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import TypedDict

from tamarack_core.accept_rate import AcceptRate
from tamarack_core.caller_diversion import CallerDiversion
from tamarack_core.clock import Clock
from tamarack_core.concurrency_limit import ConcurrencyLimit
from tamarack_core.loop_lag import SAMPLE_MS, LoopLag
from tamarack_core.retry_detector import RetryDetector
from tamarack_core.route_fairness import RouteFairness
from tamarack_core.route_load import RouteLoad
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.refusal_report import ConnectionCounts, RefusalReport

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
    accepted: int
    turned_away: int
    closed_after_answer: int
    refused: int
    processor_ms: int
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
        Called when an overload begins or ends, or when callers are directed elsewhere or no longer.
    crowded
        Returns whether the router is crowded for another reason than lag.
    accept_rate
        Counts of the connections that callers open.
    counts
        Returns the counts of callers' connections.
    """

    def __init__(
        self,
        clock: Clock,
        log: DecisionLog,
        connections: Collection[CallerConnection],
        *,
        changed: Callable[[], None],
        crowded: Callable[[], bool] = bool,
        accept_rate: AcceptRate | None = None,
        counts: Callable[[], ConnectionCounts] = ConnectionCounts,
    ) -> None:
        self._clock = clock
        self._log = log
        self._connections = connections
        self._changed = changed
        self._counts = counts
        self._report = RefusalReport(clock, log, counts)
        self._crowded = crowded
        self._accept_rate = accept_rate or AcceptRate()
        self._lag = LoopLag()
        self._diversion = CallerDiversion()
        self._limit = ConcurrencyLimit()
        self._routes = RouteFairness()
        self._retries = RetryDetector()
        self._running: Counter[str | None] = Counter()
        self._running_total = 0
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
        return self._diversion.active

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running_total

    @property
    def may_refuse(self) -> bool:
        """Whether some new requests are refused; False means that none is."""
        return self._running_total >= self._limit.least or self._lag.overloaded

    def load(self, route: str) -> RouteLoad:
        """Counts of the work for a route."""
        return self._report.load(route)

    def should_refuse(
        self, workspace: str | None, route: str = "", wait_ms: float | None = None
    ) -> bool:
        """Whether a new request is to be refused at once.

        Parameters
        ----------
        wait_ms
            Milliseconds that its caller waits; None if not known.
        """
        now_ms = self._clock.now_ms
        own = self._running[workspace]
        workspaces = len(self._running) + (own == 0)
        self._routes.observe(self._report.loads, now_ms)
        admits = self._limit.admits(
            own, self._running_total, workspaces, route_ahead=self._routes.ahead(route)
        )
        refuse = not admits or self._lag.should_refuse(now_ms)
        if refuse:
            self._diversion.record_request()
            self._report.refuse(workspace, route, retry=self._retries.is_retry(route, wait_ms))
        return refuse

    @contextmanager
    def in_progress(
        self, workspace: str | None, route: str = "", tokens: float = 0.0
    ) -> Iterator[None]:
        """Count a request of a workspace as in progress within the context."""
        self._running[workspace] += 1
        self._running_total += 1
        self._diversion.record_request()
        self._report.admit(route, tokens)
        try:
            yield
        finally:
            self._running_total -= 1
            self._running[workspace] -= 1
            if not self._running[workspace]:
                del self._running[workspace]

    def status(self) -> LoopStatus:
        """Current load of the event loop."""
        lag, counts = self._lag, self._counts()
        return {
            "lag_ms": round(lag.lag_ms),
            "most_lag_ms": round(lag.max_ms),
            "overloaded": lag.overloaded,
            "overloads": lag.overloads,
            "accepted": counts.accepted,
            "turned_away": counts.turned_away,
            "closed_after_answer": counts.closed_after_answer,
            "refused": self._report.refused,
            "processor_ms": round(self._clock.processor_ms),
            "most_in_progress": self._most_in_progress,
            "connections": len(self._connections),
            "requests": sum(connection.busy for connection in self._connections),
        }

    @property
    def _most_in_progress(self) -> int:
        return 0 if math.isinf(self._limit.limit) else int(self._limit.limit)

    def _schedule(self) -> None:
        sample_ms = SAMPLE_MS if self._connections else IDLE_SAMPLE_MS
        due_ms = self._clock.now_ms + sample_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(sample_ms / 1000, self._sample, due_ms)

    def _sample(self, due_ms: float) -> None:
        # First, so that no exception below ends the samples.
        self._schedule()
        now_ms = self._clock.now_ms
        starved = self._accept_rate.starved(now_ms)
        self._limit.observe(now_ms - due_ms, self.running, now_ms, starved=starved)
        overload_changed = self._lag.record_lag(now_ms - due_ms, now_ms)
        diverted = self.avoid
        self._diversion.observe(self._lag.overloaded or self._crowded(), now_ms)
        self._report.poll(
            limit=self._most_in_progress,
            running=self.running,
            lag_ms=round(self._lag.lag_ms),
            diverted=self.avoid,
            starved=starved,
        )
        if overload_changed:
            message = "overloaded" if self._lag.overloaded else "no longer overloaded"
            self._log.event(message, **self.status())
        if overload_changed or diverted != self.avoid:
            self._changed()
