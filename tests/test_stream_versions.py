"""A stream goes on only at the software version that began it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from gateway_site import Fleet, play, until
from versioned_pool import (
    STREAMS,
    Stream,
    begin_streams,
    begun_after,
    end_one_of_each,
    engines,
    later_routers,
    mixed,
    of_version,
    ready_router,
    received_by,
    rejecting_fleet,
    remembered,
    send_once,
    take_all_up,
    until_recorded,
    versioned_fleet,
)

from tamarack_core.endpoint_registry import Endpoint, EndpointRegistry
from tamarack_core.relay_plan import SMALL_FLEET
from tamarack_standins.platform_worker import PlatformWorker, Script

# within one answer


def test_a_router_goes_on_with_a_stream_at_the_version_that_began_it() -> None:
    """Failure: after an engine breaks off, its streams go on at engines of another version."""

    async def scenario() -> None:
        async with Fleet({"pool": engines(v1=2, v2=2)}) as fleet:
            streams = await begin_streams(fleet)
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_router_cuts_a_stream_when_no_other_engine_has_its_version() -> None:
    """Failure: with one engine of each version left, a stream goes on at the other version."""

    async def scenario() -> None:
        pool = engines(v1=1, v2=1)
        async with Fleet({"pool": pool}) as fleet:
            streams = await begin_streams(fleet)
            assert mixed(streams) == []
            assert not any(stream.answers[0].whole for stream in streams)
            assert sum(worker.resumed for worker in pool) == 0

    play(scenario())


def test_an_endpoint_is_another_one_when_its_software_version_changes() -> None:
    """Failure: an entry without an incarnation changes its version between choice and send."""
    registry = EndpointRegistry(kept_ms=1_000.0)
    old = Endpoint("e1", "pool", "127.0.0.1:1", "a", 4, False, software_version="v1")
    registry.put(old, 0.0)
    assert registry.is_usable(old)
    registry.put(old._replace(software_version="v2"), 1.0)
    assert not registry.is_usable(old)


# taken up by callers


@pytest.mark.parametrize("taker", ["the same", "another", "one that has just started"])
def test_a_stream_is_taken_up_at_the_version_that_began_it(taker: str) -> None:
    """Failure: the router at which a caller goes on knows nothing of the stream's version."""

    async def scenario() -> None:
        async with versioned_fleet(routers=2, v1=2, v2=2) as (fleet, pool):
            streams = await begin_streams(fleet)
            await end_one_of_each(fleet, pool)
            if taker == "one that has just started":
                await fleet.add_routers(1)
            await take_all_up(
                streams, at=fleet.gateway if taker == "the same" else fleet.others[-1]
            )
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_streams_of_a_router_that_has_stopped_are_taken_up_at_their_version() -> None:
    """Failure: what a router knew of its streams is lost with it."""

    async def scenario() -> None:
        async with versioned_fleet(routers=2, v1=2, v2=2) as (fleet, pool):
            async with ready_router(fleet, "router-9") as ended:
                await fleet.until_acquainted(ended)
                streams = await begin_streams(fleet, at=ended)
            await end_one_of_each(fleet, pool)
            await take_all_up(streams, at=fleet.others[-1])
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_streams_are_taken_up_at_their_version_in_a_fleet_with_relays() -> None:
    """Failure: only the relays of a large fleet know of a stream, and nobody asks them."""

    async def scenario() -> None:
        pool = engines(v1=2, v2=2)
        async with Fleet({"pool": pool}) as fleet, contextlib.AsyncExitStack() as stack:
            routers = [
                await stack.enter_async_context(fleet.router(f"router-{n}", domain="ab"[n % 2]))
                for n in range(2, SMALL_FLEET + 3)
            ]
            await until(lambda: sum(router._peers.relays for router in routers) >= 2)
            await fleet.until_acquainted(*routers)
            ended, taker = [router for router in routers if not router._peers.relays][:2]
            await send_once(fleet, *routers)
            streams = await begin_streams(fleet, at=ended)
            relays = [router for router in routers if router._peers.relays]
            await until(lambda: all(remembered(relay) >= STREAMS for relay in relays))
            await ended.__aexit__(None, None, None)
            await end_one_of_each(fleet, pool)
            await take_all_up(streams, at=taker)
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_stream_is_taken_up_twice_at_the_version_that_began_it() -> None:
    """Failure: the second take-up names the first attempt, and goes on at another version."""

    async def scenario() -> None:
        async with versioned_fleet(routers=1, v1=2, v2=2) as (fleet, pool):
            streams = await begin_streams(fleet)
            for worker in pool:
                worker.breaks_after = 5
            await take_all_up(streams, at=fleet.others[0])
            assert {len(stream.versions) for stream in streams} == {5}
            await take_all_up(streams)
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_stream_whose_version_has_gone_is_refused_at_once() -> None:
    """Failure: callers go on at another version, or wait for one that is not coming back."""

    async def scenario() -> None:
        async with versioned_fleet(v1=2, v2=2) as (fleet, pool):
            streams = await begin_streams(fleet)
            began = [stream for stream in streams if stream.versions[0] == "v1"]
            for worker in of_version(pool, "v1"):
                await worker.end()
                await fleet.store.remove("servers", worker.name)
            registry = fleet.gateway.state.registry
            await until(lambda: len(registry.usable("pool")) == 2)
            await take_all_up(began)
            assert began
            assert [stream.answers[-1].status for stream in began] == [503] * len(began)
            assert sum(worker.resumed for worker in pool) == 0

    play(scenario())


