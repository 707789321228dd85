"""Takes a connection to send a request on, and checks that the caller is still connected."""

from __future__ import annotations

import asyncio

from tamarack_core.endpoint_registry import Endpoint
from tamarack_gateway.answer_writer import CallerDisconnectedError
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.endpoint_connection import ConnectError, EndpointConnection

CLOSED_TRIES = 4
"""Attempts while each connection turns out to be closed; an endpoint that closes connections right
after accepting them is full."""

LOOP_ITERATIONS = 2
"""Event-loop iterations until the caller's socket has been polled and read."""


async def acquire_connection(
    pool: ConnectionPool, endpoint: Endpoint, caller: CallerConnection
) -> EndpointConnection:
    """A connection on which to send at once; raises `ConnectError` or `CallerDisconnectedError`.

    A request and its caller's close may be in the same socket buffer, for seconds if the event loop
    lags. Without the wait below the endpoint works on an abandoned request, and its log shows one
    that arrived after its caller had left.

    In each iteration the event loop polls all sockets, runs the tasks that were already ready, and
    then reads the sockets that the poll reported. A task woken by its request's arrival, a timer or
    an endpoint's answer thus runs before a close reported by the same poll is read. After one
    `sleep(0)` the task runs after that read, and after two it runs after the read of a poll made
    after this call: every close that had arrived at the time of the call has then been read.
    Nothing is awaited between the return and the send. A close that arrives within the last
    iteration is not seen; the event-loop lag bounds the length of that iteration.

    The same wait detects an idle connection that the endpoint has closed meanwhile; another is
    taken.
    """
    for _ in range(CLOSED_TRIES):
        connection = await pool.take(endpoint)
        usable = False
        try:
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            usable = connection.usable and not caller.disconnected
        finally:
            if not usable:
                pool.put_back(endpoint, connection)
        if caller.disconnected:
            raise CallerDisconnectedError("left before the request was sent")
        if usable:
            return connection
    raise ConnectError("closed at once")
