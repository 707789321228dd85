"""Time that the engines of a service take for a first token beyond prefill."""

from __future__ import annotations

from collections import deque

FIRST_TOKEN_MS = 12.0
"""Time in milliseconds to the first token of a fully cached prompt: a few decoding steps and the
network delay. It is the initial estimate and its lower bound."""

FIRST_TOKEN_MAX_MS = 150.0
"""Upper bound of the estimate in milliseconds; a longer time is a queue, even if the model predicts
none."""

WINDOW_MS = 10_000.0
SLICE_MS = 1_000.0
"""Length and resolution of the sliding window in milliseconds. Within ten seconds some request of a
router finds an engine without a queue, even during an overload."""


class FirstTokenTime:
    """Estimates the time as the recent minimum over the first events of short prompts.

    An engine may deliver a first token long after the prefill, and prefill other prompts meanwhile.
    If that time is unknown, it is mistaken for a queue: slow engines never seem to be idle, and
    requests beyond their workspace's share are refused because of queues that do not exist. It uses
    the minimum because all longer times may include a queue that the model did not predict.
    """

    def __init__(self) -> None:
        self._minima: deque[tuple[float, float]] = deque()
        self._beyond_ms = 0.0

    @property
    def beyond_ms(self) -> float:
        """Milliseconds beyond the initial estimate, `FIRST_TOKEN_MS`."""
        return self._beyond_ms

    def observe(self, took_ms: float, now_ms: float) -> None:
        """Record the time to a first event, without the prefill time."""
        minima = self._minima
        while minima and minima[0][0] < now_ms - WINDOW_MS:
            minima.popleft()
        if not minima or minima[-1][0] < now_ms - SLICE_MS:
            minima.append((now_ms, took_ms))
        elif took_ms < minima[-1][1]:
            minima[-1] = (minima[-1][0], took_ms)
        shortest_ms = min(took_ms for _, took_ms in minima)
        self._beyond_ms = min(FIRST_TOKEN_MAX_MS, max(FIRST_TOKEN_MS, shortest_ms)) - FIRST_TOKEN_MS
