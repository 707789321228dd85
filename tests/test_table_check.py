"""The store vouches for a table only as of a call whose changes are applied."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from tamarack_core.clock import BootClock
from tamarack_core.vouching import Vouching
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row, RowsPage
from tamarack_gateway.store_clients import StoreClients
from tamarack_gateway.table_check import TableCheck
from tamarack_gateway.table_follower import TableFollower

SOON_MS = 300.0


class Table:
    """A table of a store that answers with `rows`, or not at all if they are None."""

    def __init__(self) -> None:
        self.clock = BootClock()
        self.rows: list[Row] | None = []
        self.calls = 0
        state: Any = SimpleNamespace(
            clock=self.clock,
            vouching=Vouching(self.clock.now_ms),
            allowance=SimpleNamespace(routers=1),
        )
        self.follower = SimpleNamespace(version=3, changed_version=3)
        self.check = TableCheck(
            cast(FleetState, state),
            cast(StoreClients, self),
            cast(TableFollower, self.follower),
            "servers",
        )

    async def changes(self, table: str, after: int) -> RowsPage | None:
        """Answer a call for changes."""
        self.calls += 1
        return None if self.rows is None else RowsPage(self.rows, 9, False, 0)

    async def vouched(self) -> bool:
        """Whether the store vouches for what was up to now, asked for a short time."""
        now_ms = self.clock.now_ms
        return await self.check.vouched(now_ms, now_ms + SOON_MS)


def test_callers_that_ask_together_share_a_call() -> None:
    """Guards against a call of the store for each of many streams that break together."""

    async def scenario() -> None:
        table = Table()
        assert all(await asyncio.gather(*(table.vouched() for _ in range(50))))
        assert table.calls <= 2

    asyncio.run(scenario())


def test_a_change_that_is_not_applied_yet_is_waited_for() -> None:
    """Guards against a new version that the store has told of and the router does not use yet."""

    async def scenario() -> None:
        table = Table()
        table.rows = [Row("servers", "e2", b"{}", 7)]
        assert not await table.vouched()
        table.follower.changed_version = 7
        assert await table.vouched()
        await table.check.close()

    asyncio.run(scenario())


def test_a_store_that_does_not_answer_vouches_for_nothing() -> None:
    """Guards against an earlier answer that counts for a later matter."""

    async def scenario() -> None:
        table = Table()
        assert await table.vouched()
        table.rows = None
        assert not await table.vouched()
        assert table.calls <= 3
        await table.check.close()

    asyncio.run(scenario())
