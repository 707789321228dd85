"""A stand-in of a worker in trouble: bytes that are no answer, without end."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple

from tamarack_standins.platform_worker import PlatformWorker, ReceivedRequest, Script
from tamarack_standins.wire import chunk

PIECE = 16_384
"""Bytes of filling that are written at a time."""


SMALL_PIECE = 64
"""Bytes of a small chunk."""


class _Shape(NamedTuple):
    """What comes once, after the signed head if there is one, and what is repeated without end."""

    signed: bool
    once: bytes
    again: bytes
    chunked: bool = True


class Endless(Enum):
    """Where the endless bytes of an answer are."""

    HEADER = _Shape(False, b"HTTP/1.1 200 OK\r\nX-Fill: ", b"x" * PIECE)
    HEADERS = _Shape(False, b"HTTP/1.1 200 OK\r\n", b"X-Fill: %s\r\n" % (b"x" * PIECE))
    INFORMATIONAL = _Shape(False, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500)
    CHUNK_EXTENSION = _Shape(True, b"5;x=", b"x" * PIECE)
    CHUNK_SIZE = _Shape(True, b"", b"0" * PIECE)
    TRAILERS = _Shape(True, b"0\r\n", b"X-Fill: %s\r\n" % (b"x" * PIECE))
    EVENT = _Shape(True, b"", chunk(b"x" * PIECE))
    SMALL_CHUNKS = _Shape(True, b"", chunk(b"x" * SMALL_PIECE) * 256)
    COMMENTS = _Shape(True, b"", chunk(b": fill\n" * 2_000))
    UNFRAMED = _Shape(True, b"", b"x" * PIECE, chunked=False)

    @property
    def is_body(self) -> bool:
        """Whether the endless bytes are those of the answer's body."""
        bodies = (Endless.EVENT, Endless.SMALL_CHUNKS, Endless.COMMENTS, Endless.UNFRAMED)
        return self in bodies


class EndlessWorker(PlatformWorker):
    """Answers each request without end, until the connection closes.

    Attributes
    ----------
    sent
        Bytes written in all.
    """

    def __init__(self, name: str, endless: Endless) -> None:
        super().__init__(name)
        self._shape = endless.value
        self.sent = 0

    async def _answer(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if self._shape.signed:
            framing = ["transfer-encoding: chunked"] if self._shape.chunked else []
            lines = [*self._head(script, received), *framing]
            writer.write("\r\n".join([*lines, "", ""]).encode())
        writer.write(self._shape.once)
        while True:
            writer.write(self._shape.again)
            self.sent += len(self._shape.again)
            await writer.drain()
