"""Requests of a soak that crash the workers that run them, and the bound on how often."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

CONTACT_S = 3.0
"""Seconds without a fault after which a router must have the state that the others have."""

KNOWN_CRASHES = 3
MAX_LATE_ARRIVALS = 3
"""Number of crashed workers after which such a request counts as known, and how often it may reach
workers from then on, sent by routers that are in contact with the others."""

FATAL_INTERVAL_S = 0.4
"""Seconds between two sends of such requests, to the routers in turn."""

RESTART_DELAY_S = (0.5, 1.5)
"""Seconds from a worker's crash to its next incarnation."""


class FatalRequest(NamedTuple):
    """A request that crashes every worker that runs it."""

    path: str
    body: bytes


FATAL_REQUESTS = (FatalRequest("/draft/", b"ends 1"), FatalRequest("/rewrite/", b"ends 2"))
FATAL_BODIES = frozenset(request.body for request in FATAL_REQUESTS)


class CrashCounts:
    """Counts the arrivals of such requests at workers, and the late ones among them.

    Parameters
    ----------
    fault_free_s
        Returns for how many seconds routers, their links and the store have been free of faults.
    """

    def __init__(self, fault_free_s: Callable[[], float]) -> None:
        self._fault_free_s = fault_free_s
        self._known_s: dict[bytes, float] = {}
        self.arrivals: dict[bytes, int] = {}
        self.late_arrivals: dict[bytes, int] = {}

    def arrived(self, body: bytes) -> None:
        """Count a request that has reached a worker and will crash it."""
        now_s = time.monotonic()
        count = self.arrivals[body] = self.arrivals.get(body, 0) + 1
        if count == KNOWN_CRASHES:
            self._known_s[body] = now_s
        in_contact = self._fault_free_s() >= CONTACT_S
        if count > KNOWN_CRASHES and in_contact and now_s > self._known_s[body] + CONTACT_S:
            self.late_arrivals[body] = self.late_arrivals.get(body, 0) + 1

    def broken(self) -> list[str]:
        """Violations of the bound, a sentence for each request."""
        return [
            f"{body!r} reached workers {count} times too late, {self.arrivals[body]} in all"
            for body, count in self.late_arrivals.items()
            if count > MAX_LATE_ARRIVALS
        ]
