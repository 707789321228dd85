"""Reading of HTTP/1.1 messages, for the stand-ins and the clients."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Head(NamedTuple):
    """First line and headers of a request or an answer; names of headers are in lower case."""

    line: str
    headers: dict[str, str]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; None if the connection has ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(first, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a whole body; raises `IncompleteReadError` if it ends early."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


async def read_chunks(reader: asyncio.StreamReader):  # noqa: ANN201
    """Read a chunked body, chunk by chunk; raises `IncompleteReadError` if it ends early."""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        yield chunk
    await reader.readexactly(2)
