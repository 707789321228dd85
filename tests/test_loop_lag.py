"""When a loop that runs late counts as overloaded, and when it has recovered."""

from __future__ import annotations

from tamarack_core.loop_lag import (
    AVOID_MS,
    CALM_MS,
    CALM_SAMPLES,
    LATE_MS,
    LATE_SAMPLES,
    SHED_MS,
    TAKE_MS,
    LoopLag,
)

BEHIND_MS = 2 * LATE_MS


def test_a_loop_that_stays_behind_is_overloaded_until_it_has_been_calm_for_a_while() -> None:
    lag = LoopLag()
    turns = [lag.woke(BEHIND_MS, 0.0) for _ in range(LATE_SAMPLES)]
    assert turns == [False] * (LATE_SAMPLES - 1) + [True]
    assert (lag.overloaded, lag.overloads) == (True, 1)
    turns = [lag.woke(0.0, 0.0) for _ in range(CALM_SAMPLES)]
    assert turns == [False] * (CALM_SAMPLES - 1) + [True]
    assert (lag.overloaded, lag.overloads) == (False, 1)


def test_one_late_sample_is_no_overload() -> None:
    """Symptom: a router that was suspended for a moment sends its callers away.

    Sequence: the process is held for seconds and goes on; one timer fires late. Cause: a single
    sample was taken for a lasting state.
    """
    lag = LoopLag()
    for late_ms in (3_000.0, 0.0, BEHIND_MS, 0.0):
        assert not lag.woke(late_ms, 0.0)
    assert not lag.overloaded


def test_lateness_between_the_bounds_changes_nothing() -> None:
    lag = LoopLag()
    between_ms = (CALM_MS + LATE_MS) / 2
    assert not any(lag.woke(between_ms, 0.0) for _ in range(100))
    for _ in range(LATE_SAMPLES):
        lag.woke(BEHIND_MS, 0.0)
    assert not any(lag.woke(between_ms, 0.0) for _ in range(100))
    assert lag.overloaded


def test_the_shown_lag_is_a_peak_that_fades() -> None:
    lag = LoopLag()
    lag.woke(1_000.0, 0.0)
    for _ in range(100):
        lag.woke(0.0, 0.0)
    assert lag.lag_ms < 10.0
    assert lag.most_ms == 1_000.0


def test_an_overloaded_router_takes_callers_for_a_part_of_the_time() -> None:
    """Symptom: nobody is served while all routers are behind.

    Sequence: the loops of all routers are late for a cause other than their callers. Cause: each
    refused all that came for as long as its loop was late.
    """
    lag = LoopLag()
    assert not lag.sheds(0.0)
    for _ in range(LATE_SAMPLES):
        lag.woke(BEHIND_MS, 1_000.0)
    for begin_ms in (1_000.0, 1_000.0 + SHED_MS + TAKE_MS):
        assert lag.sheds(begin_ms)
        assert lag.sheds(begin_ms + SHED_MS - 1.0)
        assert not lag.sheds(begin_ms + SHED_MS)
        assert not lag.sheds(begin_ms + SHED_MS + TAKE_MS - 1.0)


def test_callers_are_sent_elsewhere_for_longer_than_they_use_an_answer() -> None:
    """Symptom: a caller of much traffic stays at the router that it overloads, again and again.

    Sequence: an overload lasts half a second; the caller asks for addresses before and after it.
    Cause: the router was left out of answers for no longer than it was overloaded.
    """
    lag = LoopLag()
    assert not lag.avoid(0.0)
    for _ in range(LATE_SAMPLES):
        lag.woke(BEHIND_MS, 1_000.0)
    assert lag.avoid(1_000.0)
    for _ in range(CALM_SAMPLES):
        lag.woke(0.0, 1_500.0)
    assert lag.avoid(1_500.0 + AVOID_MS - 1.0)
    assert not lag.avoid(1_500.0 + AVOID_MS)
