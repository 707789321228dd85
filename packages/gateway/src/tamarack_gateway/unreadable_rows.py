"""Accounting of rows of the store that cannot be read, such as invalid ones by other writers."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from tamarack_core.clock import Clock
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.store_epoch import without_epoch

LINES_PER_S = 20
"""Maximum log lines in a second, so that they do not use up the log's own limit, which also applies
to starts and stops. A writer of many bad rows repeats the same error, so little is lost."""

MAX_KEYS = 2_000
"""Maximum number of rows whose last logged version is stored; a fleet has fewer endpoints and
routers."""

MAX_REASON_CHARACTERS = 200
"""Maximum length of a logged reason, which may quote the row."""


class RowKind(StrEnum):
    """Kind of a row's content."""

    CONFIGURATION = "configuration"
    ENDPOINT = "endpoint"
    ROUTER = "router"
    QUARANTINE = "quarantine"


class UnreadableRows:
    """Counts rows that cannot be read, and logs each version of a row once.

    Tables are read repeatedly, and a bad row may remain for hours: a line for each read would
    drown out the others.

    Attributes
    ----------
    counts
        Number of row versions that could not be read, by kind.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._logged: dict[tuple[RowKind, str], int] = {}
        self._second = 0
        self._lines = 0
        self.counts: Counter[RowKind] = Counter()

    def note(self, kind: RowKind, key: str, version: int, reason: str) -> None:
        """Record a version of a row that cannot be read."""
        if self._logged.get((kind, key)) == version:
            return
        if len(self._logged) >= MAX_KEYS:
            self._logged.clear()
        self._logged[kind, key] = version
        self.counts[kind] += 1
        second = int(self._clock.now_ms // 1000)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= LINES_PER_S:
            facts = {
                "row": key,
                "version": without_epoch(version),
                "reason": reason[:MAX_REASON_CHARACTERS],
            }
            self._log.event(f"unreadable {kind}", **facts)

    def forget(self, kind: RowKind, key: str) -> None:
        """Record that a row can be read or was removed."""
        self._logged.pop((kind, key), None)
