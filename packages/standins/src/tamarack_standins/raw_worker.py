"""A stand-in of a faulty worker: sends arbitrary bytes as its response."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from tamarack_standins.platform_worker import PlatformWorker, ReceivedRequest, Script
from tamarack_standins.wire import reset

RECEIVE_BUFFER_BYTES = 65_536
"""Small, so that a long upload is still being written when an early response ends."""


class Ending(Enum):
    """What happens to the connection after the response."""

    KEPT = "kept"
    CLOSED = "closed"
    """The kernel sends a reset if part of the request is unread."""
    HALF_CLOSED = "half-closed"
    """The worker closes its sending direction and reads the rest of the request."""
    RESET = "reset"


class RawWorker(PlatformWorker):
    """Sends the same bytes in response to each request.

    Parameters
    ----------
    answer
        Bytes of the response, including its head.
    early
        Whether the response is sent before the request's body has been read.
    pause_s
        Delay in seconds between the response and the end of the connection.
    """

    def __init__(
        self,
        name: str,
        answer: bytes,
        *,
        early: bool = False,
        ending: Ending = Ending.KEPT,
        pause_s: float = 0.0,
    ) -> None:
        super().__init__(name, Script(early=early))
        self._raw = answer
        self._ending = ending
        self._pause_s = pause_s

    async def __aenter__(self) -> PlatformWorker:
        await super().__aenter__()
        assert self._server is not None
        for listener in self._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return self

    async def _answer(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(self._raw)
        await writer.drain()
        await asyncio.sleep(self._pause_s)
        if self._ending is Ending.RESET:
            reset(writer)
        elif self._ending is Ending.CLOSED:
            writer.close()
        elif self._ending is Ending.HALF_CLOSED:
            writer.write_eof()
        return self._ending is Ending.KEPT
