"""A pool of engines that crash on certain requests and are replaced by new incarnations."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from types import TracebackType
from typing import NamedTuple

from gateway_site import Fleet

from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import FATAL, PlatformWorker, Script


class Arrival(NamedTuple):
    """A fatal request as it reached an engine; `culprit` is its body or prefix block."""

    culprit: bytes
    at_s: float


class CrashingPool:
    """Engines of one service, each replaced some time after a request has crashed it.

    Parameters
    ----------
    fatal
        Bodies of requests that crash any engine that runs them.
    replacement_s
        Seconds from a crash until a new engine's entry replaces that of the crashed one.
    script
        How all other requests are answered.
    fatal_blocks
        Prefix blocks that crash any engine that begins to answer a request with them.
    fatal_script
        How fatal requests are answered until the crash.
    """

    def __init__(
        self,
        size: int,
        *fatal: bytes,
        replacement_s: float = 0.3,
        script: Script | None = None,
        service: str = "pool",
        fatal_blocks: frozenset[str] = frozenset(),
        fatal_script: Script = FATAL,
    ) -> None:
        self.fatal = frozenset(fatal)
        self._fatal_blocks = fatal_blocks
        self._fatal_script = fatal_script
        self.arrivals: list[Arrival] = []
        self.ended_s: list[float] = []
        self._replacement_s = replacement_s
        self._service = service
        self._script = script or Script(events=3, echo=True)
        self._names = (f"e{number}" for number in itertools.count(1))
        self._store: PlatformStore | None = None
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self.engines = [self._engine() for _ in range(size)]

    async def __aenter__(self) -> CrashingPool:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    def serve(self, fleet: Fleet) -> None:
        """Write the entries of replacement engines to a fleet's store."""
        self._store = fleet.store

    def ends(self, culprit: bytes) -> int:
        """Number of engines that a culprit has reached, crashed or not."""
        return sum(arrival.culprit == culprit for arrival in self.arrivals)

    def late(self, culprit: bytes, grace_s: float, *, allowed: int = 3) -> int:
        """Number of arrivals of a culprit later than `grace_s` after its allowed number."""
        times = [arrival.at_s for arrival in self.arrivals if arrival.culprit == culprit]
        if len(times) <= allowed:
            return 0
        return sum(at_s > times[allowed - 1] + grace_s for at_s in times[allowed:])

    def late_after_crashes(self, culprit: bytes, grace_s: float, *, crashes: int) -> int:
        """Number of arrivals of a culprit later than `grace_s` after so many crashes."""
        if len(self.ended_s) < crashes:
            return 0
        known_s = self.ended_s[crashes - 1] + grace_s
        return sum(a.culprit == culprit and a.at_s > known_s for a in self.arrivals)

    def arrived(self, culprit: bytes) -> None:
        """Record that a fatal request has reached an engine."""
        self.arrivals.append(Arrival(culprit, time.monotonic()))

    def _engine(self) -> PlatformWorker:
        engine = PlatformWorker(next(self._names), self._script)
        engine.fatal = self.fatal
        engine.fatal_blocks = self._fatal_blocks
        engine.fatal_script = self._fatal_script
        engine.on_fatal = self.arrived
        engine.on_end = lambda: self._on_crash(engine)
        return engine

    def _on_crash(self, engine: PlatformWorker) -> None:
        self.ended_s.append(time.monotonic())
        self._tasks.append(asyncio.ensure_future(self._replace(engine)))

    async def _replace(self, ended: PlatformWorker) -> None:
        await asyncio.sleep(self._replacement_s)
        engine = self._engine()
        await self._stack.enter_async_context(engine)
        assert self._store is not None
        await self._store.remove("servers", ended.name)
        await self._store.put("servers", engine.name, engine.entry(self._service, slots=64))
