"""Connection pools that reject an answer whose connection closes inside its head."""

from __future__ import annotations

import http.client
from typing import Any, BinaryIO

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection


class _HeadReader:
    """Lines of a head; raises `IncompleteRead` where they end before the empty line."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._begun = False

    def readline(self, limit: int = -1, /) -> bytes:
        """Read a line; empty only if the connection closed before the first one."""
        line = self._file.readline(limit)
        if self._begun and not line:
            raise http.client.IncompleteRead(b"")
        self._begun = True
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
    """A `urllib3.PoolManager` that raises `ProtocolError` for an answer cut inside its head."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.pool_classes_by_scheme = {"http": _Pool, "https": _SecurePool}
