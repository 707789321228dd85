"""Connection pools that reject answers with a malformed head or of unbounded size."""

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
    """A response with a complete and valid head.

    The standard library ends the head at the first malformed line or at the end of the connection.
    If the length would have followed, a truncated response is returned as complete.
    """

    def begin(self) -> None:
        """Read the head of the final response; raises `HTTPException` if it is not valid."""
        file = self.fp
        head = io.BytesIO(read_answer_head(file))
        self.fp = head  # type: ignore[assignment]
        try:
            super().begin()
        finally:
            if self.fp is head:
                self.fp = file


class DelimitedResponse(CompleteHeadResponse):
    """A response that is not delimited by the close of its connection.

    The kernel reports a reset once. If a failed write has consumed that error, reading ends like
    after an orderly close.
    """

    def begin(self) -> None:
        """Read the head; raises `IncompleteRead` if only the close would delimit the body."""
        super().begin()
        if self.length is None and not self.chunked:
            raise http.client.IncompleteRead(b"")


class _ValidatingConnection(http.client.HTTPConnection):
    """A connection that validates the heads of its responses."""

    def connect(self) -> None:
        """Connect; responses on a new connection may be delimited by its close."""
        self.response_class = CompleteHeadResponse
        super().connect()

    def send(self, data: Any) -> None:
        """Write a part of a request."""
        try:
            super().send(data)
        except OSError:
            # urllib3 still reads the response: the server may have sent it early.
            self.response_class = DelimitedResponse
            raise


class _Connection(_ValidatingConnection, HTTPConnection):
    """A validating connection without TLS."""


class _SecureConnection(_ValidatingConnection, HTTPSConnection):
    """A validating connection with TLS."""


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


class HttpPool(urllib3.PoolManager):
    """A `urllib3.PoolManager` that raises `ProtocolError` for a malformed or truncated head."""

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
