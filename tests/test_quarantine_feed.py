"""Writing quarantine decisions to the store."""

from __future__ import annotations

import asyncio

from test_foreign_rows_fuzz import Feeds

from tamarack_core.termination_evidence import (
    InterruptedRequest,
    InterruptedTraits,
    QuarantinedRequest,
    Termination,
)
from tamarack_gateway.quarantine_feed import TAKEOVER_MS, QuarantineFeed

ROUTERS = 195
CHECKS = 200


def test_not_all_routers_call_an_unavailable_store_at_once() -> None:
    """In an outage of the store, every router called it twice a second for each decision.

    A decision is made while the store is down. After three seconds any router may write it, and all
    tried at each check until one succeeded.
    """

    async def run() -> None:
        attempts = []

        async def write(key: str, value: bytes | None) -> bool:
            attempts.append(key)
            return False

        state = Feeds().state
        clock = state.clock
        state.allowance.seen(ROUTERS)
        feed = QuarantineFeed(
            state, on_evidence=lambda evidence: None, owns_row=lambda key: False, write=write
        )
        state.quarantine.add(QuarantinedRequest("f1", "shop", 0), clock.now_ms)
        await feed._store_decisions()
        assert attempts == []
        clock.advance(TAKEOVER_MS)  # type: ignore[attr-defined]
        for _ in range(CHECKS):
            await feed._store_decisions()
        # One check in 195 on average, so 1.03 of these 200; previously all 200.
        assert len(attempts) <= 8
        state.allowance = type(state.allowance)(0.2, 50.0, 10_000.0)
        await feed._store_decisions()
        assert len(attempts) >= 1

    asyncio.run(run())


def test_an_answer_that_arrives_while_a_row_is_removed_is_not_lost() -> None:
    """A request that had been answered was quarantined again when the next router started.

    While one row is being removed from the store, the request of another row is answered. The list
    of rows to remove was replaced after the call by its state before the call.
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
            state, on_evidence=lambda evidence: None, owns_row=lambda key: False, write=write
        )
        for name in ("f1", "f2"):
            state.quarantine.add(QuarantinedRequest(name, "shop", 0), 0.0, stored=True)
        feed.answered("f1")
        await feed._remove_rows()
        await feed._remove_rows()
        assert removed == ["f1", "f2"]

    asyncio.run(run())


def test_a_crash_during_warm_up_is_evidence_only_against_isolated_requests() -> None:
    """Failure: a block crashes endpoints for good, as those that came back are always warming up.

    A warming endpoint may also crash under too many requests, which blames none of them.
    """
    state = Feeds().state
    state.warm_ups.warmed_within = lambda key, span_ms, now_ms: True  # type: ignore[method-assign]

    async def write(key: str, value: bytes | None) -> bool:
        return True

    feed = QuarantineFeed(
        state, on_evidence=lambda evidence: None, owns_row=lambda key: False, write=write
    )
    feed.record_traits("isolated", InterruptedTraits(("block-bad",), "block-bad"))
    feed.record_traits("free", InterruptedTraits(("block-other",)))
    aboard = [InterruptedRequest(name, "shop", True) for name in ("isolated", "free")]
    feed.record_termination(Termination("e1", 1, False, aboard))
    suspects = {reading.fingerprint for reading in state.quarantine.suspects(9)}
    assert suspects == {"isolated", "block-bad"}
