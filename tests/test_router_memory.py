"""Memory of a router's process while endpoints or callers send or hold as much as they can."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import pytest
from gateway_site import Answer, Fleet, connect, play, read_answer
from router_process import router_process
from slow_caller import SlowCaller

from tamarack_standins.endless_worker import Endless, EndlessWorker
from tamarack_standins.platform_worker import PlatformWorker, Script

MEMORY_MB = 160
"""Memory that the settings allow the router; its platform would end it beyond that."""

CALLERS = 30
SOUND_CALLERS = 5
PRESSURE_S = 3.0

BODY_BYTES = 8_000_000
"""Size of a large body: thirty of them are more than the router's memory."""


class Router(NamedTuple):
    """A router's process before some endpoints, and the requests for it."""

    address: str
    requests: Fleet
    peak_bytes: Callable[[], int]

    async def ask(self, path: str, body: bytes = b"x") -> Answer | None:
        """Send one request; None if it gets no answer."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await connect(self.address)
            try:
                writer.write(self.requests.request(path, body=body))
                return await read_answer(reader)
            finally:
                writer.close()
        return None


@contextlib.asynccontextmanager
async def router(folder: Path, **services: list[PlatformWorker]) -> AsyncIterator[Router]:
    """Run a router as a process."""
    limits = {"maxBodyBytes": BODY_BYTES}
    memory = {"memoryMb": MEMORY_MB}
    async with router_process(
        folder, services, caller_limits=limits, process_limits=memory
    ) as routers:

        def peak_bytes() -> int:
            usage = routers.usage(0)
            assert usage is not None, "the router has ended"
            return usage.peak_bytes

        yield Router(routers.address(0), Fleet({}), peak_bytes)


async def press(ask: Callable[[], Awaitable[object]], callers: int) -> list[object]:
    """Let callers ask again and again for `PRESSURE_S`; returns what they got."""
    until = asyncio.get_running_loop().time() + PRESSURE_S
    got: list[object] = []

    async def repeat() -> None:
        while asyncio.get_running_loop().time() < until:
            got.append(await ask())

    await asyncio.gather(*(repeat() for _ in range(callers)))
    return got


@pytest.mark.parametrize("endless", [shape for shape in Endless if shape.is_body])
@pytest.mark.parametrize("path", ["/draft/1", "/search/1"])
def test_answers_without_end_do_not_fill_a_router_s_memory(
    path: str, endless: Endless, tmp_path: Path
) -> None:
    """Guards against faulty endpoints that cost a router's memory, and all that it has in hand."""

    async def scenario() -> None:
        faulty: list[PlatformWorker] = [EndlessWorker(f"e{n}", endless) for n in range(6)]
        sound = PlatformWorker("s1", Script(events=3))
        endless_service, sound_service = ("pool", "web") if path == "/draft/1" else ("web", "pool")
        sound_path = "/page/1" if sound_service == "web" else "/draft/1"
        if sound_service == "web":
            sound = PlatformWorker("s1")
        services = {endless_service: faulty, sound_service: [sound]}
        async with router(tmp_path, **services) as tested:
            _, answers = await asyncio.gather(
                press(lambda: tested.ask(path), CALLERS),
                press(lambda: tested.ask(sound_path), SOUND_CALLERS),
            )
            assert tested.peak_bytes() < MEMORY_MB * 1_000_000
            served = [a for a in answers if isinstance(a, Answer) and a.status == 200 and a.whole]
            assert len(served) >= 0.9 * len(answers)

    play(scenario())


def test_large_requests_do_not_fill_a_router_s_memory(tmp_path: Path) -> None:
    """Guards against callers whose requests, each within its limit, exceed the memory together."""

    async def scenario() -> None:
        async with router(tmp_path, web=[PlatformWorker("w1")]) as tested:
            unfinished = [await connect(tested.address) for _ in range(CALLERS)]
            request = tested.requests.request("/page/1", body=bytes(BODY_BYTES))
            for _, writer in unfinished:
                writer.write(request[:-1])
            await asyncio.sleep(PRESSURE_S)
            assert tested.peak_bytes() < MEMORY_MB * 1_000_000
            answer = await tested.ask("/page/2")
            assert answer is not None and answer.status == 200
            for _, writer in unfinished:
                writer.transport.abort()

    play(scenario())


def test_answers_that_callers_do_not_take_do_not_fill_a_router_s_memory(tmp_path: Path) -> None:
    """Guards against callers that do not read large answers, which the router holds for them."""

    async def scenario() -> None:
        large = Script(body=bytes(BODY_BYTES))
        async with (
            router(tmp_path, web=[PlatformWorker("w1", large)]) as tested,
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(CALLERS):
                caller = await stack.enter_async_context(SlowCaller(tested.address))
                await caller.send(tested.requests.request("/page/1"))
            await asyncio.sleep(PRESSURE_S)
            assert tested.peak_bytes() < MEMORY_MB * 1_000_000

    play(scenario())
