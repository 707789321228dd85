"""Silent endpoints: an answer is given up only where another endpoint can take it over."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import Fleet, play

from tamarack_gateway import answer_timeouts
from tamarack_standins.platform_worker import PlatformWorker, Script

SILENCE_MS = 200.0

PAUSING = Script(events=3, event_pause_s=2.5 * SILENCE_MS / 1000)

LATE = Script(body=b"late", pause_s=2.5 * SILENCE_MS / 1000)


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the timeouts, so that a pause is short, too."""
    for name in ("EVENT_SILENCE_MS", "PLAIN_TIMEOUT_MIN_MS"):
        monkeypatch.setattr(answer_timeouts, name, SILENCE_MS)
    monkeypatch.setattr(answer_timeouts, "PLAIN_TIMEOUT_FACTOR", 0.0)


@pytest.mark.parametrize(("path", "script"), [("/draft/1", PAUSING), ("/search/1", LATE)])
@pytest.mark.parametrize("workers", [1, 2])
def test_an_answer_of_a_pausing_endpoint_is_not_cut_if_it_cannot_be_sent_again(
    workers: int, path: str, script: Script
) -> None:
    """Guards against a sound answer that is given up for want of a retry or of an endpoint."""

    async def scenario() -> None:
        service = "pool" if path == "/draft/1" else "web"
        pausing = [PlatformWorker(f"e{number}", script) for number in range(workers)]
        # With one endpoint there is no other; with two the retry budget is empty.
        budget = {} if workers == 1 else {"retry_ratio": 0.0, "retry_slack": 0.0}
        async with Fleet({service: pausing}, **budget) as fleet:
            answer = await fleet.ask(path)
            assert (answer.status, answer.whole) == (200, True)
            assert sum(len(worker.received) for worker in pausing) == 1

    play(scenario())


def test_a_silent_endpoint_is_replaced_by_another_within_the_retry_budget() -> None:
    """Guards against a caller that waits for a silent endpoint although another would answer."""

    async def scenario() -> None:
        workers = [PlatformWorker("e1", Script(silent=True)), PlatformWorker("e2")]
        async with Fleet({"web": workers}) as fleet:
            for _ in range(3):
                assert (await fleet.ask("/search/1")).status == 200

    play(scenario())


def test_a_silent_endpoint_is_replaced_as_soon_as_another_is_there() -> None:
    """Guards against a request that stays at a silent endpoint since it had no other at first."""

    async def scenario() -> None:
        silent, other = PlatformWorker("e1", Script(silent=True)), PlatformWorker("e2")
        async with Fleet({"web": [silent]}) as fleet, other:
            asked = asyncio.ensure_future(fleet.ask("/search/1"))
            await asyncio.sleep(2.0 * SILENCE_MS / 1000)
            assert not asked.done()
            await fleet.store.put("servers", "e2", other.entry("web"))
            assert (await asked).status == 200

    play(scenario())
