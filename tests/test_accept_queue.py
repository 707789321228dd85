"""Queue of new connections at a router with more callers than its processor can handle."""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from tamarack_core.concurrency_limit import ConcurrencyLimit
from tamarack_core.loop_lag import SAMPLE_MS
from tamarack_gateway.listeners import BACKLOG, MAX_ACCEPTS_PER_ITERATION

CONNECTING_MS, REFUSING_MS, PLACING_MS, EVENT_MS = 0.5, 0.08, 1.0, 0.17
"""Processing times in milliseconds at half a core, for a new connection with its first request, a
refusal, a new stream and an event."""

STREAM_MS = 600.0
EVENT_EACH_MS = 40.0
RETRY_MS = 150.0
PATIENCE_MS = 1_000.0
"""Milliseconds after which callers give up if their request was not read."""


class Outcome(NamedTuple):
    """Requests in a simulation by what became of them; `late` ones were read too late."""

    served: int
    refused: int
    late: int
    dropped: int


class CrowdedRouter:
    """A simulated event loop: requests on open connections, and retries on new ones.

    Parameters
    ----------
    asked_per_s
        First requests in a second, all on open connections.
    """

    def __init__(self, asked_per_s: float) -> None:
        self._gap_ms = 1_000 / asked_per_s
        self._limit = ConcurrencyLimit()
        self._now_ms = 0.0
        self._streams: deque[float] = deque()
        self._queue: deque[float] = deque()
        self._retries: list[float] = []
        self._served = self._refused = self._late = self._dropped = 0

    def run(self, seconds: float) -> Outcome:
        """Simulate the loop for a number of seconds."""
        next_ms, sample_ms, events = 0.0, SAMPLE_MS, 0.0
        while self._now_ms < seconds * 1_000:
            took_ms = events * EVENT_MS
            while next_ms <= self._now_ms:
                took_ms += REFUSING_MS + self._answer(retry=False)
                next_ms += self._gap_ms
            self._connect()
            took_ms = max(1.0, took_ms + self._accept())
            self._now_ms += took_ms
            events = len(self._streams) * min(1.0, took_ms / EVENT_EACH_MS)
            while self._streams and self._streams[0] <= self._now_ms:
                self._streams.popleft()
            if self._now_ms >= sample_ms:
                late_ms = self._now_ms - sample_ms
                self._limit.observe(late_ms, len(self._streams), self._now_ms)
                sample_ms = self._now_ms + SAMPLE_MS
        return Outcome(self._served, self._refused, self._late, self._dropped)

    def _connect(self) -> None:
        while self._retries and self._retries[0] <= self._now_ms:
            due_ms = heapq.heappop(self._retries)
            if len(self._queue) < BACKLOG:
                self._queue.append(due_ms)
            else:
                self._dropped += 1

    def _accept(self) -> float:
        took_ms = 0.0
        for _ in range(min(MAX_ACCEPTS_PER_ITERATION, len(self._queue))):
            took_ms += CONNECTING_MS
            if self._now_ms - self._queue.popleft() > PATIENCE_MS:
                self._late += 1
            else:
                took_ms += self._answer(retry=True)
        return took_ms

    def _answer(self, *, retry: bool) -> float:
        if len(self._streams) < self._limit.limit:
            self._streams.append(self._now_ms + STREAM_MS)
            self._served += 1
            return PLACING_MS
        self._refused += 1
        if not retry:
            heapq.heappush(self._retries, self._now_ms + RETRY_MS)
        return 0.0


def test_connections_are_accepted_before_their_callers_give_up() -> None:
    """Failure: a crowded router spends its time on connections whose callers have left."""
    for asked_per_s in (500, 1_300, 2_700):
        outcome = CrowdedRouter(asked_per_s).run(20.0)
        assert outcome.late < 0.01 * (outcome.refused + outcome.served), (asked_per_s, outcome)
