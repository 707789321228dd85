"""A listening socket that accepts a bounded number of connections in each loop iteration."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from tamarack_core.accept_rate import AcceptRate
from tamarack_gateway.decision_log import DecisionLog

BACKLOG = 384
"""Length of the accept queue; when it is full, callers lose seconds until they connect. Callers
give up after a second: with a longer queue, a crowded router that accepts the guaranteed number
would accept connections whose callers have left."""

MAX_ACCEPTS_PER_ITERATION = 24
"""Connections accepted in one event-loop iteration. With more, each with a request, they would take
most of an iteration on a small instance, and what is in progress would lag; `AcceptRate` ensures
that they are accepted fast enough."""

RETRY_MS = 1_000.0
"""Milliseconds without accepting after an error, such as a lack of file descriptors."""


class AcceptingSocket:
    """Accepts connections on a bound socket until `close`.

    The loop's own server would accept one connection in an iteration, or as many as the length of
    the queue.

    Parameters
    ----------
    listener
        A bound, non-blocking socket, which this object owns.
    admit
        Returns whether a new connection is served; otherwise it is closed unread.
    connection
        Makes the protocol of a connection.
    """

    def __init__(
        self,
        listener: socket.socket,
        log: DecisionLog,
        accept_rate: AcceptRate,
        *,
        admit: Callable[[], bool],
        connection: Callable[[], asyncio.Protocol],
    ) -> None:
        self._listener = listener
        self._log = log
        self._accept_rate = accept_rate
        self._admit = admit
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[Any]] = set()
        self._retry: asyncio.TimerHandle | None = None

    def listen(self) -> str:
        """Start to accept connections; returns the bound address."""
        self._listener.listen(BACKLOG)
        self._watch()
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop accepting connections; those that were accepted stay open."""
        if self._retry is not None:
            self._retry.cancel()
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener.fileno())
            self._listener.close()

    def _watch(self) -> None:
        self._loop.add_reader(self._listener.fileno(), self._accept_waiting)

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                accepted, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                self._accept_rate.record_empty()
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._pause(error)
                return
            self._accept_rate.record_accept()
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        if not self._admit():
            accepted.close()
            return
        accepted.setblocking(False)
        opening = self._loop.connect_accepted_socket(self._connection, accepted)
        task = self._loop.create_task(opening)
        self._opening.add(task)
        task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[Any]) -> None:
        self._opening.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.event("cannot open an accepted connection", reason=str(error))

    def _pause(self, error: OSError) -> None:
        self._log.event("cannot accept connections", reason=str(error))
        self._loop.remove_reader(self._listener.fileno())
        self._retry = self._loop.call_later(RETRY_MS / 1_000, self._watch)
