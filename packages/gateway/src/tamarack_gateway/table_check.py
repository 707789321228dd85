"""Asks the store whether this router knows all changes of a table up to now."""

from __future__ import annotations

import asyncio
import contextlib

from tamarack_core.vouching import Verdict
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.store_clients import StoreClients
from tamarack_gateway.table_follower import TableFollower

GAP_MS = 50.0
GAP_PER_ROUTER_MS = 1.0
"""Minimum time between two calls, in any fleet and for each of its routers: the store takes a few
thousand calls a second from all of them, and these are to be a thousand at most."""

FAILED_GAP_MS = 300.0
"""The same after a call that failed."""

STEP_MS = 10.0
"""Time between two checks whether a change that the store has told of is applied."""

APPLY_MS = 600.0
"""Longest time to wait for that; a follower pauses for less between two calls."""


class TableCheck:
    """Has the store vouch for a table as of a time; callers that ask together share a call.

    A follower's own call waits for changes, so that the time since its last answer says nothing,
    and in a cut it is never answered.
    """

    def __init__(
        self, state: FleetState, clients: StoreClients, follower: TableFollower, table: str
    ) -> None:
        self._state = state
        self._clients = clients
        self._follower = follower
        self._table = table
        self._call: asyncio.Task[None] | None = None
        self._next_ms = float("-inf")

    async def vouched(self, matter_ms: float, until_ms: float) -> bool:
        """Whether all changes up to `matter_ms` are known; asks the store up to `until_ms`."""
        while (verdict := self._verdict(matter_ms, until_ms)) is Verdict.ASK:
            if self._call is None or self._call.done():
                self._call = asyncio.ensure_future(self._ask())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((until_ms - self._state.clock.now_ms) / 1000):
                    await asyncio.shield(self._call)
        return verdict is Verdict.VOUCHED

    def _verdict(self, matter_ms: float, until_ms: float) -> Verdict:
        now_ms = self._state.clock.now_ms
        return self._state.vouching.verdict(matter_ms, now_ms, until_ms=until_ms, table=self._table)

    async def close(self) -> None:
        """End a call in progress."""
        if self._call is not None:
            self._call.cancel()
            await asyncio.gather(self._call, return_exceptions=True)

    async def _ask(self) -> None:
        clock = self._state.clock
        await asyncio.sleep(max(0.0, self._next_ms - clock.now_ms) / 1000)
        asked_ms = clock.now_ms
        gap_ms = max(GAP_MS, GAP_PER_ROUTER_MS * self._state.allowance.routers)
        after = self._follower.version
        page = None if after is None else await self._clients.changes(self._table, after)
        self._next_ms = asked_ms + (FAILED_GAP_MS if page is None else gap_ms)
        if page is None:
            return
        newest = max((row.version for row in page.rows), default=0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(APPLY_MS / 1000):
                while self._follower.changed_version < newest:
                    await asyncio.sleep(STEP_MS / 1000)
        if self._follower.changed_version >= newest:
            self._state.vouching.store_answered(self._table, asked_ms)
