"""Seeded soak test of the platform's path: real router processes with injected faults.

Routers are killed, stopped, paused, frozen and restarted by signals, singly, all at once and in
turn, also while another one is cut off or the store returns to a copy; their connections to the
store and to workers are delayed, reset, or blocked in one or both directions by proxies; the store
stops responding, refuses calls, loses answers, drops its history and returns to a copy of itself;
workers fail in every scripted way, spoil events, request rest, leave, are replaced, also by other
software versions, and restart under their names; a zone's workers return cold together; zones are
evacuated and restored; requests, and blocks of their prompts, crash the workers that run them; keys
are revoked; rows are overwritten with invalid values. Some callers read slowly or send large heads.
Meanwhile, callers and workers check the promises.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from tamarack_standins.claimed_ports import ClaimedPorts
from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import ReceivedRequest
from tamarack_standins.soak_callers import ANSWER_S, KINDS, STREAMS, SoakCalls
from tamarack_standins.soak_configuration import soak_configuration
from tamarack_standins.soak_crashes import (
    FATAL_INTERVAL_S,
    FATAL_REQUESTS,
    CrashCounts,
)
from tamarack_standins.soak_domains import ZONES, DomainChecks
from tamarack_standins.soak_losses import LossChecks
from tamarack_standins.soak_notices import NoticeChecks
from tamarack_standins.soak_routers import FAULT_PERIOD_S, GRACE_S, REVOKE_MS, SoakRouters
from tamarack_standins.soak_slow_callers import SlowCallers
from tamarack_standins.soak_store import StoreFaults
from tamarack_standins.soak_workers import SoakWorkers

EXIT_TERMINATED = 143
ROUTERS = 3
ENGINES = 3
ENGINES_ENDS_ONLY = 8
CALLERS = 12
SLOW_CALLERS = 6
SLOW_CALLERS_STOPS_ONLY = 6
"""Callers that read slowly; where routers are only stopped, so many more for each router."""

TRIES = 3
"""Attempts of a caller, the first one included; only broken streams are taken up."""

FAULT_PAUSE_S = (0.2, 0.9)

EVACUATION_S = (1.0, REVOKE_MS / 1000 + 3.0)
"""Shortest and longest evacuation in seconds; some last longer than keys are valid without news."""


class Soak:
    """One seeded run.

    Attributes
    ----------
    counts
        Faults, answers by status and other counts, by name.
    broken
        Broken promises, a sentence each.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        *,
        routers: int = ROUTERS,
        ends_only: bool = False,
        stops_only: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self._ends_only = ends_only
        self._stops_only = stops_only
        self._seconds = seconds
        self._folder = folder
        self._ports = ClaimedPorts(os.getpid() + seed * 7)
        self._store = PlatformStore()
        self._stack = contextlib.AsyncExitStack()
        self._count = routers
        self._routers: SoakRouters
        self._runs: Counter[str] = Counter()
        self._revoked: dict[str, float] = {}
        self._version = 0
        self._key = "key-0"
        self._stopping = False
        self._active_faults = 0
        self._last_fault_s = float("-inf")
        self.ends = CrashCounts(self._fault_free_s)
        self._domains = DomainChecks(REVOKE_MS / 1000)
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []
        self._calls = SoakCalls(self.random, self.counts, self.broken)
        self._notices = NoticeChecks(self._calls, self._fault_free_s)
        self._calls.on_leaving = self._notices.told_leaving
        self._losses = LossChecks(GRACE_S)
        self._slow = SlowCallers(
            self._store, random.Random(seed + 2), self._losses, self.counts, self.broken
        )
        self._workers = SoakWorkers(
            self._store,
            self.random,
            ports=self._ports,
            restart_rng=random.Random(seed + 1),
            ends=self.ends,
            domains=self._domains,
            notices=self._notices,
            ran=self.ran,
        )

    async def run(self) -> None:
        """Run the seed; broken promises are added to `broken`."""
        async with self._stack:
            self._stack.enter_context(self._ports)
            await self._stack.enter_async_context(self._store)
            await self._stack.enter_async_context(self._workers)
            await self._stack.enter_async_context(self._slow)
            await self._configure()
            engines = ENGINES_ENDS_ONLY if self._ends_only else ENGINES
            for service in ("web", "web", *["pool"] * engines):
                await self._workers.add(service)
            self._routers = await self._stack.enter_async_context(
                SoakRouters(
                    self._count,
                    self._folder,
                    self._ports,
                    self._store.address,
                    rng=self.random,
                    broken=self.broken.append,
                    losses=self._losses,
                    disturbed=self._notices.disturbed,
                )
            )
            await self._routers.until_ready()
            self._workers.start_cold = True
            callers = [asyncio.ensure_future(self._run_caller(n)) for n in range(CALLERS)]
            callers.append(asyncio.ensure_future(self._send_fatal()))
            slow = SLOW_CALLERS + (SLOW_CALLERS_STOPS_ONLY * self._count if self._stops_only else 0)
            addresses = [self._routers.address(number) for number in range(self._count)]
            for _ in range(slow):
                calls = self._slow.call_until(lambda: self._stopping, addresses, lambda: self._key)
                callers.append(asyncio.ensure_future(calls))
            faults = asyncio.ensure_future(self._inject_faults())
            await asyncio.sleep(self._seconds)
            self._stopping = True
            await asyncio.gather(*callers, faults)
            await self._workers.settle()
            self._check_promises()

    def ran(self, received: ReceivedRequest, stream: bool) -> None:
        """Count a run of a request by a worker, and check that it was allowed."""
        attempt = received.headers.get("x-attempt-id", "")
        self._runs[attempt] += 1
        sent = self._calls.sent.get(attempt)
        if sent is None:
            description = f"{received.method} {received.target} {received.headers}"
            self.broken.append(f"{attempt} runs and no caller sent it: {description}")
            return
        once = sent.path in ("/page/", "/rewrite/")
        if once and self._runs[attempt] > 1:
            self.broken.append(f"{attempt} {sent.path} runs {self._runs[attempt]} times")
        revoked_s = self._revoked.get(sent.key) if stream else None
        if revoked_s is not None and sent.sent_s > revoked_s + REVOKE_MS / 1000:
            self.broken.append(f"{attempt} runs under a revoked key")
        if not received.target.startswith(sent.path):
            self.broken.append(f"{attempt} runs at {received.target}")

    def _check_promises(self) -> None:
        for attempt in self._calls.answered_not_run:
            if self._runs[attempt]:
                self.broken.append(f"{attempt} was refused as not run and ran")
        if not self.counts["200"]:
            self.broken.append("no request was served")
        self.broken += self.ends.broken() + self._domains.broken + self._losses.broken()
        self.broken += self._notices.broken(self._routers.learned_s)
        self.broken += self._routers.failed_tasks()
        self.counts["slow lost"] = len(self._losses.broken())
        self.counts["rests requested"] = self._notices.rests
        self.counts["leaving known"] = self._notices.departures
        self.counts["most while cold"] = self._domains.most_while_cold
        self.counts["workers ended"] = sum(self.ends.arrivals.values())

    # the fleet

    async def _configure(self) -> None:
        self._version += 1
        await self._store.put("op", "config", soak_configuration(self._version, self._key))

    async def _send_fatal(self) -> None:
        number = 0
        while not self._stopping:
            await asyncio.sleep(FATAL_INTERVAL_S)
            number += 1
            request = FATAL_REQUESTS[number % len(FATAL_REQUESTS)]
            address = self._routers.address(number % self._count)
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(ANSWER_S):
                    body = request.body + (b" %d" % number if request.blocks else b"")
                    await self._calls.call(request.path, self._key, [address], body, request.blocks)

    def _fault_free_s(self) -> float:
        return 0.0 if self._active_faults else time.monotonic() - self._last_fault_s

    async def _run_fault(self, fault: Callable[[], Awaitable[None]]) -> None:
        self._active_faults += 1
        try:
            await fault()
        finally:
            self._active_faults -= 1
            self._last_fault_s = time.monotonic()

    async def _kill_all_once(self) -> None:
        await asyncio.sleep(self._seconds / 2)
        await self._run_fault(self._routers.kill_all)

    async def _inject_faults(self) -> None:
        if self._ends_only:
            await self._kill_all_once()
        elif self._stops_only:
            await self._stop_routers()
        else:
            await self._faults()

    async def _stop_routers(self) -> None:
        while not self._stopping:
            await asyncio.sleep(self.random.uniform(*FAULT_PERIOD_S))
            await self._run_fault(self.random.choice((self._routers.terminate, self._routers.roll)))
            self.counts["stops"] += 1

    # faults

    async def _faults(self) -> None:
        fleet = self._routers
        ends = (fleet.kill, fleet.kill_all, fleet.terminate, fleet.roll)
        routers = (*ends, fleet.pause, fleet.freeze)
        links = (
            fleet.hang_up,
            fleet.disturb_link,
            fleet.cut_off_and_kill,
            self._workers.disturb_link,
        )
        rows = StoreFaults(self._store, self.random, self._workers, self._configure, fleet.kill)
        store = (
            rows.disturb,
            self._store.forget_history,
            rows.restore,
            rows.start_during_restore,
            self._revoke,
        )
        workers = (
            self._workers.spoil_worker,
            self._workers.overload_worker,
            self._workers.replace_worker,
            self._workers.release,
            self._workers.restart_worker,
        )
        domains = (self._evacuate, self._workers.return_cold)
        faults = (*routers, *links, *store, *workers, *domains, rows.write_badly)
        running: list[asyncio.Future[None]] = []
        while not self._stopping:
            await asyncio.sleep(self.random.uniform(*FAULT_PAUSE_S))
            fault = self.random.choice(faults)
            self.counts[f"fault {fault.__name__.strip('_')}"] += 1
            disturbs = fault in (*routers, *links, *store)
            running.append(asyncio.ensure_future(self._run_fault(fault) if disturbs else fault()))
        await asyncio.gather(*running)

    async def _evacuate(self) -> None:
        """Evacuate a zone, and restore it after a while."""
        zone = self.random.choice(ZONES)
        await self._store.put("op", f"evacuate/{zone}", {})
        self._domains.evacuated(zone)
        until_s = time.monotonic() + self.random.uniform(*EVACUATION_S)
        while time.monotonic() < until_s and not self._stopping:
            await asyncio.sleep(0.1)
        self._domains.restored(zone)
        await self._store.remove("op", f"evacuate/{zone}")

    async def _revoke(self) -> None:
        old, self._key = self._key, f"key-{self._version}"
        await self._configure()
        self._revoked[old] = time.monotonic()

    # callers

    async def _run_caller(self, number: int) -> None:
        keys = [self._key]
        while not self._stopping:
            if self._key != keys[-1]:
                keys.append(self._key)
            path = self.random.choice([*KINDS, *STREAMS])
            # Some callers keep using a key long after its revocation.
            key = self.random.choice(keys[-3:])
            routers = [self.random.randrange(self._count) for _ in range(TRIES)]
            addresses = [self._routers.address(router) for router in routers]
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(ANSWER_S):
                    body = b'{"caller": %d}' % number
                    await self._calls.call(path, key, addresses, body)
                continue
            self.counts["no answer"] += 1
            await asyncio.sleep(0.05)


