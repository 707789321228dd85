"""Reads the requests of one caller's connection, within limits, and tells each complete one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import httptools

from tamarack_core.clock import Clock
from tamarack_core.ruleset import CallerBounds
from tamarack_gateway.http_messages import Headers, Request
from tamarack_gateway.reading_turns import ReadingTurns
from tamarack_gateway.request_framing import has_valid_framing

HEADER_COST_BYTES = 200
"""Memory in bytes of a header beside its text: two strings, their pair and its place in a list."""

FRAMING_FACTOR = 8
"""Bytes on the wire for each byte of a body, from which on its framing is refused; chunks of a
single byte need six."""

SLICE_BYTES = 8_192
"""Bytes that are parsed before the limits are checked again: a few hundred of the shortest
requests, or a few thousand headers."""


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
    read
        Called with the milliseconds that it took, after bytes that had waited were read.
    """

    begun: Callable[[], None]
    expecting: Callable[[], None]
    complete: Callable[[Request, bool], None]
    refused: Callable[[int], None]
    reserve: Callable[[int], bool]
    read: Callable[[float], None]


NO_EVENTS = RequestEvents(
    begun=lambda: None,
    expecting=lambda: None,
    complete=lambda request, keep: None,
    refused=lambda status: None,
    reserve=lambda held_bytes: True,
    read=lambda took_ms: None,
)
"""Events of a reader that is closed."""


class RequestReader:
    """Parses bytes into requests, until `refuse` or `stop`.

    Parameters
    ----------
    bounds
        Returns the limits in force.
    turns
        Order of connections whose bytes wait.
    """

    def __init__(
        self,
        clock: Clock,
        bounds: Callable[[], CallerBounds],
        events: RequestEvents,
        turns: ReadingTurns,
    ) -> None:
        self._turns = turns
        self._clock = clock
        self._bounds = bounds
        self._events = events
        self._parser: Any = httptools.HttpRequestParser(self)
        self._headers: Headers = []
        self._target = b""
        # One piece as it came, or a buffer: tiny pieces in a list take many times their bytes.
        self._body: bytes | bytearray = b""
        self._header_limit = self._body_limit = 0
        self._announced = b""
        self._unfed = b""
        self._position = 0
        self._paused = self._queued = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._unparsed_bytes = 0
        self._wire_bytes = 0
        self._reading = False
        self._head_done = False
        self._expects = False
        self._stopped = False

    @property
    def reading(self) -> bool:
        """Whether a message has begun and is not complete, or bytes wait."""
        return self._reading or self.waiting_bytes > 0

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

    @property
    def held_bytes(self) -> int:
        """Memory in bytes that the current message takes."""
        text_bytes = max(self._head_bytes, self._unparsed_bytes) + self._body_bytes
        return text_bytes + HEADER_COST_BYTES * len(self._headers)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that have arrived and are not parsed yet."""
        return len(self._unfed) - self._position

    def feed(self, data: bytes) -> None:
        """Read the first bytes; the others wait for the connection's turn."""
        if self.waiting_bytes or self._paused:
            self._unfed = self._unfed[self._position :] + data
            self._position = 0
            return
        self._feed_slice(data[:SLICE_BYTES])
        if len(data) > SLICE_BYTES and not self._stopped:
            self._unfed, self._position = data, SLICE_BYTES
            self._wait()

    def pause(self) -> None:
        """Tell no further requests after those of the current slice, until `resume`."""
        self._paused = True

    def resume(self) -> None:
        """Go on with the bytes that wait."""
        self._paused = False
        if self.waiting_bytes:
            self._wait()

    def _wait(self) -> None:
        if not (self._queued or self._paused):
            self._queued = True
            self._turns.wait(self._read_waiting)

    def _read_waiting(self) -> bool:
        began_ms, position = self._clock.now_ms, self._position
        data = self._unfed[position : position + SLICE_BYTES]
        self._position += len(data)
        if data and not self._stopped:
            self._feed_slice(data)
            self._events.read(self._clock.now_ms - began_ms)
        self._queued = bool(self.waiting_bytes) and not self._paused
        if not self.waiting_bytes:
            self._unfed, self._position = b"", 0
        return self._queued

    def _feed_slice(self, data: bytes) -> None:
        self._unparsed_bytes += len(data)
        if self._head_done:
            self._wire_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.refuse(400)
            return
        if self._unparsed_bytes and self._unparsed_bytes > 2 * self._bounds().header_bytes:
            self.refuse(431 if self._reading else 400)
        if not self._reading:
            return
        if self._wire_bytes > 2 * self._header_limit + FRAMING_FACTOR * self._body_bytes:
            self.refuse(400)
        elif not self._events.reserve(self.held_bytes):
            self.refuse(503)

    def refuse(self, status: int) -> None:
        """Refuse the message that is read, and read no further."""
        if not self._stopped:
            self._stopped = True
            self._drop()
            self._events.refused(status)

    def stop(self) -> None:
        """Read no further."""
        self._stopped = True
        self._unfed, self._position = b"", 0

    def close(self) -> None:
        """Read no further, and drop what refers to this reader or to its connection."""
        self.stop()
        self._drop()
        self._parser, self._events = None, NO_EVENTS

    def _drop(self) -> None:
        self._headers, self._target = [], b""
        self._body = self._unfed = b""
        self._position = 0

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a message."""
        bounds = self._bounds()
        self._header_limit, self._body_limit = bounds.header_bytes, bounds.body_bytes
        self._headers, self._target, self._body = [], b"", b""
        self._announced = b""
        self._head_bytes = self._body_bytes = self._wire_bytes = 0
        self._reading, self._head_done = True, False
        self._expects = False
        self._events.begun()

    def on_url(self, url: bytes) -> None:
        """Add to the target."""
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer is only counted."""
        if self._stopped:
            return
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > self._header_limit:
            self.refuse(431)
        elif not self._head_done:
            # Trailers are dropped: routes, keys and framing were decided without them.
            name = name.lower()
            self._headers.append((name, value))
            if name == b"expect":
                self._expects |= value.lower() == b"100-continue"
            elif name == b"content-length":
                self._announced = value

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
        if self._head_bytes > self._header_limit:
            self.refuse(431)
        elif not has_valid_framing(self._target, self._headers):
            self.refuse(400)
        elif self._announced and int(self._announced) > self._body_limit:
            self.refuse(413)
        elif self._expects:
            self._events.expecting()

    def on_body(self, body: bytes) -> None:
        """Add to the body."""
        self._body_bytes += len(body)
        self._unparsed_bytes = 0
        if self._stopped:
            return
        if self._body_bytes > self._body_limit:
            self.refuse(413)
        elif self._body:
            if not isinstance(self._body, bytearray):
                self._body = bytearray(self._body)
            self._body += body
        else:
            self._body = body

    def on_message_complete(self) -> None:
        """Tell a complete request."""
        if self._parser.should_upgrade():
            return
        self._reading = False
        self._unparsed_bytes = 0
        if self._stopped:
            return
        body, self._body = bytes(self._body), b""
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
