"""The routers of a soak: real processes, and the faults that are injected by signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import yaml

from tamarack_standins.claimed_ports import ClaimedPorts
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.process_usage import ProcessUsage, process_usage
from tamarack_standins.soak_domains import COLD_FACTOR, COLD_SLACK
from tamarack_standins.soak_losses import LossChecks

GRACE_S = 6.0
REVOKE_MS = 3_000.0
FAULT_PERIOD_S = (0.3, 2.5)
"""Range of the duration of a pause or another lasting fault, in seconds."""

ROLL_INTERVAL_S = (0.0, 1.0)
"""Range of the time between two routers of a rolling restart, in seconds."""

FREEZE_S = (3.5, 4.5)
"""Range of the duration of a freeze in seconds: others give up what they ask a router meanwhile."""

CUT_OFF_S = 1.0
"""Seconds from the cut of one router's link to the kill of another router."""

FAILED_TASK = '"a background task failed"'
"""Line of a router's log on an exception that nothing handles."""

READY_TIMEOUT_S = 30.0
"""Timeout in seconds for all routers to become ready before faults begin; on an idle machine they
take one. A fault while they load their libraries would be invisible to callers, and a run that ends
before they are ready would test nothing."""


class SoakRouters:
    """Starts and stops the routers and injects faults; each router has its own proxy to the store.

    Parameters
    ----------
    folder
        Directory for settings files and logs.
    ports
        Ports of the routers, the same for all; each router has its own IP address.
    store
        Address of the store.
    broken
        Called with a sentence for each promise that a router broke.
    losses
        Told of stops and of unplanned faults of routers.
    disturbed
        Called with a router's address when it starts, is paused or wakes up.
    limits
        Memory, descriptors and the like that the settings allow each router; none for their
        defaults.
    """

    def __init__(
        self,
        count: int,
        folder: Path,
        ports: ClaimedPorts,
        store: str,
        *,
        rng: random.Random,
        broken: Callable[[str], None],
        losses: LossChecks | None = None,
        disturbed: Callable[[str], None] = lambda address: None,
        limits: dict[str, int] | None = None,
    ) -> None:
        self._count = count
        self._limits = limits or {}
        self._folder = folder
        self._ports = ports
        self._random = rng
        self._broken = broken
        self._losses = losses or LossChecks(GRACE_S)
        self._disturbed = disturbed
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._told: set[asyncio.subprocess.Process] = set()
        self._log_bytes: dict[int, int] = {}
        self._stack = contextlib.AsyncExitStack()
        self.links = [FaultProxy(store) for _ in range(count)]

    async def __aenter__(self) -> SoakRouters:
        for link in self.links:
            await self._stack.enter_async_context(link)
        await asyncio.gather(*(self._start(number) for number in range(self._count)))
        return self

    async def __aexit__(self, *exc: object) -> None:
        await asyncio.gather(*(self._kill(number) for number in list(self._processes)))
        await self._stack.aclose()

    def address(self, number: int, offset: int = 0) -> str:
        """Address of a router; port offset 0 is the one for callers."""
        return f"{self._ports.host(number + 2)}:{self._ports.first + offset}"

    def usage(self, number: int) -> ProcessUsage | None:
        """What a router's process holds; None if it has ended."""
        process = self._processes[number]
        return process_usage(process.pid) if process.returncode is None else None

    async def until_ready(self) -> None:
        """Wait until all routers are ready; raises `TimeoutError` if one is not in time."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for number in range(self._count):
                while not await self._is_ready(number):
                    await asyncio.sleep(0.05)

    def learned_s(self, address: str, worker: str, life: int) -> float:
        """When a router logged that a worker had restarted as `life`, on the monotonic clock.

        Returns minus infinity if it did not: it had not run with the former incarnation, or has not
        learned of this one.
        """
        number = [self.address(n) for n in range(self._count)].index(address)
        with (self._folder / f"router-{number}.log").open() as lines:
            for line in lines:
                if '"belief: endpoint restarted"' not in line:
                    continue
                with contextlib.suppress(ValueError):  # The last line of a killed process.
                    told = json.loads(line)
                    if (told["endpoint"], told["life"]) == (worker, life):
                        return float(told["at_ms"]) / 1000
        return float("-inf")

    def failed_tasks(self) -> list[str]:
        """Lines of the routers' logs on exceptions that nothing handled."""
        found = []
        for log in sorted(self._folder.glob("router-*.log")):
            with log.open(errors="replace") as lines:
                found += [f"{log.stem}: {line[:400]}" for line in lines if FAILED_TASK in line]
        return found

    async def kill(self) -> None:
        """Kill one router and restart it."""
        picked = self._pick_alive()
        if picked is not None:
            await self._kill_and_restart(picked[0])

    async def kill_all(self) -> None:
        """Kill all routers at once and restart them."""
        alive = [(n, p) for n, p in self._processes.items() if p.returncode is None]
        for number, process in alive:
            with self._losses.faulty(self.address(number)):
                self._send_signal(number, process, signal.SIGKILL)
        for number, process in alive:
            await process.wait()
            await self._restart(number, process)

    async def terminate(self) -> None:
        """Stop one router by SIGTERM and restart it."""
        picked = self._pick_alive()
        if picked is not None:
            await self._stop(*picked)

    async def roll(self) -> None:
        """Restart all routers by SIGTERM, one shortly after the other."""
        stops = []
        for number, process in list(self._processes.items()):
            if process.returncode is None:
                stops.append(asyncio.ensure_future(self._stop(number, process)))
                await asyncio.sleep(self._random.uniform(*ROLL_INTERVAL_S))
        await asyncio.gather(*stops)

    async def pause(self) -> None:
        """Suspend one router's process for a while."""
        await self._suspend(self._random.uniform(*FAULT_PERIOD_S))

    async def freeze(self) -> None:
        """Suspend one router's process for longer, while others ask it about streams."""
        await self._suspend(self._random.uniform(*FREEZE_S))

    async def _suspend(self, seconds: float) -> None:
        picked = self._pick_alive()
        if picked is None:
            return
        number, process = picked
        with self._losses.faulty(self.address(number)):
            self._send_signal(number, process, signal.SIGSTOP)
            self._disturbed(self.address(number))
            await asyncio.sleep(seconds)
            self._send_signal(number, process, signal.SIGCONT)
        self._disturbed(self.address(number))

    async def hang_up(self) -> None:
        """Send one router SIGHUP, on which it reloads its settings."""
        if picked := self._pick_alive():
            self._send_signal(*picked, signal.SIGHUP)

    async def disturb_link(self) -> None:
        """Delay, reset, block or block in one direction one router's connections to the store."""
        link = self._random.choice(self.links)
        with self._losses.faulty(self.address(self.links.index(link))):
            await disturb(link, self._random)

    async def cut_off_and_kill(self) -> None:
        """Cut one router off from the store, and kill another one a second later."""
        number = self._random.randrange(self._count)
        link = self.links[number]
        with self._losses.faulty(self.address(number)):
            link.block_to_target = link.block_from_target = True
            await asyncio.sleep(CUT_OFF_S)
            others = [n for n in self._processes if n != number]
            if others:
                await self._kill_and_restart(self._random.choice(others))
            await self._wait_fault_period()
            link.heal()

    async def _is_ready(self, number: int) -> bool:
        host, _, port = self.address(number, 1).partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def _start(self, number: int) -> None:
        self._disturbed(self.address(number))
        settings = {
            "nodeName": f"router-{number}",
            "ip": self.address(number).partition(":")[0],
            "zone": f"zone-{number % 3}",
            "listen": {
                "front": self.address(number),
                "ready": self.address(number, 1),
                "directory": self.address(number, 2),
            },
            "internalPorts": [self._ports.first + 3, self._ports.first + 9],
            "bounds": {
                "revokeMs": REVOKE_MS,
                "graceS": GRACE_S,
                "coldOverage": COLD_FACTOR,
                "coldSlack": COLD_SLACK,
            },
            "platform": {"address": self.links[number].address},
            "limits": self._limits,
        }
        path = self._folder / f"router-{number}.yaml"
        path.write_text(yaml.safe_dump(settings))
        log = (self._folder / f"router-{number}.log").open("ab")
        self._log_bytes[number] = log.tell()
        self._processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tamarack_platform",
            env={**os.environ, "TAMARACKTURN_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def _stop(self, number: int, process: asyncio.subprocess.Process) -> None:
        if process not in self._told:
            self._told.add(process)
            self._losses.stopped(self.address(number))
        self._send_signal(number, process, signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + 2):
                code = await process.wait()
        except TimeoutError:
            self._broken(f"router-{number} did not exit within its grace period")
            self._send_signal(number, process, signal.SIGKILL)
            code = await process.wait()
        if code not in (0, -signal.SIGKILL) and not self._ended_before_start(number, code):
            self._broken(f"router-{number} exited with {code}")
        await self._restart(number, process)

    def _ended_before_start(self, number: int, code: int) -> bool:
        # Until the program's first line installs a handler, the signal terminates the interpreter
        # itself; such a process has logged nothing.
        log = self._folder / f"router-{number}.log"
        return code == -signal.SIGTERM and log.stat().st_size == self._log_bytes[number]

    async def _kill(self, number: int) -> None:
        process = self._processes[number]
        self._send_signal(number, process, signal.SIGCONT)
        self._send_signal(number, process, signal.SIGKILL)
        await process.wait()

    async def _kill_and_restart(self, number: int) -> None:
        process = self._processes[number]
        with self._losses.faulty(self.address(number)):
            self._send_signal(number, process, signal.SIGKILL)
            await process.wait()
        await self._restart(number, process)

    async def _restart(self, number: int, process: asyncio.subprocess.Process) -> None:
        # Faults overlap: if several ended the same process, only the first starts the next one.
        if self._processes.get(number) is process:
            del self._processes[number]
            await self._start(number)

    def _send_signal(
        self, number: int, process: asyncio.subprocess.Process, sent: signal.Signals
    ) -> None:
        """Send a signal to a router, and note it beside the routers' logs."""
        line = {"wall_ms": round(time.time() * 1_000), "router": number, "signal": sent.name}
        with (self._folder / "signals.log").open("a") as log:
            log.write(json.dumps(line) + "\n")
        send_signal(process, sent)

    def _pick_alive(self) -> tuple[int, asyncio.subprocess.Process] | None:
        alive = [(n, p) for n, p in self._processes.items() if p.returncode is None]
        return self._random.choice(alive) if alive else None

    async def _wait_fault_period(self) -> None:
        await asyncio.sleep(self._random.uniform(*FAULT_PERIOD_S))


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process, unless it has ended.

    `Process.send_signal` polls the process first, which reaps one that has just exited; the event
    loop then misses its exit status and reports 255.
    """
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)


async def disturb(link: FaultProxy, rng: random.Random) -> None:
    """Inject a random fault into a link, and heal the link after a while."""
    mode = rng.choice(("delay", "reset", "silence", "cut there", "cut back"))
    if mode == "delay":
        link.delay_s = rng.uniform(0.02, 0.4)
    elif mode == "reset":
        link.reset_open()
    elif mode == "silence":
        link.block_open()
    elif mode == "cut there":
        link.block_to_target = True
    else:
        link.block_from_target = True
    await asyncio.sleep(rng.uniform(*FAULT_PERIOD_S))
    link.heal()
