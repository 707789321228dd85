"""Freshness of the configuration's API keys, by the time since the last confirmation."""

from __future__ import annotations


class KeyFreshness:
    """Decides whether API keys may still be accepted.

    A revoked key must not be accepted later than a bounded time after its revocation, even by a
    router that receives no updates. A router that cannot confirm its configuration therefore stops
    accepting keys before that bound; otherwise requests would run under a revoked key.

    Parameters
    ----------
    lifetime_ms
        Milliseconds after the last confirmation for which keys are accepted.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self._lifetime_ms = lifetime_ms
        self._confirmed_ms = float("-inf")

    def confirm(self, sent_ms: float) -> None:
        """Record that the configuration in use was the newest one at `sent_ms` or later.

        `sent_ms` is the time at which the confirming call was sent, as its answer may have been
        delayed arbitrarily.
        """
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def age_ms(self, now_ms: float) -> float:
        """Milliseconds since the last confirmation; infinite without one."""
        return now_ms - self._confirmed_ms

    def trusted(self, now_ms: float) -> bool:
        """Whether keys may be accepted now."""
        return self.age_ms(now_ms) <= self._lifetime_ms
