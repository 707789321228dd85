"""Connection pools that reject an answer with a malformed head or of unbounded size."""

from __future__ import annotations

import http.client
import io
from typing import Any, NamedTuple

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.response import BaseHTTPResponse

from tamarack_client.head_reader import read_answer_head

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


class CompleteHeadResponse(http.client.HTTPResponse):
    """An answer whose head has been checked as a whole.

    The standard library takes the end of the connection, or the first line that is no header, for
    the end of the head. Without the length that would have followed, a part of an answer is a
    success.
    """

    def begin(self) -> None:
        """Read the head of the final answer; raises `HTTPException` if it is cut or malformed."""
        file = self.fp
        head = io.BytesIO(read_answer_head(file))
        self.fp = head  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is head:
                self.fp = file


class DelimitedResponse(CompleteHeadResponse):
    """An answer that does not end with its connection.

    A failed write takes the connection's error, and the reader then finds an orderly end.
    """

    def begin(self) -> None:
        """Read the head; raises `IncompleteRead` if only the connection delimits the body."""
        super().begin()
        if self.length is None and not self.chunked:
            raise http.client.IncompleteRead(b"")


class _AnswerReader(http.client.HTTPConnection):
    """Selects how the answer to a request is read."""

    def connect(self) -> None:
        """Connect; an answer may again end with its connection."""
        self.response_class = CompleteHeadResponse
        super().connect()

    def send(self, data: Any) -> None:
        """Write a part of a request."""
        try:
            super().send(data)
        except OSError:
            # A server may answer a request before it has read all of it.
            self.response_class = DelimitedResponse
            raise


class _Connection(_AnswerReader, HTTPConnection):
    """A connection without TLS."""


class _SecureConnection(_AnswerReader, HTTPSConnection):
    """A connection with TLS."""


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


class HttpPool(urllib3.PoolManager):
    """A `urllib3.PoolManager` that raises `ProtocolError` for a head that is malformed or cut."""

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
