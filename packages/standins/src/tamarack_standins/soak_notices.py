"""Checks that routers of a soak heed what workers say about themselves in answers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from tamarack_standins.platform_worker import ReceivedRequest
from tamarack_standins.soak_callers import SoakCalls
from tamarack_standins.soak_crashes import CONTACT_S

DRAIN_S = 2.0
"""Seconds after an answer that says a worker leaves in which its router may still send there."""

REST_REACTION_S = 0.5
REST_ARRIVALS = 2
"""Seconds from a worker's request for rest until it counts what its router sends, and how many such
requests may still arrive."""


class _Rest:
    """A rest period that a worker requested from a router."""

    def __init__(self, rest_s: float) -> None:
        self.asked_s = time.monotonic()
        self.counted_s = self.asked_s + REST_REACTION_S
        self.until_s = self.asked_s + rest_s
        self.arrivals = 0


class _Late(NamedTuple):
    """A request that came too late after a notice, and the incarnation that gave the notice."""

    router: str
    worker: str
    life: int | None
    told_s: float
    in_contact: bool
    description: str


class NoticeChecks:
    """What each router has been told by workers, and what it sends them since.

    Parameters
    ----------
    calls
        Tells which router a request was sent to, and when.
    fault_free_s
        Returns the seconds since the last fault of routers, links or the store.

    Attributes
    ----------
    calls
        As the parameter.
    rests, departures
        Number of rest periods requested, and of answers passed on that were the first to tell a
        router that their worker leaves.
    """

    def __init__(self, calls: SoakCalls, fault_free_s: Callable[[], float]) -> None:
        self.calls = calls
        self._fault_free_s = fault_free_s
        self._left_s: dict[tuple[str, str], float] = {}
        self._rests: dict[tuple[str, str], list[_Rest]] = {}
        self._lives: dict[str, int] = {}
        self._late: list[_Late] = []
        self.rests = 0
        self.departures = 0

    def told_leaving(self, router: str, worker: str) -> None:
        """Record that a router has passed on an answer that says that its worker leaves."""
        if (router, worker) not in self._left_s:
            self.departures += 1
            self._left_s[router, worker] = time.monotonic()

    def requested_rest(self, worker: str, received: ReceivedRequest, rest_s: float) -> None:
        """Record that a worker answers a request with a request for rest."""
        sent = self.calls.sent.get(received.headers.get("x-attempt-id", ""))
        if sent is not None:
            self.rests += 1
            self._rests.setdefault((sent.router, worker), []).append(_Rest(rest_s))

    def arrived(self, worker: str, received: ReceivedRequest) -> None:
        """Check a request that has reached a worker."""
        attempt = received.headers.get("x-attempt-id", "")
        sent = self.calls.sent.get(attempt)
        if sent is None:
            return
        key = sent.router, worker
        left_s = self._left_s.get(key)
        life = self._lives.get(worker)
        in_contact = self._fault_free_s() >= CONTACT_S
        if left_s is not None and sent.sent_s > left_s + DRAIN_S:
            late_s = sent.sent_s - left_s
            description = f"{attempt} reaches leaving {worker} {late_s:.2f} s after its notice"
            self._late.append(_Late(sent.router, worker, life, left_s, in_contact, description))
        now_s = time.monotonic()
        self._rests[key] = [r for r in self._rests.get(key, []) if r.until_s > now_s]
        for rest in self._rests[key]:
            rest.arrivals += now_s >= rest.counted_s
            if rest.arrivals > REST_ARRIVALS:
                description = (
                    f"resting {worker} gets {rest.arrivals} requests of {sent.router}: {attempt},"
                    f" {now_s - rest.asked_s:.2f} s after it asked for rest,"
                    f" sent by its caller {now_s - sent.sent_s:.2f} s ago"
                )
                self._late.append(
                    _Late(sent.router, worker, life, rest.asked_s, in_contact, description)
                )

    def broken(self, learned_s: Callable[[str, str, int], float]) -> list[str]:
        """Requests that came too late, a sentence for each.

        An answer does not say which incarnation gave it. Beside a fault, a notice of one that the
        router learned of only afterwards does not count: the router related it to the former one.

        Parameters
        ----------
        learned_s
            Returns when a router learned of a worker's incarnation while it ran.
        """
        return [
            late.description
            for late in self._late
            if late.in_contact
            or late.life is None
            or learned_s(late.router, late.worker, late.life) <= late.told_s
        ]

    def disturbed(self, router: str) -> None:
        """Forget what a router was told: it starts again, is paused, or wakes up."""
        self._left_s = {key: at_s for key, at_s in self._left_s.items() if key[0] != router}
        self._rests = {key: rests for key, rests in self._rests.items() if key[0] != router}

    def restarted(self, worker: str, life: int) -> None:
        """Forget what a worker's former incarnation told; `life` is the start of the new one."""
        self._lives[worker] = life
        self._left_s = {key: at_s for key, at_s in self._left_s.items() if key[1] != worker}
        self.cut_off(worker)

    def cut_off(self, worker: str) -> None:
        """Forget the rests of a worker whose connections fail, or work again."""
        self._rests = {key: rests for key, rests in self._rests.items() if key[1] != worker}
