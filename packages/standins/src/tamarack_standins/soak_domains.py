"""Failure domains of a soak that are evacuated or return cold, and the bounds on their requests."""

from __future__ import annotations

import time
from collections import deque

from tamarack_standins.soak_worker import SoakWorker

ZONES = ("a", "b")

COLD_MS = 3_000.0
COLD_PER_S = 4.0
COLD_FACTOR, COLD_SLACK = 1.5, 5.0
COLD_LIMIT = 11
"""Warm-up of streaming workers in milliseconds, the rate that they tolerate, the fleet's factor and
slack, and the requests that follow from these for any second."""


class DomainChecks:
    """Checks what workers of evacuated domains and cold workers get.

    Parameters
    ----------
    confirmed_s
        Longest time in seconds for which a router may accept a key without having read the
        configuration again, and with it the evacuations.
    """

    def __init__(self, confirmed_s: float) -> None:
        self._confirmed_s = confirmed_s
        self._evacuated_s: dict[str, float] = {}
        self._cold_until_s: dict[str, float] = {}
        self._arrivals: dict[str, deque[float]] = {}
        self.most_while_cold = 0
        self.broken: list[str] = []

    def started(self, worker: SoakWorker) -> None:
        """Record that a worker starts cold."""
        self._cold_until_s[worker.name] = time.monotonic() + COLD_MS / 1000

    def restarted(self, worker: SoakWorker) -> None:
        """Record that a worker starts again under its name.

        It is not cold: routers that do not know of it yet send it what they may send its former
        incarnation.
        """
        self._cold_until_s.pop(worker.name, None)

    def is_cold(self, worker: SoakWorker) -> bool:
        """Whether a worker is cold."""
        return time.monotonic() < self._cold_until_s.get(worker.name, 0.0)

    def evacuated(self, zone: str) -> None:
        """Record that the store has accepted an evacuation."""
        self._evacuated_s[zone] = time.monotonic()

    def restored(self, zone: str) -> None:
        """Record that a domain is about to be restored."""
        self._evacuated_s.pop(zone, None)

    def arrived(self, worker: SoakWorker, *, keyed: bool) -> None:
        """Check a request that has reached a worker."""
        now_s = time.monotonic()
        since_s = self._evacuated_s.get(worker.zone)
        if keyed and since_s is not None and now_s > since_s + self._confirmed_s:
            self.broken.append(f"{worker.name} gets a request in the evacuated zone {worker.zone}")
        if not self.is_cold(worker):
            return
        arrivals = self._arrivals.setdefault(worker.name, deque())
        arrivals.append(now_s)
        while arrivals[0] <= now_s - 1.0:
            arrivals.popleft()
        self.most_while_cold = max(self.most_while_cold, len(arrivals))
        if len(arrivals) > COLD_LIMIT:
            self.broken.append(f"cold {worker.name} gets {len(arrivals)} requests in a second")
