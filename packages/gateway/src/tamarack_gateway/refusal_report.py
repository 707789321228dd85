"""Reports once a second what an overloaded router refused, admitted and spent."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_gateway.decision_log import DecisionLog

REPORT_INTERVAL_MS = 1_000.0
"""Minimum time between two reports; single refusals exceed the log's limit of lines."""

LARGEST = 3
"""Number of workspaces that a report names; an overload is caused by a few of them."""


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
    """

    accepted: int = 0
    turned_away: int = 0
    closed_after_answer: int = 0


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
        self._admitted = 0
        self._since_ms = clock.now_ms
        self._processor_ms = clock.processor_ms
        self._connections = counts()
        self.refused = 0

    def refuse(self, workspace: str | None) -> None:
        """Count a refused request."""
        self.refused += 1
        self._refused[workspace or ""] += 1

    def admit(self) -> None:
        """Count an admitted request."""
        self._admitted += 1

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
        processor_ms, connections = self._clock.processor_ms, self._counts()
        if self._refused:
            self._log.event(
                "requests refused for overload",
                refused=self._refused.total(),
                admitted=self._admitted,
                largest=dict(self._refused.most_common(LARGEST)),
                accepted=connections.accepted - self._connections.accepted,
                closed_after_answer=(
                    connections.closed_after_answer - self._connections.closed_after_answer
                ),
                processor_ms=round(processor_ms - self._processor_ms),
                took_ms=round(now_ms - self._since_ms),
                **load,
            )
        self._refused.clear()
        self._admitted = 0
        self._since_ms, self._processor_ms = now_ms, processor_ms
        self._connections = connections
