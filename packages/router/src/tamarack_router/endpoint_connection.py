"""One HTTP exchange with an endpoint over its own non-blocking socket.

A connection carries one exchange and is closed after it. On a reused connection the unread rest of
one answer could be read as the start of the next, and reach the wrong caller.
"""

from __future__ import annotations

import errno
import selectors
import socket
from typing import NamedTuple

import h11
import httptools

from tamarack_core.answer_head import MIN_FINAL_STATUS, MalformedHeadError, validate_head

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
"""Maximum size of a head, and received bytes without any of a body in which it must be complete:
interim answers, chunk extensions and trailers may come without end, too."""


class Head(NamedTuple):
    """Status and headers were received; header names are in lower case."""

    status: int
    headers: dict[str, str]


class Body(NamedTuple):
    """A part of the body was received."""

    data: bytes


class End(NamedTuple):
    """The answer is complete."""


class ConnectionFailed(NamedTuple):
    """The connection failed or closed before the answer was complete."""

    reason: str


ConnectionEvent = Head | Body | End | ConnectionFailed


class EndpointConnection:
    """Connects, sends one request and returns the response as events.

    Parameters
    ----------
    address
        `IP:PORT` of the endpoint.
    """

    def __init__(
        self, address: str, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._out = memoryview(_request_bytes(address, method, path, headers, body))
        self._position = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connected = False
        self._ended = False
        self._events: list[ConnectionEvent] = []
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = self._framing_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def sock(self) -> socket.socket:
        """The socket to register with a selector."""
        return self._sock

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have reached the endpoint."""
        return self._position > 0

    @property
    def interest(self) -> int:
        """Selector events to wait for."""
        if self._position < len(self._out):
            return selectors.EVENT_WRITE | (selectors.EVENT_READ if self._connected else 0)
        return selectors.EVENT_READ

    def start(self) -> list[ConnectionEvent]:
        """Start to connect; return an event if that fails at once."""
        code = self._sock.connect_ex(self._target)
        if code not in (0, errno.EINPROGRESS):
            return [ConnectionFailed(errno.errorcode.get(code, str(code)))]
        return []

    def close(self) -> None:
        """Close the socket, whether or not the answer is complete."""
        self._sock.close()

    def ready(self, mask: int) -> list[ConnectionEvent]:
        """Write and read until the socket would block; return the events."""
        try:
            if mask & selectors.EVENT_WRITE:
                self._write()
            if mask & selectors.EVENT_READ and self._connected:
                self._read()
        except OSError as error:
            self._broke(errno.errorcode.get(error.errno or 0, str(error)))
        except httptools.HttpParserError as error:
            # The parser wraps errors that callbacks raise.
            self._broke(f"malformed answer: {error.__context__ or error}")
        events = self._events
        self._events = []
        return events

    def _write(self) -> None:
        if not self._connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, "connect failed")
            self._connected = True
        try:
            self._position += self._sock.send(self._out[self._position :])
        except BlockingIOError:
            return

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self._broke("closed early")
            return
        self._framing_bytes += len(data)
        self._parser.feed_data(data)
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._broke("bytes that are no answer, without end")

    def _broke(self, reason: str) -> None:
        if not self._ended:
            self._ended = True
            self._events.append(ConnectionFailed(reason))

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Handle the start of a head."""
        self._reason, self._headers = b"", []

    def on_status(self, reason: bytes) -> None:
        """Handle a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header."""
        self._head_bytes += len(name) + len(value)
        # Without a limit an endpoint that sends endless headers would exhaust the router's memory.
        if self._head_bytes > MAX_HEAD_BYTES:
            raise MalformedHeadError("the head is too large")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the end of the response head."""
        if self._ended:
            return
        status = self._parser.get_status_code()
        validate_head(self._parser.get_http_version(), status, self._reason, self._headers)
        if status >= MIN_FINAL_STATUS:
            headers = {n.decode().lower(): v.decode("latin-1") for n, v in self._headers}
            self._events.append(Head(status, headers))
            self._framing_bytes = 0

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        if not self._ended:
            self._framing_bytes = 0
            self._events.append(Body(data))

    def on_message_complete(self) -> None:
        """Handle the end of the answer, which may arrive before the whole request was sent."""
        if not self._ended and self._parser.get_status_code() >= MIN_FINAL_STATUS:
            self._ended = True
            self._events.append(End())


def _request_bytes(
    address: str, method: str, path: str, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    connection = h11.Connection(h11.CLIENT)
    all_headers = [
        ("Host", address),
        ("Connection", "close"),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    request = h11.Request(method=method, target=path, headers=all_headers)
    out = connection.send(request) or b""
    if body:
        out += connection.send(h11.Data(data=body)) or b""
    return out + (connection.send(h11.EndOfMessage()) or b"")
