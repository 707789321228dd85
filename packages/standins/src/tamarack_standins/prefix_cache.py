"""A prompt prefix cache with limited capacity and delayed, incomplete events."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypedDict

EVENT_DROP_EVERY = 10
"""One event in this many is dropped."""


class CacheEvent(TypedDict):
    """A prefix was stored or evicted; `at` is in milliseconds of the engine's clock."""

    number: int
    kind: str
    prefix: str
    at: float


class PrefixCache:
    """An LRU cache of prefixes; its capacity is in tokens."""

    def __init__(self, capacity_tokens: int, event_lag_ms: float) -> None:
        self._capacity = capacity_tokens
        self._lag_ms = event_lag_ms
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._used = 0
        self._events: list[CacheEvent] = []
        self._last_number = 0

    def hit(self, prefix: str, tokens: int, now_ms: float) -> bool:
        """Look up a prefix and store it; True if it was cached."""
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        self._prefixes[prefix] = tokens
        self._used += tokens
        self._record_event("stored", prefix, now_ms)
        while self._used > self._capacity and len(self._prefixes) > 1:
            old, size = self._prefixes.popitem(last=False)
            self._used -= size
            self._record_event("evicted", old, now_ms)
        return False

    def events_after(self, number: int, now_ms: float) -> list[CacheEvent]:
        """Events after a number that are old enough to be published."""
        due = now_ms - self._lag_ms
        return [e for e in self._events if e["number"] > number and e["at"] <= due]

    def _record_event(self, kind: str, prefix: str, now_ms: float) -> None:
        self._last_number += 1
        if self._last_number % EVENT_DROP_EVERY:
            event = CacheEvent(number=self._last_number, kind=kind, prefix=prefix, at=now_ms)
            self._events.append(event)
            del self._events[:-1000]
