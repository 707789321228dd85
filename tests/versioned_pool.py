"""A pool of engines of several software versions whose streams break off, and callers' take-ups."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

from gateway_site import Answer, Fleet, configuration, until

from tamarack_core.clock import BootClock
from tamarack_core.software_versions import LONGEST_STREAM_MS
from tamarack_gateway.gateway import Gateway
from tamarack_standins.platform_worker import PlatformWorker, ReceivedRequest, Script

EVENTS = 6
BREAK_AFTER = 3
STREAMS = 24


class VersionedWorker(PlatformWorker):
    """An engine whose events name its software version.

    Attributes
    ----------
    breaks_after
        Event after which a stream breaks off; one that goes on after it is completed.
    rejects_after_s
        Time in seconds after which it rejects new streams as not run; None if it accepts them.
    completes
        Returns whether the stream of an attempt does not break off here.
    """

    breaks_after = BREAK_AFTER
    rejects_after_s: float | None = None
    completes: Callable[[str], bool] = staticmethod(lambda attempt: False)

    @property
    def resumed(self) -> int:
        """Number of requests that went on with a stream here."""
        return sum("last-event-id" in received.headers for received in self.received)

    def _next_script(self, received: ReceivedRequest) -> Script:
        if self.rejects_after_s is not None and "last-event-id" not in received.headers:
            return Script(status=503, not_run=True, pause_s=self.rejects_after_s)
        whole = Script(events=EVENTS, tells_version=True)
        goes_on = int(received.headers.get("last-event-id", "0")) >= self.breaks_after
        if goes_on or self.completes(received.headers["x-attempt-id"]):
            return whole
        return whole._replace(cut_after=self.breaks_after)


def engines(**counts: int) -> list[VersionedWorker]:
    """Engines by software version; `v1=2, v2=1` makes two of v1 and one of v2."""
    return [
        VersionedWorker(f"{version}-{number}", software_version=version)
        for version, count in counts.items()
        for number in range(count)
    ]


def of_version(pool: list[VersionedWorker], version: str) -> list[VersionedWorker]:
    """Those of some engines that run a software version."""
    return [worker for worker in pool if worker.software_version == version]


class Stream:
    """A stream as its caller has it, over all of its attempts."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self._fleet = fleet
        self._prompt = {"X_Prompt_Prefix": f"{number:x}:200,b:100"}
        self.first = f"stream{number}"
        self._attempts = 0
        self.answers: list[Answer] = []

    async def begin(self, *, at: Gateway | None = None) -> Stream:
        """Send the first attempt."""
        await self._send(at, X_Attempt_Id=self.first)
        return self

    async def take_up(self, *, at: Gateway | None = None, resumes: str | None = None) -> Stream:
        """Go on after the last event, as a caller whose connection has broken."""
        self._attempts += 1
        resumes = self.first if resumes is None else resumes
        headers = {"Resumes": resumes} if resumes else {}
        attempt = f"{self.first}-{self._attempts}"
        await self._send(at, X_Attempt_Id=attempt, Last_Event_Id=str(len(self.versions)), **headers)
        return self

    @property
    def versions(self) -> list[str]:
        """Software version that each of its events names."""
        served = [answer for answer in self.answers if answer.status == 200]
        lines = [line for answer in served for line in answer.body.decode().split("\n")]
        return [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]

    @property
    def whole(self) -> bool:
        """Whether all of its events have arrived, each once."""
        return len(self.versions) == EVENTS

    async def _send(self, at: Gateway | None, **headers: Any) -> None:
        answer = await self._fleet.try_ask("/draft/1", at=at, **self._prompt, **headers)
        if answer is not None:
            self.answers.append(answer)


class ClockAhead(BootClock):
    """A clock that runs ahead by some milliseconds."""

    ahead_ms = 0.0

    @property
    def now_ms(self) -> float:
        return super().now_ms + self.ahead_ms


