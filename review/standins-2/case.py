"""What all cases share: routers as processes, the store, the record and the verdict."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from . import client
from .store import Store
from .wire import read_head as read_head
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"front": 8783, "ready": 8780, "control": 8785, "directory": 8789}
ZONES = ["kitami-hall", "obihiro-hall", "kushiro-hall"]
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerBoundMs": 5000, "failClosed": True, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 56, "recoveryS": 12,
    "passMs": 120, "reuseWindowS": 10, "quotaWindowS": 4, "ttl_max_s": 5,
}  # fmt: skip


class Broken(Exception):
    """The rule was broken."""


def configuration(version: int = 1, **more: Any) -> dict[str, Any]:
    """A configuration of a small deployment: a streaming and two plain routes."""
    host = client.HOST
    common = {"host": host, "priority": 1}
    return {
        "version": version,
        "routes": [
            {
                **common, "name": "replan", "prefix": "/replan/", "kind": "streaming",
                "service": "llm-pool", "timeoutMs": 12000, "targetLatencyMs": 800,
                "gapTargetMs": 400, "maxAttempts": 2, "resumeStreams": True,
                "stickySessions": True,
            },
            {
                **common, "name": "reading", "prefix": "/reading/", "kind": "non_idempotent",
                "service": "office-api", "timeoutMs": 2500, "targetLatencyMs": 200,
                "maxAttempts": 2,
            },
            {
                **common, "name": "record", "prefix": "/record/", "kind": "idempotent",
                "service": "office-api", "timeoutMs": 2500, "targetLatencyMs": 200,
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "llm-pool", "maxConnections": 370,
                "engine": {"slots": 64, "kvCapacityTokens": 530521, "stride": 3},
            },
            {"name": "office-api", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000, "tokensPerS": 280000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        **more,
    }  # fmt: skip


def by_status(attempts: list[client.Attempt]) -> dict[int, int]:
    """Number of attempts by the status of their answers."""
    return dict(Counter(attempt.status for attempt in attempts))


class Case:
    """One run of a case.

    Attributes
    ----------
    trouble
        Whether the disruption is part of the run.
    """

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(int(os.environ.get("SEED", "0")) or os.getpid())
        self._net = f"127.{self.random.randrange(40, 250)}.{self.random.randrange(1, 250)}"
        self._started_s = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._work = Path(tempfile.mkdtemp(prefix="case-"))
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._calls = 0
        self.store = Store()
        self.store_links: dict[int, str] = {}
        self.workers: list[Worker] = []

    def note(self, line: str) -> None:
        """Write a line to the record, with the time since the start."""
        self._record.write(f"{time.monotonic() - self._started_s:8.3f} {line}\n")
        self._record.flush()

    def host(self, number: int) -> str:
        """A loopback address of this case: routers have 1 and up, all others 200 and up."""
        return f"{self._net}.{number}"

    def front(self, number: int) -> str:
        """Address at which a router serves clients."""
        return f"{self.host(number)}:{PORTS['front']}"

    async def begin(self, config: dict[str, Any] | None = None) -> None:
        """Start the store and write the first configuration."""
        await self.store.start(self.host(200))
        await self.store.put("op", "config", config or configuration())

    async def add_worker(self, worker: Worker, *, listed: bool = True) -> Worker:
        """Start a worker and list it."""
        worker.log = self.note
        await worker.start(self.host(201 + len(self.workers)))
        self.workers.append(worker)
        if listed:
            await self.store.put("servers", worker.name, worker.entry())
        self.note(f"worker {worker.name} {worker.version} serves {worker.service}")
        return worker

    async def start_router(self, number: int, **changes: Any) -> None:
        """Start a router with the command of the deploy file."""
        host, zone = self.host(number), ZONES[number % len(ZONES)]
        settings = {
            "nodeName": f"edge-{zone}-{number}", "role": "router", "machineClass": "edge",
            "serves": ["edge", "registry"], "ip": host, "zone": zone, "region": "doto",
            "zones": dict.fromkeys(ZONES, "doto"),
            "listen": {name: f"{host}:{port}" for name, port in PORTS.items()},
            "internalPorts": [7400, 7415], "seedNodes": [f"{self.host(1)}:{PORTS['control']}"],
            "bootstrap": True, "inTolerance": False,
            "limits": {
                "cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {
                "address": self.store_links.get(number, self.store.server.address), "form": "table", "writesPerS": 400,
                "readsPerS": 2000, "rowBytes": 65536, "historyS": 20,
            },
            **changes,
        }  # fmt: skip
        path = self._work / f"router-{number}.json"
        path.write_text(json.dumps(settings))
        log = (self._work / f"router-{number}.log").open("ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"TAMARACKTURN_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        # The command of the deploy file, with this interpreter for python3.
        self._processes[number] = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "-m", "tamarack_platform",
            cwd=ROOT, env=env, stdout=log, stderr=log,
        )  # fmt: skip
        log.close()
        self.note(f"router {number} started")

    async def until_ready(self, *numbers: int) -> None:
        """Wait until routers are ready."""
        async with asyncio.timeout(30):
            for number in numbers:
                while not await client.ready(f"{self.host(number)}:{PORTS['ready']}"):
                    await asyncio.sleep(0.02)

    def signal(self, number: int, what: signal.Signals) -> None:
        """Send a signal to a router."""
        process = self._processes[number]
        if process.returncode is None:
            os.kill(process.pid, what)
            self.note(f"router {number} gets {what.name}")

    async def ended(self, number: int) -> int:
        """Wait for the end of a router; returns its exit code."""
        return await self._processes[number].wait()

    def log_of(self, number: int) -> str:
        """What a router has logged."""
        return (self._work / f"router-{number}.log").read_text(errors="replace")

    def attempt_id(self) -> str:
        """A new attempt id."""
        self._calls += 1
        return f"{self._calls:04x}{self.random.getrandbits(48):012x}"

    async def stream(
        self,
        router: int,
        *,
        progress: client.Attempt | None = None,
        until_events: int | None = None,
        **headers: str,
    ) -> client.Attempt:
        """Ask a router for a stream; see `client.send`."""
        attempt = headers.pop("attempt", "") or self.attempt_id()
        last = f"{self.random.getrandbits(32):x}"
        fields = {
            "X_Model": "m",
            "X_Token_Usage": "1460,80",
            "X_Prompt_Prefix": f"5c1e07a2:800,91bd3f06:410,{last}:250",
            "X_Deadline_Ms": "12000",
            "Authorization": f"Token {KEY}",
            **headers,
        }
        self.note(f"client sends {attempt} to router {router} {headers or ''}")
        result = await client.send(
            self.front(router),
            "/replan/2f",
            attempt,
            progress=progress,
            until_events=until_events,
            **fields,
        )
        ids = [number for number, _ in result.events]
        done = "complete" if result.complete else f"not complete ({result.error})"
        self.note(f"client got {attempt}: {result.status} {done}, events {ids}")
        return result

    async def call(self, router: int, path: str, **headers: str) -> client.Attempt:
        """Make a plain request."""
        attempt = headers.pop("attempt", "") or self.attempt_id()
        fields = {"X_Deadline_Ms": "2500", "Authorization": f"Token {KEY}", **headers}
        self.note(f"client sends {attempt} {path} to router {router}")
        result = await client.send(self.front(router), path, attempt, **fields)
        self.note(f"client got {attempt}: {result.status} {result.error}")
        return result

    def close(self) -> None:
        """End all that was started."""
        for process in self._processes.values():
            if process.returncode is None:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGKILL)
        self.store.server.stop()
        for worker in self.workers:
            worker.server.stop()
        self._record.close()
        if os.environ.get("KEEP"):
            print(self._work)
        else:
            shutil.rmtree(self._work, ignore_errors=True)


def play(folder: Path, body: Callable[[Case], Awaitable[None]], limit_s: float = 110.0) -> int:
    """Play a case; returns 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def run() -> int:
        case = Case(folder)
        try:
            async with asyncio.timeout(limit_s):
                await body(case)
            case.note("verdict: the rule held")
            return 0
        except Broken as broken:
            case.note(f"verdict: broken: {broken}")
            print(f"broken: {broken}")
            return 1
        except BaseException:
            case.note("verdict: could not run\n" + traceback.format_exc())
            traceback.print_exc()
            return 2
        finally:
            processes = [p for p in case._processes.values() if p.returncode is None]
            case.close()
            await asyncio.gather(*(process.wait() for process in processes))

    if not (ROOT / "target" / "deps" / "tamarack_platform").is_dir():
        print("target/deps is missing: run sh deploy/build.sh first")
        return 2
    try:
        socket.create_server(("127.77.77.77", 0)).close()
    except OSError as error:
        print(f"no loopback addresses: {error}")
        return 2
    return asyncio.run(run())
