"""A caller that reads its answer only when told to, over a connection that holds little of it."""

from __future__ import annotations

import asyncio
import socket
from types import TracebackType

MAX_SEGMENT = 1_460
RECEIVE_BUFFER = 8_192
"""Bytes of an ordinary network's segments, and of a small window: loopback holds megabytes."""


class SlowCaller:
    """One connection to `IP:PORT`, as an asynchronous context manager.

    Attributes
    ----------
    received
        Bytes that were read so far.
    closed
        Whether the other end has closed the connection.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._socket = socket.socket()
        self.received = b""
        self.closed = False

    async def __aenter__(self) -> SlowCaller:
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, MAX_SEGMENT)
        await asyncio.get_running_loop().sock_connect(self._socket, self._target)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._socket.close()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read(self, count: int = 65_536) -> bytes:
        """Read at most `count` bytes; none if the connection is closed or was reset."""
        try:
            data = await asyncio.get_running_loop().sock_recv(self._socket, count)
        except ConnectionError:
            data = b""
        self.received += data
        self.closed = not data
        return data

    async def read_until(self, end: bytes) -> bool:
        """Read until the received bytes end with `end`; False if the connection closes before."""
        while not self.received.endswith(end):
            if not await self.read():
                return False
        return True
