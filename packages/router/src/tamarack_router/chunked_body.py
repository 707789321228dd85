"""Reads a request's chunked body within bounds of memory and work."""

from __future__ import annotations

from typing import Any

import httptools

READ_BYTES = 65_536
FRAMING_BYTES = 32_768
"""Bytes of chunk extensions and trailers that are read whatever the size of the body."""

FRAMING_FACTOR = 8
"""Bytes on the wire for each byte of a body, from which on its framing is refused; chunks of a
single byte need six."""

_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"


class ChunkedBody:
    """A body whose chunks are read piece by piece.

    The HTTP library's own reader holds a chunk of any announced size, and copies what it has with
    each chunk. This one may read beyond the end: the connection closes after the answer.

    Parameters
    ----------
    source
        The connection's buffered reader, behind the request's head.
    """

    def __init__(self, source: Any) -> None:
        self._source = source
        self._body = bytearray()
        self._complete = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._parser.feed_data(_HEAD)

    def on_body(self, piece: bytes) -> None:
        """Add a piece; called by the parser."""
        if not self._complete:
            self._body += piece

    def on_message_complete(self) -> None:
        """Record the end; called by the parser."""
        self._complete = True

    def read(self, size: int) -> bytes:
        """Read the body up to a size in bytes.

        Raises `EOFError` if the caller stops before its end, `ValueError` if it is malformed.
        """
        try:
            self._read(size)
        finally:
            # It refers to this reader: without the cycle, the body is freed at once.
            self._parser = None
        return bytes(self._body[:size])

    def _read(self, size: int) -> None:
        wire_bytes = 0
        while not self._complete and len(self._body) < size:
            data = self._source.read1(READ_BYTES)
            if not data:
                raise EOFError("the body is truncated")
            wire_bytes += len(data)
            self._parse(data)
            if wire_bytes > FRAMING_BYTES + FRAMING_FACTOR * len(self._body):
                raise ValueError("the body is mostly framing")

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # What follows the end may be anything.
            if not self._complete:
                raise ValueError("the chunks are malformed") from error
