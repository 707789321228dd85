"""Decides when a background task that has ended runs again, and when its process should end."""

from __future__ import annotations

FIRST_PAUSE_MS = 100.0
MAX_PAUSE_MS = 2_000.0
"""Pauses before a restart: the first one, doubled with each quick end, and the longest."""

QUICK_MS = 10_000.0
"""An end within this time of its start is a quick one: the restart has not helped."""

MAX_QUICK_ENDS = 5
"""Quick ends in a row after which only a new process may help: what the task works on is broken."""


class RestartPolicy:
    """Restarts of one task."""

    def __init__(self) -> None:
        self._quick_ends = 0

    def pause_ms(self, ran_ms: float) -> float | None:
        """Return the pause before the restart of a task that ran for `ran_ms` until it ended.

        Returns None if the process should end.
        """
        self._quick_ends = self._quick_ends + 1 if ran_ms < QUICK_MS else 1
        if self._quick_ends >= MAX_QUICK_ENDS:
            return None
        return min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2.0 ** (self._quick_ends - 1))
