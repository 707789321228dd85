"""Reports once a second what an overloaded router refused, admitted and spent."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_core.route_load import RouteCounts, RouteLoad
from tamarack_gateway.decision_log import DecisionLog

REPORT_INTERVAL_MS = 1_000.0
"""Minimum time between two reports; single refusals exceed the log's limit of lines."""

LARGEST = 3
"""Number of workspaces that a report names; an overload is caused by a few of them."""

MAX_ROUTES = 8
"""Number of routes that a report names, those with most requests first."""


class ConnectionCounts(NamedTuple):
    """Callers' connections since the router started.

    Attributes
    ----------
    accepted
        Connections that were accepted.
    turned_away
        New connections that were closed unread because the limit was reached.
    closed_after_answer
        Connections that the router closed after an answer because so many were open.
    reading_ms
        Milliseconds for which requests were read, or refused where they were read. A pause of the
        process counts where it falls.
    """

    accepted: int = 0
    turned_away: int = 0
    closed_after_answer: int = 0
    reading_ms: float = 0.0

    def since(self, earlier: ConnectionCounts) -> ConnectionCounts:
        """Difference to earlier counts."""
        pairs = zip(self, earlier, strict=True)
        return ConnectionCounts._make(now - before for now, before in pairs)


class RefusalReport:
    """Counts requests that were refused for overload, and those that were admitted meanwhile.

    Parameters
    ----------
    counts
        Returns the counts of callers' connections.

    Attributes
    ----------
    refused
        Requests refused for overload since the start.
    """

    def __init__(
        self, clock: Clock, log: DecisionLog, counts: Callable[[], ConnectionCounts]
    ) -> None:
        self._clock = clock
        self._log = log
        self._counts = counts
        self._refused: Counter[str] = Counter()
        self._loads: defaultdict[str, RouteLoad] = defaultdict(RouteLoad)
        self._reported: dict[str, RouteCounts] = {}
        self._since_ms = clock.now_ms
        self._processor_ms = clock.processor_ms
        self._connections = counts()
        self.refused = 0

    @property
    def loads(self) -> Mapping[str, RouteLoad]:
        """Counts by route."""
        return self._loads

    def load(self, route: str) -> RouteLoad:
        """Counts of a route."""
        return self._loads[route]

    def refuse(self, workspace: str | None, route: str = "", *, retry: bool = False) -> None:
        """Count a refused request."""
        self.refused += 1
        self._refused[workspace or ""] += 1
        self._loads[route].refuse(retry=retry)

    def admit(self, route: str = "", tokens: float = 0.0) -> None:
        """Count an admitted request."""
        self._loads[route].admit(tokens)

    def poll(self, **load: float) -> None:
        """Write a report if requests were refused and none was written in the last second.

        Parameters
        ----------
        load
            Readings of the event loop to include.
        """
        now_ms = self._clock.now_ms
        if now_ms - self._since_ms < REPORT_INTERVAL_MS:
            return
        processor_ms, counts = self._clock.processor_ms, self._counts()
        connections = counts.since(self._connections)
        routes = self._since_report()
        if self._refused:
            self._log.event(
                "requests refused for overload",
                refused=self._refused.total(),
                admitted=sum(counts.admitted for counts in routes.values()),
                largest=dict(self._refused.most_common(LARGEST)),
                accepted=connections.accepted,
                closed_after_answer=connections.closed_after_answer,
                reading_ms=round(connections.reading_ms),
                processor_ms=round(processor_ms - self._processor_ms),
                took_ms=round(now_ms - self._since_ms),
                routes=_largest(routes),
                **load,
            )
        self._refused.clear()
        self._since_ms, self._processor_ms = now_ms, processor_ms
        self._connections = counts

    def _since_report(self) -> dict[str, RouteCounts]:
        none = RouteCounts()
        counts = {route: load.counts for route, load in self._loads.items()}
        since = {route: now.since(self._reported.get(route, none)) for route, now in counts.items()}
        for route in [route for route, change in since.items() if change == none]:
            # Routes come and go with the configuration.
            del self._loads[route], counts[route], since[route]
        self._reported = counts
        return since


def _largest(routes: dict[str, RouteCounts]) -> dict[str, dict[str, int]]:
    largest = sorted(routes, key=lambda route: -routes[route].requests)[:MAX_ROUTES]
    return {route: routes[route]._asdict() for route in largest}
