"""Requests of a soak that crash the workers that run them, and the bound on how often."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from tamarack_standins.platform_worker import FATAL

CONTACT_S = 3.0
"""Seconds without a fault after which a router must have the state that the others have."""

KNOWN_CRASHES = 3
KNOWN_BLOCK_CRASHES = 5
MAX_LATE_ARRIVALS = 3
"""Number of crashed workers after which such a request, or a prefix block, counts as known, and how
often it may reach workers from then on, sent by routers that are in contact with the others."""

FATAL_INTERVAL_S = 0.4
"""Seconds between two sends of such requests, to the routers in turn."""

RESTART_DELAY_S = (0.5, 1.5)
"""Seconds from a worker's crash to its next incarnation."""


class FatalRequest(NamedTuple):
    """A request that crashes every worker that runs it; with `blocks`, each has another body."""

    path: str
    body: bytes
    blocks: str = ""


FATAL_REQUESTS = (
    FatalRequest("/draft/", b"ends 1"),
    FatalRequest("/rewrite/", b"ends 2"),
    FatalRequest("/draft/", b"ends 3", "a1:200,dead1:100"),
    FatalRequest("/rewrite/", b"ends 4", "dead2:100,a2:200"),
)
FATAL_BODIES = frozenset(request.body for request in FATAL_REQUESTS if not request.blocks)
FATAL_BLOCKS = frozenset(("dead1", "dead2"))
FATAL_PREFIX = b"ends "
"""How the bodies of all these requests begin."""

_BEGUN = FATAL._replace(events=2, pause_s=0.05, echo=True, tells_version=True)
FATAL_SCRIPTS = (
    FATAL,
    _BEGUN,
    _BEGUN._replace(cut_after=1),
    _BEGUN._replace(unframed=True),
    _BEGUN._replace(unframed=True, cut_after=1),
)
"""How successive incarnations of a worker answer them until the crash."""


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
        self._crashed: dict[bytes, set[int]] = {}
        self.arrivals: dict[bytes, int] = {}
        self.late_arrivals: dict[bytes, int] = {}

    def arrived(self, culprit: bytes, worker: object) -> None:
        """Count a request that has reached a worker and will crash it.

        Parameters
        ----------
        culprit
            Body of the request, or its prefix block.
        worker
            The worker's incarnation; several requests may crash it together.
        """
        now_s = time.monotonic()
        count = self.arrivals[culprit] = self.arrivals.get(culprit, 0) + 1
        crashed = self._crashed.setdefault(culprit, set())
        crashed.add(id(worker))
        block = culprit.decode() in FATAL_BLOCKS
        known_s = self._known_s.get(culprit)
        in_contact = self._fault_free_s() >= CONTACT_S
        if known_s is not None and in_contact and now_s > known_s + CONTACT_S:
            self.late_arrivals[culprit] = self.late_arrivals.get(culprit, 0) + 1
        if known_s is None and (
            len(crashed) >= KNOWN_BLOCK_CRASHES if block else count >= KNOWN_CRASHES
        ):
            self._known_s[culprit] = now_s

    def broken(self) -> list[str]:
        """Violations of the bound, a sentence for each request."""
        return [
            f"{culprit!r} reached workers {count} times too late, {self.arrivals[culprit]} in all"
            for culprit, count in self.late_arrivals.items()
            if count > MAX_LATE_ARRIVALS
        ]
