"""Requests of one caller's connection that have been read and wait for their turn."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from tamarack_gateway.caller_memory import CallerMemory
from tamarack_gateway.http_messages import Request

MAX_PENDING = 8
"""Complete requests behind the one in progress from which on no more are read."""


class PendingRequest(NamedTuple):
    """A complete request.

    Attributes
    ----------
    keep
        Whether its connection may stay open after it.
    held_bytes
        Memory that it takes.
    """

    request: Request
    keep: bool
    held_bytes: int


class RequestQueue:
    """Requests in the order in which they are answered, counted against a budget of memory."""

    def __init__(self, memory: CallerMemory) -> None:
        self._memory = memory
        self._pending: deque[PendingRequest] = deque()

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def full(self) -> bool:
        """Whether no more requests should be read."""
        return len(self._pending) >= MAX_PENDING

    def put(self, pending: PendingRequest) -> None:
        """Add a request that has been counted by `receive`."""
        self._pending.append(pending)

    def receive(self, held_bytes: int, *, first: bool) -> bool:
        """Count a complete request; False if it is not the first and does not fit."""
        return self._memory.received(held_bytes, limited=not first)

    def take(self) -> PendingRequest:
        """Remove and return the next request."""
        return self._pending.popleft()
