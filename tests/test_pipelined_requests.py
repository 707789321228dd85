"""Requests that callers send without waiting for the answer before, at a router that stops."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import Answer, Fleet, connect, play, read_answer, until

from tamarack_standins.platform_worker import PlatformWorker, Script

SCRIPTS = {
    "/page/1": Script(pause_s=0.3),
    "/rewrite/1": Script(events=3, event_pause_s=0.1),
}


async def answers_until_closed(reader: asyncio.StreamReader) -> list[Answer]:
    """All answers of a connection; the last one is truncated if the connection ends inside it."""
    answers = []
    while True:
        try:
            answers.append(await read_answer(reader))
        except asyncio.IncompleteReadError as error:
            assert error.partial == b""
            return answers


async def stop_during_first(
    fleet: Fleet, paths: list[str]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, asyncio.Task[None]]:
    """Send requests at once, and stop the router while the first one runs."""
    reader, writer = await connect(fleet.gateway.callers)
    writer.write(b"".join(fleet.request(path) for path in paths))
    decisions = fleet.gateway.state.log.decisions
    await until(lambda: any(kind == "placed" for kind, _ in decisions))
    leaving = asyncio.ensure_future(fleet.gateway.leave())
    await until(lambda: fleet.gateway.state.leaving is not None)
    return reader, writer, leaving


@pytest.mark.parametrize("path", SCRIPTS)
def test_requests_that_were_read_before_a_stop_are_all_answered(path: str) -> None:
    """Guards against a request that a stopping router has read and never answers."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", SCRIPTS[path])
        service = "web" if path.startswith("/page") else "pool"
        async with Fleet({service: [worker]}, address_ttl_ms=1_000.0) as fleet:
            reader, writer, leaving = await stop_during_first(fleet, [path] * 3)
            answers = await answers_until_closed(reader)
            await leaving
            writer.close()
        assert [(answer.status, answer.whole) for answer in answers] == [(200, True)] * 3
        assert len(worker.received) == 3
        assert answers[-1].headers["connection"] == "close"

    play(scenario())


def test_requests_behind_one_that_outlasts_the_linger_time_are_refused() -> None:
    """Guards against a request that is dropped since its turn comes too late."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(pause_s=1.0))
        async with Fleet({"web": [worker]}, address_ttl_ms=50.0) as fleet:
            reader, writer, leaving = await stop_during_first(fleet, ["/page/1", "/page/2"])
            answers = await answers_until_closed(reader)
            await leaving
            writer.close()
        assert [answer.status for answer in answers] == [200, 503]
        assert len(worker.received) == 1

    play(scenario())


def test_requests_behind_one_that_the_exit_cancels_are_refused() -> None:
    """Guards against a request that is dropped with the one before it."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(pause_s=3.0))
        fleet = Fleet({"web": [worker]}, grace_ms=500.0, address_ttl_ms=50.0)
        async with fleet:
            reader, writer, leaving = await stop_during_first(
                fleet, ["/page/1", "/page/2", "/page/3"]
            )
            await leaving
        answers = await answers_until_closed(reader)
        writer.close()
        assert [answer.status for answer in answers] == [502, 503, 503]
        assert len(worker.received) == 1

    play(scenario())


def test_a_caller_is_told_to_continue_between_two_answers() -> None:
    """Guards against a status line in the middle of the answer before."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(events=5, event_pause_s=0.05))
        async with Fleet({"pool": [worker]}) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            second = fleet.request("/rewrite/2", body=b"abc", Expect="100-continue")
            writer.write(fleet.request("/rewrite/1") + second[:-3])
            first = await read_answer(reader)
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(second[-3:])
            answer = await read_answer(reader)
            writer.close()
        assert (first.whole, answer.whole) == (True, True)
        assert [request.body for request in worker.received] == [b"x", b"abc"]

    play(scenario())
