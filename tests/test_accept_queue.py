"""Queue of new connections at a router with more callers than its processor can handle."""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from tamarack_core.accept_rate import GUARANTEED_PER_S, WINDOW_MS, AcceptRate
from tamarack_core.concurrency_limit import ConcurrencyLimit
from tamarack_core.loop_lag import SAMPLE_MS, LoopLag
from tamarack_gateway.accepting_socket import BACKLOG, MAX_ACCEPTS_PER_ITERATION

CONNECTING_MS, REFUSING_MS, PLACING_MS, EVENT_MS = 0.25, 0.04, 0.5, 0.085
"""Processor time in milliseconds of a new connection with its first request, a refusal, a new
stream and an event."""

REPORTS_MS, REPORTS_EACH_MS = 4.0, 40.0
"""Processor time of messages from other routers, and how often they come, in milliseconds."""

QUOTA_MS, PERIOD_MS = 51.6, 100.0
"""Processor time that the router has in each period; it is paused for the rest."""

STREAM_MS = 600.0
EVENT_EACH_MS = 40.0
RETRY_MS = 150.0
PATIENCE_MS = 1_000.0
"""Milliseconds after which callers give up if their request was not read."""


class Outcome(NamedTuple):
    """Requests in a simulation by what became of them; `late` ones were read too late.

    `overloaded` is the fraction of samples at which the event loop was overloaded.
    """

    served: int
    refused: int
    late: int
    dropped: int
    overloaded: float


class Processor:
    """A part of a core: it runs at full speed until its quota is used up in each period."""

    def __init__(self) -> None:
        self._period = 0
        self._used_ms = 0.0

    def run(self, now_ms: float, work_ms: float) -> float:
        """Time at which some work is done that begins now."""
        while work_ms > 1e-9:
            period = int(now_ms // PERIOD_MS)
            if period != self._period:
                self._period, self._used_ms = period, 0.0
            end_ms = (period + 1) * PERIOD_MS
            part_ms = min(work_ms, QUOTA_MS - self._used_ms, end_ms - now_ms)
            self._used_ms += part_ms
            work_ms -= part_ms
            now_ms = end_ms if self._used_ms >= QUOTA_MS - 1e-9 else now_ms + part_ms
        return now_ms


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
        self._lag = LoopLag()
        self._rate = AcceptRate()
        self._processor = Processor()
        self._now_ms = 0.0
        self._streams: deque[float] = deque()
        self._queue: deque[float] = deque()
        self._retries: list[float] = []
        self._served = self._refused = self._late = self._dropped = 0

    def run(self, seconds: float) -> Outcome:
        """Simulate the loop for a number of seconds."""
        next_ms, sample_ms, reports_ms, events = 0.0, SAMPLE_MS, 0.0, 0.0
        overloaded: list[bool] = []
        while self._now_ms < seconds * 1_000:
            work_ms = events * EVENT_MS
            while reports_ms <= self._now_ms:
                work_ms += REPORTS_MS
                reports_ms += REPORTS_EACH_MS
            while next_ms <= self._now_ms:
                work_ms += REFUSING_MS + self._answer(retry=False)
                next_ms += self._gap_ms
            self._connect()
            began_ms = self._now_ms
            self._now_ms = self._processor.run(began_ms, max(0.5, work_ms + self._accept()))
            took_ms = self._now_ms - began_ms
            events = len(self._streams) * min(1.0, took_ms / EVENT_EACH_MS)
            while self._streams and self._streams[0] <= self._now_ms:
                self._streams.popleft()
            if self._now_ms >= sample_ms:
                late_ms = self._now_ms - sample_ms
                starved = self._rate.starved(self._now_ms)
                self._limit.observe(late_ms, len(self._streams), self._now_ms, starved=starved)
                self._lag.record_lag(late_ms, self._now_ms)
                overloaded.append(self._lag.overloaded)
                sample_ms = self._now_ms + SAMPLE_MS
        fraction = sum(overloaded) / len(overloaded)
        return Outcome(self._served, self._refused, self._late, self._dropped, fraction)

    def _connect(self) -> None:
        while self._retries and self._retries[0] <= self._now_ms:
            due_ms = heapq.heappop(self._retries)
            if len(self._queue) < BACKLOG:
                self._queue.append(due_ms)
            else:
                self._dropped += 1

    def _accept(self) -> float:
        work_ms = 0.0
        for _ in range(min(MAX_ACCEPTS_PER_ITERATION, len(self._queue))):
            work_ms += CONNECTING_MS
            self._rate.record_accept()
            if self._now_ms - self._queue.popleft() > PATIENCE_MS:
                self._late += 1
            else:
                work_ms += self._answer(retry=True)
        if not self._queue:
            self._rate.record_empty()
        return work_ms

    def _answer(self, *, retry: bool) -> float:
        admits = len(self._streams) < self._limit.limit
        if admits and not self._lag.should_refuse(self._now_ms):
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


def test_refused_callers_do_not_overload_the_event_loop() -> None:
    """Failure: callers that are refused and connect anew make the loop lag, so all are refused."""
    for asked_per_s in (500, 1_300, 1_900, 2_700):
        outcome = CrowdedRouter(asked_per_s).run(20.0)
        assert outcome.overloaded < 0.1, (asked_per_s, outcome)


def accept_steadily(per_s: float, seconds: float, *, empty: bool) -> list[bool]:
    """Whether connections are starved at each sample, at a constant rate of accepted ones."""
    rate, starved, due = AcceptRate(), [], 0.0
    for sample in range(int(seconds * 1_000 / SAMPLE_MS)):
        due += per_s * SAMPLE_MS / 1_000
        while due >= 1.0:
            rate.record_accept()
            due -= 1.0
        if empty:
            rate.record_empty()
        starved.append(rate.starved(SAMPLE_MS * sample))
    return starved


def test_connections_are_starved_while_others_wait_and_few_are_accepted() -> None:
    few, many = 0.8 * GUARANTEED_PER_S, 1.2 * GUARANTEED_PER_S
    assert all(accept_steadily(few, 2.0, empty=False)[int(2 * WINDOW_MS / SAMPLE_MS) :])
    assert not any(accept_steadily(many, 2.0, empty=False))


def test_few_connections_are_not_starved_if_none_wait() -> None:
    """Failure: requests yield to connections of a router that few callers connect to."""
    assert not any(accept_steadily(20.0, 2.0, empty=True))


def test_connections_are_not_starved_when_no_more_come() -> None:
    """Failure: a burst of as many connections as an iteration accepts counts as waiting forever."""
    rate = AcceptRate()
    for _ in range(MAX_ACCEPTS_PER_ITERATION):
        rate.record_accept()
    assert not any(rate.starved(SAMPLE_MS * sample) for sample in range(20))