@pytest.mark.parametrize(
    "resumes", ["never-sent", "", "\xff\xfe,;"], ids=["never sent", "not named", "unreadable"]
)
def test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve(resumes: str) -> None:
    """Failure: a router that does not know where a stream began guesses a version."""

    async def scenario() -> None:
        async with versioned_fleet(routers=1, v1=2, v2=2) as (fleet, pool):
            streams = await begin_streams(fleet)
            await take_all_up(streams, at=fleet.others[0], resumes=resumes)
            assert [stream.answers[-1].status for stream in streams] == [503] * STREAMS
            assert sum(worker.resumed for worker in pool) == 0

    play(scenario())


def test_streams_are_taken_up_at_their_version_while_the_store_is_silent() -> None:
    """Failure: routers tell each other of streams only by way of the store."""

    async def scenario() -> None:
        async with versioned_fleet(routers=1, v1=2, v2=2) as (fleet, pool):
            fleet.store.silent = True
            streams = await begin_streams(fleet)
            await end_one_of_each(fleet, pool)
            await take_all_up(streams, at=fleet.others[0])
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


# a service with one version, and its second one


def test_streams_that_began_before_the_second_version_are_taken_up_at_the_first() -> None:
    """Failure: while there was one version, nobody was told of the streams that it began."""

    async def scenario() -> None:
        pool, newer = engines(v1=2), engines(v2=2)
        async with Fleet({"pool": pool}) as fleet, later_routers(fleet, 2) as (first, second):
            await send_once(fleet, first, second)
            streams = await begin_streams(fleet, at=first)
            await until(lambda: remembered(second) >= STREAMS)
            assert not second.state.software_versions.several("pool")
            for worker in newer:
                await fleet._stack.enter_async_context(worker)
                await fleet.store.put("servers", worker.name, worker.entry("pool"))
            await until(lambda: second.state.software_versions.several("pool"))
            await end_one_of_each(fleet, pool)
            await take_all_up(streams, at=second)
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_streams_of_a_router_that_lost_power_before_the_second_version_are_taken_up() -> None:
    """Guards against streams that are refused everywhere, as their router told nobody of them."""

    async def scenario() -> None:
        pool, newer = engines(v1=2), engines(v2=2)
        async with Fleet({"pool": pool}) as fleet, later_routers(fleet, 2) as (first, second):
            await send_once(fleet, first, second)
            streams = await begin_streams(fleet, at=first)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await until(lambda: remembered(second) >= STREAMS)
            await first.__aexit__(None, None, None)
            for worker in newer:
                await fleet._stack.enter_async_context(worker)
                await fleet.store.put("servers", worker.name, worker.entry("pool"))
            await until(lambda: second.state.software_versions.several("pool"))
            await take_all_up(streams, at=second)
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_router_out_of_touch_does_not_take_its_only_version_for_certain() -> None:
    """Failure: a router that cannot learn of a second version goes on with its streams."""

    async def scenario() -> None:
        async with Fleet({"pool": engines(v1=2)}) as fleet, later_routers(fleet, 1) as (router,):
            await send_once(fleet, router)
            streams = await begin_streams(fleet, at=router)
            await take_all_up(streams, at=router, resumes="never-sent")
            assert all(stream.whole for stream in streams)
            await fleet.gateway.__aexit__(None, None, None)
            streams = await begin_streams(fleet, at=router)
            fleet.store.silent = True
            router._clock.ahead_ms += 4_000.0
            await take_all_up(streams, at=router, resumes="never-sent-either")
            assert [stream.answers[-1].status for stream in streams] == [503] * STREAMS

    play(scenario())


