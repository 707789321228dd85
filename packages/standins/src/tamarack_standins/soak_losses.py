"""Checks of a soak that a planned stop of a router ends no request without a whole answer."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from typing import NamedTuple

CONTACT_S = 3.0
"""Seconds before a request from which on an unplanned fault at its router excuses its loss."""

STOP_SLACK_S = 1.0
"""Seconds after the grace time in which the end of a request still counts as around the stop."""

LOSS_SLACK_S = 0.2
"""Seconds in which a request that no worker has got may cross the close of its connection."""

LATE_PART = 5 / 6
LATE_SENT_S = 3.0
"""A worker that is at work after this part of the grace time excuses the loss of a request sent at
most so many seconds after the signal to stop."""


class Loss(NamedTuple):
    """A request whose connection ended without a whole answer; times are in seconds."""

    attempt: str
    router: str
    sent_s: float
    end_s: float
    deadline_s: float
    received: int
    size: int


class Run:
    """A run of a request by a worker; `end_s` is None while the worker is at work."""

    def __init__(self) -> None:
        self.end_s: float | None = None


class LossChecks:
    """Records planned stops and unplanned faults of routers, and judges losses by them.

    Parameters
    ----------
    grace_s
        Grace time of the routers in seconds.

    Attributes
    ----------
    runs
        The last run of each request that was passed on to a worker, by attempt id.
    losses
        Requests that ended without a whole answer.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._stops_s: dict[str, list[float]] = {}
        self._faults_s: dict[str, list[list[float]]] = {}
        self.runs: dict[str, Run] = {}
        self.losses: list[Loss] = []

    def stopped(self, router: str) -> None:
        """Record the first SIGTERM of a router's process."""
        self._stops_s.setdefault(router, []).append(time.monotonic())

    @contextlib.contextmanager
    def faulty(self, router: str) -> Iterator[None]:
        """Record an unplanned fault at a router, which lasts as long as the context."""
        period_s = [time.monotonic(), float("inf")]
        self._faults_s.setdefault(router, []).append(period_s)
        try:
            yield
        finally:
            period_s[1] = time.monotonic()

    def broken(self) -> list[str]:
        """Losses that nothing excuses, a sentence for each."""
        return [
            self._describe(loss, stop_s)
            for loss in self.losses
            for stop_s in self._stops_s.get(loss.router, ())
            if self._around(loss, stop_s) and not self._excused(loss, stop_s)
        ]

    def _around(self, loss: Loss, stop_s: float) -> bool:
        return stop_s <= loss.end_s <= stop_s + self._grace_s + STOP_SLACK_S

    def _excused(self, loss: Loss, stop_s: float) -> bool:
        run = self.runs.get(loss.attempt)
        if loss.end_s >= loss.sent_s + loss.deadline_s:
            return True
        if run is None and loss.end_s <= loss.sent_s + LOSS_SLACK_S:
            return True
        faults = self._faults_s.get(loss.router, ())
        if any(a <= loss.end_s and b >= loss.sent_s - CONTACT_S for a, b in faults):
            return True
        if run is None:
            return False
        at_work = run.end_s is None or run.end_s >= stop_s + LATE_PART * self._grace_s
        return at_work and loss.sent_s <= stop_s + LATE_SENT_S

    def _describe(self, loss: Loss, stop_s: float) -> str:
        run = self.runs.get(loss.attempt)
        worker = "not asked" if run is None else "at work"
        if run is not None and run.end_s is not None:
            worker = f"done at {run.end_s - stop_s:+.2f}"
        sent_s, cut_s = loss.sent_s - stop_s, loss.end_s - stop_s
        return (
            f"{loss.attempt} lost around a stop of {loss.router}: sent {sent_s:+.2f} s from it,"
            f" worker {worker}, cut at {cut_s:+.2f}, got {loss.received} of {loss.size} bytes"
        )
