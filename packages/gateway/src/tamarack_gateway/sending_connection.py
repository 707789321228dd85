"""The last step before a request is sent: a connection, and a caller that is still there."""

from __future__ import annotations

import asyncio

from tamarack_core.endpoint_book import Endpoint
from tamarack_gateway.caller_connection import CallerConnection, CallerGoneError
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.endpoint_connection import ConnectError, EndpointConnection

CLOSED_TRIES = 4
"""Connections that are taken while each is found closed; an endpoint that closes what it has just
accepted is full."""

ROUNDS = 2
"""Rounds of the loop until the caller's socket has been polled and read after the call."""


async def sending_connection(
    pool: ConnectionPool, endpoint: Endpoint, caller: CallerConnection
) -> EndpointConnection:
    """A connection on which to send at once; raises `ConnectError` or `CallerGoneError`.

    A request and its caller's close may lie in one buffer, for seconds if the loop is behind. What
    fails without the wait below: the endpoint works for nobody, and its log shows a request that
    came after its caller had given up.

    In each of its rounds the loop polls all sockets, runs the tasks that were ready before, and
    then reads the sockets that the poll found. A task that was woken by its request's arrival, a
    timer or an endpoint's answer thus runs before the close is read that the same poll has found.
    It runs behind that reading after one step to the end of the queue, and behind one that was
    polled after this call after two: then every close is seen that had come when this was called.
    Nothing is awaited between this and the sending; what comes within the last round is not seen,
    and the loop's lag bounds its length.

    The same rounds show a kept connection that the endpoint has closed meanwhile; another is taken.
    """
    for _ in range(CLOSED_TRIES):
        connection = await pool.take(endpoint)
        usable = False
        try:
            for _ in range(ROUNDS):
                await asyncio.sleep(0)
            usable = connection.usable and not caller.gone
        finally:
            if not usable:
                pool.put_back(endpoint, connection)
        if caller.gone:
            raise CallerGoneError("left before the request was sent")
        if usable:
            return connection
    raise ConnectError("closed at once")
