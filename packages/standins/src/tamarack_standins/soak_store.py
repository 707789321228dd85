"""Faults of the store of a soak: silence, refusals, lost answers, returns to a copy, bad rows."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.soak_routers import FAULT_PERIOD_S
from tamarack_standins.soak_workers import SoakWorkers

COPY_AGE_S = (0.5, 4.0)
AWAY_S = (0.1, 1.0)
WRITE_AGAIN_S = (0.0, 1.5)
"""Ranges in seconds of the age of a copy to which the store returns, of its absence, and of the
time until lost rows are written again."""

RESTORE_S = COPY_AGE_S[1] + AWAY_S[1] + WRITE_AGAIN_S[1]
"""Longest time in seconds from a copy until what it lacks is written again."""


class StoreFaults:
    """Faults of a store, drawn from `rng`.

    Parameters
    ----------
    workers
        The workers whose rows are overwritten.
    configure
        Writes a sound configuration.
    start_router
        Kills a router and starts a new one in its place.
    """

    def __init__(
        self,
        store: PlatformStore,
        rng: random.Random,
        workers: SoakWorkers,
        configure: Callable[[], Awaitable[None]],
        start_router: Callable[[], Awaitable[None]],
    ) -> None:
        self._store = store
        self._random = rng
        self._workers = workers
        self._configure = configure
        self._start_router = start_router

    async def disturb(self) -> None:
        """Let the store stop responding, refuse calls or lose answers for a while."""
        mode = self._random.choice(("silent", "refusing", "dropping_write_answers"))
        setattr(self._store, mode, 503 if mode == "refusing" else True)
        await asyncio.sleep(self._random.uniform(*FAULT_PERIOD_S))
        setattr(self._store, mode, 0 if mode == "refusing" else False)

    async def restore(self) -> None:
        """Return the store to a copy some seconds old; others than routers write again."""
        copy = self._store.copy()
        await asyncio.sleep(self._random.uniform(*COPY_AGE_S))
        self._store.refusing = 503
        await self._store.forget_history()
        await asyncio.sleep(self._random.uniform(*AWAY_S))
        lost = await self._store.restore(copy)
        self._store.refusing = 0
        await asyncio.sleep(self._random.uniform(*WRITE_AGAIN_S))
        await self._store.write_again(lost, copy, ("op", "servers"))

    async def start_during_restore(self) -> None:
        """Return the store to a copy, and start a router anew at some moment of that."""

        async def start() -> None:
            await asyncio.sleep(self._random.uniform(0.0, RESTORE_S))
            await self._start_router()

        await asyncio.gather(self.restore(), start())

    async def write_badly(self) -> None:
        """Overwrite or add a worker's entry, or corrupt the configuration, as a foreign writer."""
        rng = self._random
        service, worker, link = rng.choice(self._workers.all)
        entry = {**worker.entry(service), "address": link.address}
        bad: tuple[Any, ...] = (
            b"\xff",
            {},
            {**entry, "slots": "4"},
            {**entry, "born": 1.5},
            {"born": 1},
        )
        name = rng.choice((worker.name, "i-foreign"))
        await self._store.put("servers", name, rng.choice(bad))
        if rng.random() < 0.3:
            await self._store.put("op", "config", rng.choice((b"{", {"tenants": []})))
        await asyncio.sleep(rng.uniform(*FAULT_PERIOD_S))
        await self._configure()
        await self._store.remove("servers", "i-foreign")
        if (service, worker, link) in self._workers.all:
            await self._workers.publish(service, worker, link)