@contextlib.asynccontextmanager
async def later_routers(fleet: Fleet, count: int) -> AsyncIterator[list[Gateway]]:
    """Routers that have been running for longer than any stream lasts."""
    clocks = [ClockAhead() for _ in range(count)]
    async with contextlib.AsyncExitStack() as stack:
        routers = [
            await stack.enter_async_context(fleet.router(f"later-{number}", clock=clock))
            for number, clock in enumerate(clocks)
        ]
        await until(lambda: all(router.state.ready for router in routers))
        for router in routers:
            router.state.software_versions._since_ms -= LONGEST_STREAM_MS
        await fleet.until_acquainted(*routers)
        yield routers


@contextlib.asynccontextmanager
async def ready_router(fleet: Fleet, name: str) -> AsyncIterator[Gateway]:
    """A router that has just started and takes callers."""
    async with fleet.router(name) as router:
        await until(lambda: router.state.ready)
        yield router


async def send_once(fleet: Fleet, *more: Gateway) -> None:
    """Let routers send each attempt to one endpoint only, so that callers take streams up."""
    routes = [{**route, "maxAttempts": 1} for route in configuration()["routes"]]
    await fleet.store.put("op", "config", configuration(2, routes=routes))
    for router in (fleet.gateway, *fleet.others, *more):
        await until(lambda router=router: router.state.rules.version == 2)


@contextlib.asynccontextmanager
async def versioned_fleet(
    routers: int = 0, **counts: int
) -> AsyncIterator[tuple[Fleet, list[VersionedWorker]]]:
    """A fleet with `routers` more routers, and its engines by software version."""
    pool = engines(**counts)
    async with Fleet({"pool": pool}) as fleet:
        await fleet.add_routers(routers)
        await fleet.until_acquainted()
        await send_once(fleet)
        yield fleet, pool


async def begin_streams(fleet: Fleet, *, at: Gateway | None = None) -> list[Stream]:
    """Begin streams at a router; all of them break off."""
    streams = [Stream(number, fleet) for number in range(STREAMS)]
    await asyncio.gather(*(stream.begin(at=at) for stream in streams))
    return streams


@contextlib.asynccontextmanager
async def rejecting_fleet(
    *, routers: int = 0, after_s: float
) -> AsyncIterator[tuple[Fleet, VersionedWorker]]:
    """A fleet with an engine of v1 that rejects new streams, which then begin at one of v2."""
    first, second = engines(v1=1, v2=1)
    first.rejects_after_s = after_s
    # Others would use up the retry budget, which is small after a router's start.
    second.completes = lambda attempt: attempt not in received_by(first)
    async with Fleet({"pool": [first, second]}) as fleet:
        await fleet.add_routers(routers)
        await fleet.until_acquainted()
        yield fleet, first


async def end_one_of_each(fleet: Fleet, pool: list[VersionedWorker]) -> None:
    """End the first engine of each version, so that its streams have to go on elsewhere."""
    for worker in pool:
        if worker.name.endswith("-0"):
            await worker.end()
            await fleet.store.remove("servers", worker.name)


def begun_after(worker: VersionedWorker, streams: list[Stream]) -> list[Stream]:
    """Those of some streams that a worker has rejected, and that have begun at another one."""
    rejected = received_by(worker)
    return [stream for stream in streams if stream.first in rejected and stream.versions]


def received_by(worker: VersionedWorker) -> set[str]:
    """Attempts that have reached a worker."""
    return {received.headers["x-attempt-id"] for received in worker.received}


async def take_all_up(
    streams: list[Stream], *, at: Gateway | None = None, resumes: str | None = None
) -> None:
    """Take streams up at a router, all at once."""
    await asyncio.gather(*(stream.take_up(at=at, resumes=resumes) for stream in streams))


async def until_recorded(fleet: Fleet, streams: list[Stream]) -> None:
    """Wait until routers' rows in the store name some streams, each in one row at least."""
    names = [f'"{stream.first}"'.encode() for stream in streams]

    def recorded() -> bool:
        rows = fleet.store.rows("versions").values()
        return all(any(name in row for row in rows) for name in names)

    await until(recorded)


def remembered(router: Gateway) -> int:
    """Number of streams whose origin a router remembers."""
    return router._origins.readings["stream_origins"]


def mixed(streams: list[Stream]) -> list[list[str]]:
    """Versions of the streams that hold events of more than one."""
    return [stream.versions for stream in streams if len(set(stream.versions)) > 1]
