"""Decides whether a crowded router directs its callers to others, or whether they stay anyway."""

from __future__ import annotations

AVOID_MS = 3_300.0
"""Milliseconds after a crowded moment for which callers are still directed to other routers. Some
use an answer with addresses for three times its time to live of one second: with a shorter period
the caller whose traffic crowds the router would not notice it, and would stay."""

TRIAL_MS = 2_000.0
"""Milliseconds after which most callers have left: they ask for addresses once a second."""

STAYING_FRACTION = 0.75
"""Fraction of the previous rate of requests above which callers have not left."""

BUSY_PER_S = 100.0
"""Requests in a second below which it does not matter whether callers connect for each of them."""

PAUSE_MS = 10_000.0
"""Milliseconds after a diversion in which the router is not crowded, and after which callers that
stayed are diverted again: others may use it by then."""

RATE_MS = 1_000.0
"""Time in milliseconds over which requests are counted for their rate."""


class CallerDiversion:
    """Diverts callers from a crowded router, unless they stay.

    Some callers keep to one router whatever addresses they are told, but no longer use an open
    connection to an address that is not listed. Diverted, they connect for each request, which
    costs several times as much as a refusal, so that the router stays crowded.
    """

    def __init__(self) -> None:
        self._wanted = False
        self._ignored = False
        self._crowded_ms = float("-inf")
        self._changed_ms = 0.0
        self._counted_ms = 0.0
        self._count = 0
        self._per_s = 0.0
        self._before_per_s = 0.0

    @property
    def active(self) -> bool:
        """Whether callers are directed to other routers."""
        return self._wanted and not self._ignored

    def record_request(self) -> None:
        """Count a request that arrived."""
        self._count += 1

    def observe(self, crowded: bool, now_ms: float) -> None:
        """Record whether the router is crowded; called several times a second."""
        if crowded:
            self._crowded_ms = now_ms
        if now_ms - self._counted_ms >= RATE_MS:
            self._per_s = 1_000 * self._count / (now_ms - self._counted_ms)
            self._counted_ms, self._count = now_ms, 0
        wanted = now_ms - self._crowded_ms < AVOID_MS
        if wanted != self._wanted:
            self._wanted, self._changed_ms = wanted, now_ms
            self._before_per_s = self._per_s
        elapsed_ms = now_ms - self._changed_ms
        if wanted and elapsed_ms >= TRIAL_MS:
            staying_per_s = max(BUSY_PER_S, STAYING_FRACTION * self._before_per_s)
            self._ignored = self._ignored or self._per_s > staying_per_s
        elif not wanted and elapsed_ms >= PAUSE_MS:
            self._ignored = False
