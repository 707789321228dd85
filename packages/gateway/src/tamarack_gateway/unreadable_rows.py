"""Rows of the store that cannot be used, as other writers may leave them."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from tamarack_core.clock import Clock
from tamarack_gateway.decision_log import DecisionLog

LINES_PER_S = 20
"""Lines in a second; starts and stops share the log's own bound with them. Whoever writes bad rows
at a rate writes more of the same."""

MOST_KEYS = 2_000
"""Rows whose last told version is remembered; more than a fleet has endpoints and routers."""

REASON_CHARACTERS = 200
"""Longest part of a reason that is told; it may quote what was read."""


class RowKind(StrEnum):
    """What a row holds."""

    CONFIGURATION = "configuration"
    ENDPOINT = "endpoint"
    ROUTER = "router"
    QUARANTINE = "quarantine"


class UnreadableRows:
    """Counts rows that cannot be used, and logs each version of one once.

    A table is read again and again, and an entry may stand for hours: a line for each reading
    would drown the others.

    Attributes
    ----------
    counts
        Versions of rows that could not be used, by what they hold.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._told: dict[tuple[RowKind, str], int] = {}
        self._second = 0
        self._lines = 0
        self.counts: Counter[RowKind] = Counter()

    def note(self, kind: RowKind, key: str, version: int, reason: str) -> None:
        """Take in a version of a row that cannot be used."""
        if self._told.get((kind, key)) == version:
            return
        if len(self._told) >= MOST_KEYS:
            self._told.clear()
        self._told[kind, key] = version
        self.counts[kind] += 1
        second = int(self._clock.now_ms // 1000)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= LINES_PER_S:
            told = {"row": key, "version": version, "reason": reason[:REASON_CHARACTERS]}
            self._log.event(f"unreadable {kind}", **told)

    def forget(self, kind: RowKind, key: str) -> None:
        """Take in that a row can be read, or is gone."""
        self._told.pop((kind, key), None)
