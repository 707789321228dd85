"""Graceful shutdown of a router: it admits only requests that finish before it exits."""

from __future__ import annotations

from typing import NamedTuple

ADDRESS_USES = 3.0
"""Longest time that callers use a list of router addresses, as a multiple of its time to live."""

ADDRESS_DELAY_MS = 300.0
"""Longest delivery time in milliseconds of a request sent just before its addresses expired, and
longest delay of the signal to stop."""

LAST_EXIT_PART = 0.93
"""Fraction of the grace time after which the router terminates all running requests; at the end of
the grace time it would be killed in the middle of a write."""

ELSEWHERE_MS = 20.0
"""Shortest retry delay in milliseconds for a caller refused by a stopping router: other routers
serve it at once."""


class LeavingPlan(NamedTuple):
    """Schedule of a router's shutdown, on its own clock.

    Attributes
    ----------
    requested_ms
        Time of the request to stop.
    estimates_until_ms
        Time from which on callers have newer addresses. A request that still comes is accepted only
        if it ends before the exit in any case, not on an estimate of its duration.
    linger_until_ms
        Time until which callers without newer addresses may still use this router.
    last_exit_ms
        Time at which all running requests are terminated.
    """

    requested_ms: float
    estimates_until_ms: float
    linger_until_ms: float
    last_exit_ms: float

    def lingers(self, now_ms: float) -> bool:
        """Whether new requests are considered at all."""
        return now_ms < self.linger_until_ms

    def trusts_estimates(self, now_ms: float) -> bool:
        """Whether a request may be accepted on an estimate of its duration."""
        return now_ms < self.estimates_until_ms

    def left_ms(self, now_ms: float) -> float:
        """Time until all running requests are terminated."""
        return max(0.0, self.last_exit_ms - now_ms)

    def may_finish(self, longest_ms: float, now_ms: float) -> bool:
        """Whether a request that takes at most `longest_ms` finishes before the exit.

        A request that runs longer than the router would be cut off in the middle of its answer,
        without any other failure; if it is refused at once, another router serves it.
        """
        return longest_ms <= self.left_ms(now_ms)


def plan_leaving(now_ms: float, *, grace_ms: float, address_ttl_ms: float) -> LeavingPlan:
    """Plan a shutdown requested now.

    Parameters
    ----------
    grace_ms
        Time from the request to stop until the process is killed.
    address_ttl_ms
        Time to live of the router addresses that callers received.
    """
    last_exit_ms = now_ms + grace_ms * LAST_EXIT_PART
    expired_ms = now_ms + ADDRESS_USES * address_ttl_ms
    linger_until_ms = min(expired_ms + ADDRESS_DELAY_MS, last_exit_ms)
    return LeavingPlan(now_ms, expired_ms - ADDRESS_DELAY_MS, linger_until_ms, last_exit_ms)
