"""Requests of a soak that end the workers that run them, and the rule that bounds how often."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

CONTACT_S = 3.0
"""Seconds without a fault after which a router has to know what the others know."""

KNOWN_ENDS = 3
LATE_MOST = 3
"""Workers that such a request has ended when it counts as known, and how often it may reach workers
from then on, sent by routers that are in touch."""

PAUSE_S = 0.4
"""Seconds between two sends of such requests, at the routers in turn."""

BACK_S = (0.5, 1.5)
"""Seconds from a worker's end to its next life."""


class FatalRequest(NamedTuple):
    """A request that ends whoever runs it."""

    path: str
    body: bytes


FATAL_REQUESTS = (FatalRequest("/draft/", b"ends 1"), FatalRequest("/rewrite/", b"ends 2"))
FATAL_BODIES = frozenset(request.body for request in FATAL_REQUESTS)


class EndCounts:
    """How often such requests reached workers, and how often too late.

    Parameters
    ----------
    calm_s
        Tells for how many seconds no fault has struck routers, their links or the store.
    """

    def __init__(self, calm_s: Callable[[], float]) -> None:
        self._calm_s = calm_s
        self._third_s: dict[bytes, float] = {}
        self.arrivals: dict[bytes, int] = {}
        self.late: dict[bytes, int] = {}

    def arrived(self, body: bytes) -> None:
        """Take in that such a request has reached a worker, which ends by it."""
        now_s = time.monotonic()
        count = self.arrivals[body] = self.arrivals.get(body, 0) + 1
        if count == KNOWN_ENDS:
            self._third_s[body] = now_s
        in_touch = self._calm_s() >= CONTACT_S
        if count > KNOWN_ENDS and in_touch and now_s > self._third_s[body] + CONTACT_S:
            self.late[body] = self.late.get(body, 0) + 1

    def broken(self) -> list[str]:
        """What was broken, a sentence for each request."""
        return [
            f"{body!r} reached workers {count} times too late, {self.arrivals[body]} in all"
            for body, count in self.late.items()
            if count > LATE_MOST
        ]
