"""Event-loop lag of a router, and detection of overload by it."""

from __future__ import annotations

SAMPLE_MS = 50.0
"""Time in milliseconds between two samples: several within the time in which requests have to
be read, at the cost of 20 short callbacks a second."""

LATE_MS = 120.0
"""Lag in milliseconds from which a sample counts as late. Accepting, reading and forwarding a
request takes about six iterations of the loop, 0.7 s with such a lag, and a request has to be read
within one second. It exceeds the tenth of a second for which a CPU quota may pause the process."""

CALM_MS = 60.0
"""Lag in milliseconds below which a sample counts as calm; half of `LATE_MS`, as a hysteresis. It
exceeds the 48 ms for which a CPU quota of half a core pauses a process: with 40 ms, one sample of
45 ms in eight kept a recovered router overloaded permanently."""

LATE_SAMPLES = 2
"""Consecutive late samples that start an overload: a single one is a suspended process or a long
callback, and the next iteration of the loop may clear its backlog."""

CALM_SAMPLES = 8
"""Consecutive calm samples that end an overload, 0.4 s: not all callers that went to other routers
come back."""

REFUSE_MS = 350.0
TAKE_MS = 50.0
"""Alternating periods in milliseconds in which an overloaded router refuses all new requests and
accepts them. With permanent refusal no request would be served if all routers are overloaded, or if
the lag is not caused by their callers."""

PEAK_KEPT = 0.95
"""Factor by which the reported peak lag decays with each sample. It halves in 0.7 s, since it is
read only now and then."""


class LoopLag:
    """Detects overload of one event loop by the lag of its timers.

    Attributes
    ----------
    lag_ms
        Recent peak of the lag, which decays.
    max_ms
        Highest lag since the start.
    overloads
        Number of overloads.
    """

    def __init__(self) -> None:
        self._late_samples = 0
        self._calm_samples = 0
        self._overloaded = False
        self._since_ms = 0.0
        self.lag_ms = 0.0
        self.max_ms = 0.0
        self.overloads = 0

    @property
    def overloaded(self) -> bool:
        """Whether the loop lags persistently."""
        return self._overloaded

    def should_refuse(self, now_ms: float) -> bool:
        """Whether requests that arrive now are refused."""
        return self._overloaded and (now_ms - self._since_ms) % (REFUSE_MS + TAKE_MS) < REFUSE_MS

    def record_lag(self, late_ms: float, now_ms: float) -> bool:
        """Record the lag of a timer; returns whether an overload began or ended."""
        late_ms = max(0.0, late_ms)
        self.lag_ms = max(late_ms, self.lag_ms * PEAK_KEPT)
        self.max_ms = max(late_ms, self.max_ms)
        self._late_samples = self._late_samples + 1 if late_ms > LATE_MS else 0
        self._calm_samples = self._calm_samples + 1 if late_ms < CALM_MS else 0
        if not self._overloaded and self._late_samples >= LATE_SAMPLES:
            self._overloaded = True
            self._since_ms = now_ms
            self.overloads += 1
            return True
        if self._overloaded and self._calm_samples >= CALM_SAMPLES:
            self._overloaded = False
            return True
        return False
