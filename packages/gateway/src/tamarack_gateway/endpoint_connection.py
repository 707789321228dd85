"""A client connection to an endpoint or to the platform's store; one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

from tamarack_core.answer_head import MIN_FINAL_STATUS, validate_head
from tamarack_core.memory_budget import UNLIMITED, MemoryBudget
from tamarack_gateway.http_messages import AnswerHead, Headers

USER_TIMEOUT_MS = 2_500
"""Milliseconds for which sent bytes may stay unacknowledged. A peer that lost power or is
partitioned away sends nothing at all, and without this limit the connection would hang for many
minutes."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
"""An open connection can stop responding without a reset; one probe per second closes it after
three seconds."""


MAX_FRAMING_BYTES = 65_536
"""Received bytes without any of a body, in which an answer's head must be complete: heads, interim
answers, chunk extensions and trailers may come without end from a server in trouble."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a body that is read whole."""

MAX_PENDING_BYTES = 128 * 1024
"""Received bytes of a body from which on no more are read until some are taken."""


class ConnectError(ConnectionError):
    """No connection could be made; nothing was sent."""


class RefusedError(ConnectError):
    """The connection was refused: no process listens at the address."""


class BrokenAnswerError(ConnectionError):
    """The connection closed, or its bytes were no valid answer, before the answer was complete."""


class ConnectionLostError(BrokenAnswerError):
    """The connection closed before the answer was complete: the endpoint may have terminated."""


class NoMemoryError(BrokenAnswerError):
    """The answer does not fit beside what other requests of this process hold."""


