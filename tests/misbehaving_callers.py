"""Callers that send what no well-behaved client does, and a crowd of them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import AsyncIterator, Iterator
from typing import NamedTuple

CROWD = 24
"""Number of misbehaving callers of one test, unless it names another."""

SENDABLE_BYTES = 80_000_000
"""Bytes after which a caller that would send without end stops."""

PIECE_BYTES = 65_536

HELD_S = 1.0
"""Time in seconds for which a crowd's connections stay open before an ordinary request is sent."""

SEND_S = 20.0
"""Longest time in seconds for which a crowd sends; its connections stay open after that."""

HEADER_BYTES = 65_536
BODY_BYTES = 1_000_000
"""Limits of the tests for a request's head and for its body."""

TINY_CHUNK = b"2\r\nxx\r\n"
"""Two bytes: the interpreter keeps all single bytes, so that they need no memory."""

SHORT_HEADER = b"ab:cd\r\n"

LARGE_CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"


class Shape(NamedTuple):
    """What one misbehaving caller sends.

    Attributes
    ----------
    head
        Sent after the request line and its usual headers, or instead of them.
    repeated
        Sent again and again.
    size
        Bytes of `repeated` that are sent in all; without end if it is `SENDABLE_BYTES`.
    bare
        Whether the request line and the usual headers are left out.
    callers
        Number of such callers.
    """

    head: bytes
    repeated: bytes = b""
    size: int = 0
    bare: bool = False
    callers: int = CROWD

    @property
    def endless(self) -> bool:
        """Whether more is sent than any limit allows."""
        return self.size >= SENDABLE_BYTES

    def pieces(self, opening: bytes) -> Iterator[bytes]:
        """What a caller sends, piece by piece."""
        yield self.head if self.bare else opening + self.head
        if not self.repeated:
            return
        piece = self.repeated * max(1, PIECE_BYTES // len(self.repeated))
        for sent in itertools.count(0, len(piece)):
            if sent >= self.size:
                return
            yield piece[: self.size - sent]


CHUNKED = b"transfer-encoding: chunked\r\n\r\n"

UNFINISHED_SMALL = len(TINY_CHUNK) * (BODY_BYTES // 2 - 1)
UNFINISHED_LARGE = len(LARGE_CHUNK) * (BODY_BYTES // 0x10000)
UNFINISHED_HEAD = HEADER_BYTES - 4_096

SHAPES = {
    "head over the limit": Shape(b"long: ", b"a", 4 * HEADER_BYTES),
    "header line without end": Shape(b"long: ", b"a", SENDABLE_BYTES),
    "header lines without end": Shape(b"", SHORT_HEADER, SENDABLE_BYTES),
    "heads that stop short": Shape(b"", SHORT_HEADER, UNFINISHED_HEAD, callers=100),
    "complete heads, bodies that stop short": Shape(
        SHORT_HEADER * (UNFINISHED_HEAD // len(SHORT_HEADER)) + b"content-length: 2\r\n\r\nx",
        callers=100,
    ),
    "request line without end": Shape(b"GET /", b"a", SENDABLE_BYTES, bare=True),
    "empty lines without end": Shape(b"\r\n", b"\r\n", SENDABLE_BYTES, bare=True),
    "large chunks that stop short": Shape(CHUNKED, LARGE_CHUNK, UNFINISHED_LARGE),
    "tiny chunks that stop short": Shape(CHUNKED, TINY_CHUNK, UNFINISHED_SMALL),
    "large chunks without end": Shape(CHUNKED, LARGE_CHUNK, SENDABLE_BYTES),
    "tiny chunks without end": Shape(CHUNKED, TINY_CHUNK, SENDABLE_BYTES),
    "one chunk far over the limit": Shape(CHUNKED + b"40000000\r\n", b"x", SENDABLE_BYTES),
    "chunk size line without end": Shape(CHUNKED + b"1;", b"a", SENDABLE_BYTES),
    "chunk extensions without end": Shape(
        CHUNKED, b"1;" + b"a" * 16_000 + b"\r\nx\r\n", SENDABLE_BYTES
    ),
    "trailers without end": Shape(CHUNKED + b"0\r\n", SHORT_HEADER, SENDABLE_BYTES),
    "body far over the limit, announced": Shape(
        b"content-length: 10000000000\r\n\r\n", b"x", SENDABLE_BYTES
    ),
    "body far over the limit, announced and not sent": Shape(
        b"content-length: 10000000000\r\n\r\n"
    ),
    "body of negative length": Shape(b"content-length: -1\r\n\r\n", b"x", SENDABLE_BYTES),
    "body that nobody reads": Shape(
        b"GET /healthz HTTP/1.1\r\nhost: x\r\ncontent-length: 10000000000\r\n\r\n",
        b"x",
        SENDABLE_BYTES,
        bare=True,
    ),
}


class Crowd:
    """Connections of misbehaving callers.

    Attributes
    ----------
    sent
        Bytes that each caller could send.
    """

    def __init__(self, address: str, opening: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._opening = opening
        self._sockets: list[socket.socket] = []
        self.sent: list[int] = []

    async def send(self, shape: Shape) -> None:
        """Send a shape from each of its callers, as far as the other end takes it."""
        tasks = [asyncio.ensure_future(self._send(shape)) for _ in range(shape.callers)]
        _, late = await asyncio.wait(tasks, timeout=SEND_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, shape: Shape) -> None:
        number = len(self.sent)
        self.sent.append(0)
        caller = socket.socket()
        self._sockets.append(caller)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(caller, self._target)
            for piece in shape.pieces(self._opening):
                await loop.sock_sendall(caller, piece)
                self.sent[number] += len(piece)

    def close(self) -> None:
        """Close all connections."""
        for caller in self._sockets:
            caller.close()


@contextlib.asynccontextmanager
async def crowd(address: str, opening: bytes, *shapes: Shape) -> AsyncIterator[Crowd]:
    """Send shapes to an address, and keep the connections open."""
    callers = Crowd(address, opening)
    try:
        await asyncio.gather(*(callers.send(shape) for shape in shapes))
        await asyncio.sleep(HELD_S)
        yield callers
    finally:
        callers.close()
