"""A dynamic threshold on what one workspace may hold (Choudhury and Hahne 1998)."""

from __future__ import annotations

import threading
from collections import Counter


class ShareLimiter:
    """Limits each workspace's part of a bounded resource.

    A workspace may hold at most `alpha` times the free units, so that a flooding workspace leaves
    capacity for the others, while a single active one may still use most of it.

    Parameters
    ----------
    capacity
        Total number of units.
    alpha
        Factor of the free units that one workspace may hold.
    """

    def __init__(self, capacity: int, alpha: float) -> None:
        self._capacity = capacity
        self._alpha = alpha
        self._held: Counter[str] = Counter()
        self._total = 0
        self._lock = threading.Lock()

    @property
    def free(self) -> int:
        """Number of free units."""
        return self._capacity - self._total

    def acquire(self, workspace: str) -> bool:
        """Take one unit for a workspace; return False if it already holds its share."""
        with self._lock:
            free = self._capacity - self._total
            if free <= 0 or self._held[workspace] >= max(1.0, self._alpha * free):
                return False
            self._held[workspace] += 1
            self._total += 1
            return True

    def release(self, workspace: str) -> None:
        """Return one unit of a workspace."""
        with self._lock:
            self._held[workspace] -= 1
            self._total -= 1
            if not self._held[workspace]:
                del self._held[workspace]
