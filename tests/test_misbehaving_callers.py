"""Routers of the gateway beside callers that don't behave: real processes with lowered limits."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from gateway_site import HOST, Fleet, connect, read_answer
from misbehaving_callers import (
    BODY_BYTES,
    HEADER_BYTES,
    SENDABLE_BYTES,
    SHAPES,
    SHORT_HEADER,
    Shape,
    crowd,
)
from router_process import router_process

from tamarack_gateway.event_loop import new_event_loop
from tamarack_standins.claimed_ports import METRICS_PORT
from tamarack_standins.platform_worker import PlatformWorker
from tamarack_standins.process_usage import ProcessUsage
from tamarack_standins.soak_routers import SoakRouters

MEMORY_MB = 160
"""Memory that the settings allow the router; its platform would end it beyond that."""

DESCRIPTORS = 400
"""Descriptors that the settings allow the router."""

TEST_TIMEOUT_S = 60.0

MANY = 400
"""Connections that are more than the descriptors allow."""

OPENING = (
    f"POST /page/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 4000\r\n".encode()
)

UNFINISHED = {
    "silent": Shape(b"", bare=True, callers=MANY),
    "half a head": Shape(b"", callers=MANY),
    "half a body": Shape(b"content-length: 10\r\n\r\nx", callers=MANY),
    "half a chunk": Shape(b"transfer-encoding: chunked\r\n\r\n10\r\nx", callers=MANY),
}
"""Requests that hold a connection open and almost nothing else."""

PIPELINED = Shape(
    b"", OPENING + b"content-length: 1\r\n\r\nx", SENDABLE_BYTES, bare=True, callers=24
)


class Router(NamedTuple):
    """A router's process, and the requests for it."""

    routers: SoakRouters
    requests: Fleet

    @property
    def usage(self) -> ProcessUsage:
        """What the process holds; the test fails if it has ended."""
        usage = self.routers.usage(0)
        assert usage is not None, "the router has ended"
        return usage

    def address(self, listener: str) -> str:
        """Address of one of the router's listeners."""
        if listener == "operators":
            host, _, _ = self.routers.address(0).rpartition(":")
            return f"{host}:{METRICS_PORT}"
        offset = ["callers", "readiness", "directory", "peers"].index(listener)
        return self.routers.address(0, offset)

    async def status(self, listener: str) -> int:
        """Status of the answer to one ordinary request on a new connection."""
        requests = {
            "callers": self.requests.request("/page/2"),
            "readiness": get("/api/ready"),
            "directory": get(f"/api/resolve?name={HOST}&region=r&zone=zone-0"),
            "operators": get("/metrics"),
        }
        reader, writer = await connect(self.address(listener))
        try:
            writer.write(requests[listener])
            return (await read_answer(reader)).status
        finally:
            writer.close()


INSIDE_LIMITS = {
    "a body of one-byte chunks": b"transfer-encoding: chunked\r\n\r\n"
    + b"1\r\nx\r\n" * BODY_BYTES
    + b"0\r\n\r\n",
    "a head of short lines": SHORT_HEADER * (HEADER_BYTES // 2 // len(SHORT_HEADER))
    + b"content-length: 1\r\n\r\nx",
    "a body in one chunk": b"transfer-encoding: chunked\r\n\r\n"
    + b"%x\r\n" % BODY_BYTES
    + b"x" * BODY_BYTES
    + b"\r\n0\r\n\r\n",
}

UNFRAMED = ("header line without end", "header lines without end", "request line without end")
"""Bytes that the first version of the routers' own protocol takes for parts of a message."""


def get(target: str) -> bytes:
    """Bytes of a request without a body."""
    return f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def router(folder: Path) -> AsyncIterator[Router]:
    """Run a router as a process, before one endpoint."""
    async with router_process(
        folder,
        {"web": [PlatformWorker("w1")]},
        caller_limits={"maxHeaderBytes": HEADER_BYTES, "maxBodyBytes": BODY_BYTES},
        process_limits={"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS},
    ) as routers:
        yield Router(routers, Fleet({}))


def play(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine with a timeout."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


async def check(tested: Router, listener: str, opening: bytes, *shapes: Shape) -> list[int]:
    """Send shapes and check what must hold; returns the bytes that each caller could send."""
    asked = "callers" if listener == "peers" else listener
    async with crowd(tested.address(listener), opening, *shapes) as callers:
        assert await tested.status(asked) == 200
        usage = tested.usage
        assert usage.peak_bytes < MEMORY_MB * 1_000_000
        assert usage.descriptors < DESCRIPTORS
    assert await tested.status(asked) == 200
    return callers.sent


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES.keys())
def test_callers_that_do_not_behave_leave_the_router_to_others(
    shape: Shape, tmp_path: Path
) -> None:
    """Guards against bytes of a few callers that fill a router's memory or are read for ever."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            sent = await check(tested, "callers", OPENING, shape)
            assert not shape.endless or max(sent) < SENDABLE_BYTES

    play(scenario())


@pytest.mark.parametrize("shape", UNFINISHED.values(), ids=UNFINISHED.keys())
def test_connections_that_stay_open_leave_room_for_others(shape: Shape, tmp_path: Path) -> None:
    """Guards against unfinished requests that take all connections of a router."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            await check(tested, "callers", OPENING, shape)

    play(scenario())


@pytest.mark.parametrize("rest", INSIDE_LIMITS.values(), ids=INSIDE_LIMITS.keys())
def test_a_single_request_inside_the_limits_is_served(rest: bytes, tmp_path: Path) -> None:
    """Guards against a request that is refused since its own reading delays the event loop."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            for _ in range(3):
                reader, writer = await connect(tested.address("callers"))
                writer.write(OPENING + rest)
                assert (await read_answer(reader)).status == 200
                writer.close()

    play(scenario())


def test_pipelined_requests_whose_answers_nobody_reads(tmp_path: Path) -> None:
    """Guards against requests in one packet that each cost far more memory than their bytes."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            await check(tested, "callers", b"", PIPELINED)

    play(scenario())


def test_a_large_request_is_served_beside_unfinished_ones(tmp_path: Path) -> None:
    """Guards against bodies that stop short and hold a router's memory until they are given up."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            unfinished = SHAPES["large chunks that stop short"]._replace(callers=MANY // 8)
            async with crowd(tested.address("callers"), OPENING, unfinished):
                request = tested.requests.request("/page/2", body=bytes(BODY_BYTES))
                reader, writer = await connect(tested.address("callers"))
                writer.write(request)
                assert (await read_answer(reader)).status == 200
                writer.close()

    play(scenario())


@pytest.mark.parametrize("shape", [SHAPES[name] for name in UNFRAMED], ids=UNFRAMED)
def test_bytes_to_the_listener_for_routers(shape: Shape, tmp_path: Path) -> None:
    """Guards against callers who send to the address of other routers, and fill the memory."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            await check(tested, "peers", OPENING, shape)

    play(scenario())


@pytest.mark.parametrize("listener", ["readiness", "directory", "operators"])
def test_other_listeners_beside_callers_that_do_not_behave(listener: str, tmp_path: Path) -> None:
    """Guards against limits that hold on the listener for callers alone."""

    async def scenario() -> None:
        async with router(tmp_path) as tested:
            shapes = [shape._replace(callers=2) for shape in SHAPES.values()]
            await check(tested, listener, OPENING, *shapes)
            assert await tested.status("callers") == 200

    play(scenario())
