"""Tests restarted endpoints: no state of one incarnation applies to the next."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from gateway_site import Answer, Fleet, configuration, play, until

from tamarack_core.endpoint_registry import DEFERRED_MS, Endpoint, EndpointRegistry
from tamarack_core.prompt import PrefixBlock
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.outbox import Placed, Placements, Seen
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import BORN_MS, PlatformWorker, Script

STREAM = Script(events=5)
NEXT_BORN_MS = BORN_MS + 60_000
PART = PrefixBlock("m/aa", 200)


def entry(name: str, life: int | None, *, draining: bool = False) -> Endpoint:
    return Endpoint(name, "pool", f"{name}:1", "a", 64, draining, life)


def incarnation_of(state: FleetState, name: str) -> int | None:
    endpoint = state.registry.find(name)
    return endpoint.life if endpoint is not None else None


async def restart(fleet: Fleet, worker: PlatformWorker, service: str, **more: Any) -> None:
    """List the next incarnation of a worker, and wait until the router knows it."""
    worker.born = NEXT_BORN_MS
    await fleet.store.put("servers", worker.name, {**worker.entry(service), **more})
    await until(lambda: incarnation_of(fleet.gateway.state, worker.name) == NEXT_BORN_MS)


# the list of endpoints


def test_a_late_write_of_an_older_incarnation_is_ignored() -> None:
    """Failure: an endpoint that is ready gets no requests for one heartbeat interval.

    A draining endpoint terminates and restarts; a write of its former incarnation is done after
    those of the present one. The last entry must not win regardless of its incarnation.
    """
    registry = EndpointRegistry(kept_ms=1_700.0)
    registry.put(entry("e1", 2), 0.0)
    registry.put(entry("e1", 1, draining=True), 100.0)
    assert registry.usable("pool") == [entry("e1", 2)]
    registry.replace([entry("e1", 1)], 200.0, keep_until_ms=-1.0)
    assert registry.find("e1") == entry("e1", 2)
    registry.put(entry("e1", 2), 1_200.0)
    assert registry.next_expiry_ms is None
    registry.expire(1e9)
    assert registry.find("e1") == entry("e1", 2)


def test_an_endpoint_whose_clock_was_set_back_is_accepted_later() -> None:
    """Failure: a draining endpoint gets new requests until it terminates.

    Its clock is set back and it restarts, so that the present incarnation looks older than the
    former one; later it drains. Entries of an older incarnation must not be ignored forever.
    """
    registry = EndpointRegistry(kept_ms=1_700.0)
    registry.put(entry("e1", 2), 0.0)
    registry.put(entry("e1", 1), 100.0)
    registry.put(entry("e1", 1), 1_300.0)
    assert registry.next_expiry_ms == 100.0 + DEFERRED_MS
    assert registry.expire(100.0 + DEFERRED_MS) == []
    assert registry.find("e1") == entry("e1", 1)
    registry.put(entry("e1", 1, draining=True), 9_000.0)
    assert registry.usable("pool") == []


def test_an_endpoint_that_drained_gets_requests_in_its_next_incarnation() -> None:
    registry = EndpointRegistry(kept_ms=1_700.0)
    registry.put(entry("e1", 1, draining=True), 0.0)
    registry.put(entry("e1", 2), 100.0)
    assert registry.usable("pool") == [entry("e1", 2)]


def test_endpoints_without_an_incarnation_are_used() -> None:
    """Failure: a router serves nobody although all endpoints are listed.

    The endpoints of a deployment publish no incarnation; their entries must not count as
    unreadable.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1", born=None)]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 200

    play(scenario())


# local state


def test_a_new_incarnation_starts_with_empty_local_state() -> None:
    """Failure: requests go to an engine that has not cached their prefix, or avoid a working one.

    An endpoint restarts under its name before its entry expires. Local state must not be keyed by
    the name alone.
    """

    async def scenario() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state
            assert (await fleet.ask("/draft/1")).status == 200
            model, record = state.models["e1"], state.records["e1"]
            assert model.caches(PART)
            model.observe_peer(900.0, 3.0, state.clock.now_ms)
            record.failed(state.clock.now_ms, 3.0)
            await restart(fleet, engine, "pool")
            now_ms = state.clock.now_ms
            model, record = state.models["e1"], state.records["e1"]
            assert not model.caches(PART)
            assert (model.wait_ms(now_ms), model.pace(now_ms)) == (0.0, 1.0)
            assert (record.failures(now_ms), record.outstanding) == (0.0, 0)

    play(scenario())


