"""The project's one clock type, in milliseconds."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in milliseconds.

    Attributes
    ----------
    now_ms
        Milliseconds since an arbitrary start; never goes back.
    """

    @property
    def now_ms(self) -> float:
        """Monotonic time in milliseconds."""
        return time.monotonic_ns() / 1e6

    @property
    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch, for records that people read."""
        return time.time_ns() // 1_000_000


class BootClock(Clock):
    """A clock that also runs while the instance is suspended.

    A lease or a confirmation grows old while the process does not run; by the ordinary
    monotonic clock a router that wakes up would still trust it.
    """

    @property
    def now_ms(self) -> float:
        """Milliseconds since the instance started, with the time it was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class HeldClock(Clock):
    """A clock that stands still until a test moves it."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    @property
    def now_ms(self) -> float:
        """The held time in milliseconds."""
        return self._now_ms

    @property
    def wall_ms(self) -> int:
        """The held time as a whole number."""
        return int(self._now_ms)

    def advance(self, by_ms: float) -> float:
        """Move the clock forward by `by_ms` milliseconds and return the new time."""
        self._now_ms += by_ms
        return self._now_ms


if __name__ == "__main__":
    print(f"{Clock().now_ms:.3f} ms")
