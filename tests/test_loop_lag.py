"""Detection of an event loop's overload and recovery."""

from __future__ import annotations

from tamarack_core.loop_lag import (
    CALM_MS,
    CALM_SAMPLES,
    LATE_MS,
    LATE_SAMPLES,
    REFUSE_MS,
    TAKE_MS,
    LoopLag,
)

BEHIND_MS = 2 * LATE_MS


def test_persistent_lag_is_an_overload_until_the_loop_has_been_calm() -> None:
    lag = LoopLag()
    changed_state = [lag.record_lag(BEHIND_MS, 0.0) for _ in range(LATE_SAMPLES)]
    assert changed_state == [False] * (LATE_SAMPLES - 1) + [True]
    assert (lag.overloaded, lag.overloads) == (True, 1)
    changed_state = [lag.record_lag(0.0, 0.0) for _ in range(CALM_SAMPLES)]
    assert changed_state == [False] * (CALM_SAMPLES - 1) + [True]
    assert (lag.overloaded, lag.overloads) == (False, 1)


def test_one_late_sample_is_not_an_overload() -> None:
    """Failure: a router that was suspended for a moment directs its callers to other routers.

    The process is paused for seconds and continues, so that one timer fires late; a single late
    sample must not count as an overload.
    """
    lag = LoopLag()
    for late_ms in (3_000.0, 0.0, BEHIND_MS, 0.0):
        assert not lag.record_lag(late_ms, 0.0)
    assert not lag.overloaded


def test_lag_between_the_thresholds_does_not_change_the_state() -> None:
    lag = LoopLag()
    between_ms = (CALM_MS + LATE_MS) / 2
    assert not any(lag.record_lag(between_ms, 0.0) for _ in range(100))
    for _ in range(LATE_SAMPLES):
        lag.record_lag(BEHIND_MS, 0.0)
    assert not any(lag.record_lag(between_ms, 0.0) for _ in range(100))
    assert lag.overloaded


def test_the_reported_lag_is_a_decaying_peak() -> None:
    lag = LoopLag()
    lag.record_lag(1_000.0, 0.0)
    for _ in range(100):
        lag.record_lag(0.0, 0.0)
    assert lag.lag_ms < 10.0
    assert lag.max_ms == 1_000.0


def test_an_overloaded_router_accepts_requests_part_of_the_time() -> None:
    """Failure: no request is served while all routers are overloaded.

    The loops of all routers lag for a reason other than their callers, and each router refuses all
    requests as long as its loop lags.
    """
    lag = LoopLag()
    assert not lag.should_refuse(0.0)
    for _ in range(LATE_SAMPLES):
        lag.record_lag(BEHIND_MS, 1_000.0)
    for begin_ms in (1_000.0, 1_000.0 + REFUSE_MS + TAKE_MS):
        assert lag.should_refuse(begin_ms)
        assert lag.should_refuse(begin_ms + REFUSE_MS - 1.0)
        assert not lag.should_refuse(begin_ms + REFUSE_MS)
        assert not lag.should_refuse(begin_ms + REFUSE_MS + TAKE_MS - 1.0)
