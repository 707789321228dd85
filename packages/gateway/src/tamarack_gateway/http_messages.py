"""HTTP messages as values, and their serialization."""

from __future__ import annotations

from functools import cache
from http import HTTPStatus
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Hop-by-hop headers, and those that frame a message on its connection."""


def _first(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key == name), None)


class Request(NamedTuple):
    """A request that has been read completely.

    Attributes
    ----------
    headers
        Names in lower case, values as sent.
    arrived_ms
        Time at which its last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Value of the first header of that name."""
        return _first(self.headers, name)


class AnswerHead(NamedTuple):
    """Status line and headers of an answer.

    Attributes
    ----------
    length
        Length of the body in bytes; None if it is not declared.
    chunked
        Whether the body is chunked; a body with neither chunks nor a length ends when the
        connection closes.
    """

    status: int
    headers: Headers
    length: int | None
    chunked: bool

    @property
    def unframed(self) -> bool:
        """Whether only the close of the connection delimits the body."""
        return self.length is None and not self.chunked

    def header(self, name: bytes) -> bytes | None:
        """Value of the first header of that name."""
        return _first(self.headers, name)


def request_bytes(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Serialize a request with its length."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def head_bytes(status: int, headers: Headers) -> bytes:
    """Serialize the status line and headers of an answer."""
    lines = [_status_line(status)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    lines.append(b"\r\n")
    return b"".join(lines)


def chunk_bytes(data: bytes) -> bytes:
    """Serialize one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


@cache
def _status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b"Status"
    return b"HTTP/1.1 %d %s\r\n" % (status, phrase)
