"""The event loop of a router."""

from __future__ import annotations

import asyncio
import os

# The loop's library reads it when it makes a loop: routers poll by epoll, without io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make the event loop on which a router runs.

    A connection takes half of the processor time that it takes on asyncio's own loop; while callers
    ask for more than a router can do, most of them connect again for each request.
    """
    return uvloop.new_event_loop()
