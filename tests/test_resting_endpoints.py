"""Endpoints that request a rest period get no requests until it ends."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import Fleet, play, until

from tamarack_gateway.fleet_state import FleetState
from tamarack_standins.platform_worker import PlatformWorker, Script

REST_S = 0.6
REST = Script(status=503, not_run=True, retry_after=str(REST_S))
STREAM = Script(events=2)


async def until_rested(state: FleetState) -> None:
    await until(lambda: not state.notices.rests.active)


@pytest.mark.parametrize(
    ("service", "path", "good"),
    [("web", "/page/1", Script()), ("pool", "/rewrite/1", STREAM)],
)
def test_an_endpoint_gets_no_requests_in_its_rest_period(
    service: str, path: str, good: Script
) -> None:
    """Failure: an endpoint that asks for rest is sent the next request and rejects it, too."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", REST, good)
        async with Fleet({service: [worker]}) as fleet:
            state = fleet.gateway.state
            assert (await fleet.ask(path)).status == 503
            for _ in range(5):
                assert (await fleet.ask(path)).status == 503
            assert len(worker.received) == 1
            await until_rested(state)
            assert (await fleet.ask(path)).status == 200

    play(scenario())


def test_a_cached_prompt_is_served_elsewhere_while_its_engine_rests() -> None:
    """Failure: a cached prompt is worth more than a rejection, and draws requests back at once."""

    async def scenario() -> None:
        pool = [PlatformWorker(name, STREAM) for name in ("e1", "e2")]
        prompts = [
            {"X_Token_Usage": "17020,50", "X_Prompt_Prefix": f"{part:x}:13300,b:3720"}
            for part in range(16)
        ]
        async with Fleet({"pool": pool}) as fleet:
            for prompt in prompts:
                assert (await fleet.ask("/draft/1", **prompt)).status == 200
            resting = max(pool, key=lambda worker: len(worker.received))
            before = len(resting.received)
            resting._scripts = [REST._replace(retry_after="10")]
            for prompt in prompts:
                assert (await fleet.ask("/draft/1", **prompt)).status == 200
            assert len(resting.received) <= before + 1

    play(scenario())


def test_a_refusal_names_the_end_of_the_rest_period() -> None:
    """Failure: callers come back while no endpoint wants requests, and are refused again."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1", REST, Script())]}) as fleet:
            for _ in range(2):
                answer = await fleet.ask("/page/1")
                assert answer.status == 503
                (until_ms,) = fleet.gateway.state.notices.rests.active.values()
                left_s = (until_ms - fleet.gateway.state.clock.now_ms) / 1000
                assert left_s <= float(answer.headers["retry-after"]) <= REST_S + 0.5

    play(scenario())


def test_an_interrupted_stream_does_not_resume_at_a_resting_endpoint() -> None:
    """Failure: a retry reaches an endpoint that asked for rest after the request was placed."""

    async def scenario() -> None:
        cut = Script(events=20, cut_after=10, event_pause_s=0.1)
        pool = [PlatformWorker(name, cut, STREAM) for name in ("e1", "e2")]
        async with Fleet({"pool": pool}) as fleet:
            state = fleet.gateway.state
            sent = asyncio.ensure_future(fleet.try_ask("/draft/1"))
            await until(lambda: any(worker.received for worker in pool))
            (resting,) = [worker for worker in pool if not worker.received]
            endpoint = state.registry.find(resting.name)
            assert endpoint is not None
            state.notices.rests.request(endpoint.key, 10_000.0)
            assert await sent is not None
            assert resting.received == []

    play(scenario())


def test_a_queued_request_does_not_reach_an_endpoint_that_rests_meanwhile() -> None:
    """Failure: requests that wait for a connection or a slot are sent after the endpoint's 503."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(pause_s=0.2))
        async with Fleet({"web": [worker]}) as fleet:
            state, pool = fleet.gateway.state, fleet.gateway._pool
            take, taken = pool.take, asyncio.Event()

            async def take_late(*arguments: object) -> object:
                connection = await take(*arguments)
                await taken.wait()
                return connection

            pool.take = take_late
            sent = asyncio.ensure_future(fleet.ask("/page/1"))
            await until(lambda: worker.connections == 1)
            state.notices.rests.request(state.registry.find("w1").key, 10_000.0)
            taken.set()
            assert (await sent).status == 503
            assert worker.received == []

    play(scenario())
