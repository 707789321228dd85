"""Endpoints that start again under their name: nothing of one life is believed of the next."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from gateway_site import Answer, Fleet, configuration, play, until

from tamarack_core.endpoint_book import DOUBTED_MS, Endpoint, EndpointBook
from tamarack_core.prompt import PromptPart
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.outbox import Placed, Placements, Seen
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import BORN_MS, PlatformWorker, Script

STREAM = Script(events=5)
NEXT_MS = BORN_MS + 60_000
PART = PromptPart("m/aa", 200)


def entry(name: str, life: int | None, *, draining: bool = False) -> Endpoint:
    return Endpoint(name, "pool", f"{name}:1", "a", 64, draining, life)


def life_of(state: FleetState, name: str) -> int | None:
    endpoint = state.book.find(name)
    return endpoint.life if endpoint is not None else None


async def start_again(fleet: Fleet, worker: PlatformWorker, service: str, **more: Any) -> None:
    """Enter the next life of a worker, and wait until the router knows of it."""
    worker.born = NEXT_MS
    await fleet.store.put("servers", worker.name, {**worker.entry(service), **more})
    await until(lambda: life_of(fleet.gateway.state, worker.name) == NEXT_MS)


# what the list tells


def test_a_late_write_of_an_older_life_does_not_replace_the_known_one() -> None:
    """Symptom: an endpoint that is ready gets no work for a heartbeat's time.

    Sequence: an endpoint that drains ends and starts again; a write of its former life is done
    after those of the present one. Cause: the last entry counted, of whichever life.
    """
    book = EndpointBook(kept_ms=1_700.0)
    book.put(entry("e1", 2), 0.0)
    book.put(entry("e1", 1, draining=True), 100.0)
    assert book.usable("pool") == [entry("e1", 2)]
    book.replace([entry("e1", 1)], 200.0, keep_until_ms=-1.0)
    assert book.find("e1") == entry("e1", 2)
    book.put(entry("e1", 2), 1_200.0)
    assert book.next_expiry_ms is None
    book.expire(1e9)
    assert book.find("e1") == entry("e1", 2)


def test_an_endpoint_whose_clock_was_set_back_is_believed_after_a_while() -> None:
    """Symptom: an endpoint that drains gets new work until it ends.

    Sequence: its clock is set back and it starts again, so that the present life looks older than
    the one before; later it drains. Cause: entries of older lives were left aside for good.
    """
    book = EndpointBook(kept_ms=1_700.0)
    book.put(entry("e1", 2), 0.0)
    book.put(entry("e1", 1), 100.0)
    book.put(entry("e1", 1), 1_300.0)
    assert book.next_expiry_ms == 100.0 + DOUBTED_MS
    assert book.expire(100.0 + DOUBTED_MS) == []
    assert book.find("e1") == entry("e1", 1)
    book.put(entry("e1", 1, draining=True), 9_000.0)
    assert book.usable("pool") == []


def test_an_endpoint_that_drained_takes_work_in_its_next_life() -> None:
    book = EndpointBook(kept_ms=1_700.0)
    book.put(entry("e1", 1, draining=True), 0.0)
    book.put(entry("e1", 2), 100.0)
    assert book.usable("pool") == [entry("e1", 2)]


def test_endpoints_that_tell_no_life_are_used() -> None:
    """Symptom: a router serves nobody though all endpoints are there.

    Sequence: endpoints of a deployment tell no life. Cause: their entries counted as unreadable.
    """

    async def story() -> None:
        async with Fleet({"web": [PlatformWorker("w1", born=None)]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 200

    play(story())


# what is believed


def test_nothing_is_believed_of_a_new_life() -> None:
    """Symptom: requests go to an engine for parts that it no longer keeps, or avoid a sound one.

    Sequence: an endpoint ends and starts again under its name before its entry lapses. Cause: what
    was known was kept by the name.
    """

    async def story() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state
            assert (await fleet.ask("/draft/1")).status == 200
            model, record = state.models["e1"], state.records["e1"]
            assert model.keeps(PART)
            model.seen_elsewhere(900.0, 3.0, state.clock.now_ms)
            record.failed(state.clock.now_ms, 3.0)
            await start_again(fleet, engine, "pool")
            now_ms = state.clock.now_ms
            model, record = state.models["e1"], state.records["e1"]
            assert not model.keeps(PART)
            assert (model.wait_ms(now_ms), model.pace(now_ms)) == (0.0, 1.0)
            assert (record.failures(now_ms), record.outstanding) == (0.0, 0)

    play(story())


def test_what_routers_tell_counts_for_the_life_that_it_speaks_of() -> None:
    """Symptom: an engine that has just started draws requests for parts that it does not keep.

    Sequence: it starts again; another router's message about its former life comes later, or one
    about a life that this router has not heard of. Cause: messages named the endpoint only.
    """

    async def story() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state

            def told(life: int | None) -> bool:
                placed = Placed("e1", 400.0, [PART], life)
                seen = Seen("e1", 800.0, 4.0, life)
                fleet.gateway.state.take_placements(Placements([placed], {}, [seen]))
                model, now_ms = state.models["e1"], state.clock.now_ms
                return model.keeps(PART) or model.wait_ms(now_ms) > 0 or model.pace(now_ms) > 1

            assert not told(NEXT_MS)
            await start_again(fleet, engine, "pool")
            assert not told(BORN_MS)
            assert not told(None)
            assert told(NEXT_MS)

    play(story())


def test_a_router_tells_of_the_life_that_it_sent_to() -> None:
    async def story() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            told: list[Placements] = []
            take = fleet.gateway._outbox.take

            def taken() -> Placements | None:
                placements = take()
                if placements is not None:
                    told.append(placements)
                return placements

            fleet.gateway._outbox.take = taken  # type: ignore[method-assign]
            await start_again(fleet, engine, "pool")
            assert (await fleet.ask("/draft/1")).status == 200
            await until(lambda: any(placements.seen for placements in told))
            speaks_of = {each.key for p in told for each in (*p.placed, *p.seen)}
            assert speaks_of == {("e1", NEXT_MS)}

    play(story())


def test_a_send_of_the_former_life_leaves_the_counts_of_the_next_alone() -> None:
    """Symptom: an endpoint looks idle while it works, or failing though it never failed.

    Sequence: a request runs as its endpoint ends and starts again; the next life gets a request,
    and the first one's connection breaks then. Cause: the end was noted by the endpoint's name.
    """

    async def story() -> None:
        first, second = PlatformWorker("w1", Script(reset=True)), PlatformWorker("w1", born=NEXT_MS)
        first.answering.clear()
        second.answering.clear()
        async with Fleet({"web": [first]}) as fleet, second:
            old = asyncio.ensure_future(fleet.ask("/page/1"))
            await until(lambda: len(first.arrived) == 1)
            await start_again(fleet, second, "web")
            new = asyncio.ensure_future(fleet.ask("/page/2"))
            await until(lambda: len(second.arrived) == 1)
            first.answering.set()
            assert (await old).status == 502
            record = fleet.gateway.state.records["w1"]
            assert (record.outstanding, record.failures(fleet.gateway.state.clock.now_ms)) == (1, 0)
            second.answering.set()
            assert (await new).status == 200

    play(story())


def test_connections_of_the_former_life_are_not_used_for_the_next() -> None:
    """Symptom: the first requests to an endpoint that has started again fail, and may have run.

    Sequence: an endpoint ends without a sign and starts again at its address. Cause: idle
    connections were kept by the address.
    """

    async def story() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet, FaultProxy(worker.address) as link:
            await start_again(fleet, worker, "web", address=link.address)
            assert (await fleet.ask("/page/1")).status == 200
            link.silence_open()
            born = {"born": NEXT_MS + 1, "address": link.address}
            await fleet.store.put("servers", "w1", {**worker.entry("web"), **born})
            await until(lambda: life_of(fleet.gateway.state, "w1") == NEXT_MS + 1)
            assert (await fleet.ask("/page/2")).status == 200
            await until(lambda: not fleet.gateway._pool.idle(("w1", NEXT_MS)))

    play(story())


def test_the_cache_of_another_life_is_not_taken_for_the_present_one() -> None:
    """Symptom: requests go to an engine for parts that it does not keep.

    Sequence: a router starts; an engine ends between its entry and the question what it keeps, and
    the answer tells of another life. Cause: the answer was taken in by the engine's name.
    """

    async def story() -> None:
        other, same = PlatformWorker("e1", STREAM), PlatformWorker("e2", STREAM)
        other.kept = same.kept = [("aa", 200)]
        async with Fleet({"pool": [other, same]}) as fleet:
            other.born = NEXT_MS
            async with fleet.router("router-2") as router:
                await until(lambda: router.state.ready)
                await until(lambda: router.state.models["e2"].keeps(PART))
                await until(lambda: router._inventory.done)
                assert not router.state.models["e1"].keeps(PART)

    play(story())


# requests that run as a life ends


@contextmanager
def lives(script: Script) -> Iterator[tuple[PlatformWorker, PlatformWorker]]:
    """A worker that holds requests until the router knows of the next life, and that one."""
    first = PlatformWorker("w1", script)
    first.answering.clear()
    yield first, PlatformWorker("w1", STREAM if script.events else Script(), born=NEXT_MS)


async def ask_across(
    path: str, service: str, first: PlatformWorker, second: PlatformWorker
) -> Answer:
    """Send a request to the first life and break it off once the router knows of the second."""
    async with Fleet({service: [first]}) as fleet, second:
        answer = asyncio.ensure_future(fleet.ask(path))
        await until(lambda: len(first.arrived) == 1)
        await start_again(fleet, second, service)
        first.answering.set()
        return await answer


@pytest.mark.parametrize(
    ("path", "service", "script"),
    [
        ("/page/1", "web", Script(reset=True)),
        ("/rewrite/1", "pool", Script(events=5, reset=True)),
    ],
)
def test_what_ran_once_in_the_former_life_is_not_run_in_the_next(
    path: str, service: str, script: Script
) -> None:
    """Symptom: a request that may run once runs twice, or is told as not run and has run.

    Sequence: it was sent to an endpoint that then ended and started again under its name. Cause:
    the next life knows nothing of it, and does not refuse it.
    """

    async def story() -> None:
        with lives(script) as (first, second):
            assert (await ask_across(path, service, first, second)).status == 502
            assert len(second.arrived) == 0

    play(story())


def test_a_stream_that_began_in_the_former_life_is_cut() -> None:
    async def story() -> None:
        with lives(Script(events=5, cut_after=2)) as (first, second):
            answer = await ask_across("/rewrite/1", "pool", first, second)
            assert (answer.status, answer.whole) == (200, False)
            assert len(second.arrived) == 0

    play(story())


def test_an_idempotent_request_goes_on_at_the_next_life() -> None:
    """Symptom: an idempotent request fails though its endpoint is back and it has a try left.

    Sequence: the only endpoint ends and starts again under its name. Cause: what was tried was
    remembered by the endpoint's name.
    """

    async def story() -> None:
        with lives(Script(reset=True)) as (first, second):
            assert (await ask_across("/search/1", "web", first, second)).status == 200
            assert len(second.arrived) == 1

    play(story())


def test_a_resumable_stream_goes_on_at_the_next_life_after_its_last_event() -> None:
    async def story() -> None:
        with lives(Script(events=5, cut_after=2)) as (first, second):
            answer = await ask_across("/draft/1", "pool", first, second)
            assert (answer.status, answer.whole) == (200, True)
            assert [line for line in answer.body.decode().split("\n") if line[:2] == "id"] == [
                f"id: {number}" for number in range(1, 6)
            ]
            assert second.arrived[0].headers["last-event-id"] == "2"

    play(story())


# services that are not known yet, or change


def test_a_model_has_the_size_that_the_configuration_in_force_tells() -> None:
    """Symptom: a router takes parts for kept that have yielded.

    Sequence: an engine is listed before the configuration names its service, or a version changes
    what engines of the service hold. Cause: the model was made once, when the engine was first
    seen, with a size of its own where none was known.
    """

    async def story() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"later": [engine]}) as fleet:
            state = fleet.gateway.state
            assert (await fleet.ask("/draft/1")).status == 503
            assert engine.arrived == []
            value = configuration(2)
            value["routes"][2]["service"] = "later"
            value["services"].append({"name": "later", "engine": {"kvCapacityTokens": 100}})
            await fleet.store.put("op", "config", value)
            await until(lambda: state.rules is not None and state.rules.version == 2)
            assert (await fleet.ask("/draft/1")).status == 200
            assert not state.models["e1"].keeps(PART)
            value["services"][-1]["engine"]["kvCapacityTokens"] = 100_000
            await fleet.store.put("op", "config", {**value, "version": 3})
            await until(lambda: state.rules is not None and state.rules.version == 3)
            assert (await fleet.ask("/draft/1")).status == 200
            assert state.models["e1"].keeps(PART)

    play(story())
