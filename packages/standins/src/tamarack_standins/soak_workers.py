"""The workers of a soak: they fail, are replaced, restart and return cold."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import NamedTuple

from tamarack_standins.claimed_ports import ClaimedPorts
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import ReceivedRequest
from tamarack_standins.soak_crashes import RESTART_DELAY_S, CrashCounts
from tamarack_standins.soak_domains import COLD_MS, ZONES, DomainChecks
from tamarack_standins.soak_notices import DRAIN_S, NoticeChecks
from tamarack_standins.soak_routers import FAULT_PERIOD_S, disturb
from tamarack_standins.soak_worker import SoakWorker

SILENT_LEAVE_S = (DRAIN_S + 0.5, DRAIN_S + 2.0)
"""Range of the seconds for which a worker says only in its answers that it leaves."""


class Placed(NamedTuple):
    """A worker, its service, and the proxy through which routers reach it."""

    service: str
    worker: SoakWorker
    link: FaultProxy


class SoakWorkers:
    """Starts and disturbs workers, and keeps their entries in the store.

    Parameters
    ----------
    ports
        Ports of the soak; a worker that starts again listens on its former one.
    ran
        Called with each request that a worker runs, and whether the answer is a stream.

    Attributes
    ----------
    all
        The workers that run.
    start_cold
        Whether streaming workers that start are cold.
    """

    def __init__(
        self,
        store: PlatformStore,
        rng: random.Random,
        *,
        ports: ClaimedPorts,
        restart_rng: random.Random,
        ends: CrashCounts,
        domains: DomainChecks,
        notices: NoticeChecks,
        ran: Callable[[ReceivedRequest, bool], None],
    ) -> None:
        self._store = store
        self._random = rng
        self._ports = ports
        self._restart_random = restart_rng
        self._ends = ends
        self._domains = domains
        self._notices = notices
        self._ran = ran
        self._stack = contextlib.AsyncExitStack()
        self._count = 0
        self._release = 1
        self._restarts: list[asyncio.Future[None]] = []
        self.all: list[Placed] = []
        self.start_cold = False

    async def __aenter__(self) -> SoakWorkers:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def settle(self) -> None:
        """Wait until all crashed workers have restarted."""
        await asyncio.gather(*self._restarts)

    async def add(self, service: str) -> None:
        """Start a worker and publish its entry."""
        self._count += 1
        streams = service == "pool"
        worker = SoakWorker(
            f"i-{self._count}",
            streams=streams,
            rng=self._random,
            ran=self._ran,
            address=self._ports.worker(self._count),
            zone=ZONES[self._count % len(ZONES)],
            software_version=f"v{self._random.randint(max(1, self._release - 1), self._release)}",
        )
        if streams and self.start_cold:
            self._domains.started(worker)
        await self._start_worker(worker)
        link = await self._stack.enter_async_context(FaultProxy(worker.address))
        self.all.append(Placed(service, worker, link))
        await self.publish(service, worker, link)

    async def _start_worker(self, worker: SoakWorker) -> None:
        worker.on_fatal = lambda culprit: self._ends.arrived(culprit, worker)
        worker.on_end = lambda: self._restart_later(worker)
        worker.on_arrival = self._check_arrival
        worker.on_rest = self._notices.requested_rest
        worker.on_stream = self._notices.calls.last_events.__setitem__
        await self._stack.enter_async_context(worker)

    async def publish(
        self, service: str, worker: SoakWorker, link: FaultProxy, *, state: str = "ready"
    ) -> None:
        """Write a worker's entry, with the address of its proxy."""
        entry = {**worker.entry(service, state=state), "address": link.address}
        if self._domains.is_cold(worker):
            entry["coldRemainingMs"] = COLD_MS
        await self._store.put("servers", worker.name, entry)

    def _restart_later(self, worker: SoakWorker) -> None:
        """Restart a worker that a request crashed, as a new incarnation."""
        self._restarts.append(asyncio.ensure_future(self._restart_crashed(worker)))

    async def _restart_crashed(self, ended: SoakWorker) -> None:
        await asyncio.sleep(self._restart_random.uniform(*RESTART_DELAY_S))
        for index, (service, worker, link) in enumerate(self.all):
            if worker is ended:
                restarted = ended.next_incarnation()
                self.all[index] = Placed(service, restarted, link)
                self._domains.restarted(restarted)
                self._notices.restarted(restarted.name, restarted.life)
                await self._start_worker(restarted)
                await self.publish(service, restarted, link)
                return

    async def spoil_worker(self) -> None:
        """Let a worker fail some of its requests for a while."""
        worker = self._random.choice(self.all)[1]
        worker.failure_probability = self._random.uniform(0.1, 0.8)
        await asyncio.sleep(self._random.uniform(*FAULT_PERIOD_S))
        worker.failure_probability = 0.0

    async def overload_worker(self) -> None:
        """Let a worker reject all requests for a while, and request rest each time."""
        worker = self._random.choice(self.all)[1]
        worker.overloaded = True
        await asyncio.sleep(self._random.uniform(*FAULT_PERIOD_S))
        worker.overloaded = False

    async def replace_worker(self) -> None:
        """Replace a worker by another one; all say in their answers that they leave.

        Some say so in the store as well; the entries of the others stay until they have left.
        """
        service, worker, link = self.all.pop(self._random.randrange(len(self.all)))
        worker.leaving = True
        await self.add(service)
        if self._random.random() < 0.5:
            await self.publish(service, worker, link, state="draining")
            await asyncio.sleep(self._random.uniform(*FAULT_PERIOD_S))
        else:
            await asyncio.sleep(self._random.uniform(*SILENT_LEAVE_S))
        await self._store.remove("servers", worker.name)

    async def release(self) -> None:
        """Release a software version; workers that start run it or the one before."""
        self._release += 1
        await self.replace_worker()

    async def restart_worker(self) -> None:
        """Terminate a worker and restart it with the same name and address."""
        service, old, link = self.all.pop(self._random.randrange(len(self.all)))
        await old.end()
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        worker = old.next_incarnation()
        self._domains.restarted(worker)
        self._notices.restarted(worker.name, worker.life)
        await self._start_worker(worker)
        self.all.append(Placed(service, worker, link))
        await self.publish(service, worker, link)

    async def return_cold(self) -> None:
        """Terminate the streaming workers of a zone; others take their place, all cold."""
        zone = self._random.choice(ZONES)
        ended = [w for w in self.all if w.service == "pool" and w.worker.zone == zone]
        self.all = [w for w in self.all if w not in ended]
        for _, worker, _ in ended:
            await worker.end()
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        for _, worker, _ in ended:
            await self._store.remove("servers", worker.name)
            await self.add("pool")

    async def disturb_link(self) -> None:
        """Delay, reset or block the connections of a worker."""
        _, worker, link = self._random.choice(self.all)
        self._notices.cut_off(worker.name)
        await disturb(link, self._random)
        self._notices.cut_off(worker.name)

    def _check_arrival(self, worker: SoakWorker, received: ReceivedRequest) -> None:
        self._notices.arrived(worker.name, received)
        keyed = any(known is worker and name == "pool" for name, known, _ in self.all)
        self._domains.arrived(worker, keyed=keyed)
