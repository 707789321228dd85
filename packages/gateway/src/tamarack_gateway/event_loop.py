"""The event loop of a router."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from contextvars import Context
from typing import TypeVarTuple

# The loop's library reads it when it makes a loop: routers poll by epoll, without io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

_Args = TypeVarTuple("_Args")

TIMER_RESOLUTION_S = 0.0025
"""Seconds by which the library may call a timer early: it rounds a delay to whole milliseconds and
counts whole milliseconds of a clock that may advance once a millisecond."""


class EventLoop(uvloop.Loop):
    """An event loop that never calls a timer before its time.

    What is due at a time is checked against the clock when its timer is called, and would be
    omitted if that were earlier.
    """

    def time(self) -> float:
        """Monotonic time in seconds, now: the library's is that of the iteration's start."""
        return time.monotonic()

    def call_at(
        self,
        when: float,
        callback: Callable[[*_Args], object],
        *args: *_Args,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function at a time of the loop."""
        delay = max(0.0, when - self.time()) + TIMER_RESOLUTION_S
        return super().call_later(delay, callback, *args, context=context)

    def call_later(
        self,
        delay: float,
        callback: Callable[[*_Args], object],
        *args: *_Args,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function after a delay in seconds."""
        if delay > 0:
            delay += TIMER_RESOLUTION_S
        return super().call_later(delay, callback, *args, context=context)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make the event loop on which a router runs.

    A connection takes half of the processor time that it takes on asyncio's own loop; while callers
    ask for more than a router can do, most of them connect again for each request.
    """
    return EventLoop()
