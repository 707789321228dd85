"""Admission of requests during a router's shutdown: the decision alone, on a simulated clock."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from tamarack_core.leaving import plan_leaving
from tamarack_core.service_times import (
    LEAST_TOKENS,
    MARGIN,
    MIN_SAMPLES,
    WINDOW_MS,
    ServiceTimes,
)

TIMES = st.floats(0.0, 40_000.0)
PARTS = st.floats(0.0, 1.0)
ROUNDING_MS = 1e-6


class Stop(NamedTuple):
    """A request to stop and its settings."""

    at_ms: float
    grace_ms: float
    ttl_ms: float


class Stream(NamedTuple):
    """A requested stream, and its actual duration as a fraction of the estimate."""

    asked_ms: float
    limit_ms: float
    first_token_ms: float
    tokens: int
    part: float


STOPS = st.builds(Stop, TIMES, st.floats(100.0, 30_000.0), st.floats(0.0, 10_000.0))
STREAMS = st.builds(
    Stream, TIMES, st.floats(0.0, 20_000.0), st.floats(0.0, 3_000.0), st.integers(0, 2_000), PARTS
)
READINGS = st.lists(
    st.tuples(st.floats(0.0, 25_000.0), st.floats(0.0, 30_000.0), st.integers(1, 2_000)),
    max_size=19,
)
"""Age, duration and expected tokens of finished streams; so few that their quantile is the maximum.
"""


@given(STOPS, STREAMS, READINGS)
def test_only_requests_that_cannot_finish_before_the_exit_are_refused(
    stop: Stop, stream: Stream, readings: list[tuple[float, float, int]]
) -> None:
    """Failure: a stream is cut off by its router's exit, or is refused although it would fit.

    This happens if the stream's expected duration is not compared with the time until the exit.
    Inputs are any stop, any limits, any observed durations, and a stream within the estimate.
    """
    times = ServiceTimes()
    for age_ms, took_ms, tokens in sorted(readings, reverse=True):
        times.streamed(took_ms, tokens, stream.asked_ms - age_ms)
    longest_ms = times.longest_stream_ms(
        stream.first_token_ms, stream.tokens, stream.limit_ms, stream.asked_ms
    )
    plan = plan_leaving(stop.at_ms, grace_ms=stop.grace_ms, address_ttl_ms=stop.ttl_ms)
    taken = plan.may_finish(longest_ms, stream.asked_ms)
    sure_ms = stream.asked_ms + expected_ms(stream, readings)
    if taken:
        took_ms = longest_ms * stream.part
        assert stream.asked_ms + took_ms <= max(plan.last_exit_ms, stream.asked_ms) + ROUNDING_MS
        assert sure_ms <= max(plan.last_exit_ms, stream.asked_ms) + ROUNDING_MS
    else:
        assert sure_ms > plan.last_exit_ms - ROUNDING_MS
        assert stream.asked_ms + stream.limit_ms > plan.last_exit_ms - ROUNDING_MS


def expected_ms(stream: Stream, readings: list[tuple[float, float, int]]) -> float:
    """Independent computation of a stream's longest expected duration."""
    recent = [
        took_ms / max(LEAST_TOKENS, tokens)
        for age_ms, took_ms, tokens in readings
        if stream.asked_ms - (stream.asked_ms - age_ms) <= WINDOW_MS
    ]
    if len(recent) < MIN_SAMPLES:
        return stream.limit_ms
    generating_ms = max(recent) * max(LEAST_TOKENS, stream.tokens)
    return min(stream.limit_ms, MARGIN * (stream.first_token_ms + generating_ms))


@given(STOPS)
def test_a_router_lingers_no_longer_than_until_its_exit(stop: Stop) -> None:
    plan = plan_leaving(stop.at_ms, grace_ms=stop.grace_ms, address_ttl_ms=stop.ttl_ms)
    assert plan.requested_ms <= plan.linger_until_ms <= plan.last_exit_ms
    assert plan.last_exit_ms < stop.at_ms + stop.grace_ms
    assert plan.lingers(stop.at_ms)
    assert not plan.lingers(plan.linger_until_ms)


def test_samples_expire() -> None:
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES):
        times.streamed(10_000.0, 100, 1_000.0)
    last_ms = 1_000.0 + WINDOW_MS
    assert times.longest_stream_ms(0.0, 100, 1e6, last_ms) == MARGIN * 10_000.0
    assert times.longest_stream_ms(0.0, 100, 1e6, last_ms + 1.0) == 1e6


def test_short_streams_do_not_raise_the_estimate_of_long_ones() -> None:
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES):
        times.streamed(300.0, 3, 0.0)
    assert times.longest_stream_ms(0.0, 500, 1e6, 0.0) == MARGIN * 300.0 / LEAST_TOKENS * 500


def test_one_stuck_stream_in_many_does_not_change_the_estimate() -> None:
    times = ServiceTimes()
    times.streamed(50_000.0, 100, 0.0)
    for _ in range(40):
        times.streamed(1_000.0, 100, 1.0)
    assert times.longest_stream_ms(0.0, 100, 1e6, 2.0) == MARGIN * 1_000.0


def test_a_plain_answer_is_estimated_by_the_slowest_recent_one() -> None:
    times = ServiceTimes()
    assert times.longest_answer_ms(1_200.0, 0.0) == 1_200.0
    times.answered(200.0, 0.0)
    for _ in range(MIN_SAMPLES - 1):
        assert times.longest_answer_ms(1_200.0, 1.0) == 1_200.0
        times.answered(40.0, 1.0)
    assert times.longest_answer_ms(1_200.0, 2.0) == MARGIN * 200.0
    assert times.longest_answer_ms(100.0, 2.0) == 100.0