class EndpointConnection(asyncio.Protocol):
    """One persistent connection; opened with `open_connection`.

    Parameters
    ----------
    memory
        Budget for the bytes of answers that have not been passed on.
    """

    def __init__(self, memory: MemoryBudget = UNLIMITED) -> None:
        self._holding = memory.holding()
        self._pending_bytes = self._taken_bytes = 0
        self._held_back = False
        self._transport: Any = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: Headers = []
        self._head: AnswerHead | None = None
        self._chunks: deque[bytes] = deque()
        self._framing_bytes = 0
        self._complete = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._consumer: Callable[[bytes], None] | None = None
        self._expecting = False
        self._reusable = False
        self._reset = False
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None

    # asyncio.Protocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    def eof_received(self) -> None:
        # The loop reports a reset that it finds together with the last bytes as an orderly close.
        if self._expecting and not self._complete:
            self._reset = was_reset(self._transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._expecting and not self._complete:
            self._handle_early_close(exc)
        # Both refer to this connection: it would be freed only by the collector of cycles.
        self._parser = self._consumer = None
        self._holding.release()
        self._wake()

    def data_received(self, data: bytes) -> None:
        if not self._expecting or self._complete:
            # No request is in progress: bytes that follow on this connection could be mistaken for
            # the answer to another request.
            self.abort()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._complete:
                # The parser wraps errors that callbacks raise.
                self._error = BrokenAnswerError(str(error.__context__ or error) or "not an answer")
            self.abort()
        if self._framing_bytes > MAX_FRAMING_BYTES and not self._complete:
            self._error = self._error or BrokenAnswerError("bytes that are no answer, without end")
            self.abort()
        if self._consumer is None:
            if self._pending_bytes and not self._complete:
                self._bound_pending()
            self._wake()
            return
        self._deliver_pending(self._consumer)
        if self._complete or self._error is not None:
            self._wake()

    # httptools callbacks

    def on_message_begin(self) -> None:
        if self._complete:
            self._reusable = False
            return
        self._reason, self._headers = b"", []

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are dropped: the head has been checked without them.
        if self._head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        framing = validate_head(version, status, self._reason, self._headers)
        if status < MIN_FINAL_STATUS:
            return
        self._reusable = self._parser.should_keep_alive()
        for name, value in self._headers:
            if name == b"keep-alive":
                self.keep_alive_ms = _keep_alive_ms(value) or self.keep_alive_ms
        self._head = AnswerHead(status, self._headers, framing.length, framing.chunked)
        self._framing_bytes = 0

    def on_body(self, body: bytes) -> None:
        if not self._complete:
            self._framing_bytes = 0
            self._pending_bytes += len(body)
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        if self._head is None:
            return
        if self._complete:
            self._reusable = False
        self._complete = True

    # called by tasks

    @property
    def usable(self) -> bool:
        """Whether the connection is open and no answer is expected."""
        return self._open and not self._expecting

    @property
    def _open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def send(self, data: bytes) -> None:
        """Write one request; `head` and then `next_chunk`, `body` or `deliver` read its answer."""
        if not self.usable:
            raise BrokenAnswerError("the connection is closed")
        self._head, self._complete, self._error = None, False, None
        self._chunks.clear()
        self._framing_bytes = self._pending_bytes = self._taken_bytes = 0
        self._consumer = None
        self._expecting = True
        self._transport.write(data)

    async def head(self) -> AnswerHead:
        """Wait for the answer's head."""
        while self._head is None:
            self._check()
            await self._wait()
        return self._head

    async def next_chunk(self) -> bytes | None:
        """Wait for more of the body; None at its end."""
        while not self._chunks:
            if self._complete:
                return None
            self._check()
            await self._wait()
        return self._pop_chunks()

    def deliver(self, take: Callable[[bytes], None]) -> None:
        """Pass the body to `take` as it arrives, not to `next_chunk`; `whole` waits for its end.

        A `ConnectionError` or `ValueError` from `take` aborts the connection, and `whole` raises
        it.
        """
        self._consumer = take
        self._deliver_pending(take)

    async def whole(self) -> None:
        """Wait for the end of a body that is passed on by `deliver`."""
        while self._error is not None or not self._complete:
            self._check()
            await self._wait()

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self._open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._open:
            self._transport.resume_reading()

    def hold(self, held_bytes: int) -> bool:
        """Count bytes that a consumer keeps of the answer; False if the budget has no room."""
        # What a closed connection has left is no more than one read, and nobody would release it.
        return self._transport is None or self._holding.resize(held_bytes)

    async def body(self) -> bytes:
        """Wait for the whole body; raises `BrokenAnswerError` if it is too large.

        What it takes of the budget is given back by `finish`, or when the connection closes.
        """
        chunks = []
        while (chunk := await self.next_chunk()) is not None:
            chunks.append(chunk)
            self._taken_bytes += len(chunk)
            if self._taken_bytes > MAX_BODY_BYTES:
                self.abort()
                raise BrokenAnswerError("the body is too large")
        return b"".join(chunks)

    def finish(self, now_ms: float) -> bool:
        """Mark the connection idle after a complete answer; returns whether it may be reused."""
        sent_all = self._transport is not None and not self._transport.get_write_buffer_size()
        if not (self._complete and self._reusable and sent_all):
            self.abort()
            return False
        # A slow caller may have paused reading at the last bytes of the answer.
        self.resume()
        self._holding.release()
        self._consumer = None
        self._expecting = False
        self.idle_since_ms = now_ms
        return self.usable

    async def closed(self) -> None:
        """Wait until the connection closes; no request may have been sent on it."""
        while self._transport is not None:
            await self._wait()

    def abort(self) -> None:
        """Close at once; abandons the request that runs at the other end."""
        if self._transport is not None:
            self._transport.abort()

    def _deliver_pending(self, take: Callable[[bytes], None]) -> None:
        if not self._chunks:
            return
        try:
            take(self._pop_chunks())
        except (ConnectionError, ValueError) as error:
            # Its traceback refers to this connection and to the bytes that were read.
            self._error = error.with_traceback(None)
            self.abort()

    def _pop_chunks(self) -> bytes:
        chunks = b"".join(self._chunks)
        self._chunks.clear()
        self._pending_bytes = 0
        if self._held_back:
            self._held_back = False
            self.resume()
        return chunks

    def _bound_pending(self) -> None:
        if not self._holding.resize(self._taken_bytes + self._pending_bytes):
            self._error = self._error or NoMemoryError("no memory for the answer")
            self.abort()
        elif self._pending_bytes > MAX_PENDING_BYTES:
            self._held_back = True
            self.pause()

    def _handle_early_close(self, exc: Exception | None) -> None:
        head = self._head
        orderly = exc is None and not self._reset
        if head is not None and head.unframed and orderly and self._error is None:
            # Only an orderly close marks the end of a body without a length; after a reset, bytes
            # may be missing.
            self._complete = True
            self._reusable = False
            return
        if self._error is None:
            self._error = ConnectionLostError(str(exc) if exc else "the connection was closed")

    def _check(self) -> None:
        if self._error is not None:
            raise self._pop_error(self._error)
        if self._transport is None:
            raise ConnectionLostError("the connection was closed")

    def _pop_error(self, error: Exception) -> Exception:
        # Kept here, a raised error would refer to this connection by its traceback.
        self._error = ConnectionLostError("the connection was closed")
        return error

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def open_connection(
    address: str, timeout_ms: float, memory: MemoryBudget = UNLIMITED
) -> EndpointConnection:
    """Connect to `IP:PORT`; raises `ConnectError`."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(memory), host, int(port)
            )
    except ConnectionRefusedError as error:
        raise RefusedError(str(error)) from error
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The last two are for a name or a port that no address has.
        raise ConnectError(str(error) or "no answer") from error
    return connection


def was_reset(sock: Any) -> bool:
    """Whether a connection that has reached its end was reset by its peer."""
    try:
        with socket.socket(fileno=os.dup(sock.fileno())) as copy:
            copy.setblocking(False)
            copy.recv(1)
    except OSError:
        return True
    return False


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive and the user timeout, which detect a peer that stopped responding."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _keep_alive_ms(value: bytes) -> float | None:
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number) * 1000
    return None
