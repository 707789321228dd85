"""How long the engines of a service take for a first token beyond reading the prompt."""

from __future__ import annotations

from collections import deque

FIRST_TOKEN_MS = 12.0
"""Time to the first token of a prompt that is kept whole: a few steps and the way. A first guess,
and the least that is taken for it."""

FIRST_TOKEN_MAX_MS = 150.0
"""Longest time that is learned; what takes longer is a queue, whatever was believed of it."""

SAMPLES = 32
"""Observations that are kept: some seconds of one router, so that one odd second passes."""

SAMPLES_LEAST = 6
"""Observations before the first guess is given up."""

LOW_PART = 0.25
"""Part of the observations that lie below what is taken. Most of the others met a queue that was
not known of."""


class FirstTokenTime:
    """Learns it from first events of short prompts at engines that were believed to be free.

    An engine may deliver a first token long after it has read the prompt, and read others
    meanwhile. Where that time is not known it passes for a queue: engines that took 60 ms for it
    seemed never to be free, and requests beyond their workspace's share were refused for queues
    that there were not.
    """

    def __init__(self) -> None:
        self._observed: deque[float] = deque(maxlen=SAMPLES)
        self._beyond_ms = 0.0

    @property
    def beyond_ms(self) -> float:
        """Milliseconds beyond the first guess."""
        return self._beyond_ms

    def observe(self, took_ms: float) -> None:
        """Take in the time to a first event, less the reading of the prompt."""
        self._observed.append(took_ms)
        if len(self._observed) >= SAMPLES_LEAST:
            low = sorted(self._observed)[int(LOW_PART * len(self._observed))]
            self._beyond_ms = min(FIRST_TOKEN_MAX_MS, max(FIRST_TOKEN_MS, low)) - FIRST_TOKEN_MS
