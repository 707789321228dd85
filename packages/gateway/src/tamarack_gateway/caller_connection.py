"""A caller's HTTP connection: reads each request completely and answers them in order."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections import deque
from collections.abc import Awaitable, Callable
from functools import cache
from typing import Any

import httptools

from tamarack_core.clock import Clock
from tamarack_core.ruleset import CallerBounds
from tamarack_gateway.http_messages import (
    LAST_CHUNK,
    Headers,
    Request,
    chunk_bytes,
    head_bytes,
)
from tamarack_gateway.request_framing import has_valid_framing

DRAIN_BYTES = 4_000_000
"""Bytes of a refused body that are read and discarded: closing with unread bytes resets the
connection, and the caller would see a broken pipe instead of the refusal."""

REFUSED_MS = 1_000.0
"""Time in milliseconds for which the rest of a refused message is read before the close."""

WRITE_HIGH_BYTES = 256 * 1024
"""Bytes buffered for a slow caller from which on its answer is no longer read from the endpoint."""

STOP_TIMEOUT_MS = 200.0
"""Timeout in milliseconds for a cancelled handler to return, and before for the kernel to take a
complete answer; a handler that does not return would block the router's exit until the process is
killed."""

EXIT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
"""Requested size of the kernel's send buffer at the exit; the system allows less. What it holds is
still delivered after the process has ended."""

Handler = Callable[[Request, "CallerConnection"], Awaitable[None]]

Refusal = Callable[[Request, "CallerConnection"], bool]


def no_refusal(request: Request, caller: CallerConnection) -> bool:
    """Refuse no request early."""
    return False


class CallerDisconnectedError(ConnectionError):
    """The caller has closed its connection."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    handler
        Answers a request by calling `answer`, or `begin`, `write` and `end`, of this connection.
    refuse_early
        Answers a request that is refused without further work; returns whether it did. It is called
        before a task is started for the handler, which costs as much as a refusal.
    bounds
        Returns the limits in force.
    registry
        The set of open connections, to which this one adds itself.
    should_close
        Returns whether the connection closes after its first answer, for want of room.

    Attributes
    ----------
    closing
        Whether the connection closes after the answer in progress.
    on_writable
        Called once when the write buffer of a slow caller has drained.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        bounds: Callable[[], CallerBounds],
        registry: set[CallerConnection],
        should_close: Callable[[], bool] = lambda: False,
        refuse_early: Refusal = no_refusal,
    ) -> None:
        self._should_close = should_close
        self._refuse_early = refuse_early
        self._answered = False
        self._handler = handler
        self._clock = clock
        self._bounds = bounds
        self._registry = registry
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writable = True
        self._emptied: asyncio.Future[None] | None = None
        self._headers: Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._unparsed_bytes = 0
        self._reading = False
        self._head_done = False
        self._keep_alive = True
        self._begun = False
        self._refused = False
        self._refusal: int | None = None
        self._finished = False
        self._discarded = 0
        self._changed_ms = clock.now_ms
        self.closing = False
        self.on_writable: Callable[[], None] | None = None

    # asyncio.Protocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._registry.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._registry.discard(self)
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        if self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)
        on_writable, self.on_writable = self.on_writable, None
        if on_writable is not None:
            on_writable()

    def data_received(self, data: bytes) -> None:
        if self._refused:
            self._discard(len(data))
            return
        self._unparsed_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._refuse(400)
            return
        if self._reading and self._unparsed_bytes > 2 * self._bounds().header_bytes:
            self._refuse(431)

    # httptools callbacks

    def on_message_begin(self) -> None:
        self._headers, self._target, self._body = [], b"", []
        self._head_bytes = self._body_bytes = 0
        self._reading, self._head_done = True, False
        self._changed_ms = self._clock.now_ms

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value) + 4
        if not self._head_done:
            self._headers.append((name.lower(), value))
        elif self._head_bytes > self._bounds().header_bytes:
            # Trailers are bounded with the headers, and dropped: routes, keys and framing were
            # decided without them.
            self._refuse(431)

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._unparsed_bytes = 0
        if self._refused:
            return
        if self._parser.should_upgrade():
            # The parser ends the message here, without its body: see `_parse`.
            if self._parser.get_method() == b"CONNECT":
                self._refuse(400)
            return
        if self._head_bytes > self._bounds().header_bytes:
            self._refuse(431)
        elif not has_valid_framing(self._target, self._headers):
            self._refuse(400)
        elif self._expects_continue():
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        self._unparsed_bytes = 0
        if self._refused:
            return
        if self._body_bytes > self._bounds().body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._parser.should_upgrade():
            return
        self._reading = False
        self._unparsed_bytes = 0
        self._changed_ms = self._clock.now_ms
        if self._refused:
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._clock.now_ms,
        )
        self._body = []
        keep = self._parser.should_keep_alive()
        if self._task is None and not self._pending:
            self._begin_request(keep)
            if self._refuse_early(request, self):
                self._end_request()
                return
        self._pending.append((request, keep))
        if self._task is None:
            self._task = asyncio.ensure_future(self._serve())

    # called by handlers

    @property
    def _delivering(self) -> bool:
        transport = self._transport
        if transport is None:
            return False
        return self.unsent_bytes > 0 if self._finished else transport.get_write_buffer_size() > 0

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._transport is None or self._transport.is_closing()

    @property
    def begun(self) -> bool:
        """Whether the head of the answer in progress has been written."""
        return self._begun

    @property
    def writable(self) -> bool:
        """Whether the write buffer has room; `on_writable` is called when it has room again."""
        return self._writable

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or an answer has not been taken yet."""
        return self._task is not None or self._reading or self._delivering

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller's host has not acknowledged: of the transport and of the kernel."""
        if self._transport is None:
            return 0
        buffered: int = self._transport.get_write_buffer_size()
        return buffered + _unacknowledged_bytes(self._transport.get_extra_info("socket"))

    @property
    def unused(self) -> bool:
        """Whether no request has arrived on the connection yet."""
        return not self._answered and not self.busy

    @property
    def answered_ms(self) -> float | None:
        """Time at which the last answer ended; None while busy and before the first answer."""
        idle = self._answered and not self.busy and not self.disconnected
        return self._changed_ms if idle else None

    def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete answer."""
        if self._begun:
            raise RuntimeError("an answer has begun already")
        if self.disconnected:
            return
        self._begun = True
        framed = [*headers, (b"content-length", b"%d" % len(body)), *self._connection_headers()]
        self._transport.write(head_bytes(status, framed) + body)

    def begin(self, status: int, headers: Headers, first: bytes) -> None:
        """Write the head and the first bytes of an answer of unknown length."""
        if self._begun:
            raise RuntimeError("an answer has begun already")
        if self.disconnected:
            raise CallerDisconnectedError
        self._begun = True
        framed = [*headers, (b"transfer-encoding", b"chunked"), *self._connection_headers()]
        self._transport.write(head_bytes(status, framed) + (chunk_bytes(first) if first else b""))

    def write(self, data: bytes) -> None:
        """Write more of an answer that has begun."""
        if self.disconnected:
            raise CallerDisconnectedError
        self._transport.write(chunk_bytes(data))

    def end(self) -> None:
        """Write the end of an answer that has begun."""
        if not self.disconnected:
            self._transport.write(LAST_CHUNK)

    def cut(self) -> None:
        """Close the connection so that the caller detects that its answer is incomplete."""
        if self._transport is not None:
            self._transport.close()

    async def delivered(self) -> None:
        """Wait until the transport has written what the handler has passed to it."""
        transport = self._transport
        if transport is None or not transport.get_write_buffer_size():
            return
        self._emptied = asyncio.get_running_loop().create_future()
        # Calls `resume_writing` once the buffer is empty.
        transport.set_write_buffer_limits(high=0)
        try:
            await self._emptied
        finally:
            self._emptied = None
            transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)

    async def stop(self) -> None:
        """Let the kernel take the rest of an answer, or cancel its handler; then close."""
        task = self._task
        if task is not None and self._transport is not None and self._delivering:
            self._enlarge_send_buffer()
            await asyncio.wait([task], timeout=STOP_TIMEOUT_MS / 1000)
        if task is not None and not task.done():
            task.cancel()
            await asyncio.wait([task], timeout=STOP_TIMEOUT_MS / 1000)
        self.cut()

    def close_if_idle(self, now_ms: float) -> None:
        """Close the connection after the idle timeout, or if a request head arrives too slowly."""
        if self.disconnected or self._task is not None:
            return
        bounds = self._bounds()
        elapsed_ms = now_ms - self._changed_ms
        if self._finished:
            if not self.unsent_bytes:
                self._transport.close()
            elif elapsed_ms > bounds.idle_ms:
                self._transport.abort()
        elif self._reading and not self._head_done and elapsed_ms > bounds.header_ms:
            self._refuse(408)
        elif not self._reading and elapsed_ms > bounds.idle_ms:
            self._transport.close()

    def close_when_idle(self) -> None:
        """Close the connection now, or after the answer in progress."""
        self.closing = True
        if not self.disconnected and not self.busy:
            self._finish()

    def _parse(self, data: bytes) -> None:
        while data and not self._refused:
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

    async def _serve(self) -> None:
        try:
            while self._pending and not self.disconnected:
                request, keep = self._pending.popleft()
                self._begin_request(keep)
                try:
                    await self._handler(request, self)
                except asyncio.CancelledError:
                    # Requests that were read behind this one are answered, too: by a refusal.
                    if not self._pending or not self._begun or self.disconnected:
                        raise
                except Exception:
                    self._fail()
                    raise
                await self.delivered()
                if not self._begun and not self.disconnected:
                    raise RuntimeError("a request was not answered")
                if not self._end_request():
                    return
            if self._refusal is not None and not self.disconnected:
                self._write_refusal(self._refusal)
        finally:
            self._task = None
            self._answered = True
            self._changed_ms = self._clock.now_ms

    def _begin_request(self, keep: bool) -> None:
        self._keep_alive = keep
        self._begun = False

    def _end_request(self) -> bool:
        """End an answered request; returns whether the connection stays open."""
        self._answered = True
        self._changed_ms = self._clock.now_ms
        if self._keep_alive and (self._pending or not self.closing):
            return True
        self._finish()
        return False

    def _fail(self) -> None:
        # An unexpected exception: without an answer or a close the caller would wait until its
        # deadline, and its connection would never be closed.
        self._keep_alive = False
        if self._begun:
            self.cut()
            return
        self.answer(500, [])
        self._finish()

    def _enlarge_send_buffer(self) -> None:
        sock, size = self._transport.get_extra_info("socket"), largest_send_buffer()
        with contextlib.suppress(OSError):
            # Setting a size ends the kernel's own adaptation, which may have grown beyond it.
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < size:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def _finish(self) -> None:
        # Closing now would drop what the kernel still holds if the process ends, or if bytes of the
        # caller are unread: only the writing direction is closed until the caller has all of it.
        self._refused = self._finished = True
        if self.disconnected:
            return
        if not self.unsent_bytes:
            self._transport.close()
            return
        with contextlib.suppress(OSError):
            self._transport.write_eof()

    def _connection_headers(self) -> Headers:
        # A request that was read behind this one is answered, too.
        if self._keep_alive and not self._pending:
            crowded = not self._answered and self._should_close()
            self._keep_alive = not (self.closing or crowded)
        return [] if self._keep_alive else [(b"connection", b"close")]

    def _expects_continue(self) -> bool:
        return any(
            name == b"expect" and value.lower() == b"100-continue" for name, value in self._headers
        )

    def _refuse(self, status: int) -> None:
        """Refuse the message that is read, after the answers before it, and read no further."""
        if self._refused:
            return
        self._refused = True
        if self.disconnected:
            return
        if self._task is None:
            self._write_refusal(status)
        else:
            self._refusal = status

    def _write_refusal(self, status: int) -> None:
        headers: Headers = [(b"content-length", b"0"), (b"connection", b"close")]
        self._transport.write(head_bytes(status, headers))
        with contextlib.suppress(OSError, NotImplementedError):
            if self._transport.can_write_eof():
                self._transport.write_eof()
        asyncio.get_running_loop().call_later(REFUSED_MS / 1000, self._close_refused)

    def _close_refused(self) -> None:
        if self._transport is None:
            return
        if self.unsent_bytes:
            # Closed by `close_if_idle`.
            self._finished = True
            return
        self._transport.close()

    def _discard(self, received: int) -> None:
        self._discarded += received
        if self._discarded > DRAIN_BYTES and self._transport is not None:
            self._transport.close()


@cache
def largest_send_buffer() -> int:
    """Largest send buffer in bytes that the system allows, up to `EXIT_SEND_BUFFER_BYTES`."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, EXIT_SEND_BUFFER_BYTES)
        # The kernel tells twice the size that it has granted.
        return probe.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) // 2


def _unacknowledged_bytes(sock: Any) -> int:
    try:
        reply = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        # The socket is closed, or its system does not tell.
        return 0
    (count,) = struct.unpack("i", reply)
    return int(count)


class RejectedConnection(asyncio.Protocol):
    """Protocol of a connection above the connection limit: closes it before anything is read."""

    def connection_made(self, transport: Any) -> None:
        transport.abort()
