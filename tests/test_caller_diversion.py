"""Directing callers to other routers while one is crowded."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from tamarack_core.caller_diversion import AVOID_MS, CallerDiversion
from tamarack_core.clock import ManualClock
from tamarack_core.loop_lag import LATE_MS, SAMPLE_MS
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.loop_monitor import LoopMonitor

USED_MS = 3_000.0
"""Milliseconds for which callers use an answer with addresses at the longest."""


class Crowd:
    """A router that lags while its callers send requests.

    Parameters
    ----------
    lags
        Whether the loop lags, by the time since the start in milliseconds.
    requests
        Requests that arrive with each sample, by the same time.
    """

    def __init__(self, lags: Callable[[float], bool], requests: Callable[[float], int]) -> None:
        self._lags = lags
        self._requests = requests
        self._clock = ManualClock()
        log = DecisionLog("r", self._clock, output=os.open(os.devnull, os.O_WRONLY))
        self._monitor = LoopMonitor(self._clock, log, [], changed=lambda: None)
        self.diverted_ms: list[float] = []

    def run(self, until_ms: float) -> None:
        """Take samples until a time; `diverted_ms` has those at which callers are diverted."""
        while self._clock.now_ms < until_ms:
            now_ms = self._clock.advance(SAMPLE_MS)
            for _ in range(self._requests(now_ms)):
                if not self._monitor.should_refuse("large"):
                    with self._monitor.in_progress("large"):
                        pass
            late_ms = 2 * LATE_MS if self._lags(now_ms) else 0.0
            self._monitor._sample(now_ms - late_ms)
            if self._monitor.avoid:
                self.diverted_ms.append(now_ms)


def play(lags: Callable[[float], bool], requests: Callable[[float], int], s: float) -> list[float]:
    """Times in milliseconds at which a router directs its callers to others."""

    async def run() -> list[float]:
        crowd = Crowd(lags, requests)
        crowd.run(s * 1_000)
        return crowd.diverted_ms

    return asyncio.run(run())


def test_callers_that_stay_are_not_diverted_for_long() -> None:
    """Failure: callers that keep to a router connect anew for each request, as it is not listed."""
    diverted = play(lambda now_ms: now_ms > 2_000, lambda now_ms: 50, 20.0)
    assert diverted
    assert max(diverted) < diverted[0] + AVOID_MS


def test_callers_that_stayed_are_not_diverted_again_at_once() -> None:
    """Failure: each new overload makes callers that keep to a router connect anew."""
    diverted = play(lambda now_ms: now_ms % 4_000 > 2_000, lambda now_ms: 50, 40.0)
    assert diverted
    assert max(diverted) < diverted[0] + 2 * AVOID_MS


def test_callers_are_diverted_from_a_router_that_lags_by_itself() -> None:
    """Failure: callers are directed to a slow router again as soon as they have left it."""
    diverted = play(
        lambda now_ms: now_ms > 2_000, lambda now_ms: 50 if now_ms < 2_000 + USED_MS / 2 else 0, 20
    )
    assert max(diverted) == 20_000.0
    assert len(diverted) * SAMPLE_MS >= 17_000.0


def test_callers_are_diverted_again_after_a_calm_time() -> None:
    diverted = play(lambda now_ms: not 6_000 < now_ms < 20_000, lambda now_ms: 50, 21.0)
    assert max(diverted) > 20_000.0


def test_a_router_with_few_requests_stays_diverted_while_it_lags() -> None:
    """Failure: a slow router is listed again as a few callers still use it."""
    diverted = play(lambda now_ms: now_ms > 2_000, lambda now_ms: now_ms % 500 == 0, 20.0)
    assert max(diverted) == 20_000.0


def test_callers_avoid_a_router_for_longer_than_they_use_an_answer() -> None:
    """Failure: a caller with much traffic overloads the same router again and again.

    An overload lasts half a second, and the caller asks for addresses before and after it. A router
    that is left out of answers only during its overload is never left out of the caller's answers.
    """
    diversion = CallerDiversion()
    diversion.observe(False, 0.0)
    assert not diversion.active
    diversion.observe(True, 1_000.0)
    assert diversion.active
    diversion.observe(True, 1_500.0)
    diversion.observe(False, 1_500.0 + AVOID_MS - 1.0)
    assert diversion.active
    diversion.observe(False, 1_500.0 + AVOID_MS)
    assert not diversion.active


def test_callers_that_stay_are_not_diverted_by_turns() -> None:
    """Failure: a router that is crowded for less than a trial at a time diverts callers forever."""
    diversion, diverted = CallerDiversion(), []
    for sample in range(800):
        now_ms = SAMPLE_MS * sample
        for _ in range(50):
            diversion.record_request()
        diversion.observe(now_ms % 1_000 < 500, now_ms)
        diverted.append(diversion.active)
    assert diverted[0]
    assert not any(diverted[100:])