def test_a_router_cut_off_a_moment_ago_does_not_take_its_only_version_for_certain() -> None:
    """Guards against a stream of a new version that goes on at the old one during a cut."""

    async def scenario() -> None:
        async with Fleet({"pool": engines(v1=2)}) as fleet, later_routers(fleet, 1) as (router,):
            await send_once(fleet, router)
            streams = await begin_streams(fleet, at=router)
            fleet.store.silent = True
            await fleet.gateway.__aexit__(None, None, None)
            assert router.state.fresh
            await take_all_up(streams, at=router, resumes="never-sent")
            assert router.state.fresh
            assert [stream.answers[-1].status for stream in streams] == [503] * STREAMS

    play(scenario())


def test_the_only_version_is_certain_while_the_store_is_silent_if_all_routers_vouch() -> None:
    """Guards against take-ups that are refused in each outage of the store."""

    async def scenario() -> None:
        async with Fleet({"pool": engines(v1=2)}) as fleet, later_routers(fleet, 2) as routers:
            await send_once(fleet, *routers)
            streams = await begin_streams(fleet, at=routers[0])
            await until(lambda: fleet.gateway.state.software_versions.complete)
            fleet.store.silent = True
            await take_all_up(streams, at=routers[0], resumes="never-sent")
            assert all(stream.whole for stream in streams)

    play(scenario())


# a stream that begins at its second send


def test_a_router_cut_off_between_two_sends_does_not_go_on_at_the_first() -> None:
    """Guards against a router that takes what it was told of a rejected send for the origin."""

    async def scenario() -> None:
        async with rejecting_fleet(routers=1, after_s=0.5) as (fleet, first):
            (cut_off,) = fleet.others
            begun = asyncio.ensure_future(begin_streams(fleet))
            await until(lambda: len(first.received) > 0)
            # The report that tells of the send has arrived; from now on it hears nothing.
            await asyncio.sleep(0.2)
            cut_off._peers._on_begun = lambda begun: None
            cut_off._inbox.receive_notice = lambda notice: None
            cut_off._peers._on_notice = lambda notice: None
            streams = begun_after(first, await begun)
            assert streams and all(set(stream.versions) == {"v2"} for stream in streams)
            await take_all_up(streams, at=cut_off)
            assert mixed(streams) == []

    play(scenario())


@pytest.mark.parametrize("held_s", [0.0, 0.5])
def test_streams_that_began_at_their_second_send_are_taken_up_there(held_s: float) -> None:
    """Guards against streams that nobody knows, as only their first sends were told."""

    async def scenario() -> None:
        async with rejecting_fleet(routers=1, after_s=held_s) as (fleet, first):
            streams = begun_after(first, await begin_streams(fleet))
            assert streams
            (other,) = fleet.others
            await until(lambda: remembered(other) >= len(streams))
            await fleet.gateway.__aexit__(None, None, None)
            await take_all_up(streams, at=other)
            assert mixed(streams) == []
            assert all(stream.whole for stream in streams)

    play(scenario())


# all routers lost


def test_streams_of_the_only_version_are_taken_up_after_all_routers_were_lost() -> None:
    """Failure: routers that all start anew refuse what their predecessors began, for seconds."""

    async def scenario() -> None:
        async with versioned_fleet(v1=2) as (fleet, pool):
            async with ready_router(fleet, "router-9") as ended:
                streams = await begin_streams(fleet, at=ended)
                await until(lambda: "router-9" in fleet.store.rows("versions"))
                await fleet.gateway.__aexit__(None, None, None)
            async with ready_router(fleet, "router-9") as started:
                await take_all_up(streams, at=started, resumes="")
                assert all(stream.whole for stream in streams)

    play(scenario())


