"""Clocks in milliseconds."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in milliseconds.

    Attributes
    ----------
    now_ms
        Milliseconds since an arbitrary start; never decreases.
    """

    @property
    def now_ms(self) -> float:
        """Monotonic time in milliseconds."""
        return time.monotonic_ns() / 1e6

    @property
    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch, for records that people read."""
        return time.time_ns() // 1_000_000

    @property
    def processor_ms(self) -> float:
        """Milliseconds of processor time that the process has used."""
        return time.process_time_ns() / 1e6


class BootClock(Clock):
    """A clock that also runs while the instance is suspended.

    Leases and confirmations expire while the instance is suspended. With the ordinary monotonic
    clock a router would still trust them after it resumes.
    """

    @property
    def now_ms(self) -> float:
        """Milliseconds since the instance booted, including suspended time."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class ManualClock(Clock):
    """A clock for tests that advances only on request."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    @property
    def now_ms(self) -> float:
        """Current time in milliseconds."""
        return self._now_ms

    @property
    def wall_ms(self) -> int:
        """Current time in whole milliseconds."""
        return int(self._now_ms)

    def advance(self, by_ms: float) -> float:
        """Advance the clock by `by_ms` milliseconds and return the new time."""
        self._now_ms += by_ms
        return self._now_ms


if __name__ == "__main__":
    print(f"{Clock().now_ms:.3f} ms")
