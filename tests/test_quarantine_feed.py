"""How verdicts reach the store."""

from __future__ import annotations

import asyncio

from test_foreign_rows_fuzz import Feeds

from tamarack_core.end_evidence import QuarantinedRequest
from tamarack_gateway.quarantine_feed import OTHERS_WRITE_MS, QuarantineFeed

ROUTERS = 195
LOOKS = 200


def test_a_fleet_does_not_call_a_store_that_is_down_all_at_once() -> None:
    """Symptom: in an outage of the store every router calls it twice a second for each verdict.

    Sequence: a verdict is given while the store is down; after three seconds any router may write
    it. Cause: all did, at each look, until one was served.
    """

    async def run() -> None:
        tried = []

        async def write(key: str, value: bytes | None) -> bool:
            tried.append(key)
            return False

        state = Feeds().state
        clock = state.clock
        state.allowance.seen(ROUTERS)
        feed = QuarantineFeed(
            state, tell=lambda evidence: None, writes=lambda key: False, write=write
        )
        state.quarantine.take_in(QuarantinedRequest("f1", "shop", 0), clock.now_ms)
        await feed._store_decisions()
        assert tried == []
        clock.advance(OTHERS_WRITE_MS)  # type: ignore[attr-defined]
        for _ in range(LOOKS):
            await feed._store_decisions()
        # One look in 195 on the mean: 1.03 of these, and all 200 before.
        assert len(tried) <= 8
        state.allowance = type(state.allowance)(0.2, 50.0, 10_000.0)
        await feed._store_decisions()
        assert len(tried) >= 1

    asyncio.run(run())


def test_an_answer_that_comes_while_a_row_is_removed_is_not_forgotten() -> None:
    """Symptom: a request that was answered is quarantined again with the next router's start.

    Sequence: while the store is asked to remove one row, another entry's request is answered.
    Cause: the list of rows to remove was replaced after the call by what had been there before it.
    """

    async def run() -> None:
        removed: list[str] = []

        async def write(key: str, value: bytes | None) -> bool:
            removed.append(key)
            if key == "f1":
                feed.answered("f2")
            return True

        state = Feeds().state
        feed = QuarantineFeed(
            state, tell=lambda evidence: None, writes=lambda key: False, write=write
        )
        for name in ("f1", "f2"):
            state.quarantine.take_in(QuarantinedRequest(name, "shop", 0), 0.0, stored=True)
        feed.answered("f1")
        await feed._remove_rows()
        await feed._remove_rows()
        assert removed == ["f1", "f2"]

    asyncio.run(run())