def test_streams_are_taken_up_at_their_version_after_all_routers_were_lost() -> None:
    """Failure: nobody remembers where streams began once all routers were killed together."""

    async def scenario() -> None:
        async with versioned_fleet(v1=2, v2=2) as (fleet, pool):
            async with ready_router(fleet, "router-9") as ended:
                streams = await begin_streams(fleet, at=ended)
                await until_recorded(fleet, streams)
                await fleet.gateway.__aexit__(None, None, None)
            await end_one_of_each(fleet, pool)
            async with ready_router(fleet, "router-10") as started:
                await take_all_up(streams, at=started)
                assert mixed(streams) == []
                assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_stream_that_was_taken_up_outlasts_a_second_loss_of_all_routers() -> None:
    """Guards against streams whose second take-up is refused, as no router names them any more."""

    async def scenario() -> None:
        async with versioned_fleet(v1=2, v2=2) as (fleet, pool):
            for worker in pool:
                worker.breaks_after = 2
            async with ready_router(fleet, "router-9") as ended:
                streams = await begin_streams(fleet, at=ended)
                await until_recorded(fleet, streams)
                await fleet.gateway.__aexit__(None, None, None)
            for worker in pool:
                worker.breaks_after = 4
            async with ready_router(fleet, "router-9") as ended:
                await take_all_up(streams, at=ended)
                begun = [stream for stream in streams if len(stream.versions) == 4]
                assert begun
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        await until_recorded(fleet, begun)
            async with ready_router(fleet, "router-9") as started:
                await take_all_up(begun, at=started)
                assert mixed(begun) == []
                assert all(stream.whole for stream in begun)

    play(scenario())


def test_streams_of_one_version_are_taken_up_after_all_routers_were_lost_and_another_came() -> None:
    """Guards against streams refused everywhere: the second version came while no router ran."""

    async def scenario() -> None:
        pool, newer = engines(v1=2), engines(v2=1)
        async with Fleet({"pool": pool}) as fleet:
            await send_once(fleet)
            async with ready_router(fleet, "router-9") as ended:
                streams = await begin_streams(fleet, at=ended)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        await until_recorded(fleet, streams)
                await fleet.gateway.__aexit__(None, None, None)
            for worker in newer:
                await fleet._stack.enter_async_context(worker)
                await fleet.store.put("servers", worker.name, worker.entry("pool"))
            async with ready_router(fleet, "router-10") as started:
                await take_all_up(streams, at=started)
                assert mixed(streams) == []
                assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_row_does_not_name_the_version_of_a_send_that_was_rejected() -> None:
    """Guards against a stream that goes on at the version of a first send that was rejected."""

    async def scenario() -> None:
        async with rejecting_fleet(after_s=0.0) as (fleet, first):
            async with ready_router(fleet, "router-9") as ended:
                await fleet.gateway.__aexit__(None, None, None)
                first.answering.clear()
                begun = asyncio.ensure_future(begin_streams(fleet, at=ended))
                await until(lambda: len(first.received) > 0)
                held = [f'"{attempt}"'.encode() for attempt in received_by(first)]
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        row = fleet.store.rows
                        await until(lambda: held[0] in row("versions").get("router-9", b""))
                first.answering.set()
                streams = await begun
            streams = begun_after(first, streams)
            assert streams and all(set(stream.versions) == {"v2"} for stream in streams)
            async with ready_router(fleet, "router-10") as started:
                await take_all_up(streams, at=started)
                assert mixed(streams) == []

    play(scenario())


def test_a_row_names_the_version_at_which_a_rejected_stream_began() -> None:
    """Guards against streams that are refused for good, as they were first sent elsewhere."""

    async def scenario() -> None:
        async with rejecting_fleet(after_s=0.1) as (fleet, first):
            async with ready_router(fleet, "router-9") as ended:
                streams = begun_after(first, await begin_streams(fleet, at=ended))
                assert streams
                await until_recorded(fleet, streams)
                await fleet.gateway.__aexit__(None, None, None)
            async with ready_router(fleet, "router-10") as started:
                await take_all_up(streams, at=started)
                assert mixed(streams) == []
                assert all(stream.whole for stream in streams)

    play(scenario())


