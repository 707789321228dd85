"""Detection of new connections that wait while few of them are accepted."""

from __future__ import annotations

GUARANTEED_PER_S = 600.0
"""Connections accepted in a second below which requests in progress yield to those that wait. On a
small instance they take a third of the processor; with a guarantee of all that it can accept,
refused callers that connect anew would leave nothing for requests in progress."""

WINDOW_MS = 100.0
"""Time in milliseconds over which accepted connections are counted, and for which they wait at the
least: connections that arrive during a pause of the process are accepted within it."""


class AcceptRate:
    """Counts accepted connections while more of them wait."""

    def __init__(self) -> None:
        self._accepted = 0
        self._seen = 0
        self._emptied = True
        self._starved = False
        self._since_ms = 0.0
        self._counted = 0

    def record_accept(self) -> None:
        """Record that a connection was accepted."""
        self._accepted += 1

    def record_empty(self) -> None:
        """Record that no connection waits any more."""
        self._emptied = True

    def starved(self, now_ms: float) -> bool:
        """Whether fewer than the guaranteed connections are accepted while others wait.

        Called with each sample of the event loop.
        """
        if self._emptied or self._accepted == self._seen:
            self._starved = False
            self._since_ms, self._counted = now_ms, self._accepted
        elif now_ms - self._since_ms >= WINDOW_MS:
            per_s = 1_000 * (self._accepted - self._counted) / (now_ms - self._since_ms)
            self._starved = per_s < GUARANTEED_PER_S
            self._since_ms, self._counted = now_ms, self._accepted
        self._emptied, self._seen = False, self._accepted
        return self._starved
