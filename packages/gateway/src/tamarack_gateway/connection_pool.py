"""A pool of idle connections to endpoints."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation
from tamarack_core.memory_budget import UNLIMITED, MemoryBudget
from tamarack_gateway.endpoint_connection import EndpointConnection, open_connection

CONNECT_MS = 600.0
"""Timeout of a new connection in milliseconds: some hundred round trips between failure domains,
and well below a request's deadline."""

KEEP_ALIVE_FRACTION = 0.8
"""Fraction of an endpoint's keep-alive timeout for which an idle connection is reused. If the
endpoint closes a connection as a request is sent, it is unknown whether the request ran; the
margin, two of ten seconds, is well above the network delay and a delayed timer."""

DEFAULT_REUSE_MS = 400.0
"""Reuse limit in milliseconds where the endpoint announces no keep-alive timeout; timeouts below
one second cannot be announced."""


class _Target(NamedTuple):
    """Peer of a connection: an incarnation of an endpoint, and its address."""

    key: EndpointIncarnation
    address: str


class ConnectionPool:
    """Idle connections; the most recently used one is reused first, so that the others can expire.

    The pool is keyed by the incarnation of an endpoint, not only by its address. The next
    incarnation, or an endpoint of another service, may have the same address; a connection to a
    terminated process breaks only when a request is sent on it, and leaves it unknown whether the
    request ran.

    Parameters
    ----------
    memory
        Budget for the bytes of answers on all connections.

    Attributes
    ----------
    opened, reused
        Number of connections opened, and of times an idle one was reused.
    expired, closed
        Number of connections dropped after being idle for too long, and of those that the endpoint
        had closed.
    """

    def __init__(self, clock: Clock, memory: MemoryBudget = UNLIMITED) -> None:
        self._clock = clock
        self._memory = memory
        self._idle: dict[_Target, list[EndpointConnection]] = {}
        self.opened = 0
        self.reused = 0
        self.expired = 0
        self.closed = 0

    def idle(self, key: EndpointIncarnation) -> int:
        """Number of idle connections to one incarnation of an endpoint."""
        return sum(len(idle) for target, idle in self._idle.items() if target.key == key)

    def has_open_connection(self, endpoint: Endpoint) -> bool:
        """Whether an idle connection to an endpoint is still open: all close when it terminates."""
        return any(connection.usable for connection in self._idle.get(_target(endpoint), []))

    def add_new(self, endpoint: Endpoint, connection: EndpointConnection) -> None:
        """Add a new connection that has not been used for a request yet."""
        self.opened += 1
        connection.idle_since_ms = self._clock.now_ms
        self.put_back(endpoint, connection)

    async def take(self, endpoint: Endpoint) -> EndpointConnection:
        """Take an idle connection that may be reused, or open one; raises `ConnectError`."""
        idle = self._idle.get(_target(endpoint), [])
        while idle:
            connection = idle.pop()
            if connection.usable and self._is_reusable(connection):
                self.reused += 1
                return connection
            self._discard(connection)
        connection = await open_connection(endpoint.address, CONNECT_MS, self._memory)
        self.opened += 1
        return connection

    def give_back(self, endpoint: Endpoint, connection: EndpointConnection) -> None:
        """Return a connection whose answer has been read, if it may be reused."""
        if connection.finish(self._clock.now_ms):
            self._idle.setdefault(_target(endpoint), []).append(connection)

    def put_back(self, endpoint: Endpoint, connection: EndpointConnection) -> None:
        """Return a connection that was taken and not used.

        Its idle time is not reset: the endpoint counts it from the last answer, and a request sent
        as the endpoint closes the connection may or may not run.
        """
        if connection.usable:
            self._idle.setdefault(_target(endpoint), []).append(connection)
        else:
            connection.abort()

    def sweep(self, is_running: Callable[[EndpointIncarnation], bool]) -> None:
        """Close connections that were idle for too long or belong to an ended incarnation.

        Parameters
        ----------
        is_running
            Whether an incarnation is still running.
        """
        for target, idle in list(self._idle.items()):
            running = is_running(target.key)
            fresh = [c for c in idle if running and c.usable and self._is_reusable(c)]
            for connection in idle:
                if connection not in fresh:
                    self._discard(connection)
            if fresh:
                self._idle[target] = fresh
            else:
                del self._idle[target]

    def drop(self, endpoint: Endpoint) -> None:
        """Close the idle connections to a failed endpoint."""
        for connection in self._idle.pop(_target(endpoint), []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()

    def _discard(self, connection: EndpointConnection) -> None:
        if connection.usable:
            self.expired += 1
        else:
            self.closed += 1
        connection.abort()

    def _is_reusable(self, connection: EndpointConnection) -> bool:
        timeout_ms = connection.keep_alive_ms
        limit_ms = DEFAULT_REUSE_MS if timeout_ms is None else timeout_ms * KEEP_ALIVE_FRACTION
        return self._clock.now_ms - connection.idle_since_ms < limit_ms


def _target(endpoint: Endpoint) -> _Target:
    return _Target(endpoint.key, endpoint.address)
