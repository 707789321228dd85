"""A worker of the platform: streams of events, plain answers, its report and its entry."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .wire import Message, Server, answer, reset

Hook = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[bool | None]]


def chunk(data: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclass
class Worker:
    """A sound worker, unless `hook` answers a request instead (it returns None to leave it).

    Attributes
    ----------
    runs
        Attempt ids of all requests that it began to work on, with the time.
    events
        Number of events in each stream, with ids from 1.
    pace_s, first_s
        Time between two events, and before the first one.
    """

    name: str
    service: str
    zone: str = "kitami-hall"
    version: str = "v1"
    slots: int = 64
    events: int = 20
    pace_s: float = 0.04
    first_s: float = 0.05
    plain_s: float = 0.03
    hook: Hook | None = None
    log: Callable[[str], None] = lambda line: None
    runs: list[tuple[str, float]] = field(default_factory=list)
    state: str = "ready"

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)
        self.server = Server(self._handle)

    async def start(self, host: str) -> str:
        """Listen; returns the address."""
        return await self.server.start(host)

    @property
    def address(self) -> str:
        """Address of the worker."""
        return self.server.address

    def entry(self) -> dict[str, object]:
        """Its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
        }

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if request.target.startswith("/api/kv-list"):
            body = json.dumps({"epoch": 1, "next": 1, "held": [], "born": self.born}).encode()
            writer.write(answer(200, body, Content_Type="application/json"))
            return True
        attempt = request.headers.get("x-attempt-id")
        if attempt is None:
            writer.write(answer(400, X_Not_Executed="1"))
            return True
        if request.headers.get("x-target-instance", self.name) != self.name:
            writer.write(answer(421, X_Attempt_Id=attempt, X_Not_Executed="1"))
            return True
        after = request.headers.get("last-event-id", "0")
        self.log(f"worker {self.name} {self.version} runs {attempt} after event {after}")
        self.runs.append((attempt, time.monotonic()))
        if self.hook is not None:
            done = await self.hook(self, request, writer)
            if done is not None:
                return done
        if "x-token-usage" in request.headers:
            return await self.stream(request, writer)
        await asyncio.sleep(self.plain_s)
        stamp = f"stamp-{self.name}"
        body = b"answer to " + attempt.encode()
        writer.write(answer(200, body, X_Attempt_Id=attempt, X_Server_Stamp=stamp))
        await writer.drain()
        return True

    def stream_head(self, request: Message) -> bytes:
        """Head of a stream in chunks."""
        return (
            "HTTP/1.1 200 OK\r\n"
            f"X-Attempt-Id: {request.headers['x-attempt-id']}\r\n"
            f"X-Server-Stamp: stamp-{self.name}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()

    def event(self, number: int) -> bytes:
        """One event; its data names the worker and its software version."""
        return b"id: %d\ndata: %s %s\n\n" % (number, self.name.encode(), self.version.encode())

    async def stream(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer with the events after the one that the request names."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(self.stream_head(request))
        await asyncio.sleep(self.first_s)
        for number in range(first, self.events + 1):
            writer.write(chunk(self.event(number)))
            await writer.drain()
            await asyncio.sleep(self.pace_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def crash(self) -> None:
        """End like a killed process."""
        self.server.stop()

    @staticmethod
    def break_off(writer: asyncio.StreamWriter) -> bool:
        """Reset one connection."""
        reset(writer)
        return False
