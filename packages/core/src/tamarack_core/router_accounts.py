"""A dispatcher's accounts of the routers that it grants to."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_core.defaults import ROUTER_PROBE_MS, ROUTER_SILENCE_MS
from tamarack_core.dispatch_messages import Poll

GRANT_IN_FLIGHT_MS = 500  # a grant may be in transit for this long
MANY_GRANTS_FRACTION = 0.05  # of the slots; a router with fewer grants gets longer timeouts
FEW_GRANTS_TIMEOUT_FACTOR = 5.0


class SilentRouters(NamedTuple):
    """Routers that hold grants and have stopped sending messages.

    Attributes
    ----------
    lost
        Silent beyond the timeout; their grants are released.
    due
        Due for a probe.
    """

    lost: list[str]
    due: list[str]


class RouterAccounts:
    """Numbers of tickets and grants by router, and the time of its last message.

    Attributes
    ----------
    waiting, running
        Numbers of waiting tickets and of grants in use by router.
    """

    def __init__(self) -> None:
        self.waiting: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self._received_ms: dict[str, float] = {}
        self._probed_ms: dict[str, float] = {}
        self._granted_ms: dict[str, float] = {}
        self._mismatched: set[str] = set()

    def record_message(self, router: str, now_ms: float) -> None:
        """Record a message of a router."""
        self._received_ms[router] = now_ms

    def granted(self, router: str, now_ms: float) -> None:
        """Record that a waiting ticket of a router was granted."""
        self.waiting[router] -= 1
        self._granted_ms[router] = now_ms

    def mismatched_twice(self, router: str, message: Poll, now_ms: float) -> bool:
        """Whether a router's numbers differ from these in two consecutive polls."""
        waiting = self.waiting[router]
        differs = waiting + self.running[router] != message.waiting + message.running
        if now_ms - self._granted_ms.get(router, float("-inf")) > GRANT_IN_FLIGHT_MS:
            differs = differs or waiting != message.waiting
        repeated = differs and router in self._mismatched
        if differs and not repeated:
            self._mismatched.add(router)
        else:
            self._mismatched.discard(router)
        return repeated

    def cleared(self, router: str) -> None:
        """Record that all tickets of a router were dropped."""
        self.waiting[router] = 0
        self._mismatched.discard(router)

    def remove_router(self, router: str) -> None:
        """Remove the accounts of a dead router."""
        for times in (self._received_ms, self._probed_ms, self._granted_ms):
            times.pop(router, None)
        del self.waiting[router]
        del self.running[router]

    def silent(self, slots: int, now_ms: float) -> SilentRouters:
        """Silent routers; timeouts are longer for routers that hold few of the slots."""
        silent = SilentRouters([], [])
        many_grants = max(1.0, slots * MANY_GRANTS_FRACTION)
        for router, held in self.running.items():
            silent_ms = now_ms - self._received_ms.setdefault(router, now_ms)
            timeout_factor = 1.0 if held >= many_grants else FEW_GRANTS_TIMEOUT_FACTOR
            if held <= 0 or silent_ms < timeout_factor * ROUTER_PROBE_MS:
                continue
            if silent_ms >= timeout_factor * ROUTER_SILENCE_MS:
                silent.lost.append(router)
            elif (
                now_ms - self._probed_ms.get(router, float("-inf"))
                >= ROUTER_PROBE_MS * timeout_factor
            ):
                self._probed_ms[router] = now_ms
                silent.due.append(router)
        return silent
