"""How long ago the configuration was known to be the newest."""

from __future__ import annotations


class KeyFreshness:
    """Whether keys may still be trusted.

    A key that was taken away must not open anything a bounded time later, also at a router that
    no longer hears of changes. A router that cannot confirm its configuration therefore stops
    trusting keys before that bound is over; one would notice a failure by a run under a key that
    no configuration holds any more.

    Parameters
    ----------
    lapse_ms
        Milliseconds after the last confirmation at which keys are no longer trusted.
    """

    def __init__(self, lapse_ms: float) -> None:
        self._lapse_ms = lapse_ms
        self._confirmed_ms = float("-inf")

    def confirm(self, asked_ms: float) -> None:
        """Take in that the configuration held was the newest at `asked_ms` or later.

        `asked_ms` is the time at which the confirming call was sent: its answer may have been
        held up on the way for any time.
        """
        self._confirmed_ms = max(self._confirmed_ms, asked_ms)

    def age_ms(self, now_ms: float) -> float:
        """Milliseconds since the last confirmation; infinite without one."""
        return now_ms - self._confirmed_ms

    def trusted(self, now_ms: float) -> bool:
        """Whether keys may open anything now."""
        return self.age_ms(now_ms) <= self._lapse_ms