def run_seed(
    seed: int,
    seconds: float,
    *,
    routers: int = ROUTERS,
    ends_only: bool = False,
    stops_only: bool = False,
) -> Soak:
    """Run one seed; return the soak with its counts and broken promises."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(
            seed,
            seconds,
            Path(folder),
            routers=routers,
            ends_only=ends_only,
            stops_only=stops_only,
        )
        whole = False
        try:
            asyncio.run(soak.run())
            whole = not soak.broken
        finally:
            # Also if the soak itself fails, for example because a router does not become ready.
            if not whole:
                _copy_logs(Path(folder), Path("bench/out") / f"soak-{seed}")
        return soak


def _copy_logs(folder: Path, log_directory: Path) -> None:
    log_directory.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (log_directory / log.name).write_bytes(log.read_bytes())


def main() -> int:
    """Run seeds from the command line."""
    # On SIGTERM the soak still terminates its routers. Orphaned routers would hold addresses and
    # call a store port that a worker of a later run may have.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="length of each run")
    parser.add_argument("--routers", type=int, default=ROUTERS, help="number of routers")
    parser.add_argument(
        "--ends-only",
        action="store_true",
        help="no faults except requests that crash workers, and one kill of all routers",
    )
    parser.add_argument(
        "--stops-only",
        action="store_true",
        help="no faults except SIGTERM of single routers and of all in turn; more slow callers",
    )
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        soak = run_seed(
            seed,
            arguments.seconds,
            routers=arguments.routers,
            ends_only=arguments.ends_only,
            stops_only=arguments.stops_only,
        )
        print(json.dumps({"seed": seed, "broken": soak.broken, **dict(soak.counts)}), flush=True)
        failed += bool(soak.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
