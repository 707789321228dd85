"""A caller's HTTP connection: answers its requests in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from tamarack_core.clock import Clock
from tamarack_core.memory_budget import UNLIMITED, MemoryBudget
from tamarack_core.ruleset import CallerBounds
from tamarack_gateway.answer_writer import WRITE_HIGH_BYTES, AnswerWriter
from tamarack_gateway.caller_memory import CallerMemory
from tamarack_gateway.http_messages import (
    Headers,
    Request,
    head_bytes,
)
from tamarack_gateway.kernel_buffers import enlarge_send_buffer, unread_bytes
from tamarack_gateway.reading_turns import ReadingTurns
from tamarack_gateway.request_queue import PendingRequest, RequestQueue
from tamarack_gateway.request_reader import RequestEvents, RequestReader
from tamarack_gateway.stall_timer import StallTimer

DRAIN_BYTES = 4_000_000
"""Bytes of a refused body that are read and discarded: closing with unread bytes resets the
connection, and the caller would see a broken pipe instead of the refusal."""

REFUSED_MS = 1_000.0
"""Time in milliseconds for which the rest of a refused message is read before the close."""

WAITING_HIGH_BYTES = 65_536
"""Bytes that have arrived and are not parsed yet, from which on no more are read."""

STALLED_MS = 30_000.0
"""Time in milliseconds after which a caller that takes nothing of an answer, or sends nothing of a
body, is given up; its system confirms an unread connection for as long as it runs."""

STOP_TIMEOUT_MS = 200.0
"""Timeout in milliseconds for a cancelled handler to return, and before for the kernel to take a
complete answer; a handler that does not return would block the router's exit until the process is
killed."""

Handler = Callable[[Request, "CallerConnection"], Awaitable[None]]

Refusal = Callable[[Request, "CallerConnection"], bool]


def no_refusal(request: Request, caller: CallerConnection) -> bool:
    """Refuse no request early."""
    return False


def no_reclaim(caller: CallerConnection) -> bool:
    """Free no memory."""
    return False


def no_record(took_ms: float) -> None:
    """Record nothing."""


def no_count() -> None:
    """Count nothing."""


class CallerConnection(AnswerWriter):
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
    record_read
        Called with the milliseconds that reading some bytes took, early refusals included.
    record_unanswered
        Called once if bytes arrive after the router has closed its direction: a request that its
        caller had sent meanwhile, and that is not read.
    memory
        Budget for the bytes of requests that are read or answered, and of answers that the caller
        has not taken.
    reclaim
        Called when a part of a request does not fit into the budget; returns whether it has freed
        memory of others.
    turns
        Order in which bytes are parsed that take long; None for a connection by itself.

    Attributes
    ----------
    closing
        Whether the next answer to begin tells its caller that the connection closes. Before that,
        only `close_when_idle` closes it: its caller may be sending a request.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        bounds: Callable[[], CallerBounds],
        registry: set[CallerConnection],
        should_close: Callable[[], bool] = lambda: False,
        refuse_early: Refusal = no_refusal,
        record_read: Callable[[float], None] = no_record,
        record_unanswered: Callable[[], None] = no_count,
        memory: MemoryBudget = UNLIMITED,
        reclaim: Callable[[CallerConnection], bool] = no_reclaim,
        turns: ReadingTurns | None = None,
    ) -> None:
        super().__init__(CallerMemory(memory))
        self._should_close = should_close
        self._record_read = record_read
        self._record_unanswered = record_unanswered
        self._refuse_early = refuse_early
        self._answered = False
        self._handler = handler
        self._clock = clock
        self._bounds = bounds
        self._registry = registry
        self._reclaim = reclaim
        events = RequestEvents(
            self._begin_reading,
            self._expect,
            self._take,
            self._refuse,
            self._reserve,
            self._read_waiting,
        )
        self._reader = RequestReader(clock, bounds, events, turns or ReadingTurns(clock))
        self._pending = RequestQueue(self._memory)
        self._task: asyncio.Task[None] | None = None
        self._keep_alive = True
        self._continue_due = False
        self._refusal: int | None = None
        self._discarded = 0
        self._changed_ms = clock.now_ms
        self._stall_timer = StallTimer()
        self.closing = False

    # asyncio.Protocol

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._registry.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._registry.discard(self)
        self._transport = None
        self._reader.close()
        self.on_writable = None
        self._memory.release()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._reader.stopped:
            self._discard(len(data))
            return
        began_ms = self._clock.now_ms
        self._reader.feed(data)
        self._record_read(self._clock.now_ms - began_ms)
        if self._reader.waiting_bytes >= WAITING_HIGH_BYTES:
            self._transport.pause_reading()

    # events of the reader

    def _read_waiting(self, took_ms: float) -> None:
        self._record_read(took_ms)
        self._resume_reading()

    def _resume_reading(self) -> None:
        if not (self.disconnected or self._pending.full or self._reader.waiting_bytes):
            self._transport.resume_reading()

    def _begin_reading(self) -> None:
        self._changed_ms = self._clock.now_ms

    def _expect(self) -> None:
        self._continue_due = True
        if self._task is None:
            self._write_continue()

    def _take(self, request: Request, keep: bool) -> None:
        self._changed_ms = request.arrived_ms
        self._continue_due = False
        pending = PendingRequest(request, keep, self._reader.held_bytes)
        first = self._task is None and not self._pending
        if not self._pending.receive(pending.held_bytes, first=first):
            self._reader.refuse(503)
            return
        if first and not self._delivering:
            self._begin_request(pending)
            if self._refuse_early(request, self):
                self._end_request()
                return
        self._pending.put(pending)
        if self._pending.full:
            self._reader.pause()
            self._transport.pause_reading()
        if self._task is None:
            self._task = asyncio.ensure_future(self._serve())

    def _reserve(self, held_bytes: int) -> bool:
        memory = self._memory
        return memory.reserve(held_bytes) or (self._reclaim(self) and memory.reserve(held_bytes))

    def _refuse(self, status: int) -> None:
        # An answer like others: it is written after those to the requests before it.
        self._memory.dropped()
        if self.disconnected:
            return
        if self._task is None:
            self._write_refusal(status)
        else:
            self._refusal = status

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or an answer has not been taken yet."""
        return self._task is not None or self._reader.reading or self._delivering

    @property
    def idle(self) -> bool:
        """Whether the connection may close: it is not busy, and the kernel holds no request."""
        return not self.busy and not self.has_unread

    @property
    def has_unread(self) -> bool:
        """Whether the kernel holds bytes of the caller that the router would still read."""
        if self.disconnected or self._reader.stopped:
            return False
        return unread_bytes(self._transport.get_extra_info("socket")) > 0

    @property
    def half_read(self) -> bool:
        """Whether a part of a request has been read."""
        return self._reader.reading

    @property
    def unused(self) -> bool:
        """Whether no request has arrived on the connection yet."""
        return not self._answered and not self.busy

    @property
    def answered_ms(self) -> float | None:
        """Time at which the last answer ended; None while busy and before the first answer."""
        idle = self._answered and not self.busy and not self.disconnected
        return self._changed_ms if idle else None

    @property
    def unfinished_ms(self) -> float | None:
        """Time since which its caller owes a request, or the rest of one; None if it does not."""
        if self.disconnected or self._task is not None or self._reader.stopped:
            return None
        if self._reader.waiting_bytes:
            return None
        if not self._reader.reading and (self._answered or self._pending):
            return None
        return self._changed_ms

    @property
    def half_read_bytes(self) -> int:
        """Memory in bytes that a half-read request takes."""
        return self._reader.held_bytes if self._reader.reading else 0

    async def stop(self) -> None:
        """Let the kernel take the rest of an answer, or cancel its handler; then close."""
        task = self._task
        if task is not None and self._transport is not None and self._delivering:
            enlarge_send_buffer(self._transport.get_extra_info("socket"))
            await asyncio.wait([task], timeout=STOP_TIMEOUT_MS / 1000)
        if task is not None and not task.done():
            task.cancel()
            await asyncio.wait([task], timeout=STOP_TIMEOUT_MS / 1000)
        self.cut()

    def close_if_idle(self, now_ms: float) -> None:
        """Close the connection after the idle timeout, or if its caller is slow or has stalled."""
        if self._stall_timer.stalled_ms(self._outstanding, now_ms) > STALLED_MS:
            self._end_stalled()
        if self.disconnected or self._task is not None:
            return
        bounds = self._bounds()
        elapsed_ms = now_ms - self._changed_ms
        if self._finished:
            if not self.unsent_bytes:
                self._transport.close()
            elif elapsed_ms > bounds.idle_ms:
                self._transport.abort()
        elif self._reader.in_head and elapsed_ms > bounds.header_ms:
            self._reader.refuse(408)
        elif not self._reader.reading and elapsed_ms > bounds.idle_ms and not self.has_unread:
            self._transport.close()

    def close_when_idle(self, *, linger: bool = False) -> None:
        """Close the connection now, or tell its caller to in the next answer that begins.

        Parameters
        ----------
        linger
            Whether only the writing direction is closed until the caller closes too, so that a
            request that its caller sent meanwhile is recorded.
        """
        self.closing = True
        if not self.disconnected and not self._finished and self.idle:
            self._finish(linger=linger)

    def evict(self) -> None:
        """Close the connection of an unfinished request, which is refused."""
        if self._reader.reading:
            self._reader.refuse(408)
        self._reader.stop()
        self.cut()

    @property
    def _outstanding(self) -> tuple[int, int] | None:
        """Bytes that the caller has to take, and those read of a body; None if it owes nothing."""
        unsent = self.unsent_bytes if self._delivering else 0
        if not unsent and (self._task is not None or not self._reader.reading):
            return None
        return unsent, self._reader.body_bytes

    def _end_stalled(self) -> None:
        if self.unsent_bytes:
            self._transport.abort()
        else:
            self._reader.refuse(408)

    async def _serve(self) -> None:
        try:
            while self._pending and not self.disconnected:
                was_full, pending = self._pending.full, self._pending.take()
                self._begin_request(pending)
                if was_full and not self._pending.full:
                    self._reader.resume()
                    self._resume_reading()
                try:
                    await self._handler(pending.request, self)
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
            if self.disconnected:
                return
            if self._refusal is not None:
                self._write_refusal(self._refusal)
            elif self._continue_due:
                self._write_continue()
        finally:
            self._task = None
            self._answered = True
            self._changed_ms = self._clock.now_ms

    def _begin_request(self, pending: PendingRequest) -> None:
        self._memory.began(pending.held_bytes)
        self._keep_alive = pending.keep
        self._begun = False

    def _end_request(self) -> bool:
        """End an answered request; returns whether the connection stays open."""
        self._memory.ended()
        self._answered = True
        self._changed_ms = self._clock.now_ms
        if self._keep_alive:
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

    def _finish(self, *, linger: bool = False) -> None:
        # Closing now would drop what the kernel still holds if the process ends, or if bytes of the
        # caller are unread: only the writing direction is closed until the caller has all of it.
        self._reader.stop()
        self._finished = True
        if self.disconnected:
            return
        if not linger and not self.unsent_bytes:
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

    def _write_continue(self) -> None:
        self._continue_due = False
        self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _write_refusal(self, status: int) -> None:
        headers: Headers = [(b"content-length", b"0"), (b"connection", b"close")]
        self._transport.write(head_bytes(status, headers))
        with contextlib.suppress(OSError, NotImplementedError):
            if self._transport.can_write_eof():
                self._transport.write_eof()
        asyncio.get_running_loop().call_later(REFUSED_MS / 1000, self._close_refused)

    def _close_refused(self) -> None:
        if self.unsent_bytes:
            # Closed by `close_if_idle`.
            self._finished = True
        else:
            self.cut()

    def _discard(self, received: int) -> None:
        if self._finished and not self._discarded:
            self._record_unanswered()
        self._discarded += received
        if self._discarded > DRAIN_BYTES:
            if self._task is None:
                self.cut()
            else:
                # The answers to the requests before come first.
                self._transport.pause_reading()
