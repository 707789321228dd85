"""Callers that stop reading or sending, for good or for a while, at a router that runs."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import Fleet, connect, play, read_answer, until
from slow_caller import SlowCaller

from tamarack_gateway import caller_connection
from tamarack_gateway.caller_connection import WRITE_HIGH_BYTES
from tamarack_gateway.request_queue import MAX_PENDING
from tamarack_standins.platform_worker import PlatformWorker, Script

STALLED_MS = 1_500.0
"""Time without progress after which a router gives a connection up, in these tests."""

TAKEN_S = 0.5
"""Time in which a router that reads takes a request."""

LARGE = b"y" * 1_500_000


@pytest.fixture(autouse=True)
def _short_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_connection, "STALLED_MS", STALLED_MS)


STALLED = {
    "whole answer": (Script(body=LARGE), "/page/1", "4000"),
    "stream cut at its deadline": (Script(events=1_500, body=b"x" * 1_000), "/rewrite/1", "300"),
}


@pytest.mark.parametrize(("script", "path", "deadline"), STALLED.values(), ids=STALLED.keys())
def test_a_caller_that_never_reads_its_answer_is_given_up(
    script: Script, path: str, deadline: str
) -> None:
    """Guards against a connection and its buffers that a caller keeps forever by not reading."""

    async def scenario() -> None:
        service = "web" if path.startswith("/page") else "pool"
        worker = PlatformWorker("w1", script)
        async with Fleet({service: [worker]}) as fleet, SlowCaller(fleet.gateway.callers) as caller:
            await caller.send(fleet.request(path, X_Deadline_Ms=deadline))
            await until(lambda: bool(worker.received))
            await until(lambda: not fleet.gateway._connections)

    play(scenario())


def test_a_caller_that_stops_in_a_body_is_refused() -> None:
    """Guards against a connection that a caller keeps forever by not sending the rest."""

    async def scenario() -> None:
        async with (
            Fleet({"web": [PlatformWorker("w1")]}) as fleet,
            SlowCaller(fleet.gateway.callers) as caller,
        ):
            await caller.send(fleet.request("/page/1", body=b"y" * 100)[:-1])
            await until(lambda: bool(fleet.gateway._connections))
            async with asyncio.timeout(10):
                assert await caller.read_until(b"\r\n\r\n")
            assert caller.received.startswith(b"HTTP/1.1 408 ")
            await until(lambda: not fleet.gateway._connections)

    play(scenario())


async def fill(caller: SlowCaller, data: bytes, pieces: int) -> int:
    """Send pieces one after another, as far as the other end takes them; returns how many it took.

    The kernel takes some of them, too.
    """
    for sent in range(pieces):
        try:
            async with asyncio.timeout(TAKEN_S):
                await caller.send(data)
        except TimeoutError:
            return sent
    return pieces


def test_requests_that_are_read_behind_one_in_progress_are_bounded() -> None:
    """Guards against memory that a caller fills with requests behind one that runs."""
    body = b"y" * 90_000

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(silent=True))
        async with Fleet({"web": [worker]}) as fleet, SlowCaller(fleet.gateway.callers) as caller:
            await caller.send(fleet.request("/page/1"))
            await until(lambda: bool(worker.received))
            (connection,) = fleet.gateway._connections
            await fill(caller, fleet.request("/page/2", body=body), 100)
            assert len(connection._pending) <= 2 * MAX_PENDING

    play(scenario())


def test_requests_behind_a_full_queue_are_all_answered() -> None:
    """Guards against requests that are not read again after a pause."""
    count = 5 * MAX_PENDING

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(pause_s=0.01))
        async with Fleet({"web": [worker]}) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            body = b"y" * 60_000
            writer.writelines(fleet.request("/page/1", body=body) for _ in range(count))
            answers = [await read_answer(reader) for _ in range(count)]
            writer.close()
        assert {answer.status for answer in answers} == {200}

    play(scenario())


def test_early_refusals_do_not_pile_up_for_a_caller_that_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that a caller of an overloaded router fills with its refusals."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet, SlowCaller(fleet.gateway.callers) as caller:
            monkeypatch.setattr(fleet.gateway._loop_monitor._limit, "_limit", -1.0)
            requests = b"".join(fleet.request("/page/1") for _ in range(200))
            await fill(caller, requests, 100)
            (connection,) = fleet.gateway._connections
            assert connection._transport.get_write_buffer_size() < WRITE_HIGH_BYTES

    play(scenario())


def test_an_endpoint_does_not_count_as_failed_for_a_caller_that_does_not_read() -> None:
    """Guards against endpoints that get less work since callers of theirs stop reading."""

    async def scenario() -> None:
        script, path, deadline = STALLED["stream cut at its deadline"]
        worker = PlatformWorker("w1", script)
        async with Fleet({"pool": [worker]}) as fleet, SlowCaller(fleet.gateway.callers) as caller:
            decisions = fleet.gateway.state.log.decisions
            await caller.send(fleet.request(path, X_Deadline_Ms=deadline))
            await until(lambda: any(kind == "cut" for kind, _ in decisions))
            assert not [reason for kind, reason in decisions if kind == "endpoint failed"]

    play(scenario())


def test_an_endpoint_counts_as_failed_for_a_stream_that_ends_too_late() -> None:
    """Guards against an endpoint that is excused though its caller has read all that came."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(events=100, event_pause_s=0.05))
        async with Fleet({"pool": [worker]}) as fleet:
            answer = await fleet.ask("/rewrite/1", X_Deadline_Ms="300")
            decisions = fleet.gateway.state.log.decisions
            assert not answer.whole
            assert decisions["endpoint failed", "no answer in time"] == 1

    play(scenario())
