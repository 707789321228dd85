"""A stand-in of a worker: runs requests one after the other on each connection."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from standins.http import Head, read_body, read_head

Answer = Callable[["Run", asyncio.StreamWriter], Awaitable[bool]]
"""Answers a run on its connection; returns whether the connection stays open."""


class Run(NamedTuple):
    """A request that a worker runs."""

    worker: str
    head: Head
    body: bytes

    @property
    def attempt(self) -> str:
        """The request's attempt id."""
        return self.head.headers.get("x-attempt-id", "")

    @property
    def after(self) -> int:
        """Id of the last event that the client has; 0 if it has none."""
        return int(self.head.headers.get("last-event-id", "0"))


class Worker:
    """Serves on a loopback address.

    Parameters
    ----------
    answer
        Answers each run.
    port
        Port to listen on; zero takes a free one.

    Attributes
    ----------
    runs
        All runs, in order.
    """

    def __init__(
        self, name: str, service: str, answer: Answer, *, version: str = "v1", port: int = 0
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.address = ""
        self.runs: list[Run] = []
        self.on_run: Callable[[Run], None] = lambda run: None
        self._answer = answer
        self._port = port
        self._born = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start, or start again, under the same id."""
        self._born = max(self._born + 1, time.time_ns() // 1_000_000)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        host, self._port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{self._port}"

    async def crash(self) -> None:
        """End like a killed process: all connections are closed, and no new one is accepted."""
        if self._server is not None:
            self._server.close()
            self._server = None
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def entry(self, state: str = "ready") -> dict[str, object]:
        """What the worker writes to the store under `servers/ID`."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "kitami-hall",
            "version": self.version,
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self._born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self._serve_request(head, await read_body(reader, head), writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_request(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        if head.target == "/api/kv-list":
            data = b'{"epoch":1,"next":1,"held":[]}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
            return True
        if head.headers.get("x-target-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
            return True
        run = Run(self.name, head, body)
        self.runs.append(run)
        self.on_run(run)
        return await self._answer(run, writer)


def head_of(run: Run, *headers: str) -> bytes:
    """Head of a signed success."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {run.attempt}",
        f"X-Server-Stamp: 3e1b.07.{run.worker}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def event(number: int, data: str) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """One chunk of a body; an empty one ends it."""
    return b"%x\r\n%s\r\n" % (len(data), data)
