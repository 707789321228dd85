"""Upper estimate of the duration of a service's requests, learned from finished ones."""

from __future__ import annotations

from collections import deque

WINDOW_MS = 20_000.0
"""Length of the sliding window in milliseconds: long enough to contain some of the slowest
requests."""

MAX_SAMPLES = 400
"""Maximum number of samples; a busy router finishes some 20 requests a second."""

MIN_SAMPLES = 8
"""Minimum number of samples for an estimate: the largest of a few is seldom near the slowest."""

STREAM_QUANTILE = 0.95
"""Quantile used for streams: with the maximum instead, many more streams are refused that would
have finished in time."""

LEAST_TOKENS = 30
"""Minimum length in tokens at which a stream is counted: the duration of a shorter one depends on
pauses during the engine's prefills more than on its tokens."""

MARGIN = 1.25
"""Safety factor on the estimate: engines may slow down while a request runs."""


class RecentReadings:
    """Sliding window of samples."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def note(self, reading: float, now_ms: float) -> None:
        """Add a sample."""
        self._samples.append((now_ms, reading))

    def quantile(self, part: float, now_ms: float) -> float | None:
        """Quantile `part` of the samples (1: the maximum); None with too few samples."""
        while self._samples and now_ms - self._samples[0][0] > WINDOW_MS:
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(reading for _, reading in self._samples)
        return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


class ServiceTimes:
    """Durations of one service's answers and streams.

    Durations of streams are divided by their expected tokens. A limit set by a caller is several
    times the actual length, and an estimate is often exceeded; the time per token and the error of
    the estimates are learned together.
    """

    def __init__(self) -> None:
        self._answer_ms = RecentReadings()
        self._token_ms = RecentReadings()

    def answered(self, took_ms: float, now_ms: float) -> None:
        """Record the duration of a plain answer."""
        self._answer_ms.note(took_ms, now_ms)

    def streamed(self, took_ms: float, expected_tokens: int, now_ms: float) -> None:
        """Record a finished stream: its duration from the first event on."""
        self._token_ms.note(took_ms / max(LEAST_TOKENS, expected_tokens), now_ms)

    def longest_answer_ms(self, left_ms: float, now_ms: float) -> float:
        """Longest expected duration of a plain answer.

        Parameters
        ----------
        left_ms
            Remaining time of the request, after which it ends in any case; the result without
            enough samples.
        """
        largest_ms = self._answer_ms.quantile(1.0, now_ms)
        return left_ms if largest_ms is None else min(left_ms, MARGIN * largest_ms)

    def longest_stream_ms(
        self, first_token_ms: float, expected_tokens: int, left_ms: float, now_ms: float
    ) -> float:
        """Longest expected duration of a stream.

        Parameters
        ----------
        first_token_ms
            Predicted time to its first token.
        expected_tokens
            Expected number of generated tokens.
        left_ms
            As in `longest_answer_ms`.
        """
        token_ms = self._token_ms.quantile(STREAM_QUANTILE, now_ms)
        if token_ms is None:
            return left_ms
        generating_ms = max(LEAST_TOKENS, expected_tokens) * token_ms
        return min(left_ms, MARGIN * (first_token_ms + generating_ms))
