"""Table of quarantined combinations of traits, and their state in the platform's store."""

from __future__ import annotations

from collections.abc import Iterable

from tamarack_core.quarantine_records import Quarantined, QuarantinedReading
from tamarack_core.request_traits import traits_in
from tamarack_core.termination_evidence import QuarantinedRequest
from tamarack_core.workspace_table import WorkspaceTable

MOST_QUARANTINED, MOST_QUARANTINED_OF_ONE = 1_024, 64
"""Entries in total and per workspace: less than 1 MB in all."""


class QuarantineEntries:
    """Quarantined combinations, by name; a request with all traits of one is refused.

    Attributes
    ----------
    evicted
        Names of the entries that gave way to others, until they are deleted from the store.
    """

    def __init__(self) -> None:
        self._entries: WorkspaceTable[Quarantined] = WorkspaceTable(
            most=MOST_QUARANTINED, most_of_one=MOST_QUARANTINED_OF_ONE
        )
        self._names: dict[str, set[str]] = {}
        self.evicted: list[str] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def get(self, name: str) -> Quarantined | None:
        """The entry of a name; None if there is none."""
        return self._entries.get(name)

    def count(self, workspace: str) -> int:
        """Number of entries of a workspace."""
        return self._entries.count(workspace)

    def matching(self, traits: Iterable[str]) -> list[str]:
        """Names of the entries that apply to a request with the given traits."""
        if not self._names:
            return []
        own = set(traits)
        found = {name for trait in own for name in self._names.get(trait, ())}
        return [name for name in found if traits_in(name) <= own]

    def put(self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False) -> None:
        """Insert or replace an entry; those that it includes give way."""
        name, traits = request.fingerprint, traits_in(request.fingerprint)
        included = {other for trait in traits for other in self._names.get(trait, ())}
        for other in included - {name}:
            if traits_in(other) > traits:
                self.pop(other)
                self.evicted.append(other)
        entry = Quarantined(request.workspace, request.trials, now_ms)
        entry.stored = stored
        evicted = self._entries.put(name, request.workspace, entry)
        for trait in traits:
            self._names.setdefault(trait, set()).add(name)
        for other in evicted:
            self._unindex(other)
        self.evicted += evicted

    def pop(self, name: str) -> bool:
        """Remove an entry; returns whether there was one."""
        if self._entries.pop(name) is None:
            return False
        self._unindex(name)
        return True

    # the store

    def retain_stored(self, names: set[str]) -> list[str]:
        """Remove what the store no longer lists, except for what was never stored there."""
        stale = [n for n, entry in self._entries.items() if entry.stored and n not in names]
        for name in stale:
            self.pop(name)
        return stale

    def mark_lost(self, names: set[str]) -> None:
        """Record that the store has lost all rows but these; they are to be stored again."""
        for name, entry in self._entries.items():
            entry.stored = entry.stored and name in names

    def mark_stored(self, request: QuarantinedRequest) -> None:
        """Record that the store lists an entry."""
        entry = self._entries.get(request.fingerprint)
        if entry is not None and entry.trials == request.trials:
            entry.stored = True

    def unstored(self) -> list[QuarantinedRequest]:
        """Entries that the store does not list in their current state."""
        return [
            QuarantinedRequest(name, entry.workspace, entry.trials)
            for name, entry in self._entries.items()
            if not entry.stored
        ]

    def readings(self, first_pause_ms: float, now_ms: float) -> list[QuarantinedReading]:
        """All entries, newest last."""
        return [
            QuarantinedReading(
                name,
                entry.workspace,
                entry.trials,
                entry.stored,
                round(entry.tried_at_ms(first_pause_ms) - now_ms),
            )
            for name, entry in self._entries.items()
        ]

    def _unindex(self, name: str) -> None:
        for trait in traits_in(name):
            names = self._names.get(trait)
            if names is not None:
                names.discard(name)
                if not names:
                    del self._names[trait]
