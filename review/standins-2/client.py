"""A client of the platform: one attempt, and what came back of it."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from dataclasses import dataclass, field

from .wire import Message, read_head

HOST = "ficu95.example"


@dataclass
class Attempt:
    """One client attempt and its answer.

    Attributes
    ----------
    status
        Status of the answer; 0 without one.
    complete
        Whether the whole answer arrived.
    """

    attempt: str
    router: str
    sent_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""

    @property
    def events(self) -> list[tuple[int, str]]:
        """Complete events of a stream: id and data."""
        text = self.body.decode("latin-1")
        found = []
        for raw in text.split("\n\n")[:-1]:
            match = re.match(r"id: (\d+)\ndata: (.*)", raw)
            found.append((int(match[1]), match[2]) if match else (-1, raw))
        return found


def head_of(path: str, attempt: str, length: int, headers: dict[str, str]) -> bytes:
    """Head of a request."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


async def send(
    router: str,
    path: str,
    attempt: str,
    *,
    body: bytes = b"hello",
    progress: Attempt | None = None,
    until_events: int | None = None,
    **headers: str,
) -> Attempt:
    """Make one attempt on a new connection; underscores in names stand for hyphens.

    Parameters
    ----------
    progress
        Filled while the answer arrives, in place of a new one.
    until_events
        The client leaves after so many events of a stream.
    """
    result = progress or Attempt(attempt, router)
    result.attempt, result.router, result.sent_s = attempt, router, time.monotonic()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    limit = float(named.get("X-Deadline-Ms", "10000")) / 1000
    writer = None
    try:
        async with asyncio.timeout(limit):
            host, _, port = router.rpartition(":")
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head_of(path, attempt, len(body), named) + body)
            head = await read_head(reader)
            if head is None:
                result.error = "closed without an answer"
            else:
                await _read_body(reader, head, result, until_events)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
        result.error = type(error).__name__
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return result


async def _read_body(
    reader: asyncio.StreamReader, head: Message, result: Attempt, until_events: int | None
) -> None:
    result.status, result.headers = head.status, head.headers
    if head.headers.get("transfer-encoding") != "chunked":
        result.body = await reader.readexactly(int(head.headers.get("content-length", "0")))
        result.complete = True
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            break
        result.body += data
        if until_events is not None and len(result.events) >= until_events:
            return
    result.complete = True


async def ready(address: str) -> bool:
    """The platform's question whether a router is ready."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            head = await read_head(reader)
            return head is not None and head.status == 200
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()
