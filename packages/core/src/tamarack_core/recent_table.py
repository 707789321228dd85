"""A mapping that forgets its entries some time after they were written."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from tamarack_core.clock import Clock

K = TypeVar("K")
V = TypeVar("V")

MAX_ENTRIES = 400_000
"""Entries after which older ones are forgotten early, so that the memory is bounded."""


class RecentTable(Generic[K, V]):
    """Keeps entries for one to two retention periods, without a look at each of them.

    Parameters
    ----------
    retention_ms
        Returns the shortest time in milliseconds for which an entry is kept.
    """

    def __init__(self, clock: Clock, retention_ms: Callable[[], float]) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._rotated_ms = clock.now_ms
        self._newer: dict[K, V] = {}
        self._older: dict[K, V] = {}

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def __setitem__(self, key: K, value: V) -> None:
        self._rotate()
        self._newer[key] = value

    def get(self, key: K) -> V | None:
        """The value of a key; None if there is none or it was forgotten."""
        self._rotate()
        value = self._newer.get(key)
        return self._older.get(key) if value is None else value

    def items(self) -> Iterator[tuple[K, V]]:
        """All entries with their newest values."""
        self._rotate()
        yield from {**self._older, **self._newer}.items()

    def _rotate(self) -> None:
        now_ms, retention_ms = self._clock.now_ms, self._retention_ms()
        age_ms = now_ms - self._rotated_ms
        if age_ms < retention_ms and len(self._newer) < MAX_ENTRIES // 2:
            return
        self._older = self._newer if age_ms < 2 * retention_ms else {}
        self._newer, self._rotated_ms = {}, now_ms
