"""The endpoint sockets of the relay: connections of the runs in progress."""

from __future__ import annotations

import selectors
from collections.abc import Callable

from tamarack_core.clock import Clock
from tamarack_router.endpoint_connection import ConnectionEvent, EndpointConnection
from tamarack_router.held_request import HeldRequest
from tamarack_router.run import Run, Step

OnStep = Callable[[HeldRequest, Run, Step], None]


class RunSockets:
    """Connections of the runs, registered with the relay's selector.

    Parameters
    ----------
    on_step
        Called with a held request, its run and the step to take.
    """

    def __init__(self, clock: Clock, selector: selectors.BaseSelector, on_step: OnStep) -> None:
        self._clock = clock
        self._selector = selector
        self._on_step = on_step

    def open(self, held: HeldRequest, run: Run) -> None:
        """Connect a run to its endpoint and register the connection."""
        connection, events = run.open(self._clock.now_ms)
        if events:
            self._handle_events(held, run, events)
            return

        def ready(mask: int) -> None:
            if run.connection is connection and held.run is run:
                self._handle_events(held, run, connection.ready(mask))
                self._update_interest(run, connection)

        self._selector.register(connection.sock, connection.interest, ready)

    def close(self, run: Run) -> None:
        """Close a run's connection, if it has one."""
        connection = run.connection
        if connection is not None and connection.sock in self._selector.get_map():
            self._selector.unregister(connection.sock)
        run.close()

    def _update_interest(self, run: Run, connection: EndpointConnection) -> None:
        if run.connection is not connection:
            return
        key = self._selector.get_key(connection.sock)
        if key.events != connection.interest:
            self._selector.modify(connection.sock, connection.interest, key.data)

    def _handle_events(self, held: HeldRequest, run: Run, events: list[ConnectionEvent]) -> None:
        now_ms = self._clock.now_ms
        for event in events:
            step = run.handle_event(event, now_ms)
            if step is not Step.DATA:
                # Later bytes on this connection do not belong to the answer.
                break
        if events:
            self._on_step(held, run, step)
