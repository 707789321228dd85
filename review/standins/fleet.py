"""Starts the project's routers as the deploy file does, each on a loopback address of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
PORTS = {"front": 8783, "ready": 8780, "directory": 8789, "peers": 7400}
READY_S = 20.0
CONTACT_S = 3.2
"""Time after which routers that have just started are in touch: `contactMs`, and some more."""

ZONES = ("kitami-hall", "obihiro-hall", "kushiro-hall")
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """A configuration of the operator: streams that may be resumed, and plain requests."""
    shared = {"host": HOST, "priority": 1, "targetLatencyMs": 800}
    stream = {**shared, "kind": "streaming", "service": "llm-pool", "timeoutMs": 12_000}
    plain = {**shared, "service": "office-api", "timeoutMs": 5_000, "public": True}
    routes = [
        {
            **stream,
            "name": "round-replan",
            "prefix": "/replan/",
            "maxAttempts": 2,
            "stickySessions": True,
            "resumeStreams": True,
            "gapTargetMs": 400,
        },
        {
            **plain,
            "name": "tank-reading",
            "prefix": "/tank/",
            "kind": "non_idempotent",
            "maxAttempts": 1,
        },
        {
            **plain,
            "name": "customer-record",
            "prefix": "/record/",
            "kind": "idempotent",
            "maxAttempts": 2,
        },
    ]
    engine = {"slots": 64, "kvCapacityTokens": 530_521, "stride": 3, "models": [{"name": "m"}]}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm-pool", "healthPath": "/health", "maxConnections": 370, "engine": engine},
            {"name": "office-api", "healthPath": "/health", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 140_000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
        **changes,
    }


def _free_network() -> str:
    """The first three numbers of a loopback network on which all ports are free."""
    for number in range(200):
        network = f"127.{54 + number % 100}.{os.getpid() % 250 + 1}"
        with contextlib.ExitStack() as stack:
            try:
                for member in range(2, 6):
                    for port in (*PORTS.values(), METRICS_PORT):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((f"{network}.{member}", port))
            except OSError:
                continue
            return network
    raise OSError("no free loopback network")


class Router:
    """One router process."""

    def __init__(self, number: int, ip: str, store: str, folder: Path) -> None:
        self.name = f"edge-{ZONES[number % 3]}-{number + 1}"
        self.ip = ip
        self.front = f"{ip}:{PORTS['front']}"
        self._folder = folder
        self._settings = folder / f"{self.name}.yaml"
        self._settings.write_text(json.dumps(_settings(self.name, number, ip, store)))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["TAMARACKTURN_CONFIG"] = str(self._settings)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "-m", "tamarack_platform"),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def until_ready(self) -> None:
        """Wait until the process says that it is ready; raises `TimeoutError`."""
        async with asyncio.timeout(READY_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def ended(self, grace_s: float) -> float:
        """Wait for the end of a process that was asked to stop; kill it after `grace_s`.

        Returns the seconds that it took.
        """
        assert self._process is not None
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(grace_s):
                await self._process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        return loop.time() - started_s

    async def end(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._process.wait()

    def log(self) -> list[dict[str, Any]]:
        """Lines that the process has logged."""
        lines = (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def text(self) -> str:
        """What the process has written, as text."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, PORTS["ready"])
        except OSError:
            return False
        try:
            writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()


class Fleet:
    """A number of routers, as an asynchronous context manager that ends all of them."""

    def __init__(self, count: int, store: str) -> None:
        self._count = count
        self._store = store
        self._stack = contextlib.ExitStack()
        self._folder = Path()
        self._network = ""
        self.routers: list[Router] = []

    async def __aenter__(self) -> Fleet:
        self._folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._network = _free_network()
        for _ in range(self._count):
            self._new()
        try:
            for router in self.routers:
                await router.start()
            for router in self.routers:
                await router.until_ready()
            await asyncio.sleep(CONTACT_S)
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._end()

    async def add(self) -> Router:
        """Add a machine with one more router, and start it."""
        router = self._new()
        await router.start()
        return router

    def _new(self) -> Router:
        number = len(self.routers)
        router = Router(number, f"{self._network}.{number + 2}", self._store, self._folder)
        self.routers.append(router)
        return router

    async def _end(self) -> None:
        for router in self.routers:
            await router.end()
        self._stack.close()


def _settings(name: str, number: int, ip: str, store: str) -> dict[str, Any]:
    """The settings file of one machine, with the bounds of the Kitami deployment."""
    listen = {kind: f"{ip}:{PORTS[kind]}" for kind in ("front", "ready", "directory")}
    return {
        "nodeName": name,
        "role": "router",
        "machineClass": "edge",
        "serves": ["edge", "registry"],
        "ip": ip,
        "zone": ZONES[number % 3],
        "region": "doto",
        "zones": dict.fromkeys(ZONES, "doto"),
        "listen": listen,
        "internalPorts": [PORTS["peers"], PORTS["peers"] + 15],
        "seedNodes": [],
        "bootstrap": True,
        "limits": {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4_100},
        "dataDir": None,
        "discovery": "platform",
        "entry": "registry",
        "heartbeatMs": 1_200,
        "contracts": ["base", "drain", "config", "retry", "recover", "engine", "stream", "tenants"],
        "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": {
            "contactMs": 3_000,
            "drainMs": 2_000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2_000,
            "outerBoundMs": 5_000,
            "failClosed": True,
            "revokeMs": 5_000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "retrySlack": 56,
            "recoveryS": 12,
            "quotaWindowS": 4,
            "ttl_max_s": 5,
        },
        "platform": {"address": store, "form": "table", "historyS": 20},
    }
