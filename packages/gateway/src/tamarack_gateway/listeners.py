"""Listens on the router's addresses and accepts or rejects connections."""

from __future__ import annotations

import socket

from tamarack_core.accept_rate import AcceptRate
from tamarack_core.clock import Clock
from tamarack_gateway.accepting_socket import AcceptingSocket
from tamarack_gateway.caller_connection import (
    CallerConnection,
    Handler,
    Refusal,
    no_refusal,
)
from tamarack_gateway.connection_limiter import ConnectionLimiter
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.reading_turns import ReadingTurns


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
        self._turns = ReadingTurns(clock)
        self._sockets: list[AcceptingSocket] = []

    def listen_to_callers(self, address: str, handler: Handler, *, refuse_early: Refusal) -> str:
        """Listen on the address for callers' requests; returns the bound address."""
        return self._listen(address, handler, refuse_early, self._accept_rate)

    def listen(self, address: str, handler: Handler) -> str:
        """Listen on another address; returns the bound address."""
        return self._listen(address, handler, no_refusal, AcceptRate())

    def _listen(
        self, address: str, handler: Handler, refuse_early: Refusal, accept_rate: AcceptRate
    ) -> str:
        listener = AcceptingSocket(
            _bind(address),
            self._state.log,
            accept_rate,
            admit=self._limiter.admit,
            connection=lambda: self._connection(handler, refuse_early),
        )
        self._sockets.append(listener)
        return listener.listen()

    def close(self) -> None:
        """Stop accepting connections."""
        for listener in self._sockets:
            listener.close()

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
            self._limiter.record_unanswered,
            state.memory,
            self._limiter.reclaim,
            self._turns,
        )
        connection.closing = state.leaving is not None
        return connection


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
