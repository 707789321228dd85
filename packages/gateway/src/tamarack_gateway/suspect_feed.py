"""Asks other routers for evidence of crashes that this router has missed, and answers them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from tamarack_core.suspect_exchange import ASK_MS, MOST_TOLD, KnownSuspects, SuspectsQuery
from tamarack_gateway.fleet_state import FleetState

CHECK_MS = 50.0
"""Time between two checks whether a question is due, while evidence may be missing."""


class SuspectFeed:
    """Hands suspects on to routers that start, or that were cut off.

    Parameters
    ----------
    routers
        Returns the names of the other routers that are heard.
    answers
        Returns whether this router answers questions; in a large fleet only relays do.
    publish
        Called with questions and answers for the other routers.
    """

    def __init__(
        self,
        state: FleetState,
        *,
        routers: Callable[[], Collection[str]],
        answers: Callable[[], bool],
        publish: Callable[[SuspectsQuery | KnownSuspects], None],
    ) -> None:
        self._state = state
        self._routers = routers
        self._answers = answers
        self._publish = publish
        self._told_ms = float("-inf")
        self._lacking = asyncio.Event()
        self._lacking.set()

    def catch_up(self) -> None:
        """Ask for evidence that this router may have missed."""
        self._state.catch_up.restart(self._state.clock.now_ms)
        self._lacking.set()

    def tell(self) -> None:
        """Tell the other routers what this one knows, before it leaves."""
        known = self._known()
        if self._answers() and (known.suspects or known.quarantined):
            self._publish(known)

    def receive(self, message: SuspectsQuery | KnownSuspects) -> None:
        """Apply a message of another router."""
        now_ms, catch_up = self._state.clock.now_ms, self._state.catch_up
        if isinstance(message, SuspectsQuery):
            catch_up.asked(now_ms)
            self._answer(now_ms)
        elif catch_up.lacks(now_ms):
            catch_up.answered(message)
            for request in message.quarantined:
                if self._state.quarantine.add(request, now_ms):
                    self._state.log.change(
                        "request quarantined", reason="told by another router", **request._asdict()
                    )
            self._state.learn_suspects(message.suspects, message.router)

    async def run(self) -> None:
        """Ask while evidence may be missing; runs until cancelled."""
        state = self._state
        while True:
            await self._lacking.wait()
            self._lacking.clear()
            while state.catch_up.lacks(state.clock.now_ms):
                if state.catch_up.asks(self._routers(), state.clock.now_ms):
                    state.catch_up.asked(state.clock.now_ms)
                    self._publish(SuspectsQuery(state.settings.router))
                    # Others do not ask at the same time, and may need what this router knows.
                    self._answer(state.clock.now_ms)
                await asyncio.sleep(CHECK_MS / 1000)

    def _answer(self, now_ms: float) -> None:
        if self._answers() and now_ms - self._told_ms >= ASK_MS / 2:
            self._told_ms = now_ms
            self._publish(self._known())

    def _known(self) -> KnownSuspects:
        state, now_ms = self._state, self._state.clock.now_ms
        return KnownSuspects(
            state.settings.router,
            not state.catch_up.lacks(now_ms),
            state.quarantine.suspects_to_tell(MOST_TOLD, now_ms),
            state.quarantine.unstored(),
        )
