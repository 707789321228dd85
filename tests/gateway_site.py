"""A small fleet on loopback: a simulated store and workers, and routers in the test's loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, NamedTuple

from tamarack_core.clock import BootClock, Clock
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.event_loop import new_event_loop
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.site import FleetBounds, GatewaySettings
from tamarack_platform.platform_site import platform_site
from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import PlatformWorker

HOST = "shop.example"
KEY = "key-one"
WAIT_S = 10.0


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """A configuration with a plain service and a pool of engines."""
    routes = [
        _route("/page/", "non_idempotent", "web", public=True),
        _route("/search/", "idempotent", "web", public=True, maxAttempts=2),
        _route("/draft/", "streaming", "pool", maxAttempts=2, resumeStreams=True),
        _route("/rewrite/", "streaming", "pool"),
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "web", "healthPath": "/health"},
            {"name": "pool", "engine": {"slots": 64, "kvCapacityTokens": 500_000, "stride": 5}},
        ],
        "limits": {"maxBodyBytes": 100_000, "tokensPerS": 300_000},
        "tenants": [{"name": "shop", "apiKeys": [KEY]}],
        **changes,
    }


def _route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": prefix,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 4_000,
        "targetLatencyMs": 800,
        "maxAttempts": 1,
        **more,
    }


class Answer(NamedTuple):
    """A caller's answer; `whole` is False if the connection closed too early."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Fleet:
    """A store, workers and one router.

    Parameters
    ----------
    workers
        Workers by service.
    regions
        Region of each failure domain.
    """

    def __init__(
        self,
        workers: dict[str, list[PlatformWorker]],
        *,
        regions: dict[str, str] | None = None,
        **bounds: float,
    ) -> None:
        self.store = PlatformStore()
        self._workers = workers
        self._bounds = FleetBounds()._replace(**bounds)
        self._regions = regions or {}
        self._stack = contextlib.AsyncExitStack()
        self.gateway: Gateway
        self.others: list[Gateway] = []
        self._attempts = 0

    async def __aenter__(self) -> Fleet:
        await self._stack.enter_async_context(self.store)
        await self.store.put("op", "config", configuration())
        for service, workers in self._workers.items():
            for worker in workers:
                await self._stack.enter_async_context(worker)
                await self.store.put("servers", worker.name, worker.entry(service))
        self.gateway = await self._stack.enter_async_context(self.router("router-1"))
        await until(lambda: self.gateway.state.ready)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    async def add_routers(self, count: int) -> None:
        """Start more routers, and wait until they are ready."""
        for _ in range(count):
            router = self.router(f"router-{len(self.others) + 2}")
            self.others.append(await self._stack.enter_async_context(router))
        await until(lambda: all(router.state.ready for router in self.others))

    async def until_acquainted(self, *more: Gateway) -> None:
        """Wait until all routers hear each other."""
        routers = (self.gateway, *self.others, *more)
        for router in routers:
            names = {other.state.settings.router for other in routers if other is not router}
            await until(
                lambda router=router, names=names: (
                    {member.router for member in router._members.known()} >= names
                )
            )

    def router(
        self,
        name: str,
        *,
        clock: Clock | None = None,
        domain: str = "a",
        store: str = "",
        descriptors: int = 1_024,
    ) -> Gateway:
        """Another router of the fleet; it may have its own clock, domain or store address."""
        settings = GatewaySettings(
            router=name,
            failure_domain=domain,
            callers="127.0.0.1:0",
            readiness="127.0.0.1:0",
            directory="127.0.0.1:0",
            peers="127.0.0.1:0",
            metrics="127.0.0.1:0",
            store=store or self.store.address,
            bounds=self._bounds,
            descriptors=descriptors,
            regions=self._regions,
        )
        site = platform_site()._replace(load_settings=lambda: settings)
        clock = clock or BootClock()
        return Gateway(site, clock, DecisionLog(name, clock, output=2), seed=1)

    def request(self, path: str, *, method: str = "POST", body: bytes = b"x", **more: str) -> bytes:
        """Bytes of a request with a new attempt id."""
        self._attempts += 1
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"attempt{self._attempts}",
            "X-Deadline-Ms": "4000",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        if path.startswith(("/draft", "/rewrite")):
            defaults = {
                "Authorization": f"Token {KEY}",
                "X-Model": "m",
                "X-Token-Usage": "300,50",
                "X-Prompt-Prefix": "aa:200,b:100",
            }
            headers = {**defaults, **headers}
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def ask(self, path: str, *, at: Gateway | None = None, **more: Any) -> Answer:
        """Send one request on a new connection."""
        return await self.send(self.request(path, **more), at=at)

    async def try_ask(self, path: str, *, at: Gateway | None = None, **more: Any) -> Answer | None:
        """Send one request; None if the connection closes without an answer."""
        try:
            return await self.ask(path, at=at, **more)
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def send(self, data: bytes, *, at: Gateway | None = None) -> Answer:
        """Send bytes on a new connection and read one answer."""
        reader, writer = await connect((at or self.gateway).callers)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, complete or truncated."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") != "chunked":
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(status, headers, body, True)
    body = b""
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, body, False)
    return Answer(status, headers, body, True)


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the test fails if it does not become true in time."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def play(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine with a timeout."""

    async def with_timeout() -> None:
        async with asyncio.timeout(30):
            await coroutine

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(with_timeout())


def addresses_in(answer: Answer) -> list[str]:
    """Addresses in an answer of the directory."""
    return list(json.loads(answer.body)["addresses"])
