"""How late an event loop runs its callbacks, and whether it takes more than its processor bears."""

from __future__ import annotations

SAMPLE_MS = 50.0
"""Time between two samples: several within the bound, at 20 short callbacks a second."""

LATE_MS = 120.0
"""Lateness of a sample that counts as late. A connection is accepted, read and sent on in about six
rounds of the loop, 0.7 s with such rounds, and callers want to be read within one second. It is
above the tenth of a second for which a processor's quota may hold the process."""

CALM_MS = 60.0
"""Lateness of a sample that counts as calm; half of the bound, so that the state is steady. Above
the 48 ms for which a quota of half a core stops a process: with 40 ms, one sample of 45 ms in eight
kept a router that had recovered overloaded for good."""

LATE_SAMPLES = 2
"""Late samples in a row that make an overload: a single one is a suspension or a long callback,
and what lay unread meanwhile may be done in the next round."""

CALM_SAMPLES = 8
"""Calm samples in a row that end it, 0.4 s: callers that went elsewhere do not all come back."""

SHED_MS = 350.0
TAKE_MS = 50.0
"""Milliseconds in which all that comes to an overloaded router is refused, and after these in which
it is taken, in turn. Were all refused without end, nobody would be served where all routers are
behind, or where the lag has another cause than their callers."""

AVOID_MS = 3_300.0
"""Milliseconds after an overload for which callers are still sent elsewhere. Some use an answer
with addresses for three times its time to live of a second: a shorter sign is not seen by the
caller of much traffic that brought the overload about, and it stays."""

PEAK_KEPT = 0.95
"""Part of the shown lag that remains after each sample: readers come seldom, and it halves in
0.7 s."""


class LoopLag:
    """Judges one loop by how late its timers fire.

    Attributes
    ----------
    lag_ms
        Lateness lately: its peak, which fades.
    most_ms
        Greatest lateness of all.
    overloads
        How often an overload began.
    """

    def __init__(self) -> None:
        self._late = 0
        self._calm = 0
        self._overloaded = False
        self._since_ms = 0.0
        self._ended_ms = float("-inf")
        self.lag_ms = 0.0
        self.most_ms = 0.0
        self.overloads = 0

    @property
    def overloaded(self) -> bool:
        """Whether the loop is behind for longer than a moment."""
        return self._overloaded

    def avoid(self, now_ms: float) -> bool:
        """Whether callers should be sent elsewhere: it is overloaded, or was a moment ago."""
        return self._overloaded or now_ms - self._ended_ms < AVOID_MS

    def sheds(self, now_ms: float) -> bool:
        """Whether what comes at this time is refused."""
        return self._overloaded and (now_ms - self._since_ms) % (SHED_MS + TAKE_MS) < SHED_MS

    def woke(self, late_ms: float, now_ms: float) -> bool:
        """Take in how late a timer fired; returns whether an overload began or ended."""
        late_ms = max(0.0, late_ms)
        self.lag_ms = max(late_ms, self.lag_ms * PEAK_KEPT)
        self.most_ms = max(late_ms, self.most_ms)
        self._late = self._late + 1 if late_ms > LATE_MS else 0
        self._calm = self._calm + 1 if late_ms < CALM_MS else 0
        if not self._overloaded and self._late >= LATE_SAMPLES:
            self._overloaded = True
            self._since_ms = now_ms
            self.overloads += 1
            return True
        if self._overloaded and self._calm >= CALM_SAMPLES:
            self._overloaded = False
            self._ended_ms = now_ms
            return True
        return False
