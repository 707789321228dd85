"""Endpoints that say in their answers that they leave get no more requests."""

from __future__ import annotations

import asyncio
import os

import pytest
from gateway_site import Fleet, play, until

from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import LEAVING_RETAINED_MS, Endpoint, EndpointRegistry
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.endpoint_notices import EndpointNotices
from tamarack_gateway.leaving_messages import LeavingEndpoint, LeavingEndpoints
from tamarack_standins.platform_worker import PlatformWorker, Script

PAGE = Script(leaving=True)
STREAM = Script(events=2, leaving=True)
FAILED = Script(status=500, leaving=True)
REJECTED = Script(status=503, not_run=True, leaving=True)


def endpoint(life: int = 1, *, draining: bool = False) -> Endpoint:
    return Endpoint("e1", "web", "127.0.0.1:1", "a", 4, draining, life)


async def ask_until_reached(fleet: Fleet, path: str, worker: PlatformWorker) -> None:
    """Ask, for different prompts, until a worker has received a request."""
    for number in range(50):
        if worker.received:
            return
        await fleet.ask(path, X_Prompt_Prefix=f"{number:x}:200,b:100")
    pytest.fail("the worker got no request")


@pytest.mark.parametrize(
    ("path", "script", "good"),
    [("/page/1", PAGE, Script()), ("/draft/1", STREAM, Script(events=2))],
)
def test_an_endpoint_that_says_it_leaves_gets_no_requests_while_the_store_is_away(
    path: str, script: Script, good: Script
) -> None:
    """Failure: a router that learns of leaving endpoints only from the store keeps using one."""

    async def scenario() -> None:
        service = "pool" if script.events else "web"
        leaving, staying = PlatformWorker("w1", script), PlatformWorker("w2", good)
        async with Fleet({service: [leaving, staying]}) as fleet:
            fleet.store.silent = True
            await ask_until_reached(fleet, path, leaving)
            reached = len(leaving.received)
            for number in range(10):
                answer = await fleet.ask(path, X_Prompt_Prefix=f"{number:x}:200,b:100")
                assert answer.status == 200
            assert len(leaving.received) == reached

    play(scenario())


def test_a_leaving_endpoint_stays_out_of_use_when_its_row_still_says_ready() -> None:
    """Failure: a row written before the endpoint left makes a router use it again."""

    async def scenario() -> None:
        leaving = PlatformWorker("w1", PAGE)
        async with Fleet({"web": [leaving]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 200
            state = fleet.gateway.state
            await fleet.store.remove("servers", "w1")
            await until(lambda: state.registry.find("w1") is None)
            await fleet.store.put("servers", "w1", {**leaving.entry("web"), "slots": 5})
            await until(lambda: (e := state.registry.find("w1")) is not None and e.slots == 5)
            assert (await fleet.ask("/page/1")).status == 503
            assert len(leaving.received) == 1

    play(scenario())


@pytest.mark.parametrize("script", [PAGE, FAILED, REJECTED])
def test_requests_are_refused_at_once_if_all_endpoints_leave(script: Script) -> None:
    """Failure: a request waits for its deadline, or reaches an endpoint that leaves."""

    async def scenario() -> None:
        leaving = PlatformWorker("w1", script)
        async with Fleet({"web": [leaving]}) as fleet:
            assert (await fleet.ask("/page/1")).status == script.status
            answer = await fleet.ask("/page/1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(leaving.received) == 1

    play(scenario())


def test_an_interrupted_stream_does_not_resume_at_a_leaving_endpoint() -> None:
    """Failure: a retry reaches an endpoint that said it leaves after the request was placed."""

    async def scenario() -> None:
        cut = Script(events=20, cut_after=10, event_pause_s=0.1)
        pool = [PlatformWorker(name, cut, Script(events=20)) for name in ("e1", "e2")]
        async with Fleet({"pool": pool}) as fleet:
            state, leaving = fleet.gateway.state, {}
            sent = asyncio.ensure_future(fleet.try_ask("/draft/1"))
            await until(lambda: any(w.received for w in pool))
            for other in pool:
                if not other.received:
                    leaving[other.name] = state.registry.find(other.name)
                    state.registry.record_leaving(leaving[other.name].key, state.clock.now_ms)
            answer = await sent
            assert answer is not None
            assert [w.name for w in pool if not w.received] == list(leaving)

    play(scenario())


def test_only_the_incarnation_that_said_it_leaves_is_out_of_use() -> None:
    """Failure: an endpoint that restarts under its name gets no requests, or its notice is lost."""
    registry = EndpointRegistry(kept_ms=1_000.0)
    registry.put(endpoint(), 0.0)
    assert registry.record_leaving(endpoint().key, 0.0)
    assert not registry.record_leaving(endpoint().key, 0.0)
    registry.replace([endpoint()], 1.0, keep_until_ms=0.0)
    assert registry.usable("web") == []
    registry.remove("e1", 2.0, keep_until_ms=5_000.0)
    assert registry.find("e1") is None
    registry.put(endpoint(), 3.0)
    assert registry.usable("web") == []
    registry.put(endpoint(life=2), 4.0)
    assert registry.usable("web") == [endpoint(life=2)]


def test_an_endpoint_that_leaves_while_its_missing_entry_is_retained_gets_no_requests() -> None:
    """Failure: after an outage of the store a leaving endpoint is used until its grace ends."""
    registry = EndpointRegistry(kept_ms=5_000.0)
    registry.put(endpoint(), 0.0)
    registry.remove("e1", 1.0, keep_until_ms=2_000.0)
    assert registry.usable("web") == [endpoint()]
    registry.record_leaving(endpoint().key, 2.0)
    assert registry.usable("web") == []


def test_notices_of_endpoints_that_are_gone_are_forgotten() -> None:
    """Failure: a router that runs for months keeps every endpoint that ever left."""
    registry = EndpointRegistry(kept_ms=0.0)
    registry.put(endpoint(), 0.0)
    for life in range(1, 100):
        registry.record_leaving(endpoint(life).key, life * LEAVING_RETAINED_MS)
    assert len(registry._leaving_ms) == 2


def test_what_other_routers_told_of_endpoints_that_are_gone_is_forgotten() -> None:
    """Failure: a router that runs for months keeps each endpoint of which it was ever told."""
    clock = ManualClock()
    log = DecisionLog("r", clock, output=os.open(os.devnull, os.O_WRONLY))
    notices = EndpointNotices(EndpointRegistry(kept_ms=0.0), log, clock, "r")
    for life in range(1, 100):
        clock.advance(LEAVING_RETAINED_MS)
        notices.learn(LeavingEndpoints("r2", [LeavingEndpoint("e1", life, 0.0)]))
    assert len(notices._said_ms) == 1


def test_a_query_of_an_engines_cache_also_tells_that_it_leaves() -> None:
    """Failure: a router that has just started sends its first requests to a leaving engine."""

    async def scenario() -> None:
        engine = PlatformWorker("e1", Script(events=2))
        engine.leaving = True
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state
            await until(lambda: fleet.gateway._inventory.done)
            assert state.usable("pool") == []

    play(scenario())
