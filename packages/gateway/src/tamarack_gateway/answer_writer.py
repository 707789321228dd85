"""Writes answers to one caller's connection, as fast as the caller takes them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tamarack_gateway.caller_memory import CallerMemory
from tamarack_gateway.http_messages import LAST_CHUNK, Headers, chunk_bytes, head_bytes
from tamarack_gateway.kernel_buffers import unacknowledged_bytes

WRITE_HIGH_BYTES = 256 * 1024
"""Bytes buffered for a slow caller from which on its answer is no longer read from the endpoint."""


class CallerDisconnectedError(ConnectionError):
    """The caller has closed its connection."""


class AnswerWriter(asyncio.Protocol):
    """The writing half of a caller's connection.

    Parameters
    ----------
    memory
        Counts what the caller has not taken.

    Attributes
    ----------
    on_writable
        Called once when the write buffer of a slow caller has drained.
    """

    def __init__(self, memory: CallerMemory) -> None:
        self._memory = memory
        self._transport: Any = None
        self._writable = True
        self._emptied: asyncio.Future[None] | None = None
        self._begun = self._finished = False
        self.on_writable: Callable[[], None] | None = None

    def _connection_headers(self) -> Headers:
        """Headers that tell whether the connection stays open."""
        return []

    # asyncio.Protocol

    def pause_writing(self) -> None:
        """Take no more of an answer than is buffered."""
        self._writable = False

    def resume_writing(self) -> None:
        """Go on after the buffer has drained."""
        self._writable = True
        if self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)
        elif not self.disconnected:
            # They are lower after what the caller had not taken did not fit into the budget.
            self._transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._count_unsent()
        on_writable, self.on_writable = self.on_writable, None
        if on_writable is not None:
            on_writable()

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
    def unsent_bytes(self) -> int:
        """Bytes that the caller's host has not acknowledged: of the transport and of the kernel."""
        if self._transport is None:
            return 0
        buffered: int = self._transport.get_write_buffer_size()
        return buffered + unacknowledged_bytes(self._transport.get_extra_info("socket"))

    def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete answer."""
        if self._begun:
            raise RuntimeError("an answer has begun already")
        if self.disconnected:
            return
        self._begun = True
        framed = [*headers, (b"content-length", b"%d" % len(body)), *self._connection_headers()]
        self._transport.write(head_bytes(status, framed) + body)
        self._count_unsent()

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
        self._count_unsent()

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
        if transport is None:
            return
        if not transport.get_write_buffer_size():
            self._count_unsent()
            return
        self._emptied = asyncio.get_running_loop().create_future()
        # Calls `resume_writing` once the buffer is empty.
        transport.set_write_buffer_limits(high=0)
        try:
            await self._emptied
        finally:
            self._emptied = None
            if not transport.is_closing():
                transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)

    def _count_unsent(self) -> None:
        transport = self._transport
        if transport is None:
            return
        if not self._memory.buffered(transport.get_write_buffer_size()) and self._writable:
            # No more is read from the endpoint until the caller has taken all of it.
            transport.set_write_buffer_limits(high=0)
