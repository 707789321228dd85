"""Kept connections to endpoints."""

from __future__ import annotations

from tamarack_core.clock import Clock
from tamarack_gateway.endpoint_connection import EndpointConnection, open_connection

CONNECT_MS = 600.0
"""Milliseconds for a new connection: some hundred round trips between failure domains, and well
under the time that a request has."""

KEPT_PART = 0.8
"""Part of the keep-alive time that an endpoint tells after which a connection is not used for a
new request. One that the endpoint closes as the request is sent leaves it unknown whether it
ran; the rest, two of ten seconds, is well beyond the way and a late timer. With a half, 54 of a
router's 57 connections on a calm day were closed only to be opened again."""

KEPT_UNTOLD_MS = 400.0
"""The same where the endpoint tells no time; times under a second are not told."""


class ConnectionPool:
    """Connections by address; the one used last is used first, so that the others can lapse."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[EndpointConnection]] = {}
        self.opened = 0
        self.reused = 0

    async def take(self, address: str) -> EndpointConnection:
        """A connection that is fresh enough, or a new one; raises `ConnectError`."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable and self._fresh(connection):
                self.reused += 1
                return connection
            connection.abort()
        connection = await open_connection(address, CONNECT_MS)
        self.opened += 1
        return connection

    def give_back(self, address: str, connection: EndpointConnection) -> None:
        """Keep a connection whose answer has been read, if it may be used again."""
        if connection.finish(self._clock.now_ms):
            self._idle.setdefault(address, []).append(connection)

    def put_back(self, address: str, connection: EndpointConnection) -> None:
        """Keep a connection that was taken and not used.

        Its idle time runs on: the endpoint counts it from the last answer, and a request that is
        sent as the endpoint closes may have run or not.
        """
        if connection.usable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.abort()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            fresh = [c for c in idle if c.usable and self._fresh(c)]
            for connection in idle:
                if connection not in fresh:
                    connection.abort()
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Close the idle connections to an address that has failed."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def _fresh(self, connection: EndpointConnection) -> bool:
        told = connection.keep_alive_ms
        limit_ms = KEPT_UNTOLD_MS if told is None else told * KEPT_PART
        return self._clock.now_ms - connection.idle_since_ms < limit_ms
