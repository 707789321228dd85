"""Reads the requests of one caller's connection, within limits, and tells each complete one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import httptools

from tamarack_core.clock import Clock
from tamarack_core.ruleset import CallerBounds
from tamarack_gateway.http_messages import Headers, Request
from tamarack_gateway.request_framing import has_valid_framing


class RequestEvents(NamedTuple):
    """Functions that a `RequestReader` calls.

    Attributes
    ----------
    begun
        Called when the first bytes of a message are read.
    expecting
        Called when a head is complete whose caller waits to be told to continue.
    complete
        Called with each complete request, and whether its connection may stay open after it.
    refused
        Called at most once, with a status, for a message that is not accepted; none follows.
    reserve
        Called with the bytes that are held of an incomplete message; returns whether they may be.
    """

    begun: Callable[[], None]
    expecting: Callable[[], None]
    complete: Callable[[Request, bool], None]
    refused: Callable[[int], None]
    reserve: Callable[[int], bool]


NO_EVENTS = RequestEvents(
    begun=lambda: None,
    expecting=lambda: None,
    complete=lambda request, keep: None,
    refused=lambda status: None,
    reserve=lambda held_bytes: True,
)
"""Events of a reader that is closed."""


class RequestReader:
    """Parses bytes into requests, until `refuse` or `stop`.

    Parameters
    ----------
    bounds
        Returns the limits in force.
    """

    def __init__(
        self, clock: Clock, bounds: Callable[[], CallerBounds], events: RequestEvents
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._events = events
        self._parser: Any = httptools.HttpRequestParser(self)
        self._headers: Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._unparsed_bytes = 0
        self._reading = False
        self._head_done = False
        self._expects = False
        self._stopped = False

    @property
    def reading(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self._reading

    @property
    def in_head(self) -> bool:
        """Whether the head of a message has begun and is not complete."""
        return self._reading and not self._head_done

    @property
    def stopped(self) -> bool:
        """Whether further bytes are no requests of this connection."""
        return self._stopped

    @property
    def body_bytes(self) -> int:
        """Bytes that have been read of the body of the current message."""
        return self._body_bytes

    @property
    def unparsed_bytes(self) -> int:
        """Bytes since the last complete head, piece of a body or message."""
        return self._unparsed_bytes

    def feed(self, data: bytes) -> None:
        """Read bytes."""
        self._unparsed_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.refuse(400)
            return
        if self._reading and self._unparsed_bytes > 2 * self._bounds().header_bytes:
            self.refuse(431)
        if self._reading and not self._events.reserve(self._body_bytes + self._unparsed_bytes):
            self.refuse(503)

    def refuse(self, status: int) -> None:
        """Refuse the message that is read, and read no further."""
        if not self._stopped:
            self._stopped = True
            self._body = []
            self._events.refused(status)

    def stop(self) -> None:
        """Read no further."""
        self._stopped = True

    def close(self) -> None:
        """Read no further, and drop what refers to this reader or to its connection."""
        self.stop()
        self._parser, self._events, self._body = None, NO_EVENTS, []

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a message."""
        self._headers, self._target, self._body = [], b"", []
        self._head_bytes = self._body_bytes = 0
        self._reading, self._head_done = True, False
        self._expects = False
        self._events.begun()

    def on_url(self, url: bytes) -> None:
        """Add to the target."""
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer is only counted."""
        self._head_bytes += len(name) + len(value) + 4
        if not self._head_done:
            name = name.lower()
            self._headers.append((name, value))
            if name == b"expect":
                self._expects |= value.lower() == b"100-continue"
        elif self._head_bytes > self._bounds().header_bytes:
            # Trailers are bounded with the headers, and dropped: routes, keys and framing were
            # decided without them.
            self.refuse(431)

    def on_headers_complete(self) -> None:
        """Check a complete head."""
        self._head_done = True
        self._unparsed_bytes = 0
        if self._stopped:
            return
        if self._parser.should_upgrade():
            # The parser ends the message here, without its body: see `_parse`.
            if self._parser.get_method() == b"CONNECT":
                self.refuse(400)
            return
        if self._head_bytes > self._bounds().header_bytes:
            self.refuse(431)
        elif not has_valid_framing(self._target, self._headers):
            self.refuse(400)
        elif self._expects:
            self._events.expecting()

    def on_body(self, body: bytes) -> None:
        """Add to the body."""
        self._body_bytes += len(body)
        self._unparsed_bytes = 0
        if self._stopped:
            return
        if self._body_bytes > self._bounds().body_bytes:
            self.refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Tell a complete request."""
        if self._parser.should_upgrade():
            return
        self._reading = False
        self._unparsed_bytes = 0
        if self._stopped:
            return
        body, self._body = b"".join(self._body), []
        method, now_ms = self._parser.get_method(), self._clock.now_ms
        request = Request(method, self._target, self._headers, body, now_ms)
        self._events.complete(request, self._parser.should_keep_alive())

    def _parse(self, data: bytes) -> None:
        while data and not self._stopped:
            try:
                return self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as end:
                # No upgrade that a caller offers is taken. The parser ends such a message with its
                # head; another one reads it without the offer, and then its body.
                (position,) = end.args
                data = self._head_without_upgrade() + data[position:]
                self._parser = httptools.HttpRequestParser(self)
        return None

    def _head_without_upgrade(self) -> bytes:
        version = self._parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s\r\n" % (self._parser.get_method(), self._target, version)]
        lines += [b"%s: %s\r\n" % header for header in self._headers if header[0] != b"upgrade"]
        return b"".join([*lines, b"\r\n"])
