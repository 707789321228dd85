"""Counts the bytes that one caller's connection holds against the router's budget."""

from __future__ import annotations

from tamarack_core.memory_budget import SMALL_BYTES, MemoryBudget


class CallerMemory:
    """Bytes of a caller's requests, and of answers that it has not taken.

    Parameters
    ----------
    budget
        The router's budget.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._requests, self._unsent = budget.holding(), budget.holding()
        self._complete_bytes = self._answered_bytes = 0

    def reserve(self, reading_bytes: int) -> bool:
        """Count the read part of a request that is not complete; False if it does not fit."""
        return self._requests.resize(self._complete_bytes + reading_bytes)

    def received(self, held_bytes: int, *, limited: bool = False) -> bool:
        """Count a complete request; False if it is limited and does not fit."""
        complete_bytes = self._complete_bytes + held_bytes
        if not limited:
            self._requests.charge(complete_bytes)
        elif not self._requests.resize(complete_bytes):
            return False
        self._complete_bytes = complete_bytes
        return True

    def dropped(self) -> None:
        """Count the read part of an incomplete request no more."""
        self._requests.charge(self._complete_bytes)

    def began(self, held_bytes: int) -> None:
        """Record that the next request in order is being answered."""
        self._answered_bytes = held_bytes

    def ended(self) -> None:
        """Count the request that has been answered no more."""
        if self._answered_bytes:
            self._complete_bytes -= self._answered_bytes
            self._answered_bytes = 0
            self._requests.charge(self._complete_bytes)

    def buffered(self, unsent_bytes: int) -> bool:
        """Count what the caller has not taken yet; returns whether that fits.

        It is counted in any case: what an endpoint has sent is delivered.
        """
        if unsent_bytes <= SMALL_BYTES and not self._unsent.held_bytes:
            return True
        if self._unsent.resize(unsent_bytes):
            return True
        self._unsent.charge(unsent_bytes)
        return False

    def release(self) -> None:
        """Count nothing any more: the connection is closed."""
        self._complete_bytes = self._answered_bytes = 0
        self._requests.release()
        self._unsent.release()