def test_messages_of_routers_apply_to_their_incarnation_only() -> None:
    """Failure: an engine that has just started attracts requests whose prefix it has not cached.

    It restarts, and a message of another router about its former incarnation arrives late, or one
    about an incarnation that this router does not know yet. A message must not name the endpoint
    alone.
    """

    async def scenario() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state

            def is_applied(life: int | None) -> bool:
                placed = Placed("e1", 400.0, [PART], life)
                seen = Seen("e1", 800.0, 4.0, life)
                fleet.gateway.state.apply_placements(Placements([placed], {}, [seen]))
                model, now_ms = state.models["e1"], state.clock.now_ms
                return model.caches(PART) or model.wait_ms(now_ms) > 0 or model.pace(now_ms) > 1

            assert not is_applied(NEXT_BORN_MS)
            await restart(fleet, engine, "pool")
            assert not is_applied(BORN_MS)
            assert not is_applied(None)
            assert is_applied(NEXT_BORN_MS)

    play(scenario())


def test_a_router_publishes_the_incarnation_that_it_sent_to() -> None:
    async def scenario() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            outgoing: list[Placements] = []
            take = fleet.gateway._outbox.take

            def taken() -> Placements | None:
                placements = take()
                if placements is not None:
                    outgoing.append(placements)
                return placements

            fleet.gateway._outbox.take = taken  # type: ignore[method-assign]
            await restart(fleet, engine, "pool")
            assert (await fleet.ask("/draft/1")).status == 200
            await until(lambda: any(placements.seen for placements in outgoing))
            published = {each.key for p in outgoing for each in (*p.placed, *p.seen)}
            assert published == {("e1", NEXT_BORN_MS)}

    play(scenario())


def test_a_send_to_the_former_incarnation_does_not_change_the_next() -> None:
    """Failure: an endpoint looks idle while it works, or failing although it never failed.

    A request runs as its endpoint restarts. The next incarnation gets a request, and then the first
    one's connection breaks. The end of a send must not be recorded by the endpoint's name.
    """

    async def scenario() -> None:
        first, second = (
            PlatformWorker("w1", Script(reset=True)),
            PlatformWorker("w1", born=NEXT_BORN_MS),
        )
        first.answering.clear()
        second.answering.clear()
        async with Fleet({"web": [first]}) as fleet, second:
            old = asyncio.ensure_future(fleet.ask("/page/1"))
            await until(lambda: len(first.received) == 1)
            await restart(fleet, second, "web")
            new = asyncio.ensure_future(fleet.ask("/page/2"))
            await until(lambda: len(second.received) == 1)
            first.answering.set()
            assert (await old).status == 502
            record = fleet.gateway.state.records["w1"]
            assert (record.outstanding, record.failures(fleet.gateway.state.clock.now_ms)) == (1, 0)
            second.answering.set()
            assert (await new).status == 200

    play(scenario())


def test_connections_to_the_former_incarnation_are_not_reused() -> None:
    """Failure: the first requests to a restarted endpoint fail and may have run.

    An endpoint terminates without closing its connections and restarts at its address. The idle
    connections must not be keyed by the address alone.
    """

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet, FaultProxy(worker.address) as link:
            await restart(fleet, worker, "web", address=link.address)
            assert (await fleet.ask("/page/1")).status == 200
            link.block_open()
            born = {"born": NEXT_BORN_MS + 1, "address": link.address}
            await fleet.store.put("servers", "w1", {**worker.entry("web"), **born})
            await until(lambda: incarnation_of(fleet.gateway.state, "w1") == NEXT_BORN_MS + 1)
            assert (await fleet.ask("/page/2")).status == 200
            await until(lambda: not fleet.gateway._pool.idle(("w1", NEXT_BORN_MS)))

    play(scenario())


def test_the_cache_content_of_another_incarnation_is_ignored() -> None:
    """Failure: requests go to an engine for prefix blocks that it has not cached.

    A router starts, and an engine restarts between its entry and the query for its cache content.
    The answer is from another incarnation and must not be applied by the engine's name.
    """

    async def scenario() -> None:
        other, same = PlatformWorker("e1", STREAM), PlatformWorker("e2", STREAM)
        other.cached_blocks = same.cached_blocks = [("aa", 200)]
        async with Fleet({"pool": [other, same]}) as fleet:
            other.born = NEXT_BORN_MS
            async with fleet.router("router-2") as router:
                await until(lambda: router.state.ready)
                await until(lambda: router.state.models["e2"].caches(PART))
                await until(lambda: router._inventory.done)
                assert not router.state.models["e1"].caches(PART)

    play(scenario())


