"""Listens on the router's addresses and accepts or rejects connections."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from tamarack_core.accept_rate import AcceptRate
from tamarack_core.clock import Clock
from tamarack_gateway.caller_connection import (
    CallerConnection,
    Handler,
    Refusal,
    no_refusal,
)
from tamarack_gateway.connection_limiter import ConnectionLimiter
from tamarack_gateway.fleet_state import FleetState

BACKLOG = 384
"""Length of the accept queue; when it is full, callers lose seconds until they connect. Callers
give up after a second: with a longer queue, a crowded router that accepts the guaranteed number
would accept connections whose callers have left."""

MAX_ACCEPTS_PER_ITERATION = 24
"""Connections accepted in one event-loop iteration. With more, each with a request, they would take
most of an iteration on a small instance, and what is in progress would lag; `AcceptRate` ensures
that they are accepted fast enough."""


class Listeners:
    """Listening sockets of a router, open until `close`.

    Parameters
    ----------
    connections
        The set to which each connection adds itself.
    limiter
        Decides whether a new connection is accepted.
    accept_rate
        Counts the connections of callers.
    """

    def __init__(
        self,
        state: FleetState,
        clock: Clock,
        connections: set[CallerConnection],
        limiter: ConnectionLimiter,
        accept_rate: AcceptRate,
    ) -> None:
        self._state = state
        self._clock = clock
        self._connections = connections
        self._limiter = limiter
        self._accept_rate = accept_rate
        self._servers: list[asyncio.Server] = []

    async def listen_to_callers(
        self, address: str, handler: Handler, *, refuse_early: Refusal
    ) -> str:
        """Listen on the address for callers' requests; returns the bound address."""
        return await self._listen(address, handler, refuse_early, self._accept_rate)

    async def listen(self, address: str, handler: Handler) -> str:
        """Listen on another address; returns the bound address."""
        return await self._listen(address, handler, no_refusal, AcceptRate())

    async def _listen(
        self, address: str, handler: Handler, refuse_early: Refusal, accept_rate: AcceptRate
    ) -> str:
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.Protocol:
            if not self._limiter.admit():
                return RejectedConnection()
            return self._connection(handler, refuse_early)

        listener = _bind(address, accept_rate)
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
            self._limiter.record_read,
        )
        connection.closing = state.leaving is not None
        return connection


class RejectedConnection(asyncio.Protocol):
    """Protocol of a connection above the connection limit: closes it before anything is read."""

    def connection_made(self, transport: Any) -> None:
        """Close it."""
        transport.abort()


class _Listener(socket.socket):
    """A socket that counts what it accepts, with an accept queue of `BACKLOG` connections.

    asyncio uses one number for that length and for the connections accepted per iteration. A later
    `listen` call with a longer queue has no effect on some systems. With a queue of 32 a burst of
    callers overflows it while the loop is busy; the others retry after a second or fail to connect.
    """

    def __init__(self, accept_rate: AcceptRate) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self._accept_rate = accept_rate

    def listen(self, backlog: int = BACKLOG, /) -> None:
        super().listen(BACKLOG)

    def accept(self) -> tuple[socket.socket, Any]:
        try:
            accepted = super().accept()
        except BlockingIOError:
            self._accept_rate.record_empty()
            raise
        self._accept_rate.record_accept()
        return accepted


def _bind(address: str, accept_rate: AcceptRate) -> socket.socket:
    host, _, port = address.rpartition(":")
    listener = _Listener(accept_rate)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
