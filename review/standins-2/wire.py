"""HTTP/1.1 for the stand-ins: reading requests and answers, and a small server."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Message:
    """The head of a request or an answer, and its body."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ends before one."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body; None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Serialize an answer; underscores in header names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the kernel does for a killed process with unread bytes."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Handler = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class Server:
    """A server; `handle` answers one request and returns whether the connection stays open."""

    handle: Handler
    address: str = ""
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    listener: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> str:
        """Listen; returns the address."""
        self.listener = await asyncio.start_server(self._serve, host, port, limit=8_000_000)
        name, number = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{name}:{number}"
        return self.address

    def stop(self, *, with_reset: bool = True) -> None:
        """Stop like a killed process."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            if with_reset:
                reset(writer)
            else:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()