# requests that run while an incarnation ends


@contextmanager
def incarnations(script: Script) -> Iterator[tuple[PlatformWorker, PlatformWorker]]:
    """A worker that delays requests until the router knows the next incarnation, and that one."""
    first = PlatformWorker("w1", script)
    first.answering.clear()
    yield first, PlatformWorker("w1", STREAM if script.events else Script(), born=NEXT_BORN_MS)


async def ask_during_restart(
    path: str, service: str, first: PlatformWorker, second: PlatformWorker
) -> Answer:
    """Send a request to the first incarnation, and break it off once the second is known."""
    async with Fleet({service: [first]}) as fleet, second:
        answer = asyncio.ensure_future(fleet.ask(path))
        await until(lambda: len(first.received) == 1)
        await restart(fleet, second, service)
        first.answering.set()
        return await answer


@pytest.mark.parametrize(
    ("path", "service", "script"),
    [
        ("/page/1", "web", Script(reset=True)),
        ("/rewrite/1", "pool", Script(events=5, reset=True)),
    ],
)
def test_what_ran_in_the_former_incarnation_is_not_run_in_the_next(
    path: str, service: str, script: Script
) -> None:
    """Failure: a request that may run only once runs twice, or ran and is reported as not run.

    It was sent to an endpoint that then restarted under its name. The next incarnation does not
    know the request and would not reject it.
    """

    async def scenario() -> None:
        with incarnations(script) as (first, second):
            assert (await ask_during_restart(path, service, first, second)).status == 502
            assert len(second.received) == 0

    play(scenario())


def test_a_stream_that_began_in_the_former_incarnation_is_cut() -> None:
    async def scenario() -> None:
        with incarnations(Script(events=5, cut_after=2)) as (first, second):
            answer = await ask_during_restart("/rewrite/1", "pool", first, second)
            assert (answer.status, answer.whole) == (200, False)
            assert len(second.received) == 0

    play(scenario())


def test_an_idempotent_request_is_retried_at_the_next_incarnation() -> None:
    """Failure: an idempotent request fails although its endpoint is back and an attempt is left.

    The only endpoint restarts under its name. The endpoints already tried must not be remembered by
    name alone.
    """

    async def scenario() -> None:
        with incarnations(Script(reset=True)) as (first, second):
            assert (await ask_during_restart("/search/1", "web", first, second)).status == 200
            assert len(second.received) == 1

    play(scenario())


def test_a_resumable_stream_resumes_at_the_next_incarnation() -> None:
    async def scenario() -> None:
        with incarnations(Script(events=5, cut_after=2)) as (first, second):
            answer = await ask_during_restart("/draft/1", "pool", first, second)
            assert (answer.status, answer.whole) == (200, True)
            assert [line for line in answer.body.decode().split("\n") if line[:2] == "id"] == [
                f"id: {number}" for number in range(1, 6)
            ]
            assert second.received[0].headers["last-event-id"] == "2"

    play(scenario())


# services that are unknown at first, or change


def test_a_model_has_the_cache_size_of_the_configuration_in_force() -> None:
    """Failure: a router takes prefix blocks for cached that were evicted.

    An engine is listed before the configuration names its service, or a new version changes the
    cache size of the service's engines. The size must not be fixed when the engine is first seen.
    """

    async def scenario() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"later": [engine]}) as fleet:
            state = fleet.gateway.state
            assert (await fleet.ask("/draft/1")).status == 503
            assert engine.received == []
            value = configuration(2)
            value["routes"][2]["service"] = "later"
            value["services"].append({"name": "later", "engine": {"kvCapacityTokens": 100}})
            await fleet.store.put("op", "config", value)
            await until(lambda: state.rules is not None and state.rules.version == 2)
            assert (await fleet.ask("/draft/1")).status == 200
            assert not state.models["e1"].caches(PART)
            value["services"][-1]["engine"]["kvCapacityTokens"] = 100_000
            await fleet.store.put("op", "config", {**value, "version": 3})
            await until(lambda: state.rules is not None and state.rules.version == 3)
            assert (await fleet.ask("/draft/1")).status == 200
            assert state.models["e1"].caches(PART)

    play(scenario())
