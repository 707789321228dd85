"""Connection pools that reject an answer with an incomplete head or of unbounded size."""

from __future__ import annotations

import http.client
from typing import Any, BinaryIO, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.response import BaseHTTPResponse

MAX_HEAD_BYTES = 262_144
"""Maximum size of an answer's head, with interim answers before it."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Maximum size of an answer that is read whole."""

MAX_ERROR_BYTES = 1024 * 1024
"""Maximum size of an answer that only explains a refusal."""

READ_BYTES = 65_536


class AnswerTooLargeError(urllib3.exceptions.HTTPError):
    """An answer is larger than this process reads."""


class Fetched(NamedTuple):
    """A complete answer."""

    status: int
    data: bytes


def read_bounded(response: BaseHTTPResponse, limit_bytes: int) -> bytes:
    """Read a whole body; raises `AnswerTooLargeError` and closes if it exceeds the limit."""
    pieces, size = [], 0
    while piece := response.read(READ_BYTES, decode_content=False):
        pieces.append(piece)
        size += len(piece)
        if size > limit_bytes:
            response.close()
            raise AnswerTooLargeError(f"an answer has more than {limit_bytes} bytes")
    response.release_conn()
    return b"".join(pieces)


class _HeadReader:
    """Lines of a head; raises `IncompleteRead` where they end before the empty line."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._begun = False
        self._bytes = 0

    def readline(self, limit: int = -1, /) -> bytes:
        """Read a line; empty only if the connection closed before the first one."""
        line = self._file.readline(limit)
        if self._begun and not line:
            raise http.client.IncompleteRead(b"")
        self._begun = True
        self._bytes += len(line)
        if self._bytes > MAX_HEAD_BYTES:
            raise http.client.LineTooLong("head")
        return line

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class CompleteHeadResponse(http.client.HTTPResponse):
    """An answer with a complete head.

    The standard library takes the end of the connection for the end of the head: without the
    length that would have followed, an answer that was cut there is a success without a body.
    """

    def begin(self) -> None:
        """Read the head; raises `IncompleteRead` if the connection closes within it."""
        file = self.fp
        reader = _HeadReader(file)
        self.fp = reader  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = file


class _Connection(HTTPConnection):
    response_class = CompleteHeadResponse


class _SecureConnection(HTTPSConnection):
    response_class = CompleteHeadResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


class HttpPool(urllib3.PoolManager):
    """A `urllib3.PoolManager` that raises `ProtocolError` for a head that is cut or too large."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.pool_classes_by_scheme = {"http": _Pool, "https": _SecurePool}

    def fetch(
        self, method: str, url: str, *, limit_bytes: int = MAX_ANSWER_BYTES, **options: Any
    ) -> Fetched:
        """Make a call and read its answer; raises `AnswerTooLargeError` beyond the limit."""
        response = self.request(method, url, preload_content=False, **options)
        try:
            return Fetched(response.status, read_bounded(response, limit_bytes))
        except BaseException:
            response.close()
            raise
