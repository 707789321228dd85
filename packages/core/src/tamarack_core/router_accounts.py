"""What a dispatcher keeps of each router that it grants to."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_core.defaults import ROUTER_PROBE_MS, ROUTER_SILENCE_MS
from tamarack_core.dispatch_messages import Poll

GRANT_IN_FLIGHT_MS = 500
PROBE_SHARE = 0.05
FEW_PATIENCE = 5.0


class SilentRouters(NamedTuple):
    """Routers that hold grants and have not been heard of for a while.

    Attributes
    ----------
    lost
        Silent for so long that their grants are freed.
    due
        To be probed now.
    """

    lost: list[str]
    due: list[str]


class RouterAccounts:
    """Tickets and grants of each router in numbers, and when it was last heard.

    Attributes
    ----------
    waiting, running
        Tickets that wait and grants in use by router.
    """

    def __init__(self) -> None:
        self.waiting: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self._heard_ms: dict[str, float] = {}
        self._probed_ms: dict[str, float] = {}
        self._granted_ms: dict[str, float] = {}
        self._mismatched: set[str] = set()

    def heard(self, router: str, now_ms: float) -> None:
        """Note a message of a router."""
        self._heard_ms[router] = now_ms

    def granted(self, router: str, now_ms: float) -> None:
        """Note that a waiting ticket of a router was granted."""
        self.waiting[router] -= 1
        self._granted_ms[router] = now_ms

    def differs_again(self, router: str, message: Poll, now_ms: float) -> bool:
        """Whether a router's own numbers differ from these for the second time running."""
        waiting = self.waiting[router]
        differs = waiting + self.running[router] != message.waiting + message.running
        if now_ms - self._granted_ms.get(router, float("-inf")) > GRANT_IN_FLIGHT_MS:
            differs = differs or waiting != message.waiting
        again = differs and router in self._mismatched
        if differs and not again:
            self._mismatched.add(router)
        else:
            self._mismatched.discard(router)
        return again

    def cleared(self, router: str) -> None:
        """Note that all tickets of a router were dropped."""
        self.waiting[router] = 0
        self._mismatched.discard(router)

    def forget(self, router: str) -> None:
        """Forget a dead router."""
        for by_router in (self._heard_ms, self._probed_ms, self._granted_ms):
            by_router.pop(router, None)
        del self.waiting[router]
        del self.running[router]

    def silent(self, slots: int, now_ms: float) -> SilentRouters:
        """Routers that are silent; those that hold few of the slots get more time."""
        silent = SilentRouters([], [])
        many = max(1.0, slots * PROBE_SHARE)
        for router, held in self.running.items():
            silent_ms = now_ms - self._heard_ms.setdefault(router, now_ms)
            patience = 1.0 if held >= many else FEW_PATIENCE
            if held <= 0 or silent_ms < patience * ROUTER_PROBE_MS:
                continue
            if silent_ms >= patience * ROUTER_SILENCE_MS:
                silent.lost.append(router)
            elif now_ms - self._probed_ms.get(router, float("-inf")) >= ROUTER_PROBE_MS * patience:
                self._probed_ms[router] = now_ms
                silent.due.append(router)
        return silent
