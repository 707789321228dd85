"""Work that an overloaded router spends on requests that it refuses."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Coroutine
from types import FrameType
from typing import Any

import pytest
from gateway_site import Answer, Fleet, connect, play, read_answer, until

from tamarack_core.concurrency_limit import ConcurrencyLimit
from tamarack_gateway.gateway import Gateway
from tamarack_standins.platform_worker import PlatformWorker, Script

DESCRIPTORS = 40
NEAR_LIMIT = 12
"""Connections from which on a router with `DESCRIPTORS` file descriptors is near its limit."""

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def refuse_all(router: Gateway, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a router refuse every request for overload."""
    monkeypatch.setattr(router._loop_monitor._limit, "_limit", -1.0)


async def ask_on(fleet: Fleet, connection: Connection) -> Answer:
    """Send one request on an open connection."""
    reader, writer = connection
    writer.write(fleet.request("/draft/1"))
    return await read_answer(reader)


async def open_kept(fleet: Fleet, router: Gateway, count: int) -> list[Connection]:
    """Open connections, and have one request refused on each."""
    kept = [await connect(router.callers) for _ in range(count)]
    for connection in kept:
        assert (await ask_on(fleet, connection)).status == 503
    return kept


def test_refused_callers_of_a_crowded_router_reuse_their_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: near its limit of connections a router makes every refused caller connect again."""

    async def run() -> None:
        async with (
            Fleet({"pool": [PlatformWorker("e1")]}) as fleet,
            fleet.router("router-2", descriptors=DESCRIPTORS) as router,
        ):
            await until(lambda: router.state.ready)
            refuse_all(router, monkeypatch)
            kept = await open_kept(fleet, router, NEAR_LIMIT // 2)
            idle = [await connect(router.callers) for _ in range(NEAR_LIMIT // 2)]
            await until(lambda: router._caller_limit.near_limit)
            before = router._caller_limit.counts.accepted
            for number in range(60):
                used = number % len(kept)
                if (await ask_on(fleet, kept[used])).headers.get("connection") == "close":
                    kept[used][1].close()
                    kept[used] = await connect(router.callers)
                retry = await connect(router.callers)
                assert (await ask_on(fleet, retry)).headers.get("connection") == "close"
                retry[1].close()
            # One for each retry; the first tries find the kept connections.
            assert router._caller_limit.counts.accepted - before == 60
            for _, writer in (*kept, *idle):
                writer.close()

    play(run())


def test_a_connection_used_for_the_first_time_closes_near_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: callers that retry on new connections fill the limit with connections they keep."""

    async def run() -> None:
        async with (
            Fleet({"pool": [PlatformWorker("e1")]}) as fleet,
            fleet.router("router-2", descriptors=DESCRIPTORS) as router,
        ):
            await until(lambda: router.state.ready)
            refuse_all(router, monkeypatch)
            idle = [await connect(router.callers) for _ in range(NEAR_LIMIT)]
            await until(lambda: router._caller_limit.near_limit)
            fresh = await connect(router.callers)
            assert (await ask_on(fleet, fresh)).headers["connection"] == "close"
            for _, writer in (*idle, fresh):
                writer.close()

    play(run())


def test_a_refusal_for_overload_starts_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: refusals take the processor from the requests that the router could serve."""

    async def run() -> None:
        engine = PlatformWorker("e1", Script(events=3))
        async with Fleet({"pool": [engine]}) as fleet:
            refuse_all(fleet.gateway, monkeypatch)
            connection = await connect(fleet.gateway.callers)
            assert (await ask_on(fleet, connection)).status == 503
            names: list[str] = []

            def count(
                loop: asyncio.AbstractEventLoop, coroutine: Coroutine[Any, Any, Any], **more: Any
            ) -> asyncio.Task[Any]:
                names.append(coroutine.__qualname__)
                return asyncio.Task(coroutine, loop=loop, **more)

            asyncio.get_running_loop().set_task_factory(count)
            for _ in range(20):
                assert (await ask_on(fleet, connection)).status == 503
            asyncio.get_running_loop().set_task_factory(None)
            assert not [name for name in names if name.startswith("CallerConnection")]
            connection[1].close()

    play(run())


REFUSALS = 200


def ask_repeatedly(address: str, request: bytes, *, new: bool) -> None:
    """Have requests refused one after the other, on one connection or each on a new one."""
    host, _, port = address.rpartition(":")
    for connection in range(REFUSALS if new else 1):
        with socket.create_connection((host, int(port))) as caller:
            for _ in range(1 if new else REFUSALS):
                caller.sendall(request)
                answer = b""
                while b"\r\n\r\n" not in answer:
                    received = caller.recv(4_096)
                    assert received, (connection, answer)
                    answer += received
                assert answer.startswith(b"HTTP/1.1 503"), (connection, answer)


async def calls_of_refusals(fleet: Fleet, *, new: bool) -> int:
    """Function calls in the thread of the router's event loop while requests are refused."""
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    callers, request = fleet.gateway.callers, fleet.request("/draft/1")
    sys.setprofile(count)
    try:
        await asyncio.to_thread(ask_repeatedly, callers, request, new=new)
    finally:
        sys.setprofile(None)
    return calls


def test_a_refused_caller_that_connects_anew_costs_less_than_twice_a_refusal_on_a_kept_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: connecting takes the processor from the requests that the router could serve."""

    async def run() -> None:
        async with Fleet({"pool": [PlatformWorker("e1")]}) as fleet:
            monkeypatch.setattr(ConcurrencyLimit, "least", -1.0)
            monkeypatch.setattr(ConcurrencyLimit, "admits", lambda *_, **__: False)
            kept = await calls_of_refusals(fleet, new=False)
            new = await calls_of_refusals(fleet, new=True)
            assert new <= 2 * kept, (new / REFUSALS, kept / REFUSALS)

    play(run())
