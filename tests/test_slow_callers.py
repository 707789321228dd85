"""Callers that read their answers slowly, at a router that runs or that is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest
from gateway_site import Fleet, play, until
from slow_caller import SlowCaller

from tamarack_core.service_times import MIN_SAMPLES
from tamarack_standins.platform_worker import PlatformWorker, Script

STEPS_S = 0.3
"""Several checks of a stopping router for requests in progress."""

EVENT = b"x" * 1_000

ANSWERS = {
    "plain, in the transport": (Script(body=b"y" * 1_500_000 + b"end"), "/page/1", b"end"),
    "plain, in the kernel": (Script(body=b"y" * 12_000 + b"end"), "/page/1", b"end"),
    "stream": (Script(events=200, body=EVENT), "/rewrite/1", b"0\r\n\r\n"),
}


async def past_linger(fleet: Fleet) -> None:
    """Wait until the stopping router takes no more requests."""
    await until(lambda: fleet.gateway.state.leaving is not None)
    plan, clock = fleet.gateway.state.leaving, fleet.gateway.state.clock
    assert plan is not None
    await until(lambda: not plan.lingers(clock.now_ms))


@pytest.mark.parametrize(("script", "path", "end"), ANSWERS.values(), ids=ANSWERS.keys())
def test_a_stopping_router_waits_until_callers_have_taken_their_answers(
    script: Script, path: str, end: bytes
) -> None:
    """Guards against an answer cut by a router that ends with its last bytes in a buffer."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", script)
        service = "web" if path.startswith("/page") else "pool"
        async with (
            Fleet({service: [worker]}, address_ttl_ms=50.0) as fleet,
            SlowCaller(fleet.gateway.callers) as caller,
        ):
            await caller.send(fleet.request(path))
            await caller.read(1_000)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await past_linger(fleet)
            await asyncio.wait([leaving], timeout=STEPS_S)
            ended_early = leaving.done()
            assert await caller.read_until(end)
            await leaving
        assert not ended_early

    play(scenario())


AT_EXIT = {
    "plain": (Script(body=b"y" * 150_000), "/page/1", b"y" * 150_000),
    "stream": (Script(events=300, body=EVENT), "/rewrite/1", b"0\r\n\r\n"),
}
"""Answers that fit into the smallest largest send buffer of a usual system."""


@pytest.mark.parametrize(("script", "path", "end"), AT_EXIT.values(), ids=AT_EXIT.keys())
def test_at_the_exit_the_kernel_gets_the_rest_of_an_answer(
    script: Script, path: str, end: bytes
) -> None:
    """Guards against an answer that is ready and dropped by the exit of its router."""

    async def scenario() -> None:
        service = "web" if path.startswith("/page") else "pool"
        worker = PlatformWorker("w1", script)
        fleet = Fleet({service: [worker]}, grace_ms=1_000.0, address_ttl_ms=50.0)
        async with fleet, SlowCaller(fleet.gateway.callers) as caller:
            await caller.send(fleet.request(path))
            await caller.read(1_000)
            await fleet.gateway.leave()
            (connection,) = fleet.gateway._connections
            fleet.gateway._handler.ending = True
            await connection.stop()
            held = connection._transport.get_write_buffer_size() if connection._transport else 0
            assert await caller.read_until(end)
        assert held == 0
        assert not fleet.gateway.state.log.decisions["cut", "the router ends"]

    play(scenario())


def test_an_answer_that_is_not_taken_before_the_exit_is_logged_as_cut(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that is cut at the exit without a line that names it."""
    monkeypatch.setattr("tamarack_gateway.kernel_buffers.largest_send_buffer", lambda: 0)

    async def scenario() -> None:
        worker = PlatformWorker("w1", ANSWERS["stream"][0])
        async with (
            Fleet({"pool": [worker]}, grace_ms=1_000.0, address_ttl_ms=50.0) as fleet,
            SlowCaller(fleet.gateway.callers) as caller,
        ):
            await caller.send(fleet.request("/rewrite/1"))
            await caller.read(1_000)
            await fleet.gateway.leave()
            await fleet.gateway.__aexit__(None, None, None)

    play(scenario())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    (cut,) = [line for line in lines if line["message"] == "request: cut"]
    assert (cut["request"], cut["reason"]) == ("attempt1", "the router ends")
    assert cut["unsent_bytes"] > 0


def test_a_stream_is_remembered_until_its_caller_has_taken_it() -> None:
    """Guards against a take-up that is refused since the router counted the stream as read."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", ANSWERS["stream"][0])
        async with Fleet({"pool": [worker]}) as fleet:
            origins = fleet.gateway._origins._origins
            async with SlowCaller(fleet.gateway.callers) as caller:
                await caller.send(fleet.request("/draft/1"))
                await caller.read(1_000)
                decisions = fleet.gateway.state.log.decisions
                await until(lambda: any(kind == "answered" for kind, _ in decisions))
                assert [attempt for attempt, _ in origins.open_attempts()] == ["attempt1"]
                assert await caller.read_until(b"0\r\n\r\n")
                await until(lambda: not list(origins.open_attempts()))

    play(scenario())


def test_the_next_request_on_a_connection_waits_for_the_answer_before_it() -> None:
    """Guards against answers that pile up for a caller that sends and does not read."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", ANSWERS["plain, in the transport"][0])
        async with Fleet({"web": [worker]}) as fleet, SlowCaller(fleet.gateway.callers) as caller:
            await caller.send(fleet.request("/page/1") + fleet.request("/page/2"))
            await caller.read(1_000)
            await asyncio.sleep(STEPS_S)
            received = len(worker.received)
            while len(caller.received) < 3_000_000:
                assert await caller.read()
        assert received == 1

    play(scenario())


def test_expected_durations_contain_the_time_that_callers_take_to_read() -> None:
    """Guards against a stopping router that takes a request whose caller reads beyond its exit."""
    limit_ms, read_after_s = 4_000.0, 0.2

    async def scenario() -> None:
        worker = PlatformWorker("w1", ANSWERS["plain, in the transport"][0])
        async with Fleet({"web": [worker]}) as fleet, contextlib.AsyncExitStack() as stack:
            state = fleet.gateway.state
            callers = [SlowCaller(fleet.gateway.callers) for _ in range(MIN_SAMPLES)]
            for caller in callers:
                await stack.enter_async_context(caller)
                await caller.send(fleet.request("/page/1"))
            await until(lambda: len(worker.received) == MIN_SAMPLES)
            await asyncio.sleep(read_after_s)
            await asyncio.gather(*(caller.read_until(b"end") for caller in callers))

            def longest_ms() -> float:
                return state.times("web").longest_answer_ms(limit_ms, state.clock.now_ms)

            await until(lambda: longest_ms() < limit_ms)
            assert longest_ms() >= read_after_s * 1_000.0

    play(scenario())
