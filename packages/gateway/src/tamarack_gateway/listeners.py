"""Listens on the router's addresses and accepts or rejects connections."""

from __future__ import annotations

import asyncio
import socket

from tamarack_core.clock import Clock
from tamarack_gateway.caller_connection import (
    CallerConnection,
    Handler,
    Refusal,
    RejectedConnection,
    no_refusal,
)
from tamarack_gateway.connection_limiter import ConnectionLimiter
from tamarack_gateway.fleet_state import FleetState

BACKLOG = 512
"""Length of the accept queue; when it is full, callers lose seconds until they connect. Callers
give up after a second: with a longer queue, a router that accepts as many as it can, some 800 a
second on a small instance, would only accept connections whose callers have left."""

MAX_ACCEPTS_PER_ITERATION = 64
"""Connections accepted in one event-loop iteration. With more, each with a request, they would take
most of an iteration on a small instance, and the concurrency limit would fall until hardly anything
else is served; with fewer, the router would not keep up with the connections that arrive."""


class Listeners:
    """Listening sockets of a router, open until `close`.

    Parameters
    ----------
    connections
        The set to which each connection adds itself.
    limiter
        Decides whether a new connection is accepted.
    """

    def __init__(
        self,
        state: FleetState,
        clock: Clock,
        connections: set[CallerConnection],
        limiter: ConnectionLimiter,
    ) -> None:
        self._state = state
        self._clock = clock
        self._connections = connections
        self._limiter = limiter
        self._servers: list[asyncio.Server] = []

    async def listen(
        self, address: str, handler: Handler, *, refuse_early: Refusal = no_refusal
    ) -> str:
        """Listen on an address; returns the bound address."""
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.Protocol:
            if not self._limiter.admit():
                return RejectedConnection()
            return self._connection(handler, refuse_early)

        listener = _bind(address)
        self._servers.append(
            await loop.create_server(accept, sock=listener, backlog=MAX_ACCEPTS_PER_ITERATION)
        )
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.close()

    def _connection(self, handler: Handler, refuse_early: Refusal) -> CallerConnection:
        state = self._state
        connection = CallerConnection(
            handler,
            self._clock,
            lambda: state.bounds,
            self._connections,
            self._limiter.should_close,
            refuse_early,
        )
        connection.closing = state.leaving is not None
        return connection


class _Listener(socket.socket):
    """A socket whose accept queue has the length `BACKLOG`, whatever the event loop passes.

    asyncio uses one number for that length and for the connections accepted per iteration. A later
    `listen` call with a longer queue has no effect on some systems. With a queue of 32 a burst of
    callers overflows it while the loop is busy; the others retry after a second or fail to connect.
    """

    def listen(self, backlog: int = BACKLOG, /) -> None:
        super().listen(BACKLOG)


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listener = _Listener(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
