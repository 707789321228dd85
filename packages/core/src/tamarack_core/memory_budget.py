"""Limits the memory that all requests of a process hold together."""

from __future__ import annotations

BUDGET_FRACTION = 0.2
"""Fraction of a process's memory for bytes of requests and answers. A byte may be held twice while
it is joined or copied, and the interpreter, its libraries and the state of a large fleet take some
100 MB."""

HOLDER_SHARE = 0.5
"""Largest fraction of the free budget that one holder may take: the more is held, the less one
message may hold."""

SMALL_BYTES = 16_384
"""Largest size of a holder that counts as small."""

SMALL_RESERVE = 0.25
"""Fraction of the budget that is for small holders only, so that they still fit while large ones
hold the rest."""


class MemoryBudget:
    """Bytes that may be held, and those that are.

    Parameters
    ----------
    limit_bytes
        Bytes that all holders together may hold.

    Attributes
    ----------
    rejected
        Number of times that a holder could not get more.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self.rejected = 0

    @property
    def limit_bytes(self) -> float:
        """Bytes that all holders together may hold."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that all holders hold."""
        return self._held_bytes

    def holding(self) -> Holding:
        """A new holder's part, which is empty."""
        return Holding(self)

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change what one holder holds; False if it does not fit, and nothing has changed."""
        others_bytes = self._held_bytes - old_bytes
        if new_bytes > old_bytes and new_bytes > self._room_bytes(new_bytes, others_bytes):
            self.rejected += 1
            return False
        self._held_bytes = others_bytes + new_bytes
        return True

    def _room_bytes(self, new_bytes: int, others_bytes: int) -> float:
        if new_bytes <= SMALL_BYTES:
            return self._limit_bytes - others_bytes
        return HOLDER_SHARE * ((1.0 - SMALL_RESERVE) * self._limit_bytes - others_bytes)

    def charge(self, old_bytes: int, new_bytes: int) -> None:
        """Change what one holder holds without a limit: what it has cannot be refused any more."""
        self._held_bytes += new_bytes - old_bytes


class Holding:
    """What one holder has of a `MemoryBudget`."""

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._bytes

    def resize(self, new_bytes: int) -> bool:
        """Hold this many bytes; False if they do not fit, and as many as before are held."""
        if new_bytes == self._bytes:
            return True
        if not self._budget.resize(self._bytes, new_bytes):
            return False
        self._bytes = new_bytes
        return True

    def charge(self, new_bytes: int) -> None:
        """Hold this many bytes, also beyond the limit."""
        self._budget.charge(self._bytes, new_bytes)
        self._bytes = new_bytes

    def release(self) -> None:
        """Hold nothing."""
        self.charge(0)


UNLIMITED = MemoryBudget(float("inf"))
"""Budget of connections whose peers are trusted with their size limits alone."""