def test_a_row_that_the_store_lost_with_a_restore_is_written_again() -> None:
    """Failure: the store returns to a copy without a version, and all routers are lost after it."""

    async def scenario() -> None:
        pool = engines(v1=1, v2=1)
        async with Fleet({"pool": pool[:1]}) as fleet:
            rows = fleet.store.rows
            await until(lambda: b"v1" in rows("versions").get("router-1", b""))
            copy = fleet.store.copy()
            await fleet._stack.enter_async_context(pool[1])
            await fleet.store.put("servers", "v2-0", pool[1].entry("pool"))
            await until(lambda: b"v2" in rows("versions")["router-1"])
            await fleet.store.restore(copy)
            assert b"v2" not in rows("versions")["router-1"]
            await until(lambda: b"v2" in rows("versions")["router-1"])

    play(scenario())


@pytest.mark.parametrize("value", [b"\xff", {"versions": 3}, {"versions": {"pool": [1]}}, {}])
def test_a_row_that_cannot_be_read_leaves_a_router_uncertain(value: Any) -> None:
    """Failure: a foreign row ends the task, or is taken for a router that knew nothing."""

    async def scenario() -> None:
        async with Fleet({"pool": engines(v1=2)}) as fleet:
            await fleet.store.put("versions", "foreign", value)
            async with ready_router(fleet, "router-9") as started:
                await fleet.gateway.__aexit__(None, None, None)
                (stream,) = [await Stream(1, fleet).begin(at=started)]
                await stream.take_up(at=started, resumes="never-sent")
                assert stream.answers[-1].status == 503

    play(scenario())


# what goes on as before


def test_a_stream_that_was_admitted_goes_on_though_its_workspace_is_beyond_its_share() -> None:
    """Guards against streams that are refused at each take-up while new ones begin."""

    async def scenario() -> None:
        async with versioned_fleet(v1=2) as (fleet, pool):
            streams = await begin_streams(fleet)
            await end_one_of_each(fleet, pool)
            state = fleet.gateway.state
            await until(lambda: len(state.usable("pool")) == 1)
            now_ms = state.clock.now_ms
            shares = state.shares.of("pool")
            shares.record_service("shop", 1e9, now_ms)
            shares.count("other", 1e9, 1.0, now_ms)
            for model in state.models.values():
                model.add_peer_work(300.0, now_ms)
            new = await fleet.ask("/draft/1", X_Prompt_Prefix="ff:200,b:100")
            assert new.status == 503
            stranger = Stream(STREAMS, fleet)
            await stranger.take_up(resumes="never-sent")
            assert stranger.answers[-1].status == 503
            await streams[0].take_up()
            assert streams[0].whole
            await streams[0].take_up()
            assert streams[0].answers[-1].status == 503

    play(scenario())


def test_streams_of_one_version_are_taken_up_at_any_endpoint() -> None:
    """Failure: callers of a service that has one version are refused."""

    async def scenario() -> None:
        async with versioned_fleet(routers=1, v1=3) as (fleet, pool):
            streams = await begin_streams(fleet)
            await take_all_up(streams, at=fleet.others[0])
            assert all(stream.whole for stream in streams)
            assert all(worker.resumed for worker in pool)

    play(scenario())


def test_an_attempt_with_a_very_long_name_is_served_and_not_remembered() -> None:
    """Failure: callers that choose long names exhaust the memory of all routers."""

    async def scenario() -> None:
        async with versioned_fleet(v1=1, v2=1) as (fleet, _):
            answer = await fleet.ask("/draft/1", X_Attempt_Id="a" * 5_000)
            assert answer.status == 200
            assert remembered(fleet.gateway) == 0

    play(scenario())


def test_a_stream_without_events_begins_at_any_version() -> None:
    """Failure: a stream is tied to the version of an engine that failed before its first event."""

    async def scenario() -> None:
        failing = PlatformWorker("v1-0", Script(reset=True), software_version="v1")
        whole = PlatformWorker("v2-0", Script(events=2), software_version="v2")
        async with Fleet({"pool": [failing, whole]}) as fleet:
            streams = [Stream(number, fleet) for number in range(8)]
            await asyncio.gather(*(stream.begin() for stream in streams))
            assert [stream.answers[0].status for stream in streams] == [200] * 8
            assert failing.received

    play(scenario())
